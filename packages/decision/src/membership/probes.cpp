#include <algorithm>

#include "parts.hpp"

namespace camphorknot::internal {
namespace {

constexpr int indirect_pings_per_probe = 3;

// Whether the member is live under this incarnation.
bool is_current_incarnation(const membership& members, instance_id instance, incarnation number)
{
    const auto found = members.members.find(instance);
    return found != members.members.end() && is_live(found->second) && found->second.record.number == number;
}

// @param probe kind and requester of the probe; the other fields are set here.
void send_ping(membership& members, instance_id subject, pending_probe probe, time_point now, outbox& out)
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
        send_ping(members, *peer, {}, now, out);
    }
}

void send_indirect_pings(membership& members, instance_id subject, time_point now, outbox& out)
{
    const region_id region = members.members.at(subject).record.region;
    for (int i = 0; i < indirect_pings_per_probe; ++i) {
        // The first helper is in the subject's region, the others in random regions.
        const auto remote_region = random_remote_region(members);
        const auto helper = random_peer(members, i == 0 || !remote_region ? region : *remote_region);
        if (!helper || *helper == subject) {
            continue;
        }
        const std::uint64_t sequence = members.next_sequence++;
        members.probes.emplace(sequence, pending_probe{probe_kind::indirect,
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
    if (!has_authority(members, now) || !is_current_incarnation(members, subject, number) ||
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
            if (probe.kind == probe_kind::direct) {
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
        // Without contact to a majority of regions the fault may be on this side. Suspecting all peers that
        // do not answer would also cost probes in proportion to the fleet size.
        members.suspicions.clear();
        return;
    }
    std::vector<fact> fences;
    for (auto& [subject, suspected] : members.suspicions) {
        if (now - suspected.since >= members.settings.suspicion_term) {
            fences.push_back({fact_kind::incarnation_fenced, subject.value, suspected.number, {}});
            continue;
        }
        if (now >= suspected.next_probe) {
            suspected.next_probe = now + members.settings.ping_period;
            send_ping(members, subject, {}, now, out);
            send_indirect_pings(members, subject, now, out);
        }
    }
    for (const fact& value : fences) {
        ++members.counters.fences_raised;
        add_fact(members, value, true, now);
    }
}

void ping_regions(membership& members, time_point now, outbox& out)
{
    const duration period = 2 * members.settings.ping_period;
    refresh_live_peers(members);
    for (const auto& [region, list] : members.live_peers) {
        members.regions.try_emplace(region);
    }
    for (auto& [region, contact] : members.regions) {
        if (now < contact.next_ping) {
            continue;
        }
        // Randomized, so that the pings to all regions are not sent in the same tick.
        contact.next_ping = now + period - duration(uniform(members.random, period.count() / 4));
        ping_region(members, region, now, out);
    }
}

// Updates the contact with the region whose instance acknowledged the probe.
void on_contact_acknowledged(membership& members, const pending_probe& probe, const ping_ack& body,
                             time_point now)
{
    region_contact& contact = members.regions[probe.region];
    const time_point contact_time = members.switches.age_from_send_time ? probe.sent : now;
    members.counters.late_contact += now - probe.sent >= members.settings.authority_term ? 1 : 0;
    if (!contact.acked_ping_sent_at || *contact.acked_ping_sent_at < contact_time) {
        contact.acked_ping_sent_at = contact_time;
    }
    if (body.fenced_incarnation != 0) {
        members.fence_reported = true;
    } else {
        contact.reported_no_fence = true;
    }
}

} // namespace

void refute_suspicion(membership& members, instance_id peer, incarnation number)
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
    const bool from_old_incarnation = entry != members.members.end() && entry->second.has_record &&
                                      message.from_incarnation < entry->second.record.number;
    const auto fenced = members.fenced.find(message.from);
    const incarnation fenced_incarnation = fenced == members.fenced.end() ? 0 : fenced->second;
    const bool grants_contact = can_grant_contact(members, now) && !from_old_incarnation &&
                                fenced_incarnation < message.from_incarnation;
    members.counters.contact_refused += grants_contact ? 0 : 1;
    const member_record& self = members.settings.self;
    ping_ack ack{body.sequence, grants_contact ? self.region : region_id{},
                 members.switches.fenced_incarnation_in_ack ? fenced_incarnation : 0,
                 self.configuration_version, self.ticket_epoch};
    send(members, message.from, ack, out);
    if (from_old_incarnation) {
        send_correction(members, message.from, out);
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
    if (from_subject == (probe.kind == probe_kind::indirect)) {
        return;
    }
    members.probes.erase(found);
    refute_suspicion(members, probe.subject, probe.number);
    if (probe.kind == probe_kind::indirect) {
        ++members.counters.indirect_answers;
        return;
    }
    if (probe.kind == probe_kind::relayed) {
        ping_ack ack;
        ack.sequence = probe.requester_sequence;
        send(members, probe.requester, ack, out);
    }
    const auto entry = members.members.find(message.from);
    if (entry != members.members.end() && entry->second.has_record &&
        entry->second.record.number == message.from_incarnation) {
        entry->second.record.has_authority = body.region.value != 0;
        update_live_cache(members, entry->second.record);
        on_epoch_received(members, entry->second, body.ticket_epoch, now);
    }
    on_version_received(members, message.from, body.configuration_version, now);
    if (body.fenced_incarnation >= members.settings.self.number) {
        renumber(members, body.fenced_incarnation, now);
    } else if (body.region.value != 0) {
        on_contact_acknowledged(members, probe, body, now);
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
    send_ping(members, body.subject, probe, now, out);
}

} // namespace camphorknot::internal
