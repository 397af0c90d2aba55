/// @file
/// Maintenance of target pools; internal to routing.
#pragma once

#include "camphorknot/routing/router.hpp"

namespace camphorknot::internal {

/// @return the target's window, rounded down to a whole number of requests, at least 1.
std::uint32_t window_of(const target_state& target);

/// @return the target with this id, or null.
target_state* find_target(router& state, target_id id);
const target_state* find_target(const router& state, target_id id);

/// @return the service with this id, or null.
service_state* find_service(router& state, service_id id);
const service_state* find_service(const router& state, service_id id);

/// @return the service's route with this id, or null.
route_state* find_route(service_state& service, route_id id);

/// @return the service's version with this id, or null.
const version_state* find_version(const service_state& service, version_id id);

/// Builds the pools of all services from the targets that may get new work.
void rebuild_pools(router& state);

/// Applies @p change to a target and updates the sums and the order of its pool.
/// @param index index of the target.
template <typename Change>
void change_target(router& state, std::uint32_t index, Change change);

/// Moves the target into or out of the open members of its pool, depending on its window and pause.
void place_in_pool(router& state, std::uint32_t index);

/// Ends the pauses of the pool that have expired at @p now.
void resume_targets(router& state, target_pool& pool, time_point now);

template <typename Change>
void change_target(router& state, std::uint32_t index, Change change)
{
    target_state& target = state.targets[index];
    if (target.pool == no_index) {
        change(target);
        return;
    }
    target_pool& pool = state.services[target.service].pools[target.pool];
    pool.window_sum -= window_of(target);
    pool.in_flight_sum -= target.in_flight;
    change(target);
    pool.window_sum += window_of(target);
    pool.in_flight_sum += target.in_flight;
    place_in_pool(state, index);
}

} // namespace camphorknot::internal
