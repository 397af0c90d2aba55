/// @file
/// Choice of targets, adaptive windows, connection generations, retries, hedges, spill and ramps
/// (section 2.7).
#pragma once

#include <optional>
#include <span>

#include "camphorknot/configuration.hpp"
#include "camphorknot/core.hpp"
#include "camphorknot/routing/request.hpp"
#include "camphorknot/routing/router.hpp"

namespace camphorknot {

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
void on_load_report(router& state, target_id target, double load, time_point measured);

/// @return a target with an in-flight place taken (and a region permit), or why there is none. Ends with
/// on_attempt_end.
routing_answer choose_target(router& state, const routing_request& request, const region_permit& permit,
                             time_point now);

/// Ends an attempt: frees its place, adapts the window, latency and failure estimates.
void on_attempt_end(router& state, const attempt_report& report, time_point now);

/// @return what the end of one attempt says of its execution at the target.
outcome outcome_of(attempt_result result);

/// @return whether to try again after @p report, or the final answer. Takes from the retry budget if it says
/// retry.
retry_answer decide_retry(router& state, const routing_request& request, const attempt_report& report,
                          time_point now);

/// @return when a hedge should be sent, counted from the attempt's start, or nothing if none may be sent.
std::optional<duration> hedge_delay(router& state, const routing_request& request, time_point now);

/// Takes a hedge from the retry budget. @return false if the budget is empty.
bool take_hedge_token(router& state);

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
