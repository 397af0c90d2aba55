#include "camphorknot/routing/estimate.hpp"

#include <algorithm>
#include <cmath>

namespace camphorknot::internal {
namespace {

constexpr double first_bucket_us = 100;
constexpr double buckets_per_doubling = 4;
constexpr std::uint32_t halving_threshold = 4096;

double to_microseconds(duration value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

} // namespace

double decay_factor(duration elapsed, duration half_life)
{
    if (elapsed <= duration::zero()) {
        return 1;
    }
    return std::exp2(-static_cast<double>(elapsed.count()) / static_cast<double>(half_life.count()));
}

void add_sample(decayed_average& average, double sample, time_point now, duration half_life)
{
    const double factor = decay_factor(now - average.updated, half_life);
    average.sum = average.sum * factor + sample;
    average.weight = average.weight * factor + 1;
    average.updated = std::max(average.updated, now);
}

double value_of(const decayed_average& average, double prior, time_point now, duration half_life)
{
    const double factor = decay_factor(now - average.updated, half_life);
    return (average.sum * factor + prior) / (average.weight * factor + 1);
}

void add_sample(latency_histogram& histogram, duration latency)
{
    const double ratio = std::max(to_microseconds(latency) / first_bucket_us, 1.0);
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log2(ratio) * buckets_per_doubling));
    ++histogram.counts[std::min(bucket, latency_histogram::bucket_count - 1)];
    if (++histogram.total < halving_threshold) {
        return;
    }
    histogram.total = 0;
    for (std::uint32_t& count : histogram.counts) {
        count /= 2;
        histogram.total += count;
    }
}

duration quantile(const latency_histogram& histogram, double fraction)
{
    if (histogram.total == 0) {
        return duration::zero();
    }
    const double rank = fraction * histogram.total;
    double cumulative = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < latency_histogram::bucket_count; ++bucket) {
        cumulative += histogram.counts[bucket];
        if (cumulative >= rank) {
            break;
        }
    }
    const double bound_us = first_bucket_us * std::exp2(static_cast<double>(bucket) / buckets_per_doubling);
    return duration(static_cast<duration::rep>(bound_us * 1000.0));
}

} // namespace camphorknot::internal
