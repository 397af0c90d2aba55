/// @file
/// Cost of membership per node for fleets of several sizes, all instances in this process:
///   membership_bench <nodes> <regions> [<seed> [<seconds of each measurement>]]
/// Prints one line of a table and one line of JSON. CPU time includes the runner's own.
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
constexpr std::size_t queue_ms = 256; ///< Longer than any delay.
constexpr std::size_t domain_nodes = 40;

// Sizes in msgpack: 9 bytes for a 64-bit number, 5 for a 32-bit one, 1 for a small one.
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
    if (const auto* news = std::get_if<gossip>(&body)) {
        std::size_t bytes = frame_bytes + 3 * number_bytes + 5 + 3 + 6 + news->facts.size() * fact_bytes;
        for (const member_record& record : news->records) {
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
    std::array<std::uint64_t, std::variant_size_v<peer_message>> bytes_of{};
};

struct node {
    std::unique_ptr<membership> state; ///< Empty while the process is dead.
    member_record self;
};

struct fleet {
    random_source random;
    std::vector<region_id> regions;
    std::vector<node> nodes;
    std::vector<std::pair<instance_id, std::size_t>> places; ///< Ordered by instance.
    std::array<std::vector<std::pair<std::size_t, envelope>>, queue_ms> queue;
    std::uint64_t now_ms = 1000;
    traffic sent;
};

time_point now_of(const fleet& f)
{
    return time_point(std::chrono::milliseconds(f.now_ms));
}

std::size_t place_of(const fleet& f, instance_id instance)
{
    const auto found =
        std::lower_bound(f.places.begin(), f.places.end(), std::pair{instance, std::size_t{0}});
    return found->second;
}

void post(fleet& f, outbox& out)
{
    for (envelope& message : out) {
        const std::size_t bytes = message_bytes(message.body);
        ++f.sent.messages;
        f.sent.bytes += bytes;
        f.sent.bytes_of[message.body.index()] += bytes;
        const std::size_t from = place_of(f, message.from);
        const std::size_t to = place_of(f, message.to);
        const bool near = f.nodes[from].self.region == f.nodes[to].self.region;
        const std::uint64_t delay = near ? 1 : 55 + uniform(f.random, 6);
        f.queue[(f.now_ms + delay) % queue_ms].emplace_back(to, std::move(message));
    }
    out.clear();
}

void start(fleet& f, std::size_t i)
{
    node& started = f.nodes[i];
    ++started.self.number;
    started.self.process_nonce = f.random();
    membership_settings settings;
    settings.self = started.self;
    settings.regions = f.regions;
    settings.seed = f.random();
    started.state = std::make_unique<membership>(std::move(*make_membership(settings, now_of(f))));
    std::vector<instance_contact> contacts;
    for (int k = 0; k < 5; ++k) {
        const member_record& other = f.nodes[uniform(f.random, f.nodes.size())].self;
        contacts.push_back({other.instance, other.region, other.failure_domain, other.peer_address});
    }
    add_contacts(*started.state, contacts, now_of(f));
}

void step_ms(fleet& f)
{
    ++f.now_ms;
    outbox out;
    auto due = std::move(f.queue[f.now_ms % queue_ms]);
    f.queue[f.now_ms % queue_ms].clear();
    for (const auto& [to, message] : due) {
        if (f.nodes[to].state) {
            on_message(*f.nodes[to].state, message, now_of(f), out);
            post(f, out);
        }
    }
    for (std::size_t i = f.now_ms % tick_period_ms; i < f.nodes.size(); i += tick_period_ms) {
        if (f.nodes[i].state) {
            tick(*f.nodes[i].state, now_of(f), out);
            take_events(*f.nodes[i].state);
            post(f, out);
        }
    }
}

void run(fleet& f, duration length)
{
    for (std::int64_t ms = 0; ms < length / 1ms; ++ms) {
        step_ms(f);
    }
}

// Runs until the condition holds; looks every 20 ms. @return the time taken, or a negative one after @p
// limit.
template <typename Condition>
double time_until(fleet& f, duration limit, Condition holds)
{
    const std::uint64_t begin = f.now_ms;
    while (f.now_ms - begin < static_cast<std::uint64_t>(limit / 1ms)) {
        run(f, 20ms);
        if (holds()) {
            return static_cast<double>(f.now_ms - begin) / 1000;
        }
    }
    return -1;
}

fleet make_fleet(std::size_t count, std::size_t region_count, std::uint64_t seed)
{
    fleet f{random_source{seed}, {}, {}, {}, {}, 1000, {}};
    const std::size_t in_domain = std::min(domain_nodes, std::max<std::size_t>(1, count / region_count / 2));
    for (std::size_t r = 0; r < region_count; ++r) {
        f.regions.push_back(make_id<region_id>("region-" + std::to_string(r)));
    }
    f.nodes.resize(count);
    gossip everyone;
    for (std::size_t i = 0; i < count; ++i) {
        member_record& self = f.nodes[i].self;
        const std::size_t r = i % region_count;
        const std::string host = "10." + std::to_string(r) + "." + std::to_string(i / region_count);
        self.peer_address = host + ".1:7400";
        self.traffic_address = host + ".1:7401";
        self.instance = make_id<instance_id>(self.peer_address);
        self.region = f.regions[r];
        self.failure_domain = failure_domain_id{r * 1000 + i / region_count / in_domain};
        f.places.emplace_back(self.instance, i);
    }
    std::sort(f.places.begin(), f.places.end());
    for (std::size_t i = 0; i < count; ++i) {
        start(f, i);
        everyone.records.push_back(f.nodes[i].self);
    }
    // The fleet starts knowing its members; only then the steady state is measured.
    everyone.is_reply = true;
    outbox out;
    for (std::size_t i = 0; i < count; ++i) {
        const node& peer = f.nodes[(i + 1) % count];
        const envelope message{peer.self.instance, peer.self.number, f.nodes[i].self.instance, everyone};
        on_message(*f.nodes[i].state, message, now_of(f), out);
        out.clear();
    }
    return f;
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
    double messages = 0;    ///< Sent per node and second.
    double kilobytes = 0;   ///< Sent per node and second.
    double cpu_percent = 0; ///< Of a core per node.
    traffic all;
};

template <typename EachSecond>
cost measure(fleet& f, int seconds, EachSecond each_second)
{
    f.sent = {};
    const double before = cpu_seconds();
    for (int second = 0; second < seconds; ++second) {
        each_second();
        run(f, 1s);
    }
    const double node_seconds = static_cast<double>(f.nodes.size()) * seconds;
    return {static_cast<double>(f.sent.messages) / node_seconds,
            static_cast<double>(f.sent.bytes) / node_seconds / 1000,
            100 * (cpu_seconds() - before) / node_seconds, f.sent};
}

// Stops one instance gracefully and starts the one stopped the second before.
void restart_one(fleet& f, std::vector<std::size_t>& down)
{
    for (const std::size_t i : down) {
        start(f, i);
    }
    const std::size_t i = uniform(f.random, f.nodes.size());
    outbox out;
    finish_leave(*f.nodes[i].state, out);
    post(f, out);
    f.nodes[i].state.reset();
    down = {i};
}

template <typename Condition>
bool on_all(const fleet& f, Condition holds)
{
    return std::all_of(f.nodes.begin(), f.nodes.end(),
                       [&](const node& n) { return !n.state || holds(*n.state); });
}

double spread_time(fleet& f)
{
    fact news{fact_kind::key_revoked, 0, 0, {}};
    news.key[0] = 1;
    raise_fact(*f.nodes[0].state, news);
    return time_until(f, 60s,
                      [&] { return on_all(f, [&](const membership& m) { return knows_fact(m, news); }); });
}

struct recovery {
    std::size_t dead = 0;
    double dropped = 0; ///< Seconds until no live instance counts a dead one as live.
    double proved = 0;  ///< Seconds until all live instances know all of them as proved stopped.
    cost during;
};

recovery kill_domain(fleet& f)
{
    recovery result;
    std::vector<instance_id> dead;
    const failure_domain_id domain = f.nodes[1].self.failure_domain;
    for (node& n : f.nodes) {
        if (n.self.failure_domain == domain) {
            n.state.reset();
            dead.push_back(n.self.instance);
        }
    }
    result.dead = dead.size();
    const auto all_at = [&](member_state least) {
        return on_all(f, [&](const membership& m) {
            return std::all_of(dead.begin(), dead.end(), [&](instance_id id) {
                const auto found = m.members.find(id);
                return found == m.members.end() || found->second.record.state >= least;
            });
        });
    };
    f.sent = {};
    const std::uint64_t begin = f.now_ms;
    result.dropped = time_until(f, 60s, [&] { return all_at(member_state::fenced); });
    const double rest = time_until(f, 60s, [&] { return all_at(member_state::left); });
    result.proved = rest < 0 ? -1 : result.dropped + rest;
    const double node_seconds =
        static_cast<double>(f.nodes.size()) * static_cast<double>(f.now_ms - begin) / 1000;
    result.during.kilobytes = static_cast<double>(f.sent.bytes) / node_seconds / 1000;
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
    fleet f = make_fleet(count, regions, seed);
    const cost cold = measure(f, std::min(seconds, 15), [] {});
    // Drops what is left of the cold start, which drains for minutes in large fleets, to see the steady
    // state.
    for (node& n : f.nodes) {
        n.state->record_rumors.clear();
    }
    run(f, 5s);
    const double memory = (resident_mb() - memory_before) / static_cast<double>(count);
    const bool authority = on_all(f, [&](const membership& m) { return has_authority(m, now_of(f)); });
    const cost idle = measure(f, seconds, [] {});
    std::printf("idle: %.1f msg/s %.2f kB/s %.3f%% of a core per node\n", idle.messages, idle.kilobytes,
                idle.cpu_percent);
    std::fflush(stdout);
    std::vector<std::size_t> down;
    const cost restarts = measure(f, seconds, [&] { restart_one(f, down); });
    start(f, down.front());
    run(f, 10s);
    const double spread = spread_time(f);
    const recovery after = kill_domain(f);
    const bool authority_after = on_all(f, [&](const membership& m) { return has_authority(m, now_of(f)); });
    const double node_kilo_seconds = 1000.0 * seconds * static_cast<double>(count);
    std::printf(
        "%5zu nodes %2zu regions seed %lu: cold start %.2f kB/s | idle %.1f msg/s %.2f kB/s %.3f%% cpu %.2f "
        "MB | 1 restart/s "
        "%.1f msg/s %.2f kB/s %.3f%% | fact %.2f s | domain of %zu: dropped %.1f s proved %.1f s %.2f "
        "kB/s | authority %d %d\n",
        count, regions, seed, cold.kilobytes, idle.messages, idle.kilobytes, idle.cpu_percent, memory,
        restarts.messages, restarts.kilobytes, restarts.cpu_percent, spread, after.dead, after.dropped,
        after.proved, after.during.kilobytes, authority, authority_after);
    std::printf("{\"nodes\":%zu,\"regions\":%zu,\"seed\":%lu,\"cold_start_kb_per_s\":%.3f,\"idle\":{"
                "\"messages_per_s\":%.2f,\"kb_per_s\":%.3f,"
                "\"cpu_percent\":%.4f,\"ping_kb\":%.3f,\"gossip_kb\":%.3f},\"memory_mb\":%.3f,"
                "\"one_restart_per_s\":{\"messages_per_s\":%.2f,\"kb_per_s\":%.3f,\"cpu_percent\":%.4f,"
                "\"gossip_kb\":%.3f},\"fact_everywhere_s\":%.2f,\"domain_dead\":%zu,\"dropped_s\":%.2f,"
                "\"proved_s\":%.2f,\"recovery_kb_per_s\":%.3f,\"authority\":[%d,%d]}\n",
                count, regions, seed, cold.kilobytes, idle.messages, idle.kilobytes, idle.cpu_percent,
                static_cast<double>(idle.all.bytes_of[0] + idle.all.bytes_of[1]) / node_kilo_seconds,
                static_cast<double>(idle.all.bytes_of[3]) / node_kilo_seconds, memory, restarts.messages,
                restarts.kilobytes, restarts.cpu_percent,
                static_cast<double>(restarts.all.bytes_of[3]) / node_kilo_seconds, spread, after.dead,
                after.dropped, after.proved, after.during.kilobytes, authority, authority_after);
    return 0;
}
