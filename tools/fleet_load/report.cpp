#include "report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <sys/wait.h>

namespace fleet_load {
namespace {

constexpr double no_time = std::numeric_limits<double>::infinity();

double seconds_between(clock::time_point from, clock::time_point to)
{
    return seconds(to - from).count();
}

// A planned event and the time from it to the end of a request, in seconds.
struct moment {
    const char* name = "none";
    double offset_s = no_time;
};

void take_nearer(moment& nearest, const char* name, clock::time_point event, clock::time_point at)
{
    const double offset_s = seconds_between(event, at);
    if (offset_s >= 0 && offset_s < nearest.offset_s) {
        nearest = {name, offset_s};
    }
}

// The stop of the process if there is one, otherwise the last event before the end of the request.
moment nearest_moment(const run_state& run, const attempt_record& attempt)
{
    const instance_process& instance = run.fleet.instances.at(attempt.instance);
    moment nearest;
    const clock::time_point stop_sent = life_of(run, attempt).stop_sent;
    if (stop_sent != clock::time_point{} && stop_sent <= attempt.ended) {
        return {"stop", seconds_between(stop_sent, attempt.ended)};
    }
    for (const clock::time_point at : instance.reloads) {
        take_nearer(nearest, "reload", at, attempt.ended);
    }
    for (const clock::time_point at : run.fleet.configurations) {
        take_nearer(nearest, "configuration", at, attempt.ended);
    }
    for (const stall& each : instance.stalls) {
        take_nearer(nearest, "stall", each.from, attempt.ended);
    }
    return nearest;
}

std::string offset_text(const char* name, double offset_s)
{
    std::array<char, 60> text{};
    std::snprintf(text.data(), text.size(), " %s%+.3fs", name, offset_s);
    return text.data();
}

std::string route_of(const run_state& run, const attempt_record& attempt)
{
    return attempt.added_route ? "added" : run.fleet.services.at(attempt.service).name;
}

std::string runs_text(const run_state& run, const attempt_record& attempt)
{
    std::string text;
    for (const server_run& at_server : runs_of(run, attempt)) {
        const char* end = at_server.end == run_end::answered ? "answered"
                          : at_server.end == run_end::left   ? "connection closed"
                                                             : "working";
        text += " ran at " + at_server.server + " (" + end +
                offset_text("began", seconds_between(attempt.ended, at_server.began));
        if (at_server.end != run_end::working) {
            text += offset_text("ended", seconds_between(attempt.ended, at_server.ended));
        }
        text += ")";
    }
    return text.empty() ? " did not run" : text;
}

// The longest time by which this program was late between the request's last byte and its end.
double observer_delay_s(const run_state& run, const attempt_record& attempt)
{
    double longest = 0;
    for (const stall& delay : run.observer_delays) {
        if (delay.to >= attempt.sent && delay.from <= attempt.ended) {
            longest = std::max(longest, seconds_between(delay.from, delay.to));
        }
    }
    return longest;
}

void print_finding(const run_state& run, const finding& found)
{
    const attempt_record& attempt = *found.attempt;
    const process_life& life = life_of(run, attempt);
    const moment nearest = nearest_moment(run, attempt);
    std::string text = "  " + found.clauses + " " + run.fleet.instances.at(attempt.instance).name +
                       offset_text("at", seconds_between(run.started, attempt.ended)) +
                       offset_text(nearest.name, nearest.offset_s);
    if (life.stop_sent != clock::time_point{} && life.ended != clock::time_point{}) {
        text += offset_text("process_end", seconds_between(life.ended, attempt.ended));
    }
    text += " " + route_of(run, attempt) + " " + attempt.id + (attempt.kept ? " kept" : " new") +
            (attempt.chunked ? " chunked" : "") +
            offset_text("sent", seconds_between(attempt.ended, attempt.sent));
    text += attempt.last_byte == clock::time_point{}
                ? std::string(" incomplete")
                : offset_text("last_byte_to_end", seconds_between(attempt.last_byte, attempt.ended));
    text +=
        offset_text("time_left", seconds_between(attempt.ended, attempt.deadline)) + runs_text(run, attempt);
    if (attempt.status != 0) {
        text += " status " + std::to_string(attempt.status);
    }
    const double delay_s = observer_delay_s(run, attempt);
    if (delay_s > 0) {
        text += offset_text("observer_late", delay_s);
    }
    std::printf("%s %s\n", text.c_str(), attempt.error.c_str());
}

void print_findings(const run_state& run, const std::vector<finding>& findings, const char* title,
                    auto filter)
{
    constexpr int max_printed = 40;
    const auto count = std::ranges::count_if(findings, filter);
    if (count == 0) {
        return;
    }
    std::printf("%s: %td\n", title, count);
    int printed = 0;
    for (const finding& found : findings) {
        if (filter(found) && printed++ < max_printed) {
            print_finding(run, found);
        }
    }
}

void print_counts(const char* title, const std::map<std::string, int>& counts)
{
    std::printf("%s:", title);
    for (const auto& [name, count] : counts) {
        std::printf(" %s %d,", name.c_str(), count);
    }
    std::printf("\n");
}

void print_summaries(const run_state& run, const std::vector<finding>& findings)
{
    std::map<std::string, int> by_clause;
    std::map<std::string, int> by_instance;
    std::map<std::string, int> by_moment;
    std::map<std::string, int> by_route;
    for (const finding& found : findings) {
        if (!is_judged(found)) {
            continue;
        }
        for (const char clause : found.clauses) {
            ++by_clause[std::string(1, clause) + (found.beside_stall ? " beside a stall" : "")];
        }
        const moment nearest = nearest_moment(run, *found.attempt);
        std::array<char, 60> bucket{};
        std::snprintf(bucket.data(), bucket.size(), "%s%+.0fs", nearest.name, std::floor(nearest.offset_s));
        ++by_instance[run.fleet.instances.at(found.attempt->instance).name];
        ++by_moment[bucket.data()];
        ++by_route[route_of(run, *found.attempt)];
    }
    print_counts("by clause", by_clause);
    print_counts("by instance", by_instance);
    print_counts("by moment (whole seconds from the event)", by_moment);
    print_counts("by route", by_route);
}

void print_traffic(const run_state& run)
{
    std::map<std::string, int> results;
    for (const attempt_record& attempt : run.callers.attempts) {
        switch (attempt.end) {
        case attempt_end::answered:
            ++results[std::to_string(attempt.status) + (attempt.is_signed ? "" : " unsigned")];
            break;
        case attempt_end::cut:
            ++results[runs_of(run, attempt).empty() ? "cut before it ran" : "cut after it began to run"];
            break;
        case attempt_end::gave_up:
            ++results["given up at the deadline"];
            break;
        default:
            ++results["unreached"];
        }
    }
    const auto kept = std::ranges::count_if(run.callers.attempts, &attempt_record::kept);
    std::printf("%llu requests, %llu served, %zu attempts, %td on kept connections\n",
                static_cast<unsigned long long>(run.callers.requests),
                static_cast<unsigned long long>(run.callers.served), run.callers.attempts.size(), kept);
    print_counts("attempts", results);
    print_counts("events", run.events);
    double longest_stop_s = 0;
    for (const instance_process& instance : run.fleet.instances) {
        for (const process_life& life : instance.lives) {
            if (life.stop_sent != clock::time_point{} && life.ended != clock::time_point{}) {
                longest_stop_s = std::max(longest_stop_s, seconds_between(life.stop_sent, life.ended));
            }
        }
    }
    double longest_delay_s = 0;
    for (const stall& delay : run.observer_delays) {
        longest_delay_s = std::max(longest_delay_s, seconds_between(delay.from, delay.to));
    }
    std::printf("longest stop %.2f s; this program ran late %zu times, at most %.3f s\n", longest_stop_s,
                run.observer_delays.size(), longest_delay_s);
}

void print_ends(const run_state& run, const std::vector<unexpected_end>& ends)
{
    if (!ends.empty()) {
        std::printf("d: processes that ended by themselves: %zu\n", ends.size());
    }
    for (const unexpected_end& each : ends) {
        const bool signaled = WIFSIGNALED(each.status);
        std::printf("  d %s at %.3f s: %s %d\n", each.instance.c_str(), seconds_between(run.started, each.at),
                    signaled ? "signal" : "exit code",
                    signaled ? WTERMSIG(each.status) : WEXITSTATUS(each.status));
    }
}

} // namespace

bool print_report(const run_state& run)
{
    const std::vector<finding> findings = judge_attempts(run);
    const std::vector<unexpected_end> ends = find_unexpected_ends(run);
    print_traffic(run);
    print_findings(run, findings, "broken, no stall of the instance near",
                   [&](const finding& found) { return is_judged(found) && !found.beside_stall; });
    print_findings(run, findings, "broken during a stall of the instance or up to 0.5 s after it",
                   [&](const finding& found) { return is_judged(found) && found.beside_stall; });
    print_findings(run, findings, "not judged: cut on a new connection, without planned work near",
                   [](const finding& found) { return found.clauses == "o"; });
    print_findings(run, findings, "not judged: did not run, and this program was late itself",
                   [](const finding& found) { return found.clauses == "l"; });
    print_findings(run, findings, "not judged: other answers 502 and 504 of the instances",
                   [](const finding& found) { return found.clauses == "p"; });
    print_ends(run, ends);
    if (std::ranges::any_of(findings, is_judged)) {
        print_summaries(run, findings);
    }
    return ends.empty() && std::ranges::none_of(findings, is_judged);
}

} // namespace fleet_load
