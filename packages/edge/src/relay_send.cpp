// One send to a target, the updates that its outcome causes, and whether the request may be retried.
#include "identity.hpp"
#include "relay.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Failed connects do not count as sends, so they have a limit of their own.
constexpr unsigned max_connect_failures = 3;
// A retry needs at least this fraction of the average service time before the deadline.
constexpr double min_retry_fraction = 0.6;
// Subtracted from the time that a target is given, for the transfer of its answer.
constexpr duration answer_margin = std::chrono::milliseconds(20);

steering::target_outcome classify_outcome(const exchange_result& result)
{
    switch (result.outcome) {
    case exchange_outcome::not_connected:
    case exchange_outcome::timed_out:
        return steering::target_outcome::unreachable;
    case exchange_outcome::broken:
        return steering::target_outcome::failure;
    case exchange_outcome::abandoned:
    case exchange_outcome::ended:
        return steering::target_outcome::abandoned;
    case exchange_outcome::answered:
        break;
    }
    if (!result.answer) {
        return steering::target_outcome::failure;
    }
    if (result.answer->metadata.replaced) {
        return steering::target_outcome::replaced;
    }
    if (result.answer->metadata.not_run) {
        return steering::target_outcome::shed;
    }
    // A refusal without a proof that the request has not run is a failure as well.
    const unsigned status = result.answer->response.result_int();
    return status >= 500 || steering::promises_not_run(status) ? steering::target_outcome::failure
                                                               : steering::target_outcome::success;
}

steering::version_counts& counts_of(traffic_state& state, const request_plan& plan,
                                    const steering::target& target)
{
    return counts_of(state, {plan.service, target.version, plan.route->name});
}

// Whether an answer of the target takes the time of a warm one: the target is not cold, and a request for the
// same object was sent to it so long ago that the object is cached.
bool is_speed_comparable(const traffic_state& state, const request_plan& plan,
                         const steering::target_state& chosen, duration miss_time, time_point now)
{
    if (now < chosen.cold_until) {
        return false;
    }
    if (!plan.object) {
        return true;
    }
    const auto sent = chosen.objects.find(*plan.object);
    return sent != chosen.objects.end() && now - sent->second > miss_time &&
           now - sent->second < state.pool.tuning.object_retention;
}

// Lists a request of a service under rollout, so that it is judged at its age whether it is answered or not.
// Returns zero for other services.
std::uint64_t watch_for_judgement(traffic_state& state, const request_plan& plan,
                                  const steering::target_state& chosen, bool is_comparable, time_point now)
{
    if (find_version_rule(state, plan.service).next.empty()) {
        return 0;
    }
    const steering::slowness_tuning tuning;
    const std::pair key{plan.service, plan.route->name};
    const duration age = steering::judgement_age(
        state.answer_speeds[key], state.recent_answers[key], tuning,
        steering::expected_work(state.pool, plan.service, plan.route->name).miss, is_comparable);
    return steering::watch_request(state.request_watch,
                                   {plan.service, chosen.entry.version, plan.route->name, now, age, false});
}

steering::observed_end observed_end_of(steering::target_outcome outcome)
{
    switch (outcome) {
    case steering::target_outcome::success:
        return steering::observed_end::answered;
    case steering::target_outcome::abandoned:
        return steering::observed_end::caller_left;
    case steering::target_outcome::shed:
    case steering::target_outcome::replaced:
        return steering::observed_end::not_run;
    case steering::target_outcome::failure:
    case steering::target_outcome::unreachable:
        break;
    }
    return steering::observed_end::failed;
}

void count_version_answer(traffic_state& state, const request_plan& plan, const steering::target& target,
                          steering::target_outcome outcome, duration service_time, bool is_comparable)
{
    if (outcome == steering::target_outcome::shed || outcome == steering::target_outcome::replaced) {
        return;
    }
    steering::version_counts& counted = counts_of(state, plan, target);
    const steering::slowness_tuning tuning;
    steering::answer_speed& speed = state.answer_speeds[{plan.service, plan.route->name}];
    const bool slow =
        service_time >
        steering::slow_answer_time(speed, tuning,
                                   steering::expected_work(state.pool, plan.service, plan.route->name).miss,
                                   is_comparable);
    if (outcome == steering::target_outcome::abandoned && !slow) {
        ++counted.unanswered;
        return;
    }
    const version_rule rule = find_version_rule(state, plan.service);
    const bool is_current = rule.current.empty() ? rule.next.empty() : target.version == rule.current;
    // A completed version that is watched is measured by the one before it.
    if (is_current && !rule.is_watched && outcome == steering::target_outcome::success) {
        steering::on_answer(state.recent_answers[{plan.service, plan.route->name}], service_time);
        if (is_comparable) {
            steering::on_comparable_answer(speed, tuning, service_time);
        }
    }
    ++counted.answers;
    counted.failing_answers += slow || outcome != steering::target_outcome::success ? 1 : 0;
}

// The service time without what a slow moment of the target's machine added.
duration at_usual_speed(const steering::momentary_speed& speed,
                        const std::optional<steering::target_load>& load, duration service_time)
{
    const double slowdown =
        steering::experienced_slowdown(speed, load ? load->slowdown : std::nullopt, service_time);
    return duration(static_cast<std::int64_t>(static_cast<double>(service_time.count()) / slowdown));
}

void record_service_time(traffic_state& state, const request_plan& plan, const exchange_result& result,
                         steering::target_outcome outcome, duration service_time, time_point now)
{
    if (outcome == steering::target_outcome::success || result.outcome == exchange_outcome::timed_out) {
        steering::on_service_time(state.longest_answers[{plan.service, plan.route->name}], service_time, now);
    }
}

// Whether the request may be sent to another target after this outcome.
bool may_retry(traffic_state& state, const request_plan& plan, const exchange_result& result,
               steering::target_outcome outcome, time_point now)
{
    if (outcome == steering::target_outcome::success || outcome == steering::target_outcome::abandoned) {
        return false;
    }
    if (find_proof(result) == not_run_proof::none &&
        plan.route->repeats != steering::repeat_policy::idempotent) {
        return false;
    }
    if (plan.send_count >= plan.route->max_targets || plan.connect_failures >= max_connect_failures) {
        return false;
    }
    const duration average = steering::expected_work(state.pool, plan.service, plan.route->name).warm;
    const auto needed =
        duration(static_cast<std::int64_t>(static_cast<double>(average.count()) * min_retry_fraction));
    if (plan.deadline - now < needed) {
        return false;
    }
    if (result.outcome == exchange_outcome::not_connected) {
        return true; // No target received the request, so this costs no token of the retry budget.
    }
    return steering::take_retry(state.retry_budgets[plan.service], state.settings.bounds,
                                state.view.demand.possible, now);
}

// Takes over a limit that an answer named or no longer names.
void apply_announced_limit(traffic_state& state, steering::target_state& chosen,
                           std::optional<double> limit_per_s, time_point now)
{
    if (!limit_per_s) {
        steering::set_named_limit(chosen, std::nullopt, now);
    } else if (!chosen.is_limited) {
        steering::set_named_limit(chosen, 0, now); // Until the control thread assigns a part of it.
    }
    log_event_limited(state.log, log_severity::info, limit_per_s ? "limit_named" : "limit_lifted",
                      {{"target", chosen.entry.id}, {"per_s", std::to_string(limit_per_s.value_or(0))}});
}

// Targets that ask for quiet at the same time are not all sent requests again at the same time.
void keep_quiet(traffic_state& state, steering::target_state& chosen, duration asked, time_point now)
{
    constexpr duration max_spread = std::chrono::seconds(1);
    const double spread_s = std::chrono::duration<double>(std::min(asked / 2, max_spread)).count();
    const auto spread = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(spread_s * uniform_real(state.random)));
    steering::set_quiet(chosen, asked + spread, now);
    counter(state.metric_registry, "camphorknot_quiet_periods_total", "")
        .fetch_add(1, std::memory_order_relaxed);
    log_event_limited(state.log, log_severity::info, "target_quiet",
                      {{"target", chosen.entry.id}, {"asked_ms", to_ms(asked)}});
}

void on_leaving_announced(traffic_state& state, steering::target_state& chosen)
{
    chosen.entry.draining = true;
    counter(state.metric_registry, "camphorknot_leaving_notices_total", "")
        .fetch_add(1, std::memory_order_relaxed);
    log_event_limited(state.log, log_severity::info, "target_leaving", {{"target", chosen.entry.id}});
}

// Stores what the answer announced. An answer of another server at the target's address says nothing about
// it.
void store_announcement(traffic_state& state, steering::target_state& chosen, const exchange_result& result,
                        time_point now)
{
    if (!result.answer || result.answer->metadata.replaced) {
        return;
    }
    const platform::answer_metadata& metadata = result.answer->metadata;
    if (metadata.quiet_time > duration{}) {
        keep_quiet(state, chosen, metadata.quiet_time, now);
    }
    if (metadata.unreadable_headers > 0) {
        counter(state.metric_registry, "camphorknot_unreadable_announcements_total", "")
            .fetch_add(metadata.unreadable_headers, std::memory_order_relaxed);
    }
    const std::string& id = chosen.entry.id;
    const std::int64_t born_ms = chosen.entry.born_ms;
    const std::optional<double> known_limit = steering::named_limit(state.notices, id, born_ms);
    const bool was_leaving = steering::is_leaving(state.notices, id, born_ms);
    // A header that cannot be read does not lift a limit. The speed is part of another header.
    const unsigned unreadable = metadata.unreadable_headers - (metadata.unreadable_speed ? 1 : 0);
    const bool is_readable = unreadable == 0 || metadata.limit_per_s;
    const std::optional<double> limit = is_readable ? metadata.limit_per_s : known_limit;
    steering::on_announced(state.notices, id, born_ms, {limit, metadata.leaving}, now);
    if (limit != known_limit) {
        apply_announced_limit(state, chosen, limit, now);
    }
    if (metadata.leaving && !was_leaving) {
        on_leaving_announced(state, chosen);
    }
}

// Returns the id of the send among those whose outcome is open; zero if usage is not counted.
std::uint64_t count_run_sent(traffic_state& state, const request_plan& plan,
                             const steering::placement& placement, time_point now)
{
    if (!state.view.usage || plan.customer == nullptr) {
        return 0;
    }
    return steering::on_run_sent(state.usage, plan.customer->name, placement.expected_wait, now);
}

void log_send(traffic_state& state, const caller_request& request, const request_plan& plan,
              const steering::target& target, const exchange_result& result,
              const steering::placement& placement, duration elapsed, bool should_retry)
{
    const unsigned status = result.answer ? result.answer->response.result_int() : 0;
    const bool failed = !result.answer || status >= 400;
    const bool is_rejected = result.answer && result.answer->metadata.not_run;
    std::vector<log_field> fields = {{"request", request.metadata.attempt},
                                     {"route", plan.route->name},
                                     {"service", plan.service},
                                     {"target", target.id},
                                     {"domain", target.failure_domain},
                                     {"object", request.metadata.object.value_or("")},
                                     {"end", std::string(name_of(result.outcome))},
                                     {"status", std::to_string(status)},
                                     {"not_run", is_rejected ? "true" : "false"},
                                     {"expected_warm", placement.expected_warm ? "true" : "false"},
                                     {"expected_ms", to_ms(placement.expected_service)},
                                     {"expected_wait_ms", to_ms(placement.expected_wait)},
                                     {"new_connection", result.new_connection ? "true" : "false"},
                                     {"connection", std::to_string(result.connection)},
                                     {"took_ms", to_ms(elapsed)},
                                     {"repeats", should_retry ? "true" : "false"},
                                     {"configuration", std::to_string(plan.routes->source->version)}};
    if (result.answer && result.answer->metadata.load && result.answer->metadata.load->slowdown) {
        fields.push_back({"slowdown", std::to_string(*result.answer->metadata.load->slowdown)});
    }
    if (result.skipped_answers > 0) {
        fields.push_back({"skipped_answers", std::to_string(result.skipped_answers)});
    }
    if (result.outcome == exchange_outcome::broken) {
        const std::string_view customer =
            plan.customer == nullptr ? std::string_view() : std::string_view(plan.customer->name);
        fields.push_back({"identity", steering::format_identity(compute_identity(
                                          request.message, request.metadata.host, customer))});
        fields.push_back({"error", result.error});
    }
    log_event_limited(state.log, failed ? log_severity::warning : log_severity::info,
                      failed ? "send_failed" : "send_answered", std::move(fields));
}

} // namespace

steering::version_counts& counts_of(traffic_state& state, const count_key& key)
{
    steering::version_counts& counted = state.counts[key];
    if (counted.service.empty()) {
        std::tie(counted.service, counted.version, counted.route) = key;
    }
    return counted;
}

asio::awaitable<send_outcome> send_once(traffic_state& state, std::shared_ptr<caller_request> request,
                                        request_plan& plan, steering::placement placement)
{
    check_invariant(plan.route->repeats == steering::repeat_policy::idempotent || !request->may_have_run,
                    promise::p8_at_most_once, "sends_of_attempt");
    steering::target_state& chosen = *placement.chosen;
    const steering::target target = chosen.entry;
    const time_point start = boot_now();
    const bool is_comparable = is_speed_comparable(
        state, plan, chosen, steering::expected_work(state.pool, plan.service, plan.route->name).miss, start);
    open_send& sent = request->unrecorded_send.emplace();
    sent.sent_at = start;
    sent.placement = placement;
    steering::on_request_sent(state.pool, chosen, plan.object.value_or(plan.random_key), start);
    ++counts_of(state, plan, target).sent;
    const version_rule rule = find_version_rule(state, plan.service);
    if (!rule.next.empty()) {
        steering::version_split& split = find_version_split(state, plan, rule);
        steering::on_request_sent(split, next_share_of(rule, plan.route->name));
        if (target.version == rule.next) {
            steering::on_sent_to_next_version(split);
        }
    }
    sent.watched = watch_for_judgement(state, plan, chosen, is_comparable, start);
    platform::forward_metadata forwarded;
    forwarded.target = target.id;
    forwarded.customer =
        plan.customer == nullptr ? std::string_view() : std::string_view(plan.customer->name);
    forwarded.time_left = plan.deadline - start - answer_margin;
    platform::http_request message = platform::make_target_request(request->message, forwarded);
    sent.run = count_run_sent(state, plan, placement, start);
    request->watch.set_receiver(target.id);
    request->active_exchange = std::make_shared<exchange_handle>();
    request->active_exchange->send_by = find_latest_send(state, plan, &placement);
    if (plan.is_suspect) {
        state.crashes.suspect_targets.insert(target.id);
        sent.is_suspect = true;
    }
    const bool at_most_once = plan.route->repeats == steering::repeat_policy::at_most_once;
    request->at_most_once = plan.route->repeats != steering::repeat_policy::idempotent;
    sent.may_be_received = true;
    exchange_result result =
        co_await exchange(state.connections, target, std::move(message), request->metadata.attempt,
                          at_most_once, plan.deadline - start, request->active_exchange);
    request->active_exchange.reset();
    if (std::exchange(sent.is_suspect, false)) {
        state.crashes.suspect_targets.extract(target.id);
    }
    const time_point now = boot_now();
    const duration service_time = now - start - result.connect_time;
    const steering::target_outcome outcome = classify_outcome(result);
    std::optional<steering::target_load> load;
    if (result.answer && result.answer->metadata.load) {
        load = {static_cast<double>(result.answer->metadata.load->running),
                static_cast<double>(result.answer->metadata.load->waiting),
                result.answer->metadata.load->slowdown};
    }
    // A slow moment of the target's machine is no fault of the target.
    const bool is_excused =
        result.outcome == exchange_outcome::timed_out && steering::is_slow_moment(chosen.speed, now);
    const steering::target_outcome judged = is_excused ? steering::target_outcome::abandoned : outcome;
    const duration usual_time = is_excused ? duration{} : at_usual_speed(chosen.speed, load, service_time);
    sent.placement.chosen = nullptr;
    steering::on_request_ended(state.pool, chosen, judged, placement, service_time, now, load);
    if (chosen.entry.born_ms == target.born_ms) {
        store_announcement(state, chosen, result, now);
    }
    on_send_ended(state, request, plan, chosen, target, result, start, now);
    update_reach(state, plan.service, result, start, now);
    if (outcome == steering::target_outcome::success) {
        observe(placement.expected_warm ? *state.counters.warm_time : *state.counters.miss_time,
                service_time);
        state.counters.answered->fetch_add(1, std::memory_order_relaxed);
    }
    if (result.new_connection) {
        state.counters.new_connections->fetch_add(1, std::memory_order_relaxed);
    }
    state.counters.skipped_answers->fetch_add(result.skipped_answers, std::memory_order_relaxed);
    count_version_answer(state, plan, target, judged, usual_time, is_comparable);
    steering::on_observed_end(state.request_watch, sent.watched, observed_end_of(judged), now - start);
    record_service_time(state, plan, result, outcome, service_time, now);
    wake_waiter_for(state, plan.service, target.id);
    const not_run_proof proof = find_proof(result);
    if (state.view.usage) {
        steering::on_run_ended(state.usage, *state.view.usage, sent.run, proof == not_run_proof::none, now);
    }
    const bool not_received = proof == not_run_proof::not_connected || proof == not_run_proof::replaced;
    if (!rule.next.empty() && not_received) {
        steering::on_request_returned(find_version_split(state, plan, rule),
                                      next_share_of(rule, plan.route->name));
    }
    request->may_have_run = request->may_have_run || proof == not_run_proof::none;
    request->unrecorded_send.reset();
    record_send(*request, send_receiver::target, target.id, result, proof);
    ++(not_received ? plan.connect_failures : plan.send_count);
    plan.tried.push_back(target.id);
    // A request whose verdict has lapsed ends one target at most until the next one.
    const bool is_on_trial = result.connection_lost && was_condemned(state, *request, plan);
    const bool should_retry =
        !request->caller_left && !is_on_trial && may_retry(state, plan, result, outcome, now);
    log_send(state, *request, plan, target, result, placement, now - start, should_retry);
    co_return send_outcome{std::move(result), should_retry};
}
platform::http_response make_final_answer(traffic_state& state, const caller_request& request,
                                          const request_plan& plan, const exchange_result& result)
{
    if (result.answer && find_proof(result) == not_run_proof::none) {
        return platform::make_caller_answer(result.answer->response);
    }
    if (result.outcome == exchange_outcome::abandoned) {
        return refuse(state, request, bad_gateway, "caller_left", duration{}, {{"service", plan.service}});
    }
    if (plan.last_answer) {
        return *plan.last_answer;
    }
    if (!request.may_have_run) {
        return refuse(state, request, unavailable,
                      result.outcome == exchange_outcome::not_connected ? "target_unreachable"
                                                                        : "target_shed",
                      jittered_pause(state, short_retry_after), {{"service", plan.service}});
    }
    if (result.outcome == exchange_outcome::ended) {
        return refuse(state, request, gateway_timeout, "stopped", duration{}, {{"service", plan.service}});
    }
    const bool is_timeout = result.outcome == exchange_outcome::timed_out;
    return refuse(state, request, is_timeout ? gateway_timeout : bad_gateway,
                  is_timeout ? "target_timeout" : "answer_lost", duration{}, {{"service", plan.service}});
}

} // namespace camphorknot::edge
