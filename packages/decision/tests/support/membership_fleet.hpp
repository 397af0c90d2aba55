/// @file
/// A fleet of memberships on the shared scheduler, with checks of the invariants over the whole fleet.
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
    std::size_t instances = 3; ///< In each region, in two failure domains.
    std::uint64_t seed = 1;
    fault_plan faults{};
    internal::mechanism_switches switches{};
    duration tick_period = std::chrono::milliseconds(50);
};

/// Observations of the whole fleet, and the counts of violated invariants. Times are real times of the
/// scheduler.
struct fleet_view {
    /// Incarnations that any instance has proved stopped.
    std::set<std::pair<instance_id, incarnation>> stopped;
    /// All fences raised.
    std::set<fact> fences;
    /// By instance and process nonce.
    std::map<std::pair<instance_id, std::uint64_t>, internal::mechanism_counters> counters;
    /// When each instance last started, resumed after a pause or was reconnected after a cut.
    std::vector<time_point> connected_since;
    /// Facts that some connected instance lacks, with the start of their spread.
    std::map<fact, time_point> spreading_facts;
    /// Times until all connected instances had a fact.
    std::vector<duration> spread_times;
    std::uint64_t steps = 0;
    /// Checks that found an instance with authority.
    std::uint64_t authority_checks = 0;
    /// Checks that found authority in an incarnation proved stopped.
    std::uint64_t authority_after_proof = 0;
    /// Checks that found authority in a region cut for longer than the authority term.
    std::uint64_t authority_when_cut = 0;
    /// Checks that found a connected instance without a fact after fact_bound, counted once per fact.
    std::uint64_t late_facts = 0;
    /// Fences of incarnations that were running, not paused and not cut off.
    std::uint64_t fenced_while_connected = 0;
};

struct fleet {
    explicit fleet(const fleet_shape& shape);
    fleet_view view;
    std::vector<region_id> regions;
    std::map<instance_id, std::size_t> index_of;
    std::map<region_id, time_point> cut_since;
    /// Time within which a connected instance must receive a fact.
    duration fact_bound = std::chrono::seconds(6);
    std::unique_ptr<scheduler<membership>> simulation;
};

inline const placement& placement_of(const fleet& f, std::size_t i)
{
    return f.simulation->settings().placements[i];
}

inline bool instance_has_authority(const fleet& f, std::size_t i)
{
    return f.simulation->runs(i) && has_authority(f.simulation->node(i), f.simulation->local_time(i));
}

/// @return whether the instance runs and is in no region that is cut.
inline bool is_connected(const fleet& f, std::size_t i)
{
    return f.simulation->runs(i) && !f.simulation->is_cut(placement_of(f, i).region);
}

/// @return whether the fenced incarnation does not run, is paused or is cut off.
inline bool is_justified_fence(const fleet& f, const fact& fence)
{
    const auto subject = f.index_of.find(instance_id{fence.subject});
    return subject == f.index_of.end() || !is_connected(f, subject->second) ||
           f.simulation->node(subject->second).settings.self.number != fence.detail;
}

// Records the counters and events of one instance in the view.
inline void observe(fleet& f, membership& node)
{
    const member_record& self = node.settings.self;
    f.view.counters[{self.instance, self.process_nonce}] = node.counters;
    for (const membership_event& event : take_events(node)) {
        if (const auto* proof = std::get_if<proved_stopped>(&event)) {
            f.view.stopped.emplace(proof->instance, proof->number);
        }
        const auto* fact_event = std::get_if<fact_added>(&event);
        if (fact_event != nullptr && fact_event->added.kind == fact_kind::incarnation_fenced &&
            f.view.fences.insert(fact_event->added).second) {
            f.view.fenced_while_connected += is_justified_fence(f, fact_event->added) ? 0 : 1;
        }
    }
}

// Counts facts that are late, and removes those that all connected instances have.
inline void check_facts(fleet& f)
{
    for (auto it = f.view.spreading_facts.begin(); it != f.view.spreading_facts.end();) {
        bool is_held = false;
        bool is_missing = false;
        bool is_late = false;
        for (std::size_t i = 0; i < f.simulation->size(); ++i) {
            if (!is_connected(f, i)) {
                continue;
            }
            const bool is_present = has_fact(f.simulation->node(i), it->first);
            is_held = is_held || is_present;
            is_missing = is_missing || !is_present;
            const time_point since = std::max(it->second, f.view.connected_since[i]);
            is_late = is_late || (!is_present && f.simulation->now() - since > f.fact_bound);
        }
        if (!is_held) {
            it->second =
                f.simulation
                    ->now(); // No connected instance has it: its holders stopped or are paused or cut off.
        } else if (!is_missing) {
            f.view.spread_times.push_back(f.simulation->now() - it->second);
            it = f.view.spreading_facts.erase(it);
            continue;
        }
        f.view.late_facts += is_late ? 1 : 0;
        ++it;
    }
}

/// Checks the invariants; for use as the check of a run.
inline bool check_fleet(fleet& f)
{
    const duration term = membership_settings{}.authority_term;
    for (std::size_t i = 0; i < f.simulation->size(); ++i) {
        const region_id region = placement_of(f, i).region;
        if (!is_connected(f, i)) {
            f.view.connected_since[i] = f.simulation->now();
        }
        if (!f.simulation->is_cut(region)) {
            f.cut_since[region] = f.simulation->now();
        }
        if (!instance_has_authority(f, i)) {
            continue;
        }
        ++f.view.authority_checks;
        const member_record& self = f.simulation->node(i).settings.self;
        f.view.authority_after_proof += f.view.stopped.contains({self.instance, self.number}) ? 1 : 0;
        // On a slow clock the term lasts longer in real time, by at most the drift margin.
        const bool cut_beyond_term = f.simulation->now() - f.cut_since[region] > with_drift(term);
        f.view.authority_when_cut += cut_beyond_term ? 1 : 0;
    }
    check_facts(f);
    ++f.view.steps;
    return true;
}

inline void run_for(fleet& f, duration length)
{
    f.simulation->run_until(f.simulation->now() + length, [&f] { return check_fleet(f); });
}

/// Raises a fact at the instance and tracks its spread.
inline void raise(fleet& f, std::size_t i, const fact& value)
{
    if (f.simulation->runs(i) && raise_fact(f.simulation->node(i), value)) {
        f.view.spreading_facts.emplace(value, f.simulation->now());
    }
}

inline fact fence_of(const fleet& f, std::size_t i)
{
    const member_record& self = f.simulation->node(i).settings.self;
    return {fact_kind::incarnation_fenced, self.instance.value, self.number, {}};
}

/// Stops the instance gracefully; a new process starts after @p down.
inline void leave_and_restart(fleet& f, std::size_t i, duration down)
{
    outbox out;
    finish_leave(f.simulation->node(i), out);
    f.simulation->send(out);
    f.simulation->kill(i, down);
}

/// @return names of the mechanisms in use, for the count of faults by mechanism.
inline std::vector<std::string_view> active_mechanisms(const membership& node)
{
    std::vector<std::string_view> names{node.settled ? "settled" : "joining"};
    const std::pair<bool, std::string_view> conditions[] = {
        {!node.suspicions.empty(), "suspicion"},
        {!node.fence_collections.empty(), "fence_collection"},
        {!node.awaiting_stop_proof.empty(), "fenced_peer"},
        {!node.fact_rumors.empty(), "fact_spread"},
        {!node.record_rumors.empty(), "records"},
        {node.counters.renumbered > 0, "renumbered"}};
    for (const auto& [is_active, name] : conditions) {
        if (is_active) {
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
        auto members = make_membership(settings, now);
        members->switches = shape.switches;
        add_contacts(*members, contacts, now);
        return std::move(*members);
    };
    functions.tick = [this](membership& node, time_point now, outbox& out) {
        tick(node, now, out);
        observe(*this, node);
    };
    functions.on_message = [this](membership& node, const envelope& message, time_point now, outbox& out) {
        on_message(node, message, now, out);
        observe(*this, node);
    };
    functions.mechanisms = active_mechanisms;
    view.connected_since.resize(schedule.placements.size());
    simulation = std::make_unique<scheduler<membership>>(schedule, functions);
}

} // namespace camphorknot::test_support
