/// @file
/// Memberships on the shared scheduler, with the invariants that hold over the whole fleet.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "camphorknot/membership.hpp"
#include "scheduler.hpp"

namespace camphorknot::test_support {

struct fleet_shape {
    std::size_t regions = 3;
    std::size_t instances = 3; ///< Of each region, over two failure domains.
    std::uint64_t seed = 1;
    fault_plan faults{};
    internal::mechanism_switches switches{};
    duration tick_period = std::chrono::milliseconds(50);
};

/// What an observer outside of the fleet sees.
struct fleet_view {
    std::set<std::pair<instance_id, incarnation>> stopped; ///< Every proof that any instance raised.
    std::set<fact> fences;
    std::map<std::pair<instance_id, std::uint64_t>, internal::mechanism_counters> counters;
    std::vector<time_point> connected_since; ///< Last start, wake or end of a cut of each instance.
    std::map<fact, time_point> spreading;    ///< Facts that some connected instance does not know yet.
    std::vector<duration> spread_times;
    std::uint64_t steps = 0;
    std::uint64_t acts = 0;                  ///< Checks that found an instance with authority.
    std::uint64_t authority_after_proof = 0; ///< An incarnation that was proved stopped had authority.
    std::uint64_t authority_when_cut = 0;    ///< Longer than the term after a cut began.
    std::uint64_t late_facts = 0;            ///< A connected instance did not know a fact within the bound.
    std::uint64_t fenced_running = 0;        ///< Fences of incarnations that ran and were not paused or cut.
};

struct fleet {
    explicit fleet(const fleet_shape& shape);
    fleet_view view;
    std::vector<region_id> regions;
    std::map<instance_id, std::size_t> index_of;
    std::map<region_id, time_point> cut_since;
    duration fact_bound = std::chrono::seconds(6);
    std::unique_ptr<scheduler<membership>> run;
};

inline const placement& place(const fleet& f, std::size_t i)
{
    return f.run->settings().placements[i];
}

inline bool acts(const fleet& f, std::size_t i)
{
    return f.run->runs(i) && has_authority(f.run->node(i), f.run->local_time(i));
}

/// @return whether the instance runs and is in no region that is cut.
inline bool is_connected(const fleet& f, std::size_t i)
{
    return f.run->runs(i) && !f.run->is_cut(place(f, i).region);
}

inline bool is_true_fence(const fleet& f, const fact& fence)
{
    const auto subject = f.index_of.find(instance_id{fence.subject});
    return subject == f.index_of.end() || !is_connected(f, subject->second) ||
           f.run->node(subject->second).settings.self.number != fence.detail;
}

// Takes the events of one instance into the view.
inline void observe(fleet& f, membership& node)
{
    const member_record& self = node.settings.self;
    f.view.counters[{self.instance, self.process_nonce}] = node.counters;
    for (const membership_event& event : take_events(node)) {
        if (const auto* proof = std::get_if<proved_stopped>(&event)) {
            f.view.stopped.emplace(proof->instance, proof->number);
        }
        const auto* news = std::get_if<fact_learned>(&event);
        if (news != nullptr && news->learned.kind == fact_kind::incarnation_fenced &&
            f.view.fences.insert(news->learned).second) {
            f.view.fenced_running += is_true_fence(f, news->learned) ? 0 : 1;
        }
    }
}

inline void check_facts(fleet& f)
{
    for (auto it = f.view.spreading.begin(); it != f.view.spreading.end();) {
        bool known = false;
        bool missing = false;
        bool late = false;
        for (std::size_t i = 0; i < f.run->size(); ++i) {
            if (!is_connected(f, i)) {
                continue;
            }
            const bool knows = knows_fact(f.run->node(i), it->first);
            known = known || knows;
            missing = missing || !knows;
            const time_point since = std::max(it->second, f.view.connected_since[i]);
            late = late || (!knows && f.run->now() - since > f.fact_bound);
        }
        if (!known) {
            it->second = f.run->now(); // Its only holder died, sleeps or is cut off.
        } else if (!missing) {
            f.view.spread_times.push_back(f.run->now() - it->second);
            it = f.view.spreading.erase(it);
            continue;
        }
        f.view.late_facts += late ? 1 : 0;
        ++it;
    }
}

/// Checks the invariants; for use as the check of a run.
inline bool check_fleet(fleet& f)
{
    const duration term = membership_settings{}.authority_term;
    for (std::size_t i = 0; i < f.run->size(); ++i) {
        const region_id region = place(f, i).region;
        if (!is_connected(f, i)) {
            f.view.connected_since[i] = f.run->now();
        }
        if (!f.run->is_cut(region)) {
            f.cut_since[region] = f.run->now();
        }
        if (!acts(f, i)) {
            continue;
        }
        ++f.view.acts;
        const member_record& self = f.run->node(i).settings.self;
        f.view.authority_after_proof += f.view.stopped.contains({self.instance, self.number}) ? 1 : 0;
        // A slow clock counts the term for longer.
        const bool long_cut = f.run->now() - f.cut_since[region] > with_drift(term);
        f.view.authority_when_cut += long_cut ? 1 : 0;
    }
    check_facts(f);
    ++f.view.steps;
    return true;
}

inline void run_for(fleet& f, duration length)
{
    f.run->run_until(f.run->now() + length, [&f] { return check_fleet(f); });
}

/// Raises a fact at the instance and follows how it spreads.
inline void raise(fleet& f, std::size_t i, const fact& value)
{
    if (f.run->runs(i) && raise_fact(f.run->node(i), value)) {
        f.view.spreading.emplace(value, f.run->now());
    }
}

inline fact fence_of(const fleet& f, std::size_t i)
{
    const member_record& self = f.run->node(i).settings.self;
    return {fact_kind::incarnation_fenced, self.instance.value, self.number, {}};
}

/// Stops the instance gracefully; a new process starts after @p down.
inline void leave_and_restart(fleet& f, std::size_t i, duration down)
{
    outbox out;
    finish_leave(f.run->node(i), out);
    f.run->send(out);
    f.run->kill(i, down);
}

inline std::vector<std::string_view> mechanisms_at_work(const membership& node)
{
    std::vector<std::string_view> names{node.settled ? "settled" : "joining"};
    const std::pair<bool, std::string_view> others[] = {
        {!node.suspicions.empty(), "suspicion"},  {!node.fencings.empty(), "fence_collection"},
        {!node.unproved.empty(), "fenced_peer"},  {!node.fact_rumors.empty(), "fact_spread"},
        {!node.record_rumors.empty(), "records"}, {node.counters.renumbered > 0, "renumbered"}};
    for (const auto& [at_work, name] : others) {
        if (at_work) {
            names.push_back(name);
        }
    }
    return names;
}

inline fleet::fleet(const fleet_shape& shape)
{
    schedule_settings schedule;
    schedule.seed = shape.seed;
    schedule.faults = shape.faults;
    schedule.tick_period = shape.tick_period;
    std::vector<instance_contact> contacts;
    for (std::size_t r = 0; r < shape.regions; ++r) {
        regions.push_back(make_id<region_id>("region-" + std::to_string(r)));
        for (std::size_t k = 0; k < shape.instances; ++k) {
            const std::string address = "10.0." + std::to_string(r) + "." + std::to_string(k) + ":7400";
            const auto domain = make_id<failure_domain_id>(std::to_string(r) + "-" + std::to_string(k % 2));
            const auto instance = make_id<instance_id>(address);
            index_of[instance] = schedule.placements.size();
            schedule.placements.push_back({instance, regions.back(), domain});
            contacts.push_back({instance, regions.back(), domain, address});
        }
    }
    node_functions<membership> functions;
    functions.make = [this, shape, contacts](std::size_t i, incarnation number, time_point now) {
        membership_settings settings;
        settings.self.instance = contacts[i].instance;
        settings.self.number = number;
        settings.self.region = contacts[i].region;
        settings.self.failure_domain = contacts[i].failure_domain;
        settings.self.peer_address = contacts[i].peer_address;
        settings.self.process_nonce = mix_hash(i, number);
        settings.regions = regions;
        settings.seed = shape.seed;
        auto made = make_membership(settings, now);
        made->switches = shape.switches;
        add_contacts(*made, contacts, now);
        return std::move(*made);
    };
    functions.tick = [this](membership& node, time_point now, outbox& out) {
        tick(node, now, out);
        observe(*this, node);
    };
    functions.on_message = [this](membership& node, const envelope& message, time_point now, outbox& out) {
        on_message(node, message, now, out);
        observe(*this, node);
    };
    functions.mechanisms = mechanisms_at_work;
    view.connected_since.resize(schedule.placements.size());
    run = std::make_unique<scheduler<membership>>(schedule, functions);
}

} // namespace camphorknot::test_support
