// What a process must keep to whatever its callers, targets and peers send.
#pragma once

#include "process_fixture.hpp"

namespace crowd_tests {

inline constexpr std::size_t mb = std::size_t{1024} * 1024;

/// Limits of the smallest machine.
struct survival_bounds {
    std::size_t resident_kb = std::size_t{112} * 1024;
    std::size_t descriptors = 2870;
};

/// Checks that the process lives and keeps to the bounds.
void check_bounds(const process_fixture& process, const survival_bounds& bounds = {});

/// Checks the bounds, and that an ordinary request is answered, while the connections of a crowd are open.
void check_survival(const process_fixture& process, const survival_bounds& bounds = {});

} // namespace crowd_tests
