#include "camphorknot/routing/ramp.hpp"

#include <algorithm>
#include <cmath>

#include "camphorknot/core/invariant.hpp"

namespace camphorknot::internal {
namespace {

/// Long enough to average a Poisson load, short against the ramp's ten seconds from empty to full.
constexpr double rate_memory_seconds = 4;
/// A load that comes back within this time meets most of its ceiling.
constexpr double ceiling_memory_seconds = 30;
constexpr double margin_growth_seconds = 2;
constexpr double margin_deviations = 3;
/// Requests that pass at once whatever the rate; chance arrivals of a small load stay below it.
constexpr double smallest_depth = 8;
/// With the margin of the ceiling, a Poisson load overruns this depth about once in e^24 bursts.
constexpr double depth_deviations = 4;

double seconds_of(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double depth_of(const region_ramp& ramp)
{
    return std::max(smallest_depth, depth_deviations * std::sqrt(ramp.ceiling));
}

double wanted_ceiling(const region_ramp& ramp, const ramp_limits& limits)
{
    const double margin =
        margin_growth_seconds * limits.growth_per_second + margin_deviations * std::sqrt(ramp.measured_rate);
    return std::max(limits.base_rate, ramp.measured_rate + margin);
}

} // namespace

void advance(region_ramp& ramp, const ramp_limits& limits, bool enforced, time_point now)
{
    if (!ramp.started) {
        ramp = {.ceiling = limits.base_rate, .tokens = smallest_depth, .updated = now, .started = true};
    }
    const double elapsed = std::max(0.0, seconds_of(now - ramp.updated));
    ramp.updated = std::max(ramp.updated, now);
    ramp.measured_rate *= std::exp(-elapsed / rate_memory_seconds);
    const double wanted = wanted_ceiling(ramp, limits);
    const double before = ramp.ceiling;
    if (wanted > before) {
        ramp.ceiling = enforced ? std::min(wanted, before + limits.growth_per_second * elapsed) : wanted;
    } else {
        ramp.ceiling = wanted + (before - wanted) * std::exp(-elapsed / ceiling_memory_seconds);
    }
    ramp.ceiling = std::max(ramp.ceiling, limits.base_rate);
    check_invariant(!enforced || ramp.ceiling <= std::max(limits.base_rate,
                                                          before + limits.growth_per_second * elapsed + 1e-6),
                    promise::p1_shift_cap, "ramp_growth");
    ramp.tokens = std::min(depth_of(ramp), ramp.tokens + ramp.ceiling * elapsed);
}

bool has_token(const region_ramp& ramp)
{
    return ramp.tokens >= 1;
}

void take_token(region_ramp& ramp, bool enforced)
{
    ramp.measured_rate += 1 / rate_memory_seconds;
    if (enforced) {
        ramp.tokens -= 1;
        check_invariant(ramp.tokens >= 0, promise::p1_shift_cap, "ramp_tokens");
    }
}

duration time_to_token(const region_ramp& ramp)
{
    const double missing = std::max(0.0, 1 - ramp.tokens);
    const double seconds = missing / std::max(ramp.ceiling, 0.1);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace camphorknot::internal
