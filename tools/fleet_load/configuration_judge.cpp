#include "configuration_judge.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <optional>

namespace fleet_load {
namespace {

using seconds = std::chrono::duration<double>;

constexpr unsigned status_ok = 200;
constexpr unsigned status_key_refused = 401;
constexpr unsigned status_no_route = 404;
// Fewer requests say nothing about the share that is served.
constexpr std::size_t min_requests_for_share = 20;
constexpr double min_served_ratio = 0.25;

double seconds_between(clock::time_point from, clock::time_point to)
{
    return seconds(to - from).count();
}

// The newest change that was acknowledged @p age before the request or earlier; empty if there is none.
std::optional<std::size_t> change_in_force(const subject& about, const observation& seen, double age_s)
{
    std::optional<std::size_t> newest;
    for (std::size_t index = 0; index < about.changes.size(); ++index) {
        if (seconds_between(about.changes.at(index).acknowledged, seen.sent) > age_s) {
            newest = index;
        }
    }
    return newest;
}

// Whether some version that may be in force, from the change @p oldest on, shows what was seen.
bool is_allowed(const subject& about, const observation& seen, presence shown, std::size_t oldest)
{
    for (std::size_t index = oldest; index < about.changes.size(); ++index) {
        const subject_change& change = about.changes.at(index);
        const bool may_be_in_force = index == oldest || change.sent <= seen.ended;
        if (may_be_in_force && change.present == (shown == presence::present)) {
            return true;
        }
    }
    return false;
}

// The newest version that a process has shown of one subject.
struct shown_version {
    int change = -1; ///< Index; -1 before the first.
    clock::time_point since{};
};

// Returns the index of the change that the answer shows at least.
int least_change(const subject& about, const observation& seen, presence shown, int known)
{
    if (shown == presence::present) {
        return 0;
    }
    const bool may_be_dropped = about.changes.size() > 1 && about.changes.at(1).sent <= seen.ended;
    return known >= 0 && may_be_dropped ? 1 : -1;
}

using process_subject = std::array<std::size_t, 3>; // Instance, life, subject.

void judge_order(std::span<const subject> subjects, std::span<const observation> observations,
                 const configuration_bounds& bounds, std::vector<configuration_finding>& findings)
{
    std::vector<const observation*> by_end;
    for (const observation& seen : observations) {
        by_end.push_back(&seen);
    }
    std::ranges::stable_sort(by_end, {}, [](const observation* seen) { return seen->ended; });
    std::map<process_subject, shown_version> versions;
    for (const observation* seen : by_end) {
        const subject& about = subjects[seen->subject];
        const presence shown = seen_presence(*seen, about);
        if (shown == presence::unclear || about.changes.empty() || about.is_lasting) {
            continue;
        }
        shown_version& known = versions[{seen->instance, seen->life, seen->subject}];
        const int change = least_change(about, *seen, shown, known.change);
        if (change > known.change) {
            known = {change, seen->ended};
        } else if (change < known.change &&
                   seconds_between(known.since, seen->sent) > bounds.downgrade_slack_s) {
            const auto newer = static_cast<std::size_t>(known.change);
            findings.push_back({configuration_fault::reverted, seen,
                                seconds_between(about.changes.at(newer).acknowledged, seen->sent)});
        }
    }
}

struct served_count {
    std::size_t requests = 0;
    std::size_t served = 0;
};

double served_share(const served_count& count)
{
    return static_cast<double>(count.served) / static_cast<double>(count.requests);
}

void judge_service(std::span<const subject> subjects, std::span<const observation> observations,
                   const configuration_bounds& bounds, std::vector<configuration_finding>& findings)
{
    served_count lasting;
    served_count added;
    for (const observation& seen : observations) {
        const subject& about = subjects[seen.subject];
        const bool is_present = about.changes.size() == 1 && change_in_force(about, seen, bounds.apply_s);
        if (seen.is_disturbed || about.kind != subject_kind::route || !(about.is_lasting || is_present)) {
            continue;
        }
        served_count& count = about.is_lasting ? lasting : added;
        ++count.requests;
        count.served += seen.status == status_ok && seen.is_signed ? 1 : 0;
    }
    if (added.requests >= min_requests_for_share && lasting.requests >= min_requests_for_share &&
        served_share(added) < min_served_ratio * served_share(lasting)) {
        findings.push_back({configuration_fault::added_unserved, nullptr, 0});
    }
}

} // namespace

std::string_view name_of(configuration_fault fault)
{
    constexpr std::array<std::string_view, 5> names = {"late_added", "late_dropped", "reverted",
                                                       "malformed_taken", "added_unserved"};
    return names.at(static_cast<std::size_t>(fault));
}

presence seen_presence(const observation& seen, const subject& about)
{
    if (seen.status == status_ok && seen.is_signed) {
        return presence::present;
    }
    const unsigned refusal = about.kind == subject_kind::route ? status_no_route : status_key_refused;
    return seen.status == refusal ? presence::absent : presence::unclear;
}

std::vector<configuration_finding> judge_observations(std::span<const subject> subjects,
                                                      std::span<const observation> observations,
                                                      const configuration_bounds& bounds)
{
    std::vector<configuration_finding> findings;
    for (const observation& seen : observations) {
        const subject& about = subjects[seen.subject];
        const presence shown = seen_presence(seen, about);
        if (shown == presence::unclear) {
            continue;
        }
        if (about.changes.empty() || about.is_lasting) {
            if ((shown == presence::present) != about.is_lasting) {
                findings.push_back({configuration_fault::malformed_taken, &seen, 0});
            }
            continue;
        }
        const auto oldest = change_in_force(about, seen, bounds.apply_s);
        if (seen.is_disturbed || !oldest || is_allowed(about, seen, shown, *oldest)) {
            continue;
        }
        const subject_change& due = about.changes.at(*oldest);
        findings.push_back({due.present ? configuration_fault::late_added : configuration_fault::late_dropped,
                            &seen, seconds_between(due.acknowledged, seen.sent)});
    }
    judge_order(subjects, observations, bounds, findings);
    judge_service(subjects, observations, bounds, findings);
    return findings;
}

std::vector<double> ages_of_older_answers(std::span<const subject> subjects,
                                          std::span<const observation> observations)
{
    std::vector<double> ages;
    for (const observation& seen : observations) {
        const subject& about = subjects[seen.subject];
        const presence shown = seen_presence(seen, about);
        const auto newest = about.is_lasting ? std::nullopt : change_in_force(about, seen, 0);
        if (seen.is_disturbed || shown == presence::unclear || !newest ||
            is_allowed(about, seen, shown, *newest)) {
            continue;
        }
        ages.push_back(seconds_between(about.changes.at(*newest).acknowledged, seen.sent));
    }
    std::ranges::sort(ages);
    return ages;
}

} // namespace fleet_load
