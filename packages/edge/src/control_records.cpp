// Follows the records: from the store if this instance is the store reader of its region or its records are
// stale, else from peers.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Period of a store reader. A change is in force everywhere about this time plus two status periods after its
// write.
constexpr duration store_read_period = std::chrono::milliseconds(450);
// Period at which an instance without records checks whether it is to read the store.
constexpr duration startup_read_period = std::chrono::milliseconds(50);
// Period at which the states of rollouts are read while there is no rollout.
constexpr duration idle_state_read_period = std::chrono::seconds(3);
// A domain delegate whose records are unconfirmed for longer than this reads the store itself.
constexpr duration stale_after = std::chrono::milliseconds(1000);
// An instance that received no answer from the store retries after this time, even if it is not a store
// reader.
constexpr duration store_retry_period = std::chrono::seconds(2);
// Added to stale_after for instances that are not domain delegates.
constexpr duration non_delegate_delay = std::chrono::milliseconds(800);
// Records that were unconfirmed for longer than this indicate a store outage in which entries of live targets
// may have lapsed. Entries lapse after three heartbeats of 1.5 s, the last of which may be one heartbeat
// older than the outage.
constexpr duration min_outage_gap = std::chrono::milliseconds(2800);

freshness& freshness_of(control_state& state, steering::collection group)
{
    return state.collection_freshness.at(static_cast<std::size_t>(group));
}

void on_collection_confirmed(control_state& state, steering::collection group, double as_of_s, time_point now)
{
    freshness& current = freshness_of(state, group);
    if (as_of_s <= current.as_of_s) {
        return;
    }
    const bool first = current.as_of_s < 0;
    if (!first && group == steering::collection::targets && now - current.advanced_at > min_outage_gap) {
        state.absence_grace_until = now + state.settings.bounds.absence_grace;
        log_event(log_severity::info, "records_confirmed_again",
                  {{"gap_ms", std::to_string((now - current.advanced_at) / std::chrono::milliseconds(1))}});
    }
    current.as_of_s = as_of_s;
    current.advanced_at = now;
}

void log_malformed_record(control_state& state, const steering::record& record,
                          const platform::decode_error& error)
{
    counter(state.metric_registry, "camphorknot_malformed_records_total", "")
        .fetch_add(1, std::memory_order_relaxed);
    log_event_limited(state.log, log_severity::warning, "record_malformed",
                      {{"record", record.key},
                       {"record_version", std::to_string(record.version)},
                       {"fault", std::string(platform::name_of(error.fault))},
                       {"field", error.field}});
}

std::string to_milliseconds(duration time)
{
    return std::to_string(time / std::chrono::milliseconds(1));
}

// Logs how the configuration that has just been applied reached this instance.
// @p decoded_before is the count of decoded resources before it.
void report_configuration(control_state& state, const record_delivery& delivery, duration decode_time,
                          std::uint64_t decoded_before)
{
    const steering::record_requests& pending = state.pending_requests;
    const duration wait = steering::orders_behind_for(pending, boot_now());
    observe(latency(state.metric_registry, "camphorknot_configuration_wait_seconds", ""), wait);
    observe(latency(state.metric_registry, "camphorknot_configuration_decode_seconds", ""), decode_time);
    log_event(log_severity::info, "configuration_applied",
              {{"version", std::to_string(state.configuration->version)},
               {"routes", std::to_string(state.configuration->routes.size())},
               {"customers", std::to_string(state.configuration->customers.size())},
               {"source", std::string(delivery.source)},
               {"peer", std::string(delivery.peer)},
               {"message_bytes", std::to_string(delivery.bytes)},
               {"waited_ms", to_milliseconds(wait)},
               {"requests", std::to_string(pending.orders_request_count)},
               {"receive_ms", to_milliseconds(delivery.receive_time)},
               {"decoded", std::to_string(state.decoder.decoded_count - decoded_before)},
               {"decode_ms", to_milliseconds(decode_time)}});
}

// Returns whether the configuration is newer than the present one and was applied.
bool apply_configuration(control_state& state, steering::configuration incoming)
{
    if (state.configuration != nullptr && incoming.version <= state.configuration->version) {
        log_event(log_severity::warning, "configuration_not_newer",
                  {{"known", std::to_string(state.configuration->version)},
                   {"offered", std::to_string(incoming.version)}});
        return false;
    }
    state.configuration = std::make_shared<const steering::configuration>(std::move(incoming));
    state.routes = steering::make_route_table(state.configuration);
    for (const std::string& kind : state.configuration->unknown_request_kinds) {
        log_event(log_severity::warning, "request_kind_unknown",
                  {{"kind", kind}, {"treated_as", "at_most_once"}});
    }
    return true;
}

void apply_evacuation(control_state& state, const std::string& domain, bool removed)
{
    const bool changed = removed ? state.evacuated.erase(domain) > 0 : state.evacuated.insert(domain).second;
    if (changed) {
        log_event(log_severity::info, removed ? "evacuation_ended" : "evacuation_ordered",
                  {{"domain", domain}});
    }
}

void apply_order(control_state& state, const steering::record& record, const record_delivery& delivery)
{
    const time_point begun = boot_now();
    const std::uint64_t decoded_before = state.decoder.decoded_count;
    auto decoded = record.removed ? platform::decode_removed_order(record)
                                  : platform::decode_order(record, state.decoder);
    if (!decoded) {
        log_malformed_record(state, record, decoded.reason);
        return;
    }
    if (auto* configuration = std::get_if<steering::configuration>(&*decoded)) {
        if (apply_configuration(state, std::move(*configuration))) {
            report_configuration(state, delivery, boot_now() - begun, decoded_before);
        }
    } else if (const auto* evacuation = std::get_if<platform::evacuation_order>(&*decoded)) {
        apply_evacuation(state, evacuation->failure_domain, record.removed);
    } else {
        const auto& rollout = std::get<steering::rollout_order>(*decoded);
        if (record.removed) {
            state.rollout_orders.erase(rollout.service);
        } else {
            state.rollout_orders[rollout.service] = rollout;
        }
    }
}

void remove_target(control_state& state, const std::string& id, time_point now)
{
    if (!state.targets.contains(id)) {
        return;
    }
    if (now < state.absence_grace_until) {
        state.pending_target_removals.emplace(id, state.absence_grace_until);
        return;
    }
    state.targets.erase(id);
    state.pending_target_removals.erase(id);
    state.targets_changed = true;
    log_event_limited(state.log, log_severity::info, "target_gone", {{"target", id}});
}

void apply_target(control_state& state, const steering::record& record, time_point now)
{
    if (record.removed) {
        remove_target(state, record.key, now);
        return;
    }
    auto decoded = platform::decode_target(record);
    if (!decoded) {
        log_malformed_record(state, record, decoded.reason);
        // A malformed entry must not leave the previous target in use.
        if (state.targets.erase(record.key) > 0) {
            state.targets_changed = true;
        }
        return;
    }
    const auto existing = state.targets.find(record.key);
    if (existing != state.targets.end() && decoded->born_ms < existing->second.born_ms) {
        log_event_limited(state.log, log_severity::info, "target_entry_outdated", {{"target", record.key}});
        return;
    }
    state.pending_target_removals.erase(record.key);
    // A server that drains does not become ready again: this is an older state of it.
    if (existing != state.targets.end() && existing->second.born_ms == decoded->born_ms) {
        decoded->draining = decoded->draining || existing->second.draining;
    }
    const bool is_change = existing == state.targets.end() ||
                           existing->second.draining != decoded->draining ||
                           existing->second.born_ms != decoded->born_ms;
    if (is_change) {
        log_event_limited(
            state.log, log_severity::info, "target_seen",
            {{"target", record.key},
             {"service", decoded->service},
             {"domain", decoded->failure_domain},
             {"version", decoded->version},
             {"draining", decoded->draining ? "true" : "false"},
             {"warmup_left_ms", std::to_string(decoded->warmup_left / std::chrono::milliseconds(1))},
             {"record_version", std::to_string(record.version)}});
    }
    state.targets[record.key] = std::move(*decoded);
    state.targets_changed = true;
}

void apply_rollout_state(control_state& state, const steering::record& record)
{
    if (record.removed) {
        return;
    }
    auto decoded = platform::decode_rollout_state(record);
    if (!decoded) {
        log_malformed_record(state, record, decoded.reason);
        return;
    }
    log_event(log_severity::info, "rollout_state_seen",
              {{"service", decoded->service},
               {"version", decoded->version},
               {"state", std::string(steering::name_of(decoded->state))}});
    state.rollout_states[decoded->service] = *decoded;
}

// Removes changes that are heartbeats only, so that they are not forwarded to peers.
void remove_plain_heartbeats(const control_state& state, steering::record_update& update)
{
    if (update.group != steering::collection::targets || update.is_snapshot) {
        return;
    }
    const auto& stored = steering::records_of(state.replica, update.group).records;
    std::erase_if(update.records, [&](const steering::record& record) {
        const auto found = stored.find(record.key);
        return found != stored.end() && !record.removed && !found->second.removed &&
               !platform::differs_beyond_heartbeat(found->second, record);
    });
}

void on_store_answer(control_state& state, platform::store_status status)
{
    const bool reachable = status == platform::store_status::ok;
    state.fleet.own_reads_store = reachable;
    if (reachable != state.store_reachable) {
        state.store_reachable = reachable;
        log_event(reachable ? log_severity::info : log_severity::warning,
                  reachable ? "store_regained" : "store_lost",
                  {{"status", std::string(platform::name_of(status))}});
    }
    gauge(state.metric_registry, "camphorknot_store_reachable", "")
        .store(reachable ? 1 : 0, std::memory_order_relaxed);
}

bool has_records(const control_state& state)
{
    return state.collection_freshness.at(static_cast<std::size_t>(steering::collection::orders)).as_of_s >= 0;
}

// Records that the old copy lacks are removed by a second snapshot, if their writers have not written them
// again.
constexpr duration rewrite_grace = std::chrono::seconds(3);

void on_era_seen(control_state& state, std::uint64_t era, time_point now)
{
    if (era <= state.store_era) {
        return;
    }
    const bool is_first = state.store_era == 0 && !has_records(state);
    state.store_era = era;
    if (is_first) {
        return;
    }
    state.era_rose_at = now;
    state.snapshot_due = true;
    counter(state.metric_registry, "camphorknot_store_era_rises_total", "")
        .fetch_add(1, std::memory_order_relaxed);
    log_event(log_severity::warning, "store_era_rose", {{"era", std::to_string(era)}});
    spawn_task(state.context, register_again(state), "register_again");
}

// The position after which the store is asked for changes; empty if the collection is to be read in full. The
// targets are the last collection that is.
steering::record_position position_to_read(control_state& state, steering::collection group, time_point now)
{
    const bool is_due = state.snapshot_due && now - *state.era_rose_at >= rewrite_grace;
    if (!is_due || group == steering::collection::rollout_states) {
        return steering::records_of(state.replica, group).position;
    }
    return {};
}

// Returns the number of changed records; empty if the store did not answer.
asio::awaitable<std::optional<std::size_t>> read_from_store(control_state& state, steering::collection group)
{
    platform::store_status status = platform::store_status::unavailable;
    auto update = co_await platform::read_collection(
        state.read_client, group, position_to_read(state, group, boot_now()), duration{}, status);
    on_store_answer(state, status);
    counter(state.metric_registry, "camphorknot_store_reads_total", "")
        .fetch_add(1, std::memory_order_relaxed);
    gauge(state.metric_registry, "camphorknot_unreadable_store_eras", "")
        .store(static_cast<std::int64_t>(platform::unreadable_eras(*state.read_client)),
               std::memory_order_relaxed);
    if (!update) {
        co_return std::nullopt;
    }
    if (update->is_snapshot && group == steering::collection::targets && state.era_rose_at &&
        boot_now() - *state.era_rose_at >= rewrite_grace) {
        state.snapshot_due = false;
    }
    remove_plain_heartbeats(state, *update);
    co_return apply_record_update(state, *update, {"store", {}, 0, {}});
}

} // namespace

bool records_are_stale(const control_state& state, time_point now)
{
    const freshness& orders =
        state.collection_freshness.at(static_cast<std::size_t>(steering::collection::orders));
    const freshness& targets =
        state.collection_freshness.at(static_cast<std::size_t>(steering::collection::targets));
    if (orders.as_of_s < 0) {
        return now - state.started_at >= steering::startup_read_delay(state.settings.identity);
    }
    // Delegates go first, so that the instances of a failure domain do not all read the store at once.
    const duration max_age =
        steering::is_domain_delegate(state.fleet, now) ? stale_after : stale_after + non_delegate_delay;
    return now - std::min(orders.advanced_at, targets.advanced_at) > max_age;
}

std::size_t apply_record_update(control_state& state, const steering::record_update& update,
                                const record_delivery& delivery)
{
    const time_point now = boot_now();
    on_era_seen(state, steering::era_of(update.position.version), now);
    on_collection_confirmed(state, update.group, update.position.as_of_s, now);
    const steering::collection group = update.group;
    const std::vector<steering::record> changed =
        steering::apply_update(state.replica, update, platform::is_newer_content);
    for (const steering::record& record : changed) {
        switch (group) {
        case steering::collection::orders:
            apply_order(state, record, delivery);
            break;
        case steering::collection::targets:
            apply_target(state, record, now);
            break;
        case steering::collection::rollout_states:
            apply_rollout_state(state, record);
            break;
        }
    }
    if (!changed.empty()) {
        const std::string labels = "source=\"" + std::string(delivery.source) + "\"";
        counter(state.metric_registry, "camphorknot_record_changes_total", labels)
            .fetch_add(changed.size(), std::memory_order_relaxed);
    }
    return changed.size();
}

void show_configuration_age(control_state& state, time_point now)
{
    const auto set = [&](const char* name, duration age) {
        gauge(state.metric_registry, name, "")
            .store(age / std::chrono::milliseconds(1), std::memory_order_relaxed);
    };
    const freshness& orders = freshness_of(state, steering::collection::orders);
    const bool is_behind = state.pending_requests.announced_orders >
                           steering::records_of(state.replica, steering::collection::orders).position.version;
    set("camphorknot_configuration_behind_ms",
        is_behind ? steering::orders_behind_for(state.pending_requests, now) : duration{});
    set("camphorknot_configuration_confirmed_age_ms",
        now - (orders.as_of_s < 0 ? state.started_at : orders.advanced_at));
}

void finish_target_removals(control_state& state, time_point now)
{
    for (auto pending = state.pending_target_removals.begin();
         pending != state.pending_target_removals.end();) {
        if (now < pending->second) {
            ++pending;
            continue;
        }
        state.targets.erase(pending->first);
        state.targets_changed = true;
        log_event_limited(state.log, log_severity::info, "target_gone",
                          {{"target", pending->first}, {"after", "store_outage"}});
        pending = state.pending_target_removals.erase(pending);
    }
}

asio::awaitable<void> read_collections(control_state& state, time_point& states_read_at)
{
    const auto orders = co_await read_from_store(state, steering::collection::orders);
    if (!orders) {
        co_return;
    }
    const auto targets = co_await read_from_store(state, steering::collection::targets);
    const duration period = state.rollout_orders.empty() ? idle_state_read_period : store_read_period;
    if (boot_now() - states_read_at >= period) {
        states_read_at = boot_now();
        co_await read_from_store(state, steering::collection::rollout_states);
    }
    publish_view(state, boot_now());
    if (*orders + targets.value_or(0) > 0) {
        send_peer_updates(state, true, boot_now());
    }
}

asio::awaitable<void> follow_records(control_state& state)
{
    asio::steady_timer timer(state.context);
    time_point states_read_at{};
    time_point last_read_at{};
    while (true) {
        const time_point now = boot_now();
        // While the store is down all records are stale; the delegates notice its return for the others.
        const bool retry_due = now - last_read_at >= store_retry_period &&
                               (!state.fleet.own_reads_store || records_are_stale(state, now));
        const bool is_reader = steering::is_store_reader(state.fleet, now) &&
                               (has_records(state) || records_are_stale(state, now));
        const bool is_delegate_in_need =
            records_are_stale(state, now) && steering::is_domain_delegate(state.fleet, now);
        const bool is_due = now - last_read_at >= store_read_period;
        if (is_due && (is_reader || is_delegate_in_need || retry_due)) {
            last_read_at = now;
            co_await read_collections(state, states_read_at);
        }
        timer.expires_after(has_records(state) ? store_read_period : startup_read_period);
        boost::system::error_code ignored; // A cancelled wait only ends earlier.
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace camphorknot::edge
