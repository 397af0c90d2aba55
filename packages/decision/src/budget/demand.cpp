// Demand estimate: two moving averages of the demand, and the share computed from them.
#include <algorithm>
#include <cmath>
#include <mutex>

#include "rounds.hpp"

namespace camphorknot::internal {
namespace {

constexpr double fast_time_constant_s = 0.1; ///< Follows a change of callers within a round.
constexpr double slow_time_constant_s = 2.0; ///< Keeps loans during gaps between requests.
// Below this demand (thousandths; 0.05 requests per second) an instance needs no share.
constexpr double idle_demand = 50;
// From this demand on, a fast average below an eighth of the slow one means that the callers moved elsewhere:
// 6 requests are expected in 100 ms, 12 in the window of the fast average (200 ms), and the probability that
// none arrives is e^-12.
constexpr double min_moved_demand = 60'000;
constexpr double moved_fraction = 0.125;
constexpr double headroom_factor = 1.15;

// The number of arrivals in a second varies by about its square root (the standard deviation). The burst
// grows with the deviation and not with the rate, so that tokens stay at idle instances for callers that move
// there. After a shortage the margins are larger: a rate that fills the bucket within a second, and more
// burst, since a loan hands over tokens in proportion to its burst.
struct margins {
    double rate_deviations;
    double burst_deviations;
    double base_requests;
};
constexpr margins short_margins = {1.0, 4.0, 3.0};
constexpr margins default_margins = {0.3, 2.0, 2.0};
constexpr duration shortage_memory = std::chrono::seconds(2);

double decay(double seconds, double time_constant)
{
    return std::exp(-seconds / time_constant);
}

void update_rate_averages(demand_estimate& demand, double requested, double seconds)
{
    const double rate = requested / seconds;
    const auto update_average = [&](double& average, double time_constant) {
        average += (1.0 - decay(seconds, time_constant)) * (rate - average);
    };
    update_average(demand.fast, fast_time_constant_s);
    update_average(demand.slow, slow_time_constant_s);
    if (demand.slow > min_moved_demand && demand.fast < moved_fraction * demand.slow) {
        demand.slow = 0; // The rest of the fast average dates from before the callers moved.
    }
}

void update_peak_averages(demand_estimate& demand, double peak, double seconds)
{
    demand.fast = std::max(peak, demand.fast * decay(seconds, fast_time_constant_s));
    demand.slow = std::max(peak, demand.slow * decay(seconds, slow_time_constant_s));
}

// Standard deviation of the fast average, whose window covers only a few requests.
double compute_deviation(double fast)
{
    return std::sqrt(fast * one_request / (2 * fast_time_constant_s));
}

// Estimates the demand from the averages. Two deviations are subtracted from the fast average, so
// that a single request is not mistaken for a high rate, unless the account is short. The latest view, used
// to decide whether the callers have gone, adds one deviation to the fast average.
double estimate_demand(const budget_state& state, demand_view view)
{
    const demand_estimate& demand = state.demand;
    if (state.total.kind == budget_kind::in_flight) {
        return view == demand_view::latest ? demand.fast : std::max(demand.fast, demand.slow);
    }
    if (view == demand_view::latest) {
        return demand.fast + compute_deviation(demand.fast);
    }
    const bool use_full_average = view == demand_view::wanted && demand.is_short;
    const double fast = use_full_average ? demand.fast : demand.fast - 2 * compute_deviation(demand.fast);
    return std::max(fast, demand.slow);
}

std::int64_t round_up(double amount)
{
    return static_cast<std::int64_t>(std::ceil(amount));
}

std::int64_t round_up_to_permits(double thousandths)
{
    return round_up(thousandths / one_request) * one_request;
}

} // namespace

void update_demand(budget_state& state, bool is_short, time_point now)
{
    if (state.demand.updated == time_point{}) {
        // The first requests after an idle time count as if they arrived within one fast time constant.
        state.demand.updated = now - std::chrono::milliseconds(100);
    }
    const double seconds = std::chrono::duration<double>(now - state.demand.updated).count();
    if (seconds <= 0) {
        return;
    }
    const std::lock_guard lock(state.account->mutex);
    budget_account& account = *state.account;
    if (account.kind == budget_kind::rate) {
        update_rate_averages(state.demand, static_cast<double>(account.requested), seconds);
    } else {
        update_peak_averages(state.demand, static_cast<double>(account.peak_in_use + account.refused),
                             seconds);
    }
    advance(account, now);
    state.demand.is_short = is_short;
    state.demand.was_short = is_short || now < state.demand.short_until;
    if (is_short) {
        state.demand.short_until = now + shortage_memory;
    }
    state.demand.tokens = account.tokens;
    account.requested = 0;
    account.refused = 0;
    account.peak_in_use = account.in_use;
    state.demand.updated = now;
}

share wanted_share(const budget_state& state, demand_view view)
{
    const double demand = estimate_demand(state, view);
    if (demand < idle_demand) {
        return {};
    }
    const budget_amount& total = state.total.total;
    if (state.total.kind == budget_kind::in_flight) {
        return {0, std::min(total.burst, round_up_to_permits(headroom_factor * demand + one_request))};
    }
    const double deviation = std::sqrt(demand * one_request);
    const bool use_short_margins = view == demand_view::wanted && state.demand.was_short;
    const margins& chosen = use_short_margins ? short_margins : default_margins;
    const std::int64_t burst = std::min(
        total.burst, round_up(chosen.base_requests * one_request + chosen.burst_deviations * deviation));
    const double missing_tokens =
        use_short_margins ? static_cast<double>(std::max<std::int64_t>(burst - state.demand.tokens, 0)) : 0.0;
    const double rate = headroom_factor * demand + chosen.rate_deviations * deviation + missing_tokens;
    return {std::min(total.rate_per_second, round_up(rate)),
            std::min(total.burst, burst + round_up(missing_tokens))};
}

} // namespace camphorknot::internal
