#include <algorithm>

#include "parts.hpp"

namespace camphorknot::internal {
namespace {

constexpr int helpers_per_probe = 3;

bool current(const membership& members, instance_id instance, incarnation number)
{
    const auto found = members.members.find(instance);
    return found != members.members.end() && is_live(found->second) && found->second.record.number == number;
}

void probe_directly(membership& members, instance_id subject, pending_probe probe, time_point now,
                    outbox& out)
{
    const member_record& record = members.members.at(subject).record;
    probe.subject = subject;
    probe.number = record.number;
    probe.region = record.region;
    probe.sent = now;
    const std::uint64_t sequence = members.next_sequence++;
    members.probes.emplace(sequence, probe);
    ++members.counters.pings;
    send(members, subject, ping{sequence}, out);
}

void ping_region(membership& members, region_id region, time_point now, outbox& out)
{
    if (const auto peer = random_peer(members, region)) {
        probe_directly(members, *peer, {}, now, out);
    }
}

void ask_helpers(membership& members, instance_id subject, time_point now, outbox& out)
{
    const region_id region = members.members.at(subject).record.region;
    for (int i = 0; i < helpers_per_probe; ++i) {
        // One helper near the subject, the others anywhere.
        const auto far = random_far_region(members);
        const auto helper = random_peer(members, i == 0 || !far ? region : *far);
        if (!helper || *helper == subject) {
            continue;
        }
        const std::uint64_t sequence = members.next_sequence++;
        members.probes.emplace(sequence, pending_probe{probe_kind::helper,
                                                       subject,
                                                       members.members.at(subject).record.number,
                                                       region,
                                                       now,
                                                       false,
                                                       {},
                                                       0});
        send(members, *helper, indirect_ping{sequence, subject}, out);
    }
}

void suspect(membership& members, instance_id subject, incarnation number, time_point now)
{
    if (!has_authority(members, now) || !current(members, subject, number) ||
        members.suspicions.contains(subject)) {
        return;
    }
    ++members.counters.suspicions;
    members.suspicions.emplace(subject, suspicion{number, now, now});
}

void expire_probes(membership& members, time_point now)
{
    const duration timeout = members.settings.ping_period;
    for (auto it = members.probes.begin(); it != members.probes.end();) {
        pending_probe& probe = it->second;
        if (!probe.overdue && now - probe.sent >= timeout) {
            probe.overdue = true;
            if (probe.kind == probe_kind::contact) {
                suspect(members, probe.subject, probe.number, now);
                members.regions[probe.region].next_ping = now;
            }
        }
        const bool expired = now - probe.sent >= members.settings.authority_term;
        it = expired ? members.probes.erase(it) : std::next(it);
    }
}

void tick_suspicions(membership& members, time_point now, outbox& out)
{
    if (!has_authority(members, now)) {
        // Without contact to a majority the fault may be on this side, and probes of all that does not answer
        // would grow with the fleet.
        members.suspicions.clear();
        return;
    }
    std::vector<fact> fences;
    for (auto& [subject, doubt] : members.suspicions) {
        if (now - doubt.since >= members.settings.suspicion_term) {
            fences.push_back({fact_kind::incarnation_fenced, subject.value, doubt.number, {}});
            continue;
        }
        if (now >= doubt.next_probe) {
            doubt.next_probe = now + members.settings.ping_period;
            probe_directly(members, subject, {}, now, out);
            ask_helpers(members, subject, now, out);
        }
    }
    for (const fact& value : fences) {
        ++members.counters.fences_raised;
        learn_fact(members, value, true, now);
    }
}

void ping_regions(membership& members, time_point now, outbox& out)
{
    const duration period = 2 * members.settings.ping_period;
    refresh_peers(members);
    for (const auto& [region, list] : members.peers) {
        members.regions.try_emplace(region);
    }
    for (auto& [region, contact] : members.regions) {
        if (now < contact.next_ping) {
            continue;
        }
        // Spread over the period, so that the messages of one tick do not all leave at once.
        contact.next_ping = now + period - duration(uniform(members.random, period.count() / 4));
        ping_region(members, region, now, out);
    }
}

void note_contact(membership& members, const pending_probe& probe, const ping_ack& body, time_point now)
{
    region_contact& contact = members.regions[probe.region];
    const time_point counted = members.switches.age_from_sending ? probe.sent : now;
    members.counters.late_contact += now - probe.sent >= members.settings.authority_term ? 1 : 0;
    if (!contact.acknowledged || *contact.acknowledged < counted) {
        contact.acknowledged = counted;
    }
    if (body.fenced_incarnation != 0) {
        members.fenced_named = true;
    } else {
        contact.clean = true;
    }
}

} // namespace

void refute(membership& members, instance_id peer, incarnation number)
{
    const auto found = members.suspicions.find(peer);
    if (found != members.suspicions.end() && number >= found->second.number) {
        ++members.counters.suspicions_refuted;
        members.suspicions.erase(found);
    }
}

void tick_probes(membership& members, time_point now, outbox& out)
{
    expire_probes(members, now);
    tick_suspicions(members, now, out);
    ping_regions(members, now, out);
}

void on_ping(membership& members, const envelope& message, const ping& body, time_point now, outbox& out)
{
    const auto entry = members.members.find(message.from);
    const bool older = entry != members.members.end() && entry->second.known &&
                       message.from_incarnation < entry->second.record.number;
    const auto fenced = members.fenced.find(message.from);
    const incarnation fenced_incarnation = fenced == members.fenced.end() ? 0 : fenced->second;
    const bool counted =
        gives_contact(members, now) && !older && fenced_incarnation < message.from_incarnation;
    members.counters.contact_refused += counted ? 0 : 1;
    const member_record& self = members.settings.self;
    ping_ack answer{body.sequence, counted ? self.region : region_id{},
                    members.switches.fenced_number_in_ack ? fenced_incarnation : 0,
                    self.configuration_version, self.ticket_epoch};
    send(members, message.from, answer, out);
    if (older) {
        correct_peer(members, message.from, out);
    }
}

void on_ping_ack(membership& members, const envelope& message, const ping_ack& body, time_point now,
                 outbox& out)
{
    const auto found = members.probes.find(body.sequence);
    if (found == members.probes.end()) {
        return;
    }
    const pending_probe probe = found->second;
    const bool from_subject = message.from == probe.subject;
    if (from_subject == (probe.kind == probe_kind::helper)) {
        return;
    }
    members.probes.erase(found);
    refute(members, probe.subject, probe.number);
    if (probe.kind == probe_kind::helper) {
        ++members.counters.indirect_answers;
        return;
    }
    if (probe.kind == probe_kind::relayed) {
        ping_ack answer;
        answer.sequence = probe.requester_sequence;
        send(members, probe.requester, answer, out);
    }
    const auto entry = members.members.find(message.from);
    if (entry != members.members.end() && entry->second.known &&
        entry->second.record.number == message.from_incarnation) {
        entry->second.record.has_authority = body.region.value != 0;
        patch_live(members, entry->second.record);
        note_epoch(members, entry->second, body.ticket_epoch, now);
    }
    note_version(members, message.from, body.configuration_version, now);
    if (body.fenced_incarnation >= members.settings.self.number) {
        renumber(members, body.fenced_incarnation, now);
    } else if (body.region.value != 0) {
        note_contact(members, probe, body, now);
    }
}

void on_indirect_ping(membership& members, const envelope& message, const indirect_ping& body, time_point now,
                      outbox& out)
{
    const auto entry = members.members.find(body.subject);
    if (entry == members.members.end() || !is_live(entry->second)) {
        return;
    }
    pending_probe probe;
    probe.kind = probe_kind::relayed;
    probe.requester = message.from;
    probe.requester_sequence = body.sequence;
    probe_directly(members, body.subject, probe, now, out);
}

} // namespace camphorknot::internal
