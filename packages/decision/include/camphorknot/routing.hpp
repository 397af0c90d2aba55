/// @file
/// Choice of targets, adaptive windows, connection generations, retries, hedges, spill and ramps
/// (section 2.7).
#pragma once

#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "camphorknot/configuration.hpp"
#include "camphorknot/core.hpp"

namespace camphorknot {

struct router_settings {
    region_id region;
    failure_domain_id failure_domain;
    std::uint64_t seed = 0;
    duration cold_start = std::chrono::seconds(10);     ///< A new target's share grows over this time.
    duration report_lifetime = std::chrono::seconds(5); ///< Older load reports are ignored.
    std::uint32_t retry_percent = 10;
    std::uint32_t fleet_size = 1; ///< Live instances; ramps are split over them.
};

/// Routing state of one instance.
struct router;

/// What a request asks of routing.
struct routing_request {
    service_id service;
    route_id route;
    bool idempotent = true;
    bool can_wait = false;
    time_point deadline{};
    duration timeout{}; ///< The request's whole time, to tell when work that can wait becomes urgent.
    std::optional<version_id> at_least; ///< Read-your-writes: this version or a newer one.
    std::optional<version_id> version;  ///< Version chosen by the rollout.
    std::span<const target_id> tried;   ///< Targets that this request already went to.
};

/// Asks the budget of in-flight requests of a region (and the link to it); true takes a permit.
using region_permit = std::function<bool(service_id, region_id)>;

struct target_choice {
    target_id target;
    region_id region;
    version_id version;
};

struct routing_answer {
    std::optional<target_choice> choice;
    refusal why; ///< Set if there is no choice.
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
    target_id target;
    service_id service;
    route_id route;
    version_id version;
    attempt_result result = attempt_result::answered;
    duration latency{};
    std::uint64_t request_kb = 0; ///< Size, for the latency comparison by size class.
    std::uint64_t connection_generation = 0;
};

enum class retry_decision : std::uint8_t { retry, give_up };

struct retry_answer {
    retry_decision decision = retry_decision::give_up;
    refusal why; ///< Final answer if given up, with a true outcome.
};

router make_router(const router_settings& settings, time_point now);

/// Replaces the targets and services. Kept targets keep their windows; new ones start cold.
void set_targets(router& state, std::span<const service_object> services,
                 std::span<const target_object> targets, time_point now);

/// Stops new work to the target (draining, or the fact target_leaving).
void set_leaving(router& state, target_id target, bool leaving);

/// Stops new work to the version (the fact version_stopped).
void stop_version(router& state, service_id service, version_id version);

/// Number of live instances; ramps and reserves are split over them.
void set_fleet_size(router& state, std::uint32_t live_instances);

/// A lagging load report of a target; breaks ties only.
void note_load(router& state, target_id target, double load, time_point measured);

/// @return a target with an in-flight place taken (and a region permit), or why there is none. Ends with
/// on_attempt_end.
routing_answer choose_target(router& state, const routing_request& request, const region_permit& permit,
                             time_point now);

/// Ends an attempt: frees its place, adapts the window, latency and failure estimates.
void on_attempt_end(router& state, const attempt_report& report, time_point now);

/// @return whether to try again after @p report, or the final answer. Takes from the retry budget if it says
/// retry.
retry_answer decide_retry(router& state, const routing_request& request, const attempt_report& report,
                          time_point now);

/// @return when a hedge should be sent, counted from the attempt's start, or nothing if none may be sent.
std::optional<duration> hedge_delay(router& state, const routing_request& request, time_point now);

/// Takes a hedge from the retry budget. @return false if the budget is empty.
bool take_hedge(router& state);

/// @return the generation that new connections to the target belong to.
std::uint64_t connection_generation(const router& state, target_id target);

/// A fresh connection worked while one of @p silent_generation was silent: connections up to that generation
/// must close.
void on_silent_connection(router& state, target_id target, std::uint64_t silent_generation,
                          bool fresh_connection_works);

/// @return connections of the target with a generation below this must be closed and not be reused.
std::uint64_t oldest_trusted_generation(const router& state, target_id target);

/// @return requests in flight to the target from this instance.
std::uint32_t in_flight(const router& state, target_id target);

/// @return free places of the service in the region, as far as this instance knows, in percent of the
/// windows.
double headroom_percent(const router& state, service_id service, region_id region);

} // namespace camphorknot
