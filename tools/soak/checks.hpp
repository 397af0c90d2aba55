/// @file
/// Checks of the soak: rules that the results recorded by callers and servers must keep.
#pragma once

#include <span>
#include <string>

#include "run.hpp"

namespace soak {

/// Adds a violation, or prints it if the rule is the run's known_red.
void report_violation(run_state& run, const std::string& rule, const std::string& detail);

/// @return whether an interval of the instance overlaps the time from @p from to @p to.
bool is_at(std::span<const run_state::instance_interval> intervals, const std::string& instance,
           clock::time_point from, clock::time_point to);

/// Checks all rules, and adds what breaks them to run_state::violations.
/// @param faults_ended no fault began after this time.
void check_run(run_state& run, clock::time_point faults_ended);

} // namespace soak
