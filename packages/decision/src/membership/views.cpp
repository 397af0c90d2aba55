#include <algorithm>

#include "parts.hpp"

namespace camphorknot {
namespace internal {

void patch_live(membership& members, const member_record& record)
{
    if (members.live_stale) {
        return;
    }
    const auto place =
        std::lower_bound(members.live.begin(), members.live.end(), record.instance,
                         [](const member_record& a, instance_id id) { return a.instance < id; });
    if (place != members.live.end() && place->instance == record.instance) {
        place->has_authority = record.has_authority;
        place->configuration_version = record.configuration_version;
        place->ticket_epoch = record.ticket_epoch;
    }
}

void refresh_peers(membership& members)
{
    if (!members.peers_stale) {
        return;
    }
    members.peers_stale = false;
    for (auto& [region, list] : members.peers) {
        list.clear();
    }
    for (const auto& [instance, entry] : members.members) {
        if (is_live(entry)) {
            members.peers[entry.record.region].push_back(instance);
        }
    }
    std::erase_if(members.peers, [](const auto& item) { return item.second.empty(); });
}

std::optional<instance_id> random_peer(membership& members, region_id region)
{
    // A few draws avoid most suspects without a list of those that are not.
    constexpr int draws = 4;
    refresh_peers(members);
    const auto found = members.peers.find(region);
    if (found == members.peers.end()) {
        return std::nullopt;
    }
    instance_id chosen;
    for (int draw = 0; draw < draws; ++draw) {
        chosen = found->second[uniform(members.random, found->second.size())];
        if (!members.suspicions.contains(chosen)) {
            break;
        }
    }
    return chosen;
}

std::optional<region_id> random_far_region(membership& members)
{
    refresh_peers(members);
    const region_id own = members.settings.self.region;
    const std::size_t choices = members.peers.size() - members.peers.count(own);
    std::size_t index = uniform(members.random, choices);
    for (const auto& [region, list] : members.peers) {
        if (region != own && index-- == 0) {
            return region;
        }
    }
    return std::nullopt;
}

} // namespace internal

const std::vector<member_record>& live_members(const membership& members)
{
    if (!members.live_stale) {
        return members.live;
    }
    members.live_stale = false;
    members.live.clear();
    const member_record& self = members.settings.self;
    bool self_added = members.left;
    for (const auto& [instance, entry] : members.members) {
        if (!self_added && self.instance < instance) {
            members.live.push_back(self);
            self_added = true;
        }
        if (internal::is_live(entry)) {
            members.live.push_back(entry.record);
        }
    }
    if (!self_added) {
        members.live.push_back(self);
    }
    return members.live;
}

std::optional<instance_id> choose_by_rendezvous(const membership& members, std::uint64_t key,
                                                std::optional<region_id> region,
                                                std::optional<failure_domain_id> domain)
{
    std::optional<instance_id> chosen;
    std::pair<bool, std::uint64_t> best{};
    for (const member_record& record : live_members(members)) {
        if ((region && record.region != *region) || (domain && record.failure_domain != *domain)) {
            continue;
        }
        // An instance that leaves is chosen only if there is no other.
        const std::pair<bool, std::uint64_t> score{record.state != member_state::leaving,
                                                   mix_hash(key, record.instance.value)};
        if (!chosen || score > best) {
            chosen = record.instance;
            best = score;
        }
    }
    return chosen;
}

} // namespace camphorknot
