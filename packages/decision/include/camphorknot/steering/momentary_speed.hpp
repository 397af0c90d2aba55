/// @file
/// Slowdown of a target's machine at this moment, as the target reports it.
///
/// Designed for targets that share their machines with other workloads: 15% of the machines are 2.5 times
/// slower, others each 600 ms, and an instance hears of a target a few times a second.
#pragma once

#include <optional>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Reported slowdown of a target; 1 is the usual time that work takes there, 2.5 is 2.5 times slower.
struct momentary_speed {
    double slowdown = 1;      ///< As last reported.
    double usual = 1;         ///< Smoothed over the reports; at least 1.
    time_point reported_at{}; ///< When the target stated it.
};

/// Stores a reported slowdown, unless a more recent one is known.
/// @param stated_at when the target stated it, before the report's way to this instance.
void on_slowdown_reported(momentary_speed& speed, double slowdown, time_point stated_at);

/// @return the mean slowdown to expect for work that begins at @p now.
/// @param length of the work at the usual speed.
double expected_slowdown(const momentary_speed& speed, duration length, time_point now);

/// @return the mean slowdown of work that has just ended.
/// @param reported at its end; empty if nothing was reported.
/// @param taken time that the work took.
double experienced_slowdown(const momentary_speed& speed, std::optional<double> reported, duration taken);

/// @return whether the target stated so recently that it is slower than usual that this may hold still.
bool is_slow_moment(const momentary_speed& speed, time_point now);

/// Surcharge that a slow moment adds to the cost of a target with the object cached. It stays below the time
/// that a miss takes longer, so that a moment moves no object to a target without it. A target that is faster
/// than usual has no advantage, since all instances would turn to it.
/// @param slowdown as expected for the work.
/// @param expected service time and wait at the usual speed.
/// @param miss_surplus time that a miss takes longer than a hit.
duration slow_moment_cost(const momentary_speed& speed, double slowdown, duration expected,
                          duration miss_surplus);

} // namespace camphorknot::steering
