/// @file
/// Report of a run on standard output.
#pragma once

#include "judge.hpp"

namespace fleet_load {

/// Prints the run's figures, each finding and the summaries. @return whether no clause was broken.
bool print_report(const run_state& run);

} // namespace fleet_load
