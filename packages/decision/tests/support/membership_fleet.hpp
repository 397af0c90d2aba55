/// @file
/// Memberships of a small fleet on a seeded network with faults; one seed replays one run.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "camphorknot/membership.hpp"

namespace camphorknot::test {

struct fleet_shape {
    std::size_t regions = 3;
    std::size_t domains = 2; ///< Failure domains of each region.
    std::size_t instances = 3;
    std::uint64_t seed = 1;
    internal::mechanism_switches switches{};
};

struct fleet_node {
    member_record self; ///< As it was started; renumbering changes only the state's copy.
    std::size_t region = 0;
    bool running = false;
    bool paused = false;
    bool cut = false;        ///< Reaches only the instances that are cut too and in the same region.
    double clock_rate = 1.0; ///< Speed of the local clock.
    duration clock_start{};
    std::vector<envelope> waiting; ///< Arrived during a pause.
    std::optional<membership> state;
};

struct network_faults {
    double loss = 0;
    double duplication = 0;
    duration latency = std::chrono::milliseconds(20);
    duration jitter = std::chrono::milliseconds(2); ///< Above the sending period it reorders messages.
};

struct fleet {
    explicit fleet(const fleet_shape& wanted);
    fleet_shape shape;
    random_source random;
    time_point now{};
    std::vector<region_id> regions;
    std::vector<fleet_node> nodes;
    std::map<instance_id, std::size_t> places;
    network_faults network;
    std::multimap<time_point, envelope> in_flight;
    std::multimap<time_point, std::size_t> ticks;
    std::set<std::pair<instance_id, incarnation>> stopped; ///< Every proof that any instance raised.
    std::map<fact, time_point> first_known;
    std::uint64_t steps = 0;
    std::uint64_t lost = 0;
    std::uint64_t authority_after_proof = 0;  ///< Steps at which a stopped incarnation had authority.
    std::uint64_t fenced_running = 0;         ///< Fences of incarnations that ran and were not paused.
    internal::mechanism_counters ended;       ///< Counters of processes that ended.
    std::function<void(fleet&)> at_each_step; ///< Further checks.
};

inline time_point local_now(const fleet& f, std::size_t i)
{
    const fleet_node& node = f.nodes[i];
    const double scaled = node.clock_rate * static_cast<double>(f.now.time_since_epoch().count());
    return time_point(node.clock_start + duration(static_cast<std::int64_t>(scaled)));
}

inline bool runs(const fleet& f, std::size_t i)
{
    return f.nodes[i].running && !f.nodes[i].paused;
}

inline bool has_authority(const fleet& f, std::size_t i)
{
    return runs(f, i) && has_authority(*f.nodes[i].state, local_now(f, i));
}

inline bool connected(const fleet& f, std::size_t a, std::size_t b)
{
    const fleet_node& x = f.nodes[a];
    const fleet_node& y = f.nodes[b];
    return x.cut == y.cut && (!x.cut || x.region == y.region);
}

inline void deliver(fleet& f, outbox& out)
{
    for (envelope& message : out) {
        if (uniform_real(f.random) < f.network.loss) {
            ++f.lost;
            continue;
        }
        const int copies = uniform_real(f.random) < f.network.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const duration jitter(uniform(f.random, f.network.jitter.count()));
            f.in_flight.emplace(f.now + f.network.latency + jitter, message);
        }
    }
    out.clear();
}

// Takes the events of one instance into the view of the whole fleet.
inline void observe(fleet& f, std::size_t i)
{
    for (const membership_event& event : take_events(*f.nodes[i].state)) {
        if (const auto* proof = std::get_if<proved_stopped>(&event)) {
            f.stopped.emplace(proof->instance, proof->number);
        } else if (const auto* news = std::get_if<fact_learned>(&event)) {
            const bool first = f.first_known.emplace(news->learned, f.now).second;
            const auto place = f.places.find(instance_id{news->learned.subject});
            if (first && news->learned.kind == fact_kind::incarnation_fenced && place != f.places.end()) {
                const fleet_node& subject = f.nodes[place->second];
                const bool same =
                    subject.running && subject.state->settings.self.number == news->learned.detail;
                f.fenced_running += same && !subject.paused ? 1 : 0;
            }
        }
    }
    for (std::size_t k = 0; k < f.nodes.size(); ++k) {
        if (has_authority(f, k)) {
            const member_record& self = f.nodes[k].state->settings.self;
            f.authority_after_proof += f.stopped.contains({self.instance, self.number}) ? 1 : 0;
        }
    }
    ++f.steps;
    if (f.at_each_step) {
        f.at_each_step(f);
    }
}

inline void start(fleet& f, std::size_t i, incarnation number)
{
    fleet_node& node = f.nodes[i];
    node.self.number = number;
    node.self.process_nonce = f.random();
    membership_settings settings;
    settings.self = node.self;
    settings.regions = f.regions;
    settings.seed = f.random();
    node.state = *make_membership(settings, local_now(f, i));
    node.state->switches = f.shape.switches;
    std::vector<instance_contact> contacts;
    for (const fleet_node& other : f.nodes) {
        contacts.push_back({other.self.instance, other.self.region, other.self.failure_domain, ""});
    }
    note_contacts(*node.state, contacts, local_now(f, i));
    node.running = true;
    node.paused = false;
    node.waiting.clear();
}

inline void add_counters(internal::mechanism_counters& sum, const internal::mechanism_counters& one)
{
    for (const auto& counter : internal::mechanism_counter_names) {
        sum.*counter.first += one.*counter.first;
    }
}

inline void kill(fleet& f, std::size_t i)
{
    add_counters(f.ended, f.nodes[i].state->counters);
    f.nodes[i].running = false;
}

inline void leave_fleet(fleet& f, std::size_t i)
{
    outbox out;
    finish_leave(*f.nodes[i].state, out);
    deliver(f, out);
    kill(f, i);
}

inline void receive(fleet& f, std::size_t i, const envelope& message)
{
    outbox out;
    on_message(*f.nodes[i].state, message, local_now(f, i), out);
    deliver(f, out);
    observe(f, i);
}

inline void resume(fleet& f, std::size_t i)
{
    f.nodes[i].paused = false;
    for (const envelope& message : std::exchange(f.nodes[i].waiting, {})) {
        receive(f, i, message);
    }
}

// Runs the next tick or message up to @p end; @return false if there is none.
inline bool step(fleet& f, time_point end)
{
    constexpr duration tick_period = std::chrono::milliseconds(50);
    const auto next_tick = f.ticks.begin();
    const auto next_message = f.in_flight.begin();
    if (next_message != f.in_flight.end() && next_message->first <= std::min(end, next_tick->first)) {
        f.now = next_message->first;
        const envelope message = next_message->second;
        f.in_flight.erase(next_message);
        const std::size_t to = f.places.at(message.to);
        if (!f.nodes[to].running || !connected(f, f.places.at(message.from), to)) {
            return true;
        }
        if (f.nodes[to].paused) {
            f.nodes[to].waiting.push_back(message);
        } else {
            receive(f, to, message);
        }
        return true;
    }
    if (next_tick->first > end) {
        return false;
    }
    f.now = next_tick->first;
    const std::size_t i = next_tick->second;
    f.ticks.erase(next_tick);
    f.ticks.emplace(f.now + tick_period, i);
    if (runs(f, i)) {
        outbox out;
        tick(*f.nodes[i].state, local_now(f, i), out);
        deliver(f, out);
        observe(f, i);
    }
    return true;
}

inline void run(fleet& f, duration length)
{
    const time_point end = f.now + length;
    while (step(f, end)) {
    }
    f.now = end;
}

inline fleet::fleet(const fleet_shape& wanted) : shape(wanted), random{wanted.seed}
{
    for (std::size_t r = 0; r < shape.regions; ++r) {
        regions.push_back(make_id<region_id>("region-" + std::to_string(r)));
        for (std::size_t k = 0; k < shape.instances; ++k) {
            fleet_node node;
            const std::string domain = std::to_string(r) + "-" + std::to_string(k % shape.domains);
            node.self.peer_address = "10.0." + std::to_string(r) + "." + std::to_string(k) + ":7400";
            node.self.instance = make_id<instance_id>(node.self.peer_address);
            node.self.region = regions.back();
            node.self.failure_domain = make_id<failure_domain_id>(domain);
            node.region = r;
            node.clock_start = duration(uniform(random, 1'000'000'000'000));
            nodes.push_back(node);
        }
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        places[nodes[i].self.instance] = i;
        ticks.emplace(now + std::chrono::milliseconds(1 + uniform(random, 50)), i);
        start(*this, i, 1000 + i);
    }
}

} // namespace camphorknot::test
