/// @file
/// Faults of servers that announce something in their answers, and of a store that returns from an old copy.
#pragma once

#include "run.hpp"

namespace soak {

/// Schedules these faults at random times.
/// @param fault_seconds as for schedule_faults.
void schedule_announcements(run_state& run, double fault_seconds);

/// Checks that announcing servers get no more requests than they may.
void check_announcements(run_state& run);

} // namespace soak
