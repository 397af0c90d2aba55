/// @file
/// Clocks of the runtime. Decision code never reads a clock; it gets the time as an argument.
#pragma once

#include "camphorknot/core/time.hpp"

namespace camphorknot {

/// @return the current CLOCK_BOOTTIME reading: monotonic, and counts while the machine is suspended.
time_point boot_now();

/// @return the current wall-clock time, for deadlines set by operators.
unix_milliseconds wall_now();

} // namespace camphorknot
