/// @file
/// Shift cap: bounds the growth of this instance's request rate into one region for one service.
#pragma once

#include "camphorknot/core/time.hpp"

namespace camphorknot::internal {

/// Limits of one instance's ramp into a region.
struct ramp_limits {
    double growth_per_second = 0; ///< This instance's part of the shift cap, in requests/s per second.
    double base_rate = 0;         ///< Requests/s that a region without load takes without a ramp.
};

/// Token bucket whose refill rate, the ceiling, follows the measured request rate. Rates are in requests/s.
///
/// The ceiling rises by at most @c growth_per_second and only up to the measured rate plus a margin of
/// two seconds of growth and three standard deviations of a Poisson count, so a steady load is never refused
/// because of random fluctuation. It falls slowly, so a load that pauses for seconds resumes without a ramp.
/// It is never below @c base_rate, and the bucket holds at least a few requests, so that a region without
/// load can start.
struct region_ramp {
    double measured_rate = 0;
    double ceiling = 0;
    double tokens = 0;
    time_point updated{};
    bool started = false;
};

/// Advances the ramp to @p now. Without @p enforced, the ceiling rises with the measured rate at once.
void advance(region_ramp& ramp, const ramp_limits& limits, bool enforced, time_point now);

/// @return whether the ramp admits one more request.
bool has_token(const region_ramp& ramp);

/// Counts a request that was sent to the region; takes a token if @p enforced.
void take_token(region_ramp& ramp, bool enforced);

/// @return the time until has_token holds.
duration time_to_token(const region_ramp& ramp);

} // namespace camphorknot::internal
