#include <algorithm>

#include "camphorknot/routing.hpp"
#include "camphorknot/routing/pools.hpp"

namespace camphorknot {

using namespace internal;

namespace {

constexpr duration estimate_half_life = std::chrono::seconds(5);
/// A window never allows more than this many requests per slot of the target from one instance.
constexpr double window_per_slot = 4;
/// Shorter than that of latencies, so that a target that begins to fail is paused soon.
constexpr duration failure_half_life = std::chrono::seconds(1);
constexpr std::uint32_t pause_failures_in_row = 5;
constexpr double pause_failure_rate = 0.5;
constexpr double pause_least_weight = 3;
constexpr duration shortest_pause = std::chrono::seconds(1);
constexpr std::uint32_t most_pause_doublings = 4;
/// Pauses leave at least this share of a pool in use, since more failures than that are not one target's.
constexpr std::size_t least_open_divisor = 2;
constexpr std::uint32_t p95_refresh_samples = 32;
constexpr double hedge_quantile = 0.95;

bool is_failure(attempt_result result)
{
    switch (result) {
    case attempt_result::server_error:
    case attempt_result::connect_failed:
    case attempt_result::broken:
    case attempt_result::timed_out:
        return true;
    case attempt_result::answered:
    case attempt_result::shed_before_run:
    case attempt_result::cancelled:
        break;
    }
    return false;
}

bool shrinks_window(attempt_result result)
{
    return result == attempt_result::shed_before_run || result == attempt_result::timed_out ||
           result == attempt_result::connect_failed;
}

// Grows by one per window of successes, and only while the window is in use.
void adapt_window(target_state& target, const attempt_report& report, std::uint32_t in_flight_before)
{
    if (shrinks_window(report.result)) {
        target.window = std::max(1.0, target.window / 2);
    } else if (report.result == attempt_result::answered && 2 * in_flight_before >= window_of(target)) {
        target.window = std::min(target.slots * window_per_slot, target.window + 1 / target.window);
    }
}

void note_latency(service_state& service, target_state& target, const attempt_report& report, time_point now)
{
    const double ms = std::chrono::duration<double, std::milli>(report.latency).count();
    add_sample(target.latency_ms, ms, now, estimate_half_life);
    add_sample(service.latency_ms, ms, now, estimate_half_life);
    if (target.pool != no_index) {
        add_sample(service.pools[target.pool].latency_ms, ms, now, estimate_half_life);
    }
    route_state* route = find_route(service, report.route);
    if (route == nullptr || report.result != attempt_result::answered) {
        return;
    }
    add_sample(route->latencies, report.latency);
    if (route->samples_to_refresh == 0) {
        route->p95 = quantile(route->latencies, hedge_quantile);
        route->samples_to_refresh = p95_refresh_samples;
    }
    --route->samples_to_refresh;
}

std::size_t count_paused(const router& state, const target_pool& pool)
{
    return static_cast<std::size_t>(
        std::count_if(pool.members.begin(), pool.members.end(), [&](std::uint32_t member) {
            return state.targets[member].paused_until != time_point{};
        }));
}

bool should_pause(const router& state, const target_state& target, time_point now)
{
    if (!state.settings.enabled.ejection || target.pool == no_index || target.paused_until != time_point{}) {
        return false;
    }
    const bool tested = target.consecutive_pauses > 0;
    const double weight =
        target.failure_rate.weight * decay_factor(now - target.failure_rate.updated, failure_half_life);
    const double rate = target.failure_rate.sum / std::max(target.failure_rate.weight, 1e-9);
    const bool often = rate >= pause_failure_rate && (tested || weight >= pause_least_weight);
    if (!often && target.consecutive_failures < pause_failures_in_row) {
        return false;
    }
    const target_pool& pool = state.services[target.service].pools[target.pool];
    return (count_paused(state, pool) + 1) * least_open_divisor <= pool.members.size();
}

void pause_target(router& state, std::uint32_t index, time_point now)
{
    change_target(state, index, [&](target_state& target) {
        target.paused_until =
            now + shortest_pause * (1U << std::min(target.consecutive_pauses, most_pause_doublings));
        ++target.consecutive_pauses;
    });
    target_state& target = state.targets[index];
    target_pool& pool = state.services[target.service].pools[target.pool];
    pool.next_resume = std::min(pool.next_resume, target.paused_until);
}

// A cancelled attempt shows a lower bound of the latency. Without it, hedges would hide a slow target, as
// they cancel just its slow attempts.
bool shows_latency(const target_state& target, const attempt_report& report)
{
    if (report.result == attempt_result::cancelled) {
        const double ms = std::chrono::duration<double, std::milli>(report.latency).count();
        return ms * target.latency_ms.weight > target.latency_ms.sum;
    }
    return report.result == attempt_result::answered || report.result == attempt_result::timed_out;
}

// A request that was lost with a connection of a distrusted generation says nothing about the target.
bool blames_target(const router& state, const target_state& target, const attempt_report& report)
{
    const bool lost = report.result == attempt_result::timed_out || report.result == attempt_result::broken;
    const bool distrusted =
        report.connection_generation != 0 && report.connection_generation < target.trusted_generation;
    return !(lost && distrusted && state.settings.enabled.generations);
}

} // namespace

void on_attempt_end(router& state, const attempt_report& report, time_point now)
{
    state.now = std::max(state.now, now);
    const auto found = state.target_index.find(report.target.value);
    if (found == state.target_index.end()) {
        return;
    }
    const std::uint32_t index = found->second;
    const bool blamed = blames_target(state, state.targets[index], report);
    change_target(state, index, [&](target_state& target) {
        const std::uint32_t before = target.in_flight;
        target.in_flight -= before > 0 ? 1 : 0;
        target.waiting_since = now;
        if (blamed && state.settings.enabled.windows) {
            adapt_window(target, report, before);
        }
    });
    target_state& target = state.targets[index];
    if (target.service == no_index || !blamed) {
        return;
    }
    service_state& service = state.services[target.service];
    const bool failed = is_failure(report.result);
    if (shows_latency(target, report)) {
        note_latency(service, target, report, now);
    }
    if (report.result != attempt_result::cancelled && report.result != attempt_result::shed_before_run) {
        add_sample(target.failure_rate, failed ? 1 : 0, now, failure_half_life);
        target.consecutive_failures = failed ? target.consecutive_failures + 1 : 0;
    }
    if (report.result == attempt_result::answered) {
        target.consecutive_pauses = 0;
    }
    if (report.result == attempt_result::timed_out && report.connection_generation >= target.generation) {
        // The next connection must be told apart from the silent one.
        target.generation = report.connection_generation + 1;
    }
    if (failed && should_pause(state, target, now)) {
        pause_target(state, index, now);
    }
}

void on_silent_connection(router& state, target_id target, std::uint64_t silent_generation,
                          bool fresh_connection_works)
{
    const auto found = state.target_index.find(target.value);
    if (found == state.target_index.end() || !state.settings.enabled.generations) {
        return;
    }
    target_state& silent = state.targets[found->second];
    silent.generation = std::max(silent.generation, silent_generation + 1);
    if (!fresh_connection_works) {
        return;
    }
    silent.trusted_generation = std::max(silent.trusted_generation, silent_generation + 1);
    // The target itself works, so what the silent connections cost is not held against it.
    change_target(state, found->second, [](target_state& works) {
        works.failure_rate = {};
        works.consecutive_failures = 0;
        works.consecutive_pauses = 0;
        works.paused_until = {};
    });
}

} // namespace camphorknot
