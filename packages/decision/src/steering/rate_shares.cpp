#include "camphorknot/steering/rate_shares.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorknot::steering {
namespace {

// Minimum capacity of a bucket in tokens, so that a small share still admits single requests.
constexpr double min_depth = 1;
// Bounds of the retry delay returned for refused requests.
constexpr duration min_wait = std::chrono::milliseconds(100);
constexpr duration max_wait = std::chrono::seconds(5);

// Initial fill of a bucket as a fraction of its depth. Less than 1, since the predecessor of a restarted
// process may just have used up its share.
constexpr double initial_fill = 0.5;

// A rate is split between instances if each gets at least this many requests per second.
constexpr double min_split_rate = 3;
// Fraction of operating_bounds::rate_slack that the buckets of the fleet may hold.
constexpr double slack_fraction = 0.85;
// Assumed demand in requests per second over the fleet, spread equally and added to the measured one, so that
// a few requests do not move the shares.
constexpr double prior_demand = 4;

double seconds_between(time_point from, time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double bucket_depth(const rate_bucket& bucket)
{
    return std::max(min_depth, bucket.burst * bucket.share + bucket.slack);
}

void refill(rate_bucket& bucket, time_point now)
{
    const double added = seconds_between(bucket.refilled, now) * bucket.rate * bucket.share;
    bucket.tokens = std::min(bucket_depth(bucket), bucket.tokens + added);
    bucket.refilled = now;
}

void count_demand(rate_bucket& bucket, time_point now)
{
    bucket.demand = demand_of(bucket, now) + 1 / std::chrono::duration<double>(demand_period).count();
    bucket.demand_at = now;
}

// Own demand, as old as the reported demand that it is compared with. Otherwise a rise at all instances at
// once would give each of them more than its part.
double delayed_demand(rate_bucket& bucket, time_point now)
{
    if (now - bucket.demand_sampled_at >= demand_history_step) {
        std::rotate(bucket.demand_history.begin(), bucket.demand_history.end() - 1,
                    bucket.demand_history.end());
        bucket.demand_history.front() = demand_of(bucket, now);
        bucket.demand_sampled_at = now;
    }
    return bucket.demand_history.back();
}

// Share of the fleet's rate for `members` live instances with the demand `own`. The part of instances that
// are possibly running but not live is set aside.
double compute_share(const fleet_demand& fleet, double members, double own, double others)
{
    const double possible = static_cast<double>(std::max<std::size_t>(1, fleet.possible));
    const double live = static_cast<double>(std::clamp<std::size_t>(fleet.live, 1, fleet.possible));
    if (fleet.is_isolated) {
        return members / possible;
    }
    const double equal = members / live;
    const double by_demand = (own + prior_demand * equal) / (own + others + prior_demand);
    return live / possible * (equal_rate_fraction * equal + (1 - equal_rate_fraction) * by_demand);
}

double value_or_zero(const std::map<std::string, double, std::less<>>& values, const std::string& name)
{
    const auto found = values.find(name);
    return found == values.end() ? 0 : found->second;
}

// Allotment of one bucket.
struct bucket_part {
    double share = 0;
    double members = 1; ///< Instances that use the bucket.
    double demand = 0;  ///< Of these instances, in requests per second.
};

// Estimated fill of the bucket at the previous rate owner, whose token count is no longer available.
double estimated_previous_fill(const rate_bucket& bucket, double demand)
{
    const double rate = bucket.rate * bucket.share;
    return rate > 0 ? std::clamp(1 - demand / rate, 0.0, 1.0) : 1;
}

bucket_part compute_part(rate_bucket& bucket, const std::string& name, const fleet_demand& fleet,
                         time_point now)
{
    const double own = delayed_demand(bucket, now);
    const double others = value_or_zero(fleet.others, name);
    const auto owner = fleet.rate_owners.find(name);
    if (owner == fleet.rate_owners.end()) {
        return {compute_share(fleet, 1, own, others), 1, own};
    }
    if (!owner->second.empty()) {
        return {0, 0, 0};
    }
    const double domain_demand = value_or_zero(fleet.domain_others, name);
    const double members = static_cast<double>(fleet.domain_live);
    return {compute_share(fleet, members, own + domain_demand, std::max(0.0, others - domain_demand)),
            members, own + domain_demand};
}

// The slack in requests covers bursts at single instances; the tolerated fraction of the rate (rate_overage)
// covers the age of the demand reports.
double compute_slack(const operating_bounds& bounds, double members, double possible)
{
    return slack_fraction * bounds.rate_slack * members / std::max(1.0, possible);
}

} // namespace

double demand_of(const rate_bucket& bucket, time_point now)
{
    const double elapsed = seconds_between(bucket.demand_at, now);
    return bucket.demand * std::exp(-elapsed / std::chrono::duration<double>(demand_period).count());
}

void set_limits(rate_shares& shares, const configuration& source, time_point now)
{
    std::map<std::string, rate_bucket, std::less<>> buckets;
    for (const customer& entry : source.customers) {
        const auto found = shares.buckets.find(entry.name);
        rate_bucket bucket;
        if (found != shares.buckets.end()) {
            bucket = found->second;
            refill(bucket, now);
        } else {
            bucket.refilled = now;
            bucket.demand_at = now;
        }
        bucket.rate = entry.rate;
        bucket.burst = entry.burst;
        bucket.tokens = std::min(bucket.tokens, bucket_depth(bucket));
        buckets.emplace(entry.name, bucket);
    }
    shares.buckets = std::move(buckets);
}

void set_fleet_demand(rate_shares& shares, const fleet_demand& fleet, const operating_bounds& bounds,
                      time_point now)
{
    for (auto& [name, bucket] : shares.buckets) {
        refill(bucket, now);
        const double previous_depth = bucket_depth(bucket);
        const bucket_part part = compute_part(bucket, name, fleet, now);
        bucket.share = part.share;
        bucket.slack = compute_slack(bounds, part.members, static_cast<double>(fleet.possible));
        const double depth = bucket_depth(bucket);
        const bool is_first = std::exchange(bucket.share_is_unset, false);
        const double previous_members = std::exchange(bucket.members, part.members);
        if (is_first) {
            bucket.tokens = depth * initial_fill;
            continue;
        }
        // Saved tokens move with the share, so that their sum over the fleet stays the same.
        const double fill = std::min(1.0, bucket.tokens / previous_depth);
        const double kept_fraction = part.members > previous_members ? previous_members / part.members : 1;
        bucket.tokens = depth * (kept_fraction * fill +
                                 (1 - kept_fraction) * estimated_previous_fill(bucket, part.demand));
    }
}

bool needs_rate_owner(double rate, std::size_t possible_instances)
{
    return rate > 0 && rate < min_split_rate * static_cast<double>(possible_instances);
}

duration take_token_uncounted(rate_shares& shares, std::string_view customer, time_point now)
{
    const auto found = shares.buckets.find(customer);
    if (found == shares.buckets.end() || found->second.rate <= 0) {
        return duration{};
    }
    rate_bucket& bucket = found->second;
    refill(bucket, now);
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return duration{};
    }
    const double rate = std::max(0.1, bucket.rate * bucket.share);
    const auto wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>((1 - bucket.tokens) / rate));
    return std::clamp(wait, min_wait, max_wait);
}

void record_demand(rate_shares& shares, std::string_view customer, time_point now)
{
    const auto found = shares.buckets.find(customer);
    if (found != shares.buckets.end()) {
        count_demand(found->second, now);
    }
}

duration take_token(rate_shares& shares, std::string_view customer, time_point now)
{
    record_demand(shares, customer, now);
    return take_token_uncounted(shares, customer, now);
}

void return_token(rate_shares& shares, std::string_view customer)
{
    const auto found = shares.buckets.find(customer);
    if (found != shares.buckets.end()) {
        found->second.tokens = std::min(bucket_depth(found->second), found->second.tokens + 1);
    }
}

} // namespace camphorknot::steering
