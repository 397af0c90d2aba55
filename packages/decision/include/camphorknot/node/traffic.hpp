/// @file
/// Functions for the traffic threads: they read an immutable snapshot of the control state and update shared
/// state that is guarded by briefly held mutexes.
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

/// Immutable view of the control state; defined in views.hpp.
struct traffic_snapshot;

/// Routing, operation and rollout state of one instance, shared by its traffic threads; defined in views.hpp.
struct traffic_state;

/// The parts of a request's head that admission needs. The views must stay valid during the call.
struct request_head {
    std::string_view method;
    std::string_view path;
    std::optional<key_hash> key;   ///< Keyed hash of the presented key.
    std::string_view ticket;       ///< Ticket text, or empty.
    bool ticket_mac_valid = false; ///< Whether the caller of admit verified the ticket's keyed hash.
    std::uint64_t body_kb = 0;     ///< Declared size of the body in kilobytes; 0 if none is declared.
    duration caller_deadline{};    ///< Remaining time as stated by the caller; zero if none is stated.
    std::string_view version_seen; ///< Newest version that the caller has seen, or empty.
};

/// A request that may run. Exactly one end_request must follow.
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
    std::optional<version_id> min_version; ///< Version that the caller has already seen: this or a newer one.
    std::optional<version_id> version;     ///< Chosen by a rollout for the first attempt.
    std::optional<key_hash> key;           ///< Absent on open routes.
    std::uint64_t body_kb = 0;
    outcome prior_outcome = outcome::not_run; ///< Combined over the earlier attempts; updated by end_attempt.
};

/// Result of admit: a request, a refusal or the state of the ticket's earlier operation.
struct admission_answer {
    std::optional<admitted_request> request;
    refusal why; ///< Set if refused.
    /// Set if the ticket's operation already runs or has ended.
    std::optional<operation_begin> prior_operation;
};

/// Decides whether a request may run: checks route, body size, key, authority, ticket and the customer's
/// rate. Safe to call from any thread.
admission_answer admit(traffic_state& shared, const traffic_snapshot& view, const request_head& head,
                       time_point now);

/// A chosen target and what is needed to send the attempt to it.
struct attempt {
    target_choice target;
    std::string address;
    std::string version_name;
    std::uint64_t connection_generation = 0;
    std::uint64_t oldest_trusted_generation = 0; ///< Pooled connections of older generations must be closed.
    std::optional<duration> hedge_after;         ///< Delay until a hedged attempt; absent for none.
};
/// Result of begin_attempt: an attempt or a refusal.
struct attempt_answer {
    std::optional<attempt> next;
    refusal why; ///< Set if there is no attempt.
};

/// Chooses a target for the first or a further attempt; @p tried lists the targets of the attempts before.
/// Exactly one end_attempt must follow for each attempt. Safe to call from any thread.
attempt_answer begin_attempt(traffic_state& shared, const traffic_snapshot& view,
                             const admitted_request& request, std::span<const target_id> tried,
                             time_point now);

/// Records the end of an attempt. Safe to call from any thread.
/// @return whether to begin another one, or the final refusal if the attempt gave no answer to relay.
retry_answer end_attempt(traffic_state& shared, const traffic_snapshot& view, admitted_request& request,
                         const attempt_report& report, time_point now);

/// Records the end of a request, with its operation record on a non-idempotent route. Safe to call from any
/// thread.
void end_request(traffic_state& shared, const admitted_request& request, outcome ended, std::uint16_t status,
                 std::string_view body, time_point now);

/// Checks whether a running request must be aborted because its key was revoked.
/// @return the reason, or refusal_reason::none.
refusal_reason abort_reason(const traffic_snapshot& view, const admitted_request& request, time_point now);

/// Reports that a pooled connection made no progress for the progress timeout, and whether a fresh connection
/// to the same target was answered meanwhile. Safe to call from any thread.
void report_silent_connection(traffic_state& shared, target_id target, std::uint64_t generation,
                              bool fresh_connection_works);

/// An instance in a look-up answer.
struct named_instance {
    std::string address; ///< "ip:port" for callers.
    std::uint32_t weight = 1;
};
/// Answer to a look-up; callers may cache the instances for time_to_live.
struct lookup_answer {
    std::vector<named_instance> instances;
    duration time_to_live{};
    std::optional<ticket> ticket_to_sign; ///< For a non-idempotent route; valid at instances.front() only.
    refusal why;                          ///< Set if the answer has no instance.
};

/// Answers a look-up for a client address in host byte order. A non-idempotent route requires @p key, as the
/// answer holds a ticket. Safe to call from any thread.
lookup_answer look_up(traffic_state& shared, const traffic_snapshot& view, std::string_view service,
                      std::string_view route, std::uint32_t client_address,
                      const std::optional<key_hash>& key, time_point now);

} // namespace camphorknot
