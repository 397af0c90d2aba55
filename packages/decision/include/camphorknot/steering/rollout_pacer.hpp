/// @file
/// Moves the traffic of a service to a new version: a canary with a small share, then a ramp, then completion
/// before the time limit; or an immediate rollback when the new version is found to be failing.
///
/// A version may fail from its start, only later, only under load or only on one route. Its answers are
/// therefore compared with those of the old version on each route during the whole rollout.
#pragma once

#include <span>

#include "camphorknot/steering/fleet.hpp"

namespace camphorknot::steering {

/// Schedule of a rollout and thresholds of the comparison with the old version.
struct rollout_tuning {
    double trial_share = 0.06;       ///< Share of traffic of the canary.
    double trial_end_fraction = 0.5; ///< Fraction of the time limit after which the ramp begins.
    double ramp_end_fraction = 0.72; ///< Fraction of the time limit at which all traffic has moved.
    /// Fraction of the time limit from which completion no longer waits for the other instances to move their
    /// traffic.
    double completion_fraction = 0.8;
    std::uint64_t min_failing_answers = 5; ///< Of the new version, before it can count as failing.
    double min_difference = 0.15;     ///< Minimum of the new version's failing fraction minus the old one's.
    double min_standard_errors = 2.5; ///< Minimum difference in standard errors.
    /// An answer that takes this many times the average time counts as failing.
    double slow_factor = 4;
};

/// State of one rollout at this instance.
struct rollout_run {
    rollout_order order{};
    time_point first_seen{};
    duration peer_elapsed{}; ///< Longest elapsed time reported by another instance, at `peer_elapsed_at`.
    time_point peer_elapsed_at{};
    bool stopped = false;   ///< The new version was found to be failing.
    double share = 0;       ///< Share of this instance's traffic that the new version gets.
    time_point moved_at{};  ///< When the share reached 1 at this instance.
    time_point due_since{}; ///< When `due_state` became due to be recorded; zero if nothing is due.
    rollout_state due_state = rollout_state::running;
};

/// @return time since any instance first received the order.
duration elapsed_of(const rollout_run& run, time_point now);

/// @return whether the new version fails significantly more often than the old one on any route.
bool is_failing_version(std::span<const version_counts> counts, const rollout_order& order,
                        const rollout_tuning& tuning);

/// @return the share of traffic for the new version; zero if it is stopped or has no ready targets.
double new_version_share(const rollout_run& run, const rollout_tuning& tuning, bool has_new_targets,
                         time_point now);

/// State to record in the store next, if any.
enum class rollout_step : std::uint8_t { none, record_running, record_completed, record_rolled_back };

/// @param recorded the recorded state of this order, if any.
/// @param old_in_flight requests of the whole fleet in flight at targets of other versions.
/// @param all_instances_moved whether every live instance sends all its requests to the new version.
rollout_step next_step(const rollout_run& run, const rollout_tuning& tuning,
                       std::optional<rollout_state> recorded, std::uint64_t old_in_flight,
                       bool all_instances_moved, time_point now);

} // namespace camphorknot::steering
