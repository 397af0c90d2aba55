// Holds of rollouts: the verdict "keep the share of the canary" in the store, for instances that do not see
// the fleet.

#include "control.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Period at which an instance that does not see the fleet reads the hold of a rollout.
constexpr duration hold_read_period = std::chrono::milliseconds(500);
// Instances that record the same hold, so that it is recorded if one of them does not reach the store.
constexpr std::size_t hold_recorders = 2;

// Reads whether the fleet holds the version, for an instance that does not see the fleet.
asio::awaitable<void> read_hold(control_state& state, steering::rollout_order order)
{
    const flag_reset pending(state.hold_read_pending);
    const time_point began_at = boot_now();
    const std::optional<steering::rollout_hold> hold =
        co_await platform::read_rollout_hold(state.read_client, order.service);
    const auto run = state.rollout_runs.find(order.service);
    if (!hold || run == state.rollout_runs.end() || run->second.order.order_version != order.order_version) {
        co_return;
    }
    run->second.known_hold = *hold;
    run->second.hold_read_at = began_at;
}

// Records for instances that do not see the fleet whether it holds the version.
asio::awaitable<void> write_hold(control_state& state, steering::rollout_order order, bool held)
{
    const platform::store_answer answer = co_await platform::write_rollout_hold(
        state.write_client, order.service, {order.order_version, held, 0});
    log_event(log_severity::info, "rollout_hold_write",
              {{"service", order.service},
               {"version", order.version},
               {"held", held ? "true" : "false"},
               {"outcome", std::string(platform::name_of(answer.status))}});
}

} // namespace

void record_hold(control_state& state, steering::rollout_run& run, time_point now)
{
    const bool is_recorder =
        steering::assignment_rank(state.fleet, "rollout/" + run.order.service, now) < hold_recorders;
    if (is_recorder && run.held != run.hold_recorded && !run.stopped) {
        run.hold_recorded = run.held;
        spawn_task(state.context, write_hold(state, run.order, run.held), "write_hold");
    }
}

bool is_promoted(control_state& state, const steering::rollout_run& run, bool has_view,
                 std::span<const steering::version_counts> counts, time_point now)
{
    const steering::rollout_tuning tuning;
    if (!has_view && !state.hold_read_pending &&
        (!run.hold_read_at || now - *run.hold_read_at >= hold_read_period)) {
        state.hold_read_pending = true;
        spawn_task(state.context, read_hold(state, run.order), "read_hold");
    }
    return (has_view || steering::is_hold_excluded(run, tuning, now)) &&
           steering::may_promote(counts, run.evidence, run.order, tuning);
}

std::optional<platform::rollout_hold_row> hold_relied_on(const control_state& state,
                                                         const steering::rollout_run& run, time_point now)
{
    if (run.completed || sees_fleet(state, now)) {
        return std::nullopt;
    }
    return platform::rollout_hold_row{run.order.service, run.known_hold.record_version};
}

} // namespace camphorknot::edge
