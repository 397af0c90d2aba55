#include "camphorknot/kernel/metrics.hpp"

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace camphorknot {
namespace {

namespace bh = boost::histogram;

// Three buckets per power of ten: a quantile such as p99 can be read within a factor of 2.2.
constexpr unsigned bucket_count = 18;
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 100;

using seconds_axis = bh::axis::regular<double, bh::axis::transform::log>;
using bucket_storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using bucket_histogram = bh::histogram<std::tuple<seconds_axis>, bucket_storage>;

bucket_histogram make_buckets()
{
    return bh::make_histogram_with(bucket_storage{}, seconds_axis(bucket_count, min_seconds, max_seconds));
}

using metric_key = std::pair<std::string, std::string>; // Name and labels.

std::string label_block(const std::string& labels)
{
    return labels.empty() ? labels : "{" + labels + "}";
}

void write_type(std::ostream& out, std::string& last_name, const std::string& name, const char* type)
{
    if (name != last_name) {
        out << "# TYPE " << name << ' ' << type << '\n';
        last_name = name;
    }
}

} // namespace

struct latency_histogram {
    bucket_histogram buckets = make_buckets();
    std::atomic<std::uint64_t> sum_microseconds{0};
};

struct metrics {
    mutable std::mutex registration_mutex;
    std::map<metric_key, std::atomic<std::uint64_t>> counters;
    std::map<metric_key, std::atomic<std::int64_t>> gauges;
    std::map<metric_key, latency_histogram> histograms;
};

namespace {

void write_histogram(std::ostream& out, const metric_key& key, const latency_histogram& histogram)
{
    const std::string prefix = key.second.empty() ? "" : key.second + ",";
    const auto& axis = histogram.buckets.axis();
    std::uint64_t cumulative = 0;
    for (int index = -1; index < static_cast<int>(bucket_count); ++index) {
        cumulative += histogram.buckets.at(index);
        out << key.first << "_bucket{" << prefix << "le=\"" << axis.value(index + 1) << "\"} " << cumulative
            << '\n';
    }
    cumulative += histogram.buckets.at(static_cast<int>(bucket_count));
    out << key.first << "_bucket{" << prefix << "le=\"+Inf\"} " << cumulative << '\n';
    out << key.first << "_sum" << label_block(key.second) << ' '
        << static_cast<double>(histogram.sum_microseconds.load()) / 1e6 << '\n';
    out << key.first << "_count" << label_block(key.second) << ' ' << cumulative << '\n';
}

} // namespace

void metrics_deleter::operator()(metrics* registry) const
{
    delete registry;
}

metrics_handle make_metrics()
{
    return metrics_handle(new metrics);
}

std::atomic<std::uint64_t>& counter(metrics& registry, std::string_view name, std::string_view labels)
{
    const std::lock_guard guard(registry.registration_mutex);
    return registry.counters[{std::string(name), std::string(labels)}];
}

std::atomic<std::int64_t>& gauge(metrics& registry, std::string_view name, std::string_view labels)
{
    const std::lock_guard guard(registry.registration_mutex);
    return registry.gauges[{std::string(name), std::string(labels)}];
}

latency_histogram& latency(metrics& registry, std::string_view name, std::string_view labels)
{
    const std::lock_guard guard(registry.registration_mutex);
    return registry.histograms[{std::string(name), std::string(labels)}];
}

void observe(latency_histogram& histogram, duration measured)
{
    const double seconds = std::chrono::duration<double>(measured).count();
    histogram.buckets(seconds);
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(measured).count();
    histogram.sum_microseconds.fetch_add(static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 0)),
                                         std::memory_order_relaxed);
}

std::string metrics_page(const metrics& registry)
{
    const std::lock_guard guard(registry.registration_mutex);
    std::ostringstream out;
    std::string last_name;
    for (const auto& [key, value] : registry.counters) {
        write_type(out, last_name, key.first, "counter");
        out << key.first << label_block(key.second) << ' ' << value.load() << '\n';
    }
    for (const auto& [key, value] : registry.gauges) {
        write_type(out, last_name, key.first, "gauge");
        out << key.first << label_block(key.second) << ' ' << value.load() << '\n';
    }
    for (const auto& [key, value] : registry.histograms) {
        write_type(out, last_name, key.first, "histogram");
        write_histogram(out, key, value);
    }
    return out.str();
}

refusal_counters make_refusal_counters(metrics& registry, std::string_view name)
{
    refusal_counters counters;
    for (std::size_t index = 1; index < refusal_reason_count; ++index) {
        const std::string labels = "reason=\"" + std::string(refusal_reason_names.at(index)) + "\"";
        counters.by_reason.at(index) = &counter(registry, name, labels);
    }
    return counters;
}

void count_refusal(const refusal_counters& counters, refusal_reason reason)
{
    std::atomic<std::uint64_t>* reason_counter = counters.by_reason.at(static_cast<std::size_t>(reason));
    if (reason_counter != nullptr) {
        reason_counter->fetch_add(1, std::memory_order_relaxed);
    }
}

} // namespace camphorknot
