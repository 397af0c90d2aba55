#include "checks.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

#include "announcements.hpp"

namespace soak {

void report_violation(run_state& run, const std::string& rule, const std::string& detail)
{
    if (!run.known_red.empty() && rule == run.known_red) {
        std::printf("known red, passed over: %s: %s\n", rule.c_str(), detail.c_str());
        return;
    }
    run.violations.push_back(rule + ": " + detail);
}

bool is_at(std::span<const run_state::instance_interval> intervals, const std::string& instance,
           clock::time_point from, clock::time_point to)
{
    return std::ranges::any_of(intervals, [&](const run_state::instance_interval& interval) {
        return interval.instance == instance && interval.from <= to && interval.to > from;
    });
}

namespace {

// Maximum time until a change is in force on all instances that can reach the store.
constexpr auto max_apply_time = 3s;
// Minimum fraction of requests that must be served once the recovery time after the last fault is over.
constexpr double min_recovered_fraction = 0.95;
// Time after which all instances know of a request that ends its servers, and sends of it after that.
constexpr auto spread_time = 3s;
constexpr std::ptrdiff_t max_later_fatal_sends = 3;

// Whether no fault was active between `from`, less `stabilization_time`, and `to`.
bool was_stable(const run_state& run, clock::time_point from, clock::time_point to)
{
    return std::ranges::none_of(run.unstable, [&](const auto& span) {
        return span.first < to && span.second + stabilization_time > from;
    });
}

void check_answers(run_state& run)
{
    std::map<std::string, std::size_t> executions;
    for (server_process& server : run.fleet.servers) {
        for (const standins::received_request& request : standins::received_requests(*server.server)) {
            executions[request.attempt] += request.ran ? 1 : 0;
            if (!request.authorization.empty()) {
                report_violation(run, "key passed on", request.attempt);
            }
            if (request.expected != server.id) {
                report_violation(run, "wrong server meant",
                                 request.attempt + " " + request.expected + " at " + server.id);
            }
        }
    }
    for (const request_result& result : run.callers.results) {
        const std::size_t count = executions[result.attempt];
        const bool claims_not_run =
            result.status == 503 || result.status == 429 || result.status == 408 || result.status == 421;
        if (result.unsafe && count > 1) {
            report_violation(run, "at most once",
                             result.attempt + " ran " + std::to_string(count) + " times");
        }
        if (claims_not_run && count > 0) {
            report_violation(run, "true refusal",
                             result.attempt + " has run, answered " + std::to_string(result.status));
        }
        if (result.condemned) {
            report_violation(run, "innocent request", result.attempt + " at " + result.instance);
        }
        if (result.status / 100 == 2 && !result.has_valid_signature) {
            report_violation(run, "whole answer",
                             result.attempt + " from " + result.instance + ": " +
                                 std::to_string(result.status) + " " + result.unproved_answer);
        }
        if (result.status == 404 || (result.status == 401 && result.key_number == 0)) {
            report_violation(run, "denied",
                             result.attempt + " " + std::to_string(result.status) + " at " + result.instance);
        }
    }
}

// A request that ends its servers reaches few of them once each instance has had the time to learn of the
// third end. Instances that started, were suspended or lost their links may still send it.
void check_fatal_sends(run_state& run)
{
    std::vector<clock::time_point> arrivals;
    for (server_process& server : run.fleet.servers) {
        for (const standins::received_request& request : standins::received_requests(*server.server)) {
            if (request.target.ends_with(fatal_path)) {
                arrivals.push_back(request.at);
            }
        }
    }
    std::ranges::sort(arrivals);
    if (arrivals.size() < 3) {
        return;
    }
    const auto from = arrivals.at(2) + 100ms + spread_time;
    const auto later = std::ranges::count_if(
        arrivals, [&](auto at) { return at > from && was_stable(run, at - spread_time, at); });
    if (later > max_later_fatal_sends) {
        report_violation(run, "fatal request",
                         std::to_string(later) + " sends later than 3 s after the third, " +
                             std::to_string(arrivals.size()) + " in all");
    }
}

// Whether the instance was running undisturbed and had reached the store for a while.
bool is_in_touch(const run_state& run, const request_result& result)
{
    return !is_at(run.disturbed, result.instance, result.sent, result.ended) &&
           !is_at(run.without_store, result.instance, result.sent, result.ended);
}

struct tally {
    double asked = 0;
    double served = 0;
};

// An instance that is cut off from all servers serves its callers, by way of the others.
void check_cuts(run_state& run)
{
    constexpr double min_ratio = 2.0 / 3;
    constexpr double max_failed = 10;
    constexpr double max_failed_share = 0.02;
    for (const run_state::instance_interval& cut : run.cuts) {
        tally at_cut;
        tally elsewhere;
        for (const request_result& result : run.callers.results) {
            const bool is_in_time = result.sent >= cut.from + spread_time && result.sent < cut.to;
            if (!is_in_time || !result.connected || result.status == 429 || !is_in_touch(run, result)) {
                continue;
            }
            const bool is_cut = is_at(run.cuts, result.instance, result.sent, result.sent);
            if (!is_cut || result.instance == cut.instance) {
                tally& counted = is_cut ? at_cut : elsewhere;
                ++counted.asked;
                counted.served += result.status / 100 == 2 ? 1 : 0;
            }
        }
        const double failed = at_cut.asked - at_cut.served;
        const double allowed = max_failed + max_failed_share * (at_cut.asked + elsewhere.asked);
        run.faults["cut judged"] += at_cut.asked > allowed ? 1 : 0;
        const bool is_worse = at_cut.served * elsewhere.asked < min_ratio * elsewhere.served * at_cut.asked;
        if (is_worse && failed > allowed) {
            report_violation(run, "cut instance",
                             cut.instance + " served " + std::to_string(at_cut.served) + " of " +
                                 std::to_string(at_cut.asked) + ", the others " +
                                 std::to_string(elsewhere.served) + " of " + std::to_string(elsewhere.asked));
        }
    }
}

void check_revocations(run_state& run)
{
    for (const auto& [at, number] : run.revoked) {
        for (const request_result& result : run.callers.results) {
            const bool late = result.key_number == number && result.sent > at + max_apply_time;
            if (late && result.status / 100 == 2 && was_stable(run, at, result.ended)) {
                report_violation(run, "withdrawn key", result.attempt + " at " + result.instance);
            }
        }
    }
}

// A process never goes back to an older configuration: once it has refused a withdrawn key, it must not serve
// that key again.
void check_versions(run_state& run)
{
    std::map<std::pair<pid_t, int>, clock::time_point> refused;
    std::vector<request_result> sorted = run.callers.results;
    std::ranges::sort(sorted, [](const auto& a, const auto& b) { return a.ended < b.ended; });
    for (const request_result& result : sorted) {
        if (result.key_number == 0) {
            continue;
        }
        const auto key = std::pair(result.pid, result.key_number);
        const bool withdrawn = std::ranges::any_of(run.revoked, [&](const auto& revocation) {
            return revocation.second == result.key_number && result.sent > revocation.first;
        });
        if (result.status == 401 && withdrawn) {
            refused.try_emplace(key, result.ended);
        }
        if (result.status / 100 == 2 && refused.contains(key) && result.sent > refused[key]) {
            report_violation(run, "configuration went back", result.attempt + " at " + result.instance);
        }
    }
}

void check_rate(run_state& run)
{
    constexpr double window_s = 5;
    std::vector<clock::time_point> served_times;
    for (const request_result& result : run.callers.results) {
        if (result.key_number != 0 && result.status / 100 == 2) {
            served_times.push_back(result.sent);
        }
    }
    std::ranges::sort(served_times);
    const double allowed = (customer_rate * window_s + customer_burst) * 1.1 + 20;
    for (std::size_t first = 0, last = 0; last < served_times.size(); ++last) {
        while (served_times.at(last) - served_times.at(first) > seconds(window_s)) {
            ++first;
        }
        if (static_cast<double>(last - first + 1) > allowed) {
            report_violation(run, "rate", std::to_string(last - first + 1) + " in 5 s");
            return;
        }
    }
}

// A process that received SIGTERM completes the requests that it has read; only a kill or a suspension may
// cut a request off.
void check_graceful_stops(run_state& run)
{
    for (const request_result& result : run.callers.results) {
        const bool cut = result.connected && result.status == 0 && result.ended - result.sent < 2900ms;
        if (!cut || run.killed.contains(result.pid) || !was_stable(run, result.sent - 1s, result.ended)) {
            continue;
        }
        report_violation(run, "cut request", result.attempt + " at " + result.instance);
    }
}

// After the last fault, both customers are served again. The limited one is served up to its rate; above it,
// only refusals for the rate (429) are allowed.
void check_recovery(run_state& run, clock::time_point faults_ended)
{
    struct recovery_tally {
        std::size_t attempts = 0;
        std::size_t served = 0;
        std::size_t over_rate = 0;
    };
    std::array<recovery_tally, 2> tallies;
    const auto from = faults_ended + recovery_time;
    auto to = from;
    for (const request_result& result : run.callers.results) {
        if (result.sent > from) {
            recovery_tally& customer = tallies.at(result.key_number == 0 ? 0 : 1);
            ++customer.attempts;
            customer.served += result.status / 100 == 2 ? 1 : 0;
            customer.over_rate += result.status == 429 ? 1 : 0;
            to = std::max(to, result.sent);
        }
    }
    const double allowed_by_rate = customer_rate * seconds(to - from).count();
    for (const recovery_tally& customer : tallies) {
        const bool limited = &customer == &tallies.back();
        const auto attempts = static_cast<double>(customer.attempts);
        const double expected_served = limited ? std::min(attempts, allowed_by_rate) : attempts;
        const std::size_t lost = customer.attempts - customer.served - (limited ? customer.over_rate : 0);
        if (customer.attempts < 20 ||
            static_cast<double>(customer.served) < expected_served * min_recovered_fraction ||
            static_cast<double>(lost) > attempts * (1 - min_recovered_fraction)) {
            report_violation(run, limited ? "recovery, limited customer" : "recovery",
                             std::to_string(customer.served) + " of " + std::to_string(customer.attempts) +
                                 " served, " + std::to_string(customer.over_rate) + " over the rate");
        }
    }
}

} // namespace

void check_run(run_state& run, clock::time_point faults_ended)
{
    check_answers(run);
    check_fatal_sends(run);
    check_cuts(run);
    check_revocations(run);
    check_versions(run);
    check_rate(run);
    check_graceful_stops(run);
    check_recovery(run, faults_ended);
    check_announcements(run);
}

} // namespace soak
