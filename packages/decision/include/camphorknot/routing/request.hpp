/// @file
/// What routing is asked, what it answers, and what it is told of attempts.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>

#include "camphorknot/core.hpp"

namespace camphorknot {

/// Switches of single mechanisms. All are on in production; the experiments measure what each one gives.
struct routing_mechanisms {
    bool windows = true; ///< Adaptive window per target.
    bool ramps = true;   ///< Cold-start ramp of targets and shift cap of regions.
    bool retry_budget = true;
    bool generations = true; ///< Distrust of old connection generations.
    bool ejection = true;    ///< Pause of targets that fail.
};

struct router_settings {
    region_id region{};
    failure_domain_id failure_domain{};
    std::uint64_t seed = 0;
    duration cold_start = std::chrono::seconds(10);     ///< A new target's share grows over this time.
    duration report_lifetime = std::chrono::seconds(5); ///< Older load reports are ignored.
    std::uint32_t retry_percent = 10;
    std::uint32_t fleet_size = 1; ///< Live instances; ramps are split over them.
    /// Targets drawn for a choice. Two come close to the least loaded one in a large pool; in a region with
    /// six targets, two lose to least own in-flight over all of them and three do not.
    std::uint32_t choices = 3;
    routing_mechanisms enabled{};
};

/// What a request asks of routing.
struct routing_request {
    service_id service{};
    route_id route{};
    bool idempotent = true;
    bool can_wait = false;
    time_point deadline{};
    duration timeout{}; ///< The request's whole time, to tell when work that can wait becomes urgent.
    std::optional<version_id> min_version{}; ///< Read-your-writes: this version or a newer one.
    std::optional<version_id> version{};     ///< Version chosen by the rollout.
    std::span<const target_id> tried{};      ///< Targets that this request already went to, in order.
    /// What is known of all attempts before the present one. The default makes no refusal claim not_run for a
    /// repeated idempotent request; the attempts of a non-idempotent one are certain not to have run.
    outcome earlier = outcome::unknown;
};

/// Asks the budget of in-flight requests of a region (and the link to it); true takes a permit.
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
    answered,        ///< Whole answer, no server error.
    server_error,    ///< Whole answer that says the target failed (5xx).
    shed_before_run, ///< The target said that it did not run the request.
    connect_failed,  ///< No byte was sent.
    broken,          ///< The connection ended, or a malformed answer came, after bytes were sent.
    timed_out,       ///< No progress within the timeout after bytes were sent.
    cancelled,       ///< The caller left or a hedge won.
};

struct attempt_report {
    target_id target{};
    service_id service{};
    route_id route{};
    version_id version{};
    attempt_result result = attempt_result::answered;
    duration latency{};
    std::uint64_t request_kb = 0; ///< Size, for the latency comparison by size class.
    std::uint64_t connection_generation = 0;
};

enum class retry_decision : std::uint8_t { retry, give_up };

struct retry_answer {
    retry_decision decision = retry_decision::give_up;
    refusal why{}; ///< Final answer if given up, with a true outcome.
};

} // namespace camphorknot
