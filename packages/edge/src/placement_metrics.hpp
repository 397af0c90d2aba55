/// @file
/// Metrics that show what placement has learned.
#pragma once

#include "camphorknot/kernel/metrics.hpp"
#include "camphorknot/steering/target_pool.hpp"

namespace camphorknot::edge {

/// Publishes the expected service times of each service and, where two or more routes use it, of each route
/// that was measured. The others have the times of their service.
void publish_profiles(metrics& registry, const steering::target_pool& pool);

/// Publishes the number of targets that reported a slow moment of their machines.
void publish_slow_targets(metrics& registry, const steering::target_pool& pool, time_point now);

} // namespace camphorknot::edge
