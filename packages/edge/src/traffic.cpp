#include "traffic.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "sockets.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Reports to the control thread, which passes them on to the other instances at the same pace.
constexpr duration report_period = std::chrono::milliseconds(200);
// A stopping instance accepts connections for this part of its stop time, since callers use a directory
// answer until it expires.
constexpr double accepting_part = 0.6;
// Time that is left unused before the forced end.
constexpr duration stop_margin = std::chrono::milliseconds(500);
// A stopping instance goes on for at least this long, so that callers hear of it from the directory first.
constexpr duration least_stop_time = std::chrono::milliseconds(3000);

traffic_report make_report(traffic& state, time_point now)
{
    traffic_report report;
    for (const auto& [name, bucket] : state.rates.buckets) {
        const double demand = steering::demand_of(bucket, now);
        if (demand > 0.05) {
            report.load.demands.push_back({name, static_cast<float>(demand)});
        }
    }
    for (const auto& [id, belief] : state.pool.targets) {
        if (belief.own_in_flight > 0) {
            report.load.in_flight.push_back({id, belief.own_in_flight});
        }
    }
    for (const auto& [key, counted] : state.counts) {
        const auto rule = state.view.versions.find(counted.service);
        if (rule != state.view.versions.end() && !rule->second.next.empty()) {
            report.load.counts.push_back(counted);
        }
    }
    report.running = state.running;
    return report;
}

duration part_of(duration whole, double part)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

void check_stop(traffic& state, time_point now)
{
    const duration elapsed = now - state.stop_began;
    const duration limit = state.settings.bounds.stop_time - stop_margin;
    if (elapsed > part_of(state.settings.bounds.stop_time, accepting_part) && state.acceptor.is_open()) {
        boost::system::error_code ignored; // Closing is all that can be done.
        state.acceptor.close(ignored);
    }
    const bool idle = state.running == 0 && elapsed >= least_stop_time;
    if ((idle || elapsed >= limit) && state.on_stopped) {
        log_event(log_severity::info, "traffic_stopped", {{"running", std::to_string(state.running)}});
        state.on_stopped();
        state.on_stopped = nullptr;
    }
}

void tick(traffic& state)
{
    const time_point now = boot_now();
    state.on_report(make_report(state, now));
    sweep_connections(
        state.connections, [&](const std::string& id) { return state.pool.targets.contains(id); }, now);
    for (auto& [service, queue] : state.queues) {
        call_waiters(state, service, queue.waiters.size());
    }
    if (state.stopping) {
        check_stop(state, now);
    }
}

void schedule_tick(traffic& state)
{
    state.ticker.expires_after(report_period);
    state.ticker.async_wait([&state](boost::system::error_code cancelled) {
        if (!cancelled) {
            tick(state);
            schedule_tick(state);
        }
    });
}

void apply_evacuations(traffic& state, const std::set<std::string>& evacuated, time_point now)
{
    for (const std::string& domain : state.pool.evacuated) {
        if (!evacuated.contains(domain)) {
            // Targets without work may have gone cold meanwhile.
            steering::set_domain_cold(state.pool, domain, *state.view.routes, now);
        }
    }
    state.pool.evacuated = evacuated;
}

void apply_view(traffic& state, traffic_view view)
{
    const time_point now = boot_now();
    const bool new_routes = view.routes != state.view.routes;
    const bool new_targets = view.targets != state.view.targets || new_routes;
    state.view = std::move(view);
    if (state.view.routes == nullptr) {
        return;
    }
    if (new_routes) {
        steering::set_limits(state.rates, *state.view.routes->source, now);
    }
    steering::set_fleet_demand(state.rates, state.view.demand, state.settings.bounds, now);
    if (new_targets && state.view.targets != nullptr) {
        steering::set_targets(state.pool, *state.view.targets, state.settings.failure_domains,
                              *state.view.routes, now);
    }
    apply_evacuations(state, state.view.evacuated, now);
    for (auto& [id, belief] : state.pool.targets) {
        const auto found = state.view.peer_in_flight.find(id);
        steering::on_peer_load_reported(belief, found == state.view.peer_in_flight.end() ? 0 : found->second,
                                        now);
        belief.is_warmup_owner = state.view.warmed_here.contains(id);
    }
    for (auto& [service, queue] : state.queues) {
        call_waiters(state, service, queue.waiters.size());
    }
}

void register_metrics(traffic& state)
{
    traffic_metrics& into = state.counters;
    into.requests = &counter(state.page, "camphorknot_requests_total", "");
    into.answered = &counter(state.page, "camphorknot_target_answers_total", "");
    into.retries = &counter(state.page, "camphorknot_retries_total", "");
    into.new_connections = &counter(state.page, "camphorknot_target_connections_total", "");
    into.request_time = &latency(state.page, "camphorknot_request_seconds", "");
    into.wait_time = &latency(state.page, "camphorknot_wait_seconds", "");
    into.warm_time = &latency(state.page, "camphorknot_service_seconds", "object=\"warm\"");
    into.miss_time = &latency(state.page, "camphorknot_service_seconds", "object=\"miss\"");
}

} // namespace

bool start_traffic(traffic& state)
{
    if (!open_acceptor(state.acceptor, state.settings.front)) {
        return false;
    }
    state.pool.own_domain = state.settings.identity.failure_domain;
    state.pool.own_region = state.settings.identity.region;
    state.random.state = hash_name(state.settings.identity.name) ^ state.settings.identity.incarnation;
    register_metrics(state);
    asio::co_spawn(state.context, accept_callers(state), asio::detached);
    schedule_tick(state);
    state.thread = std::thread([&state] { state.context.run(); });
    return true;
}

void post_view(traffic& state, traffic_view view)
{
    asio::post(state.context,
               [&state, view = std::move(view)]() mutable { apply_view(state, std::move(view)); });
}

void post_kept_token(traffic& state, std::string customer, std::function<void(duration)> done)
{
    asio::post(state.context, [&state, customer = std::move(customer), done = std::move(done)] {
        done(steering::take_token_for_peer(state.rates, customer, boot_now()));
    });
}

void post_token_answer(traffic& state, std::uint64_t id, duration wait)
{
    asio::post(state.context, [&state, id, wait] {
        const auto found = state.token_waits.find(id);
        if (found != state.token_waits.end()) {
            found->second->answer = wait;
            found->second->limit.cancel();
        }
    });
}

void post_stop(traffic& state)
{
    asio::post(state.context, [&state] {
        state.stopping = true;
        state.stop_began = boot_now();
    });
}

void join_traffic(traffic& state)
{
    state.context.stop();
    if (state.thread.joinable()) {
        state.thread.join();
    }
}

platform::http_response refuse(traffic& state, const caller_request& request, unsigned status,
                               std::string_view reason, duration retry_after, std::vector<log_field> inputs)
{
    const std::string labels = "reason=\"" + std::string(reason) + "\"";
    counter(state.page, "camphorknot_refusals_total", labels).fetch_add(1, std::memory_order_relaxed);
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(boot_now() - request.arrived).count();
    inputs.insert(inputs.begin(), {{"request", request.facts.attempt},
                                   {"reason", std::string(reason)},
                                   {"status", std::to_string(status)},
                                   {"after_ms", std::to_string(ms)}});
    log_event_limited(state.log, log_severity::info, "request_refused", std::move(inputs));
    return platform::make_own_answer(status, reason, request.facts.attempt, retry_after);
}

} // namespace camphorknot::edge
