#include "camphorknot/steering/connection_table.hpp"

#include <algorithm>

namespace camphorknot::steering {
namespace {

// Memory of a connection without a complete request: its socket's state, coroutine and input buffer.
constexpr double connection_bytes = 9.0 * 1024;
constexpr std::size_t min_connections = 4;

connection_order* order_of(connection_table& table, const connection_state& state)
{
    if (state.is_closing || state.phase == connection_phase::busy) {
        return nullptr;
    }
    if (!state.has_served) {
        return &table.new_ones;
    }
    return state.phase == connection_phase::idle ? &table.idle_ones : &table.reading_ones;
}

void remove_from_order(connection_table& table, std::uint64_t id, const connection_state& state)
{
    if (connection_order* order = order_of(table, state)) {
        order->erase({state.since, id});
    }
}

std::optional<std::uint64_t> first_waiting_since(const connection_order& order, time_point latest)
{
    if (order.empty() || order.begin()->first > latest) {
        return std::nullopt;
    }
    return order.begin()->second;
}

std::optional<std::uint64_t> choose_to_close(const connection_table& table, time_point now)
{
    const time_point stalled = now - table.min_stall;
    if (const auto found = first_waiting_since(table.new_ones, stalled)) {
        return found;
    }
    if (const auto found = first_waiting_since(table.idle_ones, now)) {
        return found;
    }
    return first_waiting_since(table.reading_ones, stalled);
}

} // namespace

connection_limits limits_of_machine(std::size_t descriptors, double machine_mb)
{
    connection_limits limits;
    const auto at_most = [](std::size_t& limit, std::size_t part) {
        limit = std::max(min_connections, std::min(limit, part));
    };
    at_most(limits.callers, descriptors * 5 / 8);
    at_most(limits.lookups, descriptors / 8);
    at_most(limits.readiness, descriptors / 64);
    at_most(limits.metrics, descriptors / 64);
    at_most(limits.peers, descriptors / 12);
    if (machine_mb > 0) {
        at_most(limits.callers, static_cast<std::size_t>(machine_mb * 1024 * 1024 / 5 / connection_bytes));
    }
    return limits;
}

connection_admission add_connection(connection_table& table, time_point now)
{
    connection_admission admission;
    if (table.connections.size() - table.closing >= table.limit) {
        admission.closed = choose_to_close(table, now);
        if (!admission.closed) {
            return admission;
        }
        connection_state& closed = table.connections.at(*admission.closed);
        remove_from_order(table, *admission.closed, closed);
        closed.is_closing = true;
        ++table.closing;
    }
    admission.id = table.next_id++;
    const connection_state added{connection_phase::idle, now, false, false};
    table.connections.emplace(*admission.id, added);
    table.new_ones.emplace(now, *admission.id);
    return admission;
}

void set_phase(connection_table& table, std::uint64_t id, connection_phase phase, time_point now)
{
    connection_state& state = table.connections.at(id);
    remove_from_order(table, id, state);
    state.phase = phase;
    state.since = now;
    state.has_served = state.has_served || phase == connection_phase::busy;
    if (connection_order* order = order_of(table, state)) {
        order->emplace(now, id);
    }
}

void remove_connection(connection_table& table, std::uint64_t id)
{
    const auto found = table.connections.find(id);
    remove_from_order(table, id, found->second);
    table.closing -= found->second.is_closing ? 1 : 0;
    table.connections.erase(found);
}

} // namespace camphorknot::steering
