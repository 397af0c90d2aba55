/// @file
/// State of one run, shared by the planned work, the judgement and the report.
#pragma once

#include <functional>

#include "callers.hpp"

namespace fleet_load {

using seconds = std::chrono::duration<double>;

struct run_options {
    double fault_seconds = 40;
    double stalls_per_minute = 0; ///< Of each instance.
};

struct run_state {
    run_state(boost::asio::io_context& context, std::uint64_t seed)
        : fleet(context), random(seed), stall_random(~seed)
    {
    }
    fleet_state fleet;
    caller_log callers;
    run_options options;
    std::mt19937_64 random;
    std::mt19937_64 stall_random; ///< Separate, so that a seed's other events don't depend on the stalls.
    std::map<std::string, int> events; ///< Number by name.
    bool running = true;               ///< Processes that end are started again.
    clock::time_point started{};
    std::vector<stall> observer_delays; ///< Times in which this program ran late itself.
};

/// Runs an action after a delay.
void schedule_after(run_state& run, seconds delay, std::function<void()> action);

/// Schedules stops, reloads, configurations, servers that leave, and stalls, in series that overlap.
void schedule_planned_work(run_state& run);

/// Starts to watch the processes: those that end are started again, those that outlast a stop are killed.
void watch_processes(run_state& run);

} // namespace fleet_load
