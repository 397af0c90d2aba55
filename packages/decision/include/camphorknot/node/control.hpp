/// @file
/// Control state of one instance. Belongs to the control thread.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "camphorknot/budget.hpp"
#include "camphorknot/configuration.hpp"
#include "camphorknot/lease.hpp"
#include "camphorknot/membership.hpp"
#include "camphorknot/node/traffic.hpp"
#include "camphorknot/rollout.hpp"

namespace camphorknot {

struct node_settings {
    std::string peer_address;
    std::string traffic_address;
    std::string region;
    std::string failure_domain;
    std::uint64_t process_nonce = 0; ///< Random; distinguishes processes on one address.
    incarnation number = 0;          ///< Start time in milliseconds; raised when a peer knows a higher one.
    std::uint64_t seed = 0;
    duration increase_delay = std::chrono::seconds(5);
};

struct object_read {
    std::string name;
};
struct object_write {
    std::string name;
    std::string value;
};

/// A request to the platform that the runtime carries out; the answer comes back with the same id.
struct platform_call {
    std::uint64_t id = 0;
    std::variant<table_read, table_transaction, operation_read, object_read, object_write> request;
};

/// Answer of the platform. For object_read, row.value holds the object.
struct platform_answer {
    std::uint64_t id = 0;
    table_answer answer;
};

/// Something that operators should see; the runtime writes it as one JSON log line.
struct node_event {
    std::string name; ///< Stable event name, as in "instance_fenced".
    std::vector<std::pair<std::string, std::string>> fields;
};

/// What the control state wants done after a step.
struct node_output {
    outbox messages;
    std::vector<platform_call> calls;
    std::vector<node_event> events;
};

/// Control state of one instance.
struct node;

/// Deleter for the incomplete type.
struct node_deleter {
    void operator()(node* state) const;
};
using node_handle = std::unique_ptr<node, node_deleter>;

node_handle make_node(const node_settings& settings, time_point now);

/// Addresses to contact first, from the settings and the platform's list.
void add_contacts(node& state, std::span<const instance_contact> contacts, time_point now);

void tick(node& state, time_point now, unix_milliseconds wall_now, node_output& out);
void on_message(node& state, const envelope& message, time_point now, node_output& out);
void on_platform_answer(node& state, const platform_answer& answer, time_point now, node_output& out);

/// @return what the traffic threads read; the same pointer until something in it changed.
std::shared_ptr<const traffic_snapshot> snapshot(const node& state);

/// State that the traffic threads share, made with the node; every function on it is safe to call from any
/// thread.
std::shared_ptr<traffic_state> shared_traffic(const node& state);

enum class change_status : std::uint8_t {
    pending,
    accepted,
    version_conflict,
    invalid,
    store_unavailable,
    authority_lost
};

/// State of an operator's change, found by the ticket that propose_change gave.
struct change_progress {
    change_status status = change_status::pending;
    std::uint64_t version = 0;                  ///< New version, or the present one on a conflict.
    std::vector<change_problem> problems;       ///< If invalid.
    std::vector<std::string> lagging_instances; ///< Live instances where the version is not in force yet.
};

/// Starts to make @p next the configuration if the version in force is still @p expected_version.
/// @return a number to ask progress_of with.
std::uint64_t propose_change(node& state, configuration_change next, std::uint64_t expected_version,
                             time_point now, node_output& out);
change_progress progress_of(const node& state, std::uint64_t change);

/// Raises a merging fact, such as a revoked key or a stopped version; needs no store.
void raise_fact(node& state, const fact& value, time_point now);

/// Rows of status tables for operators.
struct node_status {
    bool authority = false;
    bool configuration_trusted = false;
    bool store_reachable = false;
    std::uint64_t configuration_version = 0;
    std::vector<member_record> members;
    std::vector<std::pair<move_object, move_state>> moves;
};
node_status status_of(const node& state, time_point now);
const configuration& configuration_of(const node& state);

/// Graceful stop: look-ups stop naming this instance at once; may_stop says when nothing depends on it any
/// more.
void begin_stop(node& state, time_point now);
bool may_stop(const node& state, std::size_t requests_in_flight, time_point now);
/// Returns loans, hands over allocations and says leave to all.
void finish_stop(node& state, time_point now, node_output& out);

} // namespace camphorknot
