/// @file
/// What an instance has seen of a version of a service: whether the end of a target may say something about
/// the requests that ran there, or this instance may be cut off.
#pragma once

#include <optional>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// One version of a service, as seen by this instance.
struct version_history {
    std::optional<time_point> answered_at{};     ///< Last answer to any request.
    std::optional<time_point> isolated_end_at{}; ///< Last end while no other target could be reached.
};

/// Stores that a target of the version answered a request.
void on_version_answered(version_history& history, time_point now);

/// Stores that a target of the version ended.
/// @param others_reachable whether another target could be reached then.
void on_target_ended(version_history& history, bool others_reachable, time_point now);

/// @return whether the end of a target may be due to a request that ran there. It may not for @p
/// isolation_time after an end while no other target could be reached, unless the version has answered
/// something since.
bool may_blame_requests(const version_history& history, duration isolation_time, time_point now);

} // namespace camphorknot::steering
