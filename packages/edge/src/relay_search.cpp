// The search for a target: service, version, placement and waiting for room.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "relay.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// For callers that do not say how long they wait, on routes without a limit.
constexpr duration usual_deadline = std::chrono::seconds(30);

std::string pick_service(traffic& state, const steering::route& route)
{
    double total = 0;
    for (const auto& each : route.services) {
        total += each.weight;
    }
    double at = uniform_real(state.random) * total;
    for (const auto& each : route.services) {
        at -= each.weight;
        if (at < 0) {
            return each.service;
        }
    }
    return route.services.empty() ? std::string() : route.services.back().service;
}

version_rule rule_of(const traffic& state, const std::string& service)
{
    const auto rule = state.view.versions.find(service);
    return rule == state.view.versions.end() ? version_rule{} : rule->second;
}

steering::placement place(traffic& state, const caller_request& request, const request_plan& plan,
                          time_point now)
{
    const version_rule rule = rule_of(state, plan.service);
    const bool to_next = !rule.next.empty() && uniform_real(state.random) < rule.next_share;
    steering::placement_request wanted;
    wanted.service = plan.service;
    wanted.version = to_next ? rule.next : rule.current;
    wanted.object = plan.object.value_or(plan.scatter);
    wanted.has_affinity = plan.object.has_value();
    wanted.body_bytes = request.message.body().size();
    wanted.route_regions = plan.route->regions;
    if (plan.customer != nullptr) {
        wanted.customer_regions = plan.customer->regions;
    }
    wanted.tried = plan.tried;
    if (plan.route->objective > duration{}) {
        wanted.time_left = request.arrived + plan.route->objective - now;
    }
    wanted.avoid_suspended_trial = plan.route->repeats == steering::repeat_policy::at_most_once;
    steering::placement found = steering::choose_target(state.pool, wanted, now);
    if (found.outcome != steering::placement_outcome::chosen && to_next && rule.next_share < 1) {
        wanted.version = rule.current;
        found = steering::choose_target(state.pool, wanted, now);
    }
    if (found.outcome == steering::placement_outcome::no_target && wanted.avoid_suspended_trial) {
        wanted.avoid_suspended_trial = false;
        found = steering::choose_target(state.pool, wanted, now);
    }
    return found;
}

// Waits until it is the request's turn. Returns whether it is; false if its time is over or its caller has
// left.
asio::awaitable<bool> wait_for_turn(traffic& state, std::shared_ptr<caller_request> request,
                                    steering::waiting_request entry, std::string service)
{
    auto waiting = std::make_shared<waiter>(state.context);
    request->waiting = waiting;
    service_queue& queue = state.queues[service];
    steering::add_waiting(queue.order, entry);
    queue.waiters[entry.id] = waiting;
    waiting->turn.expires_after(std::max(duration{}, entry.refuse_at - boot_now()));
    boost::system::error_code cancelled;
    co_await waiting->turn.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    request->waiting.reset();
    steering::remove_waiting(queue.order, entry.id);
    queue.waiters.erase(entry.id);
    co_return waiting->called && !request->caller_left;
}

platform::http_response refuse_full(traffic& state, const caller_request& request, const request_plan& plan,
                                    std::string_view reason, duration retry_after)
{
    return refuse(state, request, unavailable, reason, retry_after,
                  {{"service", plan.service},
                   {"utilization", std::to_string(steering::utilization(state.pool, plan.service))},
                   {"waiting", std::to_string(state.queues[plan.service].order.requests.size())},
                   {"configuration", std::to_string(plan.routes->source->version)},
                   {"retry_after_ms", to_ms(retry_after)}});
}

} // namespace

duration jittered_pause(traffic& state, duration base)
{
    return base + duration(static_cast<std::int64_t>(static_cast<double>(base.count()) *
                                                     uniform_real(state.random)));
}

request_plan make_plan(traffic& state, const caller_request& request, const steering::route& route)
{
    request_plan plan;
    plan.route = &route;
    plan.routes = state.view.routes;
    plan.service = pick_service(state, route);
    plan.scatter = state.random();
    plan.priority = route.priority;
    const duration left = request.facts.deadline.value_or(usual_deadline);
    const duration limit = route.timeout > duration{} ? std::min(left, route.timeout) : left;
    plan.deadline = request.arrived + limit;
    if (route.object_affinity && request.facts.object) {
        plan.object = hash_name(*request.facts.object);
    }
    return plan;
}

asio::awaitable<search_outcome> find_target(traffic& state, std::shared_ptr<caller_request> request,
                                            request_plan& plan)
{
    search_outcome outcome;
    steering::waiting_request entry{request->id, plan.priority, request->arrived + plan.route->objective,
                                    plan.deadline};
    bool queued = false;
    while (true) {
        const time_point now = boot_now();
        service_queue& queue = state.queues[plan.service];
        // Those that wait go first, unless this request is called from the queue.
        const bool must_queue = !queue.order.requests.empty() && !queued;
        outcome.found = place(state, *request, plan, now);
        if (outcome.found.outcome == steering::placement_outcome::no_target) {
            outcome.refusal =
                refuse_full(state, *request, plan, "no_target", jittered_pause(state, short_pause));
            co_return outcome;
        }
        if (outcome.found.outcome == steering::placement_outcome::chosen && !must_queue) {
            co_return outcome;
        }
        const double completions = state.pool.profiles[plan.service].completions_per_s;
        const steering::wait_decision decision =
            steering::decide_wait(queue.order, state.waiting, entry, now, plan.route->objective, completions,
                                  uniform_real(state.random));
        if (!decision.admitted) {
            outcome.refusal = refuse_full(state, *request, plan, "targets_full", decision.retry_after);
            co_return outcome;
        }
        const bool turn = co_await wait_for_turn(state, request, entry, plan.service);
        observe(*state.counters.wait_time, boot_now() - now);
        queued = true;
        if (!turn) {
            const duration pause = steering::retry_after_for(state.waiting, 0.3, uniform_real(state.random));
            outcome.refusal = refuse_full(state, *request, plan, "waited_too_long", pause);
            co_return outcome;
        }
    }
}

void call_waiters(traffic& state, const std::string& service, std::size_t most)
{
    const auto found = state.queues.find(service);
    if (found == state.queues.end()) {
        return;
    }
    service_queue& queue = found->second;
    for (const steering::waiting_request& each : queue.order.requests) {
        if (most == 0) {
            return;
        }
        const auto waiting = queue.waiters.find(each.id);
        if (waiting != queue.waiters.end() && !waiting->second->called) {
            waiting->second->called = true;
            waiting->second->turn.cancel();
            --most;
        }
    }
}

} // namespace camphorknot::edge
