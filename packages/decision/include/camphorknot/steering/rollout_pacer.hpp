/// @file
/// Moves the traffic of a service to a new version: a canary with a small share, then a ramp, then completion
/// before the time limit; or an immediate rollback when the new version is found to be failing.
///
/// A version may fail from its start, only later, only under load or only on one route. Its answers are
/// therefore compared with those of the old version on each route during the whole rollout. The share passes
/// that of the canary only while enough answers of the new version are known to be good: those counted by an
/// instance that restarts are lost, and slow ones are not counted if their callers leave.
#pragma once

#include <optional>
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
    /// Good answers of the new version, over the fleet, that it needs for more than the share of the canary.
    std::uint64_t min_good_answers = 10;
    /// Failing answers that make a version doubtful as long as it lacks the good ones.
    std::uint64_t min_early_doubtful_answers = 2;
    double min_early_doubtful_difference = 0.15;
    double min_early_doubtful_standard_errors = 1.5;
    /// Requests that the new version may get without them, so that a service with few requests moves in time.
    std::uint64_t unproven_requests = 25;
    /// Time since the start of the run after which the counts show how many requests the service gets.
    duration min_observation = std::chrono::seconds(3);
    /// Thresholds of a doubt, which keeps the new version at the share of the canary without stopping it. A
    /// version that begins to fail during the ramp reaches min_difference late, since its earlier answers
    /// were good.
    std::uint64_t min_doubtful_answers = 3;
    double min_doubtful_difference = 0.04;
    double min_doubtful_standard_errors = 3;
    /// The same, if requests whose callers left count as failing, which they may do for other reasons.
    double min_unanswered_difference = 0.15;
    double min_unanswered_standard_errors = 1.5;
    /// Fraction of the time limit at which a version that does not get all requests is rolled back.
    double abandon_fraction = 0.95;
    /// The share rises by no more than in this time from one update to the next. What passes while the
    /// process is suspended does not count, since the other instances may have held the version meanwhile.
    duration max_update_gap = std::chrono::seconds(1);
    /// Age up to which a hold that was read from the store is relied on.
    duration max_hold_age = std::chrono::milliseconds(1500);
};

/// Whether the fleet keeps a new version at the share of the canary, as recorded in the store for instances
/// that do not see the fleet.
struct rollout_hold {
    std::uint64_t order_version = 0; ///< Of the order that it belongs to; 0 if none was recorded.
    bool held = false;
    std::uint64_t record_version = 0; ///< 0 if there is no record.
};

/// State of one rollout at this instance.
struct rollout_run {
    rollout_order order{};
    time_point first_seen{};
    duration peer_elapsed{}; ///< Longest elapsed time reported by another instance, at `peer_elapsed_at`.
    time_point peer_elapsed_at{};
    bool stopped = false;   ///< The new version was found to be failing.
    bool completed = false; ///< Recorded as completed, in a record that the store has lost.
    /// Counts of earlier builds when this instance first saw the order; none before that.
    std::optional<std::vector<version_counts>> counts_before{};
    double share = 0;                         ///< Share of this instance's traffic that the new version gets.
    time_point share_at{};                    ///< When `share` was updated.
    double peer_share = 0;                    ///< Smallest share at the other instances.
    bool held = false;                        ///< Kept at the share of the canary for lack of good answers.
    bool hold_recorded = false;               ///< This instance has recorded the hold in the store.
    bool held_elsewhere = false;              ///< Another live instance keeps it at that share.
    rollout_hold known_hold{};                ///< As last read from the store.
    std::optional<time_point> hold_read_at{}; ///< When that read began.
    time_point moved_at{};                    ///< When the share reached 1 at this instance.
    time_point due_since{}; ///< When `due_state` became due to be recorded; zero if nothing is due.
    rollout_state due_state = rollout_state::running;
};

/// Whether an order was written again after the store returned from an old copy, so that what is known of the
/// rollout holds. A new order for the same version within one era starts over.
/// @param known the order that is known, or one that was finished.
/// @param since_new_era time since the store's era rose; empty if it did not.
bool is_same_order(const rollout_order& known, const rollout_order& incoming,
                   std::optional<duration> since_new_era);

/// @return time since any instance first received the order.
duration elapsed_of(const rollout_run& run, time_point now);

/// The counts that say something about a rollout: those since its order. From those that count since the
/// start of a process, what they were at the first call for the run is subtracted.
/// @param reported counts of all instances.
/// @return the counts of the service of @p run.
std::vector<version_counts> counts_since_order(rollout_run& run, std::span<const version_counts> reported);

/// @return whether the new version fails significantly more often than the old one on any route.
bool is_failing_version(std::span<const version_counts> counts, const rollout_order& order,
                        const rollout_tuning& tuning);

/// @return the share of traffic for the new version; zero if it is stopped or has no ready targets.
double new_version_share(const rollout_run& run, const rollout_tuning& tuning, bool has_new_targets,
                         time_point now);

/// @param observed time since this instance started the run.
/// @return whether the new version may get more than the share of the canary.
bool may_promote(std::span<const version_counts> counts, const rollout_order& order,
                 const rollout_tuning& tuning, duration observed);

/// @return whether an instance that does not see the fleet knows that the fleet does not hold the version.
bool is_hold_excluded(const rollout_run& run, const rollout_tuning& tuning, time_point now);

/// @param scheduled result of new_version_share.
/// @param promoted result of may_promote.
/// @return the share after @p scheduled is limited to that of the canary, unless @p promoted, and its
/// increase to that of the schedule: a version that is promoted late is not sent all requests at once.
double limit_share(const rollout_run& run, const rollout_tuning& tuning, double scheduled, bool promoted,
                   time_point now);

/// @return whether the new version does not get all requests although its time is nearly over.
bool is_out_of_time(const rollout_run& run, const rollout_tuning& tuning, time_point now);

/// The version that gets the requests of a service whose rollouts are not known. The targets of a new version
/// start beside those of the old one, so the version of the target that has run longest is the old one.
/// @param targets of all services; draining ones count only if there are no others.
/// @param excluded version under rollout; empty for none.
/// @return empty if there is no target of another version.
std::string longest_running_version(std::span<const target> targets, std::string_view service,
                                    std::string_view excluded);

/// State to record in the store next, if any.
enum class rollout_step : std::uint8_t { none, record_running, record_completed, record_rolled_back };

/// @param recorded the recorded state of this order, if any.
/// @param old_in_flight requests of the whole fleet in flight at targets of other versions.
/// @param all_instances_moved whether every live instance sends all its requests to the new version.
rollout_step next_step(const rollout_run& run, const rollout_tuning& tuning,
                       std::optional<rollout_state> recorded, std::uint64_t old_in_flight,
                       bool all_instances_moved, time_point now);

} // namespace camphorknot::steering
