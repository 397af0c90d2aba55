#include <algorithm>
#include <array>

#include "camphorknot/rollout.hpp"
#include "camphorknot/rollout/pooling.hpp"

namespace camphorknot {

using namespace internal;

namespace {

struct share_step {
    std::uint32_t share_percent;
    int weight; ///< Part of the time that is left before the soak.
};

/// The first steps take longer, since they expose the fewest requests to a fault that shows late.
constexpr std::array<share_step, 7> steps{{{1, 4}, {2, 3}, {5, 2}, {10, 2}, {25, 1}, {50, 1}, {100, 0}}};
constexpr std::uint32_t last_step = steps.size() - 1;
/// Up to this share, every route with enough traffic must have been judged before the next step.
constexpr std::uint32_t judged_share_percent = 2;
/// Shortest time at a step: two rounds of counts and time for a fault to show.
constexpr duration shortest_step = std::chrono::milliseconds(1500);
/// Time kept in the plan for the write that ends the last step. Without it the plan ends at the very moment
/// at which the deadline forces a rollback.
constexpr duration step_write_time = std::chrono::seconds(1);
/// Time kept for the write that ends the move.
constexpr duration write_margin = std::chrono::seconds(3);
constexpr std::uint64_t least_step_requests = 20;
constexpr std::uint64_t least_judged_requests = 100;
/// A step may wait for evidence up to this part of the time left, since the steps after it need time too. A
/// route with too little traffic for a judgement by then does not hold the move: a later step finds its fault
/// after the same number of requests.
constexpr double longest_judging_part = 0.4;
/// Evidence at which a step waits for more. A good version reaches it by chance in one of 20 tests.
constexpr double doubtful_score = 3;
/// Samples of the new version after which the tests of a good route have nearly always ended.
constexpr double samples_to_judge = 500;
/// An instance that did not find the version bad itself waits for counts that tell why it was stopped.
constexpr duration reason_wait = std::chrono::milliseconds(1500);
constexpr double least_reason_score = 2;
/// Routing to leaving targets stops within this time on all instances.
constexpr duration drain_settle_time = std::chrono::seconds(2);
constexpr double percent = 100;

move_state ended(const move_state& before, move_stage stage, move_reason reason)
{
    move_state next = before;
    next.stage = stage;
    next.reason = reason;
    next.share_percent = stage == move_stage::done ? before.share_percent : 0;
    return next;
}

duration time_left(const rollout_move& move, unix_milliseconds wall_now)
{
    return std::chrono::milliseconds(move.object.deadline - wall_now) - write_margin;
}

// The least time that the rest of the move takes after the present step.
duration least_rest(const rollout_move& move)
{
    const std::uint32_t steps_after = move.durable.step >= last_step ? 0 : last_step - move.durable.step - 1;
    return std::chrono::seconds(move.object.soak_seconds) + shortest_step * steps_after;
}

// When the step should end so that all steps share the time before the soak by their weights.
time_point planned_end(const rollout_move& move, time_point now, duration left)
{
    int weights = 0;
    for (std::uint32_t step = move.durable.step; step < last_step; ++step) {
        weights += steps[step].weight;
    }

    const duration usable =
        now + left - std::chrono::seconds(move.object.soak_seconds) - step_write_time - move.step_started;
    const duration part =
        weights == 0 ? duration::zero() : usable * steps[move.durable.step].weight / weights;
    return move.step_started + std::max(shortest_step, part);
}

bool is_judged(const rollout_move& move, route_id route)
{
    const auto found = move.pooled.find(route);
    return found != move.pooled.end() && found->second.failing_evidence.passed &&
           found->second.slow_evidence.passed;
}

// Whether the route gets enough requests at this step until `latest` for its tests to end.
bool can_be_judged(const rollout_move& move, const route_counts& counts, time_point now, time_point latest)
{
    const double seconds = std::chrono::duration<double>(now - move.step_started).count();
    const double rate = static_cast<double>(counts.old_version.requests + counts.new_version.requests) /
                        std::max(seconds, 1.0);
    const double whole_step = std::chrono::duration<double>(latest - move.step_started).count();
    return rate * move.durable.share_percent / percent * whole_step >= samples_to_judge;
}

// Whether every route that can be judged until `limit` has been found good.
bool all_judged(const rollout_state& state, const rollout_move& move, time_point now, time_point limit)
{
    if (!state.enabled.per_route_test) {
        return is_judged(move, route_id{});
    }
    const step_counts counts = pooled_counts(state, move);
    return std::all_of(counts.begin(), counts.end(), [&](const auto& entry) {
        return is_judged(move, entry.first) || !can_be_judged(move, entry.second, now, limit);
    });
}

// A route whose tests have not ended after that many samples is not as good as the old version.
bool is_undecided_despite_samples(const rollout_move& move)
{
    return std::any_of(move.pooled.begin(), move.pooled.end(), [&](const auto& entry) {
        return static_cast<double>(entry.second.new_requests) >= samples_to_judge &&
               !is_judged(move, entry.first);
    });
}

bool is_doubtful(const rollout_move& move)
{
    const auto doubtful = [](const auto& entry) {
        return std::max(entry.second.failing_evidence.score, entry.second.slow_evidence.score) >=
               doubtful_score;
    };
    return std::any_of(move.pooled.begin(), move.pooled.end(), doubtful);
}

std::uint64_t new_requests(const rollout_state& state, const rollout_move& move)
{
    std::uint64_t requests = 0;
    for (const auto& [route, counts] : pooled_counts(state, move)) {
        requests += counts.new_version.requests;
    }
    return requests;
}

std::uint64_t judged_requests(const rollout_move& move)
{
    std::uint64_t requests = 0;
    for (const auto& [route, evidence] : move.pooled) {
        requests += evidence.new_requests;
    }
    return requests;
}

// Until when a step may wait for evidence.
time_point waiting_limit(const rollout_move& move, time_point now, duration left)
{
    const duration usable = now + left - least_rest(move) - step_write_time - move.step_started;
    const double longest = longest_judging_part * static_cast<double>(usable.count());
    return std::max(planned_end(move, now, left),
                    move.step_started + duration(static_cast<duration::rep>(longest)));
}

bool may_advance(const rollout_state& state, const rollout_move& move, time_point now, duration left)
{
    if (now < planned_end(move, now, left) || new_requests(state, move) < least_step_requests) {
        return false;
    }
    const bool before_judgement = move.durable.share_percent == judged_share_percent;
    if (before_judgement && judged_requests(move) < least_judged_requests) {
        return false;
    }
    const time_point limit = waiting_limit(move, now, left);
    if (now >= limit) {
        return !before_judgement || !is_undecided_despite_samples(move);
    }
    return !is_doubtful(move) && (!before_judgement || all_judged(state, move, now, limit));
}

// The reason to write for a version that was stopped, or none while it is worth to wait for counts.
move_reason stop_reason(const rollout_state& state, const rollout_move& move, time_point now)
{
    const verdict said = judge(state, move.durable.id);
    if (said == verdict::failing || said == verdict::slow) {
        return said == verdict::slow ? move_reason::version_slow : move_reason::version_failing;
    }
    if (now - move.stop_received < reason_wait) {
        return move_reason::none;
    }
    double failing = 0;
    double slow = 0;
    for (const auto* judges : {&move.pooled, &move.local}) {
        for (const auto& [route, evidence] : *judges) {
            failing = std::max(failing, evidence.failing_evidence.score);
            slow = std::max(slow, evidence.slow_evidence.score);
        }
    }
    if (std::max(failing, slow) < least_reason_score) {
        return move_reason::operator_request;
    }
    return failing >= slow ? move_reason::version_failing : move_reason::version_slow;
}

move_state at_step(const move_state& before, std::uint32_t step)
{
    move_state next = before;
    next.step = step;
    next.share_percent = steps[step].share_percent;
    next.stage = step == last_step ? move_stage::soaking : move_stage::running;
    return next;
}

std::optional<move_state> next_rollout_state(const rollout_state& state, const rollout_move& move,
                                             unix_milliseconds wall_now, time_point now)
{
    const move_state& durable = move.durable;
    if (state.stopped.contains({move.service, move.version})) {
        const move_reason why = stop_reason(state, move, now);
        return why == move_reason::none ? std::nullopt
                                        : std::optional(ended(durable, move_stage::rolled_back, why));
    }
    const verdict said = judge(state, durable.id);
    if (said == verdict::failing || said == verdict::slow) {
        return ended(durable, move_stage::rolled_back, stop_reason(state, move, now));
    }
    const duration left = time_left(move, wall_now);
    if (durable.stage == move_stage::soaking) {
        const bool soaked = now - move.step_started >= std::chrono::seconds(move.object.soak_seconds);
        return soaked ? std::optional(ended(durable, move_stage::done, move_reason::none)) : std::nullopt;
    }
    if (move.object.on_deadline == deadline_action::roll_back && left < least_rest(move)) {
        return ended(durable, move_stage::rolled_back, move_reason::deadline);
    }
    if (durable.stage == move_stage::waiting) {
        return at_step(durable, 0);
    }
    return may_advance(state, move, now, left) ? std::optional(at_step(durable, durable.step + 1))
                                               : std::nullopt;
}

std::optional<move_state> next_drain_state(const rollout_move& move, unix_milliseconds wall_now,
                                           time_point now, std::optional<std::uint64_t> drained_in_flight)
{
    const move_state& durable = move.durable;
    if (durable.stage == move_stage::waiting) {
        move_state next = durable;
        next.stage = move_stage::running;
        return next;
    }
    if (now - move.step_started >= drain_settle_time && drained_in_flight == std::uint64_t{0}) {
        return ended(durable, move_stage::done, move_reason::targets_idle);
    }
    if (wall_now < move.object.deadline) {
        return std::nullopt;
    }
    return move.object.on_deadline == deadline_action::finish
               ? ended(durable, move_stage::done, move_reason::cut_at_deadline)
               : ended(durable, move_stage::rolled_back, move_reason::deadline);
}

} // namespace

std::optional<move_state> next_state(const rollout_state& state, move_id move, unix_milliseconds wall_now,
                                     time_point now, std::optional<std::uint64_t> drained_in_flight)
{
    const auto found = state.moves.find(move);
    if (found == state.moves.end() || found->second.durable.stage == move_stage::done ||
        found->second.durable.stage == move_stage::rolled_back) {
        return std::nullopt;
    }
    const rollout_move& known = found->second;
    return known.object.kind == move_kind::rollout
               ? next_rollout_state(state, known, wall_now, now)
               : next_drain_state(known, wall_now, now, drained_in_flight);
}

} // namespace camphorknot
