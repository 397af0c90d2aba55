/// @file
/// Counters, gauges and latency histograms, shown as one text page in the Prometheus format.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "camphorknot/core.hpp"

namespace camphorknot {

/// Registry of one process's metrics. Registration takes a mutex; counting does not.
///
/// @code
/// metrics_handle page = make_metrics();
/// auto& accepted = counter(*page, "camphorknot_connections_total", "");
/// accepted.fetch_add(1, std::memory_order_relaxed);
/// @endcode
struct metrics;

/// Deleter for the incomplete type.
struct metrics_deleter {
    void operator()(metrics* page) const;
};
using metrics_handle = std::unique_ptr<metrics, metrics_deleter>;

/// Histogram of durations with logarithmic buckets from 0.1 ms to 100 s. Safe to fill from any thread.
struct latency_histogram;

metrics_handle make_metrics();

/// @return the counter of @p name and @p labels (as in `reason="rate_exceeded"`, or empty). The reference
/// stays valid for as long as the registry.
std::atomic<std::uint64_t>& counter(metrics& page, std::string_view name, std::string_view labels);

/// @return the gauge of @p name and @p labels.
std::atomic<std::int64_t>& gauge(metrics& page, std::string_view name, std::string_view labels);

/// @return the histogram of @p name and @p labels.
latency_histogram& latency(metrics& page, std::string_view name, std::string_view labels);

/// Counts one duration.
void observe(latency_histogram& histogram, duration measured);

/// @return the text page.
std::string metrics_page(const metrics& page);

/// Counters per refusal reason.
struct refusal_counters {
    std::array<std::atomic<std::uint64_t>*, refusal_reason_count> by_reason{};
};

/// @return counters called @p name with the label `reason` for every reason but `none`.
refusal_counters make_refusal_counters(metrics& page, std::string_view name);

/// Counts one refusal; ignores `none`.
void count_refusal(const refusal_counters& counters, refusal_reason reason);

} // namespace camphorknot
