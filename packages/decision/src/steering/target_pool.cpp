#include "camphorknot/steering/target_pool.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "target_state_rules.hpp"

namespace camphorknot::steering {
namespace {

// Weights of a new sample in the exponentially smoothed slowness and failure shares.
constexpr double slowness_weight = 0.25;
constexpr double failure_weight = 0.15;
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 20;
// The fraction of the cold limit's rate that is used: while the fleet changes, two instances may both act as
// the warm-up owner of a target.
constexpr double cold_rate_fraction = 0.75;

void store_sent_object(const target_pool& pool, target_state& state, std::uint64_t object, time_point now)
{
    if (state.objects.size() >= pool.tuning.max_objects && !state.objects.contains(object)) {
        const auto oldest = std::ranges::min_element(
            state.objects, [](const auto& a, const auto& b) { return a.second < b.second; });
        state.objects.erase(oldest);
    }
    state.objects[object] = now;
}

// Sum of the targets' loads relative to the sum of their slots; a target counts at most with `max_load` times
// its slots.
double load_fraction(const target_pool& pool, std::string_view service, double max_load)
{
    const auto found = pool.by_service.find(std::string(service));
    double slots = 0;
    double load = 0;
    if (found != pool.by_service.end()) {
        for (const target_state* state : found->second) {
            slots += state->entry.slots;
            load += std::min(total_load(*state), max_load * state->entry.slots);
        }
    }
    return slots == 0 ? 0 : load / slots;
}

duration warmup_time(const route_table& policies, std::string_view service)
{
    const service_policy* policy = find_service_policy(policies, service);
    return policy == nullptr ? duration{} : policy->warmup;
}

// Of an answer from the target to this instance.
duration hop_time(const target_pool& pool, const target_state& state)
{
    if (state.entry.failure_domain == pool.own_domain) {
        return duration{};
    }
    const placement_tuning& tuning = pool.tuning;
    return (state.region == pool.own_region ? tuning.domain_distance : tuning.region_distance) / 2;
}

void suspend(target_pool& pool, target_state& state, time_point now)
{
    const placement_tuning& tuning = pool.tuning;
    state.suspension = state.suspension == duration{} ? tuning.first_suspension
                                                      : std::min(state.suspension * 2, tuning.max_suspension);
    state.suspended_until = now + state.suspension;
}

void on_failure(target_pool& pool, target_state& state, time_point now)
{
    ++state.consecutive_failures;
    state.failure_share += (1 - state.failure_share) * failure_weight;
    const bool too_many_consecutive = state.consecutive_failures >= pool.tuning.failures_to_suspend;
    if (too_many_consecutive || state.on_trial ||
        state.failure_share >= pool.tuning.failure_share_to_suspend) {
        suspend(pool, state, now);
    }
}

// Service time without the wait in the target's queue, which is no measure of its speed. Learned as service
// time, the wait would hide how much faster warm targets are when the load is highest.
duration estimate_served(const target_state& state, const placement& chosen, duration taken,
                         const std::optional<target_load>& load)
{
    if (load) {
        return scaled(taken, 1 / (1 + load->waiting / state.entry.slots));
    }
    return std::max(taken - chosen.expected_wait, taken / 2);
}

// Whether the target rejected a request for lack of capacity, which is no fault.
bool is_full(const target_state& state, const std::optional<target_load>& load)
{
    return load && (load->waiting > 0 || load->running >= state.entry.slots);
}

void learn_slowness(target_state& state, const service_profile& profile, bool warm, duration served)
{
    const duration expected = warm ? profile.warm : profile.miss;
    const double ratio = static_cast<double>(served.count()) / static_cast<double>(expected.count());
    state.slowness += (std::clamp(ratio, min_slowness, max_slowness) - state.slowness) * slowness_weight;
}

void learn_from_answer(target_pool& pool, target_state& state, const placement& chosen, duration served,
                       time_point now)
{
    const bool warm = chosen.expected_warm;
    service_profile& mix = pool.profiles[state.entry.service];
    service_profile& profile = profile_of(pool, state.entry.service, chosen.route);
    const bool is_by_route = &profile != &mix;
    if (!is_by_route || is_learned(profile, warm)) {
        learn_slowness(state, profile, warm, served);
    }
    if (is_by_route) {
        learn_route_time(profile, warm, served, now);
    }
    learn_service_time(mix, warm, served, now);
}

void on_success(target_pool& pool, target_state& state, const placement& chosen, duration taken,
                time_point now, const std::optional<target_load>& load)
{
    state.consecutive_failures = 0;
    state.failure_share -= state.failure_share * failure_weight;
    state.suspension = duration{};
    const duration served = estimate_served(state, chosen, taken, load);
    const std::optional<double> reported = load ? load->slowdown : std::nullopt;
    learn_from_answer(pool, state, chosen,
                      scaled(served, 1 / experienced_slowdown(state.speed, reported, served)), now);
}

// The state of a target that is new, or whose entry is back. What the incarnation asked for still holds then.
target_state make_state(target_pool& pool, const target& entry)
{
    target_state state;
    const auto removed = pool.removed.find(entry.id);
    if (removed != pool.removed.end() && removed->second.born_ms == entry.born_ms) {
        state.entry = entry; // Not one that has restarted.
        state.entry.warmup_left = {};
        state.quiet_until = removed->second.quiet_until;
        state.cold_until = removed->second.cold_until;
    }
    return state;
}

void remember_removed(target_pool& pool, const target_state& state)
{
    pool.removed[state.entry.id] = {state.entry.born_ms, state.quiet_until, state.cold_until};
}

} // namespace

void set_targets(target_pool& pool, std::span<const target> entries, const failure_domain_regions& regions,
                 const route_table& policies, time_point now)
{
    std::set<std::string_view> present;
    for (const target& entry : entries) {
        present.insert(entry.id);
        const auto [place, is_new] = pool.targets.try_emplace(entry.id);
        target_state& state = place->second;
        if (is_new) {
            state = make_state(pool, entry);
        }
        const bool restarted = state.entry.id.empty() || state.entry.born_ms != entry.born_ms;
        if (restarted) {
            const unsigned in_flight =
                state.own_in_flight; // Requests to the previous incarnation are still in flight.
            state = target_state{};
            state.own_in_flight = in_flight;
        }
        if (entry.warmup_left > duration{} && (restarted || entry.warmup_left != state.entry.warmup_left)) {
            const duration left = std::min(entry.warmup_left, warmup_time(policies, entry.service));
            state.cold_until = std::max(state.cold_until, now + left);
        }
        const service_policy* policy = find_service_policy(policies, entry.service);
        state.allowance.rate = policy == nullptr ? 0 : policy->warmup_rate * cold_rate_fraction;
        state.entry = entry;
        const auto region = regions.find(entry.failure_domain);
        state.region = region == regions.end() ? std::string() : region->second;
    }
    for (auto position = pool.targets.begin(); position != pool.targets.end();) {
        const bool removed = !present.contains(position->first);
        if (removed) {
            position->second.entry.draining = true;
        }
        if (!removed || position->second.own_in_flight > 0) {
            ++position;
            continue;
        }
        remember_removed(pool, position->second);
        position = pool.targets.erase(position);
    }
    std::erase_if(pool.removed, [&](const auto& item) {
        return now >= std::max(item.second.quiet_until, item.second.cold_until);
    });
    pool.by_service.clear();
    for (auto& [id, state] : pool.targets) {
        pool.by_service[state.entry.service].push_back(&state);
    }
    update_route_profiles(pool.by_route, pool.profiles, policies);
    std::set<std::string> caller_regions;
    for (const auto& [domain, region] : regions) {
        caller_regions.insert(region);
    }
    pool.region_shares.clear();
    for (const auto& [service, members] : pool.by_service) {
        std::map<std::string, double> slots;
        for (const target_state* state : members) {
            slots[state->region] += state->entry.draining ? 0 : state->entry.slots;
        }
        pool.region_shares[service] = compute_region_shares(slots, pool.own_region, caller_regions.size());
    }
}

std::vector<region_share> compute_region_shares(const std::map<std::string, double>& slots,
                                                const std::string& own, std::size_t regions)
{
    double total = 0;
    for (const auto& [region, count] : slots) {
        total += count;
    }
    const double demand_fraction = 1.0 / static_cast<double>(std::max<std::size_t>(1, regions));
    const auto slot_fraction = [&](const std::string& region) {
        const auto found = slots.find(region);
        return found == slots.end() || total == 0 ? 0 : found->second / total;
    };
    const double own_share = std::min(1.0, slot_fraction(own) / demand_fraction);
    double surplus = 0;
    for (const auto& [region, count] : slots) {
        surplus += region == own ? 0 : std::max(0.0, slot_fraction(region) - demand_fraction);
    }
    std::vector<region_share> shares = {{own, own_share}};
    for (const auto& [region, count] : slots) {
        if (region != own && surplus > 0) {
            shares.push_back(
                {region, (1 - own_share) * std::max(0.0, slot_fraction(region) - demand_fraction) / surplus});
        }
    }
    return shares;
}

void set_domain_cold(target_pool& pool, std::string_view domain, const route_table& policies, time_point now)
{
    for (auto& [id, state] : pool.targets) {
        if (state.entry.failure_domain == domain) {
            state.cold_until = std::max(state.cold_until, now + warmup_time(policies, state.entry.service));
            state.objects.clear();
        }
    }
}

void set_named_limit(target_state& state, std::optional<double> per_s, time_point now)
{
    if (!per_s) {
        state.is_limited = false;
        return;
    }
    state.limit.tokens = state.is_limited ? refilled_tokens(state.limit, now) : 0;
    state.limit.refilled = now;
    state.limit.rate = *per_s;
    state.is_limited = true;
}

void set_quiet(target_state& state, duration length, time_point now)
{
    state.quiet_until = std::max(state.quiet_until, now + length);
    if (state.suspended_for_shedding) {
        state.suspension = duration{};
        state.consecutive_failures = 0;
    }
}

service_profile& profile_of(target_pool& pool, std::string_view service, std::string_view route)
{
    const auto routes = pool.by_route.find(service);
    if (routes != pool.by_route.end()) {
        const auto found = routes->second.find(route);
        if (found != routes->second.end()) {
            return found->second;
        }
    }
    return pool.profiles[std::string(service)];
}

work_estimate expected_work(const target_pool& pool, std::string_view service, std::string_view route)
{
    if (const service_profile* profile = find_route_profile(pool.by_route, service, route)) {
        return {profile->warm, profile->miss};
    }
    const auto known = pool.profiles.find(std::string(service));
    const service_profile profile = known == pool.profiles.end() ? service_profile{} : known->second;
    return {profile.warm, profile.miss};
}

void on_request_sent(target_pool& pool, target_state& state, std::uint64_t object, time_point now)
{
    ++state.own_in_flight;
    store_sent_object(pool, state, object, now);
    if (state.suspension != duration{}) {
        state.on_trial = true;
    }
    if (state.is_limited) {
        state.limit.tokens = refilled_tokens(state.limit, now) - 1;
        state.limit.refilled = now;
    }
    if (is_cold(state, now)) {
        state.allowance.tokens = refilled_tokens(state.allowance, now) - 1;
        state.allowance.refilled = now;
    }
}

void on_request_ended(target_pool& pool, target_state& state, target_outcome outcome, const placement& chosen,
                      duration taken, time_point now, const std::optional<target_load>& load)
{
    if (state.own_in_flight > 0) {
        --state.own_in_flight;
    }
    switch (outcome) {
    case target_outcome::success:
        on_success(pool, state, chosen, taken, now, load);
        break;
    case target_outcome::failure:
    case target_outcome::unreachable:
        state.suspended_for_shedding = false;
        on_failure(pool, state, now);
        break;
    case target_outcome::shed:
        if (!is_full(state, load)) {
            state.suspended_for_shedding = true;
            on_failure(pool, state, now);
        }
        break;
    case target_outcome::replaced:
        state.suspended_for_shedding = false;
        state.suspension = pool.tuning.max_suspension;
        state.suspended_until = now + state.suspension;
        break;
    case target_outcome::abandoned:
        break;
    }
    state.on_trial = false;
    if (load) {
        on_target_load_reported(state, *load, now);
        if (load->slowdown) {
            on_slowdown_reported(state.speed, *load->slowdown, now - hop_time(pool, state));
        }
    }
}

void on_target_load_reported(target_state& state, const target_load& load, time_point now)
{
    state.peer_in_flight = std::max(0.0, load.running + load.waiting - state.own_in_flight);
    state.load_reported_at = now;
}

void on_peer_load_reported(target_state& state, double requests, time_point now)
{
    // Typical age of peers' reports on arrival.
    constexpr duration report_age = std::chrono::milliseconds(300);
    if (now - state.load_reported_at > report_age) {
        state.peer_in_flight = requests;
    }
}

double utilization(const target_pool& pool, std::string_view service)
{
    return load_fraction(pool, service, std::numeric_limits<double>::infinity());
}

double slot_utilization(const target_pool& pool, std::string_view service)
{
    return load_fraction(pool, service, 1);
}

} // namespace camphorknot::steering
