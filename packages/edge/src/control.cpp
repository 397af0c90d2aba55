#include "control.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

constexpr duration tick_period = std::chrono::milliseconds(200);
// Ticks until the instances that start together have heard of each other.
constexpr std::uint64_t settling_ticks = 10;
// Size of the fleet for the division of rates while it is not known.
constexpr std::size_t assumed_instances = 24;
// Removals that are remembered, so that peers can be told of them one by one.
constexpr std::size_t kept_removals = 512;

void tick(control& state)
{
    const time_point now = boot_now();
    ++state.tick_count;
    note_members(state, now);
    end_absences(state, now);
    step_rollouts(state, now);
    steering::trim_removals(state.book, kept_removals);
    tell_peers(state, false, now);
    publish_view(state, now);
}

void schedule_tick(control& state)
{
    state.ticker.expires_after(tick_period);
    state.ticker.async_wait([&state](boost::system::error_code cancelled) {
        if (!cancelled) {
            tick(state);
            schedule_tick(state);
        }
    });
}

// A process that has just started does not know the fleet yet.
bool is_settled(const control& state)
{
    const bool has_others = !state.fleet.last_seen.empty();
    const bool is_single = state.settings.seeds.empty() ||
                           (state.settings.seeds.size() == 1 &&
                            state.settings.seeds.front() == state.settings.identity.peer_address);
    return state.tick_count >= settling_ticks && (has_others || is_single);
}

// Weighs each target against each instance, so it is done again only when one of them has changed.
std::set<std::string> targets_warmed_here(control& state, time_point now)
{
    if (!is_settled(state) || !steering::sees_half_of_fleet(state.fleet, now)) {
        return {};
    }
    std::vector<std::uint64_t> candidates = steering::live_candidates(state.fleet, now);
    warm_duties& known = state.warm_duties_known;
    if (known.targets != state.published_targets || known.candidates != candidates) {
        known.targets = state.published_targets;
        known.candidates = std::move(candidates);
        known.own.clear();
        for (const auto& [id, each] : state.targets) {
            if (steering::is_assigned(state.fleet, known.candidates, "warm/" + id)) {
                known.own.insert(id);
            }
        }
    }
    return known.own;
}

// Each small rate is kept by one instance of the failure domain, chosen by hash.
void name_keepers(const control& state, steering::fleet_demand& demand, time_point now)
{
    const auto live = steering::live_statuses(state.fleet, now);
    demand.domain_live = live.size() + 1;
    for (const steering::instance_status* status : live) {
        for (const steering::customer_demand& each : status->load.demands) {
            demand.domain_others[each.customer] += each.per_s;
        }
    }
    if (state.configuration == nullptr) {
        return;
    }
    for (const steering::customer& each : state.configuration->customers) {
        if (steering::needs_rate_owner(each.rate, demand.possible)) {
            demand.rate_owners[each.name] = steering::find_rate_owner(state.fleet, each.name, now);
        }
    }
}

} // namespace

void publish_view(control& state, time_point now)
{
    if (state.targets_changed) {
        auto list = std::make_shared<std::vector<steering::target>>();
        for (const auto& [id, each] : state.targets) {
            list->push_back(each);
        }
        state.published_targets = std::move(list);
        state.targets_changed = false;
    }
    traffic_view view;
    view.routes = state.routes;
    view.targets = state.published_targets;
    view.evacuated = state.evacuated;
    view.versions = version_rules(state);
    view.warmed_here = targets_warmed_here(state, now);
    view.demand.live = steering::live_instances(state.fleet, now);
    view.demand.possible = steering::possible_instances(state.fleet, now);
    if (!is_settled(state)) {
        const std::size_t assumed = state.registered.empty() ? assumed_instances : state.registered.size();
        view.demand.possible = std::max(view.demand.possible, assumed);
    }
    view.demand.is_isolated = !is_settled(state) || !steering::sees_half_of_fleet(state.fleet, now);
    const steering::load_report others = steering::sum_of_peer_reports(state.fleet, now);
    for (const steering::customer_demand& each : others.demands) {
        view.demand.others[each.customer] = each.per_s;
    }
    name_keepers(state, view.demand, now);
    for (const steering::target_in_flight& each : others.in_flight) {
        view.peer_in_flight[each.target] = each.requests;
    }
    state.publish(std::move(view));
}

std::string start_control(control& state)
{
    state.fleet.own = state.settings.identity;
    platform::store_settings store;
    boost::system::error_code error;
    store.address = {asio::ip::make_address(state.settings.store.ip, error), state.settings.store.port};
    if (error) {
        return "store";
    }
    state.reader = platform::make_store_client(store);
    state.writer = platform::make_store_client(store);
    if (!open_peers(state)) {
        return "peers";
    }
    if (!open_service_ports(state)) {
        return "directory, readiness or metrics";
    }
    asio::co_spawn(state.context, register_instance(state), asio::detached);
    asio::co_spawn(state.context, follow_records(state), asio::detached);
    schedule_tick(state);
    state.thread = std::thread([&state] { state.context.run(); });
    return {};
}

void post_report(control& state, traffic_report report)
{
    asio::post(state.context,
               [&state, report = std::move(report)]() mutable { state.report = std::move(report); });
}

void post_token_question(control& state, const std::string& keeper, token_question question)
{
    asio::post(state.context, [&state, keeper, question = std::move(question)]() mutable {
        question.reply_to = state.settings.identity.peer_address;
        send_to(*state.peers, keeper, encode_frame(question));
    });
}

void post_stop(control& state)
{
    asio::post(state.context, [&state] {
        state.stopping = true;
        tell_peers(state, true, boot_now());
    });
}

void join_control(control& state)
{
    state.context.stop();
    if (state.thread.joinable()) {
        state.thread.join();
    }
}

} // namespace camphorknot::edge
