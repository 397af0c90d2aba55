#include <algorithm>
#include <functional>

#include "parts.hpp"

namespace camphorknot {
namespace internal {
namespace {

// Time after which an instance_contact from which no record was received no longer counts as a possible peer.
constexpr duration unanswered_contact_timeout = std::chrono::seconds(10);

// Time until which the newest contacts with a majority of regions count, whether or not this instance is
// settled. The region of this instance counts without contact if no other instance may be running there.
time_point majority_contact_until(const membership& members)
{
    std::vector<time_point> sent;
    sent.reserve(members.settings.regions.size());
    for (const region_id region : members.settings.regions) {
        if (members.alone_in_region && region == members.settings.self.region) {
            sent.push_back(time_point::max());
            continue;
        }
        const auto found = members.regions.find(region);
        if (found != members.regions.end() && found->second.acked_ping_sent_at) {
            sent.push_back(*found->second.acked_ping_sent_at);
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

// Number of regions from which a facts digest equal to this instance's was received recently. The region of
// this instance also counts if no other instance may be running there, except with @p settled_only.
std::size_t count_matching_regions(const membership& members, time_point now, bool settled_only)
{
    std::size_t count = 0;
    for (const region_id region : members.settings.regions) {
        const auto found = members.regions.find(region);
        if (found == members.regions.end()) {
            continue;
        }
        const auto last_match_time =
            settled_only ? found->second.last_settled_match : found->second.last_match;
        const bool is_own_region = region == members.settings.self.region;
        const bool recent = last_match_time && *last_match_time >= members.unsettled_since &&
                            now - *last_match_time <= members.settings.authority_term;
        if (recent || (is_own_region && members.alone_in_region && !settled_only)) {
            ++count;
        }
    }
    return count;
}

} // namespace

bool is_alone_in_region(const membership& members, time_point now)
{
    const region_id own_region = members.settings.self.region;
    return std::none_of(members.members.begin(), members.members.end(), [&](const auto& item) {
        const member_entry& entry = item.second;
        const bool is_unresponsive = !entry.has_record && now - entry.changed_at > unanswered_contact_timeout;
        return entry.record.region == own_region && !is_unresponsive &&
               entry.record.state != member_state::left;
    });
}

void unsettle(membership& members, time_point now)
{
    members.counters.unsettled += members.settled ? 1 : 0;
    members.settled = false;
    members.has_full_state = false;
    members.unsettled_since = now;
    members.next_gossip = now;
    // Fence acknowledgements must be collected anew: if this instance was cut off or fenced meanwhile,
    // instances may have joined that are missing here.
    members.fence_collections.clear();
}

void refresh_settled(membership& members, time_point now)
{
    if (members.settled && now >= std::max(members.settled_at + members.settings.authority_term,
                                           majority_contact_until(members))) {
        unsettle(members, now);
    }
}

void try_settle(membership& members, time_point now)
{
    if (members.settled) {
        return;
    }
    const std::size_t needed = majority_of(members.settings.regions.size());
    const bool matches_settled_majority =
        members.has_full_state && count_matching_regions(members, now, true) >= needed;
    // When no peer is settled (cold start of the fleet, end of a total outage), equal facts in a majority of
    // regions suffice: no peer has a more complete state.
    const duration wait = members.settings.suspicion_term;
    const bool no_settled_peer = !members.last_settled_message || now - *members.last_settled_message > wait;
    const bool matches_unsettled_majority = no_settled_peer && now - members.unsettled_since >= wait &&
                                            count_matching_regions(members, now, false) >= needed;
    if (!matches_settled_majority && !matches_unsettled_majority &&
        members.switches.settle_before_acknowledging) {
        return;
    }
    ++(matches_settled_majority ? members.counters.settled_by_majority
                                : members.counters.settled_without_settled_peer);
    members.settled = true;
    members.settled_at = now;
}

bool can_grant_contact(const membership& members, time_point now)
{
    if (!members.settled || members.has_left) {
        return false;
    }
    const time_point grace = members.settled_at + members.settings.authority_term;
    return now < std::max(grace, majority_contact_until(members));
}

} // namespace internal

time_point authority_until(const membership& members)
{
    return members.settled && !members.has_left ? internal::majority_contact_until(members)
                                                : time_point::min();
}

bool has_authority(const membership& members, time_point now)
{
    return now < authority_until(members);
}

bool owns_allocation_without_table(const membership& members)
{
    if (members.fence_reported) {
        return false;
    }
    std::size_t confirming_regions = 0;
    for (const region_id region : members.settings.regions) {
        const auto found = members.regions.find(region);
        const bool is_own_region = region == members.settings.self.region;
        const bool reports_no_fence = found != members.regions.end() && found->second.reported_no_fence;
        confirming_regions +=
            reports_no_fence || (is_own_region && members.settled && members.alone_in_region) ? 1 : 0;
    }
    return confirming_regions >= internal::majority_of(members.settings.regions.size());
}

} // namespace camphorknot
