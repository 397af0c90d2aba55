/// @file
/// The duty to report usage: which instance holds it, which windows it decides, and which call it makes next.
///
/// Load pattern: a report for each window of a few seconds, from a fleet in which any instance, link or store
/// may fail at any time. The duty is held through a lease in one row of the store; every change of it is a
/// write on the condition of the row's version. The functions decide only; the caller reads, writes and
/// calls.
#pragma once

#include "camphorknot/steering/usage_counts.hpp"

namespace camphorknot::steering {

/// Times of the duty.
struct usage_tuning {
    duration lease = std::chrono::seconds(3);
    /// Time that a suspended process may need to notice that its lease has expired. No call begins in the
    /// last part of a lease of this length.
    duration slack = std::chrono::milliseconds(300);
    duration write_period = std::chrono::seconds(1); ///< Of the holder.
    duration read_period = std::chrono::seconds(1);  ///< Of the instances that may take over.
    /// From the end of a window to its decision: a send counts after 1 s, and its count passes two periods of
    /// statuses and summaries of 0.8 s each.
    duration decide_delay = std::chrono::seconds(4);
    /// The decision waits as long for failure domains that are silent; it leaves time for the call.
    duration latest_decision = std::chrono::milliseconds(7500);
    /// A report is due this long after the end of its window.
    duration due = std::chrono::seconds(10);
    /// From the decision to the first call. Within it the decision reaches the other instances, which thereby
    /// know it even if the store returns from an older copy and the holder ends.
    duration spread = std::chrono::seconds(1);
    duration call_period = std::chrono::milliseconds(100); ///< Shortest time between calls.
    duration first_back_off = std::chrono::milliseconds(250);
    duration max_back_off = std::chrono::seconds(4);
    std::size_t max_decisions = 8; ///< In one transaction, while it catches up.
};

/// Content of the row of the lease.
struct usage_lease {
    std::string holder{};
    std::uint64_t incarnation = 0;     ///< Of the holder.
    std::uint64_t serial = 0;          ///< Number of the write among those of this incarnation.
    std::int64_t first_undecided = 0;  ///< As in usage_progress.
    std::int64_t first_unreported = 0; ///< As in usage_progress.
    bool released = false;             ///< The holder has given up the duty.
    std::uint64_t version = 0;         ///< Of the row; not stored in it. Zero if there is no row.
};

/// What the duty depends on besides the store.
struct usage_situation {
    bool is_first = false;     ///< This instance is the first one in the assignment order besides the holder.
    bool is_candidate = false; ///< It is among the first ones, and observes the row.
    bool sees_fleet = false;   ///< Without, its sums could lack most of the counts.
    bool stopping = false;
    std::int64_t first_window = 0; ///< The first one ever to be reported, if there is no row.
};

/// What to do at the store.
enum class usage_store_step : std::uint8_t { none, read, write };

/// A call to the store.
struct usage_store_action {
    usage_store_step step = usage_store_step::none;
    bool with_reports = false;            ///< A read also reads the stored reports.
    usage_lease lease{};                  ///< The row to write, on the condition of `lease.version`.
    std::vector<window_counts> decided{}; ///< Reports to insert; their rows must not exist.
    std::vector<std::int64_t> reported{}; ///< Windows whose rows are to be deleted.
};

/// How a write ended.
enum class usage_write_end : std::uint8_t { done, not_done, unknown };

/// How a call to the platform ended.
enum class usage_call_end : std::uint8_t {
    accepted,
    fenced,     ///< A higher token was seen.
    throttled,  ///< Too many calls.
    refused,    ///< Any other answer.
    unanswered, ///< It may still be executed.
    not_sent,
};

/// @return the stable name of @p end.
std::string_view name_of(usage_call_end end);

/// A call to the platform.
struct usage_call {
    std::uint64_t token = 0;
    window_counts report{};
    time_point send_by{}; ///< It must not be sent later.
};

/// Totals for metrics.
struct usage_totals {
    std::uint64_t decided = 0;
    std::uint64_t sent = 0; ///< Accepted by the platform.
    std::uint64_t late = 0; ///< Accepted after they were due.
    std::uint64_t lost = 0; ///< Decided by another holder, but no copy of the report is left.
    std::uint64_t take_overs = 0;
};

/// State of the duty at one instance. Used only by its control thread.
struct usage_duty {
    struct stored_report {
        window_counts report;
        time_point call_from{};
    };
    usage_tuning tuning;
    std::string own_name{};
    std::uint64_t own_incarnation = 0;
    bool held = false;
    bool taking_over = false; ///< A write that takes over was begun, and its outcome is open.
    bool calling = false;     ///< A call to the platform is in progress.
    bool must_read = true;    ///< The outcome of the last write is open, or another instance wrote.
    bool is_row_known = false;
    /// The row succeeds the one known before. Not so after a return of the store from an old copy: then
    /// another instance may hold the duty without a trace in the row.
    bool is_row_successor = false;
    // The row as last read or written.
    usage_lease row{};
    time_point row_changed_at{}; ///< When this instance first saw this version.
    time_point row_read_at{};
    // The own writes.
    std::uint64_t serial = 0; ///< Of the last one.
    time_point write_began_at{};
    usage_store_action writing{}; ///< The last write.
    time_point next_read_at{};
    time_point next_write_at{};
    time_point no_take_over_before{};
    time_point unseen_since{}; ///< When the view of the fleet was lost; zero while it is there.
    // While the duty is held.
    std::uint64_t token = 0;
    time_point lease_until{};
    std::int64_t first_unreported = 0;
    std::map<std::int64_t, stored_report> stored{}; ///< Decided, stored, not reported.
    std::vector<std::int64_t> to_delete{};
    // Calls.
    time_point next_call_at{};
    duration back_off{};
    usage_totals totals{};
};

/// @return what to do at the store now. The outcome is to be given to on_row_read or on_write_ended before
/// the next call.
/// @param sums counts of all sources, and what is known of the progress.
usage_store_action next_store_action(usage_duty& duty, const usage_ledger& sums, const usage_basis& basis,
                                     const usage_situation& situation, time_point now);

/// Handles the answer to a read.
/// @param known is updated with what the store holds, if this instance holds the duty.
/// @param row the row; its version is zero if there is none. Empty if the read failed.
/// @param reports the stored reports, if the action asked for them.
void on_row_read(usage_duty& duty, usage_progress& known, const std::optional<usage_lease>& row,
                 std::span<const window_counts> reports, time_point now);

/// Handles the end of a write.
/// @param version of the row, if the write is done.
void on_write_ended(usage_duty& duty, usage_progress& known, usage_write_end end, std::uint64_t version,
                    time_point now);

/// @return whether the lease allows a call that is sent at @p now.
bool may_call(const usage_duty& duty, time_point now);

/// @return the call to make now, if there is one. Its end is to be given to on_call_ended before the next
/// one.
std::optional<usage_call> next_call(usage_duty& duty, time_point now);

/// Handles the end of a call.
/// @param known is updated with what was reported.
void on_call_ended(usage_duty& duty, usage_progress& known, const usage_basis& basis, const usage_call& call,
                   usage_call_end end, time_point now);

/// Windows by their state, for metrics.
struct usage_window_states {
    std::int64_t open = 0;    ///< Begun, and not decided.
    std::int64_t decided = 0; ///< Stored, and not reported.
    std::int64_t late = 0;    ///< Not reported, though they are due.
};
usage_window_states count_windows(const usage_progress& known, const usage_tuning& tuning,
                                  const usage_basis& basis, time_point now);

} // namespace camphorknot::steering
