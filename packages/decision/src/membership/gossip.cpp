#include <algorithm>
#include <bit>

#include "parts.hpp"

namespace camphorknot::internal {
namespace {

// Most changes in one message, so that its size does not grow with the fleet.
constexpr std::size_t records_per_message = 24;
constexpr std::size_t facts_per_message = 256;
// Records in one message of a full pull; keeps it under the frame limit of 256 KiB.
constexpr std::size_t records_per_pull_message = 1000;
constexpr std::size_t facts_per_pull_message = 2000;
// A change is sent this many times plus the logarithm of the fleet's size, as in SWIM.
constexpr unsigned extra_sends = 3;
constexpr duration far_gossip_period = std::chrono::seconds(1);
constexpr duration quiet_gossip_period = std::chrono::seconds(1);
constexpr duration lost_gossip_period = std::chrono::seconds(3);
constexpr duration pull_period = std::chrono::seconds(1);
// A region whose digests differ for this long missed a change, rather than being about to get it.
constexpr duration digests_differ_limit = std::chrono::seconds(3);
constexpr duration recent_join_term = std::chrono::seconds(10);
constexpr duration recent_fact_term = std::chrono::seconds(10);
constexpr std::size_t recent_facts_per_reply = 32;
constexpr int far_peers_when_unsettled = 2;

member_record spread_form(const membership& members, instance_id instance)
{
    if (instance == members.settings.self.instance) {
        return members.settings.self;
    }
    return members.members.at(instance).record;
}

// Takes the least sent rumors and counts this sending.
template <typename Key>
std::vector<Key> take_rumors(std::map<Key, unsigned>& rumors, std::size_t most, unsigned limit)
{
    std::vector<std::pair<unsigned, Key>> order;
    order.reserve(rumors.size());
    for (const auto& [key, sent] : rumors) {
        order.emplace_back(sent, key);
    }
    if (order.size() > most) {
        std::nth_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(most), order.end());
        order.resize(most);
    }
    std::vector<Key> taken;
    taken.reserve(order.size());
    for (const auto& [sent, key] : order) {
        taken.push_back(key);
        if (sent + 1 >= limit) {
            rumors.erase(key);
        } else {
            rumors[key] = sent + 1;
        }
    }
    return taken;
}

gossip digest_message(const membership& members)
{
    gossip body;
    body.records_digest = members.records_digest;
    body.facts_digest = members.facts_digest;
    body.configuration_version = members.settings.self.configuration_version;
    body.settled = members.settled;
    return body;
}

gossip recent_changes(membership& members)
{
    gossip body = digest_message(members);
    const unsigned limit = send_limit(members);
    for (const instance_id instance : take_rumors(members.record_rumors, records_per_message, limit)) {
        body.records.push_back(spread_form(members, instance));
    }
    body.facts = take_rumors(members.fact_rumors, facts_per_message, limit);
    return body;
}

void send_recent_changes(membership& members, instance_id to, outbox& out)
{
    gossip body = recent_changes(members);
    // Until it is settled this instance names itself to every peer it hears from: a fencing peer that asks
    // one of them for acknowledgements then learns of it.
    const instance_id self = members.settings.self.instance;
    const auto is_self = [&](const member_record& record) { return record.instance == self; };
    if (!members.settled && std::none_of(body.records.begin(), body.records.end(), is_self)) {
        body.records.push_back(members.settings.self);
    }
    send(members, to, std::move(body), out);
}

// @param wants_rest whether the receiver is asked for what this instance lacks.
void send_all(membership& members, instance_id to, bool wants_rest, outbox& out)
{
    ++members.counters.full_pulls;
    gossip body = digest_message(members);
    body.is_reply = true;
    body.records.push_back(members.settings.self);
    auto next_fact = members.facts.begin();
    auto next_member = members.members.begin();
    while (true) {
        while (next_member != members.members.end() && body.records.size() < records_per_pull_message) {
            if (next_member->second.known) {
                body.records.push_back(next_member->second.record);
            }
            ++next_member;
        }
        while (next_fact != members.facts.end() && body.facts.size() < facts_per_pull_message) {
            body.facts.push_back(*next_fact++);
        }
        const bool last = next_member == members.members.end() && next_fact == members.facts.end();
        body.requests_full_state = last && wants_rest;
        send(members, to, body, out);
        if (last) {
            return;
        }
        body.records.clear();
        body.facts.clear();
    }
}

// A member that is not counted as live: only named by a list so far, fenced or stopped. Two sides of a
// partition may each have fenced the other, and then only such messages bring them together again.
std::optional<instance_id> random_lost_peer(membership& members)
{
    std::vector<instance_id> lost;
    for (const auto& [instance, entry] : members.members) {
        if (!is_live(entry)) {
            lost.push_back(instance);
        }
    }
    if (lost.empty()) {
        return std::nullopt;
    }
    return lost[uniform(members.random, lost.size())];
}

void pull_all(membership& members, instance_id from, time_point now, outbox& out)
{
    members.next_pull = now + pull_period;
    gossip body = digest_message(members);
    body.requests_full_state = true;
    body.records.push_back(members.settings.self);
    send(members, from, std::move(body), out);
}

std::optional<instance_id> random_far_peer(membership& members)
{
    const auto region = random_far_region(members);
    return region ? random_peer(members, *region) : std::nullopt;
}

void join_more(membership& members, time_point now, outbox& out)
{
    if (!members.pulled_all && now >= members.next_pull) {
        auto from = random_lost_peer(members);
        if (!from || uniform(members.random, 2) == 0) {
            const auto near = random_peer(members, members.settings.self.region);
            const auto far = random_far_peer(members);
            from = near ? near : far ? far : from;
        }
        if (from) {
            pull_all(members, *from, now, out);
        }
    }
    for (int i = 0; i < far_peers_when_unsettled; ++i) {
        if (const auto peer = random_far_peer(members)) {
            send_recent_changes(members, *peer, out);
        }
    }
}

void note_digests(membership& members, const envelope& message, const gossip& body, time_point now)
{
    const bool same_facts = body.facts_digest == members.facts_digest;
    const bool same_records = body.records_digest == members.records_digest;
    const auto sender = members.members.find(message.from);
    const bool sender_current = sender != members.members.end() && is_live(sender->second) &&
                                sender->second.record.number == message.from_incarnation;
    if (body.settled && sender_current) {
        members.heard_settled = now;
    }
    members.pulled_all = members.pulled_all || (same_facts && same_records);
    if (!sender_current) {
        return;
    }
    region_contact& contact = members.regions[sender->second.record.region];
    if (same_facts) {
        contact.any_peer = now;
    }
    if (same_facts && body.settled) {
        contact.settled_peer = now;
    }
    // Kept for each region: after an outage all peers of the own region may lack the same changes.
    if (same_facts && same_records) {
        contact.differs_since.reset();
    } else if (!contact.differs_since) {
        contact.differs_since = now;
    }
}

// A peer that every rumor missed gets the news with its next message, and not only after differs_for_long.
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

bool differs_for_long(const membership& members, const envelope& message, time_point now)
{
    const auto sender = members.members.find(message.from);
    if (sender == members.members.end() || !sender->second.known) {
        return false;
    }
    const auto contact = members.regions.find(sender->second.record.region);
    const duration limit = members.settled ? digests_differ_limit : members.settings.gossip_period;
    return contact != members.regions.end() && contact->second.differs_since &&
           now - *contact->second.differs_since >= limit;
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
    const bool fresh = !members.record_rumors.empty() || !members.fact_rumors.empty();
    if (fresh || !members.settled || now >= members.next_near_digest) {
        members.next_near_digest = now + quiet_gossip_period;
        if (const auto peer = random_peer(members, members.settings.self.region)) {
            send_recent_changes(members, *peer, out);
        }
    }
    if (!members.fact_rumors.empty() || now >= members.next_far_gossip) {
        members.next_far_gossip = now + far_gossip_period;
        if (const auto peer = random_far_peer(members)) {
            send_recent_changes(members, *peer, out);
        }
    }
    if (now >= members.next_lost_gossip) {
        members.next_lost_gossip = now + (members.settled ? lost_gossip_period : far_gossip_period);
        if (const auto lost = random_lost_peer(members)) {
            send_recent_changes(members, *lost, out);
        }
    }
    if (!members.settled) {
        join_more(members, now, out);
    }
}

void on_gossip(membership& members, const envelope& message, const gossip& body, time_point now, outbox& out)
{
    // What a joining instance pulls is not news to its peers.
    members.pulling = body.is_reply && !members.pulled_all;
    for (const fact& value : body.facts) {
        learn_fact(members, value, true, now);
    }
    for (const member_record& record : body.records) {
        merge_record(members, record, now);
    }
    members.pulling = false;
    note_version(members, message.from, body.configuration_version, now);
    note_digests(members, message, body, now);
    const auto sender = members.members.find(message.from);
    // A reply is never corrected: two instances that fenced each other would answer for ever.
    if (!body.is_reply && sender != members.members.end() && sender->second.known &&
        (message.from_incarnation < sender->second.record.number || !is_live(sender->second))) {
        correct_peer(members, message.from, out);
    }
    try_settle(members, now);
    const bool same =
        body.facts_digest == members.facts_digest && body.records_digest == members.records_digest;
    if (body.requests_full_state && (!body.is_reply || !same)) {
        send_all(members, message.from, !body.is_reply, out);
    } else if (!body.is_reply && (!same || !body.settled)) {
        gossip reply = recent_changes(members);
        if (body.facts_digest != members.facts_digest) {
            add_recent_facts(members, reply, now);
        }
        reply.is_reply = true;
        send(members, message.from, std::move(reply), out);
    }
    if (now >= members.next_pull && differs_for_long(members, message, now)) {
        pull_all(members, message.from, now, out);
    }
}

void correct_peer(membership& members, instance_id peer, outbox& out)
{
    gossip body = digest_message(members);
    body.is_reply = true;
    const auto entry = members.members.find(peer);
    if (entry != members.members.end() && entry->second.known) {
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
        if (is_live(entry) && now - entry.changed <= recent_join_term &&
            body.records.size() < records_per_message) {
            body.records.push_back(entry.record);
        }
    }
    if (!body.records.empty()) {
        send(members, to, std::move(body), out);
    }
}

} // namespace camphorknot::internal
