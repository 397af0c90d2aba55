#include "camphorknot/steering/usage_counts.hpp"

#include <algorithm>

namespace camphorknot::steering {
namespace {

using counts_by_window = std::map<std::int64_t, std::map<std::string, std::uint64_t>>;

// A target rejects within this time; longer ones run or wait in its queue.
constexpr duration rejection_time = std::chrono::seconds(1);
// Windows before the current one that every message carries: their counts still change.
constexpr std::int64_t changing_windows = 2;
// Limits the memory while no window can be decided: five minutes of windows of 5 s.
constexpr std::int64_t max_windows = 60;
// A source that has been silent for longer is not waited for, and its clock is not used.
constexpr duration source_retention = std::chrono::seconds(20);
constexpr duration clock_retention = std::chrono::seconds(5);

std::int64_t floor_divide(std::int64_t value, std::int64_t divisor)
{
    const std::int64_t quotient = value / divisor;
    return value % divisor < 0 ? quotient - 1 : quotient;
}

window_counts to_counts(std::int64_t window, const std::map<std::string, std::uint64_t>& by_customer)
{
    window_counts counts{window, {}};
    for (const auto& [customer, requests] : by_customer) {
        counts.counts.push_back({customer, requests});
    }
    return counts;
}

// Selects the windows of a message.
std::vector<window_counts> select_windows(const counts_by_window& windows, std::int64_t current_window,
                                          std::uint64_t round)
{
    std::vector<window_counts> selected;
    const auto changing = windows.lower_bound(current_window - changing_windows);
    const auto older = static_cast<std::uint64_t>(std::distance(windows.begin(), changing));
    if (older > 0) {
        const auto repeated = std::next(windows.begin(), static_cast<std::ptrdiff_t>(round % older));
        selected.push_back(to_counts(repeated->first, repeated->second));
    }
    for (auto window = changing; window != windows.end(); ++window) {
        selected.push_back(to_counts(window->first, window->second));
    }
    return selected;
}

void add_counts(std::map<std::string, std::uint64_t>& sums, const usage_ledger::source& source,
                std::int64_t window)
{
    const auto found = source.windows.find(window);
    if (found == source.windows.end()) {
        return;
    }
    for (const auto& [customer, requests] : found->second) {
        sums[customer] += requests;
    }
}

void trim_sources(std::map<std::string, usage_ledger::source>& sources, std::int64_t first, time_point now)
{
    for (auto& [name, source] : sources) {
        source.windows.erase(source.windows.begin(), source.windows.lower_bound(first));
    }
    std::erase_if(sources, [&](const auto& entry) {
        return entry.second.windows.empty() && now - entry.second.last_received > source_retention;
    });
}

void count_run(usage_counter& counter, const usage_basis& basis, const usage_counter::open_run& run)
{
    const std::int64_t window = window_at(basis, run.begins_at);
    if (window >= basis.first_undecided) {
        ++counter.windows[window][run.customer];
    }
}

} // namespace

std::int64_t window_at(const usage_basis& basis, time_point at)
{
    return floor_divide((at.time_since_epoch() + basis.clock_offset).count(), basis.window.count());
}

time_point window_end(const usage_basis& basis, std::int64_t window)
{
    return time_point(basis.window * (window + 1) - basis.clock_offset);
}

std::uint64_t on_run_sent(usage_counter& counter, std::string_view customer, duration wait, time_point now)
{
    const std::uint64_t id = counter.next_id++;
    counter.open.emplace(
        id, usage_counter::open_run{std::string(customer), now + wait, now + std::max(wait, rejection_time)});
    return id;
}

void on_run_ended(usage_counter& counter, const usage_basis& basis, std::uint64_t id, bool may_have_run,
                  time_point now)
{
    const auto found = counter.open.find(id);
    if (found == counter.open.end()) {
        return; // It was counted while its outcome was open.
    }
    if (may_have_run) {
        found->second.begins_at = std::min(found->second.begins_at, now);
        count_run(counter, basis, found->second);
    }
    counter.open.erase(found);
}

std::vector<window_counts> collect_counts(usage_counter& counter, const usage_basis& basis, time_point now)
{
    std::erase_if(counter.open, [&](const auto& entry) {
        const bool counts = entry.second.counts_at <= now;
        if (counts) {
            count_run(counter, basis, entry.second);
        }
        return counts;
    });
    const std::int64_t first = std::max(basis.first_undecided, window_at(basis, now) - max_windows);
    counter.windows.erase(counter.windows.begin(), counter.windows.lower_bound(first));
    std::vector<window_counts> collected;
    collected.reserve(counter.windows.size());
    for (const auto& [window, by_customer] : counter.windows) {
        collected.push_back(to_counts(window, by_customer));
    }
    return collected;
}

void merge_counts(usage_ledger::source& into, std::span<const window_counts> counts)
{
    for (const window_counts& reported : counts) {
        auto& by_customer = into.windows[reported.window];
        for (const customer_count& count : reported.counts) {
            std::uint64_t& stored = by_customer[count.customer];
            stored = std::max(stored, count.requests);
        }
    }
}

void merge_progress(usage_progress& into, const usage_progress& other)
{
    into.first_undecided = std::max(into.first_undecided, other.first_undecided);
    into.first_unreported = std::max(into.first_unreported, other.first_unreported);
    for (const window_counts& report : other.decided) {
        const bool is_known = std::ranges::any_of(
            into.decided, [&](const window_counts& known) { return known.window == report.window; });
        if (!is_known) {
            into.decided.push_back(report);
        }
    }
    std::erase_if(into.decided, [&](const window_counts& report) {
        return report.window < into.first_unreported || report.window < into.first_undecided - max_windows;
    });
}

void on_news(usage_ledger& ledger, usage_ledger::source& from, const usage_news& news, time_point now)
{
    from.clock_ms = std::max(from.clock_ms, news.clock_ms);
    from.last_received = now;
    merge_counts(from, news.counts);
    merge_progress(ledger.progress, news.progress);
}

void trim_ledger(usage_ledger& ledger, std::int64_t current_window, time_point now)
{
    const std::int64_t first = std::max(ledger.progress.first_undecided, current_window - max_windows);
    trim_sources(ledger.instances, first, now);
    trim_sources(ledger.domains, first, now);
}

std::vector<window_counts> own_domain_sums(const usage_ledger& ledger, std::int64_t current_window)
{
    counts_by_window sums;
    for (const auto& [name, source] : ledger.instances) {
        for (const auto& [window, by_customer] : source.windows) {
            for (const auto& [customer, requests] : by_customer) {
                sums[window][customer] += requests;
            }
        }
    }
    return select_windows(sums, current_window, ledger.round);
}

std::vector<window_counts> counts_to_send(const usage_ledger::source& from, std::int64_t current_window,
                                          std::uint64_t round)
{
    return select_windows(from.windows, current_window, round);
}

window_counts fleet_sum(const usage_ledger& ledger, std::int64_t window)
{
    std::map<std::string, std::uint64_t> sums;
    for (const auto* sources : {&ledger.instances, &ledger.domains}) {
        for (const auto& [name, source] : *sources) {
            add_counts(sums, source, window);
        }
    }
    return to_counts(window, sums);
}

bool are_domains_current(const usage_ledger& ledger, std::int64_t clock_ms, time_point now)
{
    return std::ranges::all_of(ledger.domains, [&](const auto& entry) {
        return entry.second.clock_ms >= clock_ms || now - entry.second.last_received > source_retention;
    });
}

std::optional<std::int64_t> oldest_window(const usage_ledger& ledger)
{
    std::optional<std::int64_t> oldest;
    for (const auto* sources : {&ledger.instances, &ledger.domains}) {
        for (const auto& [name, source] : *sources) {
            if (!source.windows.empty()) {
                oldest =
                    std::min(oldest.value_or(source.windows.begin()->first), source.windows.begin()->first);
            }
        }
    }
    return oldest;
}

void on_clock_received(usage_clock& clock, const std::string& source, std::int64_t clock_ms, time_point now)
{
    std::erase_if(clock.samples, [&](const auto& entry) { return now - entry.second.at > clock_retention; });
    clock.samples[source] = {std::chrono::milliseconds(clock_ms) - now.time_since_epoch(), now};
}

duration clock_offset(const usage_clock& clock, duration own_offset, time_point now)
{
    std::vector<duration> offsets{own_offset};
    for (const auto& [source, sample] : clock.samples) {
        if (now - sample.at <= clock_retention) {
            offsets.push_back(sample.offset);
        }
    }
    if (offsets.size() < 3) {
        return own_offset;
    }
    std::ranges::sort(offsets);
    return offsets[offsets.size() / 2];
}

} // namespace camphorknot::steering
