#include "traffic.hpp"

#include <boost/asio/post.hpp>
#include <cmath>

#include "admission.hpp"
#include "placement_metrics.hpp"
#include "sockets.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Period of the reports to the control thread, which sends them to the other instances at the same rate.
constexpr duration report_period = std::chrono::milliseconds(200);
// An answer of a target is reflected in the views after this time.
constexpr duration view_delay = std::chrono::seconds(1);

// Smoothed rate of the requests received from callers.
float update_request_rate(traffic_state& state, time_point now)
{
    constexpr double period_s = 1; // Time constant.
    const double elapsed_s = std::chrono::duration<double>(now - state.request_rate_updated_at).count();
    const std::uint64_t received = state.counters.requests->load(std::memory_order_relaxed);
    if (elapsed_s > 0) {
        const double rate = static_cast<double>(received - state.request_rate_counted) / elapsed_s;
        state.request_rate += (rate - state.request_rate) * (1 - std::exp(-elapsed_s / period_s));
        state.request_rate_counted = received;
        state.request_rate_updated_at = now;
    }
    return static_cast<float>(state.request_rate);
}

// Counts the requests that have reached their age of judgement.
void judge_requests(traffic_state& state, time_point now)
{
    for (const steering::judgement& judged : steering::judge_due(state.request_watch, now)) {
        steering::version_counts& counted = counts_of(state, {judged.service, judged.version, judged.route});
        ++counted.judged;
        counted.judged_failing += judged.is_failing ? 1 : 0;
    }
}

// The counts of the services under rollout, and of those whose new version is watched.
void add_version_counts(const traffic_state& state, std::vector<steering::version_counts>& reported)
{
    std::map<count_key, std::uint64_t> unjudged;
    for (const auto& [id, request] : state.request_watch.open) {
        ++unjudged[{request.service, request.version, request.route}];
    }
    for (const auto& [key, counted] : state.counts) {
        const auto rule = state.view.versions.find(counted.service);
        if (rule == state.view.versions.end() || (rule->second.next.empty() && !rule->second.is_watched)) {
            continue;
        }
        steering::version_counts& entry = reported.emplace_back(counted);
        entry.order_version = rule->second.order_version;
        entry.has_judged = true;
        const auto open = unjudged.find(key);
        entry.unjudged = open == unjudged.end() ? 0 : open->second;
    }
}

traffic_report make_report(traffic_state& state, time_point now)
{
    traffic_report report;
    for (const auto& [name, bucket] : state.rates.buckets) {
        const double demand = steering::demand_of(bucket, now);
        if (demand > 0.05) {
            report.load.demands.push_back({name, static_cast<float>(demand)});
        }
    }
    for (const auto& [id, target] : state.pool.targets) {
        if (target.own_in_flight > 0) {
            report.load.in_flight.push_back({id, target.own_in_flight});
        }
    }
    judge_requests(state, now);
    add_version_counts(state, report.load.counts);
    for (const auto& [id, request] : state.request_watch.open) {
        duration& longest = report.judgement_ages[request.service];
        longest = std::max(longest, request.judged_after);
    }
    steering::forget_old_notices(state.notices, now);
    report.load.notices = steering::notices_to_report(state.notices, now);
    report.running_requests = state.running_requests;
    report.load.requests_per_s = update_request_rate(state, now);
    report.crashes = state.crashes.published;
    report.access = current_access(state);
    if (state.view.usage) {
        report.usage = steering::collect_counts(state.usage, *state.view.usage, now);
    }
    return report;
}

void tick(traffic_state& state)
{
    const time_point now = boot_now();
    on_crash_watch_tick(state, now);
    probe_services(state, now);
    update_admission_loads(state, now);
    send_report(state);
    publish_profiles(state.metric_registry, state.pool);
    publish_slow_targets(state.metric_registry, state.pool, now);
    sweep_connections(
        state.connections, [&](const std::string& id) { return state.pool.targets.contains(id); }, now);
    sweep_connections(
        state.peer_connections, [](const std::string& /*name*/) { return true; }, now);
    for (auto& [service, queue] : state.queues) {
        wake_waiters(state, service, queue.waiters.size());
    }
}

void schedule_tick(traffic_state& state)
{
    state.ticker.expires_after(report_period);
    state.ticker.async_wait([&state](boost::system::error_code cancelled) {
        if (cancelled) {
            return;
        }
        try {
            tick(state);
        } catch (...) {
            schedule_tick(state); // run_handlers reports the exception.
            throw;
        }
        schedule_tick(state);
    });
}

void apply_evacuations(traffic_state& state, const std::set<std::string>& evacuated, time_point now)
{
    for (const std::string& domain : state.pool.evacuated) {
        if (!evacuated.contains(domain)) {
            // Without requests the targets may have become cold during the evacuation.
            steering::set_domain_cold(state.pool, domain, *state.view.routes, now);
        }
    }
    state.pool.evacuated = evacuated;
}

// The part of a limit that the view assigns. The view lags behind this instance's own answers, so that a
// recent one decides whether there is a limit; without an assignment nothing is sent.
std::optional<double> own_limit_share(const traffic_state& state, const steering::target& target,
                                      time_point now)
{
    const auto own = state.notices.targets.find(target.id);
    const auto assigned = state.view.limit_shares.find(target.id);
    const bool is_recent = own != state.notices.targets.end() && own->second.born_ms == target.born_ms &&
                           now - own->second.announced_at < view_delay;
    const bool is_limited =
        is_recent ? own->second.limit_per_s.has_value() : assigned != state.view.limit_shares.end();
    if (!is_limited) {
        return std::nullopt;
    }
    return assigned == state.view.limit_shares.end() ? 0 : assigned->second;
}

// What a version answered before a rollout began says nothing about its targets of today.
void reset_counts(traffic_state& state, const std::map<std::string, version_rule>& incoming)
{
    for (const auto& item : incoming) {
        const version_rule& rule = item.second;
        const auto known = state.view.versions.find(item.first);
        const bool is_known =
            known != state.view.versions.end() && known->second.run_started_at == rule.run_started_at;
        if (!rule.next.empty() && !is_known) {
            std::erase_if(state.counts,
                          [&](const auto& entry) { return entry.second.service == item.first; });
            steering::forget_service(state.request_watch, item.first);
        }
    }
}

void apply_view(traffic_state& state, traffic_view view)
{
    const time_point now = boot_now();
    const bool routes_changed = view.routes != state.view.routes;
    const bool targets_changed = view.targets != state.view.targets || routes_changed;
    reset_counts(state, view.versions);
    state.view = std::move(view);
    if (state.view.routes == nullptr) {
        return;
    }
    if (routes_changed) {
        steering::set_limits(state.rates, *state.view.routes->source, now);
        set_shared_services(state, *state.view.routes->source);
    }
    steering::set_fleet_demand(state.rates, state.view.demand, state.settings.bounds, now);
    if (targets_changed && state.view.targets != nullptr) {
        steering::set_targets(state.pool, *state.view.targets, state.settings.failure_domains,
                              *state.view.routes, now);
    }
    apply_evacuations(state, state.view.evacuated, now);
    for (auto& [id, target] : state.pool.targets) {
        const auto found = state.view.peer_in_flight.find(id);
        steering::on_peer_load_reported(target, found == state.view.peer_in_flight.end() ? 0 : found->second,
                                        now);
        target.is_warmup_owner = state.view.assigned_warmups.contains(id);
        if (steering::is_leaving(state.notices, id, target.entry.born_ms)) {
            target.entry.draining = true;
        }
        steering::set_named_limit(target, own_limit_share(state, target.entry, now), now);
    }
    for (auto& [service, queue] : state.queues) {
        wake_waiters(state, service, queue.waiters.size());
    }
}

void register_metrics(traffic_state& state)
{
    traffic_metrics& counters = state.counters;
    edge::register_metrics(state.messages, state.metric_registry);
    state.ends.registry = &state.metric_registry;
    counters.requests = &counter(state.metric_registry, "camphorknot_requests_total", "");
    counters.answered = &counter(state.metric_registry, "camphorknot_target_answers_total", "");
    counters.retries = &counter(state.metric_registry, "camphorknot_retries_total", "");
    counters.new_connections = &counter(state.metric_registry, "camphorknot_target_connections_total", "");
    counters.skipped_answers = &counter(state.metric_registry, "camphorknot_skipped_answers_total", "");
    counters.pipelined_requests = &counter(state.metric_registry, "camphorknot_pipelined_requests_total", "");
    counters.pipelined_dropped = &counter(state.metric_registry, "camphorknot_pipelined_dropped_total", "");
    counters.requests_ahead = &gauge(state.metric_registry, "camphorknot_requests_ahead", "");
    counters.pipelined_answer_bytes = &gauge(state.metric_registry, "camphorknot_pipelined_answer_bytes", "");
    counters.request_time = &latency(state.metric_registry, "camphorknot_request_seconds", "");
    counters.wait_time = &latency(state.metric_registry, "camphorknot_wait_seconds", "");
    counters.warm_time = &latency(state.metric_registry, "camphorknot_service_seconds", "object=\"warm\"");
    counters.miss_time = &latency(state.metric_registry, "camphorknot_service_seconds", "object=\"miss\"");
}

} // namespace

std::optional<start_failure> start_traffic(traffic_state& state)
{
    const edge_settings& settings = state.settings;
    if (const auto error = open_acceptor(state.acceptor, settings.front)) {
        return start_failure{instance_port::front, settings.front, error};
    }
    const bool takes_peers = settings.relay.port != 0;
    if (takes_peers) {
        if (const auto error = open_acceptor(state.relay_acceptor, settings.relay)) {
            return start_failure{instance_port::relay, settings.relay, error};
        }
    }
    state.pool.own_domain = state.settings.identity.failure_domain;
    state.pool.own_region = state.settings.identity.region;
    if (state.settings.memory_mb > 0) {
        state.messages.ledger.budget = steering::budget_of_machine(state.settings.memory_mb);
    }
    state.connections.egress_ip = state.settings.egress_ip;
    state.random.state = hash_name(state.settings.identity.name) ^ state.settings.identity.incarnation;
    state.crashes.table.verdict_extension = uniform_real(state.random);
    register_metrics(state);
    const steering::connection_limits limits =
        find_connection_limits(state.settings.descriptors, state.settings.memory_mb);
    open_limits(state.sessions, "front", limits.callers, state.metric_registry);
    accept_sessions(state, state.acceptor, session_kind::caller);
    if (takes_peers) {
        accept_sessions(state, state.relay_acceptor, session_kind::peer);
    }
    schedule_tick(state);
    state.thread = std::thread([&state] { run_handlers(state.context, "traffic", state.metric_registry); });
    return std::nullopt;
}

void post_view(traffic_state& state, traffic_view view)
{
    asio::post(state.context,
               [&state, view = std::move(view)]() mutable { apply_view(state, std::move(view)); });
}

void post_owned_rate_token(traffic_state& state, std::string customer, std::function<void(duration)> done)
{
    asio::post(state.context, [&state, customer = std::move(customer), done = std::move(done)] {
        done(steering::take_token_uncounted(state.rates, customer, boot_now()));
    });
}

void post_token_answer(traffic_state& state, std::uint64_t id, duration wait)
{
    asio::post(state.context, [&state, id, wait] {
        const auto found = state.pending_tokens.find(id);
        if (found != state.pending_tokens.end()) {
            found->second->answer = wait;
            found->second->timeout.cancel();
        }
    });
}

void post_crash_reports(traffic_state& state, std::vector<steering::crash_report> reports)
{
    asio::post(state.context,
               [&state, reports = std::move(reports)] { merge_crash_reports(state, reports); });
}

void send_report(traffic_state& state)
{
    state.on_report(make_report(state, boot_now()));
}

void join_traffic(traffic_state& state)
{
    state.context.stop();
    if (state.thread.joinable()) {
        state.thread.join();
    }
    report_open_connections(state.ends);
}

platform::http_response refuse(traffic_state& state, const caller_request& request, unsigned status,
                               std::string_view reason, duration retry_after, std::vector<log_field> inputs)
{
    const std::string labels = "reason=\"" + std::string(reason) + "\"";
    counter(state.metric_registry, "camphorknot_refusals_total", labels)
        .fetch_add(1, std::memory_order_relaxed);
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(boot_now() - request.arrived_at).count();
    inputs.insert(inputs.begin(), {{"request", request.metadata.attempt},
                                   {"reason", std::string(reason)},
                                   {"status", std::to_string(status)},
                                   {"after_ms", std::to_string(ms)}});
    log_event_limited(state.log, log_severity::info, "request_refused", std::move(inputs));
    return platform::make_own_answer(status, reason, request.metadata.attempt, retry_after);
}

} // namespace camphorknot::edge
