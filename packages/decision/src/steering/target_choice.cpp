// The choice of a target: ranking by object and region, expected times, and cost.
#include <algorithm>

#include "target_state_rules.hpp"

namespace camphorknot::steering {
namespace {

// Stands for the time to the next request if this instance has no part of a limit.
constexpr duration max_room_delay = std::chrono::seconds(60);

bool is_allowed(std::span<const std::string> regions, const std::string& region)
{
    return regions.empty() || std::ranges::find(regions, region) != regions.end();
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

// Expected times and cost of a request at one target.
struct candidate {
    bool has_capacity = false;
    room_estimate room{}; ///< Until the target has capacity again.
    bool warm = false;    ///< The object is expected to be cached there.
    duration service{};
    duration wait{}; ///< In the target's queue.
    duration cost{};
    bool delayed_by_moment = false; ///< In time but for the slowdown of the target's machine at this moment.
};

// Times that apply to a request at all targets of its service.
struct request_work {
    work_estimate own{};       ///< Of the request.
    duration queued_request{}; ///< Of a request in a target's queue, whatever its route.
    /// Weight of the request's own time in the check whether an answer would be in time.
    double weight_in_time = 1;
};

request_work find_work(target_pool& pool, const placement_request& request, time_point now)
{
    request_work work;
    work.own = expected_work(pool, request.service, request.route);
    work.queued_request = pool.profiles[std::string(request.service)].warm;
    if (const auto* profile = find_route_profile(pool.by_route, request.service, request.route)) {
        work.weight_in_time = confirmed_weight(*profile, now);
    }
    return work;
}

// Service time and wait at one target, as expected now and at its usual speed.
struct expected_times {
    duration service{};
    duration wait{}; ///< In the target's queue.
    duration usual_service{};
    duration usual_wait{};
    duration moment_cost{}; ///< Surcharge while the target is slower than usual.
};

expected_times expect_times(const target_state& state, const placement_request& request,
                            const request_work& work, bool warm, double queued, time_point now)
{
    const duration service = scaled(warm ? work.own.warm : work.own.miss, state.slowness);
    const duration wait = scaled(work.queued_request, queued * state.slowness);
    const double slowdown = expected_slowdown(state.speed, service, now + wait);
    const duration miss_surplus = std::max(duration{}, work.own.miss - work.own.warm);
    expected_times times;
    times.service = scaled(service, slowdown);
    times.wait = scaled(wait, expected_slowdown(state.speed, wait, now));
    times.usual_service = scaled(service, state.speed.usual);
    times.usual_wait = scaled(wait, state.speed.usual);
    times.moment_cost = slow_moment_cost(state.speed, slowdown, service + wait,
                                         request.has_affinity ? miss_surplus : duration::max());
    return times;
}

candidate evaluate_candidate(const target_pool& pool, const target_state& state,
                             const placement_request& request, const request_work& work, std::size_t rank,
                             bool allows_misses, time_point now)
{
    const placement_tuning& tuning = pool.tuning;
    const double slots = state.entry.slots;
    const double load = total_load(state);
    candidate evaluated;
    evaluated.warm = is_warm(pool, state, request, rank, now);
    const double queued = std::max(0.0, load + 1 - slots) / slots;
    const expected_times times = expect_times(state, request, work, evaluated.warm, queued, now);
    evaluated.service = times.service;
    evaluated.wait = times.wait;
    // For small requests the ranking already prefers the region assigned to the object.
    const bool is_large = request.body_bytes >= tuning.large_body_bytes;
    const duration network = is_large ? network_cost(pool, state, request.body_bytes) : duration{};
    const duration spread_penalty = request.has_affinity ? tuning.rank_step * static_cast<std::int64_t>(rank)
                                                         : scaled(work.queued_request, load / slots);
    const bool has_spare_slots = load + 1 <= std::max(1.0, slots * tuning.spare_fraction);
    const auto is_in_time = [&](duration service, duration wait) {
        return queued == 0 || scaled(service, work.weight_in_time) + wait < request.time_left;
    };
    const bool in_time = is_in_time(evaluated.service, evaluated.wait);
    evaluated.delayed_by_moment = !in_time && is_in_time(times.usual_service, times.usual_wait);
    // A miss takes the time of several hits, so it may only use slots that are idle anyway.
    const bool leaves_reserve = request.reserved_slots <= 0 || load + 1 <= slots - request.reserved_slots;
    evaluated.has_capacity = cold_limit_allows(state, now) && queued <= tuning.max_queue_fraction &&
                             in_time && leaves_reserve &&
                             (evaluated.warm || (allows_misses && has_spare_slots));
    const double excess = std::max(0.0, load + 1 - slots * (1 + tuning.max_queue_fraction));
    const duration slot_interval = scaled(work.queued_request, state.slowness / slots);
    evaluated.room = {scaled(slot_interval, excess), slot_interval};
    evaluated.cost = scaled(times.usual_service, evaluated.warm ? 1 : tuning.miss_weight) + times.usual_wait +
                     times.moment_cost + spread_penalty + network;
    return evaluated;
}

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
    const request_work work = find_work(pool, request, now);
    best.route = request.route;
    duration min_cost = duration::max();
    const target_state* preferred = nullptr;
    room_estimate preferred_room;
    bool allows_misses =
        !request.has_affinity || slot_utilization(pool, request.service) <= pool.tuning.max_miss_utilization;
    std::size_t rank = 0;
    for (const ranked_target& entry : rank_targets(pool, found->second, request, now)) {
        target_state& state = *entry.state;
        const candidate evaluated = evaluate_candidate(pool, state, request, work, rank, allows_misses, now);
        if (rank == 0) {
            preferred = &state;
            preferred_room = evaluated.room;
        }
        ++rank;
        // The moment passes sooner than a miss would be answered.
        allows_misses = allows_misses && !evaluated.delayed_by_moment;
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

} // namespace camphorknot::steering
