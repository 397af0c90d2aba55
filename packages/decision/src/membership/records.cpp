#include <algorithm>

#include "parts.hpp"

namespace camphorknot::internal {
namespace {

constexpr std::uint64_t records_seed = 0x7265636f726473ULL;
constexpr std::uint64_t facts_seed = 0x6661637473ULL;

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

void spread_record(membership& members, instance_id instance)
{
    if (!members.pulling) {
        members.record_rumors[instance] = 0;
    }
}

// Passes on a hint a few times only; pings repair what is missed.
void spread_hint(membership& members, instance_id instance)
{
    constexpr unsigned hint_sends = 4;
    const unsigned limit = send_limit(members);
    if (!members.pulling) {
        members.record_rumors.try_emplace(instance, limit > hint_sends ? limit - hint_sends : 0);
    }
}

// A peer that sends the same change shows that it is spreading: one sending less is needed.
template <typename Key>
void count_duplicate(std::map<Key, unsigned>& rumors, const Key& key)
{
    const auto found = rumors.find(key);
    if (found != rumors.end()) {
        ++found->second;
    }
}

// Follows a change of incarnation or state in everything that is derived from it.
void on_changed(membership& members, member_entry& entry, time_point now)
{
    entry.changed = now;
    members.peers_stale = true;
    members.live_stale = true;
    const member_record& record = entry.record;
    if (record.state == member_state::fenced) {
        members.unproved.insert(record.instance);
    } else {
        members.unproved.erase(record.instance);
        members.fencings.erase(record.instance);
    }
    if (record.state >= member_state::fenced) {
        members.suspicions.erase(record.instance);
    }
    spread_record(members, record.instance);
}

void replace_incarnation(membership& members, member_entry& entry, const member_record& record,
                         time_point now)
{
    if (entry.known && entry.record.state != member_state::left) {
        members.events.emplace_back(proved_stopped{record.instance, entry.record.number, true});
        members.records_digest ^= record_hash(entry.record);
    }
    members.suspicions.erase(record.instance);
    members.fencings.erase(record.instance);
    entry.record = record;
    entry.known = true;
    members.alone = members.alone && record.region != members.settings.self.region;
    entry.newest_incarnation = std::max(entry.newest_incarnation, record.number);
    if (entry.record.state == member_state::suspect) {
        entry.record.state = member_state::alive;
    }
    if (entry.record.state < member_state::fenced && is_fenced(members, record.instance, record.number)) {
        entry.record.state = member_state::fenced;
    }
    members.records_digest ^= record_hash(entry.record);
    entry.epoch_base = record.ticket_epoch;
    entry.epoch_heard = now;
    on_changed(members, entry, now);
    if (is_live(entry)) {
        members.events.emplace_back(member_joined{entry.record});
    }
}

void merge_same_incarnation(membership& members, member_entry& entry, const member_record& record,
                            time_point now)
{
    member_record& own = entry.record;
    if (record.state == member_state::left) {
        mark_stopped(members, entry, now);
        return;
    }
    if (record.state == member_state::leaving && own.state < member_state::leaving) {
        own.state = member_state::leaving;
        on_changed(members, entry, now);
    }
    // Records carry no revision. Gossip may only raise the hint, so that old copies settle; only contact with
    // the instance itself lowers it.
    if (record.has_authority && !own.has_authority) {
        own.has_authority = true;
        patch_live(members, own);
        spread_hint(members, own.instance);
    }
    if (record.configuration_version > own.configuration_version) {
        own.configuration_version = record.configuration_version;
        patch_live(members, own);
    }
    if (record.ticket_epoch > own.ticket_epoch) {
        note_epoch(members, entry, record.ticket_epoch, now);
    }
}

void merge_own_record(membership& members, const member_record& record, time_point now)
{
    const member_record& self = members.settings.self;
    const bool other_process = record.process_nonce != self.process_nonce;
    const bool stopped = record.state >= member_state::fenced;
    if (record.number > self.number || (record.number == self.number && (other_process || stopped))) {
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
    if (!entry.known || record.number > entry.record.number) {
        replace_incarnation(members, entry, record, now);
    } else if (record.number == entry.record.number) {
        count_duplicate(members.record_rumors, record.instance);
        merge_same_incarnation(members, entry, record, now);
    }
}

void mark_stopped(membership& members, member_entry& entry, time_point now)
{
    if (!may_act(entry)) {
        return;
    }
    members.records_digest ^= record_hash(entry.record);
    entry.record.state = member_state::left;
    entry.record.has_authority = false;
    members.events.emplace_back(proved_stopped{entry.record.instance, entry.record.number, false});
    on_changed(members, entry, now);
}

bool learn_fact(membership& members, const fact& value, bool announce, time_point now)
{
    if (!members.facts.insert(value).second) {
        count_duplicate(members.fact_rumors, value);
        return false;
    }
    members.facts_digest ^= fact_hash(value);
    if (!members.pulling) {
        members.fact_rumors[value] = 0;
        members.recent_facts.emplace_back(now, value);
    }
    if (announce) {
        members.events.emplace_back(fact_learned{value});
    }
    const instance_id subject{value.subject};
    const bool own = subject == members.settings.self.instance;
    const auto entry = members.members.find(subject);
    const bool current =
        entry != members.members.end() && entry->second.known && entry->second.record.number <= value.detail;
    if (value.kind == fact_kind::incarnation_fenced) {
        incarnation& highest = members.fenced[subject];
        highest = std::max(highest, value.detail);
        if (own && value.detail >= members.settings.self.number) {
            renumber(members, value.detail, now);
        } else if (!own && current && entry->second.record.state < member_state::fenced) {
            entry->second.record.state = member_state::fenced;
            on_changed(members, entry->second, now);
        }
    }
    if (value.kind == fact_kind::instance_leaving && !own && current &&
        entry->second.record.state < member_state::leaving) {
        entry->second.record.state = member_state::leaving;
        on_changed(members, entry->second, now);
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
        contact.acknowledged.reset();
        contact.clean = false;
        contact.next_ping = now;
    }
    members.probes.clear();
    members.suspicions.clear();
    members.fenced_named = false;
    unsettle(members, now);
    members.live_stale = true;
    members.record_rumors[self.instance] = 0;
}

void note_version(membership& members, instance_id peer, std::uint64_t version, time_point now)
{
    // One event in this time is enough to pull the missing changes.
    constexpr duration event_period = std::chrono::milliseconds(200);
    const auto found = members.members.find(peer);
    if (found != members.members.end() && found->second.known &&
        version > found->second.record.configuration_version) {
        found->second.record.configuration_version = version;
        patch_live(members, found->second.record);
    }
    if (version > members.settings.self.configuration_version && now >= members.next_version_event) {
        members.next_version_event = now + event_period;
        members.events.emplace_back(newer_configuration_seen{peer, version});
    }
}

void note_epoch(membership& members, member_entry& entry, std::uint64_t epoch, time_point now)
{
    if (epoch < entry.epoch_base) {
        return;
    }
    entry.epoch_base = epoch;
    entry.epoch_heard = now;
    if (entry.record.ticket_epoch != epoch) {
        entry.record.ticket_epoch = epoch;
        patch_live(members, entry.record);
    }
}

void advance_epochs(membership& members, time_point now)
{
    for (auto& [instance, entry] : members.members) {
        const auto passed = (now - entry.epoch_heard) / members.settings.ticket_epoch_length;
        const std::uint64_t epoch = entry.epoch_base + static_cast<std::uint64_t>(passed);
        if (is_live(entry) && epoch > entry.record.ticket_epoch) {
            entry.record.ticket_epoch = epoch;
            members.live_stale = true;
        }
    }
}

} // namespace camphorknot::internal
