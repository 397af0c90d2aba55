#include "camphorknot/membership.hpp"

#include <algorithm>
#include <utility>

#include "parts.hpp"

namespace camphorknot {
namespace {

using namespace internal;

// How long a proved stop is remembered, so that a peer that was cut off does not bring the record back.
constexpr duration stopped_record_term = std::chrono::hours(2);
constexpr duration sweep_period = std::chrono::seconds(1);

membership_error check(const membership_settings& settings)
{
    if (settings.regions.empty()) {
        return membership_error::no_regions;
    }
    const auto& regions = settings.regions;
    if (std::find(regions.begin(), regions.end(), settings.self.region) == regions.end()) {
        return membership_error::self_region_unknown;
    }
    const duration shortest =
        std::min({settings.authority_term, settings.suspicion_term, settings.gossip_period,
                  settings.ping_period, settings.ticket_epoch_length});
    return shortest > duration::zero() ? membership_error::none : membership_error::term_not_positive;
}

// A process that did not run for a while cannot tell late answers from missing ones.
void forgive_after_pause(membership& members, time_point now)
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
        members.live_stale = true;
    }
}

void sweep(membership& members, time_point now)
{
    if (now < members.next_sweep) {
        return;
    }
    members.next_sweep = now + sweep_period;
    advance_epochs(members, now);
    members.alone = alone_in_region(members, now);
    std::erase_if(members.members, [&](const auto& item) {
        const member_entry& entry = item.second;
        return entry.known && entry.record.state == member_state::left &&
               now - entry.changed > stopped_record_term && !members.record_rumors.contains(item.first);
    });
}

void note_sender(membership& members, const envelope& message)
{
    member_entry& entry = members.members[message.from];
    entry.newest_incarnation = std::max(entry.newest_incarnation, message.from_incarnation);
    refute(members, message.from, message.from_incarnation);
}

void on_leave(membership& members, const envelope& message, time_point now)
{
    member_entry& entry = members.members[message.from];
    if (entry.known && entry.record.number <= message.from_incarnation) {
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
    const membership_error problem = check(settings);
    if (problem != membership_error::none) {
        return fail<membership>(problem);
    }
    membership members;
    members.settings = settings;
    members.settings.self.state = member_state::alive;
    members.settings.self.has_authority = false;
    members.random.state = mix_hash(settings.seed, settings.self.process_nonce);
    // Answers to an earlier process on this address must not match.
    members.next_sequence = members.random() >> 24U;
    members.unsettled_since = now;
    members.last_tick = now;
    for (const region_id region : settings.regions) {
        const duration spread(uniform(members.random, settings.ping_period.count()));
        members.regions[region].next_ping = now + spread;
    }
    reset_digests(members);
    members.record_rumors[settings.self.instance] = 0;
    return succeed<membership_error>(std::move(members));
}

void tick(membership& members, time_point now, outbox& out)
{
    if (members.left) {
        return;
    }
    forgive_after_pause(members, now);
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
    if (members.left || message.to != self || message.from == self) {
        return;
    }
    refresh_settled(members, now);
    note_sender(members, message);
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
        if (entry.known || entry.record.instance == contact.instance) {
            continue;
        }
        entry.record.instance = contact.instance;
        entry.record.region = contact.region;
        entry.record.failure_domain = contact.failure_domain;
        entry.record.peer_address = contact.peer_address;
        entry.changed = now;
        members.alone = members.alone && contact.region != members.settings.self.region;
    }
}

void update_self(membership& members, std::uint64_t configuration_version, std::uint64_t ticket_epoch)
{
    member_record& self = members.settings.self;
    self.configuration_version = configuration_version;
    self.ticket_epoch = ticket_epoch;
    patch_live(members, self);
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
    return learn_fact(members, value, false, members.last_tick);
}

bool knows_fact(const membership& members, const fact& value)
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
    members.live_stale = true;
    members.record_rumors[self.instance] = 0;
    learn_fact(members, {fact_kind::instance_leaving, self.instance.value, self.number, {}}, false, now);
}

void finish_leave(membership& members, outbox& out)
{
    for (const auto& [instance, entry] : members.members) {
        if (is_live(entry)) {
            send(members, instance, leave{}, out);
        }
    }
    members.left = true;
    members.live_stale = true;
}

} // namespace camphorknot
