/// @file
/// Clock readings of the runtime; the decisions take them as arguments.
#pragma once

#include "camphorknot/core/time.hpp"

namespace camphorknot {

/// @return the present reading of CLOCK_BOOTTIME.
time_point boot_now();

/// @return the present wall time, for deadlines that operators state.
unix_milliseconds wall_now();

} // namespace camphorknot
