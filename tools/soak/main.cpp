// Randomized soak test: runs instances as separate processes under injected faults and checks the results
// that callers and servers recorded.
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
DEFINE_string(directory, "/tmp/camphorknot-soak",
              "Directory for settings and logs; kept for seeds that fail.");
DEFINE_uint64(first_seed, 1, "First seed.");
DEFINE_uint64(seeds, 1, "Number of seeds, one after another.");
DEFINE_uint64(instances, 6, "Instances of a run, 2 to 100.");
DEFINE_double(seconds, 14, "Time during which faults are injected in a run.");
DEFINE_string(known_red, "", "A rule of KNOWN-RED.txt; its violations are printed and don't fail the run.");

namespace {

using namespace soak;
using namespace std::chrono_literals;
using standins::server_behavior;
using standins::store_fault;
using seconds = std::chrono::duration<double>;

// Maximum time until a change is in force on all instances that can reach the store.
constexpr auto max_apply_time = 3s;
// Time after the end of a fault during which it may still delay a change.
constexpr auto stabilization_time = 4s;
constexpr auto recovery_time = 8s;
// Minimum fraction of requests that must be served once the recovery time after the last fault is over.
constexpr double min_recovered_fraction = 0.95;
// Time after which all instances know of a request that ends its servers, and sends of it after that.
constexpr auto spread_time = 3s;
constexpr std::ptrdiff_t max_later_fatal_sends = 3;
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
    std::vector<std::pair<clock::time_point, int>> revoked; ///< Time of withdrawal and key number.
    std::vector<std::pair<clock::time_point, clock::time_point>>
        unstable; ///< Intervals in which a fault was active.
    struct instance_interval {
        std::string instance;
        clock::time_point from;
        clock::time_point to;
    };
    std::vector<instance_interval> cuts;          ///< From all servers.
    std::vector<instance_interval> disturbed;     ///< Killed, suspended or stopped, and the time after that.
    std::vector<instance_interval> without_store; ///< Faults of the store or the instance's link to it.
    std::map<std::string, int> faults;
    std::set<pid_t> killed;
    std::vector<std::string> violations;
};

void schedule_after(run_state& run, seconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(run.fleet.context);
    timer->expires_after(std::chrono::duration_cast<clock::duration>(delay));
    timer->async_wait([action = std::move(action), timer](boost::system::error_code cancelled) {
        if (!cancelled) {
            action();
        }
    });
    run.timers.push_back(std::move(timer));
}

double uniform_between(run_state& run, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(run.random);
}

instance_process& random_instance(run_state& run)
{
    return run.fleet.instances.at(run.random() % run.fleet.instances.size());
}

server_process& random_server(run_state& run)
{
    return run.fleet.servers.at(run.random() % run.fleet.servers.size());
}

void mark_unstable(run_state& run, double length)
{
    const auto now = clock::now();
    run.unstable.emplace_back(now, now + std::chrono::duration_cast<clock::duration>(seconds(length)));
}

void schedule_restart(run_state& run, instance_process& instance, double delay)
{
    schedule_after(run, seconds(delay), [&run, &instance] {
        if (!is_running(instance)) {
            start_process(run.fleet, instance);
        } else {
            schedule_restart(run, instance, 0.2);
        }
    });
}

void inject_process_fault(run_state& run)
{
    instance_process& instance = random_instance(run);
    const auto choice = run.random() % 3;
    const double length = uniform_between(run, 0.3, 3);
    if (!is_running(instance) || instance.suspended || instance.stop_sent != clock::time_point{}) {
        return;
    }
    mark_unstable(run, length + 1);
    const auto now = clock::now();
    constexpr double max_stop_s = 9; // A stop, the pause until the start, and the start.
    run.disturbed.push_back(
        {instance.name, now,
         now + std::chrono::duration_cast<clock::duration>(seconds(max_stop_s)) + stabilization_time});
    if (choice == 0) {
        ++run.faults["kill"];
        run.killed.insert(instance.pid);
        signal_process(instance, SIGKILL);
        schedule_restart(run, instance, length);
    } else if (choice == 1) {
        ++run.faults["suspend"];
        signal_process(instance, SIGSTOP);
        schedule_after(run, seconds(length), [&instance] { signal_process(instance, SIGCONT); });
    } else {
        ++run.faults["stop"];
        signal_process(instance, SIGTERM);
        schedule_restart(run, instance, 3);
    }
}

void mark_without_store(run_state& run, const instance_process& instance, double length)
{
    const auto now = clock::now();
    run.without_store.push_back(
        {instance.name, now,
         now + std::chrono::duration_cast<clock::duration>(seconds(length)) + stabilization_time});
}

void inject_store_fault(run_state& run)
{
    constexpr std::array faults = {store_fault::busy, store_fault::reset, store_fault::silent,
                                   store_fault::lost_answer};
    const double length = uniform_between(run, 0.5, 4);
    mark_unstable(run, length);
    ++run.faults["store"];
    for (const instance_process& instance : run.fleet.instances) {
        mark_without_store(run, instance, length);
    }
    run.fleet.store->fault = faults.at(run.random() % faults.size());
    schedule_after(run, seconds(length), [&run] { run.fleet.store->fault = store_fault::none; });
}

void inject_link_fault(run_state& run, proxy& link, const std::string& name)
{
    constexpr std::array faults = {link_fault::delayed, link_fault::reset, link_fault::one_way,
                                   link_fault::silent, link_fault::blackhole};
    const double length = uniform_between(run, 0.5, 4);
    mark_unstable(run, length);
    ++run.faults[name];
    set_fault(link, faults.at(run.random() % faults.size()));
    schedule_after(run, seconds(length), [&link] { set_fault(link, link_fault::none); });
}

void inject_store_link_fault(run_state& run)
{
    constexpr double max_length = 4; // As in inject_link_fault.
    instance_process& instance = random_instance(run);
    mark_without_store(run, instance, max_length);
    inject_link_fault(run, *instance.store_link, "store link");
}

// Cuts the links of an instance to all servers. The store, the other instances and the callers reach it.
void inject_cut(run_state& run)
{
    constexpr std::array cuts = {link_fault::hang, link_fault::down, link_fault::closed};
    instance_process& instance = random_instance(run);
    if (instance.cut != link_fault::none || instance.egress_ip.empty()) {
        return;
    }
    const double length = uniform_between(run, 2, 8);
    ++run.faults["cut from servers"];
    const auto now = clock::now();
    run.cuts.push_back(
        {instance.name, now, now + std::chrono::duration_cast<clock::duration>(seconds(length))});
    set_cut(run.fleet, instance, cuts.at(run.random() % cuts.size()));
    schedule_after(run, seconds(length),
                   [&run, &instance] { set_cut(run.fleet, instance, link_fault::none); });
}

void inject_server_fault(run_state& run)
{
    constexpr std::array behaviors = {server_behavior::shed,
                                      server_behavior::fail,
                                      server_behavior::refuse_unproved,
                                      server_behavior::reset_after_read,
                                      server_behavior::cut_short,
                                      server_behavior::extra_answer,
                                      server_behavior::silent};
    standins::server_standin& server = *random_server(run).server;
    ++run.faults["server"];
    const std::lock_guard lock(server.guard);
    server.default_behavior = behaviors.at(run.random() % behaviors.size());
    schedule_after(run, seconds(uniform_between(run, 0.3, 3)), [&server] {
        const std::lock_guard reset_lock(server.guard);
        server.default_behavior = server_behavior::serve;
    });
}

void inject_change(run_state& run)
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
        server_process& server = random_server(run);
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

// Schedules faults at random times; they may overlap.
void schedule_faults(run_state& run)
{
    const auto count = static_cast<int>(FLAGS_seconds * 1.5);
    for (int index = 0; index < count; ++index) {
        const auto kind = run.random() % 7;
        schedule_after(run, seconds(uniform_between(run, 3, FLAGS_seconds)), [&run, kind] {
            switch (kind) {
            case 0:
                inject_process_fault(run);
                break;
            case 1:
                inject_store_fault(run);
                break;
            case 2:
                inject_store_link_fault(run);
                break;
            case 3:
                inject_link_fault(run, *random_server(run).link, "server link");
                break;
            case 4:
                inject_server_fault(run);
                break;
            case 5:
                inject_cut(run);
                break;
            default:
                inject_change(run);
            }
        });
    }
}

void report_violation(run_state& run, const std::string& rule, const std::string& detail)
{
    if (!FLAGS_known_red.empty() && rule == FLAGS_known_red) {
        std::printf("known red, passed over: %s: %s\n", rule.c_str(), detail.c_str());
        return;
    }
    run.violations.push_back(rule + ": " + detail);
}

// Whether no fault was active between `from`, less `stabilization_time`, and `to`.
bool was_stable(const run_state& run, clock::time_point from, clock::time_point to)
{
    return std::ranges::none_of(run.unstable, [&](const auto& span) {
        return span.first < to && span.second + stabilization_time > from;
    });
}

void check_answers(run_state& run)
{
    std::map<std::string, std::size_t> executions;
    for (server_process& server : run.fleet.servers) {
        for (const standins::received_request& request : standins::received_requests(*server.server)) {
            executions[request.attempt] += request.ran ? 1 : 0;
            if (!request.authorization.empty()) {
                report_violation(run, "key passed on", request.attempt);
            }
            if (request.expected != server.id) {
                report_violation(run, "wrong server meant",
                                 request.attempt + " " + request.expected + " at " + server.id);
            }
        }
    }
    for (const request_result& result : run.callers.results) {
        const std::size_t count = executions[result.attempt];
        const bool claims_not_run =
            result.status == 503 || result.status == 429 || result.status == 408 || result.status == 421;
        if (result.unsafe && count > 1) {
            report_violation(run, "at most once",
                             result.attempt + " ran " + std::to_string(count) + " times");
        }
        if (claims_not_run && count > 0) {
            report_violation(run, "true refusal",
                             result.attempt + " has run, answered " + std::to_string(result.status));
        }
        if (result.condemned) {
            report_violation(run, "innocent request", result.attempt + " at " + result.instance);
        }
        if (result.status / 100 == 2 && !result.has_valid_signature) {
            report_violation(run, "whole answer", result.attempt + " from " + result.instance);
        }
        if (result.status == 404 || (result.status == 401 && result.key_number == 0)) {
            report_violation(run, "denied",
                             result.attempt + " " + std::to_string(result.status) + " at " + result.instance);
        }
    }
}

// A request that ends its servers reaches few of them once each instance has had the time to learn of the
// third end. Instances that started, were suspended or lost their links may still send it.
void check_fatal_sends(run_state& run)
{
    std::vector<clock::time_point> arrivals;
    for (server_process& server : run.fleet.servers) {
        for (const standins::received_request& request : standins::received_requests(*server.server)) {
            if (request.target == fatal_path) {
                arrivals.push_back(request.at);
            }
        }
    }
    std::ranges::sort(arrivals);
    if (arrivals.size() < 3) {
        return;
    }
    const auto from = arrivals.at(2) + 100ms + spread_time;
    const auto later = std::ranges::count_if(
        arrivals, [&](auto at) { return at > from && was_stable(run, at - spread_time, at); });
    if (later > max_later_fatal_sends) {
        report_violation(run, "fatal request",
                         std::to_string(later) + " sends later than 3 s after the third, " +
                             std::to_string(arrivals.size()) + " in all");
    }
}

// An instance that is cut off from all servers serves its callers, by way of the others.
void check_cuts(run_state& run)
{
    constexpr double min_ratio = 2.0 / 3;
    constexpr double max_failed = 10;
    constexpr double max_failed_share = 0.02;
    const auto is_at = [](const auto& intervals, const std::string& instance, auto from, auto to) {
        return std::ranges::any_of(intervals, [&](const run_state::instance_interval& interval) {
            return interval.instance == instance && interval.from < to && interval.to > from;
        });
    };
    for (const run_state::instance_interval& cut : run.cuts) {
        const auto from = cut.from + spread_time;
        if (from >= cut.to || is_at(run.disturbed, cut.instance, cut.from, cut.to) ||
            is_at(run.without_store, cut.instance, cut.from, cut.to)) {
            continue;
        }
        ++run.faults["cut judged"];
        std::array<double, 2> asked{};
        std::array<double, 2> served{};
        for (const request_result& result : run.callers.results) {
            const bool is_cut = is_at(run.cuts, result.instance, result.sent, result.sent);
            const bool is_disturbed = is_at(run.disturbed, result.instance, result.sent, result.ended);
            const bool counts = result.connected && result.status != 429 && result.sent >= from &&
                                result.sent < cut.to && !is_disturbed &&
                                (!is_cut || result.instance == cut.instance);
            if (counts) {
                asked.at(is_cut ? 0 : 1) += 1;
                served.at(is_cut ? 0 : 1) += result.status / 100 == 2 ? 1 : 0;
            }
        }
        const double failed = asked[0] - served[0];
        const bool is_worse = served[0] * asked[1] < min_ratio * served[1] * asked[0];
        if (is_worse && failed > max_failed + max_failed_share * (asked[0] + asked[1])) {
            report_violation(run, "cut instance",
                             cut.instance + " served " + std::to_string(served[0]) + " of " +
                                 std::to_string(asked[0]) + ", the others " + std::to_string(served[1]) +
                                 " of " + std::to_string(asked[1]));
        }
    }
}

void check_revocations(run_state& run)
{
    for (const auto& [at, number] : run.revoked) {
        for (const request_result& result : run.callers.results) {
            const bool late = result.key_number == number && result.sent > at + max_apply_time;
            if (late && result.status / 100 == 2 && was_stable(run, at, result.ended)) {
                report_violation(run, "withdrawn key", result.attempt + " at " + result.instance);
            }
        }
    }
}

// A process never goes back to an older configuration: once it has refused a withdrawn key, it must not serve
// that key again.
void check_versions(run_state& run)
{
    std::map<std::pair<pid_t, int>, clock::time_point> refused;
    std::vector<request_result> sorted = run.callers.results;
    std::ranges::sort(sorted, [](const auto& a, const auto& b) { return a.ended < b.ended; });
    for (const request_result& result : sorted) {
        if (result.key_number == 0) {
            continue;
        }
        const auto key = std::pair(result.pid, result.key_number);
        const bool withdrawn = std::ranges::any_of(run.revoked, [&](const auto& revocation) {
            return revocation.second == result.key_number && result.sent > revocation.first;
        });
        if (result.status == 401 && withdrawn) {
            refused.try_emplace(key, result.ended);
        }
        if (result.status / 100 == 2 && refused.contains(key) && result.sent > refused[key]) {
            report_violation(run, "configuration went back", result.attempt + " at " + result.instance);
        }
    }
}

void check_rate(run_state& run)
{
    constexpr double window_s = 5;
    std::vector<clock::time_point> served_times;
    for (const request_result& result : run.callers.results) {
        if (result.key_number != 0 && result.status / 100 == 2) {
            served_times.push_back(result.sent);
        }
    }
    std::ranges::sort(served_times);
    const double allowed = (customer_rate * window_s + customer_burst) * 1.1 + 20;
    for (std::size_t first = 0, last = 0; last < served_times.size(); ++last) {
        while (served_times.at(last) - served_times.at(first) > seconds(window_s)) {
            ++first;
        }
        if (static_cast<double>(last - first + 1) > allowed) {
            report_violation(run, "rate", std::to_string(last - first + 1) + " in 5 s");
            return;
        }
    }
}

// A process that received SIGTERM completes the requests that it has read; only a kill or a suspension may
// cut a request off.
void check_graceful_stops(run_state& run)
{
    for (const request_result& result : run.callers.results) {
        const bool cut = result.connected && result.status == 0 && result.ended - result.sent < 2900ms;
        if (!cut || run.killed.contains(result.pid) || !was_stable(run, result.sent - 1s, result.ended)) {
            continue;
        }
        report_violation(run, "cut request", result.attempt + " at " + result.instance);
    }
}

// After the last fault, both customers are served again. The limited one is served up to its rate; above it,
// only refusals for the rate (429) are allowed.
void check_recovery(run_state& run, clock::time_point faults_ended)
{
    struct tally {
        std::size_t attempts = 0;
        std::size_t served = 0;
        std::size_t over_rate = 0;
    };
    std::array<tally, 2> tallies;
    const auto from = faults_ended + recovery_time;
    auto to = from;
    for (const request_result& result : run.callers.results) {
        if (result.sent > from) {
            tally& customer = tallies.at(result.key_number == 0 ? 0 : 1);
            ++customer.attempts;
            customer.served += result.status / 100 == 2 ? 1 : 0;
            customer.over_rate += result.status == 429 ? 1 : 0;
            to = std::max(to, result.sent);
        }
    }
    const double allowed_by_rate = customer_rate * seconds(to - from).count();
    for (const tally& customer : tallies) {
        const bool limited = &customer == &tallies.back();
        const auto attempts = static_cast<double>(customer.attempts);
        const double expected_served = limited ? std::min(attempts, allowed_by_rate) : attempts;
        const std::size_t lost = customer.attempts - customer.served - (limited ? customer.over_rate : 0);
        if (customer.attempts < 20 ||
            static_cast<double>(customer.served) < expected_served * min_recovered_fraction ||
            static_cast<double>(lost) > attempts * (1 - min_recovered_fraction)) {
            report_violation(run, limited ? "recovery, limited customer" : "recovery",
                             std::to_string(customer.served) + " of " + std::to_string(customer.attempts) +
                                 " served, " + std::to_string(customer.over_rate) + " over the rate");
        }
    }
}

bool run_seed(std::uint64_t seed)
{
    boost::asio::io_context context;
    run_state run(context, seed);
    // The addresses depend on the process id, so that several runs can execute at the same time.
    const auto process = static_cast<std::uint64_t>(getpid());
    run.fleet.network =
        "127." + std::to_string(10 + process % 200) + "." + std::to_string(process / 200 % 250);
    run.fleet.directory = FLAGS_directory + "/" + std::to_string(seed) + "-" + std::to_string(process);
    run.fleet.program = FLAGS_program;
    std::filesystem::remove_all(run.fleet.directory);
    std::filesystem::create_directories(run.fleet.directory);
    run.fleet.store = standins::start_store(run.fleet.network + ".1", 0);
    // Scheduled faults hold references to servers: the vector must not reallocate.
    run.fleet.servers.reserve(200);
    write_configuration(run.fleet);
    for (std::size_t index = 0; index < server_count; ++index) {
        add_server(run.fleet);
    }
    make_instances(run.fleet, FLAGS_instances);
    for (instance_process& instance : run.fleet.instances) {
        start_process(run.fleet, instance);
    }
    const auto start_time = clock::now();
    schedule_faults(run);
    schedule_after(run, 1.5s, [&run] { start_callers(run.fleet, run.callers, caller_count, run.random); });
    if (run.random() % 2 == 0) {
        ++run.faults["fatal request"];
        schedule_after(run, seconds(uniform_between(run, 3, FLAGS_seconds)),
                       [&run] { start_fatal_caller(run.fleet, run.callers, run.random()); });
    }
    const seconds total_time = seconds(FLAGS_seconds) + 5s + recovery_time + 3s;
    schedule_after(run, total_time, [&run] { run.callers.running = false; });
    schedule_after(run, total_time + 4s, [&context] { context.stop(); });
    context.run();
    end_processes(run.fleet);
    check_answers(run);
    check_fatal_sends(run);
    check_cuts(run);
    check_revocations(run);
    check_versions(run);
    check_rate(run);
    check_graceful_stops(run);
    check_recovery(run,
                   start_time + std::chrono::duration_cast<clock::duration>(seconds(FLAGS_seconds) + 5s));
    std::printf("seed %llu: %zu requests, %zu broken; faults:", static_cast<unsigned long long>(seed),
                run.callers.results.size(), run.violations.size());
    for (const auto& [name, count] : run.faults) {
        std::printf(" %s %d,", name.c_str(), count);
    }
    std::printf("\n");
    for (std::size_t index = 0; index < std::min<std::size_t>(run.violations.size(), 10); ++index) {
        std::printf("  %s\n", run.violations.at(index).c_str());
    }
    std::fflush(stdout);
    if (run.violations.empty()) {
        std::filesystem::remove_all(run.fleet.directory);
    }
    return run.violations.empty();
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
        failed += run_seed(FLAGS_first_seed + index) ? 0 : 1;
    }
    std::printf("%llu seeds, %llu failed\n", static_cast<unsigned long long>(FLAGS_seeds),
                static_cast<unsigned long long>(failed));
    return failed == 0 ? 0 : 1;
}
