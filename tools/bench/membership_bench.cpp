/// @file
/// Measures the cost of membership per node. All nodes of the fleet run in this process, in simulated time:
///   membership_bench <nodes> <regions> [<seed> [<seconds of each measurement>]]
/// Prints a line of text and a line of JSON. CPU time includes that of the simulation itself.
#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>
#include <variant>
#include <vector>

#include "camphorknot/membership.hpp"

namespace {

using namespace camphorknot;
using namespace std::chrono_literals;

constexpr std::size_t tick_period_ms = 50;
constexpr std::size_t queue_ms =
    256; ///< Length of the ring of pending messages; longer than any message delay.
constexpr std::size_t max_nodes_per_domain = 40;

// Message sizes are computed from msgpack's: 9 bytes for a 64-bit number, 5 for a 32-bit one, 1 for a small
// one.
constexpr std::size_t number_bytes = 9;
constexpr std::size_t frame_bytes = 4 + 1 + 3 * number_bytes + 1 + 1;
constexpr std::size_t fact_bytes = 1 + 1 + 9 + 9 + 2 + 32;

std::size_t record_bytes(const member_record& record)
{
    return 1 + 5 * number_bytes + 1 + 2 + record.peer_address.size() + record.traffic_address.size() + 5 + 5 +
           1;
}

std::size_t message_bytes(const peer_message& body)
{
    if (const auto* update = std::get_if<gossip>(&body)) {
        std::size_t bytes = frame_bytes + 3 * number_bytes + 5 + 3 + 6 + update->facts.size() * fact_bytes;
        for (const member_record& record : update->records) {
            bytes += record_bytes(record);
        }
        return bytes;
    }
    const bool is_ack = std::holds_alternative<ping_ack>(body);
    const bool is_fence_ack = std::holds_alternative<fence_ack>(body);
    return frame_bytes + (is_ack ? 9 + 9 + 9 + 5 + 5 : is_fence_ack ? 4 * number_bytes : 2 * number_bytes);
}

struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::array<std::uint64_t, std::variant_size_v<peer_message>> bytes_by_message{};
};

struct node {
    std::unique_ptr<membership> state; ///< Null while the process is stopped.
    member_record self;
};

struct fleet {
    random_source random;
    std::vector<region_id> regions;
    std::vector<node> nodes;
    std::vector<std::pair<instance_id, std::size_t>>
        indices; ///< Index into nodes by instance; sorted by instance.
    std::array<std::vector<std::pair<std::size_t, envelope>>, queue_ms> queue;
    std::uint64_t now_ms = 1000;
    traffic sent;
};

time_point now_of(const fleet& sim)
{
    return time_point(std::chrono::milliseconds(sim.now_ms));
}

std::size_t index_of(const fleet& sim, instance_id instance)
{
    const auto match =
        std::lower_bound(sim.indices.begin(), sim.indices.end(), std::pair{instance, std::size_t{0}});
    return match->second;
}

void enqueue(fleet& sim, outbox& out)
{
    for (envelope& message : out) {
        const std::size_t bytes = message_bytes(message.body);
        ++sim.sent.messages;
        sim.sent.bytes += bytes;
        sim.sent.bytes_by_message[message.body.index()] += bytes;
        const std::size_t from = index_of(sim, message.from);
        const std::size_t to = index_of(sim, message.to);
        const bool is_same_region = sim.nodes[from].self.region == sim.nodes[to].self.region;
        const std::uint64_t delay = is_same_region ? 1 : 55 + uniform(sim.random, 6);
        sim.queue[(sim.now_ms + delay) % queue_ms].emplace_back(to, std::move(message));
    }
    out.clear();
}

void start(fleet& sim, std::size_t i)
{
    node& started = sim.nodes[i];
    ++started.self.number;
    started.self.process_nonce = sim.random();
    membership_settings settings;
    settings.self = started.self;
    settings.regions = sim.regions;
    settings.seed = sim.random();
    started.state = std::make_unique<membership>(std::move(*make_membership(settings, now_of(sim))));
    std::vector<instance_contact> contacts;
    for (int k = 0; k < 5; ++k) {
        const member_record& other = sim.nodes[uniform(sim.random, sim.nodes.size())].self;
        contacts.push_back({other.instance, other.region, other.failure_domain, other.peer_address});
    }
    add_contacts(*started.state, contacts, now_of(sim));
}

void step_one_ms(fleet& sim)
{
    ++sim.now_ms;
    outbox out;
    auto due = std::move(sim.queue[sim.now_ms % queue_ms]);
    sim.queue[sim.now_ms % queue_ms].clear();
    for (const auto& [to, message] : due) {
        if (sim.nodes[to].state) {
            on_message(*sim.nodes[to].state, message, now_of(sim), out);
            enqueue(sim, out);
        }
    }
    for (std::size_t i = sim.now_ms % tick_period_ms; i < sim.nodes.size(); i += tick_period_ms) {
        if (sim.nodes[i].state) {
            tick(*sim.nodes[i].state, now_of(sim), out);
            take_events(*sim.nodes[i].state);
            enqueue(sim, out);
        }
    }
}

void run(fleet& sim, duration length)
{
    for (std::int64_t ms = 0; ms < length / 1ms; ++ms) {
        step_one_ms(sim);
    }
}

// Runs until @p condition holds, which is checked every 20 ms of simulated time. @return the simulated
// seconds that passed, or -1 if it doesn't hold within @p limit.
template <typename Condition>
double measure_time_until_s(fleet& sim, duration limit, Condition condition)
{
    const std::uint64_t begin = sim.now_ms;
    while (sim.now_ms - begin < static_cast<std::uint64_t>(limit / 1ms)) {
        run(sim, 20ms);
        if (condition()) {
            return static_cast<double>(sim.now_ms - begin) / 1000;
        }
    }
    return -1;
}

fleet make_fleet(std::size_t count, std::size_t region_count, std::uint64_t seed)
{
    fleet sim{random_source{seed}, {}, {}, {}, {}, 1000, {}};
    const std::size_t nodes_per_domain =
        std::min(max_nodes_per_domain, std::max<std::size_t>(1, count / region_count / 2));
    for (std::size_t r = 0; r < region_count; ++r) {
        sim.regions.push_back(make_id<region_id>("region-" + std::to_string(r)));
    }
    sim.nodes.resize(count);
    gossip full_state;
    for (std::size_t i = 0; i < count; ++i) {
        member_record& self = sim.nodes[i].self;
        const std::size_t r = i % region_count;
        const std::string host = "10." + std::to_string(r) + "." + std::to_string(i / region_count);
        self.peer_address = host + ".1:7400";
        self.traffic_address = host + ".1:7401";
        self.instance = make_id<instance_id>(self.peer_address);
        self.region = sim.regions[r];
        self.failure_domain = failure_domain_id{r * 1000 + i / region_count / nodes_per_domain};
        sim.indices.emplace_back(self.instance, i);
    }
    std::sort(sim.indices.begin(), sim.indices.end());
    for (std::size_t i = 0; i < count; ++i) {
        start(sim, i);
        full_state.records.push_back(sim.nodes[i].self);
    }
    // All nodes start with the complete membership, so that the measurements don't include its discovery.
    full_state.is_reply = true;
    outbox out;
    for (std::size_t i = 0; i < count; ++i) {
        const node& peer = sim.nodes[(i + 1) % count];
        const envelope message{peer.self.instance, peer.self.number, sim.nodes[i].self.instance, full_state};
        on_message(*sim.nodes[i].state, message, now_of(sim), out);
        out.clear();
    }
    return sim;
}

double cpu_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

double resident_mb()
{
    std::ifstream statm("/proc/self/statm");
    double pages = 0;
    statm >> pages >> pages;
    return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20U);
}

struct cost {
    double messages = 0;             ///< Sent per node and second.
    double kilobytes_per_second = 0; ///< Sent per node and second.
    double cpu_percent = 0;          ///< Of one core, per node.
    traffic total;
};

template <typename EachSecond>
cost measure(fleet& sim, int seconds, EachSecond each_second)
{
    sim.sent = {};
    const double before = cpu_seconds();
    for (int second = 0; second < seconds; ++second) {
        each_second();
        run(sim, 1s);
    }
    const double node_seconds = static_cast<double>(sim.nodes.size()) * seconds;
    return {static_cast<double>(sim.sent.messages) / node_seconds,
            static_cast<double>(sim.sent.bytes) / node_seconds / 1000,
            100 * (cpu_seconds() - before) / node_seconds, sim.sent};
}

// Stops a random node gracefully and restarts the one that the previous call stopped.
void restart_one(fleet& sim, std::vector<std::size_t>& stopped)
{
    for (const std::size_t i : stopped) {
        start(sim, i);
    }
    const std::size_t i = uniform(sim.random, sim.nodes.size());
    outbox out;
    finish_leave(*sim.nodes[i].state, out);
    enqueue(sim, out);
    sim.nodes[i].state.reset();
    stopped = {i};
}

template <typename Condition>
bool all_live_nodes(const fleet& sim, Condition condition)
{
    return std::all_of(sim.nodes.begin(), sim.nodes.end(),
                       [&](const node& n) { return !n.state || condition(*n.state); });
}

double measure_fact_spread_s(fleet& sim)
{
    fact revocation{fact_kind::key_revoked, 0, 0, {}};
    revocation.key[0] = 1;
    raise_fact(*sim.nodes[0].state, revocation);
    return measure_time_until_s(sim, 60s, [&] {
        return all_live_nodes(sim, [&](const membership& m) { return has_fact(m, revocation); });
    });
}

struct recovery {
    std::size_t dead = 0;
    double fenced_after_s =
        0; ///< Seconds until the state of each dead node is at least fenced at all live nodes.
    double left_after_s =
        0; ///< Seconds until it is left, that is, proved to be stopped; -1 if that takes too long.
    cost during;
};

recovery measure_domain_failure(fleet& sim)
{
    recovery result;
    std::vector<instance_id> dead;
    const failure_domain_id domain = sim.nodes[1].self.failure_domain;
    for (node& n : sim.nodes) {
        if (n.self.failure_domain == domain) {
            n.state.reset();
            dead.push_back(n.self.instance);
        }
    }
    result.dead = dead.size();
    const auto all_have_reached = [&](member_state min_state) {
        return all_live_nodes(sim, [&](const membership& m) {
            return std::all_of(dead.begin(), dead.end(), [&](instance_id id) {
                const auto found = m.members.find(id);
                return found == m.members.end() || found->second.record.state >= min_state;
            });
        });
    };
    sim.sent = {};
    const std::uint64_t begin = sim.now_ms;
    result.fenced_after_s =
        measure_time_until_s(sim, 60s, [&] { return all_have_reached(member_state::fenced); });
    const double additional_s =
        measure_time_until_s(sim, 60s, [&] { return all_have_reached(member_state::left); });
    result.left_after_s = additional_s < 0 ? -1 : result.fenced_after_s + additional_s;
    const double node_seconds =
        static_cast<double>(sim.nodes.size()) * static_cast<double>(sim.now_ms - begin) / 1000;
    result.during.kilobytes_per_second = static_cast<double>(sim.sent.bytes) / node_seconds / 1000;
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3) {
        std::fprintf(stderr, "usage: membership_bench <nodes> <regions> [<seed> [<seconds>]]\n");
        return 2;
    }
    const std::size_t count = std::strtoul(argv[1], nullptr, 10);
    const std::size_t regions = std::strtoul(argv[2], nullptr, 10);
    const std::uint64_t seed = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : 1;
    const int seconds = argc > 4 ? static_cast<int>(std::strtol(argv[4], nullptr, 10)) : 20;
    const double memory_before = resident_mb();
    fleet sim = make_fleet(count, regions, seed);
    const cost cold = measure(sim, std::min(seconds, 15), [] {});
    // Discards the remaining rumors of the cold start, whose spread takes minutes in large fleets, to measure
    // the steady state.
    for (node& n : sim.nodes) {
        n.state->record_rumors.clear();
    }
    run(sim, 5s);
    const double memory = (resident_mb() - memory_before) / static_cast<double>(count);
    const bool authority =
        all_live_nodes(sim, [&](const membership& m) { return has_authority(m, now_of(sim)); });
    const cost idle = measure(sim, seconds, [] {});
    std::printf("idle: %.1f msg/s %.2f kB/s %.3f%% of a core per node\n", idle.messages,
                idle.kilobytes_per_second, idle.cpu_percent);
    std::fflush(stdout);
    std::vector<std::size_t> stopped;
    const cost restarts = measure(sim, seconds, [&] { restart_one(sim, stopped); });
    start(sim, stopped.front());
    run(sim, 10s);
    const double spread = measure_fact_spread_s(sim);
    const recovery after = measure_domain_failure(sim);
    const bool authority_after =
        all_live_nodes(sim, [&](const membership& m) { return has_authority(m, now_of(sim)); });
    const double node_kilo_seconds = 1000.0 * seconds * static_cast<double>(count);
    std::printf(
        "%5zu nodes %2zu regions seed %lu: cold start %.2f kB/s | idle %.1f msg/s %.2f kB/s %.3f%% cpu %.2f "
        "MB | 1 restart/s "
        "%.1f msg/s %.2f kB/s %.3f%% | fact %.2f s | domain of %zu: dropped %.1f s proved %.1f s %.2f "
        "kB/s | authority %d %d\n",
        count, regions, seed, cold.kilobytes_per_second, idle.messages, idle.kilobytes_per_second,
        idle.cpu_percent, memory, restarts.messages, restarts.kilobytes_per_second, restarts.cpu_percent,
        spread, after.dead, after.fenced_after_s, after.left_after_s, after.during.kilobytes_per_second,
        authority, authority_after);
    std::printf("{\"nodes\":%zu,\"regions\":%zu,\"seed\":%lu,\"cold_start_kb_per_s\":%.3f,\"idle\":{"
                "\"messages_per_s\":%.2f,\"kb_per_s\":%.3f,"
                "\"cpu_percent\":%.4f,\"ping_kb\":%.3f,\"gossip_kb\":%.3f},\"memory_mb\":%.3f,"
                "\"one_restart_per_s\":{\"messages_per_s\":%.2f,\"kb_per_s\":%.3f,\"cpu_percent\":%.4f,"
                "\"gossip_kb\":%.3f},\"fact_everywhere_s\":%.2f,\"domain_dead\":%zu,\"dropped_s\":%.2f,"
                "\"proved_s\":%.2f,\"recovery_kb_per_s\":%.3f,\"authority\":[%d,%d]}\n",
                count, regions, seed, cold.kilobytes_per_second, idle.messages, idle.kilobytes_per_second,
                idle.cpu_percent,
                static_cast<double>(idle.total.bytes_by_message[0] + idle.total.bytes_by_message[1]) /
                    node_kilo_seconds,
                static_cast<double>(idle.total.bytes_by_message[3]) / node_kilo_seconds, memory,
                restarts.messages, restarts.kilobytes_per_second, restarts.cpu_percent,
                static_cast<double>(restarts.total.bytes_by_message[3]) / node_kilo_seconds, spread,
                after.dead, after.fenced_after_s, after.left_after_s, after.during.kilobytes_per_second,
                authority, authority_after);
    return 0;
}
