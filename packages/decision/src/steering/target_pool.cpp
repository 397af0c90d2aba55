#include "camphorknot/steering/target_pool.hpp"

#include <algorithm>
#include <cmath>

namespace camphorknot::steering {
namespace {

// Weight of a new sample in the smoothed service times and failure shares.
constexpr double profile_weight = 0.05;
constexpr double slowness_weight = 0.25;
constexpr double failure_weight = 0.15;
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 20;
// Period over which completions a second are smoothed.
constexpr double rate_period_s = 2;
// Requests of the cold limit that may be sent at once, and the part of its rate that is used: two instances
// may each take themselves for the one that warms a target while the fleet changes.
constexpr double cold_burst = 1;
constexpr double cold_rate_part = 0.75;

bool allows(std::span<const std::string> regions, const std::string& region)
{
    return regions.empty() || std::ranges::find(regions, region) != regions.end();
}

double load_of(const target_state& belief)
{
    return belief.own_in_flight + belief.peer_in_flight;
}

bool is_cold(const target_state& belief, time_point now)
{
    return now < belief.cold_until;
}

double refilled_tokens(const cold_allowance& allowance, time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - allowance.refilled).count();
    return std::min(cold_burst, allowance.tokens + elapsed * allowance.rate);
}

bool cold_limit_allows(const target_state& belief, time_point now)
{
    if (!is_cold(belief, now) || belief.allowance.rate <= 0) {
        return true;
    }
    return belief.is_warmup_owner && refilled_tokens(belief.allowance, now) >= 1;
}

bool is_suspended(const target_state& belief, const placement_request& request, time_point now)
{
    if (belief.suspension == duration{}) {
        return false;
    }
    return now < belief.suspended_until || belief.on_trial || request.avoid_suspended_trial;
}

bool may_ever_serve(const target_pool& pool, const target_state& belief, const placement_request& request)
{
    if (belief.entry.draining || pool.evacuated.contains(belief.entry.failure_domain)) {
        return false;
    }
    if (!request.version.empty() && belief.entry.version != request.version) {
        return false;
    }
    return allows(request.route_regions, belief.region) && allows(request.customer_regions, belief.region) &&
           std::ranges::find(request.tried, belief.entry.id) == request.tried.end();
}

duration distance(const target_pool& pool, const target_state& belief, std::size_t body_bytes)
{
    if (belief.entry.failure_domain == pool.own_domain) {
        return duration{};
    }
    const auto bytes = static_cast<std::int64_t>(body_bytes);
    if (belief.region == pool.own_region) {
        return pool.tuning.domain_distance + pool.tuning.domain_byte_cost * bytes;
    }
    return pool.tuning.region_distance + pool.tuning.region_byte_cost * bytes;
}

duration scaled(duration base, double factor)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

struct ranked_target {
    target_state* belief = nullptr;
    std::uint64_t weight = 0;
};

// The region that the object of a request is meant for. It depends on slots and not on load, so that load
// moves requests between regions only at the margin.
const std::string& region_for(const target_pool& pool, const placement_request& request)
{
    const auto shares = pool.region_shares.find(std::string(request.service));
    if (shares == pool.region_shares.end()) {
        return pool.own_region;
    }
    double at = static_cast<double>(mix_hash(request.object, hash_name(pool.own_region)) >> 11U) * 0x1.0p-53;
    for (const region_share& each : shares->second) {
        at -= each.share;
        if (at < 0) {
            return each.region;
        }
    }
    return pool.own_region;
}

// Moves the first targets that satisfy `is_near` to the front, in their order.
void move_to_front(std::vector<ranked_target>& ranked, std::size_t from, std::size_t most, auto is_near)
{
    std::size_t placed = from;
    for (std::size_t index = from; index < ranked.size() && placed < from + most; ++index) {
        if (is_near(*ranked[index].belief)) {
            std::rotate(ranked.begin() + static_cast<std::ptrdiff_t>(placed),
                        ranked.begin() + static_cast<std::ptrdiff_t>(index),
                        ranked.begin() + static_cast<std::ptrdiff_t>(index) + 1);
            ++placed;
        }
    }
}

// The order of the targets for one object is the same on all instances of a region, without a message.
std::vector<ranked_target> rank_targets(const target_pool& pool, const std::vector<target_state*>& all,
                                        const placement_request& request, time_point now)
{
    std::vector<ranked_target> ranked;
    ranked.reserve(all.size());
    for (target_state* belief : all) {
        if (may_ever_serve(pool, *belief, request) && !is_suspended(*belief, request, now)) {
            ranked.push_back({belief, mix_hash(hash_name(belief->entry.id), request.object)});
        }
    }
    std::ranges::sort(ranked, [](const auto& a, const auto& b) { return a.weight > b.weight; });
    if (request.body_bytes >= pool.tuning.large_body_bytes) {
        const auto in_region = [&](const target_state& each) { return each.region == pool.own_region; };
        const auto in_domain = [&](const target_state& each) {
            return each.entry.failure_domain == pool.own_domain;
        };
        move_to_front(ranked, 0, ranked.size(), in_region);
        move_to_front(ranked, 0, pool.tuning.near_ranks, in_domain);
        return ranked;
    }
    const std::string& meant = region_for(pool, request);
    move_to_front(ranked, 0, pool.tuning.near_ranks,
                  [&](const target_state& each) { return each.region == meant; });
    return ranked;
}

bool is_warm(const target_pool& pool, const target_state& belief, const placement_request& request,
             std::size_t rank, time_point now)
{
    if (!request.has_affinity || rank == 0) {
        return true;
    }
    const auto sent = belief.objects.find(request.object);
    return rank < pool.tuning.warm_ranks && sent != belief.objects.end() &&
           now - sent->second < pool.tuning.object_retention;
}

void remember_object(const target_pool& pool, target_state& belief, std::uint64_t object, time_point now)
{
    if (belief.objects.size() >= pool.tuning.max_objects && !belief.objects.contains(object)) {
        const auto oldest = std::ranges::min_element(
            belief.objects, [](const auto& a, const auto& b) { return a.second < b.second; });
        belief.objects.erase(oldest);
    }
    belief.objects[object] = now;
}

struct candidate {
    bool has_room = false;
    bool warm = false;
    duration service{};
    duration wait{}; ///< In the target's queue.
    duration cost{};
};

candidate judge_candidate(const target_pool& pool, const target_state& belief,
                          const placement_request& request, const service_profile& profile, std::size_t rank,
                          time_point now)
{
    const placement_tuning& tuning = pool.tuning;
    const double slots = belief.entry.slots;
    const double load = load_of(belief);
    candidate judged;
    judged.warm = is_warm(pool, belief, request, rank, now);
    judged.service = scaled(judged.warm ? profile.warm : profile.miss, belief.slowness);
    const double queued = std::max(0.0, load + 1 - slots) / slots;
    judged.wait = scaled(profile.warm, queued * belief.slowness);
    // The order says already which region a small request is meant for.
    const bool is_large = request.body_bytes >= tuning.large_body_bytes;
    const duration way = is_large ? distance(pool, belief, request.body_bytes) : duration{};
    const duration spread = request.has_affinity ? tuning.rank_step * static_cast<std::int64_t>(rank)
                                                 : scaled(profile.warm, load / slots);
    const bool is_spare = load + 1 <= std::max(1.0, slots * tuning.spare_fraction);
    const bool in_time = queued == 0 || judged.service + judged.wait < request.time_left;
    judged.has_room = cold_limit_allows(belief, now) && queued <= tuning.max_queue_fraction && in_time &&
                      (rank < tuning.warm_ranks || is_spare);
    judged.cost = scaled(judged.service, judged.warm ? 1 : tuning.miss_weight) + judged.wait + spread + way;
    return judged;
}

duration warmup_of(const route_table& policies, std::string_view service)
{
    const service_policy* policy = find_service_policy(policies, service);
    return policy == nullptr ? duration{} : policy->warmup;
}

void suspend(target_pool& pool, target_state& belief, time_point now)
{
    const placement_tuning& tuning = pool.tuning;
    belief.suspension = belief.suspension == duration{}
                            ? tuning.first_suspension
                            : std::min(belief.suspension * 2, tuning.max_suspension);
    belief.suspended_until = now + belief.suspension;
}

void note_failure(target_pool& pool, target_state& belief, time_point now)
{
    ++belief.failures_in_row;
    belief.failure_share += (1 - belief.failure_share) * failure_weight;
    const bool in_row = belief.failures_in_row >= pool.tuning.failures_to_suspend;
    if (in_row || belief.on_trial || belief.failure_share >= pool.tuning.failure_share_to_suspend) {
        suspend(pool, belief, now);
    }
}

void note_success(target_pool& pool, target_state& belief, const placement& chosen, duration taken,
                  time_point now)
{
    belief.failures_in_row = 0;
    belief.failure_share -= belief.failure_share * failure_weight;
    belief.suspension = duration{};
    service_profile& profile = pool.profiles[belief.entry.service];
    duration& expected = chosen.expected_warm ? profile.warm : profile.miss;
    // Waiting in the target's queue says nothing of its speed.
    const duration served = std::max(taken - chosen.expected_wait, taken / 2);
    const double ratio = static_cast<double>(served.count()) / static_cast<double>(expected.count());
    belief.slowness += (std::clamp(ratio, least_slowness, most_slowness) - belief.slowness) * slowness_weight;
    expected += scaled(served - expected, profile_weight);
    const double elapsed = std::chrono::duration<double>(now - profile.last_completion).count();
    const double kept = std::exp(-elapsed / rate_period_s);
    profile.completions_per_s = profile.completions_per_s * kept + 1 / rate_period_s;
    profile.last_completion = now;
}

} // namespace

void set_targets(target_pool& pool, std::span<const target> entries, const failure_domain_regions& regions,
                 const route_table& policies, time_point now)
{
    std::set<std::string_view> present;
    for (const target& entry : entries) {
        present.insert(entry.id);
        target_state& belief = pool.targets[entry.id];
        const bool restarted = belief.entry.id.empty() || belief.entry.born_ms != entry.born_ms;
        if (restarted) {
            const unsigned in_flight = belief.own_in_flight; // Its requests are still to be counted out.
            belief = target_state{};
            belief.own_in_flight = in_flight;
        }
        if (entry.warmup_left > duration{} && (restarted || entry.warmup_left != belief.entry.warmup_left)) {
            const duration left = std::min(entry.warmup_left, warmup_of(policies, entry.service));
            belief.cold_until = std::max(belief.cold_until, now + left);
        }
        const service_policy* policy = find_service_policy(policies, entry.service);
        belief.allowance.rate = policy == nullptr ? 0 : policy->warmup_rate * cold_rate_part;
        belief.entry = entry;
        const auto region = regions.find(entry.failure_domain);
        belief.region = region == regions.end() ? std::string() : region->second;
    }
    for (auto each = pool.targets.begin(); each != pool.targets.end();) {
        const bool gone = !present.contains(each->first);
        if (gone) {
            each->second.entry.draining = true;
        }
        each = gone && each->second.own_in_flight == 0 ? pool.targets.erase(each) : std::next(each);
    }
    pool.by_service.clear();
    for (auto& [id, belief] : pool.targets) {
        pool.by_service[belief.entry.service].push_back(&belief);
    }
    std::set<std::string> with_callers;
    for (const auto& [domain, region] : regions) {
        with_callers.insert(region);
    }
    pool.region_shares.clear();
    for (const auto& [service, members] : pool.by_service) {
        std::map<std::string, double> slots;
        for (const target_state* belief : members) {
            slots[belief->region] += belief->entry.draining ? 0 : belief->entry.slots;
        }
        pool.region_shares[service] = compute_region_shares(slots, pool.own_region, with_callers.size());
    }
}

std::vector<region_share> compute_region_shares(const std::map<std::string, double>& slots,
                                                const std::string& own, std::size_t regions)
{
    double all = 0;
    for (const auto& [region, count] : slots) {
        all += count;
    }
    const double callers = 1.0 / static_cast<double>(std::max<std::size_t>(1, regions));
    const auto part_of = [&](const std::string& region) {
        const auto found = slots.find(region);
        return found == slots.end() || all == 0 ? 0 : found->second / all;
    };
    const double kept = std::min(1.0, part_of(own) / callers);
    double spare = 0;
    for (const auto& [region, count] : slots) {
        spare += region == own ? 0 : std::max(0.0, part_of(region) - callers);
    }
    std::vector<region_share> shares = {{own, kept}};
    for (const auto& [region, count] : slots) {
        if (region != own && spare > 0) {
            shares.push_back({region, (1 - kept) * std::max(0.0, part_of(region) - callers) / spare});
        }
    }
    return shares;
}

void set_domain_cold(target_pool& pool, std::string_view domain, const route_table& policies, time_point now)
{
    for (auto& [id, belief] : pool.targets) {
        if (belief.entry.failure_domain == domain) {
            belief.cold_until = std::max(belief.cold_until, now + warmup_of(policies, belief.entry.service));
            belief.objects.clear();
        }
    }
}

placement choose_target(target_pool& pool, const placement_request& request, time_point now)
{
    placement best;
    const auto found = pool.by_service.find(std::string(request.service));
    if (found == pool.by_service.end()) {
        return best;
    }
    const service_profile& profile = pool.profiles[std::string(request.service)];
    duration least = duration::max();
    std::size_t rank = 0;
    for (const ranked_target& each : rank_targets(pool, found->second, request, now)) {
        target_state& belief = *each.belief;
        const candidate judged = judge_candidate(pool, belief, request, profile, rank, now);
        ++rank;
        if (!judged.has_room) {
            best.outcome = best.outcome == placement_outcome::chosen ? best.outcome : placement_outcome::full;
        } else if (judged.cost < least) {
            least = judged.cost;
            best = {placement_outcome::chosen, &belief, judged.warm, judged.service, judged.wait};
        }
    }
    return best;
}

void on_request_sent(target_pool& pool, target_state& belief, std::uint64_t object, time_point now)
{
    ++belief.own_in_flight;
    remember_object(pool, belief, object, now);
    if (belief.suspension != duration{}) {
        belief.on_trial = true;
    }
    if (is_cold(belief, now)) {
        belief.allowance.tokens = refilled_tokens(belief.allowance, now) - 1;
        belief.allowance.refilled = now;
    }
}

void on_request_ended(target_pool& pool, target_state& belief, target_outcome outcome,
                      const placement& chosen, duration taken, time_point now)
{
    if (belief.own_in_flight > 0) {
        --belief.own_in_flight;
    }
    switch (outcome) {
    case target_outcome::success:
        note_success(pool, belief, chosen, taken, now);
        break;
    case target_outcome::failure:
    case target_outcome::unreachable:
    case target_outcome::shed:
        note_failure(pool, belief, now);
        break;
    case target_outcome::replaced:
        belief.suspension = pool.tuning.max_suspension;
        belief.suspended_until = now + belief.suspension;
        break;
    case target_outcome::abandoned:
        break;
    }
    belief.on_trial = false;
}

void on_target_load_reported(target_state& belief, double requests, time_point now)
{
    belief.peer_in_flight = std::max(0.0, requests - belief.own_in_flight);
    belief.load_reported_at = now;
}

void on_peer_load_reported(target_state& belief, double requests, time_point now)
{
    // Reports of peers are about this old when they arrive.
    constexpr duration report_age = std::chrono::milliseconds(300);
    if (now - belief.load_reported_at > report_age) {
        belief.peer_in_flight = requests;
    }
}

double utilization(const target_pool& pool, std::string_view service)
{
    const auto found = pool.by_service.find(std::string(service));
    double slots = 0;
    double load = 0;
    if (found != pool.by_service.end()) {
        for (const target_state* belief : found->second) {
            slots += belief->entry.slots;
            load += load_of(*belief);
        }
    }
    return slots == 0 ? 0 : load / slots;
}

} // namespace camphorknot::steering
