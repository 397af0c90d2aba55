// Decides about one request: route, customer, rate, and its sends up to the final answer.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "relay.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Bytes of request bodies that are held at the same time; further ones are refused.
constexpr std::size_t most_body_bytes = std::size_t{48} * 1024 * 1024;
// When to come back to a process that has no configuration yet.
constexpr duration start_pause = std::chrono::milliseconds(700);
// Time for the keeper of a customer's rate to answer; it is in the same failure domain.
constexpr duration keeper_timeout = std::chrono::milliseconds(250);

asio::awaitable<platform::http_response> serve(traffic& state, std::shared_ptr<caller_request> request,
                                               request_plan& plan)
{
    steering::count_request(state.retries[plan.service], state.settings.bounds, request->arrived);
    while (true) {
        search_outcome search = co_await find_target(state, request, plan);
        if (search.refusal) {
            if (plan.last_answer) {
                co_return std::move(*plan.last_answer);
            }
            if (plan.may_have_run) {
                co_return refuse(state, *request, bad_gateway, "answer_lost", duration{},
                                 {{"service", plan.service}});
            }
            co_return std::move(*search.refusal);
        }
        if (request->caller_left) {
            co_return refuse(state, *request, unavailable, "caller_left", duration{});
        }
        const send_outcome sent = co_await send_once(state, request, plan, search.found);
        if (!sent.repeats) {
            co_return final_answer(state, *request, plan, sent.result);
        }
        state.counters.retries->fetch_add(1, std::memory_order_relaxed);
        if (sent.result.end == exchange_end::answered && !sent.result.facts.not_run) {
            plan.last_answer = platform::make_caller_answer(sent.result.response);
        }
    }
}

platform::http_response refuse_rate(traffic& state, const caller_request& request,
                                    const std::string& customer, duration wait)
{
    const auto found = state.rates.buckets.find(customer);
    const steering::rate_bucket bucket =
        found == state.rates.buckets.end() ? steering::rate_bucket{} : found->second;
    const auto keeper = state.view.demand.rate_owners.find(customer);
    return refuse(state, request, too_many, "rate_exceeded", wait,
                  {{"customer", customer},
                   {"share", std::to_string(bucket.share)},
                   {"demand_per_s", std::to_string(bucket.demand)},
                   {"rate_per_s", std::to_string(bucket.rate)},
                   {"keeper", keeper == state.view.demand.rate_owners.end() ? "divided" : keeper->second}});
}

// Takes a token of the customer's rate. Returns zero, or when to come back.
asio::awaitable<duration> take_rate_token(traffic& state, std::shared_ptr<caller_request> request,
                                          std::string customer)
{
    const auto keeper = state.view.demand.rate_owners.find(customer);
    if (keeper == state.view.demand.rate_owners.end() || keeper->second.empty()) {
        co_return steering::take_token(state.rates, customer, request->arrived);
    }
    steering::count_remote_request(state.rates, customer, request->arrived);
    auto asked = std::make_shared<token_wait>(state.context);
    state.token_waits[request->id] = asked;
    asked->limit.expires_after(keeper_timeout);
    state.ask_keeper(keeper->second, request->id, customer);
    boost::system::error_code cancelled;
    co_await asked->limit.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    state.token_waits.erase(request->id);
    // Without an answer the keeper may have died; its successor is named within about a second.
    co_return asked->answer.value_or(jittered_pause(state, short_pause));
}

} // namespace

std::string to_ms(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void note_caller_left(traffic& state, caller_request& request)
{
    request.caller_left = true;
    log_event_limited(state.log, log_severity::info, "caller_left", {{"request", request.facts.attempt}});
    if (request.waiting != nullptr) {
        request.waiting->turn.cancel();
    }
    const steering::route* route =
        state.view.routes == nullptr
            ? nullptr
            : steering::find_route(*state.view.routes, request.facts.host, request.message.target());
    const bool may_stop = route != nullptr && route->repeats == steering::repeat_policy::idempotent;
    if (request.running != nullptr && may_stop) {
        abandon(*request.running);
    }
}

asio::awaitable<platform::http_response> handle_request(traffic& state,
                                                        std::shared_ptr<caller_request> request)
{
    if (state.view.routes == nullptr) {
        co_return refuse(state, *request, unavailable, "configuration_missing",
                         jittered_pause(state, start_pause));
    }
    const steering::route_table& routes = *state.view.routes;
    const std::string version = std::to_string(routes.source->version);
    const steering::route* route =
        steering::find_route(routes, request->facts.host, request->message.target());
    if (route == nullptr) {
        co_return refuse(state, *request, not_found, "route_unknown", duration{},
                         {{"host", request->facts.host}, {"configuration", version}});
    }
    request_plan plan = make_plan(state, *request, *route);
    if (!route->open_to_all && !routes.source->customers.empty()) {
        plan.customer = request->facts.key ? steering::find_customer(routes, *request->facts.key) : nullptr;
        if (plan.customer == nullptr) {
            co_return refuse(state, *request, unauthorized,
                             request->facts.key ? "key_unknown" : "key_missing", duration{},
                             {{"configuration", version}});
        }
        plan.priority = plan.customer->priority.value_or(plan.priority);
    }
    if (request->message.body().size() > 0 && state.body_bytes > most_body_bytes) {
        co_return refuse(state, *request, unavailable, "memory_full", jittered_pause(state, short_pause));
    }
    const std::string customer = plan.customer == nullptr ? std::string() : plan.customer->name;
    if (!customer.empty()) {
        const duration wait = co_await take_rate_token(state, request, customer);
        if (wait > duration{}) {
            co_return refuse_rate(state, *request, customer, wait);
        }
    }
    platform::http_response answer = co_await serve(state, request, plan);
    const bool is_kept = state.view.demand.rate_owners.contains(customer);
    if (!customer.empty() && plan.sends == 0 && !is_kept) {
        steering::return_token(state.rates, customer);
    }
    co_return answer;
}

} // namespace camphorknot::edge