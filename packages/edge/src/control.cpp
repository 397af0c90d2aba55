#include "control.hpp"

#include <boost/asio/post.hpp>

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

constexpr duration tick_period = std::chrono::milliseconds(200);
// Ticks after which instances that start together have received each other's statuses.
constexpr std::uint64_t settling_ticks = 10;
// Fleet size used to divide rates until the real one is available.
constexpr std::size_t assumed_instances = 24;
// Removals that are stored, so that a peer with an older copy can be sent the changes instead of a snapshot.
constexpr std::size_t max_kept_removals = 512;

void tick(control_state& state)
{
    const time_point now = boot_now();
    ++state.tick_count;
    update_membership(state, now);
    finish_target_removals(state, now);
    step_rollouts(state, now);
    update_usage(state, now);
    steering::trim_removals(state.replica, max_kept_removals);
    steering::update_peak_rate(state.fleet.request_rates[state.settings.identity.failure_domain],
                               steering::own_domain_requests_per_s(state.fleet, state.report.load, now), now);
    send_peer_updates(state, false, now);
    show_configuration_age(state, now);
    publish_view(state, now);
}

void schedule_tick(control_state& state)
{
    state.ticker.expires_after(tick_period);
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

// Whether the view of the fleet can be complete: enough ticks have passed since the start, and other
// instances have been received unless this one runs alone.
bool is_settled(const control_state& state)
{
    const bool has_others = !state.fleet.last_seen.empty();
    const bool is_single = state.settings.seeds.empty() ||
                           (state.settings.seeds.size() == 1 &&
                            state.settings.seeds.front() == state.settings.identity.peer_address);
    return state.tick_count >= settling_ticks && (has_others || is_single);
}

} // namespace

bool sees_fleet(const control_state& state, time_point now)
{
    return is_settled(state) && steering::sees_half_of_fleet(state.fleet, now);
}

namespace {

// Recomputed only when the targets or the live instances have changed, since it scores each target for each
// instance.
std::set<std::string> find_assigned_warmups(control_state& state, time_point now)
{
    if (!sees_fleet(state, now)) {
        return {};
    }
    steering::task_candidates candidates = steering::live_candidates(state.fleet, now);
    warmup_assignments& cached = state.warmup_cache;
    if (cached.targets != state.published_targets || cached.candidates != candidates) {
        cached.targets = state.published_targets;
        cached.candidates = std::move(candidates);
        cached.assigned_targets.clear();
        for (const auto& [id, target] : state.targets) {
            if (steering::is_assigned(state.fleet, cached.candidates, "warm/" + id)) {
                cached.assigned_targets.insert(id);
            }
        }
    }
    return cached.assigned_targets;
}

// A rate that is too small to be divided is owned by one instance of the failure domain, selected by
// rendezvous hashing.
void assign_rate_owners(const control_state& state, steering::fleet_demand& demand, time_point now)
{
    const auto live = steering::live_statuses(state.fleet, now);
    demand.domain_live = live.size() + 1;
    for (const steering::instance_status* status : live) {
        for (const steering::customer_demand& reported : status->load.demands) {
            demand.domain_others[reported.customer] += reported.per_s;
        }
    }
    if (state.configuration == nullptr) {
        return;
    }
    for (const steering::customer& customer : state.configuration->customers) {
        if (steering::needs_rate_owner(customer.rate, demand.possible)) {
            demand.rate_owners[customer.name] = steering::find_rate_owner(state.fleet, customer.name, now);
        }
    }
}

// A target that leaves by its answers counts like one whose entry says so.
void apply_notices(control_state& state, time_point now)
{
    steering::on_notices_received(state.notices, state.report.load.notices, now);
    steering::forget_old_notices(state.notices, now);
    for (const auto& [id, notice] : state.notices.targets) {
        const auto found = state.targets.find(id);
        if (notice.leaving && found != state.targets.end() && !found->second.draining &&
            found->second.born_ms == notice.born_ms) {
            found->second.draining = true;
            state.targets_changed = true;
        }
    }
}

// An instance that does not see the fleet sends nothing to targets that name a limit: others may use it up.
void assign_limits(control_state& state, traffic_view& view, time_point now)
{
    gauge(state.metric_registry, "camphorknot_named_limits", "")
        .store(
            static_cast<std::int64_t>(std::ranges::count_if(
                state.notices.targets, [](const auto& item) { return item.second.limit_per_s.has_value(); })),
            std::memory_order_relaxed);
    if (state.notices.targets.empty()) {
        return;
    }
    const bool has_view = sees_fleet(state, now);
    const steering::task_candidates candidates = steering::live_candidates(state.fleet, now);
    for (const auto& [id, target] : state.targets) {
        if (const auto limit = steering::named_limit(state.notices, id, target.born_ms)) {
            const auto rank =
                has_view ? steering::candidate_rank(state.fleet, candidates, "limit/" + id) : std::nullopt;
            view.limit_shares[id] = steering::limit_share(*limit, rank);
        }
    }
}

} // namespace

void publish_view(control_state& state, time_point now)
{
    apply_notices(state, now);
    if (state.targets_changed) {
        auto list = std::make_shared<std::vector<steering::target>>();
        for (const auto& [id, target] : state.targets) {
            list->push_back(target);
        }
        state.published_targets = std::move(list);
        state.targets_changed = false;
    }
    traffic_view view;
    view.routes = state.routes;
    view.targets = state.published_targets;
    view.evacuated = state.evacuated;
    view.versions = version_rules(state);
    view.assigned_warmups = find_assigned_warmups(state, now);
    view.usage = current_usage_basis(state, now);
    view.demand.live = steering::live_instances(state.fleet, now);
    view.demand.possible = steering::possible_instances(state.fleet, now);
    if (!is_settled(state)) {
        const std::size_t assumed =
            state.registered_instances.empty() ? assumed_instances : state.registered_instances.size();
        view.demand.possible = std::max(view.demand.possible, assumed);
    }
    view.demand.is_isolated = !sees_fleet(state, now);
    const steering::load_report others = steering::sum_of_peer_reports(state.fleet, now);
    for (const steering::customer_demand& reported : others.demands) {
        view.demand.others[reported.customer] = reported.per_s;
    }
    assign_rate_owners(state, view.demand, now);
    assign_limits(state, view, now);
    if (!state.report.access.unreachable_services.empty()) {
        view.next_hops = steering::live_next_hops(state.fleet, now);
    }
    for (const steering::target_in_flight& reported : others.in_flight) {
        view.peer_in_flight[reported.target] = reported.requests;
    }
    state.publish(std::move(view));
}

std::optional<start_failure> start_control(control_state& state)
{
    state.fleet.own = state.settings.identity;
    state.started_at = boot_now();
    platform::store_settings store;
    boost::system::error_code error;
    store.address = {asio::ip::make_address(state.settings.store.ip, error), state.settings.store.port};
    if (error) {
        return start_failure{instance_port::store, state.settings.store, error};
    }
    state.read_client = platform::make_store_client(store);
    state.write_client = platform::make_store_client(store);
    error = start_peer_network(state);
    if (error) {
        return start_failure{instance_port::peers, state.settings.peers, error};
    }
    if (auto failure = open_service_ports(state)) {
        return failure;
    }
    spawn_task(state.context, register_instance(state), "register_instance");
    spawn_lasting_task(
        state.context, [&state] { return follow_records(state); }, "follow_records");
    start_usage(state);
    schedule_tick(state);
    state.thread = std::thread([&state] { run_handlers(state.context, "control", state.metric_registry); });
    return std::nullopt;
}

void post_report(control_state& state, traffic_report report)
{
    asio::post(state.context, [&state, report = std::move(report)]() mutable {
        const bool access_changed =
            report.access.unreachable_services != state.report.access.unreachable_services;
        const bool has_news = report.crashes != state.report.crashes || access_changed;
        state.report = std::move(report);
        state.fleet.own_access = state.report.access;
        if (has_news) {
            send_peer_updates(state, true, boot_now());
        }
        if (access_changed) {
            publish_view(state, boot_now());
        }
    });
}

void post_token_request(control_state& state, const std::string& rate_owner, token_request request)
{
    asio::post(state.context, [&state, rate_owner, request = std::move(request)]() mutable {
        request.reply_to = state.settings.identity.peer_address;
        send_to(*state.peers, rate_owner, encode_frame(request));
    });
}

void post_stop(control_state& state)
{
    asio::post(state.context, [&state] {
        state.stopping = true;
        send_peer_updates(state, true, boot_now());
    });
}

void join_control(control_state& state)
{
    state.context.stop();
    if (state.thread.joinable()) {
        state.thread.join();
    }
}

} // namespace camphorknot::edge
