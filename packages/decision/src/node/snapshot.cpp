#include <algorithm>

#include "state.hpp"

namespace camphorknot {
namespace {

constexpr std::int64_t thousandths = 1000;
constexpr duration member_check_period = std::chrono::milliseconds(200);
constexpr std::int64_t link_burst_ms = 100; ///< Burst of a link's budget, as time at its rate.

std::vector<route_view> make_routes(std::span<const service_object> services)
{
    std::vector<route_view> routes;
    for (std::size_t index = 0; index < services.size(); ++index) {
        for (const route_object& route : services[index].routes) {
            routes.push_back({make_id<service_id>(services[index].name),
                              route_id_of(services[index].name, route.name), index, route});
        }
    }
    std::ranges::stable_sort(routes, [](const route_view& a, const route_view& b) {
        return a.object.path_prefix.size() > b.object.path_prefix.size();
    });
    return routes;
}

void add_targets(const configuration& current, configured_view& view)
{
    for (const target_object& target : objects_of<target_object>(current)) {
        view.targets[make_id<target_id>(target.address)] = {target.address, target.version,
                                                            make_id<region_id>(target.region)};
    }
}

void add_accounts(const node& state, configured_view& view)
{
    for (const budget_id budget : state.budgets) {
        if (auto account = find_account(state.ledger, budget)) {
            view.accounts[budget] = std::move(account);
        }
    }
}

void add_customers(const node& state, const configuration& current, configured_view& view)
{
    for (const customer_object& customer : objects_of<customer_object>(current)) {
        const auto id = make_id<customer_id>(customer.name);
        view.customers[id] = {customer.name, customer.burst, find_account(state.ledger, customer_budget(id))};
    }
}

std::shared_ptr<const configured_view> make_configured_view(const node& state)
{
    const configuration& current = in_force(state.configurations);
    auto result = std::make_shared<configured_view>();
    result->services = objects_of<service_object>(current);
    result->routes = make_routes(result->services);
    result->site_sets = state.site_sets;
    add_customers(state, current, *result);
    add_targets(current, *result);
    add_accounts(state, *result);
    return result;
}

// Budget totals

void set_budget(node& state, const budget_total& total, time_point now)
{
    budget_total budget = total;
    // The budget is new if an earlier trusted version in this process did not have it.
    budget.is_new = state.view && state.view->trusted && !state.budgets.contains(total.id);
    state.budgets.insert(total.id);
    set_total(state.ledger, budget, state.settings.increase_delay, now);
}

void set_customer_budget(node& state, const customer_object& customer, time_point now)
{
    const budget_amount total{customer.rate_per_second * thousandths, customer.burst * thousandths, 0};
    set_budget(state, {.id = customer_budget(make_id<customer_id>(customer.name)), .total = total}, now);
}

// Only instances of the sending region use a link, so that region is the budget's home.
void set_link_budget(node& state, const link_object& link, time_point now)
{
    const auto from = make_id<region_id>(link.from_region);
    budget_total total{.id = link_budget(from, make_id<region_id>(link.to_region)), .home_region = from};
    total.total = {link.kilobytes_per_second * thousandths, link.kilobytes_per_second * link_burst_ms, 0};
    set_budget(state, total, now);
}

// The maximum time that a request of the service may hold its permit.
duration max_timeout_of(const configuration& current, const std::string& service)
{
    std::int64_t max_ms = 0;
    const auto found = current.objects.find({object_kind::service, service});
    if (found != current.objects.end()) {
        for (const route_object& route : std::get<service_object>(found->second).routes) {
            max_ms = std::max(max_ms, route.timeout_ms);
        }
    }
    return std::chrono::milliseconds(max_ms);
}

// A region may run as many requests of a service as its targets have slots, or fewer if operators set a lower
// limit.
void set_region_budgets(node& state, time_point now)
{
    const configuration& current = in_force(state.configurations);
    std::map<std::pair<std::string, std::string>, std::int64_t> slots;
    for (const target_object& target : objects_of<target_object>(current)) {
        slots[{target.service, target.region}] += target.slots;
    }
    for (const region_limit_object& limit : objects_of<region_limit_object>(current)) {
        auto& allowed = slots[{limit.service, limit.region}];
        allowed = std::min<std::int64_t>(allowed, limit.max_in_flight);
    }
    for (const auto& [place, count] : slots) {
        const auto region = make_id<region_id>(place.second);
        budget_total total{.id = region_budget(make_id<service_id>(place.first), region),
                           .kind = budget_kind::in_flight};
        total.total = {0, count * thousandths, 0};
        total.max_use_duration = max_timeout_of(current, place.first);
        total.home_region = region;
        set_budget(state, total, now);
    }
}

// The parts of the state that a change affects.
struct change_scope {
    bool targets = false;
    bool regions = false;
    bool owners = false;
    bool sites = false;
    bool configured = false; ///< An object that configured_view contains.
    bool operators = false;  ///< More than progress of moves and owners of allocations, so by an operator.
};

change_scope scope_of(const configuration_change& change)
{
    change_scope scope;
    const auto add_kind = [&](object_kind kind) {
        scope.targets |=
            kind == object_kind::target || kind == object_kind::service || kind == object_kind::region_limit;
        scope.regions |= kind == object_kind::region;
        scope.owners |= kind == object_kind::instance || kind == object_kind::allocation;
        scope.sites |= kind == object_kind::site_set;
        scope.configured |= kind == object_kind::service || kind == object_kind::target ||
                            kind == object_kind::customer || kind == object_kind::region_limit ||
                            kind == object_kind::link || kind == object_kind::site_set;
        scope.operators |= kind != object_kind::move_progress && kind != object_kind::allocation;
    };
    for (const configuration_object& object : change.upserts) {
        add_kind(key_of(object).kind);
    }
    for (const object_key& key : change.removals) {
        add_kind(key.kind);
    }
    return scope;
}

// Facts may arrive before the targets that they refer to: a restarted process receives them first.
void apply_facts_to_routing(const node& state, router& routing)
{
    for (const fact& value : state.members.facts) {
        if (value.kind == fact_kind::version_stopped) {
            stop_version(routing, service_id{value.detail}, version_id{value.subject});
        } else if (value.kind == fact_kind::target_leaving) {
            set_leaving(routing, target_id{value.subject}, true);
        }
    }
}

void apply_targets(node& state, time_point now)
{
    const configuration& current = in_force(state.configurations);
    {
        const std::lock_guard lock(state.shared->routing_mutex);
        set_targets(state.shared->routing, objects_of<service_object>(current),
                    objects_of<target_object>(current), now);
        apply_facts_to_routing(state, state.shared->routing);
    }
    set_region_budgets(state, now);
}

void apply_owners(node& state, time_point now)
{
    const configuration& current = in_force(state.configurations);
    std::vector<allocation_slot> slots;
    for (const instance_object& instance : objects_of<instance_object>(current)) {
        slots.push_back({make_id<instance_id>(instance.peer_address), make_id<region_id>(instance.region)});
    }
    std::vector<allocation_owner> owners;
    for (const allocation_object& allocation : objects_of<allocation_object>(current)) {
        owners.push_back({make_id<instance_id>(allocation.slot), make_id<instance_id>(allocation.owner)});
    }
    set_owners(state.ledger, slots, owners, state.settings.increase_delay, now);
}

void apply_regions(node& state)
{
    state.regions.clear();
    for (const region_object& region : objects_of<region_object>(in_force(state.configurations))) {
        state.regions.push_back(make_id<region_id>(region.name));
    }
    if (!state.regions.empty()) {
        set_regions(state.members, state.regions);
    }
}

void apply_site_sets(node& state)
{
    state.site_sets = objects_of<site_set_object>(in_force(state.configurations));
    state.site_set_indices.clear();
    for (std::size_t index = 0; index < state.site_sets.size(); ++index) {
        state.site_set_indices[state.site_sets[index].name] = static_cast<std::uint16_t>(index);
    }
    // The indices may have changed, so every block is set again; site sets change rarely.
    for (const block_object& block : objects_of<block_object>(in_force(state.configurations))) {
        change_block(state.blocks,
                     {block.network, block.prefix_length, state.site_set_indices[block.site_set]});
    }
}

void apply_removal(node& state, const object_key& removed)
{
    if (removed.kind == object_kind::customer) {
        const budget_id id = customer_budget(make_id<customer_id>(removed.name));
        remove_total(state.ledger, id);
        state.budgets.erase(id);
    } else if (removed.kind == object_kind::key) {
        if (const auto hash = parse_key_hash(removed.name)) {
            revoke_key(state.keys, *hash);
            raise_fact(state.members, fact{fact_kind::key_revoked, 0, 0, *hash});
        }
    } else if (removed.kind == object_kind::block) {
        if (const auto block = parse_block(removed.name)) {
            remove_block(state.blocks, {block->network, block->prefix_length, 0});
        }
    } else if (removed.kind == object_kind::move) {
        state.moves.erase(make_id<move_id>(removed.name));
    }
}

} // namespace

budget_id region_budget(service_id service, region_id region)
{
    return {mix_hash(mix_hash(hash_name("region"), service.value), region.value)};
}

budget_id link_budget(region_id from, region_id to)
{
    return {mix_hash(mix_hash(hash_name("link"), from.value), to.value)};
}

budget_id customer_budget(customer_id customer)
{
    return {mix_hash(hash_name("customer"), customer.value)};
}

traffic_state::traffic_state(router routes, operation_ledger records, rollout_state moves)
    : routing(std::move(routes)), operations(std::move(records)), rollout(std::move(moves))
{
}

void internal::apply_to_modules(node& state, const configuration_change& change, time_point now,
                                node_output& out)
{
    const change_scope scope = scope_of(change);
    if (scope.operators) {
        state.last_operator_version = change.version;
    }
    if (scope.regions) {
        apply_regions(state);
    }
    if (scope.owners) {
        apply_owners(state, now);
    }
    if (scope.targets) {
        apply_targets(state, now);
    }
    if (scope.sites) {
        apply_site_sets(state);
    }
    for (const configuration_object& object : change.upserts) {
        if (const auto* customer = std::get_if<customer_object>(&object)) {
            set_customer_budget(state, *customer, now);
        } else if (const auto* key = std::get_if<key_object>(&object)) {
            add_key(state.keys, *key);
        } else if (const auto* link = std::get_if<link_object>(&object)) {
            set_link_budget(state, *link, now);
        } else if (const auto* block = std::get_if<block_object>(&object)) {
            change_block(state.blocks,
                         {block->network, block->prefix_length, state.site_set_indices[block->site_set]});
        } else if (const auto* move = std::get_if<move_object>(&object)) {
            apply_move(state, *move, now, out);
        } else if (const auto* progress = std::get_if<move_progress_object>(&object)) {
            apply_move_progress(state, *progress, now, out);
        }
    }
    for (const object_key& removed : change.removals) {
        apply_removal(state, removed);
    }
    state.view_stale = true;
    state.configured_stale |= scope.configured;
    add_event(out, "configuration_in_force", {{"version", std::to_string(change.version)}});
}

void internal::rebuild_ledger(node& state, time_point now)
{
    // Traffic threads may still hold accounts of the old ledger; without authority these admit nothing.
    set_authority_until(state.ledger, now);
    ledger_settings settings = state.ledger.settings;
    settings.seed = state.random();
    state.ledger = make_ledger(settings, state.own_incarnation, now);
    state.budgets.clear();
    apply_owners(state, now);
    set_region_budgets(state, now);
    for (const customer_object& customer : objects_of<customer_object>(in_force(state.configurations))) {
        set_customer_budget(state, customer, now);
    }
    for (const link_object& link : objects_of<link_object>(in_force(state.configurations))) {
        set_link_budget(state, link, now);
    }
    state.view_stale = true;
    state.configured_stale = true;
}

void internal::refresh_snapshot(node& state)
{
    const bool trusted = may_serve(state.configurations, state.regions);
    if (!state.view_stale && state.view && state.view->trusted == trusted) {
        return;
    }
    if (state.configured_stale) {
        state.configured = make_configured_view(state);
        state.configured_stale = false;
    }
    auto next = std::make_shared<traffic_snapshot>();
    next->configuration_version = in_force(state.configurations).version;
    next->trusted = trusted;
    next->leaving = state.leaving;
    next->self = state.self;
    next->region = state.region;
    next->process_nonce = state.settings.process_nonce;
    next->traffic_address = state.settings.traffic_address;
    next->configured = state.configured;
    next->keys = state.keys;
    next->blocks = state.blocks;
    next->members = live_members(state.members);
    state.view = std::move(next);
    state.view_stale = false;
}

void internal::check_members(node& state, time_point now)
{
    if (now < state.next_member_check) {
        return;
    }
    state.next_member_check = now + member_check_period;
    std::uint64_t digest = 0;
    for (const member_record& member : live_members(state.members)) {
        digest = mix_hash(digest, mix_hash(member.instance.value, member.number));
        digest = mix_hash(digest, member.ticket_epoch * 16 + static_cast<std::uint64_t>(member.state) * 2 +
                                      (member.has_authority ? 1 : 0));
    }
    state.view_stale |= digest != state.members_digest;
    state.members_digest = digest;
}

} // namespace camphorknot
