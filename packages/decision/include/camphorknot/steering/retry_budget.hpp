/// @file
/// Limits how many requests are sent to a second target, so that retries do not amplify an overload.
#pragma once

#include <array>
#include <cstdint>

#include "camphorknot/steering/model.hpp"

namespace camphorknot::steering {

/// Requests and retries of one service at one instance, counted over a sliding window in steps of a tenth of
/// operating_bounds::retry_window.
struct retry_budget {
    static constexpr std::size_t steps = 11; ///< The window and the step that is being filled.
    std::array<std::uint32_t, steps> requests{};
    std::array<std::uint32_t, steps> retries{};
    std::int64_t newest = 0; ///< Number of the current step since the clock's epoch.
};

/// Counts a request that is sent for the first time.
void count_request(retry_budget& budget, const operating_bounds& limits, time_point now);

/// Counts a retry if the limits allow it.
/// @param instances size of the fleet, which divides operating_bounds::retry_allowance equally.
/// @return whether the retry is allowed.
bool take_retry(retry_budget& budget, const operating_bounds& limits, std::size_t instances, time_point now);

} // namespace camphorknot::steering
