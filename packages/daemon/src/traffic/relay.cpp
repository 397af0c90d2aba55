#include "relay.hpp"

namespace camphorknot::daemon_internal {
namespace {

// How soon a request that waits for its target notices a revoked key or lost authority.
constexpr auto check_period = std::chrono::milliseconds(100);

// Attempts of a request that are under way: the second one is a hedge.
struct attempts {
    exchange_handle first;
    exchange_handle second;
};

enum class verdict_kind : std::uint8_t { wait, answer, again, give_up };
struct step_verdict {
    verdict_kind kind = verdict_kind::wait;
    exchange_handle winner;
    refusal why;
};

outcome outcome_so_far(const relay_state& request)
{
    return request.may_have_run ? outcome::unknown : outcome::not_run;
}

bool can_send_again(const relay_state& request)
{
    return request.body != body_mode::streamed || !request.body_started;
}

void drop(exchange_handle& attempt_state, attempt_result result)
{
    if (attempt_state != nullptr) {
        finish_attempt(*attempt_state, result);
        abandon(*attempt_state);
        attempt_state.reset();
    }
}

step_verdict stop_with(const relay_state& request, refusal_reason reason)
{
    return {verdict_kind::give_up, nullptr, {reason, outcome_so_far(request), duration::zero()}};
}

// Reasons that end the request whatever its attempts do.
refusal_reason external_stop(const relay_state& request, time_point now)
{
    if (request.caller_gone) {
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

bool says_not_run(const exchange& state)
{
    const auto& head = state.answer->get();
    const bool refuses = head.result() == http::status::service_unavailable ||
                         head.result() == http::status::too_many_requests;
    return refuses && plain_view(head[beast_view(header_shed)]) == "1";
}

attempt_result result_of(const exchange& state)
{
    if (state.stage == exchange_stage::failed) {
        return state.failure;
    }
    if (says_not_run(state)) {
        return attempt_result::shed_before_run;
    }
    const bool server_error = state.answer->get().result_int() >= 500;
    return server_error ? attempt_result::server_error : attempt_result::answered;
}

// After attempts that certainly did not run, the request may be repeated whatever its route says.
void note_not_run(relay_state& request, const attempts& open, attempt_result result,
                  bool earlier_may_have_run)
{
    const bool certain =
        result == attempt_result::connect_failed || result == attempt_result::shed_before_run;
    if (certain && open.second == nullptr && open.first == nullptr) {
        request.may_have_run = earlier_may_have_run;
    }
}

// Takes in the end of one attempt; @p slot is emptied unless its answer is to be relayed.
step_verdict on_end(relay_state& request, attempts& open, exchange_handle& slot, bool earlier_may_have_run)
{
    const attempt_result result = result_of(*slot);
    if (result == attempt_result::answered) {
        return {verdict_kind::answer, slot, {}};
    }
    if (result == attempt_result::server_error && !can_send_again(request)) {
        return {verdict_kind::answer, slot, {}};
    }
    const exchange_handle ended = slot;
    const retry_answer next = finish_attempt(*ended, result);
    const bool retry = next.decision == retry_decision::retry && can_send_again(request);
    const exchange_handle& other = &slot == &open.first ? open.second : open.first;
    if (result == attempt_result::server_error && !retry && other == nullptr) {
        return {verdict_kind::answer, ended, {}};
    }
    abandon(*ended);
    slot.reset();
    if (other != nullptr) {
        return {};
    }
    note_not_run(request, open, result, earlier_may_have_run);
    if (retry) {
        return {verdict_kind::again, nullptr, {}};
    }
    refusal why = next.why;
    if (next.decision == retry_decision::retry || why.reason == refusal_reason::none) {
        why = {refusal_reason::target_failed, outcome::unknown, duration::zero()};
    }
    // An earlier attempt may have run although this one did not.
    why.run = request.may_have_run ? outcome::unknown : why.run;
    return {verdict_kind::give_up, nullptr, why};
}

bool hedge_is_due(const relay_state& request, const attempts& open, time_point now)
{
    if (open.second != nullptr || open.first == nullptr || !open.first->chosen.hedge_after) {
        return false;
    }
    const bool waits = open.first->stage == exchange_stage::sent;
    const bool whole_body = request.body != body_mode::streamed;
    return waits && whole_body && request.admitted.idempotent &&
           now >= open.first->started + *open.first->chosen.hedge_after;
}

void start_hedge(const relay_handle& request, attempts& open, time_point now)
{
    auto& decisions = request->owner.shared.decisions;
    const attempt_answer answer = decisions.begin_attempt(request->admitted, request->tried, now);
    open.first->chosen.hedge_after.reset();
    if (answer.next) {
        request->owner.shared.counters.hedges->fetch_add(1, std::memory_order_relaxed);
        open.second = start_exchange(request, *answer.next);
        open.second->chosen.hedge_after.reset();
    }
}

void probe_if_silent(const exchange_handle& state, time_point now)
{
    if (state == nullptr || state->stage != exchange_stage::sent || state->probed || !state->reused) {
        return;
    }
    worker& owner = state->request->owner;
    if (now - state->sent_at >= owner.shared.settings.limits.progress_timeout) {
        state->probed = true;
        asio::co_spawn(owner.io, probe_silent(state), asio::detached);
    }
}

bool has_ended(const exchange_handle& state)
{
    return state != nullptr &&
           (state->stage == exchange_stage::answered || state->stage == exchange_stage::failed);
}

step_verdict check_attempts(const relay_handle& request, attempts& open, bool earlier_may_have_run)
{
    const time_point now = boot_now();
    const refusal_reason stop = external_stop(*request, now);
    if (stop != refusal_reason::none) {
        step_verdict verdict = stop_with(*request, stop);
        const bool late = stop == refusal_reason::deadline_exceeded;
        drop(open.first, late ? attempt_result::timed_out : attempt_result::cancelled);
        drop(open.second, attempt_result::cancelled);
        return verdict;
    }
    for (exchange_handle* slot : {&open.first, &open.second}) {
        if (has_ended(*slot)) {
            step_verdict verdict = on_end(*request, open, *slot, earlier_may_have_run);
            if (verdict.kind != verdict_kind::wait) {
                return verdict;
            }
        }
    }
    if (hedge_is_due(*request, open, now)) {
        start_hedge(request, open, now);
    }
    probe_if_silent(open.first, now);
    probe_if_silent(open.second, now);
    return {};
}

duration longest_wait(const relay_state& request, const attempts& open)
{
    const time_point now = boot_now();
    duration wait = std::min<duration>(check_period, request.admitted.deadline - now);
    if (open.second == nullptr && open.first != nullptr && open.first->chosen.hedge_after) {
        wait = std::min(wait, open.first->started + *open.first->chosen.hedge_after - now);
    }
    return std::max<duration>(wait, std::chrono::milliseconds(1));
}

awaitable<step_verdict> await_attempts(relay_handle request, std::reference_wrapper<attempts> open,
                                       bool earlier_may_have_run)
{
    while (true) {
        step_verdict verdict = check_attempts(request, open, earlier_may_have_run);
        if (verdict.kind != verdict_kind::wait) {
            co_return verdict;
        }
        request->wake.expires_after(longest_wait(*request, open));
        error_code ec;
        co_await request->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

refusal give_up(relay_state& request, const refusal& why)
{
    request.caller->active = nullptr;
    request.owner.shared.decisions.end_request(
        request.admitted, why.run, static_cast<std::uint16_t>(status_of(why.reason)), {}, boot_now());
    return why;
}

} // namespace

awaitable<refusal> relay_request(relay_handle request)
{
    if (request->body == body_mode::kept) {
        const refusal_reason failure = co_await read_kept_body(request);
        if (failure != refusal_reason::none) {
            co_return give_up(*request, {failure, outcome::not_run, duration::zero()});
        }
    }
    request->caller->active = request.get();
    if (request->body != body_mode::streamed) {
        watch_caller(request->caller);
    }
    auto& shared = request->owner.shared;
    while (true) {
        const attempt_answer next =
            shared.decisions.begin_attempt(request->admitted, request->tried, boot_now());
        if (!next.next) {
            refusal why = next.why;
            why.run = request->may_have_run ? outcome::unknown : why.run;
            co_return give_up(*request, why);
        }
        const bool earlier_may_have_run = request->may_have_run;
        attempts open;
        open.first = start_exchange(request, *next.next);
        const step_verdict verdict = co_await await_attempts(request, open, earlier_may_have_run);
        if (verdict.kind == verdict_kind::give_up) {
            co_return give_up(*request, verdict.why);
        }
        if (verdict.kind == verdict_kind::answer) {
            const bool first_won = verdict.winner == open.first;
            drop(first_won ? open.second : open.first, attempt_result::cancelled);
            const bool whole = co_await relay_answer(request, verdict.winner);
            request->caller->active = nullptr;
            request->keep_alive = request->keep_alive && whole;
            co_return refusal{};
        }
        shared.counters.retries->fetch_add(1, std::memory_order_relaxed);
    }
}

} // namespace camphorknot::daemon_internal
