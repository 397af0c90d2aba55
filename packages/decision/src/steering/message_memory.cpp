#include "camphorknot/steering/message_memory.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace camphorknot::steering {
namespace {

using entry = std::map<std::uint64_t, held_message>::value_type;

// Messages by size, in ascending order.
enum size_class : std::uint8_t { ordinary, small, large, size_class_count };

// Bytes by the class of the messages that hold them.
using class_sums = std::array<std::size_t, size_class_count>;

size_class class_of(const memory_budget& budget, std::size_t bytes)
{
    if (bytes > budget.small_message) {
        return large;
    }
    return bytes > budget.ordinary_message ? small : ordinary;
}

// What the messages of this class and of the larger ones may hold together.
std::size_t limit_of(const memory_budget& budget, size_class smallest)
{
    const std::array<std::size_t, size_class_count> kept = {0, budget.kept_for_ordinary,
                                                            budget.kept_for_small};
    return budget.total - kept.at(smallest);
}

bool has_room(const memory_budget& budget, const class_sums& sums, size_class smallest)
{
    const std::size_t bytes = std::accumulate(sums.begin() + smallest, sums.end(), std::size_t{0});
    return bytes <= limit_of(budget, smallest);
}

bool has_room(const memory_budget& budget, const class_sums& sums)
{
    return has_room(budget, sums, large) && has_room(budget, sums, small) && has_room(budget, sums, ordinary);
}

class_sums sums_of(const message_memory& memory)
{
    return {memory.ordinary_bytes, memory.small_bytes, memory.large_bytes};
}

// The sums after a message has changed its size.
class_sums sums_after_resize(const message_memory& memory, std::size_t before, std::size_t after)
{
    class_sums sums = sums_of(memory);
    sums.at(class_of(memory.budget, before)) -= before;
    sums.at(class_of(memory.budget, after)) += after;
    return sums;
}

// The unfinished requests that may be given up for the message, longest without progress first.
std::vector<const entry*> find_candidates(const message_memory& memory, const entry& message, time_point now)
{
    const duration min_stall =
        message.second.kind == message_kind::answer ? duration{} : memory.budget.stall_time;
    std::vector<const entry*> candidates;
    for (const entry& other : memory.messages) {
        const held_message& held = other.second;
        const bool is_unfinished =
            held.kind == message_kind::request && !held.is_complete && !held.is_given_up && held.bytes > 0;
        if (is_unfinished && other.first != message.first && now - held.progress_at >= min_stall) {
            candidates.push_back(&other);
        }
    }
    std::ranges::stable_sort(candidates, {}, [](const entry* other) { return other->second.progress_at; });
    return candidates;
}

// Chooses messages to give up until the limits hold, that for the largest messages first. Returns whether
// they do.
bool make_room(const memory_budget& budget, const std::vector<const entry*>& candidates, class_sums& sums,
               std::vector<std::uint64_t>& given_up)
{
    for (const size_class smallest : {large, small, ordinary}) {
        for (const entry* other : candidates) {
            if (has_room(budget, sums, smallest)) {
                break;
            }
            const size_class found = class_of(budget, other->second.bytes);
            const bool is_chosen = std::ranges::find(given_up, other->first) != given_up.end();
            if (found >= smallest && !is_chosen) {
                sums.at(found) -= other->second.bytes;
                given_up.push_back(other->first);
            }
        }
    }
    return has_room(budget, sums);
}

void set_sums(message_memory& memory, const class_sums& sums)
{
    memory.ordinary_bytes = sums.at(ordinary);
    memory.small_bytes = sums.at(small);
    memory.large_bytes = sums.at(large);
}

} // namespace

memory_budget budget_of_machine(double machine_mb)
{
    memory_budget budget;
    budget.total = static_cast<std::size_t>(machine_mb * 1024 * 1024 * 2 / 3);
    budget.kept_for_small = budget.total / 8;
    budget.kept_for_ordinary = budget.total / 16;
    return budget;
}

std::uint64_t add_message(message_memory& memory, message_kind kind, time_point now)
{
    held_message added;
    added.kind = kind;
    added.progress_at = now;
    memory.messages.emplace(memory.next_id, added);
    return memory.next_id++;
}

bool resize_in_free_room(message_memory& memory, std::uint64_t id, std::size_t bytes)
{
    held_message& held = memory.messages.at(id);
    const class_sums sums = sums_after_resize(memory, held.bytes, bytes);
    if (held.is_given_up || !has_room(memory.budget, sums)) {
        return false;
    }
    held.bytes = bytes;
    set_sums(memory, sums);
    return true;
}

room_decision resize_message(message_memory& memory, std::uint64_t id, std::size_t bytes, time_point now)
{
    room_decision decision;
    entry& message = *memory.messages.find(id);
    held_message& held = message.second;
    decision.granted = resize_in_free_room(memory, id, bytes);
    if (decision.granted || held.is_given_up) {
        return decision;
    }
    class_sums sums = sums_after_resize(memory, held.bytes, bytes);
    const auto candidates = find_candidates(memory, message, now);
    if (!make_room(memory.budget, candidates, sums, decision.given_up)) {
        decision.given_up.clear();
        return decision;
    }
    for (const std::uint64_t other : decision.given_up) {
        memory.messages.at(other).bytes = 0;
        memory.messages.at(other).is_given_up = true;
    }
    held.bytes = bytes;
    set_sums(memory, sums);
    decision.granted = true;
    return decision;
}

void record_progress(message_memory& memory, std::uint64_t id, std::size_t received_bytes, time_point now)
{
    held_message& held = memory.messages.at(id);
    if (received_bytes >= held.received_bytes + memory.budget.progress_bytes) {
        held.received_bytes = received_bytes;
        held.progress_at = now;
    }
}

void complete_message(message_memory& memory, std::uint64_t id)
{
    memory.messages.at(id).is_complete = true;
}

bool is_given_up(const message_memory& memory, std::uint64_t id)
{
    return memory.messages.at(id).is_given_up;
}

void remove_message(message_memory& memory, std::uint64_t id)
{
    const auto found = memory.messages.find(id);
    set_sums(memory, sums_after_resize(memory, found->second.bytes, 0));
    memory.messages.erase(found);
}

} // namespace camphorknot::steering
