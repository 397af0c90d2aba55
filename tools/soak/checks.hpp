/// @file
/// Checks of the soak: rules that the results recorded by callers and servers must keep.
#pragma once

#include "run.hpp"

namespace soak {

/// Checks all rules, and adds what breaks them to run_state::violations.
/// @param faults_ended no fault began after this time.
void check_run(run_state& run, clock::time_point faults_ended);

} // namespace soak
