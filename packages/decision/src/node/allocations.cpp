#include <algorithm>

#include "state.hpp"

namespace camphorknot::internal {
namespace {

constexpr duration check_period = std::chrono::seconds(1);
/// A restarted instance must be live for this long before it gets its allocation back, so that repeated
/// restarts do not move the allocation back and forth.
constexpr duration min_live_time = std::chrono::seconds(5);
/// Time after gaining authority in which every region has acknowledged a ping, and so has reported any fenced
/// incarnation of this address.
constexpr duration max_acknowledgement_time = std::chrono::seconds(3);

std::vector<instance_object> slots_of(const node& state)
{
    return objects_of<instance_object>(in_force(state.configurations));
}

const allocation_object* find_allocation(const node& state, const std::string& slot)
{
    const auto& objects = in_force(state.configurations).objects;
    const auto found = objects.find({object_kind::allocation, slot});
    return found == objects.end() ? nullptr : std::get_if<allocation_object>(&found->second);
}

bool is_live(const node& state, instance_id instance)
{
    const auto& live = live_members(state.members);
    return std::ranges::find(live, instance, &member_record::instance) != live.end();
}

// Rendezvous hashing selects the instance that takes over a slot, so that only one instance proposes it.
bool is_assigned(const node& state, instance_id slot)
{
    return choose_by_rendezvous(state.members, slot.value, std::nullopt, std::nullopt) == state.self;
}

// The slot's current owner, which may be another instance than the one listed for it.
std::string owner_of(const node& state, const instance_object& slot)
{
    const allocation_object* moved = find_allocation(state, slot.peer_address);
    return moved == nullptr ? slot.peer_address : moved->owner;
}

std::optional<allocation_object> slot_to_take(node& state)
{
    for (const instance_object& slot : slots_of(state)) {
        const std::string owner = owner_of(state, slot);
        const auto owner_id = make_id<instance_id>(owner);
        const bool stopped = state.stopped_owners.contains(owner_id) && !is_live(state, owner_id);
        if (stopped && is_assigned(state, make_id<instance_id>(slot.peer_address))) {
            return allocation_object{slot.peer_address, state.settings.peer_address};
        }
    }
    return std::nullopt;
}

std::optional<object_key> slot_to_give_back(const node& state, time_point now)
{
    for (const allocation_object& moved : objects_of<allocation_object>(in_force(state.configurations))) {
        const auto listed = state.live_since.find(make_id<instance_id>(moved.slot));
        const bool live_long_enough =
            listed != state.live_since.end() && now - listed->second >= min_live_time;
        if (moved.owner == state.settings.peer_address && moved.slot != moved.owner && live_long_enough) {
            return object_key{object_kind::allocation, moved.slot};
        }
    }
    return std::nullopt;
}

// After a fence only the table shows whether another instance took over the own allocation. Claiming it in
// the table resolves that.
bool must_claim(const node& state, time_point now)
{
    const bool listed = std::ranges::any_of(slots_of(state), [&](const instance_object& slot) {
        return slot.peer_address == state.settings.peer_address;
    });
    const bool acknowledged = now - state.authority_since >= max_acknowledgement_time;
    return listed && acknowledged && !owns_allocation_without_table(state.members) &&
           find_allocation(state, state.settings.peer_address) == nullptr;
}

void update_own_allocation(node& state, time_point now)
{
    const allocation_object* own = find_allocation(state, state.settings.peer_address);
    const bool claimed = own != nullptr && own->owner == state.settings.peer_address;
    allow_own_allocation(state.ledger, claimed || owns_allocation_without_table(state.members), now);
}

} // namespace

void tick_allocations(node& state, time_point now, node_output& out)
{
    update_own_allocation(state, now);
    if (now < state.next_allocation_check || !has_authority(state.members, now) ||
        !may_serve(state.configurations, state.regions)) {
        return;
    }
    state.next_allocation_check = now + check_period;
    const auto pending = state.change_results.find(state.allocation_change);
    if (pending != state.change_results.end() && pending->second.status == change_status::pending) {
        return;
    }
    if (must_claim(state, now)) {
        const std::string& self = state.settings.peer_address;
        state.allocation_change = propose_progress(state, {allocation_object{self, self}}, {}, now);
    } else if (const auto taken = slot_to_take(state)) {
        add_event(out, "allocation_taken", {{"slot", taken->slot}});
        state.allocation_change = propose_progress(state, {*taken}, {}, now);
    } else if (const auto given = slot_to_give_back(state, now)) {
        add_event(out, "allocation_given_back", {{"slot", given->name}});
        state.allocation_change = propose_progress(state, {}, {*given}, now);
    }
}

} // namespace camphorknot::internal
