#include "camphorknot/steering/crash_verdicts.hpp"

#include <algorithm>
#include <set>

namespace camphorknot::steering {
namespace {

using suspect_entry = std::pair<const suspect_key, crash_suspect>;
using target_incarnation = std::pair<std::string, std::int64_t>;

// Times derived from another instance's ages differ by the delay of the message.
constexpr duration min_time_difference = std::chrono::seconds(60);

target_incarnation incarnation_of(const ended_run& run)
{
    return {run.target, run.born_ms};
}

bool has_run(const crash_suspect& suspect, const target_incarnation& target)
{
    return std::ranges::any_of(suspect.runs,
                               [&](const ended_run& run) { return incarnation_of(run) == target; });
}

// All targets that ended, by the time of their end.
using target_ends = std::multimap<time_point, target_incarnation>;

target_ends collect_ends(const crash_table& table)
{
    std::map<target_incarnation, time_point> first_ends;
    for (const auto& [key, suspect] : table.suspects) {
        for (const ended_run& run : suspect.runs) {
            const auto [place, is_new] = first_ends.emplace(incarnation_of(run), run.ended_at);
            place->second = std::min(place->second, run.ended_at);
        }
    }
    target_ends ends;
    for (const auto& [target, ended_at] : first_ends) {
        ends.emplace(ended_at, target);
    }
    return ends;
}

// The last answer of the version before each end, as far as any instance has seen one. What one instance has
// not seen may be known to another that lost a request at the same end.
using version_answers = std::map<target_incarnation, time_point>;

version_answers collect_answers(const crash_table& table)
{
    version_answers answers;
    for (const auto& [key, suspect] : table.suspects) {
        for (const ended_run& run : suspect.runs) {
            if (run.version_answered_at) {
                const auto [place, is_new] = answers.emplace(incarnation_of(run), *run.version_answered_at);
                place->second = std::max(place->second, *run.version_answered_at);
            }
        }
    }
    return answers;
}

// What the search for the next verdict knows of the ends.
struct end_context {
    target_ends ends;
    version_answers answers;
    std::set<target_incarnation> explained; // By requests that are condemned already.
};

struct end_count {
    std::size_t all = 0;
    std::size_t own = 0; // The suspect was running there.
};

// The ends from `first` to `last` that no verdict explains.
end_count count_ends(const end_context& context, const crash_suspect& suspect, time_point first,
                     time_point last)
{
    end_count count;
    const auto end = context.ends.upper_bound(last);
    for (auto position = context.ends.lower_bound(first); position != end; ++position) {
        if (!context.explained.contains(position->second)) {
            ++count.all;
            count.own += has_run(suspect, position->second) ? 1 : 0;
        }
    }
    return count;
}

// Whether targets ended together at most of which the request was not running.
bool is_in_foreign_batch(const crash_tuning& tuning, const end_context& context, const crash_suspect& suspect,
                         const ended_run& run)
{
    const end_count count =
        count_ends(context, suspect, run.ended_at - tuning.batch_window, run.ended_at + tuning.batch_window);
    return count.all >= tuning.min_batch && 2 * count.own < count.all;
}

// Whether targets ended without the request as well, and none is known to have answered anything, between two
// of its runs. Then the second says nothing.
bool is_in_outage(const crash_tuning& tuning, const end_context& context, const crash_suspect& suspect,
                  const ended_run& before, const ended_run& run)
{
    const auto answered = context.answers.find(incarnation_of(run));
    if (answered != context.answers.end() && answered->second > before.ended_at) {
        return false;
    }
    const end_count count = count_ends(context, suspect, before.ended_at - tuning.batch_window,
                                       run.ended_at + tuning.batch_window);
    return count.own < count.all;
}

// The runs that ended together with `first` or shortly after it, if these are enough, in several failure
// domains or one that was alive after each end, and the request was running at all targets that ended at that
// time; else none.
std::vector<const ended_run*> find_sole_batch(const crash_tuning& tuning, const end_context& context,
                                              const crash_suspect& suspect, const ended_run& first)
{
    const time_point end = first.ended_at + tuning.batch_window;
    std::vector<const ended_run*> batch;
    std::set<std::string_view> domains;
    bool domain_alive = true;
    for (const ended_run& run : suspect.runs) {
        const bool is_in_window = run.ended_at >= first.ended_at && run.ended_at <= end;
        if (is_in_window && !context.explained.contains(incarnation_of(run))) {
            batch.push_back(&run);
            domains.insert(run.failure_domain);
            domain_alive = domain_alive && run.domain_alive;
        }
    }
    const end_count count = count_ends(context, suspect, first.ended_at - tuning.batch_window, end);
    const bool is_sole = count.own == count.all;
    const bool is_outage = domains.size() == 1 && !domain_alive;
    return is_sole && batch.size() >= tuning.min_sole_batch && !is_outage ? batch
                                                                          : std::vector<const ended_run*>();
}

// What the ends of targets say against a request.
struct case_against {
    std::vector<const ended_run*> runs; // That count, by the time of their ends.
    std::size_t strength = 0;           // Number of ends, of which each counts as an independent one.
    time_point valid_from{};
};

// Counts runs of which each was sent after the end of the one before. Copies of a request that ran at the
// same time say no more than one, as a group of targets may have ended together, unless they are a sole
// batch.
case_against collect_case(const crash_tuning& tuning, const crash_suspect& suspect,
                          const end_context& context)
{
    case_against result;
    for (const ended_run& run : suspect.runs) {
        const bool follows =
            result.runs.empty() || (run.sent_at >= result.runs.back()->ended_at &&
                                    !is_in_outage(tuning, context, suspect, *result.runs.back(), run));
        if (!follows || context.explained.contains(incarnation_of(run)) ||
            is_in_foreign_batch(tuning, context, suspect, run)) {
            continue;
        }
        ++result.strength;
        const std::vector<const ended_run*> batch = find_sole_batch(tuning, context, suspect, run);
        if (batch.empty()) {
            result.runs.push_back(&run);
            continue;
        }
        result.runs.insert(result.runs.end(), batch.begin(), batch.end());
        if (result.strength < tuning.runs_to_condemn) {
            result.strength = tuning.runs_to_condemn;
            result.valid_from = batch.back()->ended_at + tuning.sole_batch_delay;
        }
    }
    return result;
}

// Whether another request was running at all of these ends as well, so that either may be the cause.
bool has_rival(const crash_table& table, const suspect_key& key, std::span<const ended_run* const> runs)
{
    return std::ranges::any_of(table.suspects, [&](const suspect_entry& other) {
        const bool is_other = other.first.request != key.request && !other.second.cleared &&
                              other.second.condemned_until == time_point{};
        return is_other && std::ranges::all_of(runs, [&](const ended_run* run) {
                   return has_run(other.second, incarnation_of(*run));
               });
    });
}

// Calls `visit` with the suspect of each version of the service.
void for_each_version(auto& table, const request_identity& request, std::string_view service, auto visit)
{
    const suspect_key first = {request, std::string(service), {}};
    for (auto position = table.suspects.lower_bound(first); position != table.suspects.end(); ++position) {
        if (position->first.request != request || position->first.service != service) {
            return;
        }
        visit(position->second);
    }
}

// Runs that condemn the request at this version: one suffices for a request that is condemned at another.
std::size_t needed_runs(const crash_table& table, const suspect_key& key)
{
    return was_condemned(table, key.request, key.service) ? 1 : table.tuning.runs_to_condemn;
}

duration verdict_length(const crash_table& table, std::size_t further_runs)
{
    const crash_tuning& tuning = table.tuning;
    duration length = tuning.first_verdict;
    for (std::size_t run = 0; run < further_runs && length < tuning.max_verdict; ++run) {
        length *= tuning.verdict_factor;
    }
    const double limited = static_cast<double>(std::min(length, tuning.max_verdict).count());
    return duration(static_cast<std::int64_t>(limited * (1 + table.verdict_extension)));
}

// The suspect with the most runs that count among those whose evidence suffices, with the case against it.
std::pair<suspect_entry*, case_against> find_next_verdict(crash_table& table, const end_context& context)
{
    std::pair<suspect_entry*, case_against> next = {nullptr, {}};
    for (suspect_entry& entry : table.suspects) {
        if (entry.second.cleared || entry.second.condemned_until != time_point{}) {
            continue;
        }
        const std::size_t needed = needed_runs(table, entry.first);
        if (entry.second.runs.size() < needed) {
            continue;
        }
        case_against found = collect_case(table.tuning, entry.second, context);
        if (found.strength >= needed && found.runs.size() > next.second.runs.size() &&
            !has_rival(table, entry.first, found.runs)) {
            next = {&entry, std::move(found)};
        }
    }
    return next;
}

// The ends at which a condemned request was running say nothing about the requests beside it.
void update_verdicts(crash_table& table)
{
    for (auto& [key, suspect] : table.suspects) {
        suspect.condemned_from = time_point{};
        suspect.condemned_until = time_point{};
    }
    end_context context{collect_ends(table), collect_answers(table), {}};
    while (true) {
        const auto [entry, found] = find_next_verdict(table, context);
        if (entry == nullptr) {
            return;
        }
        const std::size_t further_runs =
            found.strength - std::min(found.strength, table.tuning.runs_to_condemn);
        entry->second.condemned_from = found.valid_from;
        entry->second.condemned_until = found.runs.back()->ended_at + verdict_length(table, further_runs);
        for (const ended_run& run : entry->second.runs) {
            context.explained.insert(incarnation_of(run));
        }
    }
}

void erase_suspect(crash_table& table, std::map<suspect_key, crash_suspect>::iterator position)
{
    const auto outline = table.outlines.find(position->first.request.outline);
    if (outline != table.outlines.end() && --outline->second == 0) {
        table.outlines.erase(outline);
    }
    table.suspects.erase(position);
}

// Makes room for a suspect: the one with the fewest runs goes, the oldest among these.
void evict_suspect(crash_table& table)
{
    const auto rank = [](const suspect_entry& entry) {
        return std::pair(entry.second.cleared ? 0 : entry.second.runs.size(), entry.second.changed_at);
    };
    const auto weakest = std::ranges::min_element(
        table.suspects, [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    erase_suspect(table, weakest);
}

crash_suspect& find_or_add(crash_table& table, const suspect_key& key)
{
    const auto found = table.suspects.find(key);
    if (found != table.suspects.end()) {
        return found->second;
    }
    if (table.suspects.size() >= table.tuning.max_suspects) {
        evict_suspect(table);
    }
    ++table.outlines[key.request.outline];
    return table.suspects[key];
}

// Whether the run, or that its failure domain is alive, is news. The stored times of a known run are replaced
// by earlier ones, which have fewer delays in them. Beyond the limit the first and the last runs are kept,
// which does not depend on the order of arrival.
bool add_run(const crash_tuning& tuning, crash_suspect& suspect, const ended_run& run)
{
    const auto stored = std::ranges::find_if(
        suspect.runs, [&](const ended_run& other) { return incarnation_of(other) == incarnation_of(run); });
    if (stored != suspect.runs.end()) {
        stored->sent_at = std::min(stored->sent_at, run.sent_at);
        stored->ended_at = std::min(stored->ended_at, run.ended_at);
        stored->version_answered_at = std::max(stored->version_answered_at, run.version_answered_at);
        const bool is_news = run.domain_alive && !stored->domain_alive;
        stored->domain_alive = stored->domain_alive || run.domain_alive;
        return is_news;
    }
    suspect.runs.push_back(run);
    std::ranges::sort(suspect.runs, {}, &ended_run::ended_at);
    if (suspect.runs.size() <= tuning.max_runs) {
        return true;
    }
    const auto middle = suspect.runs.begin() + static_cast<std::ptrdiff_t>(tuning.max_runs / 2);
    const bool is_dropped = incarnation_of(*middle) == incarnation_of(run);
    suspect.runs.erase(middle);
    return !is_dropped;
}

ended_run to_run(const crash_report::run& reported, time_point now)
{
    ended_run run = {reported.target, reported.born_ms, now - reported.sent_age, now - reported.ended_age};
    run.failure_domain = reported.failure_domain;
    run.domain_alive = reported.domain_alive;
    if (reported.version_answered_age != crash_report::unknown_age) {
        run.version_answered_at = now - reported.version_answered_age;
    }
    return run;
}

crash_report to_report(const suspect_entry& entry, time_point now)
{
    crash_report report{entry.first, entry.second.cleared, now - entry.second.last_seen, {}};
    for (const ended_run& run : entry.second.runs) {
        crash_report::run& reported = report.runs.emplace_back();
        reported = {run.target, run.born_ms, now - run.sent_at, now - run.ended_at};
        reported.failure_domain = run.failure_domain;
        reported.domain_alive = run.domain_alive;
        if (run.version_answered_at) {
            reported.version_answered_age = now - *run.version_answered_at;
        }
    }
    return report;
}

} // namespace

bool has_outline(const crash_table& table, std::uint64_t outline)
{
    return table.outlines.contains(outline);
}

bool on_run_ended(crash_table& table, const suspect_key& key, const ended_run& run, time_point now)
{
    crash_suspect& suspect = find_or_add(table, key);
    suspect.last_seen = std::max(suspect.last_seen, run.ended_at);
    if (!add_run(table.tuning, suspect, run)) {
        return false;
    }
    suspect.changed_at = now;
    // The end also belongs to a batch, which matters to the verdicts on others.
    const bool may_matter =
        needed_runs(table, key) == 1 || std::ranges::any_of(table.suspects, [&](const suspect_entry& entry) {
            return entry.second.runs.size() >= table.tuning.runs_to_condemn;
        });
    if (may_matter) {
        update_verdicts(table);
    }
    return true;
}

bool on_suspect_answered(crash_table& table, const suspect_key& key, time_point now)
{
    const auto found = table.suspects.find(key);
    if (found == table.suspects.end() || found->second.cleared) {
        return false;
    }
    found->second.cleared = true;
    found->second.changed_at = now;
    update_verdicts(table);
    return true;
}

void on_condemned_refused(crash_table& table, const request_identity& request, std::string_view service,
                          time_point now)
{
    for_each_version(table, request, service, [&](crash_suspect& suspect) { suspect.last_seen = now; });
}

bool on_crash_reports_received(crash_table& table, std::span<const crash_report> reports, time_point now)
{
    bool changed = false;
    for (const crash_report& report : reports) {
        if (report.last_seen_age > table.tuning.max_verdict) {
            continue;
        }
        crash_suspect& suspect = find_or_add(table, report.key);
        bool suspect_changed = report.cleared && !suspect.cleared;
        suspect.cleared = suspect.cleared || report.cleared;
        for (const crash_report::run& reported : report.runs) {
            suspect_changed = add_run(table.tuning, suspect, to_run(reported, now)) || suspect_changed;
        }
        const time_point seen = now - report.last_seen_age;
        if (seen > suspect.last_seen + min_time_difference || suspect.last_seen == time_point{}) {
            suspect.last_seen = seen;
        }
        if (suspect_changed) {
            suspect.changed_at = now;
            changed = true;
        }
    }
    if (changed) {
        update_verdicts(table);
    }
    return changed;
}

crash_standing standing_of(const crash_table& table, const suspect_key& key, time_point now)
{
    const auto found = table.suspects.find(key);
    if (found == table.suspects.end() || found->second.cleared) {
        return crash_standing::unknown;
    }
    const bool is_condemned = now >= found->second.condemned_from && now < found->second.condemned_until;
    return is_condemned ? crash_standing::condemned : crash_standing::suspected;
}

bool was_condemned(const crash_table& table, const request_identity& request, std::string_view service)
{
    bool condemned = false;
    for_each_version(table, request, service, [&](const crash_suspect& suspect) {
        condemned = condemned || suspect.condemned_until != time_point{};
    });
    return condemned;
}

bool is_suspected(const crash_table& table, const request_identity& request, std::string_view service)
{
    bool suspected = false;
    for_each_version(table, request, service,
                     [&](const crash_suspect& suspect) { suspected = suspected || !suspect.cleared; });
    return suspected;
}

duration condemned_for(const crash_table& table, const request_identity& request, std::string_view service,
                       time_point now)
{
    duration left{};
    for_each_version(table, request, service, [&](const crash_suspect& suspect) {
        left = std::max(left, suspect.condemned_until - now);
    });
    return left;
}

void forget_old_suspects(crash_table& table, time_point now)
{
    bool changed = false;
    for (auto position = table.suspects.begin(); position != table.suspects.end();) {
        const auto current = position++;
        const crash_suspect& suspect = current->second;
        const duration retention = suspect.condemned_until == time_point{} ? table.tuning.suspicion_retention
                                                                           : table.tuning.max_verdict;
        if (now - suspect.last_seen > retention) {
            erase_suspect(table, current);
            changed = true;
        }
    }
    if (changed) {
        update_verdicts(table);
    }
}

std::vector<crash_report> crash_reports(const crash_table& table, time_point since, std::size_t max_count,
                                        time_point now)
{
    std::vector<const suspect_entry*> changed;
    for (const suspect_entry& entry : table.suspects) {
        if (entry.second.changed_at > since) {
            changed.push_back(&entry);
        }
    }
    std::ranges::stable_sort(changed, [](const suspect_entry* a, const suspect_entry* b) {
        return a->second.runs.size() > b->second.runs.size();
    });
    changed.resize(std::min(changed.size(), max_count));
    std::vector<crash_report> reports;
    reports.reserve(changed.size());
    for (const suspect_entry* entry : changed) {
        reports.push_back(to_report(*entry, now));
    }
    return reports;
}

} // namespace camphorknot::steering
