#include "camphorknot/steering/fleet.hpp"

#include <algorithm>
#include <tuple>

namespace camphorknot::steering {
namespace {

constexpr std::string_view speaker_duty = "speaker";
constexpr std::string_view reader_duty = "reader";

std::uint64_t duty_weight(std::string_view candidate, std::string_view duty)
{
    return mix_hash(hash_name(candidate), hash_name(duty));
}

bool is_newer(const instance_status& incoming, const instance_status& known)
{
    if (incoming.identity.incarnation != known.identity.incarnation) {
        return incoming.identity.incarnation > known.identity.incarnation;
    }
    return incoming.sequence > known.sequence;
}

// The order in which instances come to speak: those that the store answers, then the strong ones.
using speaker_rank = std::tuple<bool, std::uint32_t, std::uint64_t>;

speaker_rank rank_as_speaker(bool reads_store, std::uint32_t link_mbps, std::string_view name)
{
    return {reads_store, link_mbps, duty_weight(name, speaker_duty)};
}

// Sums by key, keeping the order of the keys.
template <typename Item, typename Key, typename Add>
void add_all(std::map<Key, Item>& sums, std::span<const Item> items, auto key_of, Add add)
{
    for (const Item& each : items) {
        const auto [place, is_new] = sums.emplace(key_of(each), each);
        if (!is_new) {
            add(place->second, each);
        }
    }
}

template <typename Key, typename Item>
std::vector<Item> values_of(const std::map<Key, Item>& sums)
{
    std::vector<Item> values;
    values.reserve(sums.size());
    for (const auto& [key, value] : sums) {
        values.push_back(value);
    }
    return values;
}

struct report_sums {
    std::map<std::string, customer_demand> demands;
    std::map<std::string, target_in_flight> in_flight;
    std::map<std::pair<std::string, std::uint64_t>, rollout_progress> rollouts;
    std::map<std::tuple<std::string, std::string, std::string>, version_counts> counts;
};

void add_rollout(rollout_progress& into, const rollout_progress& each)
{
    into.elapsed = std::max(into.elapsed, each.elapsed);
    into.share = std::min(into.share, each.share);
    into.stopped = into.stopped || each.stopped;
    into.old_in_flight += each.old_in_flight;
}

void add_report(report_sums& sums, const load_report& report)
{
    add_all(
        sums.demands, std::span(report.demands), [](const auto& each) { return each.customer; },
        [](auto& into, const auto& each) { into.per_s += each.per_s; });
    add_all(
        sums.in_flight, std::span(report.in_flight), [](const auto& each) { return each.target; },
        [](auto& into, const auto& each) { into.requests += each.requests; });
    add_all(
        sums.rollouts, std::span(report.rollouts),
        [](const auto& each) { return std::pair(each.service, each.order_version); }, add_rollout);
    add_all(
        sums.counts, std::span(report.counts),
        [](const auto& each) { return std::tuple(each.service, each.version, each.route); },
        [](auto& into, const auto& each) {
            into.answers += each.answers;
            into.failing_answers += each.failing_answers;
        });
}

load_report to_report(const report_sums& sums)
{
    return {values_of(sums.demands), values_of(sums.in_flight), values_of(sums.rollouts),
            values_of(sums.counts)};
}

void note_seen(fleet& known, const std::string& name, time_point now)
{
    known.last_seen[name] = now;
}

// Calls @p visit with the name of each live instance but this one.
void for_each_live_name(const fleet& known, time_point now, auto visit)
{
    for (const auto& [name, member] : known.members) {
        if (is_alive(known, member, now) && !member.status.leaving) {
            visit(name);
        }
    }
    for (const auto& [name, domain] : known.domains) {
        if (is_alive(known, domain, now)) {
            for (const instance_contact& each : domain.summary.members) {
                visit(each.name);
            }
        }
    }
}

std::vector<instance_contact> live_contacts(const fleet& known, bool own_is_ready, time_point now)
{
    std::vector<instance_contact> contacts;
    if (own_is_ready) {
        contacts.push_back(contact_of(known.own));
    }
    for (const instance_status* each : live_statuses(known, now)) {
        contacts.push_back(contact_of(each->identity));
    }
    for (const domain_summary* each : live_summaries(known, now)) {
        contacts.insert(contacts.end(), each->members.begin(), each->members.end());
    }
    return contacts;
}

} // namespace

instance_contact contact_of(const instance_identity& identity)
{
    return {identity.name,          identity.failure_domain, identity.region,
            identity.front_address, identity.peer_address,   identity.link_mbps};
}

bool on_status_received(fleet& known, instance_status status, time_point now)
{
    const auto found = known.members.find(status.identity.name);
    if (found != known.members.end() && !is_newer(status, found->second.status)) {
        return false;
    }
    note_seen(known, status.identity.name, now);
    fleet::member& member = known.members[status.identity.name];
    member.status = std::move(status);
    member.last_received = now;
    return true;
}

bool on_summary_received(fleet& known, domain_summary summary, time_point now)
{
    const auto found = known.domains.find(summary.failure_domain);
    if (found != known.domains.end()) {
        const domain_summary& last = found->second.summary;
        if (summary.delegate == last.delegate && summary.sequence <= last.sequence) {
            return false;
        }
    }
    for (const instance_contact& each : summary.members) {
        note_seen(known, each.name, now);
    }
    fleet::domain& domain = known.domains[summary.failure_domain];
    domain.summary = std::move(summary);
    domain.last_received = now;
    return true;
}

void on_contacts_registered(fleet& known, std::span<const instance_contact> registered, time_point now)
{
    for (const instance_contact& each : registered) {
        if (each.name != known.own.name) {
            known.last_seen.try_emplace(each.name, now);
        }
    }
}

std::vector<instance_contact> unreachable_domain_contacts(const fleet& known,
                                                          std::span<const instance_contact> registered,
                                                          std::uint64_t round, time_point now)
{
    std::map<std::string_view, std::vector<const instance_contact*>> unheard;
    for (const instance_contact& each : registered) {
        const auto domain = known.domains.find(each.failure_domain);
        const bool is_heard = domain != known.domains.end() && is_alive(known, domain->second, now);
        if (each.failure_domain != known.own.failure_domain && !is_heard) {
            unheard[each.failure_domain].push_back(&each);
        }
    }
    std::vector<instance_contact> contacts;
    contacts.reserve(unheard.size());
    for (const auto& [domain, members] : unheard) {
        contacts.push_back(*members.at(round % members.size()));
    }
    return contacts;
}

std::vector<std::string> remove_silent(fleet& known, time_point now)
{
    std::vector<std::string> forgotten;
    std::erase_if(known.members, [&](const auto& each) {
        const bool silent = now - each.second.last_received > known.tuning.member_retention;
        if (silent) {
            forgotten.push_back(each.second.status.identity.peer_address);
        }
        return silent;
    });
    std::erase_if(known.domains, [&](const auto& each) {
        return now - each.second.last_received > known.tuning.member_retention;
    });
    const duration kept = sees_half_of_fleet(known, now) ? known.tuning.member_retention
                                                         : known.tuning.isolated_member_retention;
    std::erase_if(known.last_seen, [&](const auto& each) { return now - each.second > kept; });
    return forgotten;
}

bool is_alive(const fleet& known, const fleet::member& member, time_point now)
{
    return now - member.last_received < known.tuning.status_timeout;
}

bool is_alive(const fleet& known, const fleet::domain& domain, time_point now)
{
    return now - domain.last_received < known.tuning.summary_timeout;
}

std::vector<const instance_status*> live_statuses(const fleet& known, time_point now)
{
    std::vector<const instance_status*> live;
    for (const auto& [name, member] : known.members) {
        if (is_alive(known, member, now) && !member.status.leaving) {
            live.push_back(&member.status);
        }
    }
    return live;
}

std::vector<const domain_summary*> live_summaries(const fleet& known, time_point now)
{
    std::vector<const domain_summary*> live;
    for (const auto& [name, domain] : known.domains) {
        if (is_alive(known, domain, now)) {
            live.push_back(&domain.summary);
        }
    }
    return live;
}

std::size_t live_instances(const fleet& known, time_point now)
{
    std::size_t count = 1;
    for_each_live_name(known, now, [&](const std::string& /*name*/) { ++count; });
    return count;
}

std::size_t possible_instances(const fleet& known, time_point now)
{
    return std::max(live_instances(known, now), known.last_seen.size() + 1);
}

bool sees_half_of_fleet(const fleet& known, time_point now)
{
    return 2 * (live_instances(known, now) - 1) >= known.last_seen.size();
}

bool is_domain_delegate(const fleet& known, time_point now)
{
    const speaker_rank own = rank_as_speaker(known.own_reads_store, known.own.link_mbps, known.own.name);
    return std::ranges::all_of(live_statuses(known, now), [&](const instance_status* each) {
        return rank_as_speaker(each->reads_store, each->identity.link_mbps, each->identity.name) < own;
    });
}

bool is_store_reader(const fleet& known, time_point now)
{
    const auto own = std::pair(known.own_reads_store, duty_weight(known.own.failure_domain, reader_duty));
    return is_domain_delegate(known, now) &&
           std::ranges::all_of(live_summaries(known, now), [&](const domain_summary* each) {
               return each->region != known.own.region ||
                      std::pair(each->reads_store, duty_weight(each->failure_domain, reader_duty)) < own;
           });
}

std::size_t assignment_rank(const fleet& known, std::string_view name, time_point now)
{
    const std::uint64_t own = duty_weight(known.own.name, name);
    std::size_t before = 0;
    for_each_live_name(known, now,
                       [&](const std::string& other) { before += duty_weight(other, name) > own ? 1 : 0; });
    return before;
}

std::vector<std::uint64_t> live_candidates(const fleet& known, time_point now)
{
    std::vector<std::uint64_t> candidates;
    for_each_live_name(known, now, [&](const std::string& name) { candidates.push_back(hash_name(name)); });
    std::ranges::sort(candidates);
    return candidates;
}

bool is_assigned(const fleet& known, std::span<const std::uint64_t> candidates, std::string_view name)
{
    const std::uint64_t duty = hash_name(name);
    const std::uint64_t own = mix_hash(hash_name(known.own.name), duty);
    return std::ranges::none_of(candidates, [&](std::uint64_t other) { return mix_hash(other, duty) > own; });
}

std::string find_rate_owner(const fleet& known, std::string_view customer, time_point now)
{
    std::uint64_t highest = duty_weight(known.own.name, customer);
    std::string keeper;
    for (const instance_status* each : live_statuses(known, now)) {
        const std::uint64_t weight = duty_weight(each->identity.name, customer);
        if (weight > highest) {
            highest = weight;
            keeper = each->identity.peer_address;
        }
    }
    return keeper;
}

std::vector<instance_contact> ranked_delegates(const domain_summary& summary)
{
    std::vector<instance_contact> ordered = summary.members;
    std::ranges::sort(ordered, [](const auto& a, const auto& b) {
        return rank_as_speaker(true, a.link_mbps, a.name) > rank_as_speaker(true, b.link_mbps, b.name);
    });
    return ordered;
}

domain_summary make_summary(const fleet& known, const instance_status& own, std::uint64_t sequence,
                            time_point now)
{
    domain_summary summary;
    summary.failure_domain = known.own.failure_domain;
    summary.region = known.own.region;
    summary.delegate = known.own.name + "/" + std::to_string(known.own.incarnation);
    summary.sequence = sequence;
    summary.positions = own.positions;
    summary.reads_store = own.reads_store;
    report_sums sums;
    add_report(sums, own.load);
    if (!own.leaving) {
        summary.members.push_back(contact_of(known.own));
    }
    for (const instance_status* each : live_statuses(known, now)) {
        add_report(sums, each->load);
        summary.members.push_back(contact_of(each->identity));
    }
    summary.load = to_report(sums);
    return summary;
}

load_report sum_of_peer_reports(const fleet& known, time_point now)
{
    report_sums sums;
    for (const instance_status* each : live_statuses(known, now)) {
        add_report(sums, each->load);
    }
    for (const domain_summary* each : live_summaries(known, now)) {
        add_report(sums, each->load);
    }
    return to_report(sums);
}

std::vector<std::string> front_addresses_for(const fleet& known, std::string_view region,
                                             std::string_view domain, bool own_is_ready, time_point now)
{
    const std::vector<instance_contact> all = live_contacts(known, own_is_ready, now);
    const auto addresses_if = [&](auto fits) {
        std::vector<std::string> addresses;
        for (const instance_contact& each : all) {
            if (fits(each)) {
                addresses.push_back(each.front_address);
            }
        }
        return addresses;
    };
    auto addresses =
        addresses_if([&](const instance_contact& each) { return each.failure_domain == domain; });
    if (addresses.empty()) {
        addresses = addresses_if([&](const instance_contact& each) { return each.region == region; });
    }
    if (addresses.empty()) {
        addresses = addresses_if([](const instance_contact&) { return true; });
    }
    return addresses;
}

} // namespace camphorknot::steering
