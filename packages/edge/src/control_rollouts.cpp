// Rollouts under way: judges versions from the pooled answers of the fleet, paces the move, and records its
// state.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "control.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// A recording that is due and not seen after this time is tried by the next instance in the order of duty.
constexpr duration takeover_step = std::chrono::milliseconds(1500);
// Time for a share to reach the traffic thread and for its report to come back.
constexpr duration settling_time = std::chrono::milliseconds(700);

bool is_final(const control& state, const steering::rollout_order& order)
{
    const auto found = state.states.find(order.service);
    return found != state.states.end() && found->second.version == order.version &&
           found->second.state != steering::rollout_state::running &&
           found->second.record_version > order.order_version;
}

std::optional<steering::rollout_state> recorded_state(const control& state,
                                                      const steering::rollout_order& order)
{
    const auto found = state.states.find(order.service);
    if (found == state.states.end() || found->second.version != order.version ||
        found->second.record_version < order.order_version) {
        return std::nullopt;
    }
    return found->second.state;
}

bool has_targets(const control& state, std::string_view service, std::string_view version)
{
    for (const auto& [id, each] : state.targets) {
        if (each.service == service && each.version == version && !each.draining) {
            return true;
        }
    }
    return false;
}

std::string most_common_version(const control& state, std::string_view service, std::string_view left_out)
{
    std::map<std::string, std::size_t> counted;
    for (const auto& [id, each] : state.targets) {
        if (each.service == service && each.version != left_out) {
            ++counted[each.version];
        }
    }
    std::string found;
    std::size_t most = 0;
    for (const auto& [version, count] : counted) {
        if (count > most) {
            most = count;
            found = version;
        }
    }
    return found;
}

// The version that gets a service's requests outside of a rollout. It changes only when a rollout completes,
// so that targets of a new version get nothing before the order for them is known.
std::string current_version(control& state, const std::string& service)
{
    const auto recorded = state.states.find(service);
    if (recorded != state.states.end() && recorded->second.state == steering::rollout_state::completed) {
        state.current_versions[service] = recorded->second.version;
    }
    std::string& known = state.current_versions[service];
    if (known.empty()) {
        const auto order = state.orders.find(service);
        known = most_common_version(state, service, order == state.orders.end() ? "" : order->second.version);
    }
    return known;
}

std::uint32_t own_old_in_flight(const control& state, const steering::rollout_order& order)
{
    std::uint32_t sum = 0;
    for (const steering::target_in_flight& each : state.report.load.in_flight) {
        const auto found = state.targets.find(each.target);
        if (found != state.targets.end() && found->second.service == order.service &&
            found->second.version != order.version) {
            sum += each.requests;
        }
    }
    return sum;
}

const steering::rollout_progress* progress_in(const steering::load_report& report,
                                              const steering::rollout_order& order)
{
    for (const steering::rollout_progress& each : report.rollouts) {
        if (each.service == order.service && each.order_version == order.order_version) {
            return &each;
        }
    }
    return nullptr;
}

std::vector<steering::version_counts> pooled_counts(const control& state, const steering::load_report& others)
{
    std::vector<steering::version_counts> pooled = state.report.load.counts;
    pooled.insert(pooled.end(), others.counts.begin(), others.counts.end());
    return pooled;
}

// Whether every other part of the fleet sends all of its requests to the new version.
bool all_others_follow(const control& state, const steering::rollout_order& order, time_point now)
{
    const auto follows = [&](const steering::load_report& report) {
        const steering::rollout_progress* progress = progress_in(report, order);
        return progress != nullptr && progress->share >= 1;
    };
    for (const steering::instance_status* status : steering::live_statuses(state.fleet, now)) {
        if (!follows(status->load)) {
            return false;
        }
    }
    for (const steering::domain_summary* summary : steering::live_summaries(state.fleet, now)) {
        if (!summary->members.empty() && !follows(summary->load)) {
            return false;
        }
    }
    return true;
}

void sync_runs(control& state, time_point now)
{
    std::erase_if(state.runs, [&](const auto& each) {
        const auto order = state.orders.find(each.first);
        return order == state.orders.end() ||
               order->second.order_version != each.second.order.order_version ||
               is_final(state, order->second);
    });
    for (const auto& [service, order] : state.orders) {
        if (is_final(state, order) || state.runs.contains(service)) {
            continue;
        }
        current_version(state, service);
        steering::rollout_run run;
        run.order = order;
        run.first_seen = now;
        log_event(log_severity::info, "rollout_seen",
                  {{"service", service},
                   {"version", order.version},
                   {"from", state.current_versions[service]},
                   {"order", std::to_string(order.order_version)}});
        state.runs[service] = run;
    }
}

std::string describe_counts(std::span<const steering::version_counts> counts, const std::string& service)
{
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> sums;
    for (const steering::version_counts& each : counts) {
        if (each.service == service) {
            auto& [answers, failing_answers] = sums[each.version + "/" + each.route];
            answers += each.answers;
            failing_answers += each.failing_answers;
        }
    }
    std::string text;
    for (const auto& [key, sum] : sums) {
        text += (text.empty() ? "" : " ") + key + "=" + std::to_string(sum.second) + "/" +
                std::to_string(sum.first);
    }
    return text;
}

void stop_run(steering::rollout_run& run, std::string_view cause, const std::string& inputs)
{
    run.stopped = true;
    run.share = 0;
    log_event(log_severity::warning, "rollout_stopped",
              {{"service", run.order.service},
               {"version", run.order.version},
               {"cause", std::string(cause)},
               {"bad_of_answers", inputs}});
}

asio::awaitable<void> record_state(control& state, steering::rollout_order order,
                                   steering::rollout_state wanted)
{
    const std::string key = platform::rollout_state_key(order.service);
    const steering::record* known =
        steering::find_record(state.book, steering::collection::rollout_states, key);
    const auto seen = state.states.find(order.service);
    std::uint64_t expected = known == nullptr ? 0 : known->version;
    if (seen != state.states.end()) {
        expected = std::max(expected, seen->second.record_version);
    }
    platform::store_answer answer =
        co_await platform::write_record(state.writer, steering::collection::rollout_states, key,
                                        platform::encode_rollout_state(order, wanted), expected);
    log_event(log_severity::info, "rollout_state_write",
              {{"service", order.service},
               {"version", order.version},
               {"state", std::string(steering::name_of(wanted))},
               {"expected", std::to_string(expected)},
               {"outcome", std::string(platform::name_of(answer.status))}});
    if (answer.status == platform::store_status::ok) {
        state.states[order.service] = {order.service, order.version, wanted, answer.newest_version};
    } else if (answer.status != platform::store_status::unavailable) {
        // Another instance, or an earlier write whose answer was lost, may have changed the row.
        platform::store_status status = platform::store_status::unavailable;
        auto update = co_await platform::read_collection(state.writer, steering::collection::rollout_states,
                                                         {}, duration{}, status);
        if (update) {
            take_over(state, *update, "store");
        }
    }
    state.writing_state = false;
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

void step_run(control& state, steering::rollout_run& run, const steering::load_report& others,
              std::span<const steering::version_counts> counts, time_point now)
{
    const steering::rollout_tuning tuning;
    if (!run.stopped && steering::is_failing_version(counts, run.order, tuning)) {
        stop_run(run, "bad_answers", describe_counts(counts, run.order.service));
    }
    const double before = run.share;
    run.share = steering::new_version_share(run, tuning,
                                            has_targets(state, run.order.service, run.order.version), now);
    if (run.share >= 1 && before < 1) {
        run.moved_at = now;
        log_event(
            log_severity::info, "rollout_moved",
            {{"service", run.order.service}, {"bad_of_answers", describe_counts(counts, run.order.service)}});
    }
    const steering::rollout_progress* peer_elapsed = progress_in(others, run.order);
    const std::uint64_t old_in_flight =
        own_old_in_flight(state, run.order) + (peer_elapsed == nullptr ? 0 : peer_elapsed->old_in_flight);
    const bool all_instances_moved =
        now - run.moved_at >= settling_time && all_others_follow(state, run.order, now);
    const auto wanted = state_to_record(steering::next_step(run, tuning, recorded_state(state, run.order),
                                                            old_in_flight, all_instances_moved, now));
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
    if (!state.writing_state && now - run.due_since >= takeover_step * rank) {
        state.writing_state = true;
        asio::co_spawn(state.context, record_state(state, run.order, *wanted), asio::detached);
    }
}

} // namespace

void step_rollouts(control& state, time_point now)
{
    sync_runs(state, now);
    if (state.runs.empty()) {
        return;
    }
    const steering::load_report others = steering::sum_of_peer_reports(state.fleet, now);
    const std::vector<steering::version_counts> counts = pooled_counts(state, others);
    for (auto& [service, run] : state.runs) {
        step_run(state, run, others, counts, now);
    }
}

std::vector<steering::rollout_progress> progress_of_rollouts(const control& state, time_point now)
{
    std::vector<steering::rollout_progress> all;
    for (const auto& [service, run] : state.runs) {
        all.push_back({service, run.order.order_version, steering::elapsed_of(run, now), run.share,
                       run.stopped, own_old_in_flight(state, run.order)});
    }
    return all;
}

void merge_rollouts(control& state, const steering::load_report& report, std::string_view source,
                    time_point now)
{
    for (auto& [service, run] : state.runs) {
        const steering::rollout_progress* told = progress_in(report, run.order);
        if (told == nullptr) {
            continue;
        }
        if (told->elapsed > steering::elapsed_of(run, now)) {
            run.peer_elapsed = told->elapsed;
            run.peer_elapsed_at = now;
        }
        if (told->stopped && !run.stopped) {
            stop_run(run, "told_by_" + std::string(source), "");
        }
    }
}

std::map<std::string, version_rule> version_rules(control& state)
{
    std::map<std::string, version_rule> rules;
    if (state.configuration == nullptr) {
        return rules;
    }
    for (const steering::service_policy& service : state.configuration->services) {
        version_rule rule;
        rule.current = current_version(state, service.name);
        const auto run = state.runs.find(service.name);
        if (run != state.runs.end()) {
            rule.next = run->second.order.version;
            rule.next_share = run->second.share;
        }
        rules[service.name] = rule;
    }
    return rules;
}

} // namespace camphorknot::edge
