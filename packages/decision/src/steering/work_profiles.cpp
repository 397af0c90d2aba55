#include "camphorknot/steering/work_profiles.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "target_state_rules.hpp"

namespace camphorknot::steering {
namespace {

// Weight of a new sample in the exponentially smoothed service times.
constexpr double sample_weight = 0.05;
// From here on the mean of the samples would weigh a new one less than that.
constexpr unsigned max_samples = 20;
// Single answers differ by the slowness of their targets.
constexpr unsigned min_samples = 4;
// Time constant of the smoothed completion rate.
constexpr double rate_period_s = 2;
// How long an estimate applies fully without a further completion, and in which time its weight halves after
// that. The rarest route of a deployment completes 0.6 requests a second at an instance.
constexpr double confirmed_s = 2;
constexpr double half_weight_s = 1;

using services_of_routes = std::map<std::string, std::set<std::string>, std::less<>>;

// The routes of each service that gets a part of their traffic.
services_of_routes find_users(const route_table& policies)
{
    services_of_routes users;
    if (policies.source == nullptr) {
        return users;
    }
    for (const route& entry : policies.source->routes) {
        for (const weighted_service& part : entry.services) {
            if (part.weight > 0) {
                users[part.service].insert(entry.name);
            }
        }
    }
    return users;
}

void count_completion(service_profile& profile, time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - profile.last_completion).count();
    const double decay = std::exp(-elapsed / rate_period_s);
    profile.completions_per_s = profile.completions_per_s * decay + 1 / rate_period_s;
    profile.last_completion = now;
}

// The service times of the profile, without what it was learned from.
service_profile initial_profile(const service_profile& service)
{
    service_profile initial;
    initial.warm = service.warm;
    initial.miss = service.miss;
    return initial;
}

void set_routes(std::map<std::string, service_profile, std::less<>>& profiles,
                const std::set<std::string>& routes, const service_profile& initial)
{
    std::erase_if(profiles, [&](const auto& item) { return !routes.contains(item.first); });
    for (const std::string& name : routes) {
        profiles.try_emplace(name, initial);
    }
}

} // namespace

void update_route_profiles(route_profiles& by_route, const service_profiles& services,
                           const route_table& policies)
{
    services_of_routes users = find_users(policies);
    std::erase_if(users, [](const auto& item) { return item.second.size() < 2; });
    std::erase_if(by_route, [&](const auto& item) { return !users.contains(item.first); });
    for (const auto& [service, routes] : users) {
        const auto known = services.find(service);
        set_routes(by_route[service], routes,
                   known == services.end() ? service_profile{} : initial_profile(known->second));
    }
}

const service_profile* find_route_profile(const route_profiles& by_route, std::string_view service,
                                          std::string_view route)
{
    const auto routes = by_route.find(service);
    if (routes == by_route.end()) {
        return nullptr;
    }
    const auto found = routes->second.find(route);
    return found == routes->second.end() ? nullptr : &found->second;
}

void learn_service_time(service_profile& profile, bool warm, duration served, time_point now)
{
    duration& expected = warm ? profile.warm : profile.miss;
    expected += scaled(served - expected, sample_weight);
    count_completion(profile, now);
}

void learn_route_time(service_profile& profile, bool warm, duration served, time_point now)
{
    duration& expected = warm ? profile.warm : profile.miss;
    unsigned& samples = warm ? profile.warm_samples : profile.miss_samples;
    const double before = static_cast<double>(expected.count());
    samples = std::min(samples + 1, max_samples);
    expected += scaled(served - expected, std::max(sample_weight, 1.0 / samples));
    expected = std::max<duration>(expected, std::chrono::milliseconds(1));
    if ((warm ? profile.miss_samples : profile.warm_samples) == 0) {
        duration& other = warm ? profile.miss : profile.warm;
        other = scaled(other, static_cast<double>(expected.count()) / before);
    }
    count_completion(profile, now);
}

bool is_learned(const service_profile& route, bool warm)
{
    return (warm ? route.warm_samples : route.miss_samples) >= min_samples;
}

double confirmed_weight(const service_profile& route, time_point now)
{
    if (route.warm_samples + route.miss_samples == 0) {
        return 0;
    }
    const double age_s = std::chrono::duration<double>(now - route.last_completion).count();
    return std::exp2(-std::max(0.0, age_s - confirmed_s) / half_weight_s);
}

} // namespace camphorknot::steering
