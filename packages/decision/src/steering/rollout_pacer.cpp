#include "camphorknot/steering/rollout_pacer.hpp"

#include <algorithm>
#include <cmath>

namespace camphorknot::steering {
namespace {

struct sample {
    double answers = 0;
    double failing_answers = 0;
};

double share_of(const sample& counted)
{
    return counted.answers == 0 ? 0 : counted.failing_answers / counted.answers;
}

duration part_of(duration whole, double part)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

bool is_worse(const sample& fresh, const sample& old, const rollout_tuning& tuning)
{
    if (fresh.failing_answers < static_cast<double>(tuning.min_failing_answers)) {
        return false;
    }
    const double difference = share_of(fresh) - share_of(old);
    // One made-up answer of each kind keeps the error above zero for small samples.
    const double pooled =
        (fresh.failing_answers + old.failing_answers + 1) / (fresh.answers + old.answers + 2);
    const double error = std::sqrt(pooled * (1 - pooled) * (1 / (fresh.answers + 1) + 1 / (old.answers + 1)));
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
    std::map<std::string_view, std::pair<sample, sample>> by_route; // New and old.
    for (const version_counts& each : counts) {
        if (each.service != order.service) {
            continue;
        }
        auto& [fresh, old] = by_route[each.route];
        sample& into = each.version == order.version ? fresh : old;
        into.answers += static_cast<double>(each.answers);
        into.failing_answers += static_cast<double>(each.failing_answers);
    }
    return std::ranges::any_of(
        by_route, [&](const auto& each) { return is_worse(each.second.first, each.second.second, tuning); });
}

double new_version_share(const rollout_run& run, const rollout_tuning& tuning, bool has_new_targets,
                         time_point now)
{
    if (run.stopped || !has_new_targets) {
        return 0;
    }
    const duration elapsed = elapsed_of(run, now);
    const duration ramp_start = part_of(run.order.time_limit, tuning.trial_end_fraction);
    const duration ramp_end = part_of(run.order.time_limit, tuning.ramp_end);
    if (elapsed <= ramp_start) {
        return tuning.trial_share;
    }
    const double done = std::chrono::duration<double>(elapsed - ramp_start).count() /
                        std::chrono::duration<double>(ramp_end - ramp_start).count();
    return std::min(1.0, tuning.trial_share + (1 - tuning.trial_share) * done);
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
    const bool in_time = elapsed_of(run, now) >= part_of(run.order.time_limit, tuning.completion_fraction);
    if (run.share >= 1 && ((moved && old_in_flight == 0) || (in_time && old_in_flight == 0))) {
        return rollout_step::record_completed;
    }
    return recorded ? rollout_step::none : rollout_step::record_running;
}

} // namespace camphorknot::steering
