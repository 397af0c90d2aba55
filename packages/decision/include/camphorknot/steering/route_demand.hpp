/// @file
/// Traffic of the routes that share a service: arrival rates, the share of each that is served, and the slots
/// that long requests leave free for more urgent ones.
///
/// Designed for a service with short urgent and long less urgent requests. A long request that takes the last
/// free slot, or a place in the queue of a target, delays the urgent requests behind it by more than their
/// latency objective.
#pragma once

#include <map>
#include <span>
#include <vector>

#include "camphorknot/steering/target_pool.hpp"

namespace camphorknot::steering {

struct demand_tuning {
    duration rate_period = std::chrono::seconds(2);   ///< Time constant of arrival rates and loads.
    duration share_period = std::chrono::seconds(20); ///< Time constant of the shares that are served.
    /// A route with fewer decided requests in the share period is not compared with others.
    double min_decided = 4;
    /// A route is starved if it is served less than this fraction of the mean. At least a quarter is
    /// required.
    double starved_fraction = 0.35;
    /// By how much a route may be served more often than a more urgent one.
    double max_lead = 0.05;
    /// Urgent requests in progress per target below which no slots are reserved.
    double rare_load = 0.04;
    /// Reserve in standard deviations of the number of urgent requests in progress. In the replay of the
    /// tests 1 and 2 gave fewer answers within the objective at the mean load.
    double reserve_deviations = 1.5;
    /// Largest part of the slots of a target that is reserved.
    double max_reserved_fraction = 0.5;
};

/// One of the routes to a service.
struct route_class {
    std::string route{};
    int priority = 0;     ///< 0 is the most urgent.
    duration objective{}; ///< Latency objective; zero if there is none.
};

/// Sums that decay exponentially.
struct route_counts {
    double recent_arrivals = 0; ///< Decays with demand_tuning::rate_period.
    double decided = 0;         ///< Served or refused; decays with demand_tuning::share_period.
    double served = 0;          ///< The same.
    time_point updated{};
};

/// State of a service that several routes share, as seen by one instance.
struct service_demand {
    std::vector<route_class> classes{};
    std::map<std::string, route_counts, std::less<>> routes{};
    double own_load = 0;   ///< Requests of this instance at the targets, smoothed.
    double total_load = 0; ///< Requests of all instances there, smoothed.
    double targets = 0;    ///< That may get requests.
    double slots = 0;      ///< Of these.
    time_point load_updated{};
};

/// How a route is served in comparison with the other routes of its service.
enum class route_standing : std::uint8_t {
    ordinary,
    starved, ///< Much less often than the mean.
    ahead,   ///< More often than a more urgent route.
};

/// @return the routes of each service to which the configuration sends two or more routes that differ in
/// priority or objective.
std::map<std::string, std::vector<route_class>> find_shared_services(const configuration& source);

void on_route_arrival(service_demand& demand, const demand_tuning& tuning, std::string_view route,
                      time_point now);

/// Counts a request when it is sent to a target or refused. Those that still wait do not count, so that a
/// route with long waits does not seem starved.
void on_route_decided(service_demand& demand, const demand_tuning& tuning, std::string_view route,
                      bool is_served, time_point now);

/// Updates the smoothed loads, and the number of targets and slots, from the pool.
void update_load(service_demand& demand, const demand_tuning& tuning, const target_pool& pool,
                 std::string_view service, time_point now);

/// @return requests per second of the route at this instance.
double arrivals_per_s(const service_demand& demand, const demand_tuning& tuning, std::string_view route,
                      time_point now);

route_standing standing_of(const service_demand& demand, const demand_tuning& tuning, std::string_view route,
                           time_point now);

/// Expected load of the requests that a request of @p priority with @p work may delay beyond their objective.
/// The rate at this instance is scaled to all instances by the ratio of the loads.
/// @param works of the classes, in the order of service_demand::classes.
/// @return requests in progress at all targets.
double urgent_load(const service_demand& demand, const demand_tuning& tuning, int priority, duration work,
                   std::span<const work_estimate> works, time_point now);

/// @param load result of urgent_load.
/// @return slots of a target that the request leaves free; 0 while urgent requests are rare.
double reserved_slots(const service_demand& demand, const demand_tuning& tuning, double load,
                      route_standing standing);

} // namespace camphorknot::steering
