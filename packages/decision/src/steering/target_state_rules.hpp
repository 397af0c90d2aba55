// What the state of one target allows at a time; shared by the updates of the pool and by the choice.
#pragma once

#include <algorithm>

#include "camphorknot/steering/target_pool.hpp"

namespace camphorknot::steering {

/// Burst of a target's allowances, in requests.
inline constexpr double allowed_burst = 1;

inline double total_load(const target_state& state)
{
    return state.own_in_flight + state.peer_in_flight;
}

inline bool is_cold(const target_state& state, time_point now)
{
    return now < state.cold_until;
}

inline double refilled_tokens(const send_allowance& allowance, time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - allowance.refilled).count();
    return std::min(allowed_burst, allowance.tokens + elapsed * allowance.rate);
}

inline bool cold_limit_allows(const target_state& state, time_point now)
{
    if (!is_cold(state, now) || state.allowance.rate <= 0) {
        return true;
    }
    return state.is_warmup_owner && refilled_tokens(state.allowance, now) >= 1;
}

inline bool named_limit_allows(const target_state& state, time_point now)
{
    return !state.is_limited || refilled_tokens(state.limit, now) >= 1;
}

inline bool is_quiet(const target_state& state, time_point now)
{
    return now < state.quiet_until;
}

// Whether the target itself allows a request of this instance now.
inline bool is_open(const target_state& state, time_point now)
{
    return named_limit_allows(state, now) && !is_quiet(state, now);
}

inline duration scaled(duration base, double factor)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

} // namespace camphorknot::steering
