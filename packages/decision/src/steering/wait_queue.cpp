#include "camphorknot/steering/wait_queue.hpp"

#include <algorithm>

namespace camphorknot::steering {
namespace {

// Lower bound, used before the first completion.
constexpr double min_completions_per_s = 2;

bool is_ahead(const waiting_request& waiting, const waiting_request& request)
{
    return competes(waiting, request) && precedes(waiting, request) && (!waiting.yields || request.yields);
}

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

duration retry_after_for(const wait_tuning& tuning, double queue_time_s, double jitter)
{
    const duration base = to_duration(queue_time_s * (0.75 + jitter));
    const duration spread =
        to_duration(std::chrono::duration<double>(tuning.min_retry_after).count() * jitter);
    return std::min(tuning.min_retry_after + spread + base, tuning.max_retry_after);
}

room_estimate room_from_rate(double completions_per_s)
{
    const duration interval = to_duration(1 / std::max(min_completions_per_s, completions_per_s));
    return {interval, interval};
}

bool precedes(const waiting_request& a, const waiting_request& b)
{
    if (a.value_rank != b.value_rank) {
        return a.value_rank > b.value_rank;
    }
    if (a.fair_turn != b.fair_turn) {
        return a.fair_turn < b.fair_turn;
    }
    return a.priority != b.priority ? a.priority < b.priority : a.objective < b.objective;
}

bool competes(const waiting_request& a, const waiting_request& b)
{
    return a.target == 0 || b.target == 0 || a.target == b.target;
}

duration expected_queue_time(const wait_queue& queue, const waiting_request& request,
                             const room_estimate& room)
{
    const auto ahead = std::ranges::count_if(
        queue.requests, [&](const waiting_request& waiting) { return is_ahead(waiting, request); });
    return room.first + room.interval * ahead;
}

bool must_wait_behind(const wait_queue& queue, const waiting_request& request)
{
    return std::ranges::any_of(queue.requests,
                               [&](const waiting_request& waiting) { return is_ahead(waiting, request); });
}

wait_decision decide_wait(const wait_queue& queue, const wait_tuning& tuning, waiting_request& request,
                          time_point now, duration objective, const room_estimate& room, double jitter)
{
    const duration queue_time = expected_queue_time(queue, request, room);
    const duration limit =
        objective == duration{}
            ? tuning.max_wait
            : to_duration(std::chrono::duration<double>(objective).count() * tuning.objective_fraction);
    request.refuse_at = std::min(request.refuse_at, now + limit);
    if (queue.requests.size() >= tuning.max_waiting || now + queue_time > request.refuse_at) {
        return {false, retry_after_for(tuning, std::chrono::duration<double>(queue_time).count(), jitter),
                duration{}};
    }
    return {true, duration{}, queue_time};
}

const waiting_request* first_for_target(const wait_queue& queue, std::uint64_t target)
{
    const auto found = std::ranges::find_if(queue.requests, [&](const waiting_request& waiting) {
        return waiting.target == 0 || waiting.target == target;
    });
    return found == queue.requests.end() ? nullptr : &*found;
}

const waiting_request* first_unyielding_for_target(const wait_queue& queue, std::uint64_t target)
{
    const auto found = std::ranges::find_if(queue.requests, [&](const waiting_request& waiting) {
        return !waiting.yields && (waiting.target == 0 || waiting.target == target);
    });
    return found == queue.requests.end() ? nullptr : &*found;
}

void add_waiting(wait_queue& queue, const waiting_request& request)
{
    const auto position = std::ranges::find_if(
        queue.requests, [&](const waiting_request& waiting) { return precedes(request, waiting); });
    queue.requests.insert(position, request);
}

void remove_waiting(wait_queue& queue, std::uint64_t id)
{
    std::erase_if(queue.requests, [id](const waiting_request& waiting) { return waiting.id == id; });
}

} // namespace camphorknot::steering
