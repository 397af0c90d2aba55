#include "admission.hpp"

#include <algorithm>

namespace camphorknot::edge {

namespace {

// Range of a customer's weight in the queue, relative to the mean rate.
constexpr double max_customer_weight = 8;

service_admission* find_admission(traffic_state& state, const std::string& service)
{
    const auto found = state.admissions.find(service);
    return found == state.admissions.end() ? nullptr : &found->second;
}

double customer_weight(const traffic_state& state, const request_plan& plan)
{
    if (plan.customer == nullptr || plan.customer->rate <= 0 || state.mean_customer_rate <= 0) {
        return 1;
    }
    return std::clamp(plan.customer->rate / state.mean_customer_rate, 1 / max_customer_weight,
                      max_customer_weight);
}

// Counts one in a metric with the labels of the route.
void count_by_route(traffic_state& state, const std::string& name, const request_plan& plan,
                    const std::string& further_labels = {})
{
    counter(state.metric_registry, name,
            "route=\"" + plan.route->name + "\",priority=\"" + std::to_string(plan.priority) + "\"" +
                further_labels)
        .fetch_add(1, std::memory_order_relaxed);
}

// The same for all attempts of a caller at one request. Callers that share an object share it; as many of
// them are recognised as were refused.
std::uint64_t return_identity(const caller_request& request, const request_plan& plan)
{
    const std::string_view customer =
        plan.customer == nullptr ? std::string_view() : std::string_view(plan.customer->name);
    const std::uint64_t path = hash_name(request.message.target());
    return mix_hash(mix_hash(hash_name(customer), path), plan.object.value_or(0));
}

// Times with the object cached: requests wait for targets that are expected to have it.
duration expected_warm(const traffic_state& state, const request_plan& plan, std::string_view route)
{
    return steering::expected_work(state.pool, plan.service, route).warm;
}

duration longest_work(const traffic_state& state, const request_plan& plan,
                      const steering::service_demand& demand)
{
    duration longest = expected_warm(state, plan, plan.route->name);
    for (const steering::route_class& item : demand.classes) {
        if (item.priority < plan.priority) {
            longest = std::max(longest, expected_warm(state, plan, item.route));
        }
    }
    return longest;
}

steering::admission_request describe(const traffic_state& state, const caller_request& request,
                                     const request_plan& plan)
{
    steering::admission_request cost;
    cost.priority = plan.priority;
    cost.is_returned = plan.returned == steering::return_kind::in_time;
    if (plan.route->objective > duration{}) {
        cost.objective = request.arrived_at + plan.route->objective;
    }
    cost.deadline = plan.deadline;
    cost.work = expected_warm(state, plan, plan.route->name);
    return cost;
}

double find_reserve(const traffic_state& state, const request_plan& plan,
                    const steering::service_demand& demand, const steering::admission_request& cost,
                    time_point now)
{
    std::vector<steering::work_estimate> works;
    for (const steering::route_class& item : demand.classes) {
        works.push_back(steering::expected_work(state.pool, plan.service, item.route));
    }
    const double load =
        steering::urgent_load(demand, state.demand_tuning, plan.priority, cost.work, works, now);
    return steering::reserved_slots(demand, state.demand_tuning, load, cost.standing);
}

steering::room_estimate find_room(const traffic_state& state, const request_plan& plan,
                                  const steering::placement& placement)
{
    const auto profile = state.pool.profiles.find(plan.service);
    const steering::service_profile known =
        profile == state.pool.profiles.end() ? steering::service_profile{} : profile->second;
    const bool is_withheld = placement.withheld != steering::withheld_cause::none;
    if (plan.reserved_slots > 0 && placement.preferred != nullptr && !is_withheld) {
        return steering::room_beside_reserve(*placement.preferred, plan.reserved_slots, known.warm);
    }
    return plan.object || is_withheld ? placement.preferred_room
                                      : steering::room_from_rate(known.completions_per_s);
}

} // namespace

void set_shared_services(traffic_state& state, const steering::configuration& source)
{
    std::map<std::string, service_admission> admissions;
    for (auto& [service, classes] : steering::find_shared_services(source)) {
        service_admission* known = find_admission(state, service);
        service_admission& admission = admissions[service];
        if (known != nullptr) {
            admission = std::move(*known);
        }
        admission.demand.classes = classes;
    }
    state.admissions = std::move(admissions);
    double sum = 0;
    double count = 0;
    for (const steering::customer& item : source.customers) {
        sum += item.rate;
        count += item.rate > 0 ? 1 : 0;
    }
    state.mean_customer_rate = count == 0 ? 0 : sum / count;
}

void update_admission_loads(traffic_state& state, time_point now)
{
    for (auto& [service, admission] : state.admissions) {
        steering::update_load(admission.demand, state.demand_tuning, state.pool, service, now);
    }
}

bool is_shared_service(const traffic_state& state, const std::string& service)
{
    return state.admissions.contains(service);
}

void on_search_began(traffic_state& state, const caller_request& request, request_plan& plan, time_point now)
{
    service_admission* admission = find_admission(state, plan.service);
    if (admission == nullptr) {
        return;
    }
    steering::on_route_arrival(admission->demand, state.demand_tuning, plan.route->name, now);
    plan.returned =
        steering::take_return(admission->returns, state.return_tuning, return_identity(request, plan), now);
    if (plan.returned != steering::return_kind::first) {
        const bool is_early = plan.returned == steering::return_kind::early;
        count_by_route(state, "camphorknot_returns_total", plan,
                       is_early ? ",time=\"early\"" : ",time=\"told\"");
    }
}

void on_target_found(traffic_state& state, const request_plan& plan, time_point now)
{
    if (service_admission* admission = find_admission(state, plan.service)) {
        steering::on_route_decided(admission->demand, state.demand_tuning, plan.route->name, true, now);
    }
}

void on_refused(traffic_state& state, const request_plan& plan, std::string_view reason, time_point now)
{
    count_by_route(state, "camphorknot_route_refusals_total", plan,
                   ",reason=\"" + std::string(reason) + "\"");
    if (plan.returned != steering::return_kind::first) {
        count_by_route(state, "camphorknot_repeated_refusals_total", plan);
    }
    if (service_admission* admission = find_admission(state, plan.service)) {
        steering::on_route_decided(admission->demand, state.demand_tuning, plan.route->name, false, now);
    }
}

duration promise_retry(traffic_state& state, const caller_request& request, const request_plan& plan,
                       const steering::wait_decision& refused, time_point now)
{
    service_admission* admission = find_admission(state, plan.service);
    if (admission == nullptr) {
        return refused.retry_after;
    }
    const steering::return_room room{refused.expected_wait,
                                     state.pool.profiles[plan.service].completions_per_s};
    return steering::promise_return(admission->returns, state.return_tuning, return_identity(request, plan),
                                    plan.deadline - now, room, now, uniform_real(state.random));
}

void on_wait_began(traffic_state& state, const request_plan& plan)
{
    count_by_route(state, "camphorknot_waits_total", plan);
}

void apply_cost(traffic_state& state, const caller_request& request, request_plan& plan,
                steering::waiting_request& entry, time_point now)
{
    const service_admission* admission = find_admission(state, plan.service);
    plan.reserved_slots = 0;
    if (admission == nullptr) {
        return;
    }
    steering::admission_request cost = describe(state, request, plan);
    cost.ranked_work = longest_work(state, plan, admission->demand);
    cost.standing = steering::standing_of(admission->demand, state.demand_tuning, plan.route->name, now);
    plan.reserved_slots = find_reserve(state, plan, admission->demand, cost, now);
    entry.value_rank = steering::value_rank(state.cost_tuning, cost, now);
    entry.yields = plan.reserved_slots > 0;
    entry.refuse_at = std::min(entry.refuse_at, steering::latest_start(state.cost_tuning, state.queue_tuning,
                                                                       cost, plan.route->objective, now));
    if (plan.customer != nullptr) {
        entry.customer = hash_name(plan.customer->name);
        entry.fair_turn = steering::fair_turn(state.queues[plan.service].order, entry.customer,
                                              customer_weight(state, plan));
    }
}

bool is_too_late(const traffic_state& state, const caller_request& request, const request_plan& plan,
                 time_point now)
{
    return is_shared_service(state, plan.service) &&
           !steering::can_meet_deadline(state.cost_tuning, describe(state, request, plan),
                                        plan.deadline - request.arrived_at, now);
}

bool claims_slot(traffic_state& state, const request_plan& plan, const steering::target_state& target)
{
    return plan.reserved_slots <= 0 || uniform_real(state.random) < steering::claim_probability(target);
}

steering::admission_decision decide_admission(traffic_state& state, const request_plan& plan,
                                              const steering::placement& placement,
                                              steering::waiting_request& entry, time_point now)
{
    const steering::wait_queue& queue = state.queues[plan.service].order;
    const steering::room_estimate room = find_room(state, plan, placement);
    const double jitter = uniform_real(state.random);
    if (is_shared_service(state, plan.service)) {
        return steering::decide_admission(queue, state.queue_tuning, entry, now, room, jitter);
    }
    return {
        steering::decide_wait(queue, state.queue_tuning, entry, now, plan.route->objective, room, jitter)};
}

void displace(service_queue& queue, std::uint64_t id)
{
    const auto found = queue.waiters.find(id);
    if (found == queue.waiters.end() || found->second->is_woken) {
        return; // It is about to be sent.
    }
    found->second->is_displaced = true;
    found->second->wakeup.cancel();
    steering::remove_waiting(queue.order, id);
}

} // namespace camphorknot::edge
