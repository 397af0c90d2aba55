// One send to a target: what is learned from its outcome, and whether the request may be sent once more.
#include <array>

#include "relay.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Targets that could not be connected to do not count as sent to, but are not tried without end.
constexpr unsigned most_connect_failures = 3;
// A retry needs at least this part of the usual service time.
constexpr double least_retry_part = 0.6;
// Taken off the time that a target is given, for the way of its answer.
constexpr duration answer_margin = std::chrono::milliseconds(20);

steering::target_outcome outcome_of(const exchange_result& result)
{
    switch (result.end) {
    case exchange_end::not_connected:
    case exchange_end::timed_out:
        return steering::target_outcome::unreachable;
    case exchange_end::broken:
        return steering::target_outcome::failure;
    case exchange_end::abandoned:
        return steering::target_outcome::abandoned;
    case exchange_end::answered:
        break;
    }
    if (result.facts.replaced) {
        return steering::target_outcome::replaced;
    }
    if (result.facts.not_run) {
        return steering::target_outcome::shed;
    }
    return result.response.result_int() >= 500 ? steering::target_outcome::failure
                                               : steering::target_outcome::success;
}

void count_version(traffic& state, const request_plan& plan, const steering::target& to,
                   steering::target_outcome outcome, duration service_time)
{
    if (outcome == steering::target_outcome::abandoned || outcome == steering::target_outcome::shed ||
        outcome == steering::target_outcome::replaced) {
        return;
    }
    const count_key key{plan.service, to.version, plan.route->name};
    steering::version_counts& counted = state.counts[key];
    counted.service = plan.service;
    counted.version = to.version;
    counted.route = plan.route->name;
    ++counted.answers;
    const steering::rollout_tuning tuning;
    const duration usual = state.pool.profiles[plan.service].miss;
    const bool slow =
        service_time >
        duration(static_cast<std::int64_t>(static_cast<double>(usual.count()) * tuning.slow_factor));
    counted.failing_answers += slow || outcome != steering::target_outcome::success ? 1 : 0;
}

// Whether the request may be sent once more after this end.
bool may_repeat(traffic& state, const request_plan& plan, const exchange_result& result,
                steering::target_outcome outcome, time_point now)
{
    if (outcome == steering::target_outcome::success || outcome == steering::target_outcome::abandoned) {
        return false;
    }
    const bool never_ran = result.end == exchange_end::not_connected || result.facts.not_run;
    if (!never_ran && plan.route->repeats != steering::repeat_policy::idempotent) {
        return false;
    }
    if (plan.sends >= plan.route->max_targets || plan.connect_failures >= most_connect_failures) {
        return false;
    }
    const duration usual = state.pool.profiles[plan.service].warm;
    const auto needed =
        duration(static_cast<std::int64_t>(static_cast<double>(usual.count()) * least_retry_part));
    if (plan.deadline - now < needed) {
        return false;
    }
    if (result.end == exchange_end::not_connected) {
        return true; // Nothing arrived at a target, so nothing is repeated there.
    }
    return steering::take_retry(state.retries[plan.service], state.settings.bounds,
                                state.view.demand.possible, now);
}

void log_send(traffic& state, const caller_request& request, const request_plan& plan,
              const steering::target& to, const exchange_result& result, bool warm, duration took,
              bool repeats)
{
    constexpr std::array<std::string_view, 5> ends = {"answered", "not_connected", "broken", "timed_out",
                                                      "abandoned"};
    const bool failed = result.end != exchange_end::answered || result.response.result_int() >= 400;
    log_event_limited(
        state.log, failed ? log_severity::warning : log_severity::info,
        failed ? "send_failed" : "send_answered",
        {{"request", request.facts.attempt},
         {"route", plan.route->name},
         {"service", plan.service},
         {"target", to.id},
         {"domain", to.failure_domain},
         {"object", request.facts.object.value_or("")},
         {"end", std::string(ends.at(static_cast<std::size_t>(result.end)))},
         {"status", std::to_string(result.end == exchange_end::answered ? result.response.result_int() : 0)},
         {"not_run", result.facts.not_run ? "true" : "false"},
         {"expected_warm", warm ? "true" : "false"},
         {"new_connection", result.new_connection ? "true" : "false"},
         {"took_ms", to_ms(took)},
         {"repeats", repeats ? "true" : "false"},
         {"configuration", std::to_string(plan.routes->source->version)}});
}
} // namespace

asio::awaitable<send_outcome> send_once(traffic& state, std::shared_ptr<caller_request> request,
                                        request_plan& plan, steering::placement place)
{
    check_invariant(plan.route->repeats == steering::repeat_policy::idempotent || !plan.may_have_run,
                    promise::p8_at_most_once, "sends_of_attempt");
    steering::target_state& belief = *place.chosen;
    const steering::target to = belief.entry;
    const time_point start = boot_now();
    steering::on_request_sent(state.pool, belief, plan.object.value_or(plan.scatter), start);
    platform::forward_metadata facts;
    facts.target = to.id;
    facts.customer = plan.customer == nullptr ? std::string_view() : std::string_view(plan.customer->name);
    facts.time_left = plan.deadline - start - answer_margin;
    platform::http_request message = platform::make_target_request(request->message, facts);
    request->running = std::make_shared<exchange_handle>();
    const bool once = plan.route->repeats == steering::repeat_policy::at_most_once;
    exchange_result result =
        co_await exchange(state.connections, to, std::move(message), request->facts.attempt, once,
                          plan.deadline - start, request->running);
    request->running.reset();
    const time_point now = boot_now();
    const duration took = now - start - result.connect_time;
    const steering::target_outcome outcome = outcome_of(result);
    steering::on_request_ended(state.pool, belief, outcome, place, took, now);
    if (result.end == exchange_end::answered && result.facts.load) {
        const double others = result.facts.load->running + result.facts.load->waiting;
        steering::on_target_load_reported(belief, others, now);
    }
    if (outcome == steering::target_outcome::success) {
        observe(place.expected_warm ? *state.counters.warm_time : *state.counters.miss_time, took);
        state.counters.answered->fetch_add(1, std::memory_order_relaxed);
    }
    if (result.new_connection) {
        state.counters.new_connections->fetch_add(1, std::memory_order_relaxed);
    }
    count_version(state, plan, to, outcome, took);
    call_waiters(state, plan.service, 1);
    const bool never_ran = result.end == exchange_end::not_connected || result.facts.not_run;
    const bool not_reached = result.end == exchange_end::not_connected || result.facts.replaced;
    plan.may_have_run = plan.may_have_run || !never_ran;
    ++(not_reached ? plan.connect_failures : plan.sends);
    plan.tried.push_back(to.id);
    const bool repeats = !request->caller_left && may_repeat(state, plan, result, outcome, now);
    log_send(state, *request, plan, to, result, place.expected_warm, now - start, repeats);
    co_return send_outcome{std::move(result), repeats};
}
platform::http_response final_answer(traffic& state, const caller_request& request, const request_plan& plan,
                                     const exchange_result& result)
{
    const unsigned status = result.response.result_int();
    const bool promises = status == 408 || status == 421 || status == too_many || status == unavailable;
    if (result.end == exchange_end::answered && !result.facts.not_run) {
        if (promises) {
            // Only the instance may say that the request has not run, and it does not know that.
            return refuse(state, request, bad_gateway, "target_failed", duration{},
                          {{"service", plan.service}});
        }
        return platform::make_caller_answer(result.response);
    }
    if (result.end == exchange_end::abandoned) {
        return refuse(state, request, bad_gateway, "caller_left", duration{}, {{"service", plan.service}});
    }
    if (plan.last_answer) {
        return *plan.last_answer;
    }
    const bool may_have_run = plan.may_have_run;
    if (!may_have_run) {
        return refuse(state, request, unavailable,
                      result.end == exchange_end::not_connected ? "target_unreachable" : "target_shed",
                      jittered_pause(state, short_pause), {{"service", plan.service}});
    }
    const bool late = result.end == exchange_end::timed_out;
    return refuse(state, request, late ? gateway_timeout : bad_gateway,
                  late ? "target_timeout" : "answer_lost", duration{}, {{"service", plan.service}});
}

} // namespace camphorknot::edge
