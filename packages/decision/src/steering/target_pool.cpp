#include "camphorknot/steering/target_pool.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace camphorknot::steering {
namespace {

// Weights of a new sample in the exponentially smoothed service times, slowness and failure shares.
constexpr double profile_weight = 0.05;
constexpr double slowness_weight = 0.25;
constexpr double failure_weight = 0.15;
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 20;
// Time constant of the smoothed completion rate.
constexpr double rate_period_s = 2;
// Burst of an allowance, and the fraction of the cold limit's rate that is used: while the fleet changes, two
// instances may both act as the warm-up owner of a target.
constexpr double allowed_burst = 1;
constexpr double cold_rate_fraction = 0.75;
// Stands for the time to the next request if this instance has no part of a limit.
constexpr duration max_room_delay = std::chrono::seconds(60);

bool is_allowed(std::span<const std::string> regions, const std::string& region)
{
    return regions.empty() || std::ranges::find(regions, region) != regions.end();
}

double total_load(const target_state& state)
{
    return state.own_in_flight + state.peer_in_flight;
}

bool is_cold(const target_state& state, time_point now)
{
    return now < state.cold_until;
}

double refilled_tokens(const send_allowance& allowance, time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - allowance.refilled).count();
    return std::min(allowed_burst, allowance.tokens + elapsed * allowance.rate);
}

bool cold_limit_allows(const target_state& state, time_point now)
{
    if (!is_cold(state, now) || state.allowance.rate <= 0) {
        return true;
    }
    return state.is_warmup_owner && refilled_tokens(state.allowance, now) >= 1;
}

bool named_limit_allows(const target_state& state, time_point now)
{
    return !state.is_limited || refilled_tokens(state.limit, now) >= 1;
}

bool is_quiet(const target_state& state, time_point now)
{
    return now < state.quiet_until;
}

// Whether the target itself allows a request of this instance now.
bool is_open(const target_state& state, time_point now)
{
    return named_limit_allows(state, now) && !is_quiet(state, now);
}

// Until this instance may send a request to a target that is not open, and between such requests.
room_estimate room_when_open(const target_state& state, time_point now)
{
    if (is_quiet(state, now)) {
        return {state.quiet_until - now, duration{}};
    }
    if (state.limit.rate <= 0) {
        return {max_room_delay, max_room_delay};
    }
    const double missing = std::max(0.0, 1 - refilled_tokens(state.limit, now));
    const auto to_delay = [&](double tokens) {
        return std::min(max_room_delay, std::chrono::duration_cast<duration>(
                                            std::chrono::duration<double>(tokens / state.limit.rate)));
    };
    return {to_delay(missing), to_delay(1)};
}

bool is_suspended(const target_state& state, const placement_request& request, time_point now,
                  bool ignore_shedding)
{
    if (state.suspension == duration{} || (ignore_shedding && state.suspended_for_shedding)) {
        return false;
    }
    return now < state.suspended_until || state.on_trial || request.avoid_suspended_trial;
}

// Whether so many targets are suspended for shedding that the others could not carry the load.
bool is_shedding_widespread(const target_pool& pool, const std::vector<target_state*>& members)
{
    const auto shedding = std::ranges::count_if(members, [](const target_state* state) {
        return state->suspension != duration{} && state->suspended_for_shedding;
    });
    return static_cast<double>(shedding) >
           pool.tuning.max_shedding_fraction * static_cast<double>(members.size());
}

bool is_eligible(const target_pool& pool, const target_state& state, const placement_request& request)
{
    if (state.entry.draining || pool.evacuated.contains(state.entry.failure_domain)) {
        return false;
    }
    if (!request.version.empty() && state.entry.version != request.version) {
        return false;
    }
    return is_allowed(request.route_regions, state.region) &&
           is_allowed(request.customer_regions, state.region) &&
           std::ranges::find(request.tried, state.entry.id) == request.tried.end();
}

duration network_cost(const target_pool& pool, const target_state& state, std::size_t body_bytes)
{
    if (state.entry.failure_domain == pool.own_domain) {
        return duration{};
    }
    const auto bytes = static_cast<std::int64_t>(body_bytes);
    if (state.region == pool.own_region) {
        return pool.tuning.domain_distance + pool.tuning.domain_byte_cost * bytes;
    }
    return pool.tuning.region_distance + pool.tuning.region_byte_cost * bytes;
}

duration scaled(duration base, double factor)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

struct ranked_target {
    target_state* state = nullptr;
    std::uint64_t weight = 0;
};

// Region assigned to the object of a request. It depends on slots and not on load, so that a change of load
// moves few requests between regions.
const std::string& assigned_region_of(const target_pool& pool, const placement_request& request)
{
    const auto shares = pool.region_shares.find(std::string(request.service));
    if (shares == pool.region_shares.end()) {
        return pool.own_region;
    }
    double position =
        static_cast<double>(mix_hash(request.object, hash_name(pool.own_region)) >> 11U) * 0x1.0p-53;
    for (const region_share& entry : shares->second) {
        position -= entry.share;
        if (position < 0) {
            return entry.region;
        }
    }
    return pool.own_region;
}

// Moves up to `max_moved` targets that satisfy `is_near` to the position `from`, keeping their order.
void move_to_front(std::vector<ranked_target>& ranked, std::size_t from, std::size_t max_moved, auto is_near)
{
    std::size_t next_position = from;
    for (std::size_t index = from; index < ranked.size() && next_position < from + max_moved; ++index) {
        if (is_near(*ranked[index].state)) {
            std::rotate(ranked.begin() + static_cast<std::ptrdiff_t>(next_position),
                        ranked.begin() + static_cast<std::ptrdiff_t>(index),
                        ranked.begin() + static_cast<std::ptrdiff_t>(index) + 1);
            ++next_position;
        }
    }
}

// Rendezvous hashing: all instances of a region compute the same order of targets for an object without
// exchanging messages.
std::vector<ranked_target> rank_targets(const target_pool& pool, const std::vector<target_state*>& members,
                                        const placement_request& request, time_point now)
{
    std::vector<ranked_target> ranked;
    ranked.reserve(members.size());
    const bool ignore_shedding = is_shedding_widespread(pool, members);
    for (target_state* state : members) {
        if (is_eligible(pool, *state, request) && is_open(*state, now) &&
            !is_suspended(*state, request, now, ignore_shedding)) {
            ranked.push_back({state, mix_hash(hash_name(state->entry.id), request.object)});
        }
    }
    std::ranges::sort(ranked, [](const auto& a, const auto& b) { return a.weight > b.weight; });
    if (request.body_bytes >= pool.tuning.large_body_bytes) {
        const auto in_region = [&](const target_state& state) { return state.region == pool.own_region; };
        const auto in_domain = [&](const target_state& state) {
            return state.entry.failure_domain == pool.own_domain;
        };
        move_to_front(ranked, 0, ranked.size(), in_region);
        move_to_front(ranked, 0, pool.tuning.near_ranks, in_domain);
        return ranked;
    }
    const std::string& assigned_region = assigned_region_of(pool, request);
    move_to_front(ranked, 0, pool.tuning.near_ranks,
                  [&](const target_state& state) { return state.region == assigned_region; });
    return ranked;
}

bool is_warm(const target_pool& pool, const target_state& state, const placement_request& request,
             std::size_t rank, time_point now)
{
    if (!request.has_affinity || rank == 0) {
        return true;
    }
    const auto sent = state.objects.find(request.object);
    return rank < pool.tuning.warm_ranks && sent != state.objects.end() &&
           now - sent->second < pool.tuning.object_retention;
}

void store_sent_object(const target_pool& pool, target_state& state, std::uint64_t object, time_point now)
{
    if (state.objects.size() >= pool.tuning.max_objects && !state.objects.contains(object)) {
        const auto oldest = std::ranges::min_element(
            state.objects, [](const auto& a, const auto& b) { return a.second < b.second; });
        state.objects.erase(oldest);
    }
    state.objects[object] = now;
}

// Expected times and cost of a request at one target.
struct candidate {
    bool has_capacity = false;
    room_estimate room{}; ///< Until the target has capacity again.
    bool warm = false;    ///< The object is expected to be cached there.
    duration service{};
    duration wait{}; ///< In the target's queue.
    duration cost{};
};

candidate evaluate_candidate(const target_pool& pool, const target_state& state,
                             const placement_request& request, const service_profile& profile,
                             std::size_t rank, bool allows_misses, time_point now)
{
    const placement_tuning& tuning = pool.tuning;
    const double slots = state.entry.slots;
    const double load = total_load(state);
    candidate evaluated;
    evaluated.warm = is_warm(pool, state, request, rank, now);
    evaluated.service = scaled(evaluated.warm ? profile.warm : profile.miss, state.slowness);
    const double queued = std::max(0.0, load + 1 - slots) / slots;
    evaluated.wait = scaled(profile.warm, queued * state.slowness);
    // For small requests the ranking already prefers the region assigned to the object.
    const bool is_large = request.body_bytes >= tuning.large_body_bytes;
    const duration network = is_large ? network_cost(pool, state, request.body_bytes) : duration{};
    const duration spread_penalty = request.has_affinity ? tuning.rank_step * static_cast<std::int64_t>(rank)
                                                         : scaled(profile.warm, load / slots);
    const bool has_spare_slots = load + 1 <= std::max(1.0, slots * tuning.spare_fraction);
    const bool in_time = queued == 0 || evaluated.service + evaluated.wait < request.time_left;
    // A miss takes the time of several hits, so it may only use slots that are idle anyway.
    evaluated.has_capacity = cold_limit_allows(state, now) && queued <= tuning.max_queue_fraction &&
                             in_time && (evaluated.warm || (allows_misses && has_spare_slots));
    const double excess = std::max(0.0, load + 1 - slots * (1 + tuning.max_queue_fraction));
    const duration slot_interval = scaled(profile.warm, state.slowness / slots);
    evaluated.room = {scaled(slot_interval, excess), slot_interval};
    evaluated.cost = scaled(evaluated.service, evaluated.warm ? 1 : tuning.miss_weight) + evaluated.wait +
                     spread_penalty + network;
    return evaluated;
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

void on_success(target_pool& pool, target_state& state, const placement& chosen, duration taken,
                time_point now, const std::optional<target_load>& load)
{
    state.consecutive_failures = 0;
    state.failure_share -= state.failure_share * failure_weight;
    state.suspension = duration{};
    service_profile& profile = pool.profiles[state.entry.service];
    duration& expected = chosen.expected_warm ? profile.warm : profile.miss;
    const duration served = estimate_served(state, chosen, taken, load);
    const double ratio = static_cast<double>(served.count()) / static_cast<double>(expected.count());
    state.slowness += (std::clamp(ratio, min_slowness, max_slowness) - state.slowness) * slowness_weight;
    expected += scaled(served - expected, profile_weight);
    const double elapsed = std::chrono::duration<double>(now - profile.last_completion).count();
    const double decay = std::exp(-elapsed / rate_period_s);
    profile.completions_per_s = profile.completions_per_s * decay + 1 / rate_period_s;
    profile.last_completion = now;
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

namespace {

// If no usable target is open, the request waits for the one that will be first.
void wait_for_open_target(const target_pool& pool, std::span<target_state* const> members,
                          const placement_request& request, time_point now, placement& best)
{
    for (const target_state* state : members) {
        if (!is_eligible(pool, *state, request) || is_open(*state, now)) {
            continue;
        }
        const room_estimate room = room_when_open(*state, now);
        if (best.withheld == withheld_cause::none || room.first < best.preferred_room.first) {
            best.outcome = placement_outcome::full;
            best.withheld = is_quiet(*state, now) ? withheld_cause::quiet : withheld_cause::limited;
            best.preferred = state;
            best.preferred_room = room;
        }
    }
}

} // namespace

placement choose_target(target_pool& pool, const placement_request& request, time_point now)
{
    placement best;
    const auto found = pool.by_service.find(std::string(request.service));
    if (found == pool.by_service.end()) {
        return best;
    }
    const service_profile& profile = pool.profiles[std::string(request.service)];
    duration min_cost = duration::max();
    const target_state* preferred = nullptr;
    room_estimate preferred_room;
    const bool allows_misses =
        !request.has_affinity || slot_utilization(pool, request.service) <= pool.tuning.max_miss_utilization;
    std::size_t rank = 0;
    for (const ranked_target& entry : rank_targets(pool, found->second, request, now)) {
        target_state& state = *entry.state;
        const candidate evaluated =
            evaluate_candidate(pool, state, request, profile, rank, allows_misses, now);
        if (rank == 0) {
            preferred = &state;
            preferred_room = evaluated.room;
        }
        ++rank;
        if (!evaluated.has_capacity) {
            best.outcome = best.outcome == placement_outcome::chosen ? best.outcome : placement_outcome::full;
        } else if (evaluated.cost < min_cost) {
            min_cost = evaluated.cost;
            best.outcome = placement_outcome::chosen;
            best.chosen = &state;
            best.expected_warm = evaluated.warm;
            best.expected_service = evaluated.service;
            best.expected_wait = evaluated.wait;
        }
    }
    best.preferred = preferred;
    best.preferred_room = preferred_room;
    if (best.outcome == placement_outcome::no_target) {
        wait_for_open_target(pool, found->second, request, now, best);
    }
    return best;
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
