#include "faults.hpp"

#include <algorithm>
#include <csignal>

namespace soak {

using standins::refusal_repeat;
using standins::server_behavior;
using standins::store_fault;

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

namespace {

double uniform_between(std::mt19937_64& random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

double uniform_between(run_state& run, double low, double high)
{
    return uniform_between(run.random, low, high);
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
            start_process(instance);
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

// Stops the instance, whose next process is of the build under test. One that is not running, or is being
// stopped, starts with it anyway.
void upgrade_instance(run_state& run, instance_process& instance)
{
    ++run.faults["upgrade"];
    instance.program = run.fleet.program;
    if (!is_running(instance) || instance.suspended || instance.stop_sent != clock::time_point{}) {
        return;
    }
    const auto now = clock::now();
    constexpr double max_stop_s = 9; // As in inject_process_fault.
    mark_unstable(run, max_stop_s);
    run.disturbed.push_back(
        {instance.name, now,
         now + std::chrono::duration_cast<clock::duration>(seconds(max_stop_s)) + stabilization_time});
    signal_process(instance, SIGTERM);
    schedule_restart(run, instance, 3);
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

// Behaviors for the next requests: refusals and successes, which are written once more, among requests whose
// own answers are lost, cut off or late.
std::vector<server_behavior> make_repeat_script(std::mt19937_64& random)
{
    // Not reset_unframed: the proxies pass a reset on as an orderly end, which completes such an answer.
    constexpr std::array behaviors = {
        server_behavior::shed,      server_behavior::shed,   server_behavior::shed,
        server_behavior::serve,     server_behavior::serve,  server_behavior::reset_after_read,
        server_behavior::cut_short, server_behavior::silent, server_behavior::late};
    constexpr std::size_t max_requests = 200;
    std::vector<server_behavior> script(max_requests);
    std::ranges::generate(script, [&] { return behaviors.at(random() % behaviors.size()); });
    return script;
}

// The server writes earlier answers once more on kept connections, most of them while the next request runs.
// A result that takes such an answer for its own is an untrue refusal or not a whole answer.
void inject_repeated_answers(run_state& run)
{
    constexpr std::array repeats = {refusal_repeat::during_next_request, refusal_repeat::during_next_request,
                                    refusal_repeat::at_once, refusal_repeat::after_next_answer};
    constexpr std::uint64_t max_repeat_delay_ms =
        30;                                     // Before and after the service time of 20 ms has passed.
    constexpr std::uint64_t max_late_ms = 2000; // Some come after the routes' timeout of 1.5 s.
    std::mt19937_64& random = run.repeat_random;
    standins::server_standin& server = *run.fleet.servers.at(random() % run.fleet.servers.size()).server;
    ++run.faults["repeated answers"];
    server.repeats_success = random() % 2 == 0;
    server.repeat_delay_ms = static_cast<int>(random() % max_repeat_delay_ms);
    server.late_ms = static_cast<int>(random() % max_late_ms);
    server.repeats_refusal = repeats.at(random() % repeats.size());
    standins::set_script(server, make_repeat_script(random));
    schedule_after(run, seconds(uniform_between(random, 1, 4)), [&server] {
        standins::set_script(server, {});
        server.repeats_refusal = refusal_repeat::never;
    });
}

// All servers reject at the same time, some of them without a statement on execution: a request that ran at
// one of them is rejected by the next, which did not run it.
void inject_rejection_series(run_state& run)
{
    ++run.faults["rejection series"];
    const double length = uniform_between(run, 0.5, 2);
    mark_unstable(run, length);
    for (std::size_t index = 0; index < run.fleet.servers.size(); ++index) {
        standins::server_standin& server = *run.fleet.servers.at(index).server;
        const std::lock_guard lock(server.guard);
        server.default_behavior = index % 2 == 0 ? server_behavior::refuse_unproved : server_behavior::shed;
    }
    schedule_after(run, seconds(length), [&run] {
        for (server_process& server : run.fleet.servers) {
            const std::lock_guard lock(server.server->guard);
            server.server->default_behavior = server_behavior::serve;
        }
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

} // namespace

void schedule_faults(run_state& run, double fault_seconds)
{
    const auto count = static_cast<int>(fault_seconds * 1.5);
    for (int index = 0; index < count; ++index) {
        const auto kind = run.random() % 7;
        schedule_after(run, seconds(uniform_between(run, 3, fault_seconds)), [&run, kind] {
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
    if (!run.fleet.old_program.empty()) {
        // One after the other; a few stops overlap.
        const double pause = (fault_seconds - 3) / static_cast<double>(run.fleet.instances.size());
        for (std::size_t index = 0; index < run.fleet.instances.size(); ++index) {
            schedule_after(run, seconds(3 + pause * static_cast<double>(index)),
                           [&run, index] { upgrade_instance(run, run.fleet.instances.at(index)); });
        }
    }
    if (run.random() % 3 == 0) {
        schedule_after(run, seconds(uniform_between(run, 3, fault_seconds)),
                       [&run] { inject_rejection_series(run); });
    }
    // Two or three servers at a time do so.
    const auto repeat_count = static_cast<int>(fault_seconds);
    for (int index = 0; index < repeat_count; ++index) {
        schedule_after(run, seconds(uniform_between(run.repeat_random, 3, fault_seconds)),
                       [&run] { inject_repeated_answers(run); });
    }
    if (run.random() % 2 == 0) {
        ++run.faults["fatal request"];
        schedule_after(run, seconds(uniform_between(run, 3, fault_seconds)),
                       [&run] { start_fatal_caller(run.fleet, run.callers, run.random()); });
    }
}

} // namespace soak
