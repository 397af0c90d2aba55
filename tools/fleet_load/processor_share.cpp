#include "processor_share.hpp"

#include <csignal>
#include <ctime>

namespace fleet_load {
namespace {

using namespace std::chrono_literals;

constexpr auto period = 100ms;
constexpr auto check_interval = 4ms;

void resume(processor_limiter::limited_process& process, pid_t pid)
{
    if (process.suspended && !process.held) {
        kill(pid, SIGCONT);
        process.suspended = false;
    }
}

void begin_period(processor_limiter& limiter)
{
    const std::lock_guard lock(limiter.guard);
    for (auto& [pid, process] : limiter.processes) {
        resume(process, pid);
        process.used_before_s = processor_time_s(pid);
    }
}

void suspend_those_over_their_share(processor_limiter& limiter)
{
    const double period_s = std::chrono::duration<double>(period).count();
    const std::lock_guard lock(limiter.guard);
    for (auto& [pid, process] : limiter.processes) {
        const double used_s = processor_time_s(pid) - process.used_before_s;
        if (!process.suspended && (process.held || used_s >= process.share * period_s)) {
            kill(pid, SIGSTOP);
            process.suspended = true;
        }
    }
}

void run(processor_limiter& limiter)
{
    auto period_end = std::chrono::steady_clock::now();
    while (limiter.running) {
        if (std::chrono::steady_clock::now() >= period_end) {
            begin_period(limiter);
            period_end = std::chrono::steady_clock::now() + period;
        }
        suspend_those_over_their_share(limiter);
        std::this_thread::sleep_for(check_interval);
    }
    for (auto& [pid, process] : limiter.processes) {
        process.held = false;
    }
    begin_period(limiter);
}

} // namespace

double processor_time_s(pid_t pid)
{
    clockid_t process_clock = 0;
    timespec time{};
    if (clock_getcpuclockid(pid, &process_clock) != 0 || clock_gettime(process_clock, &time) != 0) {
        return 0;
    }
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

void start(processor_limiter& limiter)
{
    limiter.thread = std::thread([&limiter] { run(limiter); });
}

void stop(processor_limiter& limiter)
{
    limiter.running = false;
    if (limiter.thread.joinable()) {
        limiter.thread.join();
    }
}

void add_process(processor_limiter& limiter, pid_t pid, double share)
{
    const std::lock_guard lock(limiter.guard);
    limiter.processes[pid] = {share, processor_time_s(pid), false};
}

void remove_process(processor_limiter& limiter, pid_t pid)
{
    const std::lock_guard lock(limiter.guard);
    const auto found = limiter.processes.find(pid);
    if (found != limiter.processes.end()) {
        found->second.held = false;
        resume(found->second, pid);
        limiter.processes.erase(found);
    }
}

void hold_process(processor_limiter& limiter, pid_t pid, bool held)
{
    const std::lock_guard lock(limiter.guard);
    const auto found = limiter.processes.find(pid);
    if (found != limiter.processes.end()) {
        found->second.held = held;
    }
}

} // namespace fleet_load
