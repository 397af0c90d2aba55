#include "camphorknot/routing/pools.hpp"

#include <algorithm>
#include <utility>

namespace camphorknot::internal {
namespace {

bool is_stopped(const service_state& service, version_id version)
{
    const version_state* entry = find_version(service, version);
    return entry != nullptr && entry->stopped;
}

std::uint32_t find_or_add_pool(service_state& service, const target_state& target)
{
    const auto matches = [&](const target_pool& pool) {
        return pool.version == target.version && pool.region == target.region;
    };
    const auto found = std::find_if(service.pools.begin(), service.pools.end(), matches);
    if (found != service.pools.end()) {
        return static_cast<std::uint32_t>(found - service.pools.begin());
    }
    target_pool pool;
    pool.version = target.version;
    pool.region = target.region;
    const auto region = std::find_if(service.regions.begin(), service.regions.end(),
                                     [&](const service_region& r) { return r.id == target.region; });
    pool.region_index = static_cast<std::uint32_t>(region - service.regions.begin());
    service.pools.push_back(std::move(pool));
    return static_cast<std::uint32_t>(service.pools.size() - 1);
}

// Removes all members from the pools but keeps the latency estimates of the pools.
void clear_members(service_state& service)
{
    for (target_pool& pool : service.pools) {
        target_pool cleared;
        cleared.version = pool.version;
        cleared.region = pool.region;
        cleared.region_index = pool.region_index;
        cleared.latency_ms = pool.latency_ms;
        pool = std::move(cleared);
    }
}

void add_member(router& state, std::uint32_t index)
{
    target_state& target = state.targets[index];
    service_state& service = state.services[target.service];
    target.pool = find_or_add_pool(service, target);
    target_pool& pool = service.pools[target.pool];
    target.position = static_cast<std::uint32_t>(pool.members.size());
    pool.members.push_back(index);
    pool.window_sum += window_of(target);
    pool.in_flight_sum += target.in_flight;
    if (target.paused_until != time_point{}) {
        pool.next_resume = std::min(pool.next_resume, target.paused_until);
    }
    place_in_pool(state, index);
}

// Empty pools of removed versions would slow down every choice.
void drop_empty_pools(router& state)
{
    for (service_state& service : state.services) {
        std::erase_if(service.pools, [](const target_pool& pool) { return pool.members.empty(); });
        for (std::uint32_t index = 0; index < service.pools.size(); ++index) {
            for (const std::uint32_t member : service.pools[index].members) {
                state.targets[member].pool = index;
            }
        }
    }
}

void swap_members(router& state, target_pool& pool, std::uint32_t a, std::uint32_t b)
{
    std::swap(pool.members[a], pool.members[b]);
    state.targets[pool.members[a]].position = a;
    state.targets[pool.members[b]].position = b;
}

} // namespace

std::uint32_t window_of(const target_state& target)
{
    return std::max(1U, static_cast<std::uint32_t>(target.window));
}

target_state* find_target(router& state, target_id id)
{
    const auto found = state.target_index.find(id.value);
    return found == state.target_index.end() ? nullptr : &state.targets[found->second];
}

const target_state* find_target(const router& state, target_id id)
{
    const auto found = state.target_index.find(id.value);
    return found == state.target_index.end() ? nullptr : &state.targets[found->second];
}

service_state* find_service(router& state, service_id id)
{
    const auto found = state.service_index.find(id.value);
    return found == state.service_index.end() ? nullptr : &state.services[found->second];
}

const service_state* find_service(const router& state, service_id id)
{
    const auto found = state.service_index.find(id.value);
    return found == state.service_index.end() ? nullptr : &state.services[found->second];
}

route_state* find_route(service_state& service, route_id id)
{
    const auto found = std::find_if(service.routes.begin(), service.routes.end(),
                                    [&](const route_state& route) { return route.id == id; });
    return found == service.routes.end() ? nullptr : &*found;
}

const version_state* find_version(const service_state& service, version_id id)
{
    const auto found = std::find_if(service.versions.begin(), service.versions.end(),
                                    [&](const version_state& version) { return version.id == id; });
    return found == service.versions.end() ? nullptr : &*found;
}

void rebuild_pools(router& state)
{
    for (service_state& service : state.services) {
        clear_members(service);
    }
    for (std::uint32_t index = 0; index < state.targets.size(); ++index) {
        target_state& target = state.targets[index];
        target.pool = no_index;
        target.position = no_index;
        const bool usable = target.listed && !target.leaving && target.service != no_index &&
                            !is_stopped(state.services[target.service], target.version);
        if (usable) {
            add_member(state, index);
        }
    }
    drop_empty_pools(state);
}

void place_in_pool(router& state, std::uint32_t index)
{
    const target_state& target = state.targets[index];
    target_pool& pool = state.services[target.service].pools[target.pool];
    const bool open = target.in_flight < window_of(target) && target.paused_until == time_point{};
    const bool is_open = target.position < pool.open_count;
    if (open && !is_open) {
        swap_members(state, pool, target.position, pool.open_count);
        ++pool.open_count;
    } else if (!open && is_open) {
        --pool.open_count;
        swap_members(state, pool, target.position, pool.open_count);
    }
}

void resume_targets(router& state, target_pool& pool, time_point now)
{
    if (now < pool.next_resume) {
        return;
    }
    pool.next_resume = time_point::max();
    for (std::uint32_t position = 0; position < pool.members.size(); ++position) {
        const std::uint32_t index = pool.members[position];
        target_state& target = state.targets[index];
        if (target.paused_until == time_point{}) {
            continue;
        }
        if (target.paused_until > now) {
            pool.next_resume = std::min(pool.next_resume, target.paused_until);
            continue;
        }
        // After a pause the target is tested with one request at a time.
        change_target(state, index, [](target_state& resumed) {
            resumed.paused_until = {};
            resumed.window = 1;
        });
    }
}

} // namespace camphorknot::internal
