/// @file
/// Control state of one instance. Only the control thread may use these functions; the traffic threads use
/// camphorknot/node/traffic.hpp.
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

/// Settings of one instance; they stay fixed while the process runs.
struct node_settings {
    std::string peer_address;    ///< "ip:port" for messages between daemons; identifies the instance.
    std::string traffic_address; ///< "ip:port" for callers.
    std::string region;
    std::string failure_domain;
    std::uint64_t process_nonce = 0; ///< Random; distinguishes processes on one address.
    /// Start time in milliseconds. The process raises its own above any higher one that a peer reports.
    incarnation number = 0;
    std::uint64_t seed = 0;
    duration increase_delay = std::chrono::seconds(5); ///< Delay until an increased budget takes effect.
};

/// Reads an object of the object store.
struct object_read {
    std::string name;
};
/// Writes an object of the object store.
struct object_write {
    std::string name;
    std::string value;
};

/// A request to the platform (table service or object store). The runtime carries it out and passes the
/// answer with the same id to on_platform_answer.
struct platform_call {
    std::uint64_t id = 0;
    std::variant<table_read, table_transaction, operation_read, object_read, object_write> request;
};

/// Answer of the platform. For object_read, answer.row->value holds the object.
struct platform_answer {
    std::uint64_t id = 0;
    table_answer answer;
};

/// An event for operators; the runtime writes it as one JSON log line.
struct node_event {
    std::string name; ///< Stable event name, such as "instance_fenced".
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Output of one step: messages to send, platform calls to make and events to log.
struct node_output {
    outbox messages;
    std::vector<platform_call> calls;
    std::vector<node_event> events;
};

/// Control state of one instance; defined inside the module.
struct node;

/// Deleter for the incomplete type.
struct node_deleter {
    void operator()(node* state) const;
};
using node_handle = std::unique_ptr<node, node_deleter>;

/// @return the state of a process that starts at @p now. It has no configuration and no authority yet.
node_handle make_node(const node_settings& settings, time_point now);

/// Adds addresses to contact first, from the settings and the platform's list of instances.
void add_contacts(node& state, std::span<const instance_contact> contacts, time_point now);

/// Does the periodic work; the runtime calls it about every 20 ms.
/// @param wall_now wall clock, used only for the deadlines of moves.
void tick(node& state, time_point now, unix_milliseconds wall_now, node_output& out);
/// Handles a message from a peer.
void on_message(node& state, const envelope& message, time_point now, node_output& out);
/// Handles the answer to a platform call; an answer that comes after the call timed out is ignored.
void on_platform_answer(node& state, const platform_answer& answer, time_point now, node_output& out);

/// @return the current snapshot for the traffic threads; the same pointer until its contents change.
std::shared_ptr<const traffic_snapshot> snapshot(const node& state);

/// @return the state that the traffic threads share, created with the node. Every function that takes a
/// traffic_state is safe to call from any thread.
std::shared_ptr<traffic_state> shared_traffic(const node& state);

/// Progress or result of a configuration change.
enum class change_status : std::uint8_t {
    pending,
    accepted,
    version_conflict,  ///< Another change was accepted first; see propose_change.
    invalid,           ///< Validation failed; see change_progress::problems.
    store_unavailable, ///< The table was not reached in time; nothing was written.
    authority_lost     ///< This instance has no authority, so it may not write.
};

/// State of an operator's change, found by the number that propose_change returned.
struct change_progress {
    change_status status = change_status::pending;
    std::uint64_t version = 0;            ///< New version if accepted, else the version in force.
    std::vector<change_problem> problems; ///< If invalid.
    /// Peer addresses of live instances where the accepted version is not in force yet.
    std::vector<std::string> lagging_instances;
};

/// Starts to apply @p next on top of the configuration. It conflicts if an operator's change newer than
/// @p expected_version is in force, or if @p expected_version is newer than the version in force.
/// @return the change's number, for progress_of.
std::uint64_t propose_change(node& state, configuration_change next, std::uint64_t expected_version,
                             time_point now, node_output& out);
/// @return the state of the change with the number @p change.
change_progress progress_of(const node& state, std::uint64_t change);

/// Records a fact, such as a revoked key or a stopped version, and spreads it to all instances by gossip.
/// Needs no store.
void raise_fact(node& state, const fact& value, time_point now);

/// State of the instance as shown to operators.
struct node_status {
    bool authority = false;
    bool configuration_trusted = false;
    bool store_reachable = false;
    std::uint64_t configuration_version = 0;
    std::vector<member_record> members;
    std::vector<std::pair<move_object, move_state>> moves;
};
/// @return the status at @p now.
node_status status_of(const node& state, time_point now);
/// @return the configuration in force.
const configuration& configuration_of(const node& state);

/// Begins a graceful stop: look-up answers no longer contain this instance.
void begin_stop(node& state, time_point now);
/// @return whether the process may exit: no request is in flight, and cached look-up answers that contain
/// this instance have expired.
bool may_stop(const node& state, std::size_t requests_in_flight, time_point now);
/// Ends a graceful stop: returns loans, hands over allocations and sends leave messages.
void finish_stop(node& state, time_point now, node_output& out);

} // namespace camphorknot
