#include <algorithm>

#include "parts.hpp"

namespace camphorknot::internal {
namespace {

constexpr std::uint64_t records_seed = 0x7265636f726473ULL;
constexpr std::uint64_t facts_seed = 0x6661637473ULL;

// Zero for a stopped member, since it is no part of the digest.
std::uint64_t record_hash(const member_record& record)
{
    return record.state == member_state::left ? 0 : mix_hash(record.instance.value, record.number);
}

std::uint64_t fact_hash(const fact& value)
{
    std::uint64_t hash = mix_hash(static_cast<std::uint64_t>(value.kind), value.subject);
    hash = mix_hash(hash, value.detail);
    return value.kind == fact_kind::key_revoked
               ? mix_hash(hash,
                          hash_name({reinterpret_cast<const char*>(value.key.data()), value.key.size()}))
               : hash;
}

bool is_fenced(const membership& members, instance_id instance, incarnation number)
{
    const auto found = members.fenced.find(instance);
    return found != members.fenced.end() && found->second >= number;
}

// Queues the record for gossip.
void queue_record(membership& members, instance_id instance)
{
    if (!members.merging_pull) {
        members.record_rumors[instance] = 0;
    }
}

// Queues a record whose has_authority changed. It is sent a few times only, since pings also carry that
// state.
void queue_authority_hint(membership& members, instance_id instance)
{
    constexpr unsigned max_hint_sends = 4;
    const unsigned limit = send_limit(members);
    if (!members.merging_pull) {
        members.record_rumors.try_emplace(instance, limit > max_hint_sends ? limit - max_hint_sends : 0);
    }
}

// Counts a change received from a peer as one sending by this instance: it is spreading already.
template <typename Key>
void count_duplicate(std::map<Key, unsigned>& rumors, const Key& key)
{
    const auto found = rumors.find(key);
    if (found != rumors.end()) {
        ++found->second;
    }
}

// Updates all state derived from a member's incarnation or state.
void on_member_changed(membership& members, member_entry& entry, time_point now)
{
    entry.changed_at = now;
    members.live_peers_stale = true;
    members.live_cache_stale = true;
    const member_record& record = entry.record;
    if (record.state == member_state::fenced) {
        members.awaiting_stop_proof.insert(record.instance);
    } else {
        members.awaiting_stop_proof.erase(record.instance);
        members.fence_collections.erase(record.instance);
    }
    if (record.state >= member_state::fenced) {
        members.suspicions.erase(record.instance);
    }
    queue_record(members, record.instance);
}

void replace_incarnation(membership& members, member_entry& entry, const member_record& record,
                         time_point now)
{
    if (entry.has_record && entry.record.state != member_state::left) {
        members.events.emplace_back(proved_stopped{record.instance, entry.record.number, true});
        members.records_digest ^= record_hash(entry.record);
    }
    members.suspicions.erase(record.instance);
    members.fence_collections.erase(record.instance);
    entry.record = record;
    entry.has_record = true;
    members.alone_in_region = members.alone_in_region && record.region != members.settings.self.region;
    entry.newest_incarnation = std::max(entry.newest_incarnation, record.number);
    if (entry.record.state == member_state::suspect) {
        entry.record.state = member_state::alive;
    }
    if (entry.record.state < member_state::fenced && is_fenced(members, record.instance, record.number)) {
        entry.record.state = member_state::fenced;
    }
    members.records_digest ^= record_hash(entry.record);
    entry.received_epoch = record.ticket_epoch;
    entry.epoch_received_at = now;
    on_member_changed(members, entry, now);
    if (is_live(entry)) {
        members.events.emplace_back(member_joined{entry.record});
    }
}

void merge_same_incarnation(membership& members, member_entry& entry, const member_record& record,
                            time_point now)
{
    member_record& stored = entry.record;
    if (record.state == member_state::left) {
        mark_stopped(members, entry, now);
        return;
    }
    if (record.state == member_state::leaving && stored.state < member_state::leaving) {
        stored.state = member_state::leaving;
        on_member_changed(members, entry, now);
    }
    // Records carry no revision, so gossip may set has_authority but not clear it; otherwise old copies would
    // flip it back and forth. Only an acknowledgement by the member itself clears it.
    if (record.has_authority && !stored.has_authority) {
        stored.has_authority = true;
        update_live_cache(members, stored);
        queue_authority_hint(members, stored.instance);
    }
    if (record.configuration_version > stored.configuration_version) {
        stored.configuration_version = record.configuration_version;
        update_live_cache(members, stored);
    }
    if (record.ticket_epoch > stored.ticket_epoch) {
        on_epoch_received(members, entry, record.ticket_epoch, now);
    }
}

void merge_own_record(membership& members, const member_record& record, time_point now)
{
    const member_record& self = members.settings.self;
    const bool is_other_process = record.process_nonce != self.process_nonce;
    const bool stopped = record.state >= member_state::fenced;
    if (record.number > self.number || (record.number == self.number && (is_other_process || stopped))) {
        renumber(members, record.number, now);
    }
}

} // namespace

void reset_digests(membership& members)
{
    members.facts_digest = facts_seed;
    members.records_digest = records_seed ^ record_hash(members.settings.self);
}

void merge_record(membership& members, const member_record& record, time_point now)
{
    if (record.instance == members.settings.self.instance) {
        merge_own_record(members, record, now);
        return;
    }
    member_entry& entry = members.members[record.instance];
    if (!entry.has_record || record.number > entry.record.number) {
        replace_incarnation(members, entry, record, now);
    } else if (record.number == entry.record.number) {
        count_duplicate(members.record_rumors, record.instance);
        merge_same_incarnation(members, entry, record, now);
    }
}

void mark_stopped(membership& members, member_entry& entry, time_point now)
{
    if (!may_be_running(entry)) {
        return;
    }
    members.records_digest ^= record_hash(entry.record);
    entry.record.state = member_state::left;
    entry.record.has_authority = false;
    members.events.emplace_back(proved_stopped{entry.record.instance, entry.record.number, false});
    on_member_changed(members, entry, now);
}

bool add_fact(membership& members, const fact& value, bool emit_event, time_point now)
{
    if (!members.facts.insert(value).second) {
        count_duplicate(members.fact_rumors, value);
        return false;
    }
    members.facts_digest ^= fact_hash(value);
    if (!members.merging_pull) {
        members.fact_rumors[value] = 0;
        members.recent_facts.emplace_back(now, value);
    }
    if (emit_event) {
        members.events.emplace_back(fact_added{value});
    }
    const instance_id subject{value.subject};
    const bool is_self = subject == members.settings.self.instance;
    const auto entry = members.members.find(subject);
    const bool applies_to_member = entry != members.members.end() && entry->second.has_record &&
                                   entry->second.record.number <= value.detail;
    if (value.kind == fact_kind::incarnation_fenced) {
        incarnation& highest = members.fenced[subject];
        highest = std::max(highest, value.detail);
        if (is_self && value.detail >= members.settings.self.number) {
            renumber(members, value.detail, now);
        } else if (!is_self && applies_to_member && entry->second.record.state < member_state::fenced) {
            entry->second.record.state = member_state::fenced;
            on_member_changed(members, entry->second, now);
        }
    }
    if (value.kind == fact_kind::instance_leaving && !is_self && applies_to_member &&
        entry->second.record.state < member_state::leaving) {
        entry->second.record.state = member_state::leaving;
        on_member_changed(members, entry->second, now);
    }
    return true;
}

void renumber(membership& members, incarnation above, time_point now)
{
    member_record& self = members.settings.self;
    members.records_digest ^= record_hash(self);
    self.number = std::max(self.number, above) + 1;
    members.records_digest ^= record_hash(self);
    ++members.counters.renumbered;
    members.events.emplace_back(self_renumbered{self.number});
    for (auto& [region, contact] : members.regions) {
        contact.acked_ping_sent_at.reset();
        contact.reported_no_fence = false;
        contact.next_ping = now;
    }
    members.probes.clear();
    members.suspicions.clear();
    members.fence_reported = false;
    unsettle(members, now);
    members.live_cache_stale = true;
    members.record_rumors[self.instance] = 0;
}

void on_version_received(membership& members, instance_id peer, std::uint64_t version, time_point now)
{
    // One event per period is enough to pull the missing changes.
    constexpr duration event_period = std::chrono::milliseconds(200);
    const auto found = members.members.find(peer);
    if (found != members.members.end() && found->second.has_record &&
        version > found->second.record.configuration_version) {
        found->second.record.configuration_version = version;
        update_live_cache(members, found->second.record);
    }
    if (version > members.settings.self.configuration_version && now >= members.next_version_event) {
        members.next_version_event = now + event_period;
        members.events.emplace_back(newer_configuration_seen{peer, version});
    }
}

void on_epoch_received(membership& members, member_entry& entry, std::uint64_t epoch, time_point now)
{
    if (epoch < entry.received_epoch) {
        return;
    }
    entry.received_epoch = epoch;
    entry.epoch_received_at = now;
    if (entry.record.ticket_epoch != epoch) {
        entry.record.ticket_epoch = epoch;
        update_live_cache(members, entry.record);
    }
}

void advance_epochs(membership& members, time_point now)
{
    for (auto& [instance, entry] : members.members) {
        const auto passed = (now - entry.epoch_received_at) / members.settings.ticket_epoch_length;
        const std::uint64_t epoch = entry.received_epoch + static_cast<std::uint64_t>(passed);
        if (is_live(entry) && epoch > entry.record.ticket_epoch) {
            entry.record.ticket_epoch = epoch;
            members.live_cache_stale = true;
        }
    }
}

} // namespace camphorknot::internal
