#include "camphorknot/steering/rollout_pacer.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace camphorknot::steering {
namespace {

// Answers of one version on one route.
struct sample {
    double answers = 0;
    double failing_answers = 0;
};

double failing_fraction(const sample& counted)
{
    return counted.answers == 0 ? 0 : counted.failing_answers / counted.answers;
}

duration scaled(duration time, double fraction)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * fraction));
}

struct comparison_thresholds {
    std::uint64_t min_failing_answers = 0;
    double min_difference = 0;
    double min_standard_errors = 0;
};

bool is_worse(const sample& new_version, const sample& old_version, const comparison_thresholds& thresholds)
{
    if (new_version.failing_answers < static_cast<double>(thresholds.min_failing_answers)) {
        return false;
    }
    const double difference = failing_fraction(new_version) - failing_fraction(old_version);
    // One assumed answer of each kind keeps the standard error above zero for small samples.
    const double pooled = (new_version.failing_answers + old_version.failing_answers + 1) /
                          (new_version.answers + old_version.answers + 2);
    const double error =
        std::sqrt(pooled * (1 - pooled) * (1 / (new_version.answers + 1) + 1 / (old_version.answers + 1)));
    return difference >= thresholds.min_difference && difference >= thresholds.min_standard_errors * error;
}

// A sum that has become smaller lacks an instance that was counted before; what is left of it counts.
void subtract_earlier(version_counts& entry, std::span<const version_counts> earlier)
{
    const auto known = std::ranges::find_if(earlier, [&](const version_counts& other) {
        return other.version == entry.version && other.route == entry.route;
    });
    if (known == earlier.end() || known->sent > entry.sent) {
        return;
    }
    const auto subtract = [](std::uint64_t& value, std::uint64_t before) {
        value -= std::min(value, before);
    };
    subtract(entry.answers, known->answers);
    subtract(entry.failing_answers, known->failing_answers);
    subtract(entry.unanswered, known->unanswered);
    subtract(entry.sent, known->sent);
}

// Whether the new version is worse than the old one on any route.
bool is_worse_on_any_route(std::span<const version_counts> counts, const rollout_order& order,
                           const comparison_thresholds& thresholds, bool unanswered_is_failing)
{
    std::map<std::string_view, std::pair<sample, sample>> by_route; // New and old version.
    for (const version_counts& entry : counts) {
        if (entry.service != order.service) {
            continue;
        }
        auto& [new_version, old_version] = by_route[entry.route];
        sample& counted = entry.version == order.version ? new_version : old_version;
        const std::uint64_t unanswered = unanswered_is_failing ? entry.unanswered : 0;
        counted.answers += static_cast<double>(entry.answers + unanswered);
        counted.failing_answers += static_cast<double>(entry.failing_answers + unanswered);
    }
    return std::ranges::any_of(by_route, [&](const auto& entry) {
        return is_worse(entry.second.first, entry.second.second, thresholds);
    });
}

} // namespace

bool is_same_order(const rollout_order& known, const rollout_order& incoming,
                   std::optional<duration> since_new_era)
{
    // The operator has written everything again by then.
    constexpr duration rewrite_time = std::chrono::seconds(10);
    if (known.service != incoming.service || known.version != incoming.version ||
        known.time_limit != incoming.time_limit) {
        return false;
    }
    const bool is_other_era = era_of(known.order_version) != era_of(incoming.order_version);
    return known.order_version == incoming.order_version || is_other_era ||
           (since_new_era && *since_new_era < rewrite_time);
}

std::vector<version_counts> counts_since_order(rollout_run& run, std::span<const version_counts> reported)
{
    std::vector<version_counts> since_order;
    std::vector<version_counts> since_start;
    for (const version_counts& entry : reported) {
        if (entry.service != run.order.service) {
            continue;
        }
        if (entry.order_version == 0) {
            since_start.push_back(entry);
        } else if (entry.order_version == run.order.order_version ||
                   era_of(entry.order_version) != era_of(run.order.order_version)) {
            since_order.push_back(entry); // An order of another era is the same one, written again.
        }
    }
    if (!run.counts_before) {
        run.counts_before = since_start;
    }
    for (version_counts& entry : since_start) {
        subtract_earlier(entry, *run.counts_before);
        since_order.push_back(std::move(entry));
    }
    return since_order;
}

duration elapsed_of(const rollout_run& run, time_point now)
{
    const duration own = now - run.first_seen;
    return run.peer_elapsed == duration{} ? own
                                          : std::max(own, run.peer_elapsed + (now - run.peer_elapsed_at));
}

bool is_failing_version(std::span<const version_counts> counts, const rollout_order& order,
                        const rollout_tuning& tuning)
{
    return is_worse_on_any_route(
        counts, order, {tuning.min_failing_answers, tuning.min_difference, tuning.min_standard_errors},
        false);
}

bool may_promote(std::span<const version_counts> counts, const rollout_order& order,
                 const rollout_tuning& tuning, duration observed)
{
    const comparison_thresholds doubtful = {tuning.min_doubtful_answers, tuning.min_doubtful_difference,
                                            tuning.min_doubtful_standard_errors};
    const comparison_thresholds unanswered = {tuning.min_doubtful_answers, tuning.min_unanswered_difference,
                                              tuning.min_unanswered_standard_errors};
    if (is_worse_on_any_route(counts, order, doubtful, false) ||
        is_worse_on_any_route(counts, order, unanswered, true)) {
        return false;
    }
    std::uint64_t good_answers = 0;
    std::uint64_t sent = 0;
    for (const version_counts& entry : counts) {
        if (entry.service == order.service && entry.version == order.version) {
            good_answers += entry.answers - std::min(entry.answers, entry.failing_answers);
            sent += entry.sent;
        }
    }
    if (good_answers >= tuning.min_good_answers) {
        return true;
    }
    const comparison_thresholds early = {tuning.min_early_doubtful_answers,
                                         tuning.min_early_doubtful_difference,
                                         tuning.min_early_doubtful_standard_errors};
    const bool gets_few_requests = sent < tuning.unproven_requests && observed >= tuning.min_observation;
    return gets_few_requests && !is_worse_on_any_route(counts, order, early, false);
}

bool is_hold_excluded(const rollout_run& run, const rollout_tuning& tuning, time_point now)
{
    const bool is_held = run.known_hold.held && run.known_hold.order_version == run.order.order_version;
    return run.hold_read_at && now - *run.hold_read_at <= tuning.max_hold_age && !is_held;
}

double limit_share(const rollout_run& run, const rollout_tuning& tuning, double scheduled, bool promoted,
                   time_point now)
{
    if (run.completed) {
        return scheduled;
    }
    const double allowed = promoted ? scheduled : std::min(scheduled, tuning.trial_share);
    const double start = std::max({run.share, run.peer_share, tuning.trial_share});
    const duration ramp_time =
        scaled(run.order.time_limit, tuning.ramp_end_fraction - tuning.trial_end_fraction);
    const duration elapsed =
        run.share_at == time_point{} ? duration{} : std::min(now - run.share_at, tuning.max_update_gap);
    if (elapsed >= ramp_time) {
        return allowed;
    }
    const double increase = (1 - tuning.trial_share) * std::chrono::duration<double>(elapsed).count() /
                            std::chrono::duration<double>(ramp_time).count();
    return std::min(allowed, start + increase);
}

bool is_out_of_time(const rollout_run& run, const rollout_tuning& tuning, time_point now)
{
    return run.share < 1 && !run.completed && run.order.time_limit > duration{} &&
           elapsed_of(run, now) >= scaled(run.order.time_limit, tuning.abandon_fraction);
}

double new_version_share(const rollout_run& run, const rollout_tuning& tuning, bool has_new_targets,
                         time_point now)
{
    if (run.stopped || !has_new_targets) {
        return 0;
    }
    if (run.completed) {
        return 1;
    }
    const duration elapsed = elapsed_of(run, now);
    const duration ramp_start = scaled(run.order.time_limit, tuning.trial_end_fraction);
    const duration ramp_end = scaled(run.order.time_limit, tuning.ramp_end_fraction);
    if (elapsed <= ramp_start) {
        return tuning.trial_share;
    }
    const double ramp_progress = std::chrono::duration<double>(elapsed - ramp_start).count() /
                                 std::chrono::duration<double>(ramp_end - ramp_start).count();
    return std::min(1.0, tuning.trial_share + (1 - tuning.trial_share) * ramp_progress);
}

std::string longest_running_version(std::span<const target> targets, std::string_view service,
                                    std::string_view excluded)
{
    const target* longest_running = nullptr;
    for (const target& candidate : targets) {
        if (candidate.service != service || candidate.version == excluded) {
            continue;
        }
        const auto order_of = [](const target& entry) {
            return std::tuple(entry.draining, entry.born_ms, std::string_view(entry.version));
        };
        if (longest_running == nullptr || order_of(candidate) < order_of(*longest_running)) {
            longest_running = &candidate;
        }
    }
    return longest_running == nullptr ? std::string() : longest_running->version;
}

rollout_step next_step(const rollout_run& run, const rollout_tuning& tuning,
                       std::optional<rollout_state> recorded, std::uint64_t old_in_flight,
                       bool all_instances_moved, time_point now)
{
    if (recorded && *recorded != rollout_state::running) {
        return rollout_step::none;
    }
    if (run.stopped) {
        return rollout_step::record_rolled_back;
    }
    if (run.completed) {
        return rollout_step::record_completed;
    }
    const bool moved = run.share >= 1 && all_instances_moved;
    const bool may_complete =
        !run.held_elsewhere &&
        elapsed_of(run, now) >= scaled(run.order.time_limit, tuning.completion_fraction);
    if (run.share >= 1 && ((moved && old_in_flight == 0) || (may_complete && old_in_flight == 0))) {
        return rollout_step::record_completed;
    }
    return recorded ? rollout_step::none : rollout_step::record_running;
}

} // namespace camphorknot::steering
