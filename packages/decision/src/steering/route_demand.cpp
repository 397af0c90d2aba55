#include "camphorknot/steering/route_demand.hpp"

#include <algorithm>
#include <cmath>

#include "target_state_rules.hpp"

namespace camphorknot::steering {
namespace {

// An instance without requests at the targets still has a part of the load.
constexpr double min_own_load = 0.5;

double decay_factor(time_point from, time_point to, duration period)
{
    return std::exp(-std::chrono::duration<double>(to - from) / std::chrono::duration<double>(period));
}

route_counts decayed(const route_counts& counts, const demand_tuning& tuning, time_point now)
{
    const double share_factor = decay_factor(counts.updated, now, tuning.share_period);
    return {counts.recent_arrivals * decay_factor(counts.updated, now, tuning.rate_period),
            counts.decided * share_factor, counts.served * share_factor, now};
}

route_counts counts_at(const service_demand& demand, const demand_tuning& tuning, std::string_view route,
                       time_point now)
{
    const auto found = demand.routes.find(route);
    return found == demand.routes.end() ? route_counts{} : decayed(found->second, tuning, now);
}

route_counts& refresh_counts(service_demand& demand, const demand_tuning& tuning, std::string_view route,
                             time_point now)
{
    route_counts& counts = demand.routes[std::string(route)];
    counts = decayed(counts, tuning, now);
    return counts;
}

double served_fraction(const route_counts& counts)
{
    return counts.decided <= 0 ? 1 : counts.served / counts.decided;
}

bool differ(const std::vector<route_class>& classes)
{
    return std::ranges::any_of(classes, [&](const route_class& item) {
        return item.priority != classes.front().priority || item.objective != classes.front().objective;
    });
}

} // namespace

std::map<std::string, std::vector<route_class>> find_shared_services(const configuration& source)
{
    std::map<std::string, std::vector<route_class>> shared;
    for (const route& entry : source.routes) {
        for (const weighted_service& service : entry.services) {
            if (service.weight > 0) {
                shared[service.service].push_back({entry.name, entry.priority, entry.objective});
            }
        }
    }
    std::erase_if(shared, [](const auto& item) { return !differ(item.second); });
    return shared;
}

void on_route_arrival(service_demand& demand, const demand_tuning& tuning, std::string_view route,
                      time_point now)
{
    ++refresh_counts(demand, tuning, route, now).recent_arrivals;
}

void on_route_decided(service_demand& demand, const demand_tuning& tuning, std::string_view route,
                      bool is_served, time_point now)
{
    route_counts& counts = refresh_counts(demand, tuning, route, now);
    ++counts.decided;
    counts.served += is_served ? 1 : 0;
}

void update_load(service_demand& demand, const demand_tuning& tuning, const target_pool& pool,
                 std::string_view service, time_point now)
{
    const auto members = pool.by_service.find(std::string(service));
    double own = 0;
    double total = 0;
    demand.targets = 0;
    demand.slots = 0;
    if (members != pool.by_service.end()) {
        for (const target_state* state : members->second) {
            own += state->own_in_flight;
            total += total_load(*state);
            demand.targets += state->entry.draining ? 0 : 1;
            demand.slots += state->entry.draining ? 0 : state->entry.slots;
        }
    }
    const double weight = 1 - decay_factor(demand.load_updated, now, tuning.rate_period);
    demand.own_load += (own - demand.own_load) * weight;
    demand.total_load += (total - demand.total_load) * weight;
    demand.load_updated = now;
}

double arrivals_per_s(const service_demand& demand, const demand_tuning& tuning, std::string_view route,
                      time_point now)
{
    return counts_at(demand, tuning, route, now).recent_arrivals /
           std::chrono::duration<double>(tuning.rate_period).count();
}

route_standing standing_of(const service_demand& demand, const demand_tuning& tuning, std::string_view route,
                           time_point now)
{
    const auto own_class = std::ranges::find(demand.classes, route, &route_class::route);
    const route_counts own = counts_at(demand, tuning, route, now);
    if (own_class == demand.classes.end() || own.decided < tuning.min_decided) {
        return route_standing::ordinary;
    }
    const double fraction = served_fraction(own);
    route_counts sum;
    bool is_ahead = false;
    for (const route_class& item : demand.classes) {
        const route_counts counts = counts_at(demand, tuning, item.route, now);
        sum.decided += counts.decided;
        sum.served += counts.served;
        const bool is_comparable =
            item.priority < own_class->priority && counts.decided >= tuning.min_decided;
        is_ahead = is_ahead || (is_comparable && served_fraction(counts) + tuning.max_lead < fraction);
    }
    if (fraction < tuning.starved_fraction * served_fraction(sum)) {
        return route_standing::starved;
    }
    return is_ahead ? route_standing::ahead : route_standing::ordinary;
}

double urgent_load(const service_demand& demand, const demand_tuning& tuning, int priority, duration work,
                   std::span<const work_estimate> works, time_point now)
{
    const double scale = std::max(1.0, demand.total_load / std::max(min_own_load, demand.own_load));
    double load = 0;
    for (std::size_t index = 0; index < demand.classes.size() && index < works.size(); ++index) {
        const route_class& item = demand.classes[index];
        if (item.priority < priority && item.objective > duration{} && work > item.objective) {
            // Half of the requests are assumed to find their object cached.
            const std::chrono::duration<double> mean = (works[index].warm + works[index].miss) / 2;
            load += arrivals_per_s(demand, tuning, item.route, now) * scale * mean.count();
        }
    }
    return load;
}

double reserved_slots(const service_demand& demand, const demand_tuning& tuning, double load,
                      route_standing standing)
{
    if (demand.targets <= 0 || load / demand.targets < tuning.rare_load) {
        return 0;
    }
    const double slots = demand.slots / demand.targets;
    const double limit = slots * tuning.max_reserved_fraction;
    // The urgent requests in progress already occupy slots. The reserve is for the deviation of their number
    // from the mean; for independent arrivals the standard deviation is the square root of the mean.
    const double deviation = tuning.reserve_deviations * std::sqrt(load / demand.targets);
    switch (standing) {
    case route_standing::starved:
        return std::min({deviation, limit, 1.0});
    case route_standing::ahead:
        return limit;
    case route_standing::ordinary:
        break;
    }
    return std::min(deviation, limit);
}

} // namespace camphorknot::steering
