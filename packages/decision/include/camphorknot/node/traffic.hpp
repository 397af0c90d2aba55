/// @file
/// What traffic threads need: an immutable snapshot of the control state, and shared state behind short
/// mutexes.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/configuration.hpp"
#include "camphorknot/core.hpp"
#include "camphorknot/operations.hpp"
#include "camphorknot/routing.hpp"

namespace camphorknot {

/// Immutable view of the control state.
struct traffic_snapshot;

/// Buckets, operation records and routing state of one instance, shared by its traffic threads.
struct traffic_state;

/// The parts of a request's head that decide on it. Views must outlive the call.
struct request_head {
    std::string_view method;
    std::string_view path;
    std::optional<key_hash> key; ///< Keyed hash of the shown key.
    std::string_view ticket;     ///< Ticket text, or empty.
    bool ticket_mac_valid = false;
    std::uint64_t body_kb = 0;
    duration caller_deadline{}; ///< Remaining time that the caller states; zero for none.
    std::string_view version_seen;
};

/// A request that may run. Ends with exactly one end_request.
struct admitted_request {
    std::string customer; ///< Empty on open routes.
    customer_id customer_identifier;
    service_id service;
    route_id route;
    bool idempotent = true;
    bool can_wait = false;
    time_point deadline{};
    duration timeout{};
    std::int64_t body_limit_kb = 0;
    std::optional<ticket> presented_ticket; ///< Set on non-idempotent routes.
    std::optional<version_id> min_version;
    std::optional<version_id> version; ///< Chosen by a rollout for the first attempt.
    std::optional<key_hash> key;       ///< Absent on open routes.
    std::uint64_t body_kb = 0;
    outcome earlier = outcome::not_run; ///< What is known of the attempts that ended; kept by end_attempt.
};

struct admission_answer {
    std::optional<admitted_request> request;
    refusal why;                            ///< Set if refused.
    std::optional<operation_begin> earlier; ///< Set if the ticket's operation is running or has ended.
};

/// Decides on a request's head: key, authority, route, ticket, customer's rate. Safe to call from any thread.
admission_answer admit(traffic_state& shared, const traffic_snapshot& view, const request_head& head,
                       time_point now);

/// A target to send an attempt to, with its address.
struct attempt {
    target_choice target;
    std::string address;
    std::string version_name;
    std::uint64_t connection_generation = 0;
    std::uint64_t oldest_trusted_generation = 0; ///< Pooled connections below it must be closed.
    std::optional<duration> hedge_after;
};
struct attempt_answer {
    std::optional<attempt> next;
    refusal why;
};

/// Chooses a target for the first or a further attempt. Each attempt ends with end_attempt.
attempt_answer begin_attempt(traffic_state& shared, const traffic_snapshot& view,
                             const admitted_request& request, std::span<const target_id> tried,
                             time_point now);

/// Ends an attempt. @return whether to begin another one, or the final refusal if the attempt gave no answer
/// to relay.
retry_answer end_attempt(traffic_state& shared, const traffic_snapshot& view, admitted_request& request,
                         const attempt_report& report, time_point now);

/// Records the end of the whole request; for a non-idempotent route also its operation record.
void end_request(traffic_state& shared, const admitted_request& request, outcome ended, std::uint16_t status,
                 std::string_view body, time_point now);

/// Whether a request in progress must be broken off: its key was revoked, or the instance lost authority.
refusal_reason abort_reason(const traffic_snapshot& view, const admitted_request& request, time_point now);

/// The connection was silent for the progress timeout; a fresh connection was or was not answered meanwhile.
void report_silent_connection(traffic_state& shared, target_id target, std::uint64_t generation,
                              bool fresh_connection_works);

struct named_instance {
    std::string address;
    std::uint32_t weight = 1;
};
struct lookup_answer {
    std::vector<named_instance> instances;
    duration time_to_live{};
    std::optional<ticket> ticket_to_sign; ///< For a non-idempotent route: valid at instances.front() only.
    refusal why;                          ///< Set if no instance can be named.
};

/// Answers a look-up. @p key is needed for tickets only. Safe to call from any thread.
lookup_answer look_up(traffic_state& shared, const traffic_snapshot& view, std::string_view service,
                      std::string_view route, std::uint32_t client_address,
                      const std::optional<key_hash>& key, time_point now);

} // namespace camphorknot
