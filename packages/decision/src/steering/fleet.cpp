#include "camphorknot/steering/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace camphorknot::steering {
namespace {

constexpr std::string_view delegate_task = "speaker";
constexpr std::string_view reader_task = "reader";
// Time constant of the decay of peak rates: a wave of requests lasts longer than a burst.
constexpr double peak_rate_period_s = 15;
// Delay of the first read of the store for one core of speed 1, and its limit. It grows with the square of
// the weakness: instances of medium strength may be the strongest of their fleet.
constexpr duration one_core_read_delay = std::chrono::milliseconds(10);
constexpr duration max_read_delay = std::chrono::seconds(2);

std::uint64_t task_weight(std::string_view candidate, std::string_view task)
{
    return mix_hash(hash_name(candidate), hash_name(task));
}

bool is_newer(const instance_status& incoming, const instance_status& stored)
{
    if (incoming.identity.incarnation != stored.identity.incarnation) {
        return incoming.identity.incarnation > stored.identity.incarnation;
    }
    return incoming.sequence > stored.sequence;
}

// Preference as delegate: instances that can reach the store first, then those with the highest link
// capacity.
using delegate_rank = std::tuple<bool, std::uint32_t, std::uint64_t>;

delegate_rank rank_as_delegate(bool reads_store, std::uint32_t link_mbps, std::string_view name)
{
    return {reads_store, link_mbps, task_weight(name, delegate_task)};
}

void on_instance_seen(fleet& peers, const std::string& name, time_point now)
{
    peers.last_seen[name] = now;
}

// Calls `visit` with the name and the processor capacity of each other live instance.
void for_each_live(const fleet& peers, time_point now, auto visit)
{
    for (const auto& [name, member] : peers.members) {
        if (is_alive(peers, member, now) && !member.status.leaving) {
            visit(name, member.status.identity.cpu_millicores);
        }
    }
    for (const auto& [name, domain] : peers.domains) {
        if (is_alive(peers, domain, now)) {
            for (const instance_contact& contact : domain.summary.members) {
                visit(contact.name, contact.cpu_millicores);
            }
        }
    }
}

} // namespace

bool on_status_received(fleet& peers, instance_status status, time_point now)
{
    const auto found = peers.members.find(status.identity.name);
    if (found != peers.members.end() && !is_newer(status, found->second.status)) {
        return false;
    }
    on_instance_seen(peers, status.identity.name, now);
    fleet::member& member = peers.members[status.identity.name];
    member.status = std::move(status);
    member.last_received = now;
    return true;
}

bool on_summary_received(fleet& peers, domain_summary summary, time_point now)
{
    const auto found = peers.domains.find(summary.failure_domain);
    if (found != peers.domains.end()) {
        const domain_summary& last = found->second.summary;
        if (summary.delegate == last.delegate && summary.sequence <= last.sequence) {
            return false;
        }
    }
    for (const instance_contact& contact : summary.members) {
        on_instance_seen(peers, contact.name, now);
    }
    update_peak_rate(peers.request_rates[summary.failure_domain], summary.load.requests_per_s, now);
    fleet::domain& domain = peers.domains[summary.failure_domain];
    domain.summary = std::move(summary);
    domain.last_received = now;
    return true;
}

void on_contacts_registered(fleet& peers, std::span<const instance_contact> registered, time_point now)
{
    for (const instance_contact& contact : registered) {
        if (contact.name != peers.own.name) {
            peers.last_seen.try_emplace(contact.name, now);
        }
    }
}

std::vector<instance_contact> unreachable_domain_contacts(const fleet& peers,
                                                          std::span<const instance_contact> registered,
                                                          std::uint64_t round, time_point now)
{
    std::map<std::string_view, std::vector<const instance_contact*>> unreachable;
    for (const instance_contact& contact : registered) {
        const auto domain = peers.domains.find(contact.failure_domain);
        const bool is_reachable = domain != peers.domains.end() && is_alive(peers, domain->second, now);
        if (contact.failure_domain != peers.own.failure_domain && !is_reachable) {
            unreachable[contact.failure_domain].push_back(&contact);
        }
    }
    std::vector<instance_contact> contacts;
    contacts.reserve(unreachable.size());
    for (const auto& [domain, members] : unreachable) {
        contacts.push_back(*members.at(round % members.size()));
    }
    return contacts;
}

std::vector<std::string> remove_silent(fleet& peers, time_point now)
{
    std::vector<std::string> removed;
    std::erase_if(peers.members, [&](const auto& entry) {
        const bool expired = now - entry.second.last_received > peers.tuning.member_retention;
        if (expired) {
            removed.push_back(entry.second.status.identity.peer_address);
        }
        return expired;
    });
    std::erase_if(peers.domains, [&](const auto& entry) {
        return now - entry.second.last_received > peers.tuning.member_retention;
    });
    const duration retention = sees_half_of_fleet(peers, now) ? peers.tuning.member_retention
                                                              : peers.tuning.isolated_member_retention;
    std::erase_if(peers.last_seen, [&](const auto& entry) { return now - entry.second > retention; });
    return removed;
}

bool is_alive(const fleet& peers, const fleet::member& member, time_point now)
{
    return now - member.last_received < peers.tuning.status_timeout;
}

bool is_alive(const fleet& peers, const fleet::domain& domain, time_point now)
{
    return now - domain.last_received < peers.tuning.summary_timeout;
}

std::vector<const instance_status*> live_statuses(const fleet& peers, time_point now)
{
    std::vector<const instance_status*> live;
    for (const auto& [name, member] : peers.members) {
        if (is_alive(peers, member, now) && !member.status.leaving) {
            live.push_back(&member.status);
        }
    }
    return live;
}

record_source source_of(const instance_identity& identity, const record_positions& positions)
{
    return {identity.link_mbps, task_weight(identity.name, delegate_task),
            positions.at(static_cast<std::size_t>(collection::orders))};
}

std::vector<record_source> live_sources(const fleet& peers, const record_requests& pending, time_point now)
{
    std::vector<record_source> sources;
    for (const instance_status* status : live_statuses(peers, now)) {
        sources.push_back(source_of(status->identity, status->positions));
        sources.back().answers = !is_unanswering(pending, status->identity.name, now);
    }
    return sources;
}

std::vector<const domain_summary*> live_summaries(const fleet& peers, time_point now)
{
    std::vector<const domain_summary*> live;
    for (const auto& [name, domain] : peers.domains) {
        if (is_alive(peers, domain, now)) {
            live.push_back(&domain.summary);
        }
    }
    return live;
}

std::size_t live_instances(const fleet& peers, time_point now)
{
    std::size_t count = 1;
    for_each_live(peers, now, [&](const std::string& /*name*/, std::uint32_t /*cpu*/) { ++count; });
    return count;
}

std::size_t possible_instances(const fleet& peers, time_point now)
{
    return std::max(live_instances(peers, now), peers.last_seen.size() + 1);
}

bool sees_half_of_fleet(const fleet& peers, time_point now)
{
    return 2 * (live_instances(peers, now) - 1) >= peers.last_seen.size();
}

bool is_domain_delegate(const fleet& peers, time_point now)
{
    const delegate_rank own = rank_as_delegate(peers.own_reads_store, peers.own.link_mbps, peers.own.name);
    return std::ranges::all_of(live_statuses(peers, now), [&](const instance_status* status) {
        return rank_as_delegate(status->reads_store, status->identity.link_mbps, status->identity.name) < own;
    });
}

bool is_store_reader(const fleet& peers, time_point now)
{
    const auto own = std::pair(peers.own_reads_store, task_weight(peers.own.failure_domain, reader_task));
    return is_domain_delegate(peers, now) &&
           std::ranges::all_of(live_summaries(peers, now), [&](const domain_summary* summary) {
               return summary->region != peers.own.region ||
                      std::pair(summary->reads_store, task_weight(summary->failure_domain, reader_task)) <
                          own;
           });
}

std::size_t assignment_rank(const fleet& peers, std::string_view name, time_point now)
{
    const std::uint64_t own = task_weight(peers.own.name, name);
    std::size_t preceding = 0;
    for_each_live(peers, now, [&](const std::string& other, std::uint32_t /*cpu*/) {
        preceding += task_weight(other, name) > own ? 1 : 0;
    });
    return preceding;
}

task_candidates live_candidates(const fleet& peers, time_point now)
{
    std::uint32_t strongest = peers.own.cpu_millicores;
    for_each_live(peers, now, [&](const std::string& /*name*/, std::uint32_t cpu_millicores) {
        strongest = std::max(strongest, cpu_millicores);
    });
    task_candidates candidates;
    candidates.has_own = peers.own.cpu_millicores == strongest;
    for_each_live(peers, now, [&](const std::string& name, std::uint32_t cpu_millicores) {
        if (cpu_millicores == strongest) {
            candidates.others.push_back(hash_name(name));
        }
    });
    std::ranges::sort(candidates.others);
    return candidates;
}

std::optional<std::size_t> candidate_rank(const fleet& peers, const task_candidates& candidates,
                                          std::string_view name)
{
    if (!candidates.has_own) {
        return std::nullopt;
    }
    const std::uint64_t task = hash_name(name);
    const std::uint64_t own = mix_hash(hash_name(peers.own.name), task);
    return static_cast<std::size_t>(std::ranges::count_if(
        candidates.others, [&](std::uint64_t other) { return mix_hash(other, task) > own; }));
}

bool is_assigned(const fleet& peers, const task_candidates& candidates, std::string_view name)
{
    return candidate_rank(peers, candidates, name) == 0U;
}

std::string find_rate_owner(const fleet& peers, std::string_view customer, time_point now)
{
    using rate_owner_rank = std::pair<std::uint32_t, std::uint64_t>;
    rate_owner_rank highest = {peers.own.cpu_millicores, task_weight(peers.own.name, customer)};
    std::string owner;
    for (const instance_status* status : live_statuses(peers, now)) {
        const rate_owner_rank weight = {status->identity.cpu_millicores,
                                        task_weight(status->identity.name, customer)};
        if (weight > highest) {
            highest = weight;
            owner = status->identity.peer_address;
        }
    }
    return owner;
}

duration startup_read_delay(const instance_identity& own)
{
    if (own.cpu_millicores == 0) {
        return duration{};
    }
    // Instances of equal strength start up to half of the delay apart.
    const double spread =
        static_cast<double>(mix_hash(hash_name(own.name), own.incarnation) >> 11U) * 0x1.0p-54;
    const double weakness = 1000.0 / own.cpu_millicores;
    const double delay_ns =
        static_cast<double>(one_core_read_delay.count()) * weakness * weakness * (1 + spread);
    return delay_ns < static_cast<double>(max_read_delay.count())
               ? duration(static_cast<std::int64_t>(delay_ns))
               : max_read_delay;
}

std::vector<instance_contact> ranked_delegates(const domain_summary& summary)
{
    std::vector<instance_contact> ordered = summary.members;
    std::ranges::sort(ordered, [](const auto& a, const auto& b) {
        return rank_as_delegate(true, a.link_mbps, a.name) > rank_as_delegate(true, b.link_mbps, b.name);
    });
    return ordered;
}

void update_peak_rate(peak_rate& rate, double per_s, time_point now)
{
    rate.per_s = std::max(peak_rate_at(rate, now), per_s);
    rate.updated_at = now;
}

double peak_rate_at(const peak_rate& rate, time_point now)
{
    const double elapsed_s = std::chrono::duration<double>(now - rate.updated_at).count();
    return rate.per_s * std::exp(-std::max(0.0, elapsed_s) / peak_rate_period_s);
}

double own_domain_requests_per_s(const fleet& peers, const load_report& own, time_point now)
{
    double sum = own.requests_per_s;
    for (const instance_status* status : live_statuses(peers, now)) {
        sum += status->load.requests_per_s;
    }
    return sum;
}

} // namespace camphorknot::steering
