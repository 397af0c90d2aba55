/// @file
/// How long a service's current version takes to answer on a route: the measure by which an answer of a new
/// version is slow.
#pragma once

#include <cstdint>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Service times of comparable answers on one route, smoothed.
struct answer_speed {
    duration mean{};
    std::uint32_t answers = 0;
};

/// Thresholds of slow answers.
struct slowness_tuning {
    double factor = 4; ///< An answer that takes this many times the usual time is slow.
    /// Added to it: differences of the network and of scheduling, which matter to fast services.
    duration tolerance = std::chrono::milliseconds(100);
    std::uint32_t min_answers = 10; ///< Before the mean is relied on.
    double weight = 0.05;           ///< Of one answer in the mean.
};

/// Stores the service time of an answer of the current version.
void on_comparable_answer(answer_speed& speed, const slowness_tuning& tuning, duration service_time);

/// @param speed of the current version on the route.
/// @param miss_time service time without the object cached, which any answer may need.
/// @param is_comparable whether the answer needs the time of those in @p speed: the target is not cold, and
/// has the object if there is one.
/// @return the service time from which an answer is slow.
duration slow_answer_time(const answer_speed& speed, const slowness_tuning& tuning, duration miss_time,
                          bool is_comparable);

} // namespace camphorknot::steering
