#include <algorithm>
#include <csignal>

#include "run.hpp"

namespace fleet_load {

using namespace std::chrono_literals;

void schedule_after(run_state& run, seconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(run.fleet.context);
    timer->expires_after(std::chrono::duration_cast<clock::duration>(delay));
    timer->async_wait([action = std::move(action), timer](boost::system::error_code cancelled) {
        if (!cancelled) {
            action();
        }
    });
}

namespace {

double uniform_between(std::mt19937_64& random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

bool is_stopping(const instance_process& instance)
{
    return instance.lives.back().stop_sent != clock::time_point{};
}

// Before that the process may not have installed its handlers.
bool has_started(instance_process& instance)
{
    constexpr auto start_time = 2s;
    const process_life* life = running_life(instance);
    return life != nullptr && clock::now() - life->started > start_time;
}

// A third of the instances at most are stopped at a time.
void stop_instance(run_state& run, std::size_t index)
{
    std::vector<instance_process>& instances = run.fleet.instances;
    const auto stopping = std::ranges::count_if(instances, is_stopping);
    instance_process& instance = instances.at(index);
    if (3 * static_cast<std::size_t>(stopping + 1) > instances.size() || is_stopping(instance) ||
        !has_started(instance)) {
        return;
    }
    ++run.events["stop"];
    signal_process(instance, SIGTERM);
}

void reload_instance(run_state& run, std::size_t index)
{
    instance_process& instance = run.fleet.instances.at(index);
    if (has_started(instance)) {
        ++run.events["reload"];
        signal_process(instance, SIGHUP);
    }
}

void change_configuration(run_state& run, std::uint64_t choice)
{
    fleet_state& fleet = run.fleet;
    switch (choice % 4) {
    case 0:
        fleet.added_routes.insert(static_cast<int>(fleet.configuration_version));
        break;
    case 1:
        if (!fleet.added_routes.empty()) {
            fleet.added_routes.erase(fleet.added_routes.begin());
        }
        break;
    case 2:
        fleet.connection_limit = 300 + static_cast<int>(choice / 4 % 200);
        break;
    default:
        fleet.other_customer_rate += 1;
    }
    ++run.events["configuration"];
    write_configuration(fleet);
}

// A server drains, or its entry is removed; another takes its place. It serves for the drain time and longer.
void replace_server(run_state& run, std::uint64_t choice)
{
    fleet_state& fleet = run.fleet;
    const std::size_t index = choice % fleet.servers.size();
    load_server& server = *fleet.servers.at(index);
    if (server.leaving || server.ended) {
        return;
    }
    const bool announces = choice / 1000 % 3 != 0;
    ++run.events[announces ? "server drains" : "server removed"];
    server.leaving = true;
    if (announces) {
        register_server(fleet, server, "draining");
    } else {
        standins::drop_row(*fleet.store, "servers", server.id);
    }
    const auto service = static_cast<std::size_t>(&server.profile - fleet.services.data());
    add_server(fleet, service, choice);
    schedule_after(run, drain + 2s, [&run, &server] {
        standins::drop_row(*run.fleet.store, "servers", server.id);
        end(server);
    });
}

// One kind of work, several times at short intervals.
void schedule_series(run_state& run, double at_s)
{
    const std::uint64_t instances = run.fleet.instances.size();
    const std::uint64_t kind = run.random() % 5;
    const std::uint64_t max_count = kind < 2 ? std::max<std::uint64_t>(2, instances / 4) : 5;
    const std::uint64_t count = 1 + run.random() % max_count;
    double event_s = at_s;
    for (std::uint64_t number = 0; number < count; ++number) {
        const std::uint64_t choice = run.random();
        schedule_after(run, seconds(event_s), [&run, kind, choice, instances] {
            if (kind <= 1) {
                stop_instance(run, choice % instances);
            } else if (kind == 2) {
                reload_instance(run, choice % instances);
            } else if (kind == 3) {
                change_configuration(run, choice);
            } else {
                replace_server(run, choice);
            }
        });
        event_s += uniform_between(run.random, 0.02, 0.6);
    }
}

// Half of the choices fall on instances that are being stopped, if there are any.
instance_process& pick_for_stall(run_state& run, std::uint64_t choice)
{
    std::vector<instance_process>& instances = run.fleet.instances;
    std::vector<std::size_t> stopping;
    for (std::size_t index = 0; index < instances.size(); ++index) {
        if (is_stopping(instances.at(index)) && running_life(instances.at(index)) != nullptr) {
            stopping.push_back(index);
        }
    }
    const bool prefers_stopping = choice % 2 == 0 && !stopping.empty();
    return instances.at(prefers_stopping ? stopping.at(choice / 2 % stopping.size())
                                         : choice / 2 % instances.size());
}

void stall_instance(run_state& run, std::uint64_t choice, double length_s)
{
    instance_process& instance = pick_for_stall(run, choice);
    const process_life* life = running_life(instance);
    if (life == nullptr || instance.is_stalled || !run.running) {
        return;
    }
    ++run.events["stall"];
    const auto from = clock::now();
    const pid_t pid = life->pid;
    instance.is_stalled = true;
    signal_process(instance, SIGSTOP);
    schedule_after(run, seconds(length_s), [&instance, pid, from] {
        const process_life* present = running_life(instance);
        if (present != nullptr && present->pid == pid) {
            signal_process(instance, SIGCONT);
            instance.is_stalled = false;
        }
        instance.stalls.push_back({from, clock::now()});
    });
}

void schedule_stalls(run_state& run)
{
    const double per_second =
        run.options.stalls_per_minute / 60 * static_cast<double>(run.fleet.instances.size());
    if (per_second <= 0) {
        return;
    }
    std::exponential_distribution<double> interval(per_second);
    constexpr double first_s = 4;
    for (double at_s = first_s; at_s < run.options.fault_seconds; at_s += interval(run.stall_random)) {
        const std::uint64_t choice = run.stall_random();
        const double length_s = uniform_between(run.stall_random, 0.05, 0.6);
        schedule_after(run, seconds(at_s),
                       [&run, choice, length_s] { stall_instance(run, choice, length_s); });
    }
}

void watch_instance(run_state& run, instance_process& instance)
{
    constexpr auto restart_delay = 500ms;
    if (reap(instance)) {
        if (!run.running) {
            return;
        }
        schedule_after(run, restart_delay, [&run, &instance] {
            if (run.running) {
                start_process(run.fleet, instance);
            }
        });
        return;
    }
    const process_life* life = running_life(instance);
    if (life != nullptr && is_stopping(instance) && life->killed == clock::time_point{} &&
        clock::now() - life->stop_sent > grace) {
        ++run.events["killed after the stop time"];
        signal_process(instance, SIGKILL);
    }
}

} // namespace

void watch_processes(run_state& run)
{
    constexpr auto period = 10ms;
    static constexpr auto max_delay = 50ms;
    for (instance_process& instance : run.fleet.instances) {
        watch_instance(run, instance);
    }
    const auto due = clock::now() + period;
    schedule_after(run, period, [&run, due] {
        if (clock::now() - due > max_delay) {
            run.observer_delays.push_back({due, clock::now()});
        }
        watch_processes(run);
    });
}

void schedule_planned_work(run_state& run)
{
    constexpr double first_s = 6;
    for (double at_s = first_s; at_s < run.options.fault_seconds;
         at_s += uniform_between(run.random, 0.4, 1.6)) {
        schedule_series(run, at_s);
    }
    schedule_stalls(run);
}

} // namespace fleet_load
