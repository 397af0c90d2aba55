// Values passed between the control thread and the traffic thread. They are passed by value; shared pointers
// in them point to immutable data.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "camphorknot/steering.hpp"

namespace camphorknot::edge {

/// Versions of a service's targets that may receive requests.
struct version_rule {
    std::string current;   ///< Empty for any.
    std::string next;      ///< Version under rollout; empty without one.
    double next_share = 0; ///< Fraction of the requests that go to the next version, 0 to 1.
    /// The same for single routes, where it is larger.
    std::map<std::string, double> route_shares{};
    std::uint64_t order_version = 0; ///< Of the rollout; it changes when the store's era rises.
    time_point run_started_at{};     ///< When this instance started the rollout.
    /// The counts of a finished rollout are still reported: its version is watched after its completion.
    bool is_watched = false;
};

/// @return the fraction of the requests on @p route that go to the next version, 0 to 1.
inline double next_share_of(const version_rule& rule, const std::string& route)
{
    const auto found = rule.route_shares.find(route);
    return found == rule.route_shares.end() ? rule.next_share : std::max(found->second, rule.next_share);
}

/// Sent from the control thread to the traffic thread.
struct traffic_view {
    std::shared_ptr<const steering::route_table> routes; ///< Null before the first configuration.
    std::shared_ptr<const std::vector<steering::target>> targets;
    std::set<std::string> evacuated;              ///< Failure domains under evacuation.
    std::map<std::string, version_rule> versions; ///< By service.
    /// Targets whose warm-up is assigned to this instance: no other instance sends to them while they are
    /// cold.
    std::set<std::string> assigned_warmups;
    steering::fleet_demand demand;
    std::unordered_map<std::string, double> peer_in_flight; ///< Requests of other instances, by target.
    /// Requests per second that this instance may send to targets that name a limit, by target.
    std::map<std::string, double> limit_shares;
    /// Instances that take requests for services of which this one reaches no target; empty without such a
    /// service.
    std::vector<steering::next_hop> next_hops;
    std::optional<steering::usage_basis> usage; ///< Empty if usage is not counted.
};

/// Sent from the traffic thread to the control thread.
struct traffic_report {
    steering::load_report load;                     ///< Without rollouts.
    std::vector<steering::window_counts> usage;     ///< Requests that targets began to run.
    std::size_t running_requests = 0;               ///< Requests without a final answer.
    std::map<std::string, duration> judgement_ages; ///< By service under rollout; the longest on any route.
    steering::target_access access;
    std::shared_ptr<const steering::crash_table> crashes; ///< Null until the first suspect.
};

} // namespace camphorknot::edge
