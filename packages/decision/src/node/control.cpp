#include <algorithm>

#include "state.hpp"

namespace camphorknot {
namespace {

using internal::add_event;
using internal::call_purpose;

constexpr duration platform_call_timeout = std::chrono::seconds(5);
/// Time to live of look-up answers (2 s) and one second more.
constexpr duration lookup_cache_time = std::chrono::seconds(3);

membership_settings make_membership_settings(const node_settings& settings)
{
    membership_settings result;
    result.self.instance = make_id<instance_id>(settings.peer_address);
    result.self.number = settings.number;
    result.self.region = make_id<region_id>(settings.region);
    result.self.failure_domain = make_id<failure_domain_id>(settings.failure_domain);
    result.self.peer_address = settings.peer_address;
    result.self.traffic_address = settings.traffic_address;
    result.self.process_nonce = settings.process_nonce;
    result.regions = {result.self.region};
    result.seed = mix_hash(settings.seed, 1);
    return result;
}

distribution_settings make_distribution_settings(const node_settings& settings)
{
    distribution_settings result;
    result.self = make_id<instance_id>(settings.peer_address);
    result.region = make_id<region_id>(settings.region);
    result.seed = mix_hash(settings.seed, 5);
    return result;
}

ledger_settings make_ledger_settings(const node_settings& settings)
{
    ledger_settings result;
    result.self = make_id<instance_id>(settings.peer_address);
    result.region = make_id<region_id>(settings.region);
    result.failure_domain = make_id<failure_domain_id>(settings.failure_domain);
    result.seed = mix_hash(settings.seed, 6);
    return result;
}

operation_settings make_operation_settings(const node_settings& settings)
{
    operation_settings result;
    result.self = make_id<instance_id>(settings.peer_address);
    result.process_nonce = settings.process_nonce;
    return result;
}

router_settings make_router_settings(const node_settings& settings)
{
    router_settings result;
    result.region = make_id<region_id>(settings.region);
    result.failure_domain = make_id<failure_domain_id>(settings.failure_domain);
    result.seed = mix_hash(settings.seed, 2);
    return result;
}

std::shared_ptr<traffic_state> make_traffic(const node_settings& settings, time_point now)
{
    const auto self = make_id<instance_id>(settings.peer_address);
    auto shared =
        std::make_shared<traffic_state>(make_router(make_router_settings(settings), now),
                                        make_operation_ledger(make_operation_settings(settings), now),
                                        make_rollout_state(self, mix_hash(settings.seed, 3)));
    shared->lookup_random.state = mix_hash(settings.seed, 4);
    return shared;
}

// Facts

void apply_fact(node& state, const fact& value, node_output& out)
{
    const std::string subject = std::to_string(value.subject);
    switch (value.kind) {
    case fact_kind::key_revoked:
        revoke_key(state.keys, value.key);
        add_event(out, "key_revoked", {});
        break;
    case fact_kind::version_stopped: {
        const service_id service{value.detail};
        const version_id version{value.subject};
        {
            const std::lock_guard lock(state.shared->routing_mutex);
            stop_version(state.shared->routing, service, version);
        }
        const std::lock_guard lock(state.shared->rollout_mutex);
        on_version_stopped(state.shared->rollout, service, version);
        add_event(out, "version_stopped", {{"version", subject}});
        break;
    }
    case fact_kind::target_leaving: {
        const std::lock_guard lock(state.shared->routing_mutex);
        set_leaving(state.shared->routing, target_id{value.subject}, true);
        add_event(out, "target_leaving", {{"target", subject}});
        break;
    }
    case fact_kind::instance_leaving:
    case fact_kind::incarnation_fenced:
        break;
    }
    state.view_stale = true;
}

// Membership events

void on_event(node& state, const member_joined& event, time_point now, node_output& out)
{
    state.live_since[event.record.instance] = now;
    add_event(out, "instance_joined", {{"instance", event.record.peer_address}});
}

void on_event(node& state, const proved_stopped& event, time_point now, node_output& out)
{
    on_proved_stopped(state.ledger, event.instance, event.number, now);
    state.live_since.erase(event.instance);
    if (!event.replaced) {
        state.stopped_owners[event.instance] = now;
    }
    add_event(out, "instance_stopped", {{"instance", std::to_string(event.instance.value)}});
}

void on_event(node& state, const fact_added& event, time_point, node_output& out)
{
    apply_fact(state, event.added, out);
}

// A fenced process may have lost its allocation, its loans and its place among the peers, so its budgets
// start from the beginning.
void on_event(node& state, const self_renumbered& event, time_point now, node_output& out)
{
    state.own_incarnation = event.number;
    internal::rebuild_ledger(state, now);
    add_event(out, "self_renumbered", {{"incarnation", std::to_string(event.number)}});
}

void on_event(node& state, const newer_configuration_seen& event, time_point now, node_output&)
{
    on_version_reported(state.configurations, event.peer, region_id{}, event.version, reader_age_unknown,
                        now);
}

void handle_events(node& state, time_point now, node_output& out)
{
    for (const membership_event& event : take_events(state.members)) {
        std::visit([&](const auto& typed_event) { on_event(state, typed_event, now, out); }, event);
        state.view_stale = true;
    }
}

// Steps of a tick

void tick_distribution(node& state, time_point now, node_output& out)
{
    const distribution_read read = tick(state.configurations, live_members(state.members), now, out.messages);
    if (read.table) {
        internal::send_call(state, call_purpose::distribution_table, {}, *read.table, now, out);
    }
    if (read.object) {
        internal::send_call(state, call_purpose::distribution_object, {}, object_read{*read.object}, now,
                            out);
    }
    for (const configuration_change& change : take_applied(state.configurations)) {
        internal::apply_to_modules(state, change, now, out);
    }
    if (auto snapshot = take_snapshot_write(state.configurations, now)) {
        internal::send_call(state, call_purpose::snapshot_write, {},
                            object_write{std::move(snapshot->name), std::move(snapshot->text)}, now, out);
    }
}

void tick_rollout(node& state, time_point now, node_output& out)
{
    std::vector<fact> stops;
    {
        const std::lock_guard lock(state.shared->rollout_mutex);
        stops = tick(state.shared->rollout, live_members(state.members), now, out.messages);
    }
    for (const fact& stop : stops) {
        internal::raise_and_apply(state, stop, out);
    }
}

void tick_traffic(node& state, time_point now)
{
    {
        const std::lock_guard lock(state.shared->operations_mutex);
        tick(state.shared->operations, now);
        update_self(state.members, reported_version(state.configurations, state.regions),
                    current_epoch(state.shared->operations, now));
    }
    const auto live = static_cast<std::uint32_t>(live_members(state.members).size());
    const std::lock_guard lock(state.shared->routing_mutex);
    set_fleet_size(state.shared->routing, std::max<std::uint32_t>(live, 1));
}

void expire_calls(node& state, time_point now, node_output& out)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, call] : state.calls) {
        if (now - call.sent > platform_call_timeout) {
            expired.push_back(id);
        }
    }
    for (const std::uint64_t id : expired) {
        on_platform_answer(state, {id, {table_status::unknown, std::nullopt}}, now, out);
    }
}

// Sets the sender. Also sets reader_age, which comes from the configuration and not from membership.
void complete_messages(const node& state, time_point now, outbox& messages)
{
    for (envelope& message : messages) {
        message.from = state.self;
        message.from_incarnation = state.own_incarnation;
        if (auto* body = std::get_if<gossip>(&message.body)) {
            body->reader_age = reader_age(state.configurations, now);
        }
    }
}

void on_version_report(node& state, const envelope& message, time_point now)
{
    const auto& live = live_members(state.members);
    const auto sender = std::ranges::find(live, message.from, &member_record::instance);
    const region_id region = sender == live.end() ? region_id{} : sender->region;
    if (const auto* body = std::get_if<gossip>(&message.body)) {
        on_version_reported(state.configurations, message.from, region, body->configuration_version,
                            body->reader_age, now);
    } else if (const auto* ack = std::get_if<ping_ack>(&message.body)) {
        on_version_reported(state.configurations, message.from, region, ack->configuration_version,
                            reader_age_unknown, now);
    }
}

void finish_step(node& state, time_point now, node_output& out)
{
    handle_events(state, now, out);
    state.shared->authority_until_ns.store(authority_until(state.members).time_since_epoch().count(),
                                           std::memory_order_release);
    set_authority_until(state.ledger, authority_until(state.members));
    const bool authority = has_authority(state.members, now);
    if (authority != state.had_authority) {
        state.had_authority = authority;
        state.authority_since = now;
        add_event(out, authority ? "authority_gained" : "authority_lost", {});
    }
    internal::refresh_snapshot(state);
    complete_messages(state, now, out.messages);
}

} // namespace

void internal::add_event(node_output& out, std::string name,
                         std::vector<std::pair<std::string, std::string>> fields)
{
    out.events.push_back({std::move(name), std::move(fields)});
}

void internal::raise_and_apply(node& state, const fact& value, node_output& out)
{
    // Membership raises events only for facts from peers, so a new fact of this instance is applied here.
    if (raise_fact(state.members, value)) {
        apply_fact(state, value, out);
    }
}

std::uint64_t internal::send_call(
    node& state, call_purpose purpose, move_id move,
    std::variant<table_read, table_transaction, operation_read, object_read, object_write> request,
    time_point now, node_output& out)
{
    const std::uint64_t id = state.next_call++;
    state.calls[id] = {purpose, move, now};
    out.calls.push_back({id, std::move(request)});
    return id;
}

void node_deleter::operator()(node* state) const
{
    delete state;
}

node::node(const node_settings& initial_settings, membership initial_members, time_point now)
    : settings(initial_settings), self(make_id<instance_id>(initial_settings.peer_address)),
      region(make_id<region_id>(initial_settings.region)),
      failure_domain(make_id<failure_domain_id>(initial_settings.failure_domain)),
      random{initial_settings.seed}, members(std::move(initial_members)),
      configurations(make_distribution(make_distribution_settings(initial_settings), now)),
      ledger(make_ledger(make_ledger_settings(initial_settings), initial_settings.number, now)),
      shared(make_traffic(initial_settings, now)), own_incarnation(initial_settings.number), regions{region}
{
}

node_handle make_node(const node_settings& settings, time_point now)
{
    auto members = make_membership(make_membership_settings(settings), now);
    node_handle result(new node(settings, std::move(*members), now));
    internal::refresh_snapshot(*result);
    return result;
}

void add_contacts(node& state, std::span<const instance_contact> contacts, time_point now)
{
    add_contacts(state.members, contacts, now);
}

void tick(node& state, time_point now, unix_milliseconds wall_now, node_output& out)
{
    tick(state.members, now, out.messages);
    handle_events(state, now, out);
    tick_distribution(state, now, out);
    tick(state.ledger, live_members(state.members), now, out.messages);
    tick_rollout(state, now, out);
    internal::tick_drains(state, now, out);
    internal::tick_moves(state, now, wall_now, out);
    internal::tick_allocations(state, now, out);
    internal::tick_changes(state, now, out);
    tick_traffic(state, now);
    internal::check_members(state, now);
    expire_calls(state, now, out);
    finish_step(state, now, out);
}

void on_message(node& state, const envelope& message, time_point now, node_output& out)
{
    on_message(state.members, message, now, out.messages);
    on_message(state.configurations, message, now, out.messages);
    on_message(state.ledger, message, now, out.messages);
    if (std::holds_alternative<rollout_counts>(message.body)) {
        const std::lock_guard lock(state.shared->rollout_mutex);
        on_message(state.shared->rollout, message, now);
    }
    internal::on_drain_report(state, message, now);
    on_version_report(state, message, now);
    for (const configuration_change& change : take_applied(state.configurations)) {
        internal::apply_to_modules(state, change, now, out);
    }
    finish_step(state, now, out);
}

void on_platform_answer(node& state, const platform_answer& answer, time_point now, node_output& out)
{
    const auto found = state.calls.find(answer.id);
    if (found == state.calls.end()) {
        return;
    }
    const internal::pending_call call = found->second;
    state.calls.erase(found);
    const bool reached =
        answer.answer.status != table_status::unavailable && answer.answer.status != table_status::unknown;
    (reached ? state.last_store_answer : state.last_store_failure) = now;
    switch (call.purpose) {
    case call_purpose::distribution_table:
        on_table_answer(state.configurations, answer.answer, now);
        break;
    case call_purpose::distribution_object: {
        const auto& row = answer.answer.row;
        on_object_answer(state.configurations,
                         row ? std::optional<std::string_view>(row->value) : std::nullopt, now);
        break;
    }
    case call_purpose::change:
        internal::on_change_answer(state, answer.id, answer.answer, now, out);
        break;
    case call_purpose::move_lease:
        internal::on_lease_answer(state, call.move, answer.answer, now);
        break;
    case call_purpose::snapshot_write:
        on_snapshot_written(state.configurations, answer.answer.status == table_status::ok, now);
        break;
    }
    for (const configuration_change& change : take_applied(state.configurations)) {
        internal::apply_to_modules(state, change, now, out);
    }
    finish_step(state, now, out);
}

std::shared_ptr<const traffic_snapshot> snapshot(const node& state)
{
    return state.view;
}

std::shared_ptr<traffic_state> shared_traffic(const node& state)
{
    return state.shared;
}

void raise_fact(node& state, const fact& value, time_point)
{
    node_output ignored;
    internal::raise_and_apply(state, value, ignored);
    internal::refresh_snapshot(state);
}

const configuration& configuration_of(const node& state)
{
    return in_force(state.configurations);
}

node_status status_of(const node& state, time_point now)
{
    node_status status;
    status.authority = has_authority(state.members, now);
    status.configuration_trusted = may_serve(state.configurations, state.regions);
    status.store_reachable = state.last_store_answer >= state.last_store_failure;
    status.configuration_version = in_force(state.configurations).version;
    status.members = live_members(state.members);
    for (const auto& [id, move] : state.moves) {
        status.moves.emplace_back(move.object, move.progress);
    }
    return status;
}

void begin_stop(node& state, time_point now)
{
    if (state.leaving) {
        return;
    }
    state.leaving = true;
    state.leaving_since = now;
    begin_leave(state.members, now);
    state.view_stale = true;
    internal::refresh_snapshot(state);
}

bool may_stop(const node& state, std::size_t requests_in_flight, time_point now)
{
    return state.leaving && requests_in_flight == 0 && now - state.leaving_since >= lookup_cache_time;
}

void finish_stop(node& state, time_point now, node_output& out)
{
    hand_over(state.ledger, live_members(state.members), now, out.messages);
    finish_leave(state.members, out.messages);
    complete_messages(state, now, out.messages);
}

} // namespace camphorknot
