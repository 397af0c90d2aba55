/// @file
/// Measured service times, by service and by route.
///
/// Designed for a service whose routes differ in work: with requests of 0.6 s and 3.5 s at the same targets,
/// one estimate for both is wrong for each of them.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "camphorknot/steering/route_table.hpp"

namespace camphorknot::steering {

/// Measured service times of a service or of one of its routes, smoothed.
struct service_profile {
    duration warm = std::chrono::milliseconds(250); ///< With the object cached at the target.
    duration miss = std::chrono::milliseconds(800); ///< Without.
    double completions_per_s = 0;                   ///< Of this instance's requests, smoothed.
    time_point last_completion{};
    unsigned warm_samples = 0; ///< Answers that `warm` was learned from, up to a limit.
    unsigned miss_samples = 0; ///< The same of `miss`.
};

/// Profiles of the routes of services that two or more routes use, by service and by route.
using route_profiles =
    std::map<std::string, std::map<std::string, service_profile, std::less<>>, std::less<>>;

/// Profiles by service.
using service_profiles = std::map<std::string, service_profile>;

/// Adds and removes profiles of routes as the configuration requires. The profile of a new route starts as a
/// copy of its service's.
void update_route_profiles(route_profiles& by_route, const service_profiles& services,
                           const route_table& policies);

/// @return the profile of the route at the service, or null if the service has none by route.
const service_profile* find_route_profile(const route_profiles& by_route, std::string_view service,
                                          std::string_view route);

/// Learns the service time of an answer as part of the mix of all routes of a service.
void learn_service_time(service_profile& profile, bool warm, duration served, time_point now);

/// Learns the service time of an answer of one route. A time without own samples keeps its ratio to the
/// other.
void learn_route_time(service_profile& profile, bool warm, duration served, time_point now);

/// @return whether the route has so many answers that its times say something about single targets.
bool is_learned(const service_profile& route, bool warm);

/// An estimate that refuses requests is not corrected by their answers, so it applies only as far as recent
/// answers confirm it.
/// @return the weight, 0 to 1, of the route's expected time in a decision that may refuse its requests.
double confirmed_weight(const service_profile& route, time_point now);

} // namespace camphorknot::steering
