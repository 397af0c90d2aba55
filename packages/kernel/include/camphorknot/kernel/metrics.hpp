/// @file
/// Counters, gauges and latency histograms, exposed as a page in the Prometheus text format.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "camphorknot/core.hpp"

namespace camphorknot {

/// Registry of the metrics of one process. Thread-safe: registration takes a mutex; updates are lock-free.
///
/// @code
/// metrics_handle registry = make_metrics();
/// auto& accepted = counter(*registry, "camphorknot_connections_total", "");
/// accepted.fetch_add(1, std::memory_order_relaxed);
/// @endcode
struct metrics;

/// Deleter for the incomplete type.
struct metrics_deleter {
    void operator()(metrics* registry) const;
};
using metrics_handle = std::unique_ptr<metrics, metrics_deleter>;

/// Histogram of durations with logarithmic buckets from 0.1 ms to 100 s. Thread-safe.
struct latency_histogram;

metrics_handle make_metrics();

/// @return the counter with @p name and @p labels (as in `reason="rate_exceeded"`, or empty), created on
/// first use. The reference is valid for the lifetime of the registry.
std::atomic<std::uint64_t>& counter(metrics& registry, std::string_view name, std::string_view labels);

/// @return the gauge with @p name and @p labels, created on first use.
std::atomic<std::int64_t>& gauge(metrics& registry, std::string_view name, std::string_view labels);

/// @return the histogram with @p name and @p labels, created on first use.
latency_histogram& latency(metrics& registry, std::string_view name, std::string_view labels);

/// Adds one measurement to @p histogram.
void observe(latency_histogram& histogram, duration measured);

/// @return all metrics in the Prometheus text format.
std::string metrics_page(const metrics& registry);

/// One counter per refusal reason; null for `none`.
struct refusal_counters {
    std::array<std::atomic<std::uint64_t>*, refusal_reason_count> by_reason{};
};

/// @return counters called @p name, labelled with `reason`, for every reason except `none`.
refusal_counters make_refusal_counters(metrics& registry, std::string_view name);

/// Counts one refusal; ignores `none`.
void count_refusal(const refusal_counters& counters, refusal_reason reason);

} // namespace camphorknot
