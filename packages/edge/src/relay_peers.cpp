// Services of which this instance reaches no target, and the requests for them, which it passes on to another
// instance.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

#include "relay.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(500);
// Instances that a request is passed on to, one after the other, if they cannot be reached.
constexpr unsigned max_hops = 3;
// Time for the control thread to name the other instances after a service became unreachable.
constexpr duration view_wait = std::chrono::milliseconds(60);
// Subtracted from the time that the other instance is given, for the transfer of its answer.
constexpr duration answer_margin = std::chrono::milliseconds(20);

constexpr unsigned first_failure_status = 500;

struct probe_round {
    std::size_t running = 0;
    bool any_reached = false;
};

// Some targets of the service, from different failure domains as far as possible, others each time.
std::vector<steering::target> pick_probe_targets(traffic_state& state, const std::string& service,
                                                 std::size_t count)
{
    std::vector<steering::target> usable;
    const auto members = state.pool.by_service.find(service);
    if (members != state.pool.by_service.end()) {
        for (const steering::target_state* member : members->second) {
            if (!member->entry.draining) {
                usable.push_back(member->entry);
            }
        }
    }
    std::ranges::shuffle(usable, state.random);
    std::set<std::string> domains;
    std::stable_partition(usable.begin(), usable.end(), [&](const steering::target& entry) {
        return domains.insert(entry.failure_domain).second;
    });
    usable.resize(std::min(usable.size(), count));
    return usable;
}

void on_round_ended(traffic_state& state, const std::string& service, bool any_reached)
{
    const time_point now = boot_now();
    steering::service_reach& reach = state.reach[service];
    const time_point probe_started_at = reach.probed_at;
    if (!steering::on_probe_ended(reach, steering::reach_tuning{}, any_reached, now)) {
        return;
    }
    log_event(log_severity::warning, reach.unreachable ? "targets_unreachable" : "targets_reached",
              {{"service", service},
               {"recovery_ms", to_ms(reach.recovery)},
               {"probed_ms", to_ms(now - probe_started_at)}});
    gauge(state.metric_registry, "camphorknot_unreachable_services", "")
        .store(static_cast<std::int64_t>(current_access(state).unreachable_services.size()),
               std::memory_order_relaxed);
    send_report(state);
    const auto queue = state.queues.find(service);
    if (queue != state.queues.end()) {
        wake_waiters(state, service, queue->second.waiters.size());
    }
}

asio::awaitable<connect_outcome> probe_target(traffic_state& state, steering::target target)
{
    co_return co_await open_idle_connection(state.connections, target, probe_timeout);
}

void probe_service(traffic_state& state, const std::string& service, time_point now)
{
    const steering::reach_tuning tuning;
    const auto targets = pick_probe_targets(state, service, tuning.probed_targets);
    if (targets.empty()) {
        return;
    }
    steering::on_probe_started(state.reach[service], now);
    auto round = std::make_shared<probe_round>(probe_round{targets.size(), false});
    for (const steering::target& target : targets) {
        asio::co_spawn(state.context, probe_target(state, target),
                       [&state, service, round](const std::exception_ptr&, connect_outcome outcome) {
                           round->any_reached = round->any_reached || outcome == connect_outcome::connected;
                           if (--round->running == 0) {
                               on_round_ended(state, service, round->any_reached);
                           }
                       });
    }
}

// The address as that of a target, for the exchange.
std::optional<steering::target> to_peer(const steering::next_hop& hop)
{
    const std::size_t colon = hop.relay_address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    steering::target peer;
    peer.id = hop.name;
    peer.ip = hop.relay_address.substr(0, colon);
    const char* end = hop.relay_address.data() + hop.relay_address.size();
    std::from_chars(hop.relay_address.data() + colon + 1, end, peer.port);
    return peer.port == 0 ? std::nullopt : std::optional(peer);
}

steering::next_hop_request hop_criteria(const traffic_state& state, const request_plan& plan,
                                        std::span<const std::string> tried)
{
    steering::next_hop_request criteria;
    criteria.service = plan.service;
    criteria.own_region = state.settings.identity.region;
    criteria.route_regions = plan.route->regions;
    if (plan.customer != nullptr) {
        criteria.customer_regions = plan.customer->regions;
    }
    criteria.tried = tried;
    return criteria;
}

std::optional<steering::target> find_hop(traffic_state& state, const request_plan& plan,
                                         std::span<const std::string> tried)
{
    const steering::next_hop_request criteria = hop_criteria(state, plan, tried);
    const double random_value = uniform_real(state.random);
    const steering::next_hop* hop = steering::select_next_hop(state.view.next_hops, criteria, random_value);
    if (hop == nullptr) {
        hop = steering::select_trial_hop(state.reach[plan.service], steering::reach_tuning{},
                                         state.view.next_hops, criteria, random_value, boot_now());
    }
    return hop == nullptr ? std::nullopt : to_peer(*hop);
}

void log_hop(traffic_state& state, const caller_request& request, const request_plan& plan,
             const std::string& peer, const exchange_result& result, duration elapsed)
{
    log_event_limited(state.log, result.answer ? log_severity::info : log_severity::warning,
                      "request_passed_on",
                      {{"request", request.metadata.attempt},
                       {"service", plan.service},
                       {"to", peer},
                       {"end", std::string(name_of(result.outcome))},
                       {"status", std::to_string(result.answer ? result.answer->response.result_int() : 0)},
                       {"took_ms", to_ms(elapsed)}});
}

// Whether the answer of another instance promises that the request has not run. An answer that names no
// request promises nothing.
bool is_promise(const target_answer& answer)
{
    return steering::promises_not_run(answer.response.result_int()) && !answer.metadata.attempt.empty();
}

not_run_proof find_peer_proof(const exchange_result& result)
{
    if (result.outcome == exchange_outcome::not_connected) {
        return not_run_proof::not_connected;
    }
    return result.answer && is_promise(*result.answer) ? not_run_proof::peer_refusal : not_run_proof::none;
}

// The answer of the other instance. A promise of it holds for its own sends only, see handle_request.
platform::http_response take_over_answer(caller_request& request, request_plan& plan,
                                         const target_answer& answer)
{
    if (!is_promise(answer)) {
        request.may_have_run = true;
        ++plan.send_count;
    }
    request.unrecorded_send.reset();
    return platform::make_caller_answer(answer.response);
}

// Whether the request may be passed on again after an exchange whose result is unknown.
bool may_pass_on_again(traffic_state& state, const request_plan& plan)
{
    return plan.route->repeats == steering::repeat_policy::idempotent &&
           plan.send_count < plan.route->max_targets &&
           boot_now() <= find_latest_send(state, plan, nullptr) &&
           steering::take_retry(state.retry_budgets[plan.service], state.settings.bounds,
                                state.view.demand.possible, boot_now());
}

asio::awaitable<void> wait_for_hops(traffic_state& state)
{
    if (state.view.next_hops.empty()) {
        asio::steady_timer timer(state.context, view_wait);
        boost::system::error_code ignored; // The timer is not cancelled.
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<exchange_result> send_to_peer(traffic_state& state, std::shared_ptr<caller_request> request,
                                              request_plan& plan, steering::target peer)
{
    const bool at_most_once = plan.route->repeats == steering::repeat_policy::at_most_once;
    check_invariant(!at_most_once || !request->may_have_run, promise::p8_at_most_once, "sends_of_attempt");
    const time_point start = boot_now();
    const duration time_left = plan.deadline - start;
    platform::http_request message =
        platform::make_peer_request(request->message, time_left - answer_margin, plan.send_count);
    request->watch.set_receiver(peer.id);
    request->active_exchange = std::make_shared<exchange_handle>();
    request->active_exchange->send_by = find_latest_send(state, plan, nullptr);
    request->at_most_once = plan.route->repeats != steering::repeat_policy::idempotent;
    request->unrecorded_send = open_send{.placement = {}, .sent_at = start, .may_be_received = true};
    exchange_result result =
        co_await exchange(state.peer_connections, peer, std::move(message), request->metadata.attempt,
                          at_most_once, time_left, request->active_exchange);
    request->active_exchange.reset();
    log_hop(state, *request, plan, peer.id, result, boot_now() - start);
    const bool is_lost = result.outcome == exchange_outcome::broken ||
                         result.outcome == exchange_outcome::timed_out ||
                         result.outcome == exchange_outcome::ended;
    if (is_lost) {
        request->may_have_run = true;
        ++plan.send_count;
    }
    if (!result.answer) {
        request->unrecorded_send.reset();
    }
    record_send(*request, send_receiver::instance, peer.id, result, find_peer_proof(result));
    co_return result;
}

platform::http_response refuse_unreachable(traffic_state& state, const caller_request& request,
                                           const request_plan& plan, bool is_timeout)
{
    if (!request.may_have_run) {
        return refuse(state, request, unavailable, "targets_unreachable",
                      jittered_pause(state, short_retry_after), {{"service", plan.service}});
    }
    return refuse(state, request, is_timeout ? gateway_timeout : bad_gateway,
                  is_timeout ? "target_timeout" : "answer_lost", duration{}, {{"service", plan.service}});
}

} // namespace

void update_reach(traffic_state& state, const std::string& service, const exchange_result& result,
                  time_point sent_at, time_point now)
{
    steering::service_reach& reach = state.reach[service];
    const bool is_silent =
        (result.outcome == exchange_outcome::timed_out || result.outcome == exchange_outcome::broken) &&
        !result.connection_lost && reach.answered_at < sent_at;
    if (result.outcome == exchange_outcome::not_connected || is_silent) {
        steering::on_target_unreached(reach);
    } else if (result.new_connection) {
        steering::on_target_reached(reach, now);
    }
    if (result.outcome == exchange_outcome::answered) {
        reach.answered_at = now;
    }
    if (steering::is_probe_due(reach, steering::reach_tuning{}, now)) {
        probe_service(state, service, now);
    }
}

void probe_services(traffic_state& state, time_point now)
{
    for (const auto& [service, reach] : state.reach) {
        if (steering::is_probe_due(reach, steering::reach_tuning{}, now)) {
            probe_service(state, service, now);
        }
    }
}

steering::target_access current_access(const traffic_state& state)
{
    steering::target_access access;
    bool reaches_any = state.pool.by_service.empty();
    for (const auto& [service, members] : state.pool.by_service) {
        const auto reach = state.reach.find(service);
        if (reach != state.reach.end() && reach->second.unreachable) {
            access.unreachable_services.push_back(service);
        } else {
            reaches_any = true;
        }
    }
    access.reaches_any = reaches_any;
    return access;
}

bool should_pass_on(const traffic_state& state, const request_plan& plan)
{
    const auto reach = state.reach.find(plan.service);
    if (reach == state.reach.end() || !reach->second.unreachable) {
        return false;
    }
    const bool has_hop =
        steering::select_next_hop(state.view.next_hops, hop_criteria(state, plan, {}), 0) != nullptr;
    return has_hop || !steering::may_try_targets(reach->second);
}

asio::awaitable<platform::http_response> pass_on(traffic_state& state,
                                                 std::shared_ptr<caller_request> request, request_plan& plan)
{
    bool is_timeout = false;
    if (request->from_peer) {
        co_return refuse_unreachable(state, *request, plan, is_timeout);
    }
    co_await wait_for_hops(state);
    std::vector<std::string> tried;
    for (unsigned count = 0; count < max_hops; ++count) {
        const std::optional<steering::target> peer = find_hop(state, plan, tried);
        if (!peer || request->caller_left || plan.deadline - boot_now() <= answer_margin) {
            break;
        }
        if (!request->may_have_run && boot_now() > find_latest_send(state, plan, nullptr)) {
            co_return refuse_stopping(state, *request);
        }
        tried.push_back(peer->id);
        const exchange_result result = co_await send_to_peer(state, request, plan, *peer);
        if (result.answer) {
            if (result.answer->response.result_int() < first_failure_status) {
                steering::on_hop_served(state.reach[plan.service], peer->id, boot_now());
            }
            co_return take_over_answer(*request, plan, *result.answer);
        }
        if (result.outcome == exchange_outcome::abandoned) {
            co_return refuse(state, *request, bad_gateway, "caller_left", duration{},
                             {{"service", plan.service}});
        }
        is_timeout =
            result.outcome == exchange_outcome::timed_out || result.outcome == exchange_outcome::ended;
        const bool may_have_arrived = result.outcome != exchange_outcome::not_connected;
        if (may_have_arrived && !may_pass_on_again(state, plan)) {
            break;
        }
    }
    co_return refuse_unreachable(state, *request, plan, is_timeout);
}

} // namespace camphorknot::edge
