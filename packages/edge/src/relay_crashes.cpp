// Finds out which targets ended while they ran requests, and refuses requests that are condemned for it.
#include <algorithm>

#include "identity.hpp"
#include "relay.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(500);
// Targets of the failure domain, and as many of the others, that are tried to find out whether this instance
// reaches any: some of them may have ended as well.
constexpr std::size_t max_reference_targets = 8;
// Time in which a target is reached that listens, even if others before it do not answer.
constexpr duration reference_time = 4 * probe_timeout;
// After an end while no target could be reached, further ends count only after an answer or this time.
constexpr duration isolation_time = std::chrono::seconds(60);
// A longer time between ticks means that the process was suspended.
constexpr duration suspension_gap = std::chrono::seconds(1);

std::string customer_name(const request_plan& plan)
{
    return plan.customer == nullptr ? std::string() : plan.customer->name;
}

void publish_evidence(traffic_state& state)
{
    state.crashes.published = std::make_shared<const steering::crash_table>(state.crashes.table);
    send_report(state);
}

// The identity if the request may be a suspect.
const std::optional<steering::request_identity>&
find_identity(const traffic_state& state, const caller_request& request, request_plan& plan)
{
    if (!plan.identity && !state.crashes.table.suspects.empty()) {
        const std::string customer = customer_name(plan);
        const std::uint64_t outline = compute_outline(request.message, request.metadata.host, customer);
        if (steering::has_outline(state.crashes.table, outline)) {
            plan.identity = compute_identity(request.message, request.metadata.host, customer);
        }
    }
    return plan.identity;
}

void log_verdict(traffic_state& state, const steering::suspect_key& key, time_point now)
{
    const auto suspect = state.crashes.table.suspects.find(key);
    if (suspect == state.crashes.table.suspects.end() || suspect->second.condemned_until <= now) {
        return;
    }
    const duration left = steering::condemned_for(state.crashes.table, key.request, key.service, now);
    std::string targets;
    for (const steering::ended_run& run : suspect->second.runs) {
        targets += (targets.empty() ? "" : ",") + run.target;
    }
    log_event_limited(state.log, log_severity::warning, "request_condemned",
                      {{"identity", steering::format_identity(key.request)},
                       {"service", key.service},
                       {"version", key.version},
                       {"targets", targets},
                       {"in_ms", to_ms(std::max(duration{}, suspect->second.condemned_from - now))},
                       {"for_ms", to_ms(left)}});
}

void store_ended_run(traffic_state& state, const steering::target& target, const lost_run& lost,
                     bool domain_alive)
{
    const time_point now = boot_now();
    const caller_request& request = *lost.request;
    const steering::suspect_key key = {
        compute_identity(request.message, request.metadata.host, lost.customer), target.service,
        target.version};
    const steering::version_history& version = state.crashes.versions[{target.service, target.version}];
    const steering::ended_run run = {target.id,           target.born_ms,        lost.sent_at, lost.lost_at,
                                     version.answered_at, target.failure_domain, domain_alive};
    const bool is_news = steering::on_run_ended(state.crashes.table, key, run, now);
    if (is_news) {
        log_event_limited(state.log, log_severity::warning, "target_ended_under_request",
                          {{"request", request.metadata.attempt},
                           {"identity", steering::format_identity(key.request)},
                           {"target", target.id},
                           {"service", target.service},
                           {"version", target.version}});
        log_verdict(state, key, now);
    }
}

// Targets that this instance may reach although it does not reach `ended`: those of the same failure domain
// first, and those whose last request did not fail.
std::vector<steering::target> find_reference_targets(const traffic_state& state,
                                                     const steering::target& ended)
{
    std::vector<steering::target> references;
    for (const bool same_domain : {true, false}) {
        std::vector<const steering::target_state*> usable;
        for (const auto& [id, other] : state.pool.targets) {
            const bool is_same_domain = other.entry.failure_domain == ended.failure_domain;
            if (id != ended.id && !other.entry.draining && is_same_domain == same_domain) {
                usable.push_back(&other);
            }
        }
        std::ranges::stable_sort(usable, {}, &steering::target_state::consecutive_failures);
        usable.resize(std::min(usable.size(), max_reference_targets));
        for (const steering::target_state* other : usable) {
            references.push_back(other->entry);
        }
    }
    return references;
}

// The failure domain of another target that this instance reaches, by which the loss is not its own; that of
// `ended` if it reaches one there.
asio::awaitable<std::optional<std::string>>
find_reachable_domain(traffic_state& state, const steering::target& ended, time_point lost_at)
{
    const bool was_answered =
        state.crashes.last_answered_at > lost_at && state.crashes.last_answer_target != ended.id;
    if (was_answered) {
        const auto answered = state.pool.targets.find(state.crashes.last_answer_target);
        co_return answered == state.pool.targets.end() ? std::string()
                                                       : answered->second.entry.failure_domain;
    }
    const time_point end = boot_now() + reference_time;
    const std::vector<steering::target> references = find_reference_targets(state, ended);
    for (const steering::target& other : references) {
        const duration limit = std::min(probe_timeout, end - boot_now());
        if (limit <= duration{}) {
            co_return std::nullopt;
        }
        const connect_outcome outcome = co_await open_idle_connection(state.connections, other, limit);
        if (outcome == connect_outcome::connected) {
            co_return other.failure_domain;
        }
    }
    co_return std::nullopt;
}

// Finds out whether the target has ended: it refuses connections, while this instance reaches another target.
asio::awaitable<void> inquire(traffic_state& state, steering::target target, time_point lost_at)
{
    const connect_outcome outcome = co_await open_idle_connection(state.connections, target, probe_timeout);
    const bool has_ended = outcome == connect_outcome::refused;
    std::optional<std::string> reachable_domain;
    if (has_ended) {
        reachable_domain = co_await find_reachable_domain(state, target, lost_at);
    }
    const std::vector<lost_run> runs = std::move(state.crashes.inquiries[target.id]);
    state.crashes.inquiries.erase(target.id);
    if (!has_ended) {
        co_return;
    }
    const time_point now = boot_now();
    steering::version_history& version = state.crashes.versions[{target.service, target.version}];
    steering::on_target_ended(version, reachable_domain.has_value(), now);
    if (!reachable_domain || !steering::may_blame_requests(version, isolation_time, now)) {
        co_return;
    }
    for (const lost_run& run : runs) {
        store_ended_run(state, target, run, *reachable_domain == target.failure_domain);
    }
    publish_evidence(state);
}

// Whether the operator or the target itself may have planned the end.
bool is_end_planned(const traffic_state& state, const request_plan& plan,
                    const steering::target_state& chosen, const steering::target& target)
{
    const version_rule rule = find_version_rule(state, plan.service);
    const bool is_retired =
        !rule.current.empty() && target.version != rule.current && target.version != rule.next;
    return chosen.entry.draining || chosen.entry.born_ms != target.born_ms || is_retired;
}

void on_answered(traffic_state& state, const caller_request& request, request_plan& plan,
                 const steering::target& target, time_point now)
{
    steering::on_version_answered(state.crashes.versions[{target.service, target.version}], now);
    state.crashes.last_answer_target = target.id;
    state.crashes.last_answered_at = now;
    const auto& identity = find_identity(state, request, plan);
    if (identity && steering::on_suspect_answered(state.crashes.table,
                                                  {*identity, target.service, target.version}, now)) {
        log_event_limited(state.log, log_severity::info, "suspect_answered",
                          {{"request", request.metadata.attempt},
                           {"identity", steering::format_identity(*identity)},
                           {"target", target.id}});
        publish_evidence(state);
    }
}

} // namespace

void on_crash_watch_tick(traffic_state& state, time_point now)
{
    crash_watch& watch = state.crashes;
    if (now - watch.last_tick_at > suspension_gap) {
        watch.resumed_at = now;
    }
    watch.last_tick_at = now;
    if (!watch.table.suspects.empty()) {
        steering::forget_old_suspects(watch.table, now);
    }
}

void merge_crash_reports(traffic_state& state, std::span<const steering::crash_report> reports)
{
    const time_point now = boot_now();
    if (!steering::on_crash_reports_received(state.crashes.table, reports, now)) {
        return;
    }
    for (const steering::crash_report& report : reports) {
        log_verdict(state, report.key, now);
    }
    publish_evidence(state);
}

steering::crash_standing find_standing(traffic_state& state, const caller_request& request,
                                       request_plan& plan, std::string_view version, time_point now)
{
    const auto& identity = find_identity(state, request, plan);
    return identity ? steering::standing_of(state.crashes.table,
                                            {*identity, plan.service, std::string(version)}, now)
                    : steering::crash_standing::unknown;
}

bool is_suspect(traffic_state& state, const caller_request& request, request_plan& plan)
{
    const auto& identity = find_identity(state, request, plan);
    return identity && steering::is_suspected(state.crashes.table, *identity, plan.service);
}

bool was_condemned(traffic_state& state, const caller_request& request, request_plan& plan)
{
    const auto& identity = find_identity(state, request, plan);
    return identity && steering::was_condemned(state.crashes.table, *identity, plan.service);
}

bool is_condemned_everywhere(traffic_state& state, const caller_request& request, request_plan& plan,
                             time_point now)
{
    if (!find_identity(state, request, plan)) {
        return false;
    }
    const version_rule rule = find_version_rule(state, plan.service);
    const auto members = state.pool.by_service.find(plan.service);
    if (members == state.pool.by_service.end()) {
        return false;
    }
    bool has_target = false;
    for (const steering::target_state* member : members->second) {
        const std::string& version = member->entry.version;
        const bool is_allowed = rule.current.empty() || version == rule.current || version == rule.next;
        if (!is_allowed || member->entry.draining) {
            continue;
        }
        has_target = true;
        if (find_standing(state, request, plan, version, now) != steering::crash_standing::condemned) {
            return false;
        }
    }
    return has_target;
}

platform::http_response refuse_condemned(traffic_state& state, const caller_request& request,
                                         const request_plan& plan, time_point now)
{
    steering::crash_table& table = state.crashes.table;
    steering::on_condemned_refused(table, *plan.identity, plan.service, now);
    return refuse(state, request, unavailable, "request_condemned",
                  steering::condemned_for(table, *plan.identity, plan.service, now),
                  {{"identity", steering::format_identity(*plan.identity)}, {"service", plan.service}});
}

void on_send_ended(traffic_state& state, const std::shared_ptr<caller_request>& request, request_plan& plan,
                   const steering::target_state& chosen, const steering::target& target,
                   const exchange_result& result, time_point sent_at, time_point now)
{
    constexpr unsigned first_failure_status = 500;
    if (result.answer) {
        const bool is_failure = result.answer->response.result_int() >= first_failure_status;
        if (!is_failure && find_proof(result) == not_run_proof::none) {
            on_answered(state, *request, plan, target, now);
        }
        return;
    }
    crash_watch& watch = state.crashes;
    const bool was_suspended =
        sent_at < watch.resumed_at || now - std::max(watch.last_tick_at, sent_at) > suspension_gap;
    if (!result.connection_lost || was_suspended || is_end_planned(state, plan, chosen, target)) {
        return;
    }
    const bool is_running = watch.inquiries.contains(target.id);
    watch.inquiries[target.id].push_back({request, customer_name(plan), sent_at, now});
    if (!is_running) {
        spawn_task(state.context, inquire(state, target, now), "inquire");
    }
}

} // namespace camphorknot::edge
