/// @file
/// How long a service's current version takes to answer on a route: the measures by which an answer of a new
/// version is slow, and by which a request without an answer is judged.
#pragma once

#include <array>
#include <cstdint>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Service times of comparable answers on one route, smoothed.
struct answer_speed {
    duration mean{};
    std::uint32_t answers = 0;
};

/// Latest service times of the current version on one route, with and without the object cached.
struct recent_answers {
    static constexpr std::size_t capacity = 32;
    std::array<duration, capacity> times{};
    std::uint64_t count = 0; ///< Since the start; the oldest time is replaced.
};

/// Thresholds of slow answers.
struct slowness_tuning {
    double factor = 4; ///< An answer that takes this many times the usual time is slow.
    /// Added to it: differences of the network and of scheduling, which matter to fast services.
    duration tolerance = std::chrono::milliseconds(100);
    std::uint32_t min_answers = 10;       ///< Before the mean is relied on.
    double weight = 0.05;                 ///< Of one answer in the mean.
    std::uint64_t min_recent_answers = 3; ///< Before the latest service times are relied on.
    /// A request is judged at this many times the longest usual time, which suffices if the object is cached
    /// at the targets of the current version only,
    double judged_factor = 5;
    /// or earlier, at this many times the usual time or the time of a miss, whichever is longer.
    double min_judged_factor = 1.5;
    double judged_miss_factor = 2.5;
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

/// Stores the service time of an answer of the current version.
void on_answer(recent_answers& recent, duration service_time);

/// @return the second longest of the latest service times, which a single exception does not change; of a
/// few, the longest.
duration longest_usual_time(const recent_answers& recent);

/// @param speed of the current version on the route.
/// @param recent of the current version on the route.
/// @param miss_time as for slow_answer_time.
/// @param is_comparable likewise.
/// @return the age at which a request is judged (rollout_evidence.hpp).
duration judgement_age(const answer_speed& speed, const recent_answers& recent, const slowness_tuning& tuning,
                       duration miss_time, bool is_comparable);

} // namespace camphorknot::steering
