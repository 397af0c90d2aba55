/// @file
/// Rollouts and drains of one instance.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "camphorknot/configuration.hpp"
#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"
#include "camphorknot/rollout/judge.hpp"
#include "camphorknot/rollout/move.hpp"
#include "camphorknot/routing/estimate.hpp"

namespace camphorknot {

/// Switches of single mechanisms. All are on in production; experiments turn one off to measure its effect.
struct rollout_mechanisms {
    bool per_route_test = true; ///< Off: one test for all routes together.
    bool share_counter = true;  ///< Off: each request draws its version at random.
    bool pooled_counts = true;  ///< Off: each instance judges only its own counts.
};

namespace internal {

/// Counts of both versions on one route.
struct route_counts {
    tally old_version;
    tally new_version;
};

/// Counts of one step of a move.
using step_counts = std::map<route_id, route_counts>;

/// Latencies of the old version for one route and size class.
struct baseline {
    latency_histogram latencies;
    duration p90{};
    duration average_p90{}; ///< Long-term average of p90; a disturbance of some seconds changes it little.
    std::uint32_t refreshes = 0;
    std::uint32_t samples_to_refresh = 0;
    time_point last_decayed{}; ///< When the histogram was last halved.
};

struct baseline_key {
    service_id service;
    route_id route;
    std::uint32_t size_class = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): as for strong_id.
    friend auto operator<=>(const baseline_key&, const baseline_key&) = default;
};

/// Key of a sender's counts. It includes the incarnation, since a restarted process counts from zero again.
using sender_key = std::pair<instance_id, incarnation>;

/// A rollout or drain, with its counts and tests.
struct rollout_move {
    move_object object;
    move_state durable;
    service_id service;
    version_id version;
    time_point step_started{};
    time_point traffic_started{}; ///< When the new version first got a share.
    time_point first_received{};
    time_point stop_received{}; ///< When the tests failed here or the fact version_stopped was received.
    bool stop_reported = false;
    double share_credit = 0;      ///< Requests due to the new version, below 1; negative if it got too many.
    std::uint64_t total = 0;      ///< Requests in this step.
    std::uint64_t chosen_new = 0; ///< Of these, sent to the new version.
    std::uint64_t finished_new = 0; ///< Outcomes of the new version in this step.
    std::uint64_t unchosen_new = 0; ///< Of these, sent there although choose_version had not chosen it.
    step_counts own_counts;
    std::map<sender_key, step_counts> counts_by_member; ///< Instances of the own region, if pooling here.
    std::map<region_id, step_counts> counts_by_region;  ///< Sums of other regions, if pooling here.
    step_counts received_fleet_counts; ///< Sum of the fleet, as received from the pooling instance.
    std::map<route_id, route_judge> local_judges;
    std::map<route_id, route_judge> pooled_judges;
};

} // namespace internal

/// Rollouts and drains as handled by one instance: its own counts, pooled counts, verdicts and shares.
///
/// @code
/// rollout_state state = make_rollout_state(self, seed);
/// set_move(state, move, durable, now);
/// version_id version = choose_version(state, service, now);
/// @endcode
struct rollout_state {
    instance_id self;
    region_id region; ///< Own region, from the member list of the last round.
    random_source random;
    rollout_mechanisms enabled;
    std::map<move_id, internal::rollout_move> moves;
    std::map<internal::baseline_key, internal::baseline> baselines;
    std::set<std::pair<service_id, version_id>> stopped;
    time_point now{}; ///< Latest time passed to set_move, choose_version or count_outcome.
    time_point next_round{};
    time_point last_judged{};
    std::uint32_t live_count = 1;
    bool is_pooling = false; ///< This instance sums the counts of its region.
    std::uint64_t round = 0;
};

} // namespace camphorknot
