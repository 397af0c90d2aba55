/// @file
/// Moves the traffic of a service to a new version: a canary with a small share, then a ramp, then completion
/// before the time limit; or an immediate rollback when the new version is found to be failing.
///
/// A version may fail from its start, only later, only under load or only on one route. Its answers are
/// therefore compared with those of the old version on each route during the whole rollout. The share passes
/// that of the canary only while the requests that were judged show that the new version is like the old one
/// (rollout_evidence.hpp). Where the share of the canary gives too few requests for that, the new version
/// gets a larger part of a route's requests, within what the operator allows an unproven version.
#pragma once

#include <optional>
#include <span>

#include "camphorknot/steering/fleet.hpp"
#include "camphorknot/steering/rollout_evidence.hpp"

namespace camphorknot::steering {

/// Schedule of a rollout and thresholds of the comparison with the old version.
struct rollout_tuning {
    double trial_share = 0.06;       ///< Share of traffic of the canary.
    double trial_end_fraction = 0.5; ///< Fraction of the time limit after which the ramp begins.
    double ramp_end_fraction = 0.72; ///< Fraction of the time limit at which all traffic has moved.
    /// Fraction of the time limit from which completion no longer waits for the other instances to move their
    /// traffic.
    double completion_fraction = 0.8;
    /// Until then completion waits for the judgement of the first requests after all traffic has moved: a
    /// version may fail only under the whole load.
    double observation_end_fraction = 0.88;
    std::uint64_t min_failing_answers = 5; ///< Of the new version, before it can count as failing.
    double min_difference = 0.15;     ///< Minimum of the new version's failing fraction minus the old one's.
    double min_standard_errors = 2.5; ///< Minimum difference in standard errors.
    evidence_tuning evidence{}; ///< Of the test that a version has to pass for more than the canary's share.
    /// Score on one route from which the version is held.
    double min_doubtful_score = 6;
    /// Fraction of the service's requests from which a route proves the version by itself, if it can.
    double min_route_fraction = 0.1;
    /// Time since the order after which the counts show how many requests a route gets.
    duration min_observation = std::chrono::milliseconds(800);
    /// Largest part of a route's requests for a version that is not proven.
    double max_canary_share = 0.8;
    /// Fraction of the time limit in which the requests are sent that a proof needs.
    double evidence_fraction = 0.3;
    /// Least time in which they are sent.
    duration min_evidence_time = std::chrono::seconds(1);
    /// Requests that are sent in addition, since some fail or lose their callers.
    double spare_requests = 2;
    /// Part of the operator's allowance for an unproven version that is used; the rest is for requests that
    /// are sent before other instances hear of them.
    double allowance_fraction = 0.5;
    /// Time until other instances know what one has sent.
    duration count_delay = std::chrono::milliseconds(1500);
    /// Time for which a completed version is watched.
    duration watch_time = std::chrono::seconds(60);
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

/// What the judged requests say about a new version.
struct rollout_evidence {
    std::map<std::string, judged_requests> counted; ///< By route; those that are in the scores.
    std::map<std::string, evidence_score> by_route;
    /// Of all routes together. The versions are compared on each route, since they may get different parts of
    /// a route that fails by itself.
    evidence_score all;
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
    double share = 0;      ///< Share of this instance's traffic that the new version gets.
    time_point share_at{}; ///< When `share` was updated.
    double peer_share = 0; ///< Smallest share at the other instances.
    /// Shares of single routes that differ from `share`, while the version is not proven.
    std::map<std::string, double> route_shares{};
    double canary_share = 0;     ///< Largest share of the service's requests that `route_shares` amounted to.
    rollout_evidence evidence{}; ///< Of the requests judged so far.
    bool is_new_order = false;   ///< This instance has counted since the order was given.
    bool held = false;           ///< Kept at the share of the canary for lack of good answers.
    bool hold_recorded = false;  ///< This instance has recorded the hold in the store.
    bool held_elsewhere = false; ///< Another live instance keeps it at that share.
    rollout_hold known_hold{};   ///< As last read from the store.
    std::optional<time_point> hold_read_at{}; ///< When that read began.
    time_point moved_at{};                    ///< When the share reached 1 at this instance.
    duration judgement_age{}; ///< Longest age at which this instance judges a request of the service.
    time_point due_since{};   ///< When `due_state` became due to be recorded; zero if nothing is due.
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

/// Adds the requests that were judged since the last call.
/// @param counts those since the order.
void add_evidence(rollout_evidence& evidence, std::span<const version_counts> counts,
                  const rollout_order& order, const rollout_tuning& tuning);

/// @return whether the evidence shows on any route that the new version is worse than the old one.
bool is_shown_worse(const rollout_evidence& evidence, const rollout_tuning& tuning);

/// @return whether the new version fails significantly more often than the old one on any route.
bool is_failing_version(std::span<const version_counts> counts, const rollout_order& order,
                        const rollout_tuning& tuning);

/// @return the share of traffic for the new version; zero if it is stopped or has no ready targets.
double new_version_share(const rollout_run& run, const rollout_tuning& tuning, bool has_new_targets,
                         time_point now);

/// @return whether the new version may get more than the share of the canary.
bool may_promote(std::span<const version_counts> counts, const rollout_evidence& evidence,
                 const rollout_order& order, const rollout_tuning& tuning);

/// What an unproven version may get of the requests for its service, by the operator's bounds.
struct exposure_limits {
    double share = 0.1;
    double slack = 0; ///< Requests in addition.
};

/// Shares of the routes on which the share of the canary gives too few requests to prove the new version.
/// @param elapsed time since the order.
/// @return by route; empty if the share of the canary is enough, or all that the limits allow.
std::map<std::string, double> find_route_shares(std::span<const version_counts> counts,
                                                const rollout_evidence& evidence, const rollout_order& order,
                                                const rollout_tuning& tuning, const exposure_limits& limits,
                                                duration elapsed);

/// @return the share of the service's requests that the new version gets by @p route_shares, and by
/// @p other_share on all other routes.
double mean_share(std::span<const version_counts> counts, const rollout_order& order,
                  const std::map<std::string, double>& route_shares, double other_share);

/// @return the share of the canary within the operator's bounds.
double canary_share_within(const exposure_limits& limits, const rollout_tuning& tuning);

/// @return how many further requests have to be judged, none of them failing, to prove the new version.
double missing_for_proof(std::span<const version_counts> counts, const rollout_evidence& evidence,
                         const rollout_order& order, const rollout_tuning& tuning);

/// @return whether an instance that does not see the fleet knows that the fleet does not hold the version.
bool is_hold_excluded(const rollout_run& run, const rollout_tuning& tuning, time_point now);

/// @param scheduled result of new_version_share.
/// @param promoted result of may_promote.
/// @return the share after @p scheduled is limited to that of the canary, unless @p promoted, and its
/// increase to that of the schedule: a version that is promoted late is not sent all requests at once. The
/// increase begins at what the canary gets.
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
