#include "camphorknot/steering/admission_cost.hpp"

#include <algorithm>
#include <cmath>

#include "target_state_rules.hpp"

namespace camphorknot::steering {
namespace {

constexpr duration min_work = std::chrono::milliseconds(1);
// Lifts or lowers a rank beyond all that differ by value.
constexpr int standing_offset = 1000;
// A slot that stays free is claimed within about a second, at five searches per second.
constexpr double min_claim_probability = 0.25;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration certain_work(const admission_tuning& tuning, const admission_request& request)
{
    return scaled(request.work, tuning.certain_work_fraction);
}

// The last request in the queue that would have to wait too long behind a new one.
std::optional<std::uint64_t> find_outrun(const wait_queue& queue, const waiting_request& request,
                                         time_point now, const room_estimate& room)
{
    std::optional<std::uint64_t> outrun;
    std::int64_t ahead = 0;
    for (const waiting_request& waiting : queue.requests) {
        if (!competes(waiting, request) || waiting.yields != request.yields) {
            continue;
        }
        const bool is_behind = precedes(request, waiting);
        const duration wait = room.first + room.interval * (ahead + (is_behind ? 1 : 0));
        if (is_behind && now + wait > waiting.refuse_at) {
            outrun = waiting.id;
        }
        ++ahead;
    }
    return outrun;
}

} // namespace

double answer_value(const admission_tuning& tuning, const admission_request& request, time_point answered)
{
    if (answered > request.deadline) {
        return 0;
    }
    const double priority = std::pow(tuning.priority_factor, -request.priority);
    const double returned = request.is_returned ? tuning.return_factor : 1;
    return priority * returned * (answered <= request.objective ? 1 : tuning.late_value);
}

int value_rank(const admission_tuning& tuning, const admission_request& request, time_point now)
{
    // A request that is expected to miss its deadline may still meet it, as estimates err.
    const double value = answer_value(tuning, request, std::min(now + request.work, request.deadline)) /
                         to_seconds(std::max({min_work, request.work, request.ranked_work}));
    const int rank = static_cast<int>(std::floor(tuning.steps_per_doubling * std::log2(value)));
    switch (request.standing) {
    case route_standing::starved:
        return rank + standing_offset;
    case route_standing::ahead:
        return rank - standing_offset;
    case route_standing::ordinary:
        break;
    }
    return rank;
}

bool can_meet_deadline(const admission_tuning& tuning, const admission_request& request, duration whole_time,
                       time_point now)
{
    const duration needed =
        std::min(certain_work(tuning, request), scaled(whole_time, tuning.max_certain_fraction));
    return now + needed <= request.deadline;
}

time_point latest_start(const admission_tuning& tuning, const wait_tuning& waiting,
                        const admission_request& request, duration objective, time_point now)
{
    const time_point by_deadline = request.deadline - certain_work(tuning, request);
    if (request.is_returned) {
        return by_deadline;
    }
    if (objective <= duration{}) {
        return std::min(by_deadline, now + waiting.max_wait);
    }
    // The fixed fraction stays the least, for requests whose work exceeds their objective.
    const time_point least = now + scaled(objective, waiting.objective_fraction);
    return std::min(by_deadline, std::max(request.objective - request.work, least));
}

int fair_turn(const wait_queue& queue, std::uint64_t customer, double weight)
{
    const auto waiting = std::ranges::count(queue.requests, customer, &waiting_request::customer);
    return static_cast<int>(static_cast<double>(waiting) / weight);
}

admission_decision decide_admission(const wait_queue& queue, const wait_tuning& tuning,
                                    const waiting_request& request, time_point now, const room_estimate& room,
                                    double jitter)
{
    admission_decision decision;
    const duration queue_time = expected_queue_time(queue, request, room);
    const bool is_full = queue.requests.size() >= tuning.max_waiting;
    const bool has_place = !is_full || precedes(request, queue.requests.back());
    if (!has_place || now + queue_time > request.refuse_at) {
        decision.wait = {false, retry_after_for(tuning, to_seconds(queue_time), jitter), queue_time};
        return decision;
    }
    decision.wait = {true, duration{}, queue_time};
    decision.displaced = is_full ? queue.requests.back().id : find_outrun(queue, request, now, room);
    return decision;
}

room_estimate room_beside_reserve(const target_state& target, double reserved, duration work)
{
    const double slots = target.entry.slots;
    const duration interval = scaled(work, target.slowness / slots);
    const double excess = std::max(0.0, total_load(target) + 1 - (slots - reserved));
    return {scaled(interval, excess), interval};
}

double claim_probability(const target_state& target)
{
    const double load = total_load(target);
    const double free = std::max(1.0, target.entry.slots - load);
    const double own_part = (target.own_in_flight + 1.0) / (load + 1);
    return std::clamp(free * own_part, min_claim_probability, 1.0);
}

} // namespace camphorknot::steering
