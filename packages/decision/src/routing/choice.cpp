#include <algorithm>
#include <array>
#include <utility>

#include "camphorknot/routing.hpp"
#include "camphorknot/routing/answers.hpp"
#include "camphorknot/routing/pools.hpp"

namespace camphorknot {

using namespace internal;

namespace {

constexpr std::uint32_t sample_tries = 6;
constexpr double smallest_ramp = 0.1;
constexpr double failure_weight = 8;
/// A target in another failure domain of the region must be this much cheaper to be preferred.
constexpr double other_domain_factor = 1.1;
/// Costs this close count as equal. The reported load decides, or else the order in which they were drawn,
/// as the small differences would send all requests to the same idle target.
constexpr double tie_fraction = 0.05;
constexpr duration estimate_half_life = std::chrono::seconds(5);
constexpr duration failure_half_life = std::chrono::seconds(1);
constexpr double unknown_latency_ms = 50;
constexpr double base_share_of_capacity = 0.05;
constexpr double percent = 100;
constexpr duration region_wait = std::chrono::milliseconds(100);
constexpr duration waiting_work_wait = std::chrono::milliseconds(500);
constexpr std::size_t most_regions = 64;

struct choosing {
    router& state;
    service_state& service;
    const routing_request& request;
    const region_permit& permit;
    time_point now;
    bool limited = false; ///< A region with a free target was not allowed to take the request.
    duration wait{};      ///< Longest wait until it may be.
};

double ramp_share(const router& state, const target_state& target, time_point now)
{
    const duration term = state.settings.cold_start;
    if (!state.settings.enabled.ramps || term <= duration::zero() || now - target.started >= term) {
        return 1;
    }
    const auto age = static_cast<double>((now - target.started).count());
    return std::max(smallest_ramp, age / static_cast<double>(term.count()));
}

double cost_of(const choosing& at, const target_state& target, double pool_latency_ms)
{
    const double latency = value_of(target.latency_ms, pool_latency_ms, at.now, estimate_half_life);
    // While requests are in flight and none completes, the time since the last completion is a lower bound
    // of the latency; it shows a frozen target long before a timeout does.
    const double waiting =
        target.in_flight == 0
            ? 0
            : std::chrono::duration<double, std::milli>(at.now - target.waiting_since).count();
    const double failure_rate = value_of(target.failure_rate, 0, at.now, failure_half_life);
    const double domain = target.failure_domain == at.state.settings.failure_domain ? 1 : other_domain_factor;
    // A window above the slots shows how much load the target had, not that it is faster.
    const double window =
        at.state.settings.enabled.windows ? std::min(window_of(target), target.slots) : target.slots;
    return (target.in_flight + 1) / window * std::max(latency, waiting) *
           (1 + failure_weight * failure_rate) * domain;
}

bool is_tried(const routing_request& request, target_id target)
{
    return std::find(request.tried.begin(), request.tried.end(), target) != request.tried.end();
}

// Samples an open target, leaving out those already tried; targets in cold start are taken with the
// probability of their ramp. The last tries take any, so a pool of cold targets still serves.
std::uint32_t sample(choosing& at, const target_pool& pool, std::uint32_t other)
{
    std::uint32_t fallback = no_index;
    for (std::uint32_t attempt = 0; attempt < sample_tries; ++attempt) {
        const std::uint32_t index = pool.members[uniform(at.state.random, pool.open_count)];
        const target_state& target = at.state.targets[index];
        if (index == other || is_tried(at.request, target.id)) {
            continue;
        }
        const double share = ramp_share(at.state, target, at.now);
        if (share >= 1 || uniform_real(at.state.random) < share) {
            return index;
        }
        fallback = index;
    }
    return fallback;
}

// Finds any open target that was not tried; visits at most as many targets as were tried, and one more.
std::uint32_t first_untried(const choosing& at, const target_pool& pool)
{
    const std::size_t visits = std::min<std::size_t>(pool.open_count, at.request.tried.size() + 1);
    for (std::size_t position = 0; position < visits; ++position) {
        const std::uint32_t index = pool.members[position];
        if (!is_tried(at.request, at.state.targets[index].id)) {
            return index;
        }
    }
    return no_index;
}

bool is_fresh(const choosing& at, const target_state& target)
{
    return target.load_measured != time_point{} &&
           at.now - target.load_measured <= at.state.settings.report_lifetime;
}

std::uint32_t cheaper(const choosing& at, const target_pool& pool, std::uint32_t a, std::uint32_t b)
{
    const target_state& first = at.state.targets[a];
    const target_state& second = at.state.targets[b];
    const double latency = value_of(pool.latency_ms, unknown_latency_ms, at.now, estimate_half_life);
    const double first_cost = cost_of(at, first, latency);
    const double second_cost = cost_of(at, second, latency);
    const bool tie = std::abs(first_cost - second_cost) <= tie_fraction * std::min(first_cost, second_cost);
    if (tie) {
        const bool reported = is_fresh(at, first) && is_fresh(at, second);
        return reported && second.reported_load < first.reported_load ? b : a;
    }
    return first_cost <= second_cost ? a : b;
}

std::uint32_t pick_target(choosing& at, target_pool& pool)
{
    resume_targets(at.state, pool, at.now);
    if (pool.open_count == 0) {
        return no_index;
    }
    const std::uint32_t first = sample(at, pool, no_index);
    if (first == no_index) {
        return first_untried(at, pool);
    }
    std::uint32_t best = first;
    const std::uint32_t rivals = std::min(at.state.settings.choices, pool.open_count);
    for (std::uint32_t drawn = 1; drawn < rivals; ++drawn) {
        const std::uint32_t rival = sample(at, pool, best);
        best = rival == no_index ? best : cheaper(at, pool, best, rival);
    }
    return best;
}

ramp_limits limits_of(const choosing& at, const service_region& region, const target_pool& pool)
{
    constexpr double shortest_ms = 1;
    constexpr double ms_per_second = 1000;
    const double latency =
        std::max(shortest_ms, value_of(pool.latency_ms, unknown_latency_ms, at.now, estimate_half_life));
    const double capacity = region.slots * ms_per_second / latency;
    const double own_part = capacity / at.state.settings.fleet_size;
    return {.growth_per_second = own_part * at.service.shift_cap_percent / percent,
            .base_rate = own_part * base_share_of_capacity};
}

bool may_enter(choosing& at, service_region& region, const target_pool& pool, bool enforced)
{
    advance(region.ramp, limits_of(at, region, pool), enforced, at.now);
    if (enforced && !has_token(region.ramp)) {
        at.limited = true;
        at.wait = std::max(at.wait, time_to_token(region.ramp));
        return false;
    }
    if (at.permit && !at.permit(at.service.id, region.id)) {
        at.limited = true;
        at.wait = std::max(at.wait, region_wait);
        return false;
    }
    return true;
}

target_choice take_place(choosing& at, std::uint32_t index)
{
    change_target(at.state, index, [&](target_state& target) {
        if (target.in_flight == 0) {
            target.waiting_since = at.now;
        }
        ++target.in_flight;
    });
    const target_state& target = at.state.targets[index];
    const version_state* version = find_version(at.service, target.version);
    check_invariant(!target.leaving && target.listed, promise::p9_leaving_target, "target_gets_new_work");
    check_invariant(version == nullptr || !version->stopped, promise::p5_bad_version, "version_not_stopped");
    return {target.id, target.region, target.version};
}

std::optional<target_choice> choose_in_pool(choosing& at, target_pool& pool)
{
    const std::uint32_t index = pick_target(at, pool);
    if (index == no_index) {
        return std::nullopt;
    }
    service_region& region = at.service.regions[pool.region_index];
    const bool local = region.id == at.state.settings.region;
    const bool enforced = at.state.settings.enabled.ramps && (!local || at.now < at.state.local_ramp_until);
    if (!may_enter(at, region, pool, enforced)) {
        return std::nullopt;
    }
    take_token(region.ramp, enforced);
    return take_place(at, index);
}

// Work that can wait uses only headroom above the reserve until half of its time has passed.
bool leaves_reserve(const choosing& at, const target_pool& pool)
{
    if (!at.request.can_wait || at.now >= at.request.deadline - at.request.timeout / 2) {
        return true;
    }
    const auto windows = static_cast<double>(pool.window_sum);
    const auto used = static_cast<double>(pool.in_flight_sum);
    return windows - used > windows * at.service.reserve_percent / percent;
}

// Larger is better: free windows, less what the distance costs.
double remote_score(const choosing& at, const target_pool& pool)
{
    const auto windows = static_cast<double>(std::max<std::uint64_t>(1, pool.window_sum));
    const double free = (windows - static_cast<double>(pool.in_flight_sum)) / windows;
    return free / value_of(pool.latency_ms, unknown_latency_ms, at.now, estimate_half_life);
}

struct scored_pool {
    double score = 0;
    std::uint32_t index = 0;
};

// Tries the version's pools: the own region first, then the others from the best score down.
std::optional<target_choice> choose_in_version(choosing& at, version_id version)
{
    std::array<scored_pool, most_regions> remote{};
    std::size_t count = 0;
    for (std::uint32_t index = 0; index < at.service.pools.size(); ++index) {
        target_pool& pool = at.service.pools[index];
        if (pool.version != version || pool.members.empty()) {
            continue;
        }
        if (!leaves_reserve(at, pool)) {
            at.limited = true;
            at.wait = std::max(at.wait, waiting_work_wait);
            continue;
        }
        if (pool.region != at.state.settings.region) {
            if (count < remote.size()) {
                remote[count++] = {remote_score(at, pool), index};
            }
            continue;
        }
        if (const auto choice = choose_in_pool(at, pool)) {
            return choice;
        }
    }
    std::sort(remote.begin(), remote.begin() + static_cast<std::ptrdiff_t>(count),
              [](const scored_pool& a, const scored_pool& b) { return a.score > b.score; });
    for (std::size_t place = 0; place < count; ++place) {
        if (const auto choice = choose_in_pool(at, at.service.pools[remote[place].index])) {
            return choice;
        }
    }
    return std::nullopt;
}

bool is_usable(const service_state& service, version_id id)
{
    const version_state* version = find_version(service, id);
    return version != nullptr && version->has_targets && !version->stopped;
}

// Whether a caller that has seen the version `seen` may be served by `id`.
bool is_at_least(const service_state& service, version_id id, version_id seen)
{
    if (id == seen) {
        return true;
    }
    const version_state* version = find_version(service, id);
    const version_state* least = find_version(service, seen);
    return version != nullptr && least != nullptr && version->rank > least->rank;
}

struct version_order {
    std::array<version_id, 3> ids{};
    std::size_t count = 0;
};

void add_version(version_order& order, version_id id)
{
    const auto end = order.ids.begin() + static_cast<std::ptrdiff_t>(order.count);
    if (order.count < order.ids.size() && std::find(order.ids.begin(), end, id) == end) {
        order.ids[order.count++] = id;
    }
}

// Versions to try: the one that the rollout chose, the active one, and the one that the caller has seen. A
// version that is neither active nor chosen by the rollout gets no other traffic. A seen version that was
// stopped or removed binds no longer, as nothing could serve its callers then.
version_order versions_to_try(const choosing& at)
{
    version_order order;
    std::optional<version_id> seen = at.request.min_version;
    if (seen && !is_usable(at.service, *seen)) {
        seen.reset();
    }
    const auto consider = [&](version_id id) {
        if (is_usable(at.service, id) && (!seen || is_at_least(at.service, id, *seen))) {
            add_version(order, id);
        }
    };
    if (at.request.version) {
        consider(*at.request.version);
    }
    consider(at.service.active);
    if (seen) {
        consider(*seen);
    }
    if (order.count > 0 || seen) {
        return order;
    }
    for (const version_state& version : at.service.versions) {
        consider(version.id);
    }
    return order;
}

routing_answer refuse(choosing& at)
{
    constexpr double ns_per_ms = 1e6;
    const double latency = value_of(at.service.latency_ms, unknown_latency_ms, at.now, estimate_half_life);
    const refusal_reason reason = at.limited ? refusal_reason::region_full : refusal_reason::no_target;
    const duration wait = at.limited ? at.wait : duration(static_cast<duration::rep>(latency * ns_per_ms));
    return {std::nullopt, make_refusal(at.state, reason, outcome_before(at.request), wait)};
}

} // namespace

routing_answer choose_target(router& state, const routing_request& request, const region_permit& permit,
                             time_point now)
{
    state.now = std::max(state.now, now);
    service_state* service = find_service(state, request.service);
    const outcome before = outcome_before(request);
    if (service == nullptr) {
        return {std::nullopt, make_refusal(state, refusal_reason::no_target, before, region_wait)};
    }
    if (request.deadline != time_point{} && now >= request.deadline) {
        return {std::nullopt, make_refusal(state, refusal_reason::deadline_exceeded, before, region_wait)};
    }
    choosing at{.state = state, .service = *service, .request = request, .permit = permit, .now = now};
    const version_order order = versions_to_try(at);
    for (std::size_t place = 0; place < order.count; ++place) {
        if (const auto choice = choose_in_version(at, order.ids[place])) {
            if (request.tried.empty()) {
                add_retry_tokens(state);
            }
            return {choice, {}};
        }
    }
    return refuse(at);
}

} // namespace camphorknot
