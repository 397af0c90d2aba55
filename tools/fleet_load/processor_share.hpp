/// @file
/// Limits the processor time of processes, as a scheduler with a quota does.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <sys/types.h>
#include <thread>

namespace fleet_load {

/// Suspends each process that has used its share of a period until the period ends.
struct processor_limiter {
    struct limited_process {
        double share = 1;         ///< Of one core.
        double used_before_s = 0; ///< Processor time at the start of the period.
        bool suspended = false;
        bool held = false; ///< Suspended until it is released.
    };
    std::mutex guard;
    std::map<pid_t, limited_process> processes;
    std::atomic<bool> running{true};
    std::thread thread;
};

/// Starts to limit the processes; those that are added later too.
void start(processor_limiter& limiter);
/// Continues all processes and ends the thread.
void stop(processor_limiter& limiter);

void add_process(processor_limiter& limiter, pid_t pid, double share);
/// Must be called before the process is reaped, since its number may be given out again.
void remove_process(processor_limiter& limiter, pid_t pid);

/// Suspends the process whatever it has used, or ends that.
void hold_process(processor_limiter& limiter, pid_t pid, bool held);

/// @return the processor time that a process has used, in seconds; 0 if it does not exist.
double processor_time_s(pid_t pid);

} // namespace fleet_load
