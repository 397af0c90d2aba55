#include "camphorknot/routing/ramp.hpp"

#include <algorithm>
#include <cmath>

#include "camphorknot/core/invariant.hpp"

namespace camphorknot::internal {
namespace {

/// Long enough to average a Poisson load, short compared with the ten seconds of a ramp from empty to full.
constexpr double rate_time_constant_seconds = 4;
/// A load that resumes within this time finds most of its ceiling left.
constexpr double ceiling_time_constant_seconds = 30;
constexpr double margin_growth_seconds = 2;
constexpr double margin_deviations = 3;
/// Burst that passes at any rate; random bursts of a small load stay below it.
constexpr double min_bucket_depth = 8;
/// In standard deviations of a Poisson count. Together with the margin of the ceiling, a Poisson load exceeds
/// this depth about once in e^24 bursts.
constexpr double depth_deviations = 4;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double bucket_depth(const region_ramp& ramp)
{
    return std::max(min_bucket_depth, depth_deviations * std::sqrt(ramp.ceiling));
}

double desired_ceiling(const region_ramp& ramp, const ramp_limits& limits)
{
    const double margin =
        margin_growth_seconds * limits.growth_per_second + margin_deviations * std::sqrt(ramp.measured_rate);
    return std::max(limits.base_rate, ramp.measured_rate + margin);
}

} // namespace

void advance(region_ramp& ramp, const ramp_limits& limits, bool enforced, time_point now)
{
    if (!ramp.started) {
        ramp = {.ceiling = limits.base_rate, .tokens = min_bucket_depth, .updated = now, .started = true};
    }
    const double elapsed = std::max(0.0, to_seconds(now - ramp.updated));
    ramp.updated = std::max(ramp.updated, now);
    ramp.measured_rate *= std::exp(-elapsed / rate_time_constant_seconds);
    const double desired = desired_ceiling(ramp, limits);
    const double previous = ramp.ceiling;
    if (desired > previous) {
        ramp.ceiling = enforced ? std::min(desired, previous + limits.growth_per_second * elapsed) : desired;
    } else {
        ramp.ceiling = desired + (previous - desired) * std::exp(-elapsed / ceiling_time_constant_seconds);
    }
    ramp.ceiling = std::max(ramp.ceiling, limits.base_rate);
    check_invariant(!enforced ||
                        ramp.ceiling <=
                            std::max(limits.base_rate, previous + limits.growth_per_second * elapsed + 1e-6),
                    promise::p1_shift_cap, "ramp_growth");
    ramp.tokens = std::min(bucket_depth(ramp), ramp.tokens + ramp.ceiling * elapsed);
}

bool has_token(const region_ramp& ramp)
{
    return ramp.tokens >= 1;
}

void take_token(region_ramp& ramp, bool enforced)
{
    ramp.measured_rate += 1 / rate_time_constant_seconds;
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
