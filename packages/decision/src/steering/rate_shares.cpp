#include "camphorknot/steering/rate_shares.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorknot::steering {
namespace {

// A bucket holds at least this much, so that a small share still admits single requests.
constexpr double least_depth = 1;
// Shortest and longest time that a refused caller is told to wait.
constexpr duration least_wait = std::chrono::milliseconds(100);
constexpr duration most_wait = std::chrono::seconds(5);

// Part of its depth with which a bucket starts. Less than all, since the predecessor of a restarted process
// may have used up its share a moment ago.
constexpr double first_fill = 0.5;

// A rate is divided among the instances if each gets at least this many requests a second.
constexpr double least_divided_rate = 3;
// Part of the tolerated requests that buckets may save up.
constexpr double clump_part = 0.85;
// Requests a second of the whole fleet that are assumed to be divided equally besides those that were
// measured, so that a few requests do not make a share.
constexpr double prior_demand = 4;

double seconds_between(time_point from, time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double depth_of(const rate_bucket& bucket)
{
    return std::max(least_depth, bucket.burst * bucket.share + bucket.slack);
}

void refill(rate_bucket& bucket, time_point now)
{
    const double added = seconds_between(bucket.refilled, now) * bucket.rate * bucket.share;
    bucket.tokens = std::min(depth_of(bucket), bucket.tokens + added);
    bucket.refilled = now;
}

void count_demand(rate_bucket& bucket, time_point now)
{
    bucket.demand = demand_of(bucket, now) + 1 / std::chrono::duration<double>(demand_period).count();
    bucket.demand_at = now;
}

// Own demand as old as the others' that it is compared with: a rise that all instances see at once would
// otherwise give each of them more than its part.
double told_demand(rate_bucket& bucket, time_point now)
{
    if (now - bucket.demand_sampled_at >= demand_history_step) {
        std::rotate(bucket.demand_history.begin(), bucket.demand_history.end() - 1,
                    bucket.demand_history.end());
        bucket.demand_history.front() = demand_of(bucket, now);
        bucket.demand_sampled_at = now;
    }
    return bucket.demand_history.back();
}

// Part of the fleet's rate for `members` live instances with the demand `own`. What the instances that are
// not heard may use is set aside.
double share_of(const fleet_demand& fleet, double members, double own, double others)
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

struct bucket_part {
    double share = 0;
    double members = 1; ///< Instances that use the bucket.
    double demand = 0;  ///< Theirs, in requests a second.
};

// How full the bucket of an earlier keeper probably was: what it gave away cannot be asked any more.
double fill_of_predecessor(const rate_bucket& bucket, double demand)
{
    const double rate = bucket.rate * bucket.share;
    return rate > 0 ? std::clamp(1 - demand / rate, 0.0, 1.0) : 1;
}

bucket_part part_of(rate_bucket& bucket, const std::string& name, const fleet_demand& fleet, time_point now)
{
    const double own = told_demand(bucket, now);
    const double others = value_or_zero(fleet.others, name);
    const auto keeper = fleet.rate_owners.find(name);
    if (keeper == fleet.rate_owners.end()) {
        return {share_of(fleet, 1, own, others), 1, own};
    }
    if (!keeper->second.empty()) {
        return {0, 0, 0};
    }
    const double near = value_or_zero(fleet.domain_others, name);
    const double members = static_cast<double>(fleet.domain_live);
    return {share_of(fleet, members, own + near, std::max(0.0, others - near)), members, own + near};
}

// What a deployment tolerates in requests covers those that come in clumps at one instance; what it tolerates
// as a part of the rate covers the age of what the instances know of each other.
double slack_of(const operating_bounds& bounds, double members, double possible)
{
    return clump_part * bounds.rate_slack * members / std::max(1.0, possible);
}

} // namespace

double demand_of(const rate_bucket& bucket, time_point now)
{
    const double elapsed = seconds_between(bucket.demand_at, now);
    return bucket.demand * std::exp(-elapsed / std::chrono::duration<double>(demand_period).count());
}

void set_limits(rate_shares& shares, const configuration& source, time_point now)
{
    std::map<std::string, rate_bucket, std::less<>> kept;
    for (const customer& each : source.customers) {
        const auto found = shares.buckets.find(each.name);
        rate_bucket bucket;
        if (found != shares.buckets.end()) {
            bucket = found->second;
            refill(bucket, now);
        } else {
            bucket.refilled = now;
            bucket.demand_at = now;
        }
        bucket.rate = each.rate;
        bucket.burst = each.burst;
        bucket.tokens = std::min(bucket.tokens, depth_of(bucket));
        kept.emplace(each.name, bucket);
    }
    shares.buckets = std::move(kept);
}

void set_fleet_demand(rate_shares& shares, const fleet_demand& fleet, const operating_bounds& bounds,
                      time_point now)
{
    for (auto& [name, bucket] : shares.buckets) {
        refill(bucket, now);
        const double before = depth_of(bucket);
        const bucket_part part = part_of(bucket, name, fleet, now);
        bucket.share = part.share;
        bucket.slack = slack_of(bounds, part.members, static_cast<double>(fleet.possible));
        const double depth = depth_of(bucket);
        const bool is_first = std::exchange(bucket.share_is_unset, false);
        const double members = std::exchange(bucket.members, part.members);
        if (is_first) {
            bucket.tokens = depth * first_fill;
            continue;
        }
        // What was saved up moves with the share, so that the sum over the fleet stays the same.
        const double fill = std::min(1.0, bucket.tokens / before);
        const double kept = part.members > members ? members / part.members : 1;
        bucket.tokens = depth * (kept * fill + (1 - kept) * fill_of_predecessor(bucket, part.demand));
    }
}

bool needs_rate_owner(double rate, std::size_t possible_instances)
{
    return rate > 0 && rate < least_divided_rate * static_cast<double>(possible_instances);
}

duration take_token_for_peer(rate_shares& shares, std::string_view customer, time_point now)
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
    return std::clamp(wait, least_wait, most_wait);
}

void count_remote_request(rate_shares& shares, std::string_view customer, time_point now)
{
    const auto found = shares.buckets.find(customer);
    if (found != shares.buckets.end()) {
        count_demand(found->second, now);
    }
}

duration take_token(rate_shares& shares, std::string_view customer, time_point now)
{
    count_remote_request(shares, customer, now);
    return take_token_for_peer(shares, customer, now);
}

void return_token(rate_shares& shares, std::string_view customer)
{
    const auto found = shares.buckets.find(customer);
    if (found != shares.buckets.end()) {
        found->second.tokens = std::min(depth_of(found->second), found->second.tokens + 1);
    }
}

} // namespace camphorknot::steering
