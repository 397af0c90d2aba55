/// @file
/// Routing of requests to targets: choice of a target, adaptive windows, connection generations, retries,
/// hedges, spill to other regions and ramps (section 2.7).
#pragma once

#include <optional>
#include <span>

#include "camphorknot/configuration.hpp"
#include "camphorknot/core.hpp"
#include "camphorknot/routing/request.hpp"
#include "camphorknot/routing/router.hpp"

namespace camphorknot {

/// @return a router without targets.
router make_router(const router_settings& settings, time_point now);

/// Replaces the targets, and adds or updates the services. A target that was there before keeps its window; a
/// new one starts with the cold-start ramp.
void set_targets(router& state, std::span<const service_object> services,
                 std::span<const target_object> targets, time_point now);

/// Stops new work to the target while @p leaving is set (a drain, or the fact target_leaving). A target that
/// no longer leaves starts with the cold-start ramp.
void set_leaving(router& state, target_id target, bool leaving);

/// Stops new work to the version permanently (the fact version_stopped).
void stop_version(router& state, service_id service, version_id version);

/// Sets the number of live instances, among which the shift cap is split. If many instances are lost at once,
/// the shift cap also applies to the own region for a while, since their load moves to the others.
void set_fleet_size(router& state, std::uint32_t live_instances);

/// Handles a target's load report, measured at @p measured. Reports arrive late, so they only break ties
/// between targets of about equal cost.
void on_load_report(router& state, target_id target, double load, time_point measured);

/// Chooses a target, counts the request as in flight there and takes a permit of its region. Each choice must
/// be followed by one on_attempt_end.
/// @return the choice, or a refusal if no target can take the request.
routing_answer choose_target(router& state, const routing_request& request, const region_permit& permit,
                             time_point now);

/// Ends an attempt: it is no longer in flight, and its result updates the target's window and its estimates
/// of latency and failures.
void on_attempt_end(router& state, const attempt_report& report, time_point now);

/// @return whether the target ran the request, as far as the result of the attempt shows.
outcome outcome_of(attempt_result result);

/// Takes a token from the retry budget if the decision is to retry.
/// @return whether to retry after @p report; if not, the final refusal.
retry_answer decide_retry(router& state, const routing_request& request, const attempt_report& report,
                          time_point now);

/// @return how long after the start of the attempt a hedge may be sent, or nothing if none may be sent.
std::optional<duration> hedge_delay(router& state, const routing_request& request, time_point now);

/// Takes a token for a hedge from the retry budget. Some tokens are reserved for retries.
/// @return false if there is none left for hedges.
bool take_hedge_token(router& state);

/// @return the generation that new connections to the target belong to.
std::uint64_t connection_generation(const router& state, target_id target);

/// Handles a connection of @p silent_generation that gave no answer in time. If a fresh connection to the
/// target works, connections up to that generation are no longer trusted and the target's failures are reset.
void on_silent_connection(router& state, target_id target, std::uint64_t silent_generation,
                          bool fresh_connection_works);

/// @return the oldest generation of connections to the target that may be used; older ones must be closed.
std::uint64_t oldest_trusted_generation(const router& state, target_id target);

/// @return requests in flight to the target from this instance.
std::uint32_t in_flight(const router& state, target_id target);

/// @return the unused part of this instance's windows for the service's targets in the region, in percent.
double headroom_percent(const router& state, service_id service, region_id region);

} // namespace camphorknot
