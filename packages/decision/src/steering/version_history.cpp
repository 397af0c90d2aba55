#include "camphorknot/steering/version_history.hpp"

namespace camphorknot::steering {

void on_version_answered(version_history& history, time_point now)
{
    history.answered_at = now;
}

void on_target_ended(version_history& history, bool others_reachable, time_point now)
{
    if (!others_reachable) {
        history.isolated_end_at = now;
    }
}

bool may_blame_requests(const version_history& history, duration isolation_time, time_point now)
{
    const bool was_isolated = history.isolated_end_at && now - *history.isolated_end_at < isolation_time;
    return !was_isolated || (history.answered_at && *history.answered_at > *history.isolated_end_at);
}

} // namespace camphorknot::steering
