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

/// Switches of single mechanisms. All are on in production; the experiments measure what each one gives.
struct rollout_mechanisms {
    bool per_route_test = true; ///< Off: one test for all routes together.
    bool share_counter = true;  ///< Off: the share is drawn by chance.
    bool pooled_counts = true;  ///< Off: every instance judges its own counts only.
};

namespace internal {

/// Counts of both sides of one route.
struct route_counts {
    tally old_version;
    tally new_version;
};

/// Counts of one step of a move.
using step_counts = std::map<route_id, route_counts>;

/// Latencies of the old version on one route and size class.
struct baseline {
    latency_histogram latencies;
    duration p90{};
    duration average_p90{}; ///< Slow average, in which a disturbance of some seconds counts little.
    std::uint32_t refreshes = 0;
    std::uint32_t samples_to_refresh = 0;
    time_point last_decayed{};
};

struct baseline_key {
    service_id service;
    route_id route;
    std::uint32_t size_class = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): as for strong_id.
    friend auto operator<=>(const baseline_key&, const baseline_key&) = default;
};

/// Key of a sender's counts: a restarted process counts again from zero.
using sender_key = std::pair<instance_id, incarnation>;

struct rollout_move {
    move_object object;
    move_state durable;
    service_id service;
    version_id version;
    time_point step_started{};
    time_point traffic_started{}; ///< When the new version got its first share.
    time_point first_received{};
    time_point stop_received{};
    bool stop_reported = false;
    double share_credit = 0;        ///< Part of a request that the new version is owed, below 1.
    std::uint64_t total = 0;        ///< Requests of this step.
    std::uint64_t chosen_new = 0;   ///< Of these, sent to the new version.
    std::uint64_t finished_new = 0; ///< Outcomes of the new version in this step.
    std::uint64_t unchosen_new = 0; ///< Of these, without a choice.
    step_counts own;
    std::map<sender_key, step_counts> members; ///< Counts of the own region's instances, at the pooling one.
    std::map<region_id, step_counts> regions;  ///< Sums of other regions, at a pooling instance.
    step_counts fleet;                         ///< Sum of the fleet as a pooling instance sent it.
    std::map<route_id, route_judge> local;
    std::map<route_id, route_judge> pooled;
};

} // namespace internal

/// Rollouts and drains of one instance: its counts, pooled counts, verdicts and shares.
///
/// @code
/// rollout_state state = make_rollout_state(self, seed);
/// set_move(state, move, durable, now);
/// version_id version = choose_version(state, service, now);
/// @endcode
struct rollout_state {
    instance_id self;
    region_id region; ///< Own region, as the last tick named it.
    random_source random;
    rollout_mechanisms enabled;
    std::map<move_id, internal::rollout_move> moves;
    std::map<internal::baseline_key, internal::baseline> baselines;
    std::set<std::pair<service_id, version_id>> stopped;
    time_point now{}; ///< Latest reading passed in.
    time_point next_round{};
    time_point last_judged{};
    std::uint32_t live_count = 1;
    bool is_pooling = false; ///< This instance sums up its region.
    std::uint64_t round = 0;
};

} // namespace camphorknot
