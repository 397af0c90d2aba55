// Randomized soak: instances as separate processes under faults from outside, judged by what callers and
// servers see.
#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <gflags/gflags.h>
#include <set>
#include <unistd.h>

#include "callers.hpp"

DEFINE_string(program, "build/packages/daemon/camphorknotd", "The instances' program.");
DEFINE_string(directory, "/tmp/camphorknot-soak", "Settings and logs; kept for seeds that fail.");
DEFINE_uint64(first_seed, 1, "First seed.");
DEFINE_uint64(seeds, 1, "Number of seeds, one after another.");
DEFINE_uint64(instances, 6, "Instances of a run, 2 to 100.");
DEFINE_double(seconds, 14, "Length of the faults of a run.");
DEFINE_string(known_red, "", "A rule of KNOWN-RED.txt, whose breaks are printed and do not fail the run.");

namespace {

using namespace soak;
using namespace std::chrono_literals;
using standins::server_behavior;
using standins::store_fault;
using seconds = std::chrono::duration<double>;

// Time in which a change has to be in force at instances that reach the store, and which faults before it may
// add.
constexpr auto apply_bound = 3s;
constexpr auto contact_time = 4s;
constexpr auto recovery_time = 8s;
// Part of the requests that is served again after the last fault.
constexpr double least_recovered = 0.95;
constexpr std::size_t caller_count = 24;
constexpr std::size_t server_count = 6;

struct run_state {
    run_state(boost::asio::io_context& context, std::uint64_t number)
        : fleet{context, {}, {}, {}, {}, {}, {}}, random(number)
    {
    }
    deployment fleet;
    caller_log callers;
    std::mt19937_64 random;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> timers;
    std::vector<std::pair<clock::time_point, int>> revoked; ///< Key numbers and when they were withdrawn.
    std::vector<std::pair<clock::time_point, clock::time_point>>
        unstable; ///< Spans in which something was harmed.
    std::map<std::string, int> faults;
    std::set<pid_t> killed;
    std::vector<std::string> broken;
};

void after(run_state& run, seconds delay, std::function<void()> act)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(run.fleet.context);
    timer->expires_after(std::chrono::duration_cast<clock::duration>(delay));
    timer->async_wait([act = std::move(act), timer](boost::system::error_code cancelled) {
        if (!cancelled) {
            act();
        }
    });
    run.timers.push_back(std::move(timer));
}

double between(run_state& run, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(run.random);
}

instance_process& any_instance(run_state& run)
{
    return run.fleet.instances.at(run.random() % run.fleet.instances.size());
}

server_process& any_server(run_state& run)
{
    return run.fleet.servers.at(run.random() % run.fleet.servers.size());
}

void note_unstable(run_state& run, double length)
{
    const auto now = clock::now();
    run.unstable.emplace_back(now, now + std::chrono::duration_cast<clock::duration>(seconds(length)));
}

void restart_later(run_state& run, instance_process& instance, double delay)
{
    after(run, seconds(delay), [&run, &instance] {
        if (!is_running(instance)) {
            start_process(run.fleet, instance);
        } else {
            restart_later(run, instance, 0.2);
        }
    });
}

void harm_process(run_state& run)
{
    instance_process& instance = any_instance(run);
    const auto choice = run.random() % 3;
    const double length = between(run, 0.3, 3);
    if (!is_running(instance) || instance.suspended || instance.stop_sent != clock::time_point{}) {
        return;
    }
    note_unstable(run, length + 1);
    if (choice == 0) {
        ++run.faults["kill"];
        run.killed.insert(instance.pid);
        signal_process(instance, SIGKILL);
        restart_later(run, instance, length);
    } else if (choice == 1) {
        ++run.faults["suspend"];
        signal_process(instance, SIGSTOP);
        after(run, seconds(length), [&instance] { signal_process(instance, SIGCONT); });
    } else {
        ++run.faults["stop"];
        signal_process(instance, SIGTERM);
        restart_later(run, instance, 3);
    }
}

void harm_store(run_state& run)
{
    constexpr std::array faults = {store_fault::busy, store_fault::reset, store_fault::silent,
                                   store_fault::lost_answer};
    const double length = between(run, 0.5, 4);
    note_unstable(run, length);
    ++run.faults["store"];
    run.fleet.store->fault = faults.at(run.random() % faults.size());
    after(run, seconds(length), [&run] { run.fleet.store->fault = store_fault::none; });
}

void harm_link(run_state& run, proxy& link, const std::string& name)
{
    constexpr std::array faults = {link_fault::delayed, link_fault::reset, link_fault::one_way,
                                   link_fault::silent, link_fault::dark};
    const double length = between(run, 0.5, 4);
    note_unstable(run, length);
    ++run.faults[name];
    set_fault(link, faults.at(run.random() % faults.size()));
    after(run, seconds(length), [&link] { set_fault(link, link_fault::none); });
}

void harm_server(run_state& run)
{
    constexpr std::array acts = {server_behavior::shed,
                                 server_behavior::fail,
                                 server_behavior::refuse_unproved,
                                 server_behavior::reset_after_read,
                                 server_behavior::cut_short,
                                 server_behavior::extra_answer,
                                 server_behavior::silent};
    standins::server_standin& server = *any_server(run).server;
    ++run.faults["server"];
    const std::lock_guard lock(server.guard);
    server.default_behavior = acts.at(run.random() % acts.size());
    after(run, seconds(between(run, 0.3, 3)), [&server] {
        const std::lock_guard again(server.guard);
        server.default_behavior = server_behavior::serve;
    });
}

void change_something(run_state& run)
{
    switch (run.random() % 4) {
    case 0: {
        ++run.faults["key withdrawn"];
        run.revoked.emplace_back(clock::now(), run.fleet.key_number);
        ++run.fleet.key_number;
        run.fleet.configuration_version += 1 + static_cast<int>(run.random() % 3);
        write_configuration(run.fleet);
        break;
    }
    case 1: {
        server_process& server = any_server(run);
        if (server.leaving_since == clock::time_point{}) {
            ++run.faults["server drains"];
            server.leaving_since = clock::now();
            register_server(run.fleet, server, "draining");
            add_server(run.fleet);
        }
        break;
    }
    case 2:
        ++run.faults["history forgotten"];
        standins::forget_history(*run.fleet.store);
        break;
    default: {
        ++run.faults["malformed row"];
        standins::put_server(*run.fleet.store, "i-odd-" + std::to_string(run.random() % 5),
                             "{\"service\":7}");
        break;
    }
    }
}

// Faults come in series that overlap.
void plan_faults(run_state& run)
{
    const auto count = static_cast<int>(FLAGS_seconds * 1.5);
    for (int index = 0; index < count; ++index) {
        const auto kind = run.random() % 6;
        after(run, seconds(between(run, 3, FLAGS_seconds)), [&run, kind] {
            switch (kind) {
            case 0:
                harm_process(run);
                break;
            case 1:
                harm_store(run);
                break;
            case 2:
                harm_link(run, *any_instance(run).store_link, "store link");
                break;
            case 3:
                harm_link(run, *any_server(run).link, "server link");
                break;
            case 4:
                harm_server(run);
                break;
            default:
                change_something(run);
            }
        });
    }
}

void report(run_state& run, const std::string& rule, const std::string& detail)
{
    if (!FLAGS_known_red.empty() && rule == FLAGS_known_red) {
        std::printf("known red, passed over: %s: %s\n", rule.c_str(), detail.c_str());
        return;
    }
    run.broken.push_back(rule + ": " + detail);
}

// Whether nothing was harmed from `contact_time` before the moment to its end.
bool was_stable(const run_state& run, clock::time_point from, clock::time_point to)
{
    return std::ranges::none_of(
        run.unstable, [&](const auto& span) { return span.first < to && span.second + contact_time > from; });
}

void check_answers(run_state& run)
{
    std::map<std::string, std::size_t> runs;
    for (server_process& server : run.fleet.servers) {
        for (const standins::received_request& each : standins::received_requests(*server.server)) {
            runs[each.attempt] += each.ran ? 1 : 0;
            if (!each.authorization.empty()) {
                report(run, "key passed on", each.attempt);
            }
            if (each.expected != server.id) {
                report(run, "wrong server meant", each.attempt + " " + each.expected + " at " + server.id);
            }
        }
    }
    for (const told_answer& each : run.callers.answers) {
        const std::size_t count = runs[each.attempt];
        const bool promises =
            each.status == 503 || each.status == 429 || each.status == 408 || each.status == 421;
        if (each.unsafe && count > 1) {
            report(run, "at most once", each.attempt + " ran " + std::to_string(count) + " times");
        }
        if (promises && count > 0) {
            report(run, "true refusal", each.attempt + " has run, answered " + std::to_string(each.status));
        }
        if (each.status / 100 == 2 && !each.signed_rightly) {
            report(run, "whole answer", each.attempt + " from " + each.instance);
        }
        if (each.status == 404 || (each.status == 401 && each.key_number == 0)) {
            report(run, "denied", each.attempt + " " + std::to_string(each.status) + " at " + each.instance);
        }
    }
}

void check_revocations(run_state& run)
{
    for (const auto& [at, number] : run.revoked) {
        for (const told_answer& each : run.callers.answers) {
            const bool late = each.key_number == number && each.sent > at + apply_bound;
            if (late && each.status / 100 == 2 && was_stable(run, at, each.ended)) {
                report(run, "withdrawn key", each.attempt + " at " + each.instance);
            }
        }
    }
}

// In one process, a configuration that was seen in force stays so: a key that was refused is not served
// again.
void check_versions(run_state& run)
{
    std::map<std::pair<pid_t, int>, clock::time_point> refused;
    std::vector<told_answer> sorted = run.callers.answers;
    std::ranges::sort(sorted, [](const auto& a, const auto& b) { return a.ended < b.ended; });
    for (const told_answer& each : sorted) {
        if (each.key_number == 0) {
            continue;
        }
        const auto key = std::pair(each.pid, each.key_number);
        const bool withdrawn = std::ranges::any_of(run.revoked, [&](const auto& gone) {
            return gone.second == each.key_number && each.sent > gone.first;
        });
        if (each.status == 401 && withdrawn) {
            refused.try_emplace(key, each.ended);
        }
        if (each.status / 100 == 2 && refused.contains(key) && each.sent > refused[key]) {
            report(run, "configuration went back", each.attempt + " at " + each.instance);
        }
    }
}

void check_rate(run_state& run)
{
    constexpr double window_s = 5;
    std::vector<clock::time_point> ran;
    for (const told_answer& each : run.callers.answers) {
        if (each.key_number != 0 && each.status / 100 == 2) {
            ran.push_back(each.sent);
        }
    }
    std::ranges::sort(ran);
    const double allowed = (customer_rate * window_s + customer_burst) * 1.1 + 20;
    for (std::size_t first = 0, last = 0; last < ran.size(); ++last) {
        while (ran.at(last) - ran.at(first) > seconds(window_s)) {
            ++first;
        }
        if (static_cast<double>(last - first + 1) > allowed) {
            report(run, "rate", std::to_string(last - first + 1) + " in 5 s");
            return;
        }
    }
}

// A process that was asked to stop answers what it has read; only a kill or a suspension may cut a request.
void check_graceful_stops(run_state& run)
{
    for (const told_answer& each : run.callers.answers) {
        const bool cut = each.connected && each.status == 0 && each.ended - each.sent < 2900ms;
        if (!cut || run.killed.contains(each.pid) || !was_stable(run, each.sent - 1s, each.ended)) {
            continue;
        }
        report(run, "cut request", each.attempt + " at " + each.instance);
    }
}

// After the last fault, both customers are served again: the limited one up to its rate, beyond which only a
// refusal for the rate is allowed.
void check_recovery(run_state& run, clock::time_point quiet_since)
{
    struct tally {
        std::size_t asked = 0;
        std::size_t served = 0;
        std::size_t over_rate = 0;
    };
    std::array<tally, 2> counted;
    const auto from = quiet_since + recovery_time;
    auto to = from;
    for (const told_answer& each : run.callers.answers) {
        if (each.sent > from) {
            tally& customer = counted.at(each.key_number == 0 ? 0 : 1);
            ++customer.asked;
            customer.served += each.status / 100 == 2 ? 1 : 0;
            customer.over_rate += each.status == 429 ? 1 : 0;
            to = std::max(to, each.sent);
        }
    }
    const double owed_to_limited = customer_rate * seconds(to - from).count();
    for (const tally& each : counted) {
        const bool limited = &each == &counted.back();
        const auto asked = static_cast<double>(each.asked);
        const double owed = limited ? std::min(asked, owed_to_limited) : asked;
        const std::size_t lost = each.asked - each.served - (limited ? each.over_rate : 0);
        if (each.asked < 20 || static_cast<double>(each.served) < owed * least_recovered ||
            static_cast<double>(lost) > asked * (1 - least_recovered)) {
            report(run, limited ? "recovery, limited customer" : "recovery",
                   std::to_string(each.served) + " of " + std::to_string(each.asked) + " served, " +
                       std::to_string(each.over_rate) + " over the rate");
        }
    }
}

bool play(std::uint64_t seed)
{
    boost::asio::io_context context;
    run_state run(context, seed);
    // Addresses of this process's own, so that runs of one seed can be played side by side.
    const auto process = static_cast<std::uint64_t>(getpid());
    run.fleet.network =
        "127." + std::to_string(10 + process % 200) + "." + std::to_string(process / 200 % 250);
    run.fleet.directory = FLAGS_directory + "/" + std::to_string(seed) + "-" + std::to_string(process);
    run.fleet.program = FLAGS_program;
    std::filesystem::remove_all(run.fleet.directory);
    std::filesystem::create_directories(run.fleet.directory);
    run.fleet.store = standins::start_store(run.fleet.network + ".1", 0);
    run.fleet.servers.reserve(200); // Faults hold references to servers.
    write_configuration(run.fleet);
    for (std::size_t index = 0; index < server_count; ++index) {
        add_server(run.fleet);
    }
    make_instances(run.fleet, FLAGS_instances);
    for (instance_process& each : run.fleet.instances) {
        start_process(run.fleet, each);
    }
    const auto began = clock::now();
    plan_faults(run);
    after(run, 1.5s, [&run] { start_callers(run.fleet, run.callers, caller_count, run.random); });
    const seconds whole = seconds(FLAGS_seconds) + 5s + recovery_time + 3s;
    after(run, whole, [&run] { run.callers.running = false; });
    after(run, whole + 4s, [&context] { context.stop(); });
    context.run();
    end_processes(run.fleet);
    check_answers(run);
    check_revocations(run);
    check_versions(run);
    check_rate(run);
    check_graceful_stops(run);
    check_recovery(run, began + std::chrono::duration_cast<clock::duration>(seconds(FLAGS_seconds) + 5s));
    std::printf("seed %llu: %zu requests, %zu broken; faults:", static_cast<unsigned long long>(seed),
                run.callers.answers.size(), run.broken.size());
    for (const auto& [name, count] : run.faults) {
        std::printf(" %s %d,", name.c_str(), count);
    }
    std::printf("\n");
    for (std::size_t index = 0; index < std::min<std::size_t>(run.broken.size(), 10); ++index) {
        std::printf("  %s\n", run.broken.at(index).c_str());
    }
    std::fflush(stdout);
    if (run.broken.empty()) {
        std::filesystem::remove_all(run.fleet.directory);
    }
    return run.broken.empty();
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage("soak --first_seed=1 --seeds=50");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_instances < 2 || FLAGS_instances > 100 || FLAGS_seconds < 4) {
        std::fprintf(stderr, "instances must be 2 to 100, seconds at least 4\n");
        return 2;
    }
    std::uint64_t failed = 0;
    for (std::uint64_t index = 0; index < FLAGS_seeds; ++index) {
        failed += play(FLAGS_first_seed + index) ? 0 : 1;
    }
    std::printf("%llu seeds, %llu failed\n", static_cast<unsigned long long>(FLAGS_seeds),
                static_cast<unsigned long long>(failed));
    return failed == 0 ? 0 : 1;
}
