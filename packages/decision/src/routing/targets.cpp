#include <algorithm>

#include "camphorknot/routing.hpp"
#include "camphorknot/routing/pools.hpp"

namespace camphorknot {

using namespace internal;

namespace {

constexpr double first_retry_tokens = 10;
constexpr double first_window = 2;
constexpr double no_window = 1e6;
/// Losing this many instances and this share of the fleet within fleet_memory means that load moves. A single
/// restart does not count, since its callers spread over all others.
constexpr std::uint32_t least_lost_instances = 2;
constexpr double least_lost_fraction = 0.03;
constexpr duration fleet_memory = std::chrono::seconds(10);
constexpr duration load_move_term = std::chrono::seconds(30);

version_state& find_or_add_version(service_state& service, version_id id, std::uint32_t rank)
{
    const auto found = std::find_if(service.versions.begin(), service.versions.end(),
                                    [&](const version_state& version) { return version.id == id; });
    if (found != service.versions.end()) {
        return *found;
    }
    return service.versions.emplace_back(version_state{.id = id, .rank = rank});
}

std::uint32_t highest_rank(const service_state& service)
{
    std::uint32_t rank = 0;
    for (const version_state& version : service.versions) {
        rank = std::max(rank, version.rank);
    }
    return rank;
}

void set_active_version(service_state& service, version_id active)
{
    const version_id before = service.active;
    service.active = active;
    if (active == version_id{}) {
        return;
    }
    const std::uint32_t rank = highest_rank(service);
    version_state& now_active = find_or_add_version(service, active, service.versions.empty() ? 0 : rank + 1);
    const version_state* last = find_version(service, before);
    if (last != nullptr && last->id != active && last->rank >= now_active.rank) {
        now_active.rank = rank + 1;
    }
}

void set_service(router& state, const service_object& object)
{
    const auto id = make_id<service_id>(object.name);
    const auto [place, added] =
        state.service_index.try_emplace(id.value, static_cast<std::uint32_t>(state.services.size()));
    if (added) {
        state.services.emplace_back();
    }
    service_state& service = state.services[place->second];
    service.id = id;
    service.reserve_percent = object.reserve_percent;
    service.shift_cap_percent = object.shift_cap_percent_per_second;
    const bool has_active = !object.active_version.empty();
    set_active_version(service, has_active ? make_id<version_id>(object.active_version) : version_id{});
    for (const route_object& route : object.routes) {
        const route_id route_name = route_id_of(object.name, route.name);
        if (find_route(service, route_name) == nullptr) {
            service.routes.emplace_back().id = route_name;
        }
    }
}

double new_window(const router& state)
{
    return state.settings.enabled.windows ? first_window : no_window;
}

target_state& find_or_add_target(router& state, target_id id, time_point now)
{
    const auto [place, added] =
        state.target_index.try_emplace(id.value, static_cast<std::uint32_t>(state.targets.size()));
    if (added) {
        target_state& target = state.targets.emplace_back();
        target.id = id;
        target.window = new_window(state);
        target.started = now;
        return target;
    }
    target_state& target = state.targets[place->second];
    if (!target.listed) {
        // The target was removed and came back, so its caches may be cold again.
        target.started = now;
        target.window = new_window(state);
    }
    return target;
}

void set_target(router& state, const target_object& object, time_point now)
{
    target_state& target = find_or_add_target(state, make_id<target_id>(object.address), now);
    const auto service = state.service_index.find(make_id<service_id>(object.service).value);
    target.listed = true;
    target.version = make_id<version_id>(object.version);
    target.region = make_id<region_id>(object.region);
    target.failure_domain = make_id<failure_domain_id>(object.failure_domain);
    target.slots = std::max(1U, object.slots);
    target.service = service == state.service_index.end() ? no_index : service->second;
}

void remove_idle_unlisted(router& state)
{
    std::erase_if(state.targets,
                  [](const target_state& target) { return !target.listed && target.in_flight == 0; });
    state.target_index.clear();
    for (std::uint32_t index = 0; index < state.targets.size(); ++index) {
        state.target_index.emplace(state.targets[index].id.value, index);
    }
}

// Forgets versions without targets, but never that one was stopped.
void forget_versions(service_state& service)
{
    std::erase_if(service.versions, [&](const version_state& version) {
        return !version.has_targets && !version.stopped && version.id != service.active;
    });
}

// Versions first seen together share a rank, as nothing tells which one is newer.
void add_versions(router& state)
{
    for (std::uint32_t index = 0; index < state.services.size(); ++index) {
        service_state& service = state.services[index];
        const bool first = service.regions.empty();
        const std::uint32_t rank = first ? highest_rank(service) : highest_rank(service) + 1;
        for (version_state& version : service.versions) {
            version.has_targets = false;
        }
        for (const target_state& target : state.targets) {
            if (target.service == index && target.listed) {
                find_or_add_version(service, target.version, rank).has_targets = true;
            }
        }
        forget_versions(service);
    }
}

void add_regions(router& state)
{
    for (service_state& service : state.services) {
        for (service_region& region : service.regions) {
            region.slots = 0;
        }
    }
    for (const target_state& target : state.targets) {
        if (target.service == no_index || !target.listed) {
            continue;
        }
        std::vector<service_region>& regions = state.services[target.service].regions;
        auto region = std::find_if(regions.begin(), regions.end(),
                                   [&](const service_region& r) { return r.id == target.region; });
        if (region == regions.end()) {
            region = regions.insert(regions.end(), service_region{});
            region->id = target.region;
        }
        region->slots += target.leaving ? 0 : target.slots;
    }
}

} // namespace

router make_router(const router_settings& settings, time_point now)
{
    router state;
    state.settings = settings;
    state.settings.fleet_size = std::max(1U, settings.fleet_size);
    state.random.state = settings.seed;
    state.retries.tokens = first_retry_tokens;
    state.max_fleet_size = state.settings.fleet_size;
    state.now = now;
    state.max_fleet_size_updated = now;
    return state;
}

void set_targets(router& state, std::span<const service_object> services,
                 std::span<const target_object> targets, time_point now)
{
    state.now = std::max(state.now, now);
    for (const service_object& service : services) {
        set_service(state, service);
    }
    for (const target_object& target : targets) {
        set_target(state, target, now);
    }
    std::unordered_map<std::uint64_t, bool> wanted;
    for (const target_object& target : targets) {
        wanted.emplace(make_id<target_id>(target.address).value, true);
    }
    for (target_state& target : state.targets) {
        target.listed = wanted.contains(target.id.value);
    }
    remove_idle_unlisted(state);
    add_versions(state);
    add_regions(state);
    rebuild_pools(state);
}

void set_leaving(router& state, target_id target, bool leaving)
{
    target_state* found = find_target(state, target);
    if (found == nullptr || found->leaving == leaving) {
        return;
    }
    found->leaving = leaving;
    if (!leaving) {
        found->started = state.now;
    }
    add_regions(state);
    rebuild_pools(state);
}

void stop_version(router& state, service_id service, version_id version)
{
    service_state* found = find_service(state, service);
    if (found == nullptr) {
        return;
    }
    find_or_add_version(*found, version, highest_rank(*found)).stopped = true;
    rebuild_pools(state);
}

void set_fleet_size(router& state, std::uint32_t live_instances)
{
    const std::uint32_t fleet = std::max(1U, live_instances);
    const std::uint32_t before = state.settings.fleet_size;
    state.settings.fleet_size = fleet;
    if (before >= state.max_fleet_size || state.now - state.max_fleet_size_updated > fleet_memory) {
        // The size before was in force until now, however long ago it was set.
        state.max_fleet_size = before;
        state.max_fleet_size_updated = state.now;
    }
    if (fleet >= state.max_fleet_size) {
        state.max_fleet_size = fleet;
        return;
    }
    const std::uint32_t lost = state.max_fleet_size - fleet;
    if (lost >= least_lost_instances && lost >= least_lost_fraction * state.max_fleet_size) {
        state.local_ramp_until = state.now + load_move_term;
    }
}

void on_load_report(router& state, target_id target, double load, time_point measured)
{
    target_state* found = find_target(state, target);
    if (found != nullptr && measured >= found->load_measured) {
        found->reported_load = load;
        found->load_measured = measured;
    }
}

std::uint32_t in_flight(const router& state, target_id target)
{
    const target_state* found = find_target(state, target);
    return found == nullptr ? 0 : found->in_flight;
}

double headroom_percent(const router& state, service_id service, region_id region)
{
    const service_state* found = find_service(state, service);
    if (found == nullptr) {
        return 0;
    }
    double windows = 0;
    double used = 0;
    for (const target_pool& pool : found->pools) {
        if (pool.region == region) {
            windows += static_cast<double>(pool.window_sum);
            used += static_cast<double>(pool.in_flight_sum);
        }
    }
    constexpr double percent = 100;
    return windows == 0 ? 0 : std::max(0.0, percent * (windows - used) / windows);
}

std::uint64_t connection_generation(const router& state, target_id target)
{
    const target_state* found = find_target(state, target);
    return found == nullptr ? 0 : found->generation;
}

std::uint64_t oldest_trusted_generation(const router& state, target_id target)
{
    const target_state* found = find_target(state, target);
    return found == nullptr ? 0 : found->trusted_generation;
}

} // namespace camphorknot
