// Follows the records: from the store if this instance reads for its region or hears nothing new, else from
// peers.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Pace of a reader. A change is in force everywhere about this time plus two statuses after it was written.
constexpr duration read_period = std::chrono::milliseconds(450);
// Pace at which the states of rollouts are read while none is under way.
constexpr duration slow_read_period = std::chrono::seconds(3);
// Without news for this long, an instance reads the store itself.
constexpr duration stale_after = std::chrono::milliseconds(1000);
// An instance that the store did not answer tries again after this time, though others read for it.
constexpr duration retry_period = std::chrono::seconds(2);
// Further patience of an instance that does not speak for its failure domain.
constexpr duration member_patience = std::chrono::milliseconds(800);
// A gap of this length in the news counts as an outage in which entries of live targets may have lapsed: they
// do after three heartbeats of 1.5 s, the last of which may be one heartbeat older than the outage.
constexpr duration outage_gap = std::chrono::milliseconds(2800);

freshness& fresh_of(control& state, steering::collection group)
{
    return state.fresh.at(static_cast<std::size_t>(group));
}

void note_confirmed(control& state, steering::collection group, double as_of_s, time_point now)
{
    freshness& known = fresh_of(state, group);
    if (as_of_s <= known.as_of_s) {
        return;
    }
    const bool first = known.as_of_s < 0;
    if (!first && group == steering::collection::targets && now - known.advanced > outage_gap) {
        state.absence_grace_until = now + state.settings.bounds.absence_grace;
        log_event(log_severity::info, "records_confirmed_again",
                  {{"gap_ms", std::to_string((now - known.advanced) / std::chrono::milliseconds(1))}});
    }
    known.as_of_s = as_of_s;
    known.advanced = now;
}

void log_bad_record(control& state, const steering::record& each, const platform::decode_error& error)
{
    counter(state.page, "camphorknot_malformed_records_total", "").fetch_add(1, std::memory_order_relaxed);
    log_event_limited(state.log, log_severity::warning, "record_malformed",
                      {{"record", each.key},
                       {"record_version", std::to_string(each.version)},
                       {"fault", std::string(platform::name_of(error.fault))},
                       {"field", error.field}});
}

void apply_configuration(control& state, steering::configuration incoming)
{
    if (state.configuration != nullptr && incoming.version <= state.configuration->version) {
        log_event(log_severity::warning, "configuration_not_newer",
                  {{"known", std::to_string(state.configuration->version)},
                   {"offered", std::to_string(incoming.version)}});
        return;
    }
    state.configuration = std::make_shared<const steering::configuration>(std::move(incoming));
    state.routes = steering::make_route_table(state.configuration);
    log_event(log_severity::info, "configuration_applied",
              {{"version", std::to_string(state.configuration->version)},
               {"routes", std::to_string(state.configuration->routes.size())},
               {"customers", std::to_string(state.configuration->customers.size())}});
}

void apply_evacuation(control& state, const std::string& domain, bool removed)
{
    const bool changed = removed ? state.evacuated.erase(domain) > 0 : state.evacuated.insert(domain).second;
    if (changed) {
        log_event(log_severity::info, removed ? "evacuation_ended" : "evacuation_ordered",
                  {{"domain", domain}});
    }
}

void apply_order(control& state, const steering::record& each)
{
    auto decoded = each.removed ? platform::decode_removed_order(each) : platform::decode_order(each);
    if (!decoded) {
        log_bad_record(state, each, decoded.reason);
        return;
    }
    if (auto* configuration = std::get_if<steering::configuration>(&*decoded)) {
        apply_configuration(state, std::move(*configuration));
    } else if (const auto* evacuation = std::get_if<platform::evacuation_order>(&*decoded)) {
        apply_evacuation(state, evacuation->failure_domain, each.removed);
    } else {
        const auto& rollout = std::get<steering::rollout_order>(*decoded);
        if (each.removed) {
            state.orders.erase(rollout.service);
        } else {
            state.orders[rollout.service] = rollout;
        }
    }
}

void remove_target(control& state, const std::string& id, time_point now)
{
    if (!state.targets.contains(id)) {
        return;
    }
    if (now < state.absence_grace_until) {
        state.leaving_targets.emplace(id, state.absence_grace_until);
        return;
    }
    state.targets.erase(id);
    state.leaving_targets.erase(id);
    state.targets_changed = true;
    log_event_limited(state.log, log_severity::info, "target_gone", {{"target", id}});
}

void apply_target(control& state, const steering::record& each, time_point now)
{
    if (each.removed) {
        remove_target(state, each.key, now);
        return;
    }
    auto decoded = platform::decode_target(each);
    if (!decoded) {
        log_bad_record(state, each, decoded.reason);
        // An entry that cannot be read names no target to use.
        if (state.targets.erase(each.key) > 0) {
            state.targets_changed = true;
        }
        return;
    }
    const auto known = state.targets.find(each.key);
    if (known != state.targets.end() && decoded->born_ms < known->second.born_ms) {
        log_event_limited(state.log, log_severity::info, "target_entry_outdated", {{"target", each.key}});
        return;
    }
    state.leaving_targets.erase(each.key);
    const bool news = known == state.targets.end() || known->second.draining != decoded->draining ||
                      known->second.born_ms != decoded->born_ms;
    if (news) {
        log_event_limited(
            state.log, log_severity::info, "target_seen",
            {{"target", each.key},
             {"service", decoded->service},
             {"domain", decoded->failure_domain},
             {"version", decoded->version},
             {"draining", decoded->draining ? "true" : "false"},
             {"warmup_left_ms", std::to_string(decoded->warmup_left / std::chrono::milliseconds(1))},
             {"record_version", std::to_string(each.version)}});
    }
    state.targets[each.key] = std::move(*decoded);
    state.targets_changed = true;
}

void apply_rollout_state(control& state, const steering::record& each)
{
    if (each.removed) {
        return;
    }
    auto decoded = platform::decode_rollout_state(each);
    if (!decoded) {
        log_bad_record(state, each, decoded.reason);
        return;
    }
    log_event(log_severity::info, "rollout_state_seen",
              {{"service", decoded->service},
               {"version", decoded->version},
               {"state", std::string(steering::name_of(decoded->state))}});
    state.states[decoded->service] = *decoded;
}

// Heartbeats that say nothing new are not passed on to peers.
void leave_out_heartbeats(const control& state, steering::record_update& update)
{
    if (update.group != steering::collection::targets || update.is_snapshot) {
        return;
    }
    const auto& known = steering::records_of(state.book, update.group).records;
    std::erase_if(update.records, [&](const steering::record& each) {
        const auto found = known.find(each.key);
        return found != known.end() && !each.removed && !found->second.removed &&
               !platform::differs_beyond_heartbeat(found->second, each);
    });
}

void note_store(control& state, platform::store_status status)
{
    const bool reachable = status == platform::store_status::ok;
    state.fleet.own_reads_store = reachable;
    if (reachable != state.store_reachable) {
        state.store_reachable = reachable;
        log_event(reachable ? log_severity::info : log_severity::warning,
                  reachable ? "store_regained" : "store_lost",
                  {{"status", std::string(platform::name_of(status))}});
    }
    gauge(state.page, "camphorknot_store_reachable", "").store(reachable ? 1 : 0, std::memory_order_relaxed);
}

// Returns the number of changed records, or nothing if the store did not answer.
asio::awaitable<std::optional<std::size_t>> read_from_store(control& state, steering::collection group)
{
    platform::store_status status = platform::store_status::unavailable;
    auto update = co_await platform::read_collection(
        state.reader, group, steering::records_of(state.book, group).position, duration{}, status);
    note_store(state, status);
    counter(state.page, "camphorknot_store_reads_total", "").fetch_add(1, std::memory_order_relaxed);
    if (!update) {
        co_return std::nullopt;
    }
    leave_out_heartbeats(state, *update);
    co_return take_over(state, *update, "store");
}

} // namespace

bool records_are_stale(const control& state, time_point now)
{
    const freshness& orders = state.fresh.at(static_cast<std::size_t>(steering::collection::orders));
    const freshness& targets = state.fresh.at(static_cast<std::size_t>(steering::collection::targets));
    // Speakers try first, so that a whole failure domain does not turn to the store at once.
    const duration patience =
        steering::is_domain_delegate(state.fleet, now) ? stale_after : stale_after + member_patience;
    return orders.as_of_s < 0 || now - std::min(orders.advanced, targets.advanced) > patience;
}

std::size_t take_over(control& state, const steering::record_update& update, std::string_view source)
{
    const time_point now = boot_now();
    note_confirmed(state, update.group, update.position.as_of_s, now);
    const steering::collection group = update.group;
    const std::vector<steering::record> changed = steering::apply_update(state.book, update);
    for (const steering::record& each : changed) {
        switch (group) {
        case steering::collection::orders:
            apply_order(state, each);
            break;
        case steering::collection::targets:
            apply_target(state, each, now);
            break;
        case steering::collection::rollout_states:
            apply_rollout_state(state, each);
            break;
        }
    }
    if (!changed.empty()) {
        const std::string labels = "source=\"" + std::string(source) + "\"";
        counter(state.page, "camphorknot_record_changes_total", labels)
            .fetch_add(changed.size(), std::memory_order_relaxed);
    }
    return changed.size();
}

void end_absences(control& state, time_point now)
{
    for (auto each = state.leaving_targets.begin(); each != state.leaving_targets.end();) {
        if (now < each->second) {
            ++each;
            continue;
        }
        state.targets.erase(each->first);
        state.targets_changed = true;
        log_event_limited(state.log, log_severity::info, "target_gone",
                          {{"target", each->first}, {"after", "store_outage"}});
        each = state.leaving_targets.erase(each);
    }
}

asio::awaitable<void> read_collections(control& state, time_point& states_read)
{
    const auto orders = co_await read_from_store(state, steering::collection::orders);
    if (!orders) {
        co_return;
    }
    const auto targets = co_await read_from_store(state, steering::collection::targets);
    const duration period = state.orders.empty() ? slow_read_period : read_period;
    if (boot_now() - states_read >= period) {
        states_read = boot_now();
        co_await read_from_store(state, steering::collection::rollout_states);
    }
    publish_view(state, boot_now());
    if (*orders + targets.value_or(0) > 0) {
        tell_peers(state, true, boot_now());
    }
}

asio::awaitable<void> follow_records(control& state)
{
    asio::steady_timer pause(state.context);
    time_point states_read{};
    time_point last_try{};
    while (true) {
        const time_point now = boot_now();
        const bool tries_again = !state.fleet.own_reads_store && now - last_try >= retry_period;
        if (steering::is_store_reader(state.fleet, now) || records_are_stale(state, now) || tries_again) {
            last_try = now;
            co_await read_collections(state, states_read);
        }
        pause.expires_after(read_period);
        boost::system::error_code ignored; // A cancelled pause only ends sooner.
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace camphorknot::edge
