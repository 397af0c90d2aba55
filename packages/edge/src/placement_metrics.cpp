#include "placement_metrics.hpp"

#include <algorithm>

namespace camphorknot::edge {
namespace {

void publish_time(metrics& registry, const std::string& labels, std::string_view object, duration time)
{
    gauge(registry, "camphorknot_expected_service_ms", labels + ",object=\"" + std::string(object) + "\"")
        .store(std::chrono::duration_cast<std::chrono::milliseconds>(time).count(),
               std::memory_order_relaxed);
}

void publish_profile(metrics& registry, const std::string& service, const std::string& route,
                     const steering::service_profile& profile)
{
    const std::string labels = "service=\"" + service + "\",route=\"" + route + "\"";
    publish_time(registry, labels, "warm", profile.warm);
    publish_time(registry, labels, "miss", profile.miss);
}

} // namespace

void publish_profiles(metrics& registry, const steering::target_pool& pool)
{
    for (const auto& [service, profile] : pool.profiles) {
        publish_profile(registry, service, "", profile);
    }
    for (const auto& [service, routes] : pool.by_route) {
        for (const auto& [route, profile] : routes) {
            if (profile.warm_samples + profile.miss_samples > 0) {
                publish_profile(registry, service, route, profile);
            }
        }
    }
}

void publish_slow_targets(metrics& registry, const steering::target_pool& pool, time_point now)
{
    const auto count = std::ranges::count_if(
        pool.targets, [&](const auto& item) { return steering::is_slow_moment(item.second.speed, now); });
    gauge(registry, "camphorknot_slow_targets", "").store(count, std::memory_order_relaxed);
}

} // namespace camphorknot::edge
