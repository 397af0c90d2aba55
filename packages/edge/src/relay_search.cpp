// The search for a target: service, version, placement, and the wait in the service's queue.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "admission.hpp"
#include "relay.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// For requests without a deadline on routes without a timeout.
constexpr duration default_deadline = std::chrono::seconds(30);
// Shortest time after which a waiting request searches for a target again.
constexpr duration min_recheck_delay = std::chrono::milliseconds(20);
// The same for requests that leave slots to more urgent ones: their limit is long, and each search costs
// processor time.
constexpr duration min_yielding_recheck_delay = std::chrono::milliseconds(200);

std::string pick_service(traffic_state& state, const steering::route& route)
{
    double total = 0;
    for (const auto& weighted : route.services) {
        total += weighted.weight;
    }
    double remaining = uniform_real(state.random) * total;
    for (const auto& weighted : route.services) {
        remaining -= weighted.weight;
        if (remaining < 0) {
            return weighted.service;
        }
    }
    return route.services.empty() ? std::string() : route.services.back().service;
}

steering::placement choose_placement(traffic_state& state, const caller_request& request, request_plan& plan,
                                     time_point now)
{
    const version_rule rule = find_version_rule(state, plan.service);
    const bool to_next =
        !rule.next.empty() && steering::is_next_version_due(find_version_split(state, plan, rule),
                                                            next_share_of(rule, plan.route->name));
    steering::placement_request criteria;
    criteria.service = plan.service;
    criteria.route = plan.route->name;
    criteria.version = to_next ? rule.next : rule.current;
    criteria.object = plan.object.value_or(plan.random_key);
    criteria.has_affinity = plan.object.has_value();
    criteria.body_bytes = request.message.body().size();
    criteria.route_regions = plan.route->regions;
    criteria.reserved_slots = plan.reserved_slots;
    if (plan.customer != nullptr) {
        criteria.customer_regions = plan.customer->regions;
    }
    std::vector<std::string> excluded = plan.tried;
    plan.is_suspect = is_suspect(state, request, plan);
    if (plan.is_suspect) {
        // Suspects run apart from each other, so that the next end tells which of them is the cause.
        excluded.insert(excluded.end(), state.crashes.suspect_targets.begin(),
                        state.crashes.suspect_targets.end());
        criteria.object = plan.identity->low;
        criteria.has_affinity = false;
    }
    criteria.tried = excluded;
    if (plan.route->objective > duration{}) {
        criteria.time_left = request.arrived_at + plan.route->objective - now;
    }
    criteria.avoid_suspended_trial = plan.route->repeats == steering::repeat_policy::at_most_once;
    steering::placement placement = steering::choose_target(state.pool, criteria, now);
    if (placement.outcome != steering::placement_outcome::chosen && to_next && rule.next_share < 1) {
        criteria.version = rule.current;
        placement = steering::choose_target(state.pool, criteria, now);
    }
    if (placement.outcome == steering::placement_outcome::no_target && criteria.avoid_suspended_trial) {
        criteria.avoid_suspended_trial = false;
        placement = steering::choose_target(state.pool, criteria, now);
    }
    if (placement.outcome != steering::placement_outcome::chosen && excluded.size() > plan.tried.size()) {
        criteria.tried = plan.tried;
        placement = steering::choose_target(state.pool, criteria, now);
    }
    return placement;
}

// How a wait ended.
enum class wait_end : std::uint8_t {
    over,      // The request's time is over, or its caller has left.
    displaced, // It is refused in favour of a request that is worth more.
    turn,      // It may search for a target again.
    slot,      // The same, after a request of this instance left the target.
};

wait_end find_wait_end(const waiter& ended, const steering::waiting_request& entry, bool caller_left)
{
    if (ended.is_displaced) {
        return wait_end::displaced;
    }
    if (caller_left || (!ended.is_woken && boot_now() >= entry.refuse_at)) {
        return wait_end::over;
    }
    return ended.has_slot ? wait_end::slot : wait_end::turn;
}

// Waits in the service's queue until a target of this instance's requests has room, or until room is
// expected: other instances' requests end without notice.
asio::awaitable<wait_end> wait_for_turn(traffic_state& state, std::shared_ptr<caller_request> request,
                                        steering::waiting_request entry, std::string service,
                                        duration expected_wait)
{
    auto waiting = std::make_shared<waiter>(state.context);
    request->active_waiter = waiting;
    service_queue& queue = state.queues[service];
    steering::add_waiting(queue.order, entry);
    queue.waiters[entry.id] = waiting;
    const duration until_refusal = std::max(duration{}, entry.refuse_at - boot_now());
    const duration recheck_delay = entry.yields ? min_yielding_recheck_delay : min_recheck_delay;
    waiting->wakeup.expires_after(std::min(until_refusal, std::max(expected_wait, recheck_delay)));
    boost::system::error_code cancelled;
    co_await waiting->wakeup.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    request->active_waiter.reset();
    steering::remove_waiting(queue.order, entry.id);
    queue.waiters.erase(entry.id);
    co_return find_wait_end(*waiting, entry, request->caller_left);
}

std::string_view name_of(steering::return_kind returned)
{
    switch (returned) {
    case steering::return_kind::early:
        return "early";
    case steering::return_kind::in_time:
        return "told";
    case steering::return_kind::first:
        break;
    }
    return "no";
}

std::string_view reason_of(const steering::placement& placement)
{
    switch (placement.withheld) {
    case steering::withheld_cause::limited:
        return "targets_limited";
    case steering::withheld_cause::quiet:
        return "targets_quiet";
    case steering::withheld_cause::none:
        break;
    }
    return "targets_full";
}

platform::http_response refuse_placement(traffic_state& state, const caller_request& request,
                                         const request_plan& plan, std::string_view reason,
                                         duration retry_after)
{
    on_refused(state, plan, reason, boot_now());
    return refuse(state, request, unavailable, reason, retry_after,
                  {{"service", plan.service},
                   {"route", plan.route->name},
                   {"priority", std::to_string(plan.priority)},
                   {"returned", std::string(name_of(plan.returned))},
                   {"utilization", std::to_string(steering::utilization(state.pool, plan.service))},
                   {"waiting", std::to_string(state.queues[plan.service].order.requests.size())},
                   {"configuration", std::to_string(plan.routes->source->version)},
                   {"retry_after_ms", to_ms(retry_after)}});
}

void wake_for_slot(service_queue& queue, const steering::waiting_request& entry)
{
    const auto found = queue.waiters.find(entry.id);
    if (found != queue.waiters.end() && !found->second->is_woken) {
        found->second->is_woken = true;
        found->second->has_slot = true;
        found->second->wakeup.cancel();
    }
}

} // namespace

version_rule find_version_rule(const traffic_state& state, const std::string& service)
{
    const auto rule = state.view.versions.find(service);
    return rule == state.view.versions.end() ? version_rule{} : rule->second;
}

steering::version_split& find_version_split(traffic_state& state, const request_plan& plan,
                                            const version_rule& rule)
{
    const bool has_own = rule.route_shares.contains(plan.route->name);
    const std::pair key{plan.service, has_own ? plan.route->name : std::string()};
    const auto found = state.version_splits.find(key);
    if (found != state.version_splits.end()) {
        return found->second;
    }
    const double share = next_share_of(rule, plan.route->name);
    return state.version_splits[key] = steering::start_split(uniform_real(state.random), share);
}

duration jittered_pause(traffic_state& state, duration base)
{
    return base + duration(static_cast<std::int64_t>(static_cast<double>(base.count()) *
                                                     uniform_real(state.random)));
}

time_point find_deadline(const caller_request& request, const steering::route& route)
{
    const duration time_left = request.metadata.deadline.value_or(default_deadline);
    const duration limit = route.timeout > duration{} ? std::min(time_left, route.timeout) : time_left;
    return request.arrived_at + limit;
}

request_plan make_plan(traffic_state& state, const caller_request& request, const steering::route& route)
{
    request_plan plan;
    plan.route = &route;
    plan.routes = state.view.routes;
    plan.service = pick_service(state, route);
    plan.random_key = state.random();
    plan.send_count = request.sends_before;
    plan.priority = route.priority;
    plan.deadline = find_deadline(request, route);
    if (route.object_affinity && request.metadata.object) {
        plan.object = hash_name(*request.metadata.object);
    }
    return plan;
}

asio::awaitable<search_outcome> find_target(traffic_state& state, std::shared_ptr<caller_request> request,
                                            request_plan& plan)
{
    search_outcome outcome;
    steering::waiting_request entry{request->id, plan.priority, request->arrived_at + plan.route->objective,
                                    plan.deadline};
    std::optional<wait_end> waited;
    if (plan.tried.empty()) {
        on_search_began(state, *request, plan, boot_now());
    }
    while (true) {
        const time_point now = boot_now();
        if (should_pass_on(state, plan)) {
            outcome.is_unreachable = true;
            co_return outcome;
        }
        service_queue& queue = state.queues[plan.service];
        apply_cost(state, *request, plan, entry, now);
        outcome.placement = choose_placement(state, *request, plan, now);
        const steering::target_state* wanted =
            outcome.placement.chosen != nullptr ? outcome.placement.chosen : outcome.placement.preferred;
        if (wanted != nullptr && find_standing(state, *request, plan, wanted->entry.version, now) ==
                                     steering::crash_standing::condemned) {
            outcome.refusal = refuse_condemned(state, *request, plan, now);
            co_return outcome;
        }
        const time_point send_by = find_latest_send(state, plan, &outcome.placement);
        if (now > send_by) {
            outcome.refusal = refuse_stopping(state, *request);
            co_return outcome;
        }
        entry.refuse_at = std::min(entry.refuse_at, send_by);
        entry.target = plan.object && wanted != nullptr ? hash_name(wanted->entry.id) : 0;
        // Requests in the queue for the same target go first, unless this one was woken from it.
        const bool must_queue = !waited && steering::must_wait_behind(queue.order, entry);
        if (outcome.placement.outcome == steering::placement_outcome::no_target) {
            outcome.refusal = refuse_placement(state, *request, plan, "no_target",
                                               jittered_pause(state, short_retry_after));
            co_return outcome;
        }
        if (is_too_late(state, *request, plan, now)) {
            outcome.refusal = refuse_placement(state, *request, plan, "deadline_too_near", duration{});
            co_return outcome;
        }
        if (outcome.placement.outcome == steering::placement_outcome::chosen && !must_queue &&
            (waited != wait_end::turn || claims_slot(state, plan, *outcome.placement.chosen))) {
            on_target_found(state, plan, now);
            co_return outcome;
        }
        const steering::admission_decision decision =
            decide_admission(state, plan, outcome.placement, entry, now);
        if (!decision.wait.admitted) {
            // The target states itself when it has room.
            const bool is_withheld = outcome.placement.withheld != steering::withheld_cause::none;
            outcome.refusal =
                refuse_placement(state, *request, plan, reason_of(outcome.placement),
                                 is_withheld ? decision.wait.retry_after
                                             : promise_retry(state, *request, plan, decision.wait, now));
            co_return outcome;
        }
        if (decision.displaced) {
            displace(queue, *decision.displaced);
        }
        if (!waited) {
            on_wait_began(state, plan);
        }
        waited = co_await wait_for_turn(state, request, entry, plan.service, decision.wait.expected_wait);
        observe(*state.counters.wait_time, boot_now() - now);
        if (waited == wait_end::over || waited == wait_end::displaced) {
            const duration pause =
                steering::retry_after_for(state.queue_tuning, 0.3, uniform_real(state.random));
            outcome.refusal = refuse_placement(
                state, *request, plan, waited == wait_end::over ? "waited_too_long" : "displaced",
                promise_retry(state, *request, plan, {false, pause, decision.wait.expected_wait},
                              boot_now()));
            co_return outcome;
        }
    }
}

void wake_waiter_for(traffic_state& state, const std::string& service, const std::string& target)
{
    const auto found = state.queues.find(service);
    if (found == state.queues.end()) {
        return;
    }
    service_queue& queue = found->second;
    const steering::waiting_request* first = steering::first_for_target(queue.order, hash_name(target));
    if (first == nullptr) {
        return;
    }
    wake_for_slot(queue, *first);
    if (first->yields) {
        // It may leave the slot to a more urgent request.
        const steering::waiting_request* urgent =
            steering::first_unyielding_for_target(queue.order, hash_name(target));
        if (urgent != nullptr) {
            wake_for_slot(queue, *urgent);
        }
    }
}

void wake_waiters(traffic_state& state, const std::string& service, std::size_t max_count)
{
    const auto found = state.queues.find(service);
    if (found == state.queues.end()) {
        return;
    }
    service_queue& queue = found->second;
    for (const steering::waiting_request& entry : queue.order.requests) {
        if (max_count == 0) {
            return;
        }
        const auto found_waiter = queue.waiters.find(entry.id);
        if (found_waiter != queue.waiters.end() && !found_waiter->second->is_woken) {
            found_waiter->second->is_woken = true;
            found_waiter->second->wakeup.cancel();
            --max_count;
        }
    }
}

} // namespace camphorknot::edge
