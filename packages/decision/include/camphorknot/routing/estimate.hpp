/// @file
/// Estimates in which old samples lose weight: moving averages and quantiles of latencies.
#pragma once

#include <array>
#include <cstdint>

#include "camphorknot/core/time.hpp"

namespace camphorknot::internal {

/// Average in which a sample's weight halves with each half life.
struct decayed_average {
    double sum = 0;
    double weight = 0;
    time_point updated{};
};

/// Factor by which weights shrink over @p elapsed.
double decay_factor(duration elapsed, duration half_life);

/// Adds @p sample at @p now.
void add_sample(decayed_average& average, double sample, time_point now, duration half_life);

/// @return the average, which moves towards @p prior as the samples age. The prior has the weight of one
/// fresh sample.
double value_of(const decayed_average& average, double prior, time_point now, duration half_life);

/// Histogram of latencies with geometric buckets. All counts are halved when their total reaches a bound, so
/// that old samples lose weight. The upper bound of bucket @c i is 100 us * 2^(i/4); the last bucket is
/// unbounded.
struct latency_histogram {
    static constexpr std::size_t bucket_count = 80;
    std::array<std::uint32_t, bucket_count> counts{};
    std::uint32_t total = 0;
};

void add_sample(latency_histogram& histogram, duration latency);

/// @return the upper bound of the bucket that holds the quantile @p fraction, in [0, 1]; zero without
/// samples.
duration quantile(const latency_histogram& histogram, double fraction);

} // namespace camphorknot::internal
