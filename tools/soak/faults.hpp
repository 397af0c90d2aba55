/// @file
/// Faults and changes of the soak.
#pragma once

#include <functional>

#include "run.hpp"

namespace soak {

/// Calls @p action after @p delay, unless the run ends before.
void schedule_after(run_state& run, seconds delay, std::function<void()> action);

/// Schedules faults and changes at random times; they may overlap.
/// @param fault_seconds time in which they begin, in seconds from now.
void schedule_faults(run_state& run, double fault_seconds);

} // namespace soak
