#include <algorithm>

#include "parts.hpp"

namespace camphorknot {
namespace internal {

void update_live_cache(membership& members, const member_record& record)
{
    if (members.live_cache_stale) {
        return;
    }
    const auto position =
        std::lower_bound(members.live_cache.begin(), members.live_cache.end(), record.instance,
                         [](const member_record& a, instance_id id) { return a.instance < id; });
    if (position != members.live_cache.end() && position->instance == record.instance) {
        position->has_authority = record.has_authority;
        position->configuration_version = record.configuration_version;
        position->ticket_epoch = record.ticket_epoch;
    }
}

void refresh_live_peers(membership& members)
{
    if (!members.live_peers_stale) {
        return;
    }
    members.live_peers_stale = false;
    for (auto& [region, list] : members.live_peers) {
        list.clear();
    }
    for (const auto& [instance, entry] : members.members) {
        if (is_live(entry)) {
            members.live_peers[entry.record.region].push_back(instance);
        }
    }
    std::erase_if(members.live_peers, [](const auto& item) { return item.second.empty(); });
}

std::optional<instance_id> random_peer(membership& members, region_id region)
{
    // A few draws avoid most suspected peers without a list of the others.
    constexpr int draws = 4;
    refresh_live_peers(members);
    const auto found = members.live_peers.find(region);
    if (found == members.live_peers.end()) {
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

std::optional<region_id> random_remote_region(membership& members)
{
    refresh_live_peers(members);
    const region_id own_region = members.settings.self.region;
    const std::size_t choices = members.live_peers.size() - members.live_peers.count(own_region);
    std::size_t index = uniform(members.random, choices);
    for (const auto& [region, list] : members.live_peers) {
        if (region != own_region && index-- == 0) {
            return region;
        }
    }
    return std::nullopt;
}

} // namespace internal

const std::vector<member_record>& live_members(const membership& members)
{
    if (!members.live_cache_stale) {
        return members.live_cache;
    }
    members.live_cache_stale = false;
    members.live_cache.clear();
    const member_record& self = members.settings.self;
    bool self_added = members.has_left;
    for (const auto& [instance, entry] : members.members) {
        if (!self_added && self.instance < instance) {
            members.live_cache.push_back(self);
            self_added = true;
        }
        if (internal::is_live(entry)) {
            members.live_cache.push_back(entry.record);
        }
    }
    if (!self_added) {
        members.live_cache.push_back(self);
    }
    return members.live_cache;
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
        // A leaving instance is chosen only if there is no other.
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
