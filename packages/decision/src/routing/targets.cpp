#include <algorithm>

#include "camphorknot/routing.hpp"
#include "camphorknot/routing/pools.hpp"

namespace camphorknot {

using namespace internal;

namespace {

constexpr double initial_retry_tokens = 10;
constexpr double initial_window = 2;
constexpr double unlimited_window = 1e6;
/// If at least this many instances and this fraction of the fleet are lost within max_fleet_size_lifetime,
/// their load is expected to move to the remaining ones. A single restart does not count, since its callers
/// spread over all other instances.
constexpr std::uint32_t min_lost_instances = 2;
constexpr double min_lost_fraction = 0.03;
constexpr duration max_fleet_size_lifetime = std::chrono::seconds(10);
constexpr duration local_ramp_duration = std::chrono::seconds(30);

version_state& find_or_add_version(service_state& service, version_id id, std::uint32_t rank)
{
    const auto entry = std::find_if(service.versions.begin(), service.versions.end(),
                                    [&](const version_state& version) { return version.id == id; });
    if (entry != service.versions.end()) {
        return *entry;
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
    const version_id previous = service.active;
    service.active = active;
    if (active == version_id{}) {
        return;
    }
    const std::uint32_t rank = highest_rank(service);
    version_state& active_version =
        find_or_add_version(service, active, service.versions.empty() ? 0 : rank + 1);
    const version_state* previous_version = find_version(service, previous);
    if (previous_version != nullptr && previous_version->id != active &&
        previous_version->rank >= active_version.rank) {
        active_version.rank = rank + 1;
    }
}

void set_service(router& state, const service_object& object)
{
    const auto id = make_id<service_id>(object.name);
    const auto [entry, added] =
        state.service_index.try_emplace(id.value, static_cast<std::uint32_t>(state.services.size()));
    if (added) {
        state.services.emplace_back();
    }
    service_state& service = state.services[entry->second];
    service.id = id;
    service.reserve_percent = object.reserve_percent;
    service.shift_cap_percent = object.shift_cap_percent_per_second;
    const bool has_active = !object.active_version.empty();
    set_active_version(service, has_active ? make_id<version_id>(object.active_version) : version_id{});
    for (const route_object& route : object.routes) {
        const route_id route_key = route_id_of(object.name, route.name);
        if (find_route(service, route_key) == nullptr) {
            service.routes.emplace_back().id = route_key;
        }
    }
}

double make_initial_window(const router& state)
{
    return state.settings.enabled.windows ? initial_window : unlimited_window;
}

target_state& find_or_add_target(router& state, target_id id, time_point now)
{
    const auto [entry, added] =
        state.target_index.try_emplace(id.value, static_cast<std::uint32_t>(state.targets.size()));
    if (added) {
        target_state& target = state.targets.emplace_back();
        target.id = id;
        target.window = make_initial_window(state);
        target.started = now;
        return target;
    }
    target_state& target = state.targets[entry->second];
    if (!target.listed) {
        // The target was removed and is added again, so its caches may be cold.
        target.started = now;
        target.window = make_initial_window(state);
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

// Removes versions without targets, except the active one and stopped ones: a stop is permanent.
void remove_unused_versions(service_state& service)
{
    std::erase_if(service.versions, [&](const version_state& version) {
        return !version.has_targets && !version.stopped && version.id != service.active;
    });
}

// Versions that first appear together get the same rank, since their order is undetermined.
void update_versions(router& state)
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
        remove_unused_versions(service);
    }
}

void update_regions(router& state)
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
    state.retries.tokens = initial_retry_tokens;
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
    std::unordered_map<std::uint64_t, bool> configured;
    for (const target_object& target : targets) {
        configured.emplace(make_id<target_id>(target.address).value, true);
    }
    for (target_state& target : state.targets) {
        target.listed = configured.contains(target.id.value);
    }
    remove_idle_unlisted(state);
    update_versions(state);
    update_regions(state);
    rebuild_pools(state);
}

void set_leaving(router& state, target_id target, bool leaving)
{
    target_state* entry = find_target(state, target);
    if (entry == nullptr || entry->leaving == leaving) {
        return;
    }
    entry->leaving = leaving;
    if (!leaving) {
        entry->started = state.now;
    }
    update_regions(state);
    rebuild_pools(state);
}

void stop_version(router& state, service_id service, version_id version)
{
    service_state* entry = find_service(state, service);
    if (entry == nullptr) {
        return;
    }
    find_or_add_version(*entry, version, highest_rank(*entry)).stopped = true;
    rebuild_pools(state);
}

void set_fleet_size(router& state, std::uint32_t live_instances)
{
    const std::uint32_t fleet_size = std::max(1U, live_instances);
    const std::uint32_t previous = state.settings.fleet_size;
    state.settings.fleet_size = fleet_size;
    if (previous >= state.max_fleet_size ||
        state.now - state.max_fleet_size_updated > max_fleet_size_lifetime) {
        // The previous size was valid until now, however long ago it was set.
        state.max_fleet_size = previous;
        state.max_fleet_size_updated = state.now;
    }
    if (fleet_size >= state.max_fleet_size) {
        state.max_fleet_size = fleet_size;
        return;
    }
    const std::uint32_t lost = state.max_fleet_size - fleet_size;
    if (lost >= min_lost_instances && lost >= min_lost_fraction * state.max_fleet_size) {
        state.local_ramp_until = state.now + local_ramp_duration;
    }
}

void on_load_report(router& state, target_id target, double load, time_point measured)
{
    target_state* entry = find_target(state, target);
    if (entry != nullptr && measured >= entry->load_measured) {
        entry->reported_load = load;
        entry->load_measured = measured;
    }
}

std::uint32_t in_flight(const router& state, target_id target)
{
    const target_state* entry = find_target(state, target);
    return entry == nullptr ? 0 : entry->in_flight;
}

double headroom_percent(const router& state, service_id service, region_id region)
{
    const service_state* entry = find_service(state, service);
    if (entry == nullptr) {
        return 0;
    }
    double windows = 0;
    double in_flight_total = 0;
    for (const target_pool& pool : entry->pools) {
        if (pool.region == region) {
            windows += static_cast<double>(pool.window_sum);
            in_flight_total += static_cast<double>(pool.in_flight_sum);
        }
    }
    constexpr double percent = 100;
    return windows == 0 ? 0 : std::max(0.0, percent * (windows - in_flight_total) / windows);
}

std::uint64_t connection_generation(const router& state, target_id target)
{
    const target_state* entry = find_target(state, target);
    return entry == nullptr ? 0 : entry->generation;
}

std::uint64_t oldest_trusted_generation(const router& state, target_id target)
{
    const target_state* entry = find_target(state, target);
    return entry == nullptr ? 0 : entry->trusted_generation;
}

} // namespace camphorknot
