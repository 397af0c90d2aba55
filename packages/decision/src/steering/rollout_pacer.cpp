#include "camphorknot/steering/rollout_pacer.hpp"

#include <algorithm>
#include <cmath>

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

bool is_worse(const sample& new_version, const sample& old_version, const rollout_tuning& tuning)
{
    if (new_version.failing_answers < static_cast<double>(tuning.min_failing_answers)) {
        return false;
    }
    const double difference = failing_fraction(new_version) - failing_fraction(old_version);
    // One assumed answer of each kind keeps the standard error above zero for small samples.
    const double pooled = (new_version.failing_answers + old_version.failing_answers + 1) /
                          (new_version.answers + old_version.answers + 2);
    const double error =
        std::sqrt(pooled * (1 - pooled) * (1 / (new_version.answers + 1) + 1 / (old_version.answers + 1)));
    return difference >= tuning.min_difference && difference >= tuning.min_standard_errors * error;
}

} // namespace

duration elapsed_of(const rollout_run& run, time_point now)
{
    const duration own = now - run.first_seen;
    return run.peer_elapsed == duration{} ? own
                                          : std::max(own, run.peer_elapsed + (now - run.peer_elapsed_at));
}

bool is_failing_version(std::span<const version_counts> counts, const rollout_order& order,
                        const rollout_tuning& tuning)
{
    std::map<std::string_view, std::pair<sample, sample>> by_route; // New and old version.
    for (const version_counts& counts_entry : counts) {
        if (counts_entry.service != order.service) {
            continue;
        }
        auto& [new_version, old_version] = by_route[counts_entry.route];
        sample& counted = counts_entry.version == order.version ? new_version : old_version;
        counted.answers += static_cast<double>(counts_entry.answers);
        counted.failing_answers += static_cast<double>(counts_entry.failing_answers);
    }
    return std::ranges::any_of(by_route, [&](const auto& entry) {
        return is_worse(entry.second.first, entry.second.second, tuning);
    });
}

double new_version_share(const rollout_run& run, const rollout_tuning& tuning, bool has_new_targets,
                         time_point now)
{
    if (run.stopped || !has_new_targets) {
        return 0;
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
    const bool moved = run.share >= 1 && all_instances_moved;
    const bool may_complete =
        elapsed_of(run, now) >= scaled(run.order.time_limit, tuning.completion_fraction);
    if (run.share >= 1 && ((moved && old_in_flight == 0) || (may_complete && old_in_flight == 0))) {
        return rollout_step::record_completed;
    }
    return recorded ? rollout_step::none : rollout_step::record_running;
}

} // namespace camphorknot::steering
