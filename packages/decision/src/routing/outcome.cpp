#include <algorithm>

#include "camphorknot/routing.hpp"
#include "camphorknot/routing/pools.hpp"

namespace camphorknot {

using namespace internal;

namespace {

constexpr duration estimate_half_life = std::chrono::seconds(5);
/// Limit on a window, in requests per slot of the target.
constexpr double max_window_per_slot = 4;
/// Shorter than that of latencies, so that a target that starts to fail is paused soon.
constexpr duration failure_half_life = std::chrono::seconds(1);
constexpr std::uint32_t pause_consecutive_failures = 5;
constexpr double pause_failure_rate = 0.5;
constexpr double min_pause_weight = 3;
constexpr duration min_pause = std::chrono::seconds(1);
constexpr std::uint32_t max_pause_doublings = 4;
/// At most one in this many targets of a pool is paused at a time. If more of them fail, the cause does not
/// lie in single targets.
constexpr std::size_t max_paused_divisor = 2;
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

// Additive increase, multiplicative decrease: the window grows by one per window of successful answers, and
// only while at least half of it is in use; it is halved when the target is overloaded or unreachable.
void adapt_window(target_state& target, const attempt_report& report, std::uint32_t in_flight_before)
{
    if (shrinks_window(report.result)) {
        target.window = std::max(1.0, target.window / 2);
    } else if (report.result == attempt_result::answered && 2 * in_flight_before >= window_of(target)) {
        target.window = std::min(target.slots * max_window_per_slot, target.window + 1 / target.window);
    }
}

void record_latency(service_state& service, target_state& target, const attempt_report& report,
                    time_point now)
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
    const bool was_paused = target.consecutive_pauses > 0;
    const double weight =
        target.failure_rate.weight * decay_factor(now - target.failure_rate.updated, failure_half_life);
    const double rate = target.failure_rate.sum / std::max(target.failure_rate.weight, 1e-9);
    const bool rate_exceeded = rate >= pause_failure_rate && (was_paused || weight >= min_pause_weight);
    if (!rate_exceeded && target.consecutive_failures < pause_consecutive_failures) {
        return false;
    }
    const target_pool& pool = state.services[target.service].pools[target.pool];
    return (count_paused(state, pool) + 1) * max_paused_divisor <= pool.members.size();
}

void pause_target(router& state, std::uint32_t index, time_point now)
{
    change_target(state, index, [&](target_state& target) {
        target.paused_until =
            now + min_pause * (1U << std::min(target.consecutive_pauses, max_pause_doublings));
        ++target.consecutive_pauses;
    });
    target_state& target = state.targets[index];
    target_pool& pool = state.services[target.service].pools[target.pool];
    pool.next_resume = std::min(pool.next_resume, target.paused_until);
}

// The time until an attempt is cancelled is a lower bound of its latency; it counts if it raises the average.
// Without it, hedges would hide a slow target, since they cancel just its slow attempts.
bool is_latency_sample(const target_state& target, const attempt_report& report)
{
    if (report.result == attempt_result::cancelled) {
        const double ms = std::chrono::duration<double, std::milli>(report.latency).count();
        return ms * target.latency_ms.weight > target.latency_ms.sum;
    }
    return report.result == attempt_result::answered || report.result == attempt_result::timed_out;
}

// The loss of a request on a connection of a distrusted generation is not evidence against the target.
bool is_attributable_to_target(const router& state, const target_state& target, const attempt_report& report)
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
    const bool attributable = is_attributable_to_target(state, state.targets[index], report);
    change_target(state, index, [&](target_state& target) {
        const std::uint32_t in_flight_before = target.in_flight;
        target.in_flight -= in_flight_before > 0 ? 1 : 0;
        target.waiting_since = now;
        if (attributable && state.settings.enabled.windows) {
            adapt_window(target, report, in_flight_before);
        }
    });
    target_state& target = state.targets[index];
    if (target.service == no_index || !attributable) {
        return;
    }
    service_state& service = state.services[target.service];
    const bool failed = is_failure(report.result);
    if (is_latency_sample(target, report)) {
        record_latency(service, target, report, now);
    }
    if (report.result != attempt_result::cancelled && report.result != attempt_result::shed_before_run) {
        add_sample(target.failure_rate, failed ? 1 : 0, now, failure_half_life);
        target.consecutive_failures = failed ? target.consecutive_failures + 1 : 0;
    }
    if (report.result == attempt_result::answered) {
        target.consecutive_pauses = 0;
    }
    if (report.result == attempt_result::timed_out && report.connection_generation >= target.generation) {
        // New connections get a generation that differs from that of the silent one.
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
    // The target itself works, so the failures on silent connections no longer count against it.
    change_target(state, found->second, [](target_state& recovered) {
        recovered.failure_rate = {};
        recovered.consecutive_failures = 0;
        recovered.consecutive_pauses = 0;
        recovered.paused_until = {};
    });
}

} // namespace camphorknot
