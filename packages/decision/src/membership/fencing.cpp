#include <algorithm>

#include "parts.hpp"

namespace camphorknot::internal {
namespace {

// Instances that collect the acknowledgements of one fence; more than two, since two may fail at once.
constexpr std::size_t collectors_per_fence = 3;
constexpr duration notice_period = std::chrono::milliseconds(500);
constexpr duration review_period = std::chrono::milliseconds(500);

bool collects(const membership& members, instance_id subject, incarnation number)
{
    const std::uint64_t key = mix_hash(subject.value, number);
    const std::uint64_t own = mix_hash(key, members.settings.self.instance.value);
    const auto& live = live_members(members);
    const auto higher = std::count_if(live.begin(), live.end(), [&](const member_record& record) {
        return mix_hash(key, record.instance.value) > own;
    });
    return static_cast<std::size_t>(higher) < collectors_per_fence;
}

bool has_acknowledged(const fencing& state, const member_entry& entry)
{
    const auto found = state.acknowledged.find(entry.record.instance);
    return found != state.acknowledged.end() && found->second == entry.record.number;
}

// Regions in which every instance that may act, the subject aside, no longer acknowledges the subject's
// pings.
std::size_t closed_regions(const membership& members, instance_id subject, const fencing& state)
{
    struct region_count {
        std::size_t acknowledged = 0;
        std::size_t missing = 0;
    };
    std::map<region_id, region_count> counts;
    counts[members.settings.self.region].acknowledged = 1;
    for (const auto& [instance, entry] : members.members) {
        if (instance == subject || !may_act(entry)) {
            continue;
        }
        region_count& count = counts[entry.record.region];
        ++(has_acknowledged(state, entry) ? count.acknowledged : count.missing);
    }
    const bool every = members.switches.every_instance_acknowledges;
    return static_cast<std::size_t>(std::count_if(
        members.settings.regions.begin(), members.settings.regions.end(), [&](region_id region) {
            const auto found = counts.find(region);
            return found != counts.end() && found->second.acknowledged > 0 &&
                   (found->second.missing == 0 || !every);
        }));
}

void send_notices(membership& members, instance_id subject, const fencing& state, outbox& out)
{
    for (const auto& [instance, entry] : members.members) {
        if (instance != subject && may_act(entry) && !has_acknowledged(state, entry)) {
            send(members, instance, fence_notice{subject, state.number}, out);
        }
    }
}

// @return whether the incarnation is proved stopped now.
bool advance_fencing(membership& members, instance_id subject, fencing& state, time_point now, outbox& out)
{
    if (now >= state.next_notice) {
        state.next_notice = now + notice_period;
        send_notices(members, subject, state, out);
    }
    const std::size_t needed = majority_of(members.settings.regions.size());
    if (closed_regions(members, subject, state) < needed) {
        members.counters.fence_reopened += state.closed_since ? 1 : 0;
        state.closed_since.reset();
        return false;
    }
    if (!state.closed_since) {
        state.closed_since = now;
    }
    const duration term = members.settings.authority_term;
    const duration wait = members.switches.drift_margin ? with_drift(term) : term;
    return now - *state.closed_since >= wait;
}

void start_collecting(membership& members, time_point now)
{
    for (const instance_id subject : members.unproved) {
        const member_entry& entry = members.members.at(subject);
        if (members.fencings.contains(subject) || entry.newest_incarnation > entry.record.number ||
            !collects(members, subject, entry.record.number)) {
            continue;
        }
        fencing state;
        state.number = entry.record.number;
        state.next_notice = now;
        members.fencings.emplace(subject, state);
    }
}

} // namespace

void tick_fencing(membership& members, time_point now, outbox& out)
{
    if (!has_authority(members, now)) {
        return;
    }
    if (!members.unproved.empty() && now >= members.next_fencing_review) {
        members.next_fencing_review = now + review_period;
        start_collecting(members, now);
    }
    std::vector<instance_id> proved;
    for (auto& [subject, state] : members.fencings) {
        if (advance_fencing(members, subject, state, now, out)) {
            proved.push_back(subject);
        }
    }
    for (const instance_id subject : proved) {
        ++members.counters.proofs;
        mark_stopped(members, members.members.at(subject), now);
    }
}

void on_fence_notice(membership& members, const envelope& message, const fence_notice& body, time_point now,
                     outbox& out)
{
    learn_fact(members, {fact_kind::incarnation_fenced, body.subject.value, body.number, {}}, true, now);
    const auto entry = members.members.find(body.subject);
    incarnation newest = body.number;
    if (body.subject == members.settings.self.instance) {
        newest = members.settings.self.number;
    } else if (entry != members.members.end()) {
        newest = std::max(newest, entry->second.newest_incarnation);
    }
    const bool named = members.switches.newest_number_in_fence_ack;
    send_recent_joins(members, message.from, now, out);
    send(members, message.from,
         fence_ack{body.subject, body.number, members.settings.self.region, named ? newest : body.number},
         out);
}

void on_fence_ack(membership& members, const envelope& message, const fence_ack& body, time_point now)
{
    const auto found = members.fencings.find(body.subject);
    if (found == members.fencings.end() || found->second.number != body.number) {
        return;
    }
    member_entry& entry = members.members.at(body.subject);
    if (body.newest_incarnation > body.number) {
        // The address has a newer process, which may own the allocation already.
        ++members.counters.fence_given_up;
        entry.newest_incarnation = std::max(entry.newest_incarnation, body.newest_incarnation);
        members.fencings.erase(found);
        return;
    }
    incarnation& number = found->second.acknowledged[message.from];
    number = std::max(number, message.from_incarnation);
    (void)now;
}

} // namespace camphorknot::internal
