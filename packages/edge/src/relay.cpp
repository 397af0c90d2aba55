// Handles one request: its route, its customer, its rate, and its sends until the final answer.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "relay.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Retry-After of a process that has no configuration yet.
constexpr duration startup_retry_after = std::chrono::milliseconds(700);
// Time for the owner of a customer's rate to answer; it is in the same failure domain.
constexpr duration rate_owner_timeout = std::chrono::milliseconds(250);

asio::awaitable<platform::http_response>
serve_request(traffic_state& state, std::shared_ptr<caller_request> request, request_plan& plan)
{
    bool is_counted = false;
    while (true) {
        search_outcome search = co_await find_target(state, request, plan);
        if (search.is_unreachable) {
            co_return co_await pass_on(state, request, plan);
        }
        if (!is_counted) {
            steering::count_request(state.retry_budgets[plan.service], state.settings.bounds,
                                    request->arrived_at);
            is_counted = true;
        }
        if (search.refusal) {
            if (plan.last_answer) {
                co_return std::move(*plan.last_answer);
            }
            if (request->may_have_run) {
                co_return refuse(state, *request, bad_gateway, "answer_lost", duration{},
                                 {{"service", plan.service}});
            }
            co_return std::move(*search.refusal);
        }
        if (request->caller_left) {
            co_return refuse(state, *request, unavailable, "caller_left", duration{});
        }
        const send_outcome sent = co_await send_once(state, request, plan, search.placement);
        if (!sent.should_retry) {
            co_return make_final_answer(state, *request, plan, sent.result);
        }
        state.counters.retries->fetch_add(1, std::memory_order_relaxed);
        if (sent.result.answer && find_proof(sent.result) == not_run_proof::none) {
            plan.last_answer = platform::make_caller_answer(sent.result.answer->response);
        }
    }
}

platform::http_response refuse_over_rate(traffic_state& state, const caller_request& request,
                                         const std::string& customer, duration wait)
{
    const auto found = state.rates.buckets.find(customer);
    const steering::rate_bucket bucket =
        found == state.rates.buckets.end() ? steering::rate_bucket{} : found->second;
    const auto rate_owner = state.view.demand.rate_owners.find(customer);
    return refuse(
        state, request, too_many_requests, "rate_exceeded", wait,
        {{"customer", customer},
         {"share", std::to_string(bucket.share)},
         {"demand_per_s", std::to_string(bucket.demand)},
         {"rate_per_s", std::to_string(bucket.rate)},
         {"keeper", rate_owner == state.view.demand.rate_owners.end() ? "divided" : rate_owner->second}});
}

// Takes a token of the customer's rate, locally or from the instance that owns the rate. Returns zero if it
// was taken, else the time after which the caller may retry.
asio::awaitable<duration> take_rate_token(traffic_state& state, std::shared_ptr<caller_request> request,
                                          std::string customer)
{
    const auto rate_owner = state.view.demand.rate_owners.find(customer);
    if (rate_owner == state.view.demand.rate_owners.end() || rate_owner->second.empty()) {
        co_return steering::take_token(state.rates, customer, boot_now());
    }
    steering::record_demand(state.rates, customer, boot_now());
    auto pending = std::make_shared<pending_token>(state.context);
    state.pending_tokens[request->id] = pending;
    pending->timeout.expires_after(rate_owner_timeout);
    state.request_remote_token(rate_owner->second, request->id, customer);
    boost::system::error_code cancelled;
    co_await pending->timeout.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    state.pending_tokens.erase(request->id);
    // Without an answer the rate owner may have failed; its successor is selected within about a second.
    co_return pending->answer.value_or(jittered_pause(state, short_retry_after));
}

} // namespace

std::string to_ms(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void on_caller_left(traffic_state& state, caller_request& request)
{
    request.caller_left = true;
    request.watch.note(connection_end::caller_left);
    log_event_limited(state.log, log_severity::info, "caller_left", {{"request", request.metadata.attempt}});
    if (request.active_waiter != nullptr) {
        request.active_waiter->wakeup.cancel();
    }
    const steering::route* route =
        state.view.routes == nullptr
            ? nullptr
            : steering::find_route(*state.view.routes, request.metadata.host, request.message.target());
    const bool is_idempotent = route != nullptr && route->repeats == steering::repeat_policy::idempotent;
    if (request.active_exchange != nullptr && is_idempotent) {
        abandon(*request.active_exchange);
    }
}

namespace {

asio::awaitable<platform::http_response> find_answer(traffic_state& state,
                                                     std::shared_ptr<caller_request> request)
{
    if (!is_taken(state, *request)) {
        co_return refuse_stopping(state, *request);
    }
    if (state.view.routes == nullptr) {
        co_return refuse(state, *request, unavailable, "configuration_missing",
                         jittered_pause(state, startup_retry_after));
    }
    const steering::route_table& routes = *state.view.routes;
    const std::string version = std::to_string(routes.source->version);
    const steering::route* route =
        steering::find_route(routes, request->metadata.host, request->message.target());
    if (route == nullptr) {
        co_return refuse(state, *request, not_found, "route_unknown", duration{},
                         {{"host", request->metadata.host}, {"configuration", version}});
    }
    request_plan plan = make_plan(state, *request, *route);
    if (!route->open_to_all && !routes.source->customers.empty()) {
        plan.customer =
            request->metadata.key ? steering::find_customer(routes, *request->metadata.key) : nullptr;
        if (plan.customer == nullptr) {
            co_return refuse(state, *request, unauthorized,
                             request->metadata.key ? "key_unknown" : "key_missing", duration{},
                             {{"configuration", version}});
        }
        plan.priority = plan.customer->priority.value_or(plan.priority);
    }
    const time_point now = boot_now();
    if (is_condemned_everywhere(state, *request, plan, now)) {
        co_return refuse_condemned(state, *request, plan, now);
    }
    if (now > find_latest_send(state, plan, nullptr)) {
        co_return refuse_stopping(state, *request);
    }
    const std::string customer = plan.customer == nullptr ? std::string() : plan.customer->name;
    const bool takes_token = !customer.empty() && !request->from_peer;
    if (takes_token) {
        const duration wait = co_await take_rate_token(state, request, customer);
        if (wait > duration{}) {
            co_return refuse_over_rate(state, *request, customer, wait);
        }
    }
    platform::http_response answer = co_await serve_request(state, request, plan);
    const bool has_rate_owner = state.view.demand.rate_owners.contains(customer);
    if (takes_token && plan.send_count == 0 && !has_rate_owner) {
        steering::return_token(state.rates, customer);
    }
    co_return answer;
}

// Ends a send whose outcome is unknown. The reset stops the target's work on it.
void end_unrecorded_send(traffic_state& state, caller_request& request, time_point now)
{
    if (request.active_exchange != nullptr) {
        abandon(*request.active_exchange);
        request.active_exchange.reset();
    }
    if (!request.unrecorded_send) {
        return;
    }
    const open_send sent = *std::exchange(request.unrecorded_send, std::nullopt);
    request.may_have_run = request.may_have_run || sent.may_be_received;
    steering::on_observed_end(state.request_watch, sent.watched, steering::observed_end::not_run, duration{});
    if (state.view.usage) {
        steering::on_run_ended(state.usage, *state.view.usage, sent.run, sent.may_be_received, now);
    }
    steering::target_state* chosen = sent.placement.chosen;
    if (chosen == nullptr) {
        return;
    }
    const steering::target target = chosen->entry;
    if (sent.is_suspect) {
        state.crashes.suspect_targets.extract(target.id);
    }
    steering::on_request_ended(state.pool, *chosen, steering::target_outcome::abandoned, sent.placement,
                               now - sent.sent_at, now, std::nullopt);
    wake_waiter_for(state, target.service, target.id);
}

// Takes the request out of everything that waits for it or counts it. Its final answer is due.
void withdraw(traffic_state& state, caller_request& request)
{
    end_unrecorded_send(state, request, boot_now());
    state.pending_tokens.erase(request.id);
    request.active_waiter.reset();
    for (auto& [service, queue] : state.queues) {
        steering::remove_waiting(queue.order, request.id);
        queue.waiters.erase(request.id);
    }
}

platform::http_response answer_failed(traffic_state& state, caller_request& request, std::string_view error)
{
    withdraw(state, request);
    counter(state.metric_registry, "camphorknot_failed_requests_total", "")
        .fetch_add(1, std::memory_order_relaxed);
    log_event_limited(state.log, log_severity::error, "request_failed",
                      {{"request", request.metadata.attempt},
                       {"error", std::string(error)},
                       {"may_have_run", request.may_have_run ? "true" : "false"}});
    return request.may_have_run ? refuse(state, request, bad_gateway, "handling_failed", duration{})
                                : refuse(state, request, unavailable, "handling_failed",
                                         jittered_pause(state, short_retry_after));
}

// An exception ends the handling only, not the connection, on which further requests may run.
asio::awaitable<platform::http_response> find_answer_guarded(traffic_state& state,
                                                             std::shared_ptr<caller_request> request)
{
    std::string error;
    try {
        co_return co_await find_answer(state, request);
    } catch (const std::exception& exception) {
        error = exception.what();
    }
    co_return answer_failed(state, *request, error);
}

} // namespace

asio::awaitable<platform::http_response> handle_request(traffic_state& state,
                                                        std::shared_ptr<caller_request> request)
{
    platform::http_response answer = co_await find_answer_guarded(state, request);
    if (steering::is_true_status(answer.result_int(), request->may_have_run)) {
        if (steering::promises_not_run(answer.result_int())) {
            log_promise(state, *request, answer.result_int());
        }
        co_return answer;
    }
    // A target or another instance knows of its own sends only.
    co_return refuse(state, *request, bad_gateway, "target_failed", duration{});
}

} // namespace camphorknot::edge