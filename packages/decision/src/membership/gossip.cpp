#include <algorithm>
#include <bit>

#include "parts.hpp"

namespace camphorknot::internal {
namespace {

// Maximum numbers of changes in one message, so that its size does not grow with the fleet.
constexpr std::size_t records_per_message = 24;
constexpr std::size_t facts_per_message = 256;
// Maximum numbers in one message of a full state; they keep it under the frame limit of 256 KiB.
constexpr std::size_t records_per_pull_message = 1000;
constexpr std::size_t facts_per_pull_message = 2000;
// Each change is sent this many times plus about the binary logarithm of the fleet size, as in SWIM.
constexpr unsigned extra_sends = 3;
constexpr duration remote_gossip_period = std::chrono::seconds(1);
constexpr duration idle_gossip_period = std::chrono::seconds(1);
constexpr duration non_live_gossip_period = std::chrono::seconds(3);
constexpr duration pull_period = std::chrono::seconds(1);
// Digests that differ for this long show that a change was lost; shorter differences are changes in transit.
constexpr duration digests_differ_limit = std::chrono::seconds(3);
constexpr duration recent_join_term = std::chrono::seconds(10);
constexpr duration recent_fact_term = std::chrono::seconds(10);
constexpr std::size_t recent_facts_per_reply = 32;
constexpr int remote_peers_when_unsettled = 2;

// Current record of this instance or of the member.
member_record record_to_send(const membership& members, instance_id instance)
{
    if (instance == members.settings.self.instance) {
        return members.settings.self;
    }
    return members.members.at(instance).record;
}

// Selects at most @p max_count rumors, those sent least often, and counts this sending. A rumor that
// has reached @p limit is removed.
template <typename Key>
std::vector<Key> select_rumors(std::map<Key, unsigned>& rumors, std::size_t max_count, unsigned limit)
{
    std::vector<std::pair<unsigned, Key>> candidates;
    candidates.reserve(rumors.size());
    for (const auto& [key, sent] : rumors) {
        candidates.emplace_back(sent, key);
    }
    if (candidates.size() > max_count) {
        std::nth_element(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(max_count),
                         candidates.end());
        candidates.resize(max_count);
    }
    std::vector<Key> selected;
    selected.reserve(candidates.size());
    for (const auto& [sent, key] : candidates) {
        selected.push_back(key);
        if (sent + 1 >= limit) {
            rumors.erase(key);
        } else {
            rumors[key] = sent + 1;
        }
    }
    return selected;
}

// Gossip without changes.
gossip digest_message(const membership& members)
{
    gossip body;
    body.records_digest = members.records_digest;
    body.facts_digest = members.facts_digest;
    body.configuration_version = members.settings.self.configuration_version;
    body.settled = members.settled;
    return body;
}

// Gossip with the changes that are due; counts as one sending of each.
gossip recent_changes(membership& members)
{
    gossip body = digest_message(members);
    const unsigned limit = send_limit(members);
    for (const instance_id instance : select_rumors(members.record_rumors, records_per_message, limit)) {
        body.records.push_back(record_to_send(members, instance));
    }
    body.facts = select_rumors(members.fact_rumors, facts_per_message, limit);
    return body;
}

void send_recent_changes(membership& members, instance_id to, outbox& out)
{
    gossip body = recent_changes(members);
    // Until it is settled, this instance sends its own record with all its gossip. The receivers forward it
    // with their fence acknowledgements (send_recent_joins), so that a peer that collects them does not miss
    // this instance.
    const instance_id self = members.settings.self.instance;
    const auto is_self = [&](const member_record& record) { return record.instance == self; };
    if (!members.settled && std::none_of(body.records.begin(), body.records.end(), is_self)) {
        body.records.push_back(members.settings.self);
    }
    send(members, to, std::move(body), out);
}

// @param request_missing whether the receiver is asked to send its full state if the digests still differ.
void send_full_state(membership& members, instance_id to, bool request_missing, outbox& out)
{
    ++members.counters.full_pulls;
    gossip body = digest_message(members);
    body.is_reply = true;
    body.records.push_back(members.settings.self);
    auto next_fact = members.facts.begin();
    auto next_member = members.members.begin();
    while (true) {
        while (next_member != members.members.end() && body.records.size() < records_per_pull_message) {
            if (next_member->second.has_record) {
                body.records.push_back(next_member->second.record);
            }
            ++next_member;
        }
        while (next_fact != members.facts.end() && body.facts.size() < facts_per_pull_message) {
            body.facts.push_back(*next_fact++);
        }
        const bool last = next_member == members.members.end() && next_fact == members.facts.end();
        body.requests_full_state = last && request_missing;
        send(members, to, body, out);
        if (last) {
            return;
        }
        body.records.clear();
        body.facts.clear();
    }
}

// A random member that is not live: a contact without a record, or a fenced or stopped member. When both
// sides of a partition have fenced each other, only messages to such members reconnect them.
std::optional<instance_id> random_non_live_member(membership& members)
{
    std::vector<instance_id> not_live;
    for (const auto& [instance, entry] : members.members) {
        if (!is_live(entry)) {
            not_live.push_back(instance);
        }
    }
    if (not_live.empty()) {
        return std::nullopt;
    }
    return not_live[uniform(members.random, not_live.size())];
}

void request_full_state(membership& members, instance_id from, time_point now, outbox& out)
{
    members.next_pull = now + pull_period;
    gossip body = digest_message(members);
    body.requests_full_state = true;
    body.records.push_back(members.settings.self);
    send(members, from, std::move(body), out);
}

std::optional<instance_id> random_remote_peer(membership& members)
{
    const auto region = random_remote_region(members);
    return region ? random_peer(members, *region) : std::nullopt;
}

// Requests the full state from one member and sends gossip to further regions, so that this instance settles
// soon.
void gossip_while_unsettled(membership& members, time_point now, outbox& out)
{
    if (!members.has_full_state && now >= members.next_pull) {
        auto from = random_non_live_member(members);
        if (!from || uniform(members.random, 2) == 0) {
            const auto local_peer = random_peer(members, members.settings.self.region);
            const auto remote_peer = random_remote_peer(members);
            from = local_peer ? local_peer : remote_peer ? remote_peer : from;
        }
        if (from) {
            request_full_state(members, *from, now, out);
        }
    }
    for (int i = 0; i < remote_peers_when_unsettled; ++i) {
        if (const auto peer = random_remote_peer(members)) {
            send_recent_changes(members, *peer, out);
        }
    }
}

void on_digests_received(membership& members, const envelope& message, const gossip& body, time_point now)
{
    const bool same_facts = body.facts_digest == members.facts_digest;
    const bool same_records = body.records_digest == members.records_digest;
    const auto sender = members.members.find(message.from);
    const bool sender_current = sender != members.members.end() && is_live(sender->second) &&
                                sender->second.record.number == message.from_incarnation;
    if (body.settled && sender_current) {
        members.last_settled_message = now;
    }
    members.has_full_state = members.has_full_state || (same_facts && same_records);
    if (!sender_current) {
        return;
    }
    region_contact& contact = members.regions[sender->second.record.region];
    if (same_facts) {
        contact.last_match = now;
    }
    if (same_facts && body.settled) {
        contact.last_settled_match = now;
    }
    // Tracked per region: after an outage all peers in the region of this instance may lack the same changes.
    if (same_facts && same_records) {
        contact.digests_differ_since.reset();
    } else if (!contact.digests_differ_since) {
        contact.digests_differ_since = now;
    }
}

// Adds recent facts to a reply, so that a peer that missed all rumors of one receives it at once rather than
// with the full state once its digests have differed for long.
void add_recent_facts(membership& members, gossip& reply, time_point now)
{
    auto& recent = members.recent_facts;
    while (!recent.empty() && now - recent.front().first > recent_fact_term) {
        recent.pop_front();
    }
    for (auto item = recent.rbegin(); item != recent.rend() && reply.facts.size() < recent_facts_per_reply;
         ++item) {
        if (std::find(reply.facts.begin(), reply.facts.end(), item->second) == reply.facts.end()) {
            reply.facts.push_back(item->second);
        }
    }
}

bool digests_differ_too_long(const membership& members, const envelope& message, time_point now)
{
    const auto sender = members.members.find(message.from);
    if (sender == members.members.end() || !sender->second.has_record) {
        return false;
    }
    const auto contact = members.regions.find(sender->second.record.region);
    const duration limit = members.settled ? digests_differ_limit : members.settings.gossip_period;
    return contact != members.regions.end() && contact->second.digests_differ_since &&
           now - *contact->second.digests_differ_since >= limit;
}

} // namespace

unsigned send_limit(const membership& members)
{
    return extra_sends + static_cast<unsigned>(std::bit_width(members.members.size()));
}

void tick_gossip(membership& members, time_point now, outbox& out)
{
    if (now < members.next_gossip) {
        return;
    }
    members.next_gossip = now + members.settings.gossip_period;
    const bool has_changes = !members.record_rumors.empty() || !members.fact_rumors.empty();
    if (has_changes || !members.settled || now >= members.next_local_gossip) {
        members.next_local_gossip = now + idle_gossip_period;
        if (const auto peer = random_peer(members, members.settings.self.region)) {
            send_recent_changes(members, *peer, out);
        }
    }
    if (!members.fact_rumors.empty() || now >= members.next_remote_gossip) {
        members.next_remote_gossip = now + remote_gossip_period;
        if (const auto peer = random_remote_peer(members)) {
            send_recent_changes(members, *peer, out);
        }
    }
    if (now >= members.next_non_live_gossip) {
        members.next_non_live_gossip =
            now + (members.settled ? non_live_gossip_period : remote_gossip_period);
        if (const auto peer = random_non_live_member(members)) {
            send_recent_changes(members, *peer, out);
        }
    }
    if (!members.settled) {
        gossip_while_unsettled(members, now, out);
    }
}

void on_gossip(membership& members, const envelope& message, const gossip& body, time_point now, outbox& out)
{
    // Peers already have what a joining instance pulls; it is not spread again.
    members.merging_pull = body.is_reply && !members.has_full_state;
    for (const fact& value : body.facts) {
        add_fact(members, value, true, now);
    }
    for (const member_record& record : body.records) {
        merge_record(members, record, now);
    }
    members.merging_pull = false;
    on_version_received(members, message.from, body.configuration_version, now);
    on_digests_received(members, message, body, now);
    const auto sender = members.members.find(message.from);
    // A reply is never corrected: two instances that fenced each other would answer each other without end.
    if (!body.is_reply && sender != members.members.end() && sender->second.has_record &&
        (message.from_incarnation < sender->second.record.number || !is_live(sender->second))) {
        send_correction(members, message.from, out);
    }
    try_settle(members, now);
    const bool same =
        body.facts_digest == members.facts_digest && body.records_digest == members.records_digest;
    if (body.requests_full_state && (!body.is_reply || !same)) {
        send_full_state(members, message.from, !body.is_reply, out);
    } else if (!body.is_reply && (!same || !body.settled)) {
        gossip reply = recent_changes(members);
        if (body.facts_digest != members.facts_digest) {
            add_recent_facts(members, reply, now);
        }
        reply.is_reply = true;
        send(members, message.from, std::move(reply), out);
    }
    if (now >= members.next_pull && digests_differ_too_long(members, message, now)) {
        request_full_state(members, message.from, now, out);
    }
}

void send_correction(membership& members, instance_id peer, outbox& out)
{
    gossip body = digest_message(members);
    body.is_reply = true;
    const auto entry = members.members.find(peer);
    if (entry != members.members.end() && entry->second.has_record) {
        body.records.push_back(entry->second.record);
    }
    const auto fenced = members.fenced.find(peer);
    if (fenced != members.fenced.end()) {
        body.facts.push_back({fact_kind::incarnation_fenced, peer.value, fenced->second, {}});
    }
    send(members, peer, std::move(body), out);
}

void send_recent_joins(membership& members, instance_id to, time_point now, outbox& out)
{
    gossip body = digest_message(members);
    body.is_reply = true;
    for (const auto& [instance, entry] : members.members) {
        if (is_live(entry) && now - entry.changed_at <= recent_join_term &&
            body.records.size() < records_per_message) {
            body.records.push_back(entry.record);
        }
    }
    if (!body.records.empty()) {
        send(members, to, std::move(body), out);
    }
}

} // namespace camphorknot::internal
