// Admission by cost at services that several routes share: applies steering::admission_cost and route_demand
// to requests that search for a target.
#pragma once

#include "relay.hpp"

namespace camphorknot::edge {

/// Determines which services several routes share. Their measured demand is kept if the routes are unchanged.
void set_shared_services(traffic_state& state, const steering::configuration& source);

/// Updates the loads of the shared services.
void update_admission_loads(traffic_state& state, time_point now);

/// @return whether admission by cost decides on requests for the service.
bool is_shared_service(const traffic_state& state, const std::string& service);

/// Counts a request that begins its first search for a target, and finds out whether it returned after a
/// refusal.
void on_search_began(traffic_state& state, const caller_request& request, request_plan& plan, time_point now);

/// Counts a request for which a target was found.
void on_target_found(traffic_state& state, const request_plan& plan, time_point now);

/// Counts a refusal by route, priority and reason.
void on_refused(traffic_state& state, const request_plan& plan, std::string_view reason, time_point now);

/// @param refused the decision; its retry delay is returned at other services.
/// @return the delay after which the refused caller finds room; it is recorded at shared services.
duration promise_retry(traffic_state& state, const caller_request& request, const request_plan& plan,
                       const steering::wait_decision& refused, time_point now);

/// Counts a wait by route and priority.
void on_wait_began(traffic_state& state, const request_plan& plan);

/// Sets the rank and the limit of the entry, and the slots that the request leaves free. No effect at other
/// services.
void apply_cost(traffic_state& state, const caller_request& request, request_plan& plan,
                steering::waiting_request& entry, time_point now);

/// @return whether the deadline of the request cannot be met any more; false at other services.
bool is_too_late(const traffic_state& state, const caller_request& request, const request_plan& plan,
                 time_point now);

/// @return whether a waiting request takes the slot that was found. A request that leaves slots to urgent
/// ones takes one that became free elsewhere only with a probability, since other instances see it too.
bool claims_slot(traffic_state& state, const request_plan& plan, const steering::target_state& target);

/// Decides whether the request waits. A waiting request is displaced at shared services only.
steering::admission_decision decide_admission(traffic_state& state, const request_plan& plan,
                                              const steering::placement& placement,
                                              steering::waiting_request& entry, time_point now);

/// Ends the wait of a request that is refused in favour of another.
void displace(service_queue& queue, std::uint64_t id);

} // namespace camphorknot::edge
