/// @file
/// Moves a service to a new version: a small trial, a ramp, completion before the time limit; and back at
/// once when the version is found to be bad.
///
/// A version may be bad from its start or later, under load, or on one route only, so its answers are judged
/// for as long as the rollout lasts, route by route, against those of the old version.
#pragma once

#include <span>

#include "camphorknot/steering/fleet.hpp"

namespace camphorknot::steering {

struct rollout_tuning {
    double trial_share = 0.06;
    double trial_end_fraction = 0.5; ///< Part of the time limit after which the ramp begins.
    double ramp_end_fraction = 0.72; ///< Part of the time limit at which all traffic has moved.
    double completion_fraction =
        0.8; ///< Part of the time limit from which completion is recorded without waiting longer.
    std::uint64_t min_failing_answers = 5;
    double min_difference = 0.15;     ///< Between the shares of bad answers, new less old.
    double min_standard_errors = 2.5; ///< Standard errors by which the shares differ.
    /// An answer that takes this many times the usual time counts as bad.
    double slow_factor = 4;
};

/// One rollout as this instance sees it.
struct rollout_run {
    rollout_order order{};
    time_point first_seen{};
    duration peer_elapsed{}; ///< Longest time that another instance has known it, as of `peer_elapsed_at`.
    time_point peer_elapsed_at{};
    bool stopped = false;
    double share = 0;
    time_point moved_at{};  ///< When all of this instance's traffic had moved.
    time_point due_since{}; ///< Since when `due_state` is to be recorded; zero if nothing is due.
    rollout_state due_state = rollout_state::running;
};

/// @return how long the order has been known to anyone.
duration elapsed_of(const rollout_run& run, time_point now);

/// @return whether the new version's answers are worse than the old ones on some route.
bool is_failing_version(std::span<const version_counts> counts, const rollout_order& order,
                        const rollout_tuning& tuning);

/// @return the part of the traffic for the new version; zero without ready targets of it.
double new_version_share(const rollout_run& run, const rollout_tuning& tuning, bool has_new_targets,
                         time_point now);

/// What is to be recorded of a rollout now.
enum class rollout_step : std::uint8_t { none, record_running, record_completed, record_rolled_back };

/// @param recorded the state that is known to be recorded for this order, if any.
/// @param old_in_flight requests of the whole fleet at targets of other versions.
/// @param all_instances_moved whether every live instance sends all of its requests to the new version.
rollout_step next_step(const rollout_run& run, const rollout_tuning& tuning,
                       std::optional<rollout_state> recorded, std::uint64_t old_in_flight,
                       bool all_instances_moved, time_point now);

} // namespace camphorknot::steering
