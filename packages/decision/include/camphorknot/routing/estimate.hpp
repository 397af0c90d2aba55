/// @file
/// Estimates that forget with time: moving averages and a quantile of latencies.
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

/// @return the average, drawn towards @p prior as the samples age. The prior weighs as much as one sample.
double value_of(const decayed_average& average, double prior, time_point now, duration half_life);

/// Histogram of latencies with geometric buckets; counts are halved when they reach a bound, so old samples
/// fade. Bucket @c i covers up to 100 us * 2^(i/4); the last one is open.
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
