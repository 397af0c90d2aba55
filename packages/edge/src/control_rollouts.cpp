// Unfinished rollouts: stops those of failing versions by the pooled answers of the fleet, advances the
// traffic share of the others, and writes their states to the store. Their holds are in control_holds.cpp.
#include <cmath>

#include "control.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// A state write that is due and does not appear in the store within this time is tried by the next instance
// in the order of assignment.
constexpr duration write_takeover_delay = std::chrono::milliseconds(1500);
// An order that is found within this time after the start may have been given before it.
constexpr duration startup_time = std::chrono::seconds(4);
// Time for a share to reach the traffic thread and for that thread's next report to arrive.
constexpr duration report_settling_time = std::chrono::milliseconds(700);

// Whether the store holds a final state for the order.
bool is_finished(const control_state& state, const steering::rollout_order& order)
{
    const auto found = state.rollout_states.find(order.service);
    return found != state.rollout_states.end() && found->second.version == order.version &&
           found->second.state != steering::rollout_state::running &&
           found->second.record_version > order.order_version;
}

// The state that the store holds for the order; empty if there is none.
std::optional<steering::rollout_state> recorded_state(const control_state& state,
                                                      const steering::rollout_order& order)
{
    const auto found = state.rollout_states.find(order.service);
    if (found == state.rollout_states.end() || found->second.version != order.version ||
        found->second.record_version < order.order_version) {
        return std::nullopt;
    }
    return found->second.state;
}

std::optional<duration> time_since_new_era(const control_state& state, time_point now)
{
    return state.era_rose_at ? std::optional(now - *state.era_rose_at) : std::nullopt;
}

bool has_targets(const control_state& state, std::string_view service, std::string_view version)
{
    for (const auto& [id, target] : state.targets) {
        if (target.service == service && target.version == version && !target.draining) {
            return true;
        }
    }
    return false;
}

std::string find_old_version(const control_state& state, const std::string& service)
{
    const auto order = state.rollout_orders.find(service);
    std::vector<steering::target> targets;
    for (const auto& [id, target] : state.targets) {
        if (target.service == service) {
            targets.push_back(target);
        }
    }
    return steering::longest_running_version(
        targets, service, order == state.rollout_orders.end() ? "" : order->second.version);
}

// Whether the version is under rollout or was rolled back, as far as the order is known.
bool is_unproven_version(const control_state& state, const std::string& service, const std::string& version)
{
    const auto order = state.rollout_orders.find(service);
    const auto recorded = state.rollout_states.find(service);
    const bool completed = recorded != state.rollout_states.end() &&
                           recorded->second.state == steering::rollout_state::completed &&
                           recorded->second.version == version;
    const auto finished = state.finished_rollouts.find(service);
    const bool was_completed = finished != state.finished_rollouts.end() &&
                               finished->second.first.version == version &&
                               finished->second.second == steering::rollout_state::completed;
    return order != state.rollout_orders.end() && order->second.version == version && !completed &&
           !was_completed;
}

// The version that gets a service's requests outside of a rollout. It changes when a rollout completes, so
// that targets of a new version get no requests before their rollout order arrives, and when an order that
// arrives after the targets shows that the assumed version is the new one.
std::string current_version(control_state& state, const std::string& service)
{
    const auto recorded = state.rollout_states.find(service);
    if (recorded != state.rollout_states.end() &&
        recorded->second.state == steering::rollout_state::completed) {
        state.current_versions[service] = recorded->second.version;
    }
    std::string& current = state.current_versions[service];
    if (current.empty() || is_unproven_version(state, service, current)) {
        const std::string old_version = find_old_version(state, service);
        current = old_version.empty() ? current : old_version;
    }
    return current;
}

// Requests of this instance in flight at targets of other versions than the new one.
std::uint32_t own_old_in_flight(const control_state& state, const steering::rollout_order& order)
{
    std::uint32_t sum = 0;
    for (const steering::target_in_flight& in_flight : state.report.load.in_flight) {
        const auto found = state.targets.find(in_flight.target);
        if (found != state.targets.end() && found->second.service == order.service &&
            found->second.version != order.version) {
            sum += in_flight.requests;
        }
    }
    return sum;
}

// The progress that the report holds for the rollout order, or null.
const steering::rollout_progress* progress_in(const steering::load_report& report,
                                              const steering::rollout_order& order)
{
    for (const steering::rollout_progress& progress : report.rollouts) {
        if (progress.service == order.service && progress.order_version == order.order_version) {
            return &progress;
        }
    }
    return nullptr;
}

// The counts of answers of this instance and of all others.
std::vector<steering::version_counts> pooled_counts(const control_state& state,
                                                    const steering::load_report& others)
{
    std::vector<steering::version_counts> pooled = state.report.load.counts;
    pooled.insert(pooled.end(), others.counts.begin(), others.counts.end());
    return pooled;
}

// Whether all other instances of this failure domain and all other failure domains report that they send all
// requests to the new version.
bool all_others_use_new_version(const control_state& state, const steering::rollout_order& order,
                                time_point now)
{
    const auto uses_new_version = [&](const steering::load_report& report) {
        const steering::rollout_progress* progress = progress_in(report, order);
        return progress != nullptr && progress->share >= 1;
    };
    for (const steering::instance_status* status : steering::live_statuses(state.fleet, now)) {
        if (!uses_new_version(status->load)) {
            return false;
        }
    }
    for (const steering::domain_summary* summary : steering::live_summaries(state.fleet, now)) {
        if (!summary->members.empty() && !uses_new_version(summary->load)) {
            return false;
        }
    }
    return true;
}

// Keeps in mind how rollouts ended: the store may lose the record.
void remember_finished(control_state& state)
{
    for (const auto& [service, order] : state.rollout_orders) {
        if (is_finished(state, order)) {
            state.finished_rollouts[service] = {order, state.rollout_states.at(service).state};
        }
    }
}

steering::rollout_run make_run(const control_state& state, const steering::rollout_order& order,
                               time_point now)
{
    steering::rollout_run run;
    run.order = order;
    run.first_seen = now;
    run.is_new_order = now - state.started_at > startup_time;
    const auto finished = state.finished_rollouts.find(order.service);
    if (finished != state.finished_rollouts.end() &&
        steering::is_same_order(finished->second.first, order, time_since_new_era(state, now))) {
        run.stopped = finished->second.second == steering::rollout_state::rolled_back;
        run.completed = finished->second.second == steering::rollout_state::completed;
    }
    return run;
}

// Watches the versions that were completed for some time more: the old targets are gone, so that operators
// have to be told of a version that turns bad only then.
void watch_completed(control_state& state, time_point now)
{
    for (const auto& [service, run] : state.rollout_runs) {
        const auto order = state.rollout_orders.find(service);
        if (order != state.rollout_orders.end() && is_finished(state, order->second) &&
            state.rollout_states.at(service).state == steering::rollout_state::completed) {
            state.watched_versions[service] = {run, now + steering::rollout_tuning{}.watch_time};
        }
    }
    std::erase_if(state.watched_versions, [&](const auto& item) {
        const auto order = state.rollout_orders.find(item.first);
        return now >= item.second.watched_until || order == state.rollout_orders.end() ||
               order->second.order_version != item.second.run.order.order_version;
    });
}

// Removes the runs of finished or replaced rollout orders and starts a run for each new order.
void sync_runs(control_state& state, time_point now)
{
    remember_finished(state);
    watch_completed(state, now);
    std::erase_if(state.rollout_runs, [&](const auto& run) {
        const auto order = state.rollout_orders.find(run.first);
        return order == state.rollout_orders.end() || is_finished(state, order->second) ||
               !steering::is_same_order(run.second.order, order->second, time_since_new_era(state, now));
    });
    for (auto& [service, run] : state.rollout_runs) {
        run.order = state.rollout_orders.at(service);
    }
    for (const auto& [service, order] : state.rollout_orders) {
        if (is_finished(state, order) || state.rollout_runs.contains(service)) {
            continue;
        }
        current_version(state, service);
        const steering::rollout_run run = make_run(state, order, now);
        log_event(log_severity::info, "rollout_seen",
                  {{"service", service},
                   {"version", order.version},
                   {"from", state.current_versions[service]},
                   {"order", std::to_string(order.order_version)},
                   {"known_to_be", run.stopped     ? "rolled_back"
                                   : run.completed ? "completed"
                                                   : "new"}});
        state.rollout_runs[service] = run;
    }
}

// The sums of two counts by version and route, in the form "v2/find=first/second".
std::string describe_counts(std::span<const steering::version_counts> counts, const std::string& service,
                            std::uint64_t steering::version_counts::*first,
                            std::uint64_t steering::version_counts::*second)
{
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> sums;
    for (const steering::version_counts& count : counts) {
        if (count.service == service) {
            auto& [first_sum, second_sum] = sums[count.version + "/" + count.route];
            first_sum += count.*first;
            second_sum += count.*second;
        }
    }
    std::string text;
    for (const auto& [key, sum] : sums) {
        text += (text.empty() ? "" : " ") + key + "=" + std::to_string(sum.first) + "/" +
                std::to_string(sum.second);
    }
    return text;
}

// Logs a step of a rollout with the counts that it was decided on.
void log_rollout_step(log_severity severity, std::string_view event, const steering::rollout_run& run,
                      std::string_view cause, std::span<const steering::version_counts> counts)
{
    using steering::version_counts;
    const std::string& service = run.order.service;
    const double missing = steering::missing_for_proof(counts, run.evidence, run.order, {});
    log_event(severity, event,
              {{"service", service},
               {"version", run.order.version},
               {"cause", std::string(cause)},
               {"bad_of_answers",
                describe_counts(counts, service, &version_counts::failing_answers, &version_counts::answers)},
               {"unanswered_of_sent",
                describe_counts(counts, service, &version_counts::unanswered, &version_counts::sent)},
               {"failing_of_judged",
                describe_counts(counts, service, &version_counts::judged_failing, &version_counts::judged)},
               {"missing_for_proof", std::to_string(std::lround(missing))}});
}

void stop_run(steering::rollout_run& run, std::string_view cause,
              std::span<const steering::version_counts> counts)
{
    run.stopped = true;
    run.share = 0;
    log_rollout_step(log_severity::warning, "rollout_stopped", run, cause, counts);
}

// Updates the share of the new version.
void update_share(control_state& state, steering::rollout_run& run,
                  std::span<const steering::version_counts> counts, time_point now)
{
    const steering::exposure_limits limits = {state.settings.bounds.exposure_share,
                                              state.settings.bounds.exposure_slack};
    steering::rollout_tuning tuning;
    tuning.trial_share = steering::canary_share_within(limits, tuning);
    const bool has_view = sees_fleet(state, now);
    const bool has_new_targets = has_targets(state, run.order.service, run.order.version);
    const double scheduled = steering::new_version_share(run, tuning, has_new_targets, now);
    const bool promoted = scheduled <= tuning.trial_share || is_promoted(state, run, has_view, counts, now);
    const double previous_share = run.share;
    run.share = steering::limit_share(run, tuning, scheduled, promoted, now);
    run.share_at = now;
    const bool may_prove = has_view && run.is_new_order && has_new_targets && !run.stopped && !run.completed;
    run.route_shares = may_prove ? steering::find_route_shares(counts, run.evidence, run.order, tuning,
                                                               limits, steering::elapsed_of(run, now))
                                 : std::map<std::string, double>();
    run.canary_share =
        std::max(run.canary_share, steering::mean_share(counts, run.order, run.route_shares, 0));
    const bool held = !promoted && scheduled > tuning.trial_share;
    if (held != run.held) {
        run.held = held;
        log_rollout_step(log_severity::info, held ? "rollout_held" : "rollout_released", run,
                         has_view ? "good_answers" : "fleet_unseen", counts);
    }
    if (has_view) {
        record_hold(state, run, now);
    }
    if (run.share >= 1 && previous_share < 1) {
        run.moved_at = now;
        log_rollout_step(log_severity::info, "rollout_moved", run, "schedule", counts);
    }
    if (has_view && !run.stopped && steering::is_out_of_time(run, tuning, now)) {
        stop_run(run, "not_proven_in_time", counts);
    }
}

asio::awaitable<void> write_rollout_state(control_state& state, steering::rollout_order order,
                                          steering::rollout_state wanted,
                                          std::optional<platform::rollout_hold_row> hold)
{
    const flag_reset pending(state.rollout_write_pending);
    const std::string key = platform::rollout_state_key(order.service);
    const steering::record* stored =
        steering::find_record(state.replica, steering::collection::rollout_states, key);
    const auto last_state = state.rollout_states.find(order.service);
    std::uint64_t expected = stored == nullptr ? 0 : stored->version;
    if (last_state != state.rollout_states.end() &&
        steering::era_of(last_state->second.record_version) == state.store_era) {
        expected = std::max(expected, last_state->second.record_version);
    }
    platform::store_answer answer = co_await platform::write_record(
        state.write_client, steering::collection::rollout_states, key,
        platform::encode_rollout_state(order, wanted), expected, std::move(hold));
    log_event(log_severity::info, "rollout_state_write",
              {{"service", order.service},
               {"version", order.version},
               {"state", std::string(steering::name_of(wanted))},
               {"expected", std::to_string(expected)},
               {"outcome", std::string(platform::name_of(answer.status))}});
    if (answer.status == platform::store_status::ok) {
        state.rollout_states[order.service] = {order.service, order.version, wanted, answer.newest_version};
    } else if (answer.status != platform::store_status::unavailable) {
        // Another instance, or an earlier write whose answer was lost, may have changed the row.
        platform::store_status status = platform::store_status::unavailable;
        auto update = co_await platform::read_collection(
            state.write_client, steering::collection::rollout_states, {}, duration{}, status);
        if (update) {
            apply_record_update(state, *update, {"store", {}, 0, {}});
        }
    }
}

std::optional<steering::rollout_state> state_to_record(const steering::rollout_step step)
{
    switch (step) {
    case steering::rollout_step::record_running:
        return steering::rollout_state::running;
    case steering::rollout_step::record_completed:
        return steering::rollout_state::completed;
    case steering::rollout_step::record_rolled_back:
        return steering::rollout_state::rolled_back;
    case steering::rollout_step::none:
        break;
    }
    return std::nullopt;
}

// Advances one rollout: stops it if its version is failing, else updates its traffic share, and starts the
// write of a rollout state that is due.
void step_run(control_state& state, steering::rollout_run& run, const steering::load_report& others,
              std::span<const steering::version_counts> reported_counts, time_point now)
{
    const std::vector<steering::version_counts> counts = steering::counts_since_order(run, reported_counts);
    const steering::rollout_tuning tuning;
    steering::add_evidence(run.evidence, counts, run.order, tuning);
    if (!run.stopped && steering::is_failing_version(counts, run.order, tuning)) {
        stop_run(run, "bad_answers", counts);
    } else if (!run.stopped && steering::is_shown_worse(run.evidence, tuning)) {
        stop_run(run, "late_or_failing", counts);
    }
    const steering::rollout_progress* reported = progress_in(others, run.order);
    run.peer_share = reported == nullptr ? 0 : reported->share;
    run.held_elsewhere = reported != nullptr && reported->share <= tuning.trial_share;
    const auto age = state.report.judgement_ages.find(run.order.service);
    run.judgement_age = age == state.report.judgement_ages.end() ? duration{} : age->second;
    update_share(state, run, counts, now);
    const std::uint64_t old_in_flight =
        own_old_in_flight(state, run.order) + (reported == nullptr ? 0 : reported->old_in_flight);
    const bool all_others_ready =
        now - run.moved_at >= report_settling_time && all_others_use_new_version(state, run.order, now);
    const auto wanted = state_to_record(steering::next_step(run, tuning, recorded_state(state, run.order),
                                                            old_in_flight, all_others_ready, now));
    if (!wanted) {
        run.due_since = {};
        return;
    }
    if (run.due_since == time_point{} || run.due_state != *wanted) {
        run.due_since = now;
        run.due_state = *wanted;
    }
    const auto rank = static_cast<std::int64_t>(
        steering::assignment_rank(state.fleet, "rollout/" + run.order.service, now));
    if (!state.rollout_write_pending && now - run.due_since >= write_takeover_delay * rank) {
        state.rollout_write_pending = true;
        const auto hold =
            *wanted == steering::rollout_state::completed ? hold_relied_on(state, run, now) : std::nullopt;
        spawn_task(state.context, write_rollout_state(state, run.order, *wanted, hold),
                   "write_rollout_state");
    }
}

// Reports once that a completed version fails. Requests are not judged any more, so that its answers count.
void report_failure(control_state& state, watched_version& watched,
                    std::span<const steering::version_counts> reported_counts)
{
    const steering::rollout_tuning tuning;
    std::vector<steering::version_counts> counts = steering::counts_since_order(watched.run, reported_counts);
    for (steering::version_counts& entry : counts) {
        entry.has_judged = false;
    }
    steering::add_evidence(watched.evidence, counts, watched.run.order, tuning);
    if (watched.is_reported || !steering::is_shown_worse(watched.evidence, tuning)) {
        return;
    }
    watched.is_reported = true;
    counter(state.metric_registry, "camphorknot_completed_versions_failing_total", "")
        .fetch_add(1, std::memory_order_relaxed);
    log_rollout_step(log_severity::warning, "completed_version_failing", watched.run, "bad_answers", counts);
}

} // namespace

void step_rollouts(control_state& state, time_point now)
{
    sync_runs(state, now);
    if (state.rollout_runs.empty() && state.watched_versions.empty()) {
        return;
    }
    const steering::load_report others = steering::sum_of_peer_reports(state.fleet, now);
    const std::vector<steering::version_counts> counts = pooled_counts(state, others);
    for (auto& [service, run] : state.rollout_runs) {
        step_run(state, run, others, counts, now);
    }
    for (auto& [service, watched] : state.watched_versions) {
        report_failure(state, watched, counts);
    }
}

std::vector<steering::rollout_progress> collect_rollout_progress(const control_state& state, time_point now)
{
    std::vector<steering::rollout_progress> progress;
    for (const auto& [service, run] : state.rollout_runs) {
        progress.push_back({service, run.order.order_version, steering::elapsed_of(run, now), run.share,
                            run.stopped, own_old_in_flight(state, run.order)});
    }
    return progress;
}

void merge_rollout_progress(control_state& state, const steering::load_report& report,
                            std::string_view source, time_point now)
{
    for (auto& [service, run] : state.rollout_runs) {
        const steering::rollout_progress* reported = progress_in(report, run.order);
        if (reported == nullptr) {
            continue;
        }
        if (reported->elapsed > steering::elapsed_of(run, now)) {
            run.peer_elapsed = reported->elapsed;
            run.peer_elapsed_at = now;
        }
        if (reported->stopped && !run.stopped) {
            stop_run(run, "told_by_" + std::string(source), {});
        }
    }
}

std::map<std::string, version_rule> version_rules(control_state& state)
{
    std::map<std::string, version_rule> rules;
    if (state.configuration == nullptr) {
        return rules;
    }
    for (const steering::service_policy& service : state.configuration->services) {
        version_rule rule;
        rule.current = current_version(state, service.name);
        const auto run = state.rollout_runs.find(service.name);
        if (run != state.rollout_runs.end()) {
            rule.next = run->second.order.version;
            rule.next_share = run->second.share;
            rule.route_shares = run->second.route_shares;
            rule.order_version = run->second.order.order_version;
            rule.run_started_at = run->second.first_seen;
        } else if (const auto watched = state.watched_versions.find(service.name);
                   watched != state.watched_versions.end()) {
            rule.is_watched = true;
            rule.order_version = watched->second.run.order.order_version;
        }
        rules[service.name] = rule;
    }
    return rules;
}

} // namespace camphorknot::edge
