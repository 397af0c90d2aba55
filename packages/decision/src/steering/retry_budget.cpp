#include "camphorknot/steering/retry_budget.hpp"

#include <algorithm>
#include <numeric>

namespace camphorknot::steering {
namespace {

// Fractions of the limits that are used. The rest covers the windows of other instances, which begin at other
// times.
constexpr double used_ratio_fraction = 0.75;
constexpr double used_allowance_fraction = 0.6;

std::size_t index_of(std::int64_t step)
{
    return static_cast<std::size_t>(step % static_cast<std::int64_t>(retry_budget::steps));
}

void advance(retry_budget& budget, const operating_bounds& limits, time_point now)
{
    const duration step = limits.retry_window / static_cast<std::int64_t>(retry_budget::steps - 1);
    const std::int64_t current = now.time_since_epoch() / step;
    const std::int64_t last_expired = current - static_cast<std::int64_t>(retry_budget::steps);
    for (std::int64_t step_number = std::max(budget.newest, last_expired) + 1; step_number <= current;
         ++step_number) {
        budget.requests.at(index_of(step_number)) = 0;
        budget.retries.at(index_of(step_number)) = 0;
    }
    budget.newest = std::max(budget.newest, current);
}

double sum(const std::array<std::uint32_t, retry_budget::steps>& counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0.0);
}

} // namespace

void count_request(retry_budget& budget, const operating_bounds& limits, time_point now)
{
    advance(budget, limits, now);
    ++budget.requests.at(index_of(budget.newest));
}

bool take_retry(retry_budget& budget, const operating_bounds& limits, std::size_t instances, time_point now)
{
    advance(budget, limits, now);
    const double own_allowance = used_allowance_fraction * limits.retry_allowance /
                                 static_cast<double>(std::max<std::size_t>(1, instances));
    const double allowed = used_ratio_fraction * limits.retry_ratio * sum(budget.requests) + own_allowance;
    if (sum(budget.retries) + 1 > allowed) {
        return false;
    }
    ++budget.retries.at(index_of(budget.newest));
    return true;
}

} // namespace camphorknot::steering
