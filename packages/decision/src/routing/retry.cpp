#include <algorithm>

#include "camphorknot/routing.hpp"
#include "camphorknot/routing/answers.hpp"
#include "camphorknot/routing/pools.hpp"

namespace camphorknot {

using namespace internal;

namespace {

/// Limits a burst of retries after a period without failures.
constexpr double max_retry_tokens = 20;
/// Hedges leave these tokens to retries, which are more important.
constexpr double tokens_reserved_for_retries = max_retry_tokens / 2;
constexpr double percent = 100;
constexpr std::uint32_t min_hedge_samples = 50;
constexpr duration failure_retry_after = std::chrono::milliseconds(500);
constexpr duration budget_retry_after = std::chrono::seconds(1);
constexpr duration min_retry_after = std::chrono::milliseconds(10);

refusal_reason refusal_reason_of(attempt_result result)
{
    switch (result) {
    case attempt_result::shed_before_run:
        return refusal_reason::target_shed;
    case attempt_result::cancelled:
        return refusal_reason::cancelled;
    case attempt_result::answered:
    case attempt_result::server_error:
    case attempt_result::connect_failed:
    case attempt_result::broken:
    case attempt_result::timed_out:
        break;
    }
    return refusal_reason::target_failed;
}

// Combined outcome of the attempts before the reported one. The reported attempt, if it is in `tried`, is the
// last one there.
outcome outcome_before_report(const routing_request& request, const attempt_report& report)
{
    const bool only_attempt = request.tried.size() == 1 && request.tried.front() == report.target;
    if (!request.idempotent || only_attempt) {
        return outcome::not_run;
    }
    return request.prior_outcome;
}

outcome combine_outcomes(outcome before, outcome last)
{
    if (before == outcome::ran || last == outcome::ran) {
        return outcome::ran;
    }
    return before == outcome::not_run ? last : outcome::unknown;
}

bool may_repeat(const routing_request& request, const attempt_report& report)
{
    if (report.result == attempt_result::answered || report.result == attempt_result::cancelled) {
        return false;
    }
    return request.idempotent || outcome_of(report.result) == outcome::not_run;
}

bool take_retry_token(router& state, double reserved_tokens)
{
    if (!state.settings.enabled.retry_budget) {
        return true;
    }
    if (state.retries.tokens < reserved_tokens + 1) {
        return false;
    }
    state.retries.tokens -= 1;
    return true;
}

} // namespace

namespace internal {

outcome outcome_before(const routing_request& request)
{
    // A non-idempotent request is only repeated after attempts that certainly did not run.
    if (request.tried.empty() || !request.idempotent) {
        return outcome::not_run;
    }
    return request.prior_outcome;
}

refusal make_refusal(router& state, refusal_reason reason, outcome run, duration wait)
{
    const duration base_wait = std::max(wait, min_retry_after);
    const auto jitter =
        static_cast<duration::rep>(uniform_real(state.random) * static_cast<double>(base_wait.count()) / 2);
    return {reason, run, base_wait + duration(jitter)};
}

void add_retry_tokens(router& state)
{
    state.retries.tokens =
        std::min(max_retry_tokens, state.retries.tokens + state.settings.retry_percent / percent);
}

} // namespace internal

outcome outcome_of(attempt_result result)
{
    switch (result) {
    case attempt_result::shed_before_run:
    case attempt_result::connect_failed:
        return outcome::not_run;
    case attempt_result::answered:
    case attempt_result::server_error:
        return outcome::ran;
    case attempt_result::broken:
    case attempt_result::timed_out:
    case attempt_result::cancelled:
        break;
    }
    return outcome::unknown;
}

retry_answer decide_retry(router& state, const routing_request& request, const attempt_report& report,
                          time_point now)
{
    const outcome run = combine_outcomes(outcome_before_report(request, report), outcome_of(report.result));
    const auto give_up = [&](refusal_reason reason, duration wait) {
        const refusal why = make_refusal(state, reason, run, wait);
        check_invariant(why.run != outcome::not_run || outcome_of(report.result) == outcome::not_run,
                        promise::p7_not_run, "refusal_after_attempt");
        return retry_answer{retry_decision::give_up, why};
    };
    if (report.result == attempt_result::answered) {
        return {retry_decision::give_up, {refusal_reason::none, outcome::ran, duration::zero()}};
    }
    if (!may_repeat(request, report)) {
        return give_up(refusal_reason_of(report.result), failure_retry_after);
    }
    if (request.deadline != time_point{} && now >= request.deadline) {
        return give_up(refusal_reason::deadline_exceeded, failure_retry_after);
    }
    if (!take_retry_token(state, 0)) {
        return give_up(refusal_reason::retry_budget_empty, budget_retry_after);
    }
    return {retry_decision::retry, {}};
}

std::optional<duration> hedge_delay(router& state, const routing_request& request, time_point now)
{
    if (!request.idempotent || state.retries.tokens < tokens_reserved_for_retries + 1) {
        return std::nullopt;
    }
    service_state* service = find_service(state, request.service);
    route_state* route = service == nullptr ? nullptr : find_route(*service, request.route);
    if (route == nullptr || route->latencies.total < min_hedge_samples) {
        return std::nullopt;
    }
    if (request.deadline != time_point{} && now + route->p95 >= request.deadline) {
        return std::nullopt;
    }
    return route->p95;
}

bool take_hedge_token(router& state)
{
    return take_retry_token(state, tokens_reserved_for_retries);
}

} // namespace camphorknot
