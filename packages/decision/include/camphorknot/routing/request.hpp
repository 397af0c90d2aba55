/// @file
/// Requests to the router, its answers, and reports on attempts.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>

#include "camphorknot/core.hpp"

namespace camphorknot {

/// Switches of single mechanisms. All are on in production; experiments turn one off to measure its effect.
struct routing_mechanisms {
    bool windows = true; ///< Adaptive window per target.
    bool ramps = true;   ///< Cold-start ramp of targets and shift cap of regions.
    bool retry_budget = true;
    bool generations = true; ///< Distrust of older connection generations after a silent connection.
    bool ejection = true;    ///< Pause of failing targets.
};

struct router_settings {
    region_id region{};
    failure_domain_id failure_domain{};
    std::uint64_t seed = 0;
    duration cold_start = std::chrono::seconds(10);     ///< The share of a new target grows over this time.
    duration report_lifetime = std::chrono::seconds(5); ///< Load reports older than this are ignored.
    std::uint32_t retry_percent = 10;                   ///< Retries and hedges, in percent of new requests.
    std::uint32_t fleet_size = 1; ///< Live instances, among which the shift cap is split.
    /// Targets sampled for a choice. In a large pool, the better of two is close to the least loaded target.
    /// In a region with six targets, two samples do worse than taking the target with the fewest own requests
    /// in flight, and three do not.
    std::uint32_t choices = 3;
    routing_mechanisms enabled{};
};

/// A request that needs a target.
struct routing_request {
    service_id service{};
    route_id route{};
    bool idempotent = true;
    bool can_wait = false; ///< Deferrable: at first uses only headroom above the service's reserve.
    time_point deadline{};
    duration timeout{}; ///< Total time of the request; after half of it, work that can wait becomes urgent.
    std::optional<version_id> min_version{}; ///< Read-your-writes: only this version or a newer one.
    std::optional<version_id> version{};     ///< Version that the rollout chose.
    std::span<const target_id> tried{};      ///< Targets that the request was sent to before, in order.
    /// Combined outcome of all attempts before the current one. With the default, a repeated idempotent
    /// request is never refused as not_run. Not used for a non-idempotent request: it is repeated only after
    /// attempts that certainly did not run.
    outcome prior_outcome = outcome::unknown;
};

/// Takes a permit from the budget of in-flight requests of a region (and of the link to it), if one is left.
/// @return whether a permit was taken.
using region_permit = std::function<bool(service_id, region_id)>;

struct target_choice {
    target_id target{};
    region_id region{};
    version_id version{};
};

struct routing_answer {
    std::optional<target_choice> choice{};
    refusal why{}; ///< Set if there is no choice.
};

/// How a request to a target ended.
enum class attempt_result : std::uint8_t {
    answered,        ///< Complete answer, no server error.
    server_error,    ///< Complete answer with a server error (5xx).
    shed_before_run, ///< The target reported that it did not run the request.
    connect_failed,  ///< No byte was sent.
    broken,          ///< The connection closed, or the answer was malformed, after bytes were sent.
    timed_out,       ///< No progress within the timeout after bytes were sent.
    cancelled,       ///< The caller disconnected, or the other attempt of a hedged request answered first.
};

struct attempt_report {
    target_id target{};
    service_id service{};
    route_id route{};
    version_id version{};
    attempt_result result = attempt_result::answered;
    duration latency{};
    std::uint64_t request_kb = 0; ///< Size of the request in KB; latencies are compared by size class.
    std::uint64_t connection_generation = 0;
};

enum class retry_decision : std::uint8_t { retry, give_up };

struct retry_answer {
    retry_decision decision = retry_decision::give_up;
    refusal why{}; ///< Final refusal, with the true outcome, if the decision is give_up.
};

} // namespace camphorknot
