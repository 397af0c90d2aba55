#include "relay.hpp"

namespace camphorknot::daemon_internal {
namespace {

// A request that waits for its target is checked this often for a revoked key or lost authority.
constexpr auto abort_check_period = std::chrono::milliseconds(100);

// Running attempts of a request. Either is null if it was not started or has ended.
struct attempts {
    exchange_handle primary;
    exchange_handle hedge;
};

enum class relay_action : std::uint8_t { wait, answer, start_retry, give_up };
struct relay_step {
    relay_action action = relay_action::wait;
    exchange_handle winner;
    refusal why;
};

outcome outcome_so_far(const relay_state& request)
{
    return request.may_have_run ? outcome::unknown : outcome::not_run;
}

bool can_resend(const relay_state& request)
{
    return request.body != body_mode::streamed || !request.body_started;
}

void discard_attempt(exchange_handle& attempt_state, attempt_result result)
{
    if (attempt_state != nullptr) {
        finish_attempt(*attempt_state, result);
        abandon(*attempt_state);
        attempt_state.reset();
    }
}

relay_step make_stop_step(const relay_state& request, refusal_reason reason)
{
    return {relay_action::give_up, nullptr, {reason, outcome_so_far(request), duration::zero()}};
}

// Returns the reason to stop the request independently of its attempts, or none.
refusal_reason find_stop_reason(const relay_state& request, time_point now)
{
    if (request.caller_disconnected) {
        return refusal_reason::cancelled;
    }
    if (request.body_failure != refusal_reason::none) {
        return request.body_failure;
    }
    if (now >= request.admitted.deadline) {
        return refusal_reason::deadline_exceeded;
    }
    return request.owner.shared.decisions.abort_reason(request.admitted, now);
}

bool reports_not_run(const exchange& state)
{
    const auto& head = state.answer->get();
    const bool has_shed_status = head.result() == http::status::service_unavailable ||
                                 head.result() == http::status::too_many_requests;
    return has_shed_status && std_view(head[beast_view(header_shed)]) == "1";
}

attempt_result attempt_result_of(const exchange& state)
{
    if (state.stage == exchange_stage::failed) {
        return state.failure;
    }
    if (reports_not_run(state)) {
        return attempt_result::shed_before_run;
    }
    const bool server_error = state.answer->get().result_int() >= 500;
    return server_error ? attempt_result::server_error : attempt_result::answered;
}

// If the last running attempt certainly did not run the request, resets may_have_run to its value before the
// attempts: such a request may be retried on any route, and a refusal may report it as not run.
void restore_may_have_run(relay_state& request, const attempts& running, attempt_result result,
                          bool earlier_may_have_run)
{
    const bool certain =
        result == attempt_result::connect_failed || result == attempt_result::shed_before_run;
    if (certain && running.hedge == nullptr && running.primary == nullptr) {
        request.may_have_run = earlier_may_have_run;
    }
}

// Handles the end of the attempt in @p slot. Resets @p slot unless the attempt's answer is to be relayed.
relay_step on_attempt_ended(relay_state& request, attempts& running, exchange_handle& slot,
                            bool earlier_may_have_run)
{
    const attempt_result result = attempt_result_of(*slot);
    if (result == attempt_result::answered) {
        return {relay_action::answer, slot, {}};
    }
    if (result == attempt_result::server_error && !can_resend(request)) {
        return {relay_action::answer, slot, {}};
    }
    const exchange_handle ended_attempt = slot;
    const retry_answer next = finish_attempt(*ended_attempt, result);
    const bool retry = next.decision == retry_decision::retry && can_resend(request);
    const exchange_handle& other = &slot == &running.primary ? running.hedge : running.primary;
    if (result == attempt_result::server_error && !retry && other == nullptr) {
        return {relay_action::answer, ended_attempt, {}};
    }
    abandon(*ended_attempt);
    slot.reset();
    if (other != nullptr) {
        return {};
    }
    restore_may_have_run(request, running, result, earlier_may_have_run);
    if (retry) {
        return {relay_action::start_retry, nullptr, {}};
    }
    refusal why = next.why;
    if (next.decision == retry_decision::retry || why.reason == refusal_reason::none) {
        why = {refusal_reason::target_failed, outcome::unknown, duration::zero()};
    }
    // This attempt may not have run the request, but an earlier one may have.
    why.run = request.may_have_run ? outcome::unknown : why.run;
    return {relay_action::give_up, nullptr, why};
}

bool hedge_is_due(const relay_state& request, const attempts& running, time_point now)
{
    if (running.hedge != nullptr || running.primary == nullptr || !running.primary->chosen.hedge_after) {
        return false;
    }
    const bool waits_for_answer = running.primary->stage == exchange_stage::sent;
    const bool body_is_resendable = request.body != body_mode::streamed;
    return waits_for_answer && body_is_resendable && request.admitted.idempotent &&
           now >= running.primary->started + *running.primary->chosen.hedge_after;
}

void start_hedge(const relay_handle& request, attempts& running, time_point now)
{
    auto& decisions = request->owner.shared.decisions;
    const attempt_answer answer = decisions.begin_attempt(request->admitted, request->tried_targets, now);
    running.primary->chosen.hedge_after.reset();
    if (answer.next) {
        request->owner.shared.counters.hedges->fetch_add(1, std::memory_order_relaxed);
        running.hedge = start_exchange(request, *answer.next);
        running.hedge->chosen.hedge_after.reset();
    }
}

void probe_if_silent(const exchange_handle& state, time_point now)
{
    if (state == nullptr || state->stage != exchange_stage::sent || state->probe_started ||
        !state->connection_reused) {
        return;
    }
    worker& owner = state->request->owner;
    if (now - state->sent_at >= owner.shared.settings.limits.progress_timeout) {
        state->probe_started = true;
        asio::co_spawn(owner.io, probe_silent_target(state), asio::detached);
    }
}

bool has_ended(const exchange_handle& state)
{
    return state != nullptr &&
           (state->stage == exchange_stage::answered || state->stage == exchange_stage::failed);
}

relay_step check_attempts(const relay_handle& request, attempts& running, bool earlier_may_have_run)
{
    const time_point now = boot_now();
    const refusal_reason stop = find_stop_reason(*request, now);
    if (stop != refusal_reason::none) {
        relay_step next_step = make_stop_step(*request, stop);
        const bool late = stop == refusal_reason::deadline_exceeded;
        discard_attempt(running.primary, late ? attempt_result::timed_out : attempt_result::cancelled);
        discard_attempt(running.hedge, attempt_result::cancelled);
        return next_step;
    }
    for (exchange_handle* slot : {&running.primary, &running.hedge}) {
        if (has_ended(*slot)) {
            relay_step next_step = on_attempt_ended(*request, running, *slot, earlier_may_have_run);
            if (next_step.action != relay_action::wait) {
                return next_step;
            }
        }
    }
    if (hedge_is_due(*request, running, now)) {
        start_hedge(request, running, now);
    }
    probe_if_silent(running.primary, now);
    probe_if_silent(running.hedge, now);
    return {};
}

duration max_wait(const relay_state& request, const attempts& running)
{
    const time_point now = boot_now();
    duration wait = std::min<duration>(abort_check_period, request.admitted.deadline - now);
    if (running.hedge == nullptr && running.primary != nullptr && running.primary->chosen.hedge_after) {
        wait = std::min(wait, running.primary->started + *running.primary->chosen.hedge_after - now);
    }
    return std::max<duration>(wait, std::chrono::milliseconds(1));
}

awaitable<relay_step> wait_for_attempts(relay_handle request, std::reference_wrapper<attempts> running,
                                        bool earlier_may_have_run)
{
    while (true) {
        relay_step next_step = check_attempts(request, running, earlier_may_have_run);
        if (next_step.action != relay_action::wait) {
            co_return next_step;
        }
        request->wake.expires_after(max_wait(*request, running));
        error_code ec;
        co_await request->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

refusal end_with_refusal(relay_state& request, const refusal& why)
{
    request.caller->active_request = nullptr;
    request.owner.shared.decisions.end_request(
        request.admitted, why.run, static_cast<std::uint16_t>(status_of(why.reason)), {}, boot_now());
    return why;
}

} // namespace

awaitable<refusal> relay_request(relay_handle request)
{
    if (request->body == body_mode::buffered) {
        const refusal_reason failure = co_await read_buffered_body(request);
        if (failure != refusal_reason::none) {
            co_return end_with_refusal(*request, {failure, outcome::not_run, duration::zero()});
        }
    }
    request->caller->active_request = request.get();
    if (request->body != body_mode::streamed) {
        watch_for_disconnect(request->caller);
    }
    auto& shared = request->owner.shared;
    while (true) {
        const attempt_answer next =
            shared.decisions.begin_attempt(request->admitted, request->tried_targets, boot_now());
        if (!next.next) {
            refusal why = next.why;
            why.run = request->may_have_run ? outcome::unknown : why.run;
            co_return end_with_refusal(*request, why);
        }
        const bool earlier_may_have_run = request->may_have_run;
        attempts running;
        running.primary = start_exchange(request, *next.next);
        const relay_step next_step = co_await wait_for_attempts(request, running, earlier_may_have_run);
        if (next_step.action == relay_action::give_up) {
            co_return end_with_refusal(*request, next_step.why);
        }
        if (next_step.action == relay_action::answer) {
            const bool primary_won = next_step.winner == running.primary;
            discard_attempt(primary_won ? running.hedge : running.primary, attempt_result::cancelled);
            const bool complete = co_await relay_answer(request, next_step.winner);
            request->caller->active_request = nullptr;
            request->keep_alive = request->keep_alive && complete;
            co_return refusal{};
        }
        shared.counters.retries->fetch_add(1, std::memory_order_relaxed);
    }
}

} // namespace camphorknot::daemon_internal
