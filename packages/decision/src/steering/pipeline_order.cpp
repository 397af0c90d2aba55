#include "camphorknot/steering/pipeline_order.hpp"

#include <algorithm>

namespace camphorknot::steering {
namespace {

std::vector<pipelined_request>::iterator find_request(pipeline_order& order, std::uint64_t number)
{
    return std::ranges::find(order.requests, number, &pipelined_request::number);
}

} // namespace

bool may_read_ahead(const pipeline_order& order, const pipeline_limits& limits, bool has_room)
{
    if (order.is_closed) {
        return false;
    }
    if (order.requests.empty()) {
        return true;
    }
    std::size_t ahead_bytes = 0;
    for (std::size_t position = 1; position < order.requests.size(); ++position) {
        ahead_bytes += order.requests[position].bytes;
    }
    return has_room && order.requests.size() - 1 < limits.max_ahead && ahead_bytes < limits.max_ahead_bytes;
}

void add_read(pipeline_order& order, std::uint64_t number, bool is_idempotent, std::size_t bytes)
{
    if (!order.is_closed) {
        order.requests.push_back({number, is_idempotent, bytes, pipelined_state::read, 0});
    }
}

std::optional<std::uint64_t> next_to_start(const pipeline_order& order, const pipeline_limits& limits)
{
    std::size_t running = 0;
    std::size_t held_bytes = 0;
    for (const pipelined_request& request : order.requests) {
        running += request.state == pipelined_state::running ? 1 : 0;
        held_bytes += request.answer_bytes;
    }
    const bool has_room = running < limits.max_running && held_bytes < limits.max_held_bytes;
    for (std::size_t position = 0; position < order.requests.size(); ++position) {
        const pipelined_request& request = order.requests[position];
        if (request.state == pipelined_state::read) {
            const bool may_start = position == 0 || (request.is_idempotent && has_room);
            return may_start ? std::optional(request.number) : std::nullopt;
        }
        if (request.state == pipelined_state::running && !request.is_idempotent) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

void on_started(pipeline_order& order, std::uint64_t number)
{
    const auto found = find_request(order, number);
    if (found != order.requests.end()) {
        found->state = pipelined_state::running;
    }
}

bool confirm_start(pipeline_order& order, std::uint64_t number, bool is_idempotent)
{
    const auto found = find_request(order, number);
    if (found == order.requests.end()) {
        return false;
    }
    found->is_idempotent = is_idempotent;
    if (is_idempotent || found == order.requests.begin()) {
        return true;
    }
    found->state = pipelined_state::read;
    return false;
}

void on_answered(pipeline_order& order, std::uint64_t number, std::size_t answer_bytes)
{
    const auto found = find_request(order, number);
    if (found != order.requests.end()) {
        found->state = pipelined_state::answered;
        found->answer_bytes = answer_bytes;
    }
}

std::optional<std::uint64_t> next_to_write(const pipeline_order& order)
{
    if (order.requests.empty() || order.requests.front().state != pipelined_state::answered) {
        return std::nullopt;
    }
    return order.requests.front().number;
}

void on_written(pipeline_order& order)
{
    if (!order.requests.empty()) {
        order.requests.erase(order.requests.begin());
    }
}

dropped_requests close_order(pipeline_order& order)
{
    dropped_requests dropped;
    for (const pipelined_request& request : order.requests) {
        if (request.state == pipelined_state::read) {
            dropped.not_started.push_back(request.number);
        } else if (request.state == pipelined_state::running) {
            dropped.running.push_back(request.number);
        }
    }
    order.requests.clear();
    order.is_closed = true;
    return dropped;
}

} // namespace camphorknot::steering
