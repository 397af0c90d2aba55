/// @file
/// Selects the instances of a failure domain that the directory names to callers.
///
/// Designed for a failure domain with a few strong and many weak instances. Spread over all of them, requests
/// wait for weak processors and links, and each instance sees too few requests to know the load of the
/// targets and which objects they cache. The strongest instances that carry the load do better alone.
#pragma once

#include <span>
#include <vector>

#include "camphorknot/steering/fleet.hpp"

namespace camphorknot::steering {

/// Limits of the selection.
struct front_selection_tuning {
    /// Processor time of one request, of a core of speed 1.
    duration cpu_per_request = std::chrono::microseconds(500);
    /// Fraction of its processor that the requests of a selected instance may use. The rest covers bursts.
    double max_utilization = 0.7;
    std::size_t min_instances = 2;
    std::size_t max_instances = 64; ///< Limit of a directory answer.
};

/// Selects the smallest number of strongest instances that carries the load. Instances of equal strength are
/// selected together, since callers choose among the selected ones with equal probability. If no selection
/// carries the load, the one with the lowest utilization is returned.
/// @param requests_per_s of all callers of these instances together.
/// @return the selected contacts, in their order.
std::vector<instance_contact> select_fronts(std::vector<instance_contact> contacts, double requests_per_s,
                                            const front_selection_tuning& tuning);

} // namespace camphorknot::steering
