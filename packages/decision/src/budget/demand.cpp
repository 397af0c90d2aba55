// Demand estimate: two moving averages, and what they call for.
#include <algorithm>
#include <cmath>
#include <mutex>

#include "rounds.hpp"

namespace camphorknot::internal {
namespace {

constexpr double fast_seconds = 0.1; ///< Follows a change of callers within a round.
constexpr double slow_seconds = 2.0; ///< Keeps loans through gaps between requests.
// Below this demand an instance needs no share: 0.05 requests per second.
constexpr double idle_demand = 50;
// From this demand on, a fast average below an eighth of the slow one is no accident: 12 requests would be
// expected in its window, and e^-12 is the chance of none.
constexpr double moved_demand = 60'000;
constexpr double moved_part = 0.125;
constexpr double headroom = 1.3;

double decay(double seconds, double time_constant)
{
    return std::exp(-seconds / time_constant);
}

void follow_rate(demand_estimate& demand, double asked, double seconds)
{
    const double rate = asked / seconds;
    const auto follow = [&](double& average, double time_constant) {
        average += (1.0 - decay(seconds, time_constant)) * (rate - average);
    };
    follow(demand.fast, fast_seconds);
    follow(demand.slow, slow_seconds);
    if (demand.slow > moved_demand && demand.fast < moved_part * demand.slow) {
        demand.slow = demand.fast;
    }
}

void follow_peak(demand_estimate& demand, double peak, double seconds)
{
    demand.fast = std::max(peak, demand.fast * decay(seconds, fast_seconds));
    demand.slow = std::max(peak, demand.slow * decay(seconds, slow_seconds));
}

// The fast average less two standard deviations, so that a single request does not pass for a high rate.
double without_noise(double fast)
{
    const double deviation = std::sqrt(fast * one_request / (2 * fast_seconds));
    return std::max(0.0, fast - 2 * deviation);
}

std::int64_t rounded(double amount)
{
    return static_cast<std::int64_t>(std::ceil(amount));
}

std::int64_t whole_permits(double thousandths)
{
    return rounded(thousandths / one_request) * one_request;
}

} // namespace

void update_demand(budget_state& state, time_point now)
{
    if (state.demand.updated == time_point{}) {
        // The first requests after an idle time count as if they had come within one fast window.
        state.demand.updated = now - std::chrono::milliseconds(100);
    }
    const double seconds = std::chrono::duration<double>(now - state.demand.updated).count();
    if (seconds <= 0) {
        return;
    }
    const std::lock_guard lock(state.account->mutex);
    budget_account& account = *state.account;
    if (account.kind == budget_kind::rate) {
        follow_rate(state.demand, static_cast<double>(account.asked), seconds);
    } else {
        follow_peak(state.demand, static_cast<double>(account.peak_in_use + account.refused), seconds);
    }
    state.demand.refused = account.refused > 0;
    account.asked = 0;
    account.refused = 0;
    account.peak_in_use = account.in_use;
    state.demand.updated = now;
}

share wanted_share(const budget_state& state, bool fast_only)
{
    const double fast = state.total.kind == budget_kind::rate && !state.demand.refused
                            ? without_noise(state.demand.fast)
                            : state.demand.fast;
    const double demand = fast_only ? fast : std::max(fast, state.demand.slow);
    const budget_amount& total = state.total.total;
    if (demand < idle_demand) {
        return {};
    }
    if (state.total.kind == budget_kind::in_flight) {
        return {0, std::min(total.burst, whole_permits(headroom * demand + one_request))};
    }
    // Arrivals vary by about the square root of their number.
    const double rate = headroom * demand + 2 * std::sqrt(demand * one_request);
    const share wanted = {std::min(total.rate_per_second, rounded(rate)), 0};
    const double part = static_cast<double>(wanted.rate) /
                        static_cast<double>(std::max<std::int64_t>(total.rate_per_second, 1));
    const auto burst = rounded(part * static_cast<double>(total.burst));
    return {wanted.rate, std::min(total.burst, std::max(burst, 2 * one_request))};
}

} // namespace camphorknot::internal
