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
constexpr double headroom = 1.15;

// Arrivals in a second vary by about the square root of their number (their deviation). Bursts follow the
// deviation and not the rate, so that tokens stay at idle instances for callers that move there. An account
// that ran short takes larger margins, the rate that fills its bucket within a second, and more burst, since
// tokens come with it.
struct margins {
    double rate_deviations;
    double burst_deviations;
    double requests;
};
constexpr margins short_margins = {1.0, 4.0, 3.0};
constexpr margins usual_margins = {0.3, 2.0, 2.0};
constexpr duration short_memory = std::chrono::seconds(2);

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
        demand.slow = 0; // What remains of the fast average is from before they moved.
    }
}

void follow_peak(demand_estimate& demand, double peak, double seconds)
{
    demand.fast = std::max(peak, demand.fast * decay(seconds, fast_seconds));
    demand.slow = std::max(peak, demand.slow * decay(seconds, slow_seconds));
}

// Standard deviation of the fast average, as it sees few requests at a time.
double deviation_of(double fast)
{
    return std::sqrt(fast * one_request / (2 * fast_seconds));
}

// What the traffic of the last moments says. Low estimates are taken for demand, so that a single request
// does not pass for a high rate, unless the account ran short; high ones for whether the callers have gone.
double demand_of(const budget_state& state, demand_view view)
{
    const demand_estimate& demand = state.demand;
    if (state.total.kind == budget_kind::in_flight) {
        return view == demand_view::latest ? demand.fast : std::max(demand.fast, demand.slow);
    }
    if (view == demand_view::latest) {
        return demand.fast + deviation_of(demand.fast);
    }
    const bool takes_all = view == demand_view::wanted && demand.is_short;
    const double fast = takes_all ? demand.fast : demand.fast - 2 * deviation_of(demand.fast);
    return std::max(fast, demand.slow);
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

void update_demand(budget_state& state, bool is_short, time_point now)
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
    advance(account, now);
    state.demand.is_short = is_short;
    state.demand.was_short = is_short || now < state.demand.short_until;
    if (is_short) {
        state.demand.short_until = now + short_memory;
    }
    state.demand.tokens = account.tokens;
    account.asked = 0;
    account.refused = 0;
    account.peak_in_use = account.in_use;
    state.demand.updated = now;
}

share wanted_share(const budget_state& state, demand_view view)
{
    const double demand = demand_of(state, view);
    if (demand < idle_demand) {
        return {};
    }
    const budget_amount& total = state.total.total;
    if (state.total.kind == budget_kind::in_flight) {
        return {0, std::min(total.burst, whole_permits(headroom * demand + one_request))};
    }
    const double deviation = std::sqrt(demand * one_request);
    const bool takes_more = view == demand_view::wanted && state.demand.was_short;
    const margins& kept = takes_more ? short_margins : usual_margins;
    const std::int64_t burst =
        std::min(total.burst, rounded(kept.requests * one_request + kept.burst_deviations * deviation));
    const double missing =
        takes_more ? static_cast<double>(std::max<std::int64_t>(burst - state.demand.tokens, 0)) : 0.0;
    const double rate = headroom * demand + kept.rate_deviations * deviation + missing;
    return {std::min(total.rate_per_second, rounded(rate)), std::min(total.burst, burst + rounded(missing))};
}

} // namespace camphorknot::internal
