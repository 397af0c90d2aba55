#include "camphorknot/steering/momentary_speed.hpp"

#include <algorithm>
#include <cmath>

#include "target_state_rules.hpp"

namespace camphorknot::steering {
namespace {

// Time after which the slowdown of a machine changes.
constexpr double period_s = 0.6;
// Weight of a report in the usual slowdown, which is a geometric mean: a moment of 50 times raises it by less
// than a miss takes longer than a hit.
constexpr double usual_weight = 0.05;
// A target this much slower than usual is in a slow moment.
constexpr double slow_ratio = 1.3;

double to_s(duration time)
{
    return std::chrono::duration<double>(time).count();
}

// Integral of the probability that a slowdown still holds, from its report to the time `age_s` later. The
// slowdown changes at a point in time that is equally distributed over the period.
double held_s(double age_s)
{
    const double within = std::clamp(age_s, 0.0, period_s);
    return within - within * within / (2 * period_s);
}

// Mean over a time that begins `age_s` from the report.
double mean_slowdown(double slowdown, double usual, double age_s, double length_s)
{
    const double least_s = 0.001;
    const double span_s = std::max(length_s, least_s);
    const double held = (held_s(age_s + span_s) - held_s(age_s)) / span_s;
    return usual + (slowdown - usual) * held;
}

} // namespace

void on_slowdown_reported(momentary_speed& speed, double slowdown, time_point stated_at)
{
    if (stated_at < speed.reported_at) {
        return;
    }
    speed.slowdown = slowdown;
    speed.usual = std::max(1.0, speed.usual * std::pow(slowdown / speed.usual, usual_weight));
    speed.reported_at = stated_at;
}

double expected_slowdown(const momentary_speed& speed, duration length, time_point now)
{
    return mean_slowdown(speed.slowdown, speed.usual, to_s(now - speed.reported_at), to_s(length));
}

double experienced_slowdown(const momentary_speed& speed, std::optional<double> reported, duration taken)
{
    return mean_slowdown(reported.value_or(speed.usual), speed.usual, 0, to_s(taken));
}

bool is_slow_moment(const momentary_speed& speed, time_point now)
{
    return to_s(now - speed.reported_at) < period_s && speed.slowdown > speed.usual * slow_ratio;
}

duration slow_moment_cost(const momentary_speed& speed, double slowdown, duration expected,
                          duration miss_surplus)
{
    const double excess = std::max(0.0, slowdown - speed.usual);
    return std::min(scaled(expected, excess), miss_surplus);
}

} // namespace camphorknot::steering
