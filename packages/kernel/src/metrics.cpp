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

// Three buckets per power of ten are enough to read p99 within a factor of 2.2.
constexpr unsigned bucket_count = 18;
constexpr double lowest_seconds = 1e-4;
constexpr double highest_seconds = 100;

using seconds_axis = bh::axis::regular<double, bh::axis::transform::log>;
using bucket_storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using bucket_histogram = bh::histogram<std::tuple<seconds_axis>, bucket_storage>;

bucket_histogram make_buckets()
{
    return bh::make_histogram_with(bucket_storage{},
                                   seconds_axis(bucket_count, lowest_seconds, highest_seconds));
}

using metric_key = std::pair<std::string, std::string>; // Name and labels.

std::string braces(const std::string& labels)
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
    mutable std::mutex registration;
    std::map<metric_key, std::atomic<std::uint64_t>> counters;
    std::map<metric_key, std::atomic<std::int64_t>> gauges;
    std::map<metric_key, latency_histogram> histograms;
};

namespace {

void write_histogram(std::ostream& out, const metric_key& key, const latency_histogram& histogram)
{
    const std::string prefix = key.second.empty() ? "" : key.second + ",";
    const auto& axis = histogram.buckets.axis();
    std::uint64_t below = 0;
    for (int index = -1; index < static_cast<int>(bucket_count); ++index) {
        below += histogram.buckets.at(index);
        out << key.first << "_bucket{" << prefix << "le=\"" << axis.value(index + 1) << "\"} " << below
            << '\n';
    }
    below += histogram.buckets.at(static_cast<int>(bucket_count));
    out << key.first << "_bucket{" << prefix << "le=\"+Inf\"} " << below << '\n';
    out << key.first << "_sum" << braces(key.second) << ' '
        << static_cast<double>(histogram.sum_microseconds.load()) / 1e6 << '\n';
    out << key.first << "_count" << braces(key.second) << ' ' << below << '\n';
}

} // namespace

void metrics_deleter::operator()(metrics* page) const
{
    delete page;
}

metrics_handle make_metrics()
{
    return metrics_handle(new metrics);
}

std::atomic<std::uint64_t>& counter(metrics& page, std::string_view name, std::string_view labels)
{
    const std::lock_guard guard(page.registration);
    return page.counters[{std::string(name), std::string(labels)}];
}

std::atomic<std::int64_t>& gauge(metrics& page, std::string_view name, std::string_view labels)
{
    const std::lock_guard guard(page.registration);
    return page.gauges[{std::string(name), std::string(labels)}];
}

latency_histogram& latency(metrics& page, std::string_view name, std::string_view labels)
{
    const std::lock_guard guard(page.registration);
    return page.histograms[{std::string(name), std::string(labels)}];
}

void observe(latency_histogram& histogram, duration measured)
{
    const double seconds = std::chrono::duration<double>(measured).count();
    histogram.buckets(seconds);
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(measured).count();
    histogram.sum_microseconds.fetch_add(static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 0)),
                                         std::memory_order_relaxed);
}

std::string metrics_page(const metrics& page)
{
    const std::lock_guard guard(page.registration);
    std::ostringstream out;
    std::string last_name;
    for (const auto& [key, value] : page.counters) {
        write_type(out, last_name, key.first, "counter");
        out << key.first << braces(key.second) << ' ' << value.load() << '\n';
    }
    for (const auto& [key, value] : page.gauges) {
        write_type(out, last_name, key.first, "gauge");
        out << key.first << braces(key.second) << ' ' << value.load() << '\n';
    }
    for (const auto& [key, value] : page.histograms) {
        write_type(out, last_name, key.first, "histogram");
        write_histogram(out, key, value);
    }
    return out.str();
}

refusal_counters make_refusal_counters(metrics& page, std::string_view name)
{
    refusal_counters made;
    for (std::size_t index = 1; index < refusal_reason_count; ++index) {
        const std::string labels = "reason=\"" + std::string(refusal_reason_names.at(index)) + "\"";
        made.by_reason.at(index) = &counter(page, name, labels);
    }
    return made;
}

void count_refusal(const refusal_counters& counters, refusal_reason reason)
{
    std::atomic<std::uint64_t>* found = counters.by_reason.at(static_cast<std::size_t>(reason));
    if (found != nullptr) {
        found->fetch_add(1, std::memory_order_relaxed);
    }
}

} // namespace camphorknot
