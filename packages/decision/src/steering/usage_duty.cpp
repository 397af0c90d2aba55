#include "camphorknot/steering/usage_duty.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "camphorknot/steering/record_replica.hpp"

namespace camphorknot::steering {
namespace {

// A holder that does not see the fleet for this long gives up the duty: short losses of messages pass.
constexpr duration max_unseen_time = std::chrono::seconds(2);

// Time without a renewal after which the lease of another holder has ended for certain.
duration take_over_delay(const usage_tuning& tuning)
{
    return tuning.lease + 2 * tuning.slack;
}

bool is_own(const usage_duty& duty, const usage_lease& row)
{
    return row.holder == duty.own_name && row.incarnation == duty.own_incarnation;
}

const window_counts* find_report(std::span<const window_counts> reports, std::int64_t window)
{
    const auto found = std::ranges::find(reports, window, &window_counts::window);
    return found == reports.end() ? nullptr : &*found;
}

void lose_duty(usage_duty& duty)
{
    duty.held = false;
    duty.taking_over = false;
    duty.stored.clear();
    duty.to_delete.clear();
}

bool may_take_over(const usage_duty& duty, const usage_situation& situation, time_point now)
{
    const bool is_row_recent = duty.is_row_known && now - duty.row_read_at < 2 * duty.tuning.read_period;
    if (!is_row_recent || situation.stopping || !situation.sees_fleet || now < duty.no_take_over_before) {
        return false;
    }
    const bool is_free = duty.row.released || is_own(duty, duty.row);
    const bool is_lapsed = now - duty.row_changed_at >= take_over_delay(duty.tuning);
    return (situation.is_first || is_own(duty, duty.row)) &&
           (is_lapsed || (is_free && duty.is_row_successor));
}

usage_store_action make_write(usage_duty& duty, usage_lease lease, time_point now)
{
    lease.holder = duty.own_name;
    lease.incarnation = duty.own_incarnation;
    lease.serial = ++duty.serial;
    lease.version = duty.row.version;
    duty.write_began_at = now;
    duty.next_write_at = now + duty.tuning.write_period;
    usage_store_action action;
    action.step = usage_store_step::write;
    action.lease = std::move(lease);
    duty.writing = action;
    return action;
}

usage_store_action take_over(usage_duty& duty, const usage_progress& known, const usage_situation& situation,
                             time_point now)
{
    usage_lease lease = duty.row;
    if (lease.first_undecided == 0) {
        // There is no row, after a return of the store from an old copy for example, or it cannot be read.
        // Windows that are known to be decided are stored again with their counts.
        const std::int64_t first =
            known.first_unreported == 0 ? situation.first_window : known.first_unreported;
        lease.first_undecided = first;
        lease.first_unreported = first;
    }
    lease.released = false;
    duty.taking_over = true;
    return make_write(duty, std::move(lease), now);
}

// The report of a window that is to be decided. A window that another holder has decided keeps its counts; if
// these are lost, a report could differ from one that was sent.
std::optional<window_counts> decide_window(const usage_ledger& sums, std::int64_t window)
{
    const usage_progress& known = sums.progress;
    if (window >= known.first_undecided) {
        return fleet_sum(sums, window);
    }
    const window_counts* report = find_report(known.decided, window);
    return report == nullptr ? std::nullopt : std::optional(*report);
}

bool is_due_for_decision(const usage_duty& duty, const usage_ledger& sums, const usage_basis& basis,
                         std::int64_t window, time_point now)
{
    const duration since_end = now - window_end(basis, window);
    if (window < sums.progress.first_undecided || since_end >= duty.tuning.latest_decision) {
        return since_end >= duration{};
    }
    // Half of the delay is enough for the counts to leave their instances.
    const auto clock = window_end(basis, window) + basis.clock_offset + duty.tuning.decide_delay / 2;
    return since_end >= duty.tuning.decide_delay &&
           are_domains_current(sums, clock.time_since_epoch() / std::chrono::milliseconds(1), now);
}

usage_store_action renew(usage_duty& duty, const usage_ledger& sums, const usage_basis& basis,
                         const usage_situation& situation, time_point now)
{
    usage_lease lease = duty.row;
    lease.first_unreported = duty.first_unreported;
    std::vector<window_counts> decided;
    const auto is_stored = [&](std::int64_t window) {
        return std::ranges::find(duty.to_delete, window) != duty.to_delete.end();
    };
    while (situation.sees_fleet && !situation.stopping && decided.size() < duty.tuning.max_decisions &&
           !is_stored(lease.first_undecided) &&
           is_due_for_decision(duty, sums, basis, lease.first_undecided, now)) {
        if (auto report = decide_window(sums, lease.first_undecided)) {
            decided.push_back(std::move(*report));
        }
        ++lease.first_undecided;
    }
    usage_store_action action = make_write(duty, std::move(lease), now);
    action.decided = std::move(decided);
    action.reported = duty.to_delete;
    duty.writing = action;
    return action;
}

usage_store_action release(usage_duty& duty, time_point now)
{
    usage_lease lease = duty.row;
    lease.first_unreported = duty.first_unreported;
    lease.released = true;
    const std::vector<std::int64_t> reported = duty.to_delete;
    lose_duty(duty);
    // Another instance may act at once; this one must not act again within the length of a lease.
    duty.no_take_over_before = now + take_over_delay(duty.tuning);
    usage_store_action action = make_write(duty, std::move(lease), now);
    action.reported = reported;
    return action;
}

bool should_release(usage_duty& duty, const usage_situation& situation, time_point now)
{
    if (situation.sees_fleet) {
        duty.unseen_since = {};
    } else if (duty.unseen_since == time_point{}) {
        duty.unseen_since = now;
    }
    const bool is_isolated = !situation.sees_fleet && now - duty.unseen_since >= max_unseen_time;
    return situation.stopping || is_isolated;
}

// Moves past the windows that are reported, or whose report is lost.
void advance_reported(usage_duty& duty, std::int64_t first_undecided)
{
    while (duty.first_unreported < first_undecided && !duty.stored.contains(duty.first_unreported)) {
        ++duty.first_unreported;
    }
}

// Number of the windows from @p first to @p end without a report, though none of them is known as reported.
std::uint64_t count_lost(const usage_duty& duty, const usage_progress& known, std::int64_t first,
                         std::int64_t end)
{
    std::uint64_t lost = 0;
    for (std::int64_t window = std::max(first, known.first_unreported); window < end; ++window) {
        lost += duty.stored.contains(window) ? 0 : 1;
    }
    return lost;
}

// When a report that was read from the store may be sent first: see usage_tuning::spread.
time_point first_call_time(const std::map<std::int64_t, usage_duty::stored_report>& before,
                           const usage_duty& duty, const usage_progress& known, std::int64_t window,
                           time_point now)
{
    const auto found = before.find(window);
    if (found != before.end()) {
        return found->second.call_from;
    }
    return window < known.first_undecided ? now : now + duty.tuning.spread;
}

// Takes over the stored reports from the store.
void load_reports(usage_duty& duty, usage_progress& known, std::span<const window_counts> reports,
                  time_point now)
{
    const auto before = std::exchange(duty.stored, {});
    duty.to_delete.clear();
    const std::int64_t end = duty.row.first_undecided;
    duty.first_unreported = std::min(std::max(duty.row.first_unreported, known.first_unreported), end);
    std::int64_t decided_end = end;
    std::vector<window_counts> loaded;
    for (const window_counts& report : reports) {
        if (report.window < duty.first_unreported) {
            duty.to_delete.push_back(report.window);
        } else if (report.window < end) {
            // After a return of the store from an old copy, a write that was given up may have been executed.
            const window_counts* decided = find_report(known.decided, report.window);
            duty.stored[report.window] = {decided == nullptr ? report : *decided,
                                          first_call_time(before, duty, known, report.window, now)};
            loaded.push_back(duty.stored[report.window].report);
        } else {
            // The row of the lease is older than this report: an old write was executed after a return of the
            // store. The report may have been sent, so its window keeps these counts.
            duty.to_delete.push_back(report.window);
            loaded.push_back(report);
            decided_end = std::max(decided_end, report.window + 1);
        }
    }
    duty.totals.lost += count_lost(duty, known, duty.first_unreported, end);
    advance_reported(duty, end);
    merge_progress(known, {decided_end, duty.first_unreported, std::move(loaded)});
}

void begin_holding(usage_duty& duty, time_point now)
{
    duty.taking_over = false;
    duty.held = true;
    duty.token = duty.row.version;
    duty.lease_until = duty.write_began_at + duty.tuning.lease;
    duty.back_off = {};
    duty.next_call_at = now;
    duty.next_write_at = now;
    ++duty.totals.take_overs;
}

// The store has returned from an old copy: another instance may have held the duty since the row in it was
// written, unless the lease is still valid. Only a new token is certain to be the highest.
void on_era_changed(usage_duty& duty, time_point now)
{
    duty.is_row_successor = duty.held && now < duty.lease_until;
    lose_duty(duty);
}

void set_row(usage_duty& duty, const usage_lease& row, time_point now)
{
    if (!duty.is_row_known || row.version != duty.row.version) {
        duty.row_changed_at = now;
        duty.is_row_successor = duty.is_row_known && era_of(row.version) == era_of(duty.row.version) &&
                                row.version > duty.row.version;
    }
    duty.is_row_known = true;
    duty.row = row;
    duty.row_read_at = now;
}

} // namespace

std::string_view name_of(usage_call_end end)
{
    constexpr std::array<std::string_view, 6> names = {"accepted", "fenced",     "throttled",
                                                       "refused",  "unanswered", "not_sent"};
    return names.at(static_cast<std::size_t>(end));
}

usage_store_action next_store_action(usage_duty& duty, const usage_ledger& sums, const usage_basis& basis,
                                     const usage_situation& situation, time_point now)
{
    const bool acts = duty.held || duty.taking_over;
    const bool is_read_due = acts ? duty.must_read : situation.is_candidate && !situation.stopping;
    if (is_read_due && now >= duty.next_read_at) {
        duty.next_read_at = now + duty.tuning.read_period;
        usage_store_action action;
        action.step = usage_store_step::read;
        action.with_reports = acts;
        return action;
    }
    if (duty.must_read) {
        return {};
    }
    if (duty.held) {
        if (should_release(duty, situation, now)) {
            return duty.calling ? usage_store_action{} : release(duty, now);
        }
        return now >= duty.next_write_at ? renew(duty, sums, basis, situation, now) : usage_store_action{};
    }
    if (now >= duty.next_write_at && may_take_over(duty, situation, now)) {
        return take_over(duty, sums.progress, situation, now);
    }
    return {};
}

void on_row_read(usage_duty& duty, usage_progress& known, const std::optional<usage_lease>& row,
                 std::span<const window_counts> reports, time_point now)
{
    if (!row) {
        return;
    }
    duty.must_read = false;
    const bool is_other_era = duty.held && era_of(row->version) != era_of(duty.token);
    set_row(duty, *row, now);
    if (is_other_era) {
        on_era_changed(duty, now);
    }
    if (!is_own(duty, *row)) {
        if (duty.held) {
            // Calls of the successor are between this instance's last call and its next one.
            duty.no_take_over_before = std::max(duty.no_take_over_before, now + take_over_delay(duty.tuning));
        }
        lose_duty(duty);
        return;
    }
    const bool is_last_write = row->serial == duty.serial;
    if (duty.taking_over) {
        // Any other outcome (an earlier attempt that was executed late, a lease that has ended, a return of
        // the store from an old copy) is no hold: the next write on this version raises the token.
        const std::uint64_t former = duty.writing.lease.version;
        const bool is_same_era = former == 0 || era_of(row->version) == era_of(former);
        if (!is_last_write || !is_same_era || now >= duty.write_began_at + duty.tuning.lease) {
            duty.taking_over = false;
            return;
        }
        begin_holding(duty, now);
    } else if (duty.held && is_last_write) {
        duty.lease_until = std::max(duty.lease_until, duty.write_began_at + duty.tuning.lease);
    }
    if (duty.held) {
        load_reports(duty, known, reports, now);
    }
}

void on_write_ended(usage_duty& duty, usage_progress& known, usage_write_end end, std::uint64_t version,
                    time_point now)
{
    if (end != usage_write_end::done || !duty.held) {
        // The row tells whether the write was executed; of a take-over, also the token.
        duty.must_read = true;
        duty.next_read_at = now;
        return;
    }
    if (era_of(version) != era_of(duty.token)) {
        duty.must_read = true; // The read finds the new era as well.
        duty.next_read_at = now;
        return;
    }
    const std::int64_t first_written = duty.row.first_undecided;
    duty.row = duty.writing.lease;
    duty.row.version = version;
    duty.lease_until = duty.write_began_at + duty.tuning.lease;
    for (const window_counts& report : duty.writing.decided) {
        duty.stored[report.window] = {report, now + duty.tuning.spread};
    }
    duty.totals.decided += duty.writing.decided.size();
    duty.totals.lost += count_lost(duty, known, first_written, duty.row.first_undecided);
    std::erase_if(duty.to_delete, [&](std::int64_t window) {
        return std::ranges::find(duty.writing.reported, window) != duty.writing.reported.end();
    });
    advance_reported(duty, duty.row.first_undecided);
    merge_progress(known, {duty.row.first_undecided, duty.first_unreported, duty.writing.decided});
}

bool may_call(const usage_duty& duty, time_point now)
{
    return duty.held && now + duty.tuning.slack < duty.lease_until;
}

std::optional<usage_call> next_call(usage_duty& duty, time_point now)
{
    if (duty.calling || duty.stored.empty() || now < duty.next_call_at || !may_call(duty, now)) {
        return std::nullopt;
    }
    const usage_duty::stored_report& next = duty.stored.begin()->second;
    if (now < next.call_from) {
        return std::nullopt;
    }
    duty.calling = true;
    return usage_call{duty.token, next.report, duty.lease_until - duty.tuning.slack};
}

void on_call_ended(usage_duty& duty, usage_progress& known, const usage_basis& basis, const usage_call& call,
                   usage_call_end end, time_point now)
{
    duty.calling = false;
    duty.next_call_at = now + duty.tuning.call_period;
    const bool is_current = duty.held && duty.token == call.token;
    if (end == usage_call_end::accepted) {
        duty.back_off = {};
        ++duty.totals.sent;
        duty.totals.late += now - window_end(basis, call.report.window) > duty.tuning.due ? 1 : 0;
        if (is_current && duty.stored.erase(call.report.window) > 0) {
            duty.to_delete.push_back(call.report.window);
            advance_reported(duty, duty.row.first_undecided);
            merge_progress(known, {0, duty.first_unreported, {}});
        }
        return;
    }
    if (end == usage_call_end::fenced && is_current) {
        // Another instance has acted with a higher token: this token is void, and no other is taken while
        // that instance may act.
        lose_duty(duty);
        duty.must_read = true;
        duty.no_take_over_before = now + take_over_delay(duty.tuning);
        return;
    }
    duty.back_off = std::clamp(duty.back_off * 2, duty.tuning.first_back_off, duty.tuning.max_back_off);
    duty.next_call_at = now + duty.back_off;
}

usage_window_states count_windows(const usage_progress& known, const usage_tuning& tuning,
                                  const usage_basis& basis, time_point now)
{
    usage_window_states states;
    if (known.first_undecided == 0) {
        return states; // No holder is known yet.
    }
    const std::int64_t current = window_at(basis, now);
    const std::int64_t first_not_due = window_at(basis, now - tuning.due);
    states.open = std::max<std::int64_t>(0, current + 1 - known.first_undecided);
    states.decided = std::max<std::int64_t>(0, known.first_undecided - known.first_unreported);
    states.late = std::max<std::int64_t>(0, first_not_due - known.first_unreported);
    return states;
}

} // namespace camphorknot::steering
