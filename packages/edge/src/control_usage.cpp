// Usage reports: merges the counts of the instances, and performs what steering::usage_duty decides.
#include "control_usage.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "camphorknot/platform/usage_store.hpp"
#include "control.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

constexpr std::string_view usage_task = "usage_reports";
// Period in ticks of the news, a multiple of the periods of all statuses and summaries: 0.8 s.
constexpr std::uint64_t news_ticks = 4;
// Periods at which the duty is checked by its holder, by others, and for the next call.
constexpr duration holder_period = std::chrono::milliseconds(200);
constexpr duration observer_period = std::chrono::milliseconds(500);
constexpr duration call_check_period = std::chrono::milliseconds(50);
constexpr duration call_timeout = std::chrono::milliseconds(2000);
// The second instance in the assignment order takes over when the first one has not for this long.
constexpr duration deputy_delay = std::chrono::seconds(2);
// Part of the limit on calls that reports may use: repeats of former holders may still be executed.
constexpr double call_rate_share = 0.25;
// Number of instances in the assignment order that observe the lease, so that the calls to the store do not
// grow with the fleet. One of them may be the holder.
constexpr std::size_t observers = 2;

duration own_clock_offset(time_point now)
{
    return std::chrono::milliseconds(wall_now()) - now.time_since_epoch();
}

std::string own_source(const control_state& state)
{
    const steering::instance_identity& own = state.settings.identity;
    return own.name + "/" + std::to_string(own.incarnation);
}

steering::usage_basis basis_of(const control_state& state, time_point now)
{
    const usage_control& usage = *state.usage;
    return {state.settings.bounds.usage_window,
            steering::clock_offset(usage.clock, own_clock_offset(now), now),
            usage.ledger.progress.first_undecided};
}

bool precedes_own(const control_state& state, std::string_view other)
{
    const std::uint64_t task = hash_name(usage_task);
    return mix_hash(hash_name(other), task) > mix_hash(hash_name(state.settings.identity.name), task);
}

steering::usage_situation situation_of(const control_state& state, const steering::usage_basis& basis,
                                       time_point now)
{
    const usage_control& usage = *state.usage;
    steering::usage_situation situation;
    situation.sees_fleet = sees_fleet(state, now);
    situation.stopping = state.stopping;
    situation.first_window = steering::oldest_window(usage.ledger).value_or(steering::window_at(basis, now));
    if (!usage.duty.held) {
        const std::size_t rank = steering::assignment_rank(state.fleet, usage_task, now);
        situation.is_candidate = rank < observers;
        // The first in the order may be alive and not reach the store.
        const duration lapse = usage.duty.tuning.lease + 2 * usage.duty.tuning.slack + deputy_delay;
        const bool is_overdue = usage.duty.is_row_known && now - usage.duty.row_changed_at >= lapse;
        situation.is_first =
            rank == 0 || (rank == 1 && (is_overdue || precedes_own(state, usage.duty.row.holder)));
    }
    return situation;
}

void log_decisions(const steering::usage_store_action& action, std::uint64_t fencing)
{
    for (const steering::window_counts& report : action.decided) {
        std::uint64_t requests = 0;
        for (const steering::customer_count& count : report.counts) {
            requests += count.requests;
        }
        log_event(log_severity::info, "usage_decided",
                  {{"window", std::to_string(report.window)},
                   {"customers", std::to_string(report.counts.size())},
                   {"requests", std::to_string(requests)},
                   {"fencing", std::to_string(fencing)}});
    }
}

// Logs that this instance begins or ceases to hold the duty.
void log_holder_change(usage_control& usage, std::string_view cause)
{
    if (usage.duty.held == usage.was_holder) {
        return;
    }
    usage.was_holder = usage.duty.held;
    log_event(log_severity::info, usage.duty.held ? "usage_duty_taken" : "usage_duty_lost",
              {{"cause", std::string(cause)},
               {"fencing", std::to_string(usage.duty.token)},
               {"row_holder", usage.duty.row.holder},
               {"first_undecided", std::to_string(usage.duty.row.first_undecided)},
               {"first_unreported", std::to_string(usage.duty.first_unreported)}});
}

asio::awaitable<void> read_row(control_state& state, bool with_reports)
{
    usage_control& usage = *state.usage;
    std::optional<steering::usage_lease> row = co_await platform::read_usage_lease(usage.store);
    std::vector<steering::window_counts> reports;
    if (row && with_reports) {
        auto read = co_await platform::read_usage_reports(usage.store);
        if (read) {
            reports = std::move(*read);
        } else {
            row.reset();
        }
    }
    steering::on_row_read(usage.duty, usage.ledger.progress, row, reports, boot_now());
}

asio::awaitable<void> write_row(control_state& state, steering::usage_store_action action)
{
    usage_control& usage = *state.usage;
    const platform::store_answer answer = co_await platform::write_usage(usage.store, action);
    const steering::usage_write_end end = platform::write_end_of(answer.status);
    if (end == steering::usage_write_end::done) {
        log_decisions(action, usage.duty.token);
    } else {
        log_event_limited(state.log, log_severity::warning, "usage_write_failed",
                          {{"status", std::string(platform::name_of(answer.status))},
                           {"decisions", std::to_string(action.decided.size())}});
    }
    steering::on_write_ended(usage.duty, usage.ledger.progress, end, answer.newest_version, boot_now());
}

asio::awaitable<void> hold_duty(control_state& state)
{
    usage_control& usage = *state.usage;
    asio::steady_timer timer(state.context);
    while (true) {
        const time_point now = boot_now();
        const steering::usage_basis basis = basis_of(state, now);
        steering::usage_store_action action = steering::next_store_action(
            usage.duty, usage.ledger, basis, situation_of(state, basis, now), now);
        const steering::usage_store_step step = action.step;
        if (step == steering::usage_store_step::read) {
            co_await read_row(state, action.with_reports);
        } else if (step == steering::usage_store_step::write) {
            log_holder_change(usage, "released");
            co_await write_row(state, std::move(action));
        }
        log_holder_change(usage, step == steering::usage_store_step::read ? "row_read" : "fenced");
        const bool acts = usage.duty.held || usage.duty.taking_over;
        const bool is_follow_up = step != steering::usage_store_step::none && !usage.duty.held;
        timer.expires_after(acts || is_follow_up ? holder_period : observer_period);
        boost::system::error_code ignored; // A cancelled wait only ends earlier.
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> make_call(control_state& state, steering::usage_call call)
{
    usage_control& usage = *state.usage;
    const duration timeout = std::min(call_timeout, call.send_by - boot_now());
    std::function<bool()> may_send = [&usage, token = call.token] {
        return usage.duty.token == token && steering::may_call(usage.duty, boot_now());
    };
    const steering::usage_call_end end = co_await platform::post_usage(
        usage.client, state.settings.identity.name, call, timeout, std::move(may_send));
    const time_point now = boot_now();
    steering::on_call_ended(usage.duty, usage.ledger.progress, basis_of(state, now), call, end, now);
    const std::string result(steering::name_of(end));
    counter(state.metric_registry, "camphorknot_usage_calls_total", "result=\"" + result + "\"")
        .fetch_add(1, std::memory_order_relaxed);
    const bool accepted = end == steering::usage_call_end::accepted;
    log_event_limited(state.log, accepted ? log_severity::info : log_severity::warning, "usage_call",
                      {{"window", std::to_string(call.report.window)},
                       {"result", result},
                       {"fencing", std::to_string(call.token)},
                       {"lease_left", usage.duty.lease_until > now ? "true" : "false"}});
}

asio::awaitable<void> send_reports(control_state& state)
{
    asio::steady_timer timer(state.context);
    while (true) {
        if (auto call = steering::next_call(state.usage->duty, boot_now())) {
            co_await make_call(state, std::move(*call));
        }
        timer.expires_after(call_check_period);
        boost::system::error_code ignored; // A cancelled wait only ends earlier.
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void update_metrics(control_state& state, const steering::usage_basis& basis, time_point now)
{
    const usage_control& usage = *state.usage;
    const auto set = [&](std::string_view name, std::string_view labels, std::int64_t value) {
        gauge(state.metric_registry, name, labels).store(value, std::memory_order_relaxed);
    };
    const steering::usage_window_states windows =
        steering::count_windows(usage.ledger.progress, usage.duty.tuning, basis, now);
    const steering::usage_totals& totals = usage.duty.totals;
    const auto total = [&](std::string_view labels, std::uint64_t value) {
        set("camphorknot_usage_windows", labels, static_cast<std::int64_t>(value));
    };
    set("camphorknot_usage_holder", "", usage.duty.held ? 1 : 0);
    set("camphorknot_usage_fencing", "", usage.duty.held ? static_cast<std::int64_t>(usage.duty.token) : 0);
    set("camphorknot_usage_windows_pending", "state=\"open\"", windows.open);
    set("camphorknot_usage_windows_pending", "state=\"decided\"", windows.decided);
    set("camphorknot_usage_windows_pending", "state=\"late\"", windows.late);
    total("state=\"decided\"", totals.decided);
    total("state=\"sent\"", totals.sent);
    total("state=\"sent_late\"", totals.late);
    total("state=\"lost\"", totals.lost);
}

steering::usage_tuning make_tuning(const edge_settings& settings)
{
    steering::usage_tuning tuning;
    tuning.lease = settings.bounds.duty_lease;
    tuning.slack = settings.bounds.thaw_slack;
    tuning.due = settings.bounds.usage_due;
    tuning.decide_delay = std::min(tuning.decide_delay, tuning.due * 2 / 5);
    tuning.latest_decision = tuning.due * 3 / 4;
    const double period_s = 1 / (settings.usage.calls_per_s * call_rate_share);
    tuning.call_period = std::max(
        tuning.call_period, std::chrono::duration_cast<duration>(std::chrono::duration<double>(period_s)));
    return tuning;
}

} // namespace

void start_usage(control_state& state)
{
    if (!reports_usage(state.settings)) {
        return;
    }
    const auto to_endpoint = [](const endpoint& address) {
        boost::system::error_code ignored; // The settings were checked, and the store's address was parsed.
        return asio::ip::tcp::endpoint(asio::ip::make_address(address.ip, ignored), address.port);
    };
    state.usage = std::make_unique<usage_control>();
    usage_control& usage = *state.usage;
    usage.duty.tuning = make_tuning(state.settings);
    usage.duty.own_name = state.settings.identity.name;
    usage.duty.own_incarnation = state.settings.identity.incarnation;
    // An earlier process of this instance may have acted shortly before.
    usage.duty.no_take_over_before = boot_now() + usage.duty.tuning.lease + 2 * usage.duty.tuning.slack;
    platform::store_settings store;
    store.address = to_endpoint(state.settings.store);
    usage.store = platform::make_store_client(store);
    usage.client = platform::make_usage_client(to_endpoint(state.settings.usage.address));
    spawn_lasting_task(
        state.context, [&state] { return hold_duty(state); }, "hold_duty");
    spawn_lasting_task(
        state.context, [&state] { return send_reports(state); }, "send_reports");
}

void update_usage(control_state& state, time_point now)
{
    if (state.usage == nullptr) {
        return;
    }
    usage_control& usage = *state.usage;
    const steering::usage_basis basis = basis_of(state, now);
    steering::usage_ledger::source& own = usage.ledger.instances[own_source(state)];
    own.last_received = now;
    steering::merge_counts(own, state.report.usage);
    steering::trim_ledger(usage.ledger, steering::window_at(basis, now), now);
    usage.ledger.round += state.tick_count % news_ticks == 0 ? 1 : 0;
    update_metrics(state, basis, now);
}

std::optional<steering::usage_basis> current_usage_basis(const control_state& state, time_point now)
{
    return state.usage == nullptr ? std::nullopt : std::optional(basis_of(state, now));
}

void add_own_usage(const control_state& state, steering::load_report& report, time_point now)
{
    if (state.usage == nullptr || state.tick_count % news_ticks != 0) {
        return;
    }
    const usage_control& usage = *state.usage;
    steering::usage_news news;
    news.clock_ms = wall_now();
    const auto own = usage.ledger.instances.find(own_source(state));
    if (own != usage.ledger.instances.end()) {
        news.counts = steering::counts_to_send(own->second, steering::window_at(basis_of(state, now), now),
                                               usage.ledger.round);
    }
    news.progress = usage.ledger.progress;
    if (!usage.duty.held) {
        news.progress.decided.clear();
    }
    report.usage.push_back(std::move(news));
}

void add_domain_usage(const control_state& state, steering::load_report& report, time_point now)
{
    if (state.usage == nullptr || state.tick_count % news_ticks != 0) {
        return;
    }
    const usage_control& usage = *state.usage;
    const steering::usage_basis basis = basis_of(state, now);
    const duration clock = now.time_since_epoch() + basis.clock_offset;
    report.usage.push_back({clock / std::chrono::milliseconds(1),
                            steering::own_domain_sums(usage.ledger, steering::window_at(basis, now)),
                            usage.ledger.progress});
}

void take_usage(control_state& state, steering::instance_status& status, time_point now)
{
    const auto news = std::exchange(status.load.usage, {});
    if (state.usage == nullptr || news.empty()) {
        return;
    }
    usage_control& usage = *state.usage;
    const std::string source = status.identity.name + "/" + std::to_string(status.identity.incarnation);
    steering::on_clock_received(usage.clock, "instance " + status.identity.name, news.front().clock_ms, now);
    steering::on_news(usage.ledger, usage.ledger.instances[source], news.front(), now);
}

void take_usage(control_state& state, steering::domain_summary& summary, time_point now)
{
    const auto news = std::exchange(summary.load.usage, {});
    if (state.usage == nullptr || news.empty()) {
        return;
    }
    usage_control& usage = *state.usage;
    steering::on_clock_received(usage.clock, "domain " + summary.failure_domain, news.front().clock_ms, now);
    steering::on_news(usage.ledger, usage.ledger.domains[summary.failure_domain], news.front(), now);
}

} // namespace camphorknot::edge
