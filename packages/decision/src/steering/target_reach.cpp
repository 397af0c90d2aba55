#include "camphorknot/steering/target_reach.hpp"

#include <algorithm>

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

bool is_eligible(const next_hop& hop, const next_hop_request& request)
{
    return !hop.relay_address.empty() && !contains(hop.unreachable_services, request.service) &&
           is_allowed(request.route_regions, hop.region) &&
           is_allowed(request.customer_regions, hop.region) && !contains(request.tried, hop.name);
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
    std::vector<const next_hop*> near;
    std::vector<const next_hop*> far;
    for (const next_hop& hop : hops) {
        if (is_eligible(hop, request)) {
            (hop.region == request.own_region ? near : far).push_back(&hop);
        }
    }
    const std::vector<const next_hop*>& candidates = near.empty() ? far : near;
    if (candidates.empty()) {
        return nullptr;
    }
    const auto index = static_cast<std::size_t>(random_value * static_cast<double>(candidates.size()));
    return candidates.at(std::min(index, candidates.size() - 1));
}

} // namespace camphorknot::steering
