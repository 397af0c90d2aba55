#include <algorithm>

#include "state.hpp"

namespace camphorknot::internal {
namespace {

constexpr duration report_period = std::chrono::seconds(1);
constexpr duration report_lifetime = std::chrono::seconds(4); ///< Tolerates the loss of two reports.

// A withdrawal drains the targets of its version, as a drain does with the targets that it lists.
bool is_running_drain(const active_move& move)
{
    return move.object.kind != move_kind::rollout && move.progress.stage == move_stage::running;
}

std::vector<std::string> drained_addresses(const node& state, const move_object& move)
{
    if (move.kind == move_kind::drain) {
        return move.targets;
    }
    std::vector<std::string> addresses;
    for (const target_object& target : objects_of<target_object>(in_force(state.configurations))) {
        if (target.service == move.service && target.version == move.version) {
            addresses.push_back(target.address);
        }
    }
    return addresses;
}

std::uint64_t own_in_flight(const node& state, const active_move& move)
{
    const std::vector<std::string> addresses = drained_addresses(state, move.object);
    const std::lock_guard lock(state.shared->routing_mutex);
    std::uint64_t sum = 0;
    for (const std::string& address : addresses) {
        sum += in_flight(state.shared->routing, make_id<target_id>(address));
    }
    return sum;
}

bool is_fresh(const drain_count& count, time_point now)
{
    return now - count.last_received < report_lifetime;
}

// The sum over the region, or nothing if a live instance of it has not reported lately.
std::optional<std::uint64_t> region_sum(const node& state, const active_move& move, time_point now)
{
    std::uint64_t sum = 0;
    for (const member_record& member : live_members(state.members)) {
        if (member.region != state.region) {
            continue;
        }
        const auto count = move.instance_counts.find(member.instance);
        if (count == move.instance_counts.end() || !is_fresh(count->second, now)) {
            return std::nullopt;
        }
        sum += count->second.in_flight;
    }
    return sum;
}

void send_report(node& state, const active_move& move, count_scope scope, std::uint64_t in_flight,
                 instance_id to, node_output& out)
{
    envelope message;
    message.to = to;
    message.body = drain_report{make_id<move_id>(move.object.name), scope, state.region, in_flight};
    out.messages.push_back(std::move(message));
}

void report_drain(node& state, active_move& move, time_point now, node_output& out)
{
    const std::uint64_t key = hash_name(move.object.name);
    const std::uint64_t own = own_in_flight(state, move);
    const auto collector = choose_by_rendezvous(state.members, key, state.region, std::nullopt);
    if (collector && *collector != state.self) {
        send_report(state, move, count_scope::instance, own, *collector, out);
        return;
    }
    move.instance_counts[state.self] = {own, now};
    const auto sum = region_sum(state, move, now);
    const auto assignee = choose_by_rendezvous(state.members, key, std::nullopt, std::nullopt);
    if (!sum || !assignee) {
        return;
    }
    if (*assignee == state.self) {
        move.region_counts[state.region] = {*sum, now};
    } else {
        send_report(state, move, count_scope::region, *sum, *assignee, out);
    }
}

} // namespace

void tick_drains(node& state, time_point now, node_output& out)
{
    for (auto& [id, move] : state.moves) {
        if (is_running_drain(move) && now >= move.next_report) {
            move.next_report = now + report_period;
            report_drain(state, move, now, out);
        }
    }
}

void on_drain_report(node& state, const envelope& message, time_point now)
{
    const auto* report = std::get_if<drain_report>(&message.body);
    const auto found = report == nullptr ? state.moves.end() : state.moves.find(report->move);
    if (found == state.moves.end()) {
        return;
    }
    if (report->scope == count_scope::instance) {
        found->second.instance_counts[message.from] = {report->in_flight, now};
    } else {
        found->second.region_counts[report->region] = {report->in_flight, now};
    }
}

std::optional<std::uint64_t> drain_in_flight(const node& state, const active_move& move, time_point now)
{
    if (!is_running_drain(move)) {
        return std::nullopt;
    }
    std::uint64_t sum = 0;
    for (const member_record& member : live_members(state.members)) {
        const auto count = move.region_counts.find(member.region);
        if (count == move.region_counts.end() || !is_fresh(count->second, now)) {
            return std::nullopt;
        }
    }
    for (const auto& [region, count] : move.region_counts) {
        sum += is_fresh(count, now) ? count.in_flight : 0;
    }
    return sum;
}

} // namespace camphorknot::internal
