/// @file
/// Time as the decisions see it: readings that the caller passes in, never read from a clock here.
#pragma once

#include <chrono>
#include <cstdint>

namespace camphorknot {

/// Tag for readings of CLOCK_BOOTTIME, which goes on while a machine is suspended, so that a paused process
/// wakes up with its leases expired. The runtime reads it; the decisions only compare and add.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

/// Milliseconds since the Unix epoch. Used only for deadlines that operators state, never for leases or
/// terms.
using unix_milliseconds = std::int64_t;

/// Highest assumed difference in speed between two clocks, in percent; lenders and fencers wait this much
/// longer. Two clocks that are each off by up to 5% differ by up to 1.05 / 0.95, which is above 10%.
inline constexpr int clock_drift_percent = 11;

/// @return @p term lengthened by the assumed clock drift.
constexpr duration with_drift(duration term)
{
    return term + term * clock_drift_percent / 100;
}

} // namespace camphorknot
