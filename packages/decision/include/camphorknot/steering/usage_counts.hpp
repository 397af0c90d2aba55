/// @file
/// Counts of the requests that targets began to run, by customer and wall-clock window, and their sums over
/// the fleet.
///
/// Load pattern: thousands of requests a second from tens of customers at hundreds of instances, of which any
/// may end at any time. Counts are cumulative and are merged by maximum, so that messages may be lost,
/// repeated or reordered, and what an instance sent before its end still counts.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "camphorknot/core/time.hpp"

namespace camphorknot::steering {

/// Requests of one customer.
struct customer_count {
    std::string customer{};
    std::uint64_t requests = 0;
    bool operator==(const customer_count&) const = default;
};

/// Requests of one wall-clock window, ordered by customer.
struct window_counts {
    std::int64_t window = 0; ///< Begins at this number times the length of a window, from the start of 1970.
    std::vector<customer_count> counts{};
    bool operator==(const window_counts&) const = default;
};

/// Which windows holders of the duty are known to have decided and reported. All windows before
/// `first_undecided` are decided, all before `first_unreported` are reported.
struct usage_progress {
    std::int64_t first_undecided = 0;
    std::int64_t first_unreported = 0;
    std::vector<window_counts> decided{}; ///< Those of the windows between that are known.
};

/// What an instance tells others about usage, and what a failure domain tells the others.
struct usage_news {
    std::int64_t clock_ms = 0;           ///< Wall clock of the sender, ms since the start of 1970.
    std::vector<window_counts> counts{}; ///< Cumulative; of the instance, or sums over the failure domain.
    usage_progress progress{};
};

/// Wall-clock windows as seen by one instance.
struct usage_basis {
    duration window = std::chrono::seconds(5); ///< Length of a window.
    duration clock_offset{};                   ///< Wall clock minus boot clock.
    std::int64_t first_undecided = 0;          ///< Earlier windows need no counts any more.
};

/// @return the window that contains @p at.
std::int64_t window_at(const usage_basis& basis, time_point at);

/// @return when @p window ends, by the boot clock.
time_point window_end(const usage_basis& basis, std::int64_t window);

/// Counts of the sends of one instance. Used only by its traffic thread.
struct usage_counter {
    /// A send whose outcome is open.
    struct open_run {
        std::string customer;
        time_point begins_at{}; ///< When the target is expected to begin it.
        time_point counts_at{}; ///< It counts from then on even without an outcome.
    };
    std::uint64_t next_id = 1;
    std::map<std::uint64_t, open_run> open{};
    std::map<std::int64_t, std::map<std::string, std::uint64_t>> windows{};
};

/// Records a send.
/// @param wait expected wait in the target's queue.
/// @return its id, for on_run_ended.
std::uint64_t on_run_sent(usage_counter& counter, std::string_view customer, duration wait, time_point now);

/// Records the outcome of a send.
/// @param may_have_run false if the target provably rejected the request.
void on_run_ended(usage_counter& counter, const usage_basis& basis, std::uint64_t id, bool may_have_run,
                  time_point now);

/// Counts the open sends that a target would have rejected by now, and removes what is not needed any more.
/// @return the cumulative counts.
std::vector<window_counts> collect_counts(usage_counter& counter, const usage_basis& basis, time_point now);

/// Counts by source: an incarnation of an instance of the own failure domain, or another failure domain.
struct usage_ledger {
    struct source {
        std::int64_t clock_ms = 0;  ///< Highest that was received.
        time_point last_received{}; ///< Of the latest news.
        std::map<std::int64_t, std::map<std::string, std::uint64_t>> windows{};
    };
    std::map<std::string, source> instances{}; ///< By "name/incarnation".
    std::map<std::string, source> domains{};   ///< By failure domain; without the own one.
    usage_progress progress{};
    std::uint64_t round = 0; ///< Of the messages; selects the old window that the next one repeats.
};

/// Merges counts by maximum.
void merge_counts(usage_ledger::source& into, std::span<const window_counts> counts);

/// Merges what is known of the progress. Reports of one window are the same from whoever they come.
void merge_progress(usage_progress& into, const usage_progress& other);

/// Takes over the news of a source.
void on_news(usage_ledger& ledger, usage_ledger::source& from, const usage_news& news, time_point now);

/// Removes the windows that are decided, and sources without a window that have been silent for long.
void trim_ledger(usage_ledger& ledger, std::int64_t current_window, time_point now);

/// @return the sums over the instances of the own failure domain, for the windows that the next message
/// carries: the newest ones and, in turn, one of the older ones that are not decided.
std::vector<window_counts> own_domain_sums(const usage_ledger& ledger, std::int64_t current_window);

/// @return the windows of one source for the next message, selected in the same way.
std::vector<window_counts> counts_to_send(const usage_ledger::source& from, std::int64_t current_window,
                                          std::uint64_t round);

/// @return the requests of @p window over all sources.
window_counts fleet_sum(const usage_ledger& ledger, std::int64_t window);

/// @return whether each failure domain that was received lately has sent news later than @p clock_ms by its
/// clock.
bool are_domains_current(const usage_ledger& ledger, std::int64_t clock_ms, time_point now);

/// @return the oldest window with a count, if there is one.
std::optional<std::int64_t> oldest_window(const usage_ledger& ledger);

/// Estimates the true time as the median of the wall clocks of the fleet, so that an instance whose clock
/// steps neither counts into wrong windows nor, as the holder, decides windows early.
struct usage_clock {
    struct sample {
        duration offset{}; ///< The sender's wall clock minus this instance's boot clock at the reception.
        time_point at{};
    };
    std::map<std::string, sample> samples{}; ///< By source.
};

/// Records the wall clock of a source.
void on_clock_received(usage_clock& clock, const std::string& source, std::int64_t clock_ms, time_point now);

/// @param own_offset of this instance.
/// @return the median offset of the recent samples and the own one; the own one if there are fewer than
/// three.
duration clock_offset(const usage_clock& clock, duration own_offset, time_point now);

} // namespace camphorknot::steering
