/// @file
/// Whether this instance has a path to the targets of a service, and which other instance gets its requests
/// while it has none.
#pragma once

#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Limits of the search for a path.
struct reach_tuning {
    /// Between probes of one service.
    duration probe_interval = std::chrono::milliseconds(300);
    std::size_t probed_targets = 3;
    /// How long probes must succeed before requests are sent again; doubles, up to the maximum, if the path
    /// was lost again soon.
    duration min_recovery = std::chrono::milliseconds(500);
    duration max_recovery = std::chrono::seconds(4);
    duration relapse_time = std::chrono::seconds(10);
    /// What the instances report of their access is up to about a second old. If all report that they do not
    /// reach a service, one request in this time is passed on nevertheless.
    duration hop_trial_interval = std::chrono::milliseconds(150);
    /// How long an instance that served a request counts as reaching the service, whatever it reports.
    duration hop_validity = std::chrono::milliseconds(2000);
};

/// Whether this instance reaches any target of one service.
struct service_reach {
    bool suspicious = false;  ///< A target could not be reached, and none was since.
    bool unreachable = false; ///< No target can be reached.
    bool is_probing = false;
    time_point probed_at{};                       ///< Start of the last probe.
    time_point connected_at{};                    ///< Last new connection.
    time_point answered_at{};                     ///< Last answer of any target.
    time_point regained_at{};                     ///< End of the last loss.
    std::optional<time_point> connecting_since{}; ///< First success since the loss, without a failure since.
    duration recovery{};                          ///< Length of the current recovery.
    time_point hop_tried_at{};                    ///< Last trial of an instance that reports no access.
    std::string serving_hop{};                    ///< Name of the instance that served a request last.
    time_point hop_served_at{};
};

/// Stores that a connection to a target was opened.
void on_target_reached(service_reach& reach, time_point now);

/// Stores that a target could not be reached: no connection could be opened, or sent bytes stayed
/// unacknowledged.
void on_target_unreached(service_reach& reach);

/// @return whether targets of the service are to be probed now.
bool is_probe_due(const service_reach& reach, const reach_tuning& tuning, time_point now);

/// Stores the start of a probe.
void on_probe_started(service_reach& reach, time_point now);

/// Stores the result of a probe.
/// @param any_reached whether any of the probed targets accepted a connection.
/// @return whether `unreachable` changed.
bool on_probe_ended(service_reach& reach, const reach_tuning& tuning, bool any_reached, time_point now);

/// @return whether a request may be sent to a target although the service counts as unreachable: probes
/// succeed, only not for long enough yet.
bool may_try_targets(const service_reach& reach);

/// Another instance as the next hop of a request.
struct next_hop {
    std::string name{};
    std::string failure_domain{};
    std::string region{};
    std::string relay_address{};                     ///< "ip:port"
    std::vector<std::string> unreachable_services{}; ///< Those of which it reaches no target.
};

/// Properties of a request that determine its next hop.
struct next_hop_request {
    std::string_view service{};
    std::string_view own_region{};
    std::span<const std::string> route_regions{};    ///< Regions allowed by the route; empty for all.
    std::span<const std::string> customer_regions{}; ///< Regions allowed by the customer; empty for all.
    std::span<const std::string> tried{};            ///< Names of the instances that were tried.
};

/// Selects one of the instances that reach the service and are in a region allowed for the request: in the
/// own region if there are any, among these at random, so that no single one gets all requests.
/// @param random_value 0 to 1, without 1.
/// @return null if there is none.
const next_hop* select_next_hop(std::span<const next_hop> hops, const next_hop_request& request,
                                double random_value);

/// Selects an instance although all report that they do not reach the service: the one that served such a
/// request lately, else any one if a trial is due. Regions hold as for select_next_hop.
/// @return null if there is none, or no trial is due.
const next_hop* select_trial_hop(service_reach& reach, const reach_tuning& tuning,
                                 std::span<const next_hop> hops, const next_hop_request& request,
                                 double random_value, time_point now);

/// Stores that the instance @p name served a request for the service.
void on_hop_served(service_reach& reach, std::string_view name, time_point now);

} // namespace camphorknot::steering
