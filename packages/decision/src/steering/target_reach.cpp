#include "camphorknot/steering/target_reach.hpp"

#include <algorithm>
#include <iterator>

namespace camphorknot::steering {
namespace {

bool contains(std::span<const std::string> values, std::string_view value)
{
    return std::ranges::find(values, value) != values.end();
}

bool is_allowed(std::span<const std::string> regions, std::string_view region)
{
    return regions.empty() || contains(regions, region);
}

// Whether the request may be passed on to the instance, if that reaches the service.
bool is_allowed_hop(const next_hop& hop, const next_hop_request& request)
{
    return !hop.relay_address.empty() && is_allowed(request.route_regions, hop.region) &&
           is_allowed(request.customer_regions, hop.region) && !contains(request.tried, hop.name);
}

// In the own region if there are any, among these at random.
const next_hop* pick_hop(std::span<const next_hop* const> candidates, std::string_view own_region,
                         double random_value)
{
    std::vector<const next_hop*> near;
    std::ranges::copy_if(candidates, std::back_inserter(near),
                         [&](const next_hop* hop) { return hop->region == own_region; });
    const std::span<const next_hop* const> preferred = near.empty() ? candidates : near;
    if (preferred.empty()) {
        return nullptr;
    }
    const auto index = static_cast<std::size_t>(random_value * static_cast<double>(preferred.size()));
    return preferred[std::min(index, preferred.size() - 1)];
}

} // namespace

void on_target_reached(service_reach& reach, time_point now)
{
    reach.suspicious = false;
    reach.connected_at = now;
    if (reach.unreachable && !reach.connecting_since) {
        reach.connecting_since = now;
    }
}

void on_target_unreached(service_reach& reach)
{
    reach.suspicious = true;
}

bool is_probe_due(const service_reach& reach, const reach_tuning& tuning, time_point now)
{
    const bool is_suspicious = reach.suspicious && now - reach.connected_at >= tuning.probe_interval;
    return (is_suspicious || reach.unreachable) && !reach.is_probing &&
           now - reach.probed_at >= tuning.probe_interval;
}

void on_probe_started(service_reach& reach, time_point now)
{
    reach.is_probing = true;
    reach.probed_at = now;
}

bool on_probe_ended(service_reach& reach, const reach_tuning& tuning, bool any_reached, time_point now)
{
    reach.is_probing = false;
    if (any_reached) {
        on_target_reached(reach, now);
        const bool is_regained = reach.unreachable && now - *reach.connecting_since >= reach.recovery;
        if (is_regained) {
            reach.unreachable = false;
            reach.regained_at = now;
        }
        return is_regained;
    }
    reach.connecting_since.reset();
    if (reach.unreachable) {
        return false;
    }
    reach.unreachable = true;
    const bool is_relapse = reach.recovery > duration{} && now - reach.regained_at < tuning.relapse_time;
    reach.recovery = is_relapse ? std::min(reach.recovery * 2, tuning.max_recovery) : tuning.min_recovery;
    return true;
}

bool may_try_targets(const service_reach& reach)
{
    return !reach.unreachable || reach.connecting_since.has_value();
}

const next_hop* select_next_hop(std::span<const next_hop> hops, const next_hop_request& request,
                                double random_value)
{
    std::vector<const next_hop*> candidates;
    for (const next_hop& hop : hops) {
        if (is_allowed_hop(hop, request) && !contains(hop.unreachable_services, request.service)) {
            candidates.push_back(&hop);
        }
    }
    return pick_hop(candidates, request.own_region, random_value);
}

const next_hop* select_trial_hop(service_reach& reach, const reach_tuning& tuning,
                                 std::span<const next_hop> hops, const next_hop_request& request,
                                 double random_value, time_point now)
{
    std::vector<const next_hop*> candidates;
    for (const next_hop& hop : hops) {
        if (!is_allowed_hop(hop, request)) {
            continue;
        }
        if (hop.name == reach.serving_hop && now - reach.hop_served_at < tuning.hop_validity) {
            return &hop;
        }
        candidates.push_back(&hop);
    }
    if (candidates.empty() || now - reach.hop_tried_at < tuning.hop_trial_interval) {
        return nullptr;
    }
    reach.hop_tried_at = now;
    return pick_hop(candidates, request.own_region, random_value);
}

void on_hop_served(service_reach& reach, std::string_view name, time_point now)
{
    reach.serving_hop = name;
    reach.hop_served_at = now;
}

} // namespace camphorknot::steering
