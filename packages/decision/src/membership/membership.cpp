#include "camphorknot/membership.hpp"

#include <algorithm>
#include <utility>

#include "parts.hpp"

namespace camphorknot {
namespace {

using namespace internal;

// How long the record of a stopped member is kept, so that gossip of a peer that was cut off does not restore
// it.
constexpr duration stopped_record_term = std::chrono::hours(2);
constexpr duration sweep_period = std::chrono::seconds(1);

membership_error check_settings(const membership_settings& settings)
{
    if (settings.regions.empty()) {
        return membership_error::no_regions;
    }
    const auto& regions = settings.regions;
    if (std::find(regions.begin(), regions.end(), settings.self.region) == regions.end()) {
        return membership_error::self_region_unknown;
    }
    const duration min_duration =
        std::min({settings.authority_term, settings.suspicion_term, settings.gossip_period,
                  settings.ping_period, settings.ticket_epoch_length});
    return min_duration > duration::zero() ? membership_error::none : membership_error::term_not_positive;
}

// After a pause of this process, answers may be waiting unread, so unanswered probes must not cause
// suspicion.
void reset_suspicions_after_pause(membership& members, time_point now)
{
    if (now - members.last_tick < members.settings.ping_period * 2) {
        return;
    }
    ++members.counters.pauses_noticed;
    members.suspicions.clear();
    for (auto& [sequence, probe] : members.probes) {
        probe.overdue = true;
    }
}

void update_own_authority(membership& members, time_point now)
{
    member_record& self = members.settings.self;
    const bool authority = has_authority(members, now);
    if (authority != self.has_authority) {
        self.has_authority = authority;
        members.record_rumors[self.instance] = 0;
        members.live_cache_stale = true;
    }
}

// Advances ticket epochs, updates alone_in_region and erases old records of stopped members.
void sweep(membership& members, time_point now)
{
    if (now < members.next_sweep) {
        return;
    }
    members.next_sweep = now + sweep_period;
    advance_epochs(members, now);
    members.alone_in_region = is_alone_in_region(members, now);
    std::erase_if(members.members, [&](const auto& item) {
        const member_entry& entry = item.second;
        return entry.has_record && entry.record.state == member_state::left &&
               now - entry.changed_at > stopped_record_term && !members.record_rumors.contains(item.first);
    });
}

void update_sender(membership& members, const envelope& message)
{
    member_entry& entry = members.members[message.from];
    entry.newest_incarnation = std::max(entry.newest_incarnation, message.from_incarnation);
    refute_suspicion(members, message.from, message.from_incarnation);
}

void on_leave(membership& members, const envelope& message, time_point now)
{
    member_entry& entry = members.members[message.from];
    if (entry.has_record && entry.record.number <= message.from_incarnation) {
        mark_stopped(members, entry, now);
    }
}

template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

result<membership, membership_error> make_membership(const membership_settings& settings, time_point now)
{
    const membership_error error = check_settings(settings);
    if (error != membership_error::none) {
        return fail<membership>(error);
    }
    membership members;
    members.settings = settings;
    members.settings.self.state = member_state::alive;
    members.settings.self.has_authority = false;
    members.random.state = mix_hash(settings.seed, settings.self.process_nonce);
    // A random start, so that answers to an earlier process on this address match no probe.
    members.next_sequence = members.random() >> 24U;
    members.unsettled_since = now;
    members.last_tick = now;
    for (const region_id region : settings.regions) {
        const duration initial_delay(uniform(members.random, settings.ping_period.count()));
        members.regions[region].next_ping = now + initial_delay;
    }
    reset_digests(members);
    members.record_rumors[settings.self.instance] = 0;
    return succeed<membership_error>(std::move(members));
}

void tick(membership& members, time_point now, outbox& out)
{
    if (members.has_left) {
        return;
    }
    reset_suspicions_after_pause(members, now);
    members.last_tick = now;
    refresh_settled(members, now);
    try_settle(members, now);
    tick_probes(members, now, out);
    tick_fencing(members, now, out);
    update_own_authority(members, now);
    tick_gossip(members, now, out);
    sweep(members, now);
}

void on_message(membership& members, const envelope& message, time_point now, outbox& out)
{
    const instance_id self = members.settings.self.instance;
    if (members.has_left || message.to != self || message.from == self) {
        return;
    }
    refresh_settled(members, now);
    update_sender(members, message);
    std::visit(overloaded{
                   [&](const ping& body) { on_ping(members, message, body, now, out); },
                   [&](const ping_ack& body) { on_ping_ack(members, message, body, now, out); },
                   [&](const indirect_ping& body) { on_indirect_ping(members, message, body, now, out); },
                   [&](const gossip& body) { on_gossip(members, message, body, now, out); },
                   [&](const fence_notice& body) { on_fence_notice(members, message, body, now, out); },
                   [&](const fence_ack& body) { on_fence_ack(members, message, body, now); },
                   [&](const leave&) { on_leave(members, message, now); },
                   [](const auto&) {},
               },
               message.body);
}

void add_contacts(membership& members, std::span<const instance_contact> contacts, time_point now)
{
    for (const instance_contact& contact : contacts) {
        if (contact.instance == members.settings.self.instance) {
            continue;
        }
        member_entry& entry = members.members[contact.instance];
        if (entry.has_record || entry.record.instance == contact.instance) {
            continue;
        }
        entry.record.instance = contact.instance;
        entry.record.region = contact.region;
        entry.record.failure_domain = contact.failure_domain;
        entry.record.peer_address = contact.peer_address;
        entry.changed_at = now;
        members.alone_in_region = members.alone_in_region && contact.region != members.settings.self.region;
    }
}

void update_self(membership& members, std::uint64_t configuration_version, std::uint64_t ticket_epoch)
{
    member_record& self = members.settings.self;
    self.configuration_version = configuration_version;
    self.ticket_epoch = ticket_epoch;
    update_live_cache(members, self);
}

void set_regions(membership& members, std::span<const region_id> regions)
{
    members.settings.regions.assign(regions.begin(), regions.end());
    for (const region_id region : regions) {
        members.regions.try_emplace(region);
    }
}

bool raise_fact(membership& members, const fact& value)
{
    return add_fact(members, value, false, members.last_tick);
}

bool has_fact(const membership& members, const fact& value)
{
    return members.facts.contains(value);
}

std::vector<membership_event> take_events(membership& members)
{
    return std::exchange(members.events, {});
}

void begin_leave(membership& members, time_point now)
{
    member_record& self = members.settings.self;
    self.state = member_state::leaving;
    members.live_cache_stale = true;
    members.record_rumors[self.instance] = 0;
    add_fact(members, {fact_kind::instance_leaving, self.instance.value, self.number, {}}, false, now);
}

void finish_leave(membership& members, outbox& out)
{
    for (const auto& [instance, entry] : members.members) {
        if (is_live(entry)) {
            send(members, instance, leave{}, out);
        }
    }
    members.has_left = true;
    members.live_cache_stale = true;
}

} // namespace camphorknot
