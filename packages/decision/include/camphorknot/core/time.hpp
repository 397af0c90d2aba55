/// @file
/// Time types. This package reads no clock: callers pass in the time.
#pragma once

#include <chrono>
#include <cstdint>

namespace camphorknot {

/// Tag for readings of CLOCK_BOOTTIME. That clock also advances while the machine is suspended, so the leases
/// of a suspended process have expired when it resumes. The runtime reads the clock; this package only
/// compares and adds readings.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

/// Milliseconds since the Unix epoch. Used only for deadlines that operators set, never for leases or terms.
using unix_milliseconds = std::int64_t;

/// Maximum assumed difference in speed between two clocks, in percent. Whoever waits for another instance's
/// term to end (a lender, an instance that fences another) waits this much longer. Two clocks that are each
/// off by up to 5% differ by up to 1.05 / 0.95, which is above 10%.
inline constexpr int clock_drift_percent = 11;

/// @return @p term extended by the assumed clock drift.
constexpr duration with_drift(duration term)
{
    return term + term * clock_drift_percent / 100;
}

} // namespace camphorknot
