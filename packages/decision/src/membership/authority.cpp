#include <algorithm>
#include <functional>

#include "parts.hpp"

namespace camphorknot {
namespace internal {
namespace {

// Time after which a contact of the platform's list that never answered no longer counts as a possible peer.
constexpr duration silent_contact_term = std::chrono::seconds(10);

// Time until which acknowledged pings of a majority of regions reach, settled or not.
time_point contact_until(const membership& members)
{
    std::vector<time_point> sent;
    sent.reserve(members.settings.regions.size());
    for (const region_id region : members.settings.regions) {
        if (members.alone && region == members.settings.self.region) {
            sent.push_back(time_point::max());
            continue;
        }
        const auto found = members.regions.find(region);
        if (found != members.regions.end() && found->second.acknowledged) {
            sent.push_back(*found->second.acknowledged);
        }
    }
    const std::size_t needed = majority_of(members.settings.regions.size());
    if (sent.size() < needed) {
        return time_point::min();
    }
    std::sort(sent.begin(), sent.end(), std::greater<>());
    const time_point oldest = sent[needed - 1];
    return oldest == time_point::max() ? oldest : oldest + members.settings.authority_term;
}

std::size_t count_regions(const membership& members, time_point now, bool only_settled)
{
    std::size_t count = 0;
    for (const region_id region : members.settings.regions) {
        const auto found = members.regions.find(region);
        if (found == members.regions.end()) {
            continue;
        }
        const auto heard = only_settled ? found->second.settled_peer : found->second.any_peer;
        const bool own = region == members.settings.self.region;
        const bool recent =
            heard && *heard >= members.unsettled_since && now - *heard <= members.settings.authority_term;
        if (recent || (own && members.alone && !only_settled)) {
            ++count;
        }
    }
    return count;
}

} // namespace

bool alone_in_region(const membership& members, time_point now)
{
    const region_id own = members.settings.self.region;
    return std::none_of(members.members.begin(), members.members.end(), [&](const auto& item) {
        const member_entry& entry = item.second;
        const bool silent = !entry.known && now - entry.changed > silent_contact_term;
        return entry.record.region == own && !silent && entry.record.state != member_state::left;
    });
}

void unsettle(membership& members, time_point now)
{
    members.counters.unsettled += members.settled ? 1 : 0;
    members.settled = false;
    members.pulled_all = false;
    members.unsettled_since = now;
    members.next_gossip = now;
    // An instance that may have been excluded meanwhile must collect anew: others may have joined unseen.
    members.fencings.clear();
}

void refresh_settled(membership& members, time_point now)
{
    if (members.settled &&
        now >= std::max(members.settled_at + members.settings.authority_term, contact_until(members))) {
        unsettle(members, now);
    }
}

void try_settle(membership& members, time_point now)
{
    if (members.settled) {
        return;
    }
    const std::size_t needed = majority_of(members.settings.regions.size());
    const bool by_majority = members.pulled_all && count_regions(members, now, true) >= needed;
    // When no peer is settled (cold start of the fleet, end of a total outage), the facts of a majority of
    // regions are all there is to know.
    const duration wait = members.settings.suspicion_term;
    const bool none_settled = !members.heard_settled || now - *members.heard_settled > wait;
    const bool by_rest =
        none_settled && now - members.unsettled_since >= wait && count_regions(members, now, false) >= needed;
    if (!by_majority && !by_rest && members.switches.settle_before_acknowledging) {
        return;
    }
    ++(by_majority ? members.counters.settled_by_majority : members.counters.settled_without_settled_peer);
    members.settled = true;
    members.settled_at = now;
}

bool gives_contact(const membership& members, time_point now)
{
    if (!members.settled || members.left) {
        return false;
    }
    const time_point grace = members.settled_at + members.settings.authority_term;
    return now < std::max(grace, contact_until(members));
}

} // namespace internal

time_point authority_until(const membership& members)
{
    return members.settled && !members.left ? internal::contact_until(members) : time_point::min();
}

bool has_authority(const membership& members, time_point now)
{
    return now < authority_until(members);
}

bool owns_allocation_without_table(const membership& members)
{
    if (members.fenced_named) {
        return false;
    }
    std::size_t clean = 0;
    for (const region_id region : members.settings.regions) {
        const auto found = members.regions.find(region);
        const bool own = region == members.settings.self.region;
        const bool named_none = found != members.regions.end() && found->second.clean;
        clean += named_none || (own && members.settled && members.alone) ? 1 : 0;
    }
    return clean >= internal::majority_of(members.settings.regions.size());
}

} // namespace camphorknot
