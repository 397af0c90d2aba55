#include <algorithm>
#include <array>
#include <utility>

#include "camphorknot/routing.hpp"
#include "camphorknot/routing/answers.hpp"
#include "camphorknot/routing/pools.hpp"

namespace camphorknot {

using namespace internal;

namespace {

constexpr std::uint32_t max_sample_attempts = 6;
constexpr double min_ramp_share = 0.1;
constexpr double failure_weight = 8;
/// Factor on the cost of a target in another failure domain of the region.
constexpr double other_domain_cost_factor = 1.1;
/// Costs that differ by less than this fraction count as equal; then the reported load decides, or else the
/// order of sampling. Otherwise small differences would send all requests to the same idle target.
constexpr double cost_tie_fraction = 0.05;
constexpr duration estimate_half_life = std::chrono::seconds(5);
constexpr duration failure_half_life = std::chrono::seconds(1);
constexpr double default_latency_ms = 50;
constexpr double base_rate_fraction = 0.05;
constexpr double percent = 100;
constexpr duration region_retry_after = std::chrono::milliseconds(100);
constexpr duration deferrable_retry_after = std::chrono::milliseconds(500);
constexpr std::size_t max_regions = 64;

struct choice_context {
    router& state;
    service_state& service;
    const routing_request& request;
    const region_permit& permit;
    time_point now;
    bool region_limited = false; ///< A region has a free target but must not take the request yet.
    duration wait{};             ///< Longest wait until such a region may take it.
};

double ramp_share(const router& state, const target_state& target, time_point now)
{
    const duration cold_start_length = state.settings.cold_start;
    if (!state.settings.enabled.ramps || cold_start_length <= duration::zero() ||
        now - target.started >= cold_start_length) {
        return 1;
    }
    const auto age = static_cast<double>((now - target.started).count());
    return std::max(min_ramp_share, age / static_cast<double>(cold_start_length.count()));
}

double compute_cost(const choice_context& context, const target_state& target, double pool_latency_ms)
{
    const double latency = value_of(target.latency_ms, pool_latency_ms, context.now, estimate_half_life);
    // While requests are in flight and none completes, the time since the last completion is a lower bound
    // of the latency. It reveals a frozen target long before a request times out.
    const double waiting =
        target.in_flight == 0
            ? 0
            : std::chrono::duration<double, std::milli>(context.now - target.waiting_since).count();
    const double failure_rate = value_of(target.failure_rate, 0, context.now, failure_half_life);
    const double domain_factor =
        target.failure_domain == context.state.settings.failure_domain ? 1 : other_domain_cost_factor;
    // A window larger than the number of slots reflects the load that the target had, not its speed.
    const double window =
        context.state.settings.enabled.windows ? std::min(window_of(target), target.slots) : target.slots;
    return (target.in_flight + 1) / window * std::max(latency, waiting) *
           (1 + failure_weight * failure_rate) * domain_factor;
}

bool is_tried(const routing_request& request, target_id target)
{
    return std::find(request.tried.begin(), request.tried.end(), target) != request.tried.end();
}

// Samples an open target that was not tried yet. A target in cold start is accepted with the probability
// given by its ramp. If no sample is accepted, the last one rejected by its ramp is used, so that a pool of
// cold targets still serves.
std::uint32_t sample_target(choice_context& context, const target_pool& pool, std::uint32_t excluded)
{
    std::uint32_t fallback = no_index;
    for (std::uint32_t attempt = 0; attempt < max_sample_attempts; ++attempt) {
        const std::uint32_t index = pool.members[uniform(context.state.random, pool.open_count)];
        const target_state& target = context.state.targets[index];
        if (index == excluded || is_tried(context.request, target.id)) {
            continue;
        }
        const double share = ramp_share(context.state, target, context.now);
        if (share >= 1 || uniform_real(context.state.random) < share) {
            return index;
        }
        fallback = index;
    }
    return fallback;
}

// Finds any open target that was not tried. Visits at most one target more than were tried.
std::uint32_t find_untried_target(const choice_context& context, const target_pool& pool)
{
    const std::size_t visits = std::min<std::size_t>(pool.open_count, context.request.tried.size() + 1);
    for (std::size_t position = 0; position < visits; ++position) {
        const std::uint32_t index = pool.members[position];
        if (!is_tried(context.request, context.state.targets[index].id)) {
            return index;
        }
    }
    return no_index;
}

bool has_fresh_load_report(const choice_context& context, const target_state& target)
{
    return target.load_measured != time_point{} &&
           context.now - target.load_measured <= context.state.settings.report_lifetime;
}

std::uint32_t cheaper_target(const choice_context& context, const target_pool& pool, std::uint32_t a,
                             std::uint32_t b)
{
    const target_state& first = context.state.targets[a];
    const target_state& second = context.state.targets[b];
    const double latency = value_of(pool.latency_ms, default_latency_ms, context.now, estimate_half_life);
    const double first_cost = compute_cost(context, first, latency);
    const double second_cost = compute_cost(context, second, latency);
    const bool is_tie =
        std::abs(first_cost - second_cost) <= cost_tie_fraction * std::min(first_cost, second_cost);
    if (is_tie) {
        const bool has_reports =
            has_fresh_load_report(context, first) && has_fresh_load_report(context, second);
        return has_reports && second.reported_load < first.reported_load ? b : a;
    }
    return first_cost <= second_cost ? a : b;
}

std::uint32_t pick_target(choice_context& context, target_pool& pool)
{
    resume_targets(context.state, pool, context.now);
    if (pool.open_count == 0) {
        return no_index;
    }
    const std::uint32_t first = sample_target(context, pool, no_index);
    if (first == no_index) {
        return find_untried_target(context, pool);
    }
    std::uint32_t best = first;
    const std::uint32_t sample_count = std::min(context.state.settings.choices, pool.open_count);
    for (std::uint32_t drawn = 1; drawn < sample_count; ++drawn) {
        const std::uint32_t candidate = sample_target(context, pool, best);
        best = candidate == no_index ? best : cheaper_target(context, pool, best, candidate);
    }
    return best;
}

ramp_limits compute_ramp_limits(const choice_context& context, const service_region& region,
                                const target_pool& pool)
{
    constexpr double min_latency_ms = 1;
    constexpr double ms_per_second = 1000;
    const double latency = std::max(
        min_latency_ms, value_of(pool.latency_ms, default_latency_ms, context.now, estimate_half_life));
    const double capacity = region.slots * ms_per_second / latency;
    const double capacity_per_instance = capacity / context.state.settings.fleet_size;
    return {.growth_per_second = capacity_per_instance * context.service.shift_cap_percent / percent,
            .base_rate = capacity_per_instance * base_rate_fraction};
}

bool region_admits(choice_context& context, service_region& region, const target_pool& pool, bool enforced)
{
    advance(region.ramp, compute_ramp_limits(context, region, pool), enforced, context.now);
    if (enforced && !has_token(region.ramp)) {
        context.region_limited = true;
        context.wait = std::max(context.wait, time_to_token(region.ramp));
        return false;
    }
    if (context.permit && !context.permit(context.service.id, region.id)) {
        context.region_limited = true;
        context.wait = std::max(context.wait, region_retry_after);
        return false;
    }
    return true;
}

target_choice begin_attempt(choice_context& context, std::uint32_t index)
{
    change_target(context.state, index, [&](target_state& target) {
        if (target.in_flight == 0) {
            target.waiting_since = context.now;
        }
        ++target.in_flight;
    });
    const target_state& target = context.state.targets[index];
    const version_state* version = find_version(context.service, target.version);
    check_invariant(!target.leaving && target.listed, promise::p9_leaving_target, "target_gets_new_work");
    check_invariant(version == nullptr || !version->stopped, promise::p5_bad_version, "version_not_stopped");
    return {target.id, target.region, target.version};
}

std::optional<target_choice> choose_in_pool(choice_context& context, target_pool& pool)
{
    const std::uint32_t index = pick_target(context, pool);
    if (index == no_index) {
        return std::nullopt;
    }
    service_region& region = context.service.regions[pool.region_index];
    const bool local = region.id == context.state.settings.region;
    const bool enforced =
        context.state.settings.enabled.ramps && (!local || context.now < context.state.local_ramp_until);
    if (!region_admits(context, region, pool, enforced)) {
        return std::nullopt;
    }
    take_token(region.ramp, enforced);
    return begin_attempt(context, index);
}

// Until half of its time has passed, work that can wait uses only the headroom above the reserve.
bool leaves_reserve(const choice_context& context, const target_pool& pool)
{
    if (!context.request.can_wait || context.now >= context.request.deadline - context.request.timeout / 2) {
        return true;
    }
    const auto windows = static_cast<double>(pool.window_sum);
    const auto used = static_cast<double>(pool.in_flight_sum);
    return windows - used > windows * context.service.reserve_percent / percent;
}

// Free fraction of the windows, divided by the latency. Larger is better.
double remote_score(const choice_context& context, const target_pool& pool)
{
    const auto windows = static_cast<double>(std::max<std::uint64_t>(1, pool.window_sum));
    const double free = (windows - static_cast<double>(pool.in_flight_sum)) / windows;
    return free / value_of(pool.latency_ms, default_latency_ms, context.now, estimate_half_life);
}

struct scored_pool {
    double score = 0;
    std::uint32_t index = 0;
};

// Tries the pools of the version: the own region first, then the other regions in descending order of score.
std::optional<target_choice> choose_in_version(choice_context& context, version_id version)
{
    std::array<scored_pool, max_regions> remote{};
    std::size_t count = 0;
    for (std::uint32_t index = 0; index < context.service.pools.size(); ++index) {
        target_pool& pool = context.service.pools[index];
        if (pool.version != version || pool.members.empty()) {
            continue;
        }
        if (!leaves_reserve(context, pool)) {
            context.region_limited = true;
            context.wait = std::max(context.wait, deferrable_retry_after);
            continue;
        }
        if (pool.region != context.state.settings.region) {
            if (count < remote.size()) {
                remote[count++] = {remote_score(context, pool), index};
            }
            continue;
        }
        if (const auto choice = choose_in_pool(context, pool)) {
            return choice;
        }
    }
    std::sort(remote.begin(), remote.begin() + static_cast<std::ptrdiff_t>(count),
              [](const scored_pool& a, const scored_pool& b) { return a.score > b.score; });
    for (std::size_t position = 0; position < count; ++position) {
        if (const auto choice = choose_in_pool(context, context.service.pools[remote[position].index])) {
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

// Whether a caller that has seen the version `seen` may be served by the version `id`.
bool is_same_or_newer(const service_state& service, version_id id, version_id seen)
{
    if (id == seen) {
        return true;
    }
    const version_state* version = find_version(service, id);
    const version_state* required = find_version(service, seen);
    return version != nullptr && required != nullptr && version->rank > required->rank;
}

struct version_candidates {
    std::array<version_id, 3> ids{};
    std::size_t count = 0;
};

void add_version(version_candidates& order, version_id id)
{
    const auto end = order.ids.begin() + static_cast<std::ptrdiff_t>(order.count);
    if (order.count < order.ids.size() && std::find(order.ids.begin(), end, id) == end) {
        order.ids[order.count++] = id;
    }
}

// Versions to try: the one that the rollout chose, the active one, and the one that the caller has seen. Any
// other version gets no traffic, unless none of these is usable and the caller has seen none. A seen version
// that was stopped or removed is ignored, since otherwise nothing could serve the caller.
version_candidates versions_to_try(const choice_context& context)
{
    version_candidates order;
    std::optional<version_id> seen = context.request.min_version;
    if (seen && !is_usable(context.service, *seen)) {
        seen.reset();
    }
    const auto add_if_allowed = [&](version_id id) {
        if (is_usable(context.service, id) && (!seen || is_same_or_newer(context.service, id, *seen))) {
            add_version(order, id);
        }
    };
    if (context.request.version) {
        add_if_allowed(*context.request.version);
    }
    add_if_allowed(context.service.active);
    if (seen) {
        add_if_allowed(*seen);
    }
    if (order.count > 0 || seen) {
        return order;
    }
    for (const version_state& version : context.service.versions) {
        add_if_allowed(version.id);
    }
    return order;
}

routing_answer refuse(choice_context& context)
{
    constexpr double ns_per_ms = 1e6;
    const double latency =
        value_of(context.service.latency_ms, default_latency_ms, context.now, estimate_half_life);
    const refusal_reason reason =
        context.region_limited ? refusal_reason::region_full : refusal_reason::no_target;
    const duration wait =
        context.region_limited ? context.wait : duration(static_cast<duration::rep>(latency * ns_per_ms));
    return {std::nullopt, make_refusal(context.state, reason, outcome_before(context.request), wait)};
}

} // namespace

routing_answer choose_target(router& state, const routing_request& request, const region_permit& permit,
                             time_point now)
{
    state.now = std::max(state.now, now);
    service_state* service = find_service(state, request.service);
    const outcome before = outcome_before(request);
    if (service == nullptr) {
        return {std::nullopt, make_refusal(state, refusal_reason::no_target, before, region_retry_after)};
    }
    if (request.deadline != time_point{} && now >= request.deadline) {
        return {std::nullopt,
                make_refusal(state, refusal_reason::deadline_exceeded, before, region_retry_after)};
    }
    choice_context context{
        .state = state, .service = *service, .request = request, .permit = permit, .now = now};
    const version_candidates order = versions_to_try(context);
    for (std::size_t position = 0; position < order.count; ++position) {
        if (const auto choice = choose_in_version(context, order.ids[position])) {
            if (request.tried.empty()) {
                add_retry_tokens(state);
            }
            return {choice, {}};
        }
    }
    return refuse(context);
}

} // namespace camphorknot
