#include "judge.hpp"

#include <algorithm>
#include <csignal>
#include <sys/wait.h>

namespace fleet_load {

using namespace std::chrono_literals;

namespace {

constexpr auto loss_slack = 200ms;
// Between the caller's clock and that of the instance.
constexpr auto deadline_slack = 100ms;
constexpr clock::time_point never{};

bool is_within(clock::time_point at, clock::time_point from, clock::duration length)
{
    return from != never && at >= from && at <= from + length;
}

bool is_around_planned_work(const run_state& run, const attempt_record& attempt)
{
    const instance_process& instance = run.fleet.instances.at(attempt.instance);
    if (is_within(attempt.ended, life_of(run, attempt).stop_sent, grace + 1s)) {
        return true;
    }
    const bool reloaded = std::ranges::any_of(instance.reloads, [&](clock::time_point at) {
        return attempt.sent <= at + config_apply && attempt.ended >= at;
    });
    return reloaded || std::ranges::any_of(run.fleet.configurations, [&](clock::time_point at) {
               return is_within(attempt.ended, at, config_apply + 1s);
           });
}

// The route's timeout is as long as the callers' deadline.
bool is_deadline_reached(const attempt_record& attempt)
{
    return attempt.ended >= attempt.deadline - deadline_slack;
}

// Whether a server was at work on the request when it ended.
bool is_at_work(const run_state& run, const attempt_record& attempt)
{
    const std::vector<server_run> runs = runs_of(run, attempt);
    return std::ranges::any_of(runs, [&](const server_run& at_server) {
        return at_server.end == run_end::working ||
               (at_server.end == run_end::left && at_server.ended >= attempt.ended - loss_slack);
    });
}

// The end of a stop, at which requests from its beginning may be broken off.
bool is_end_of_stop(const run_state& run, const attempt_record& attempt)
{
    const clock::time_point stop_sent = life_of(run, attempt).stop_sent;
    return stop_sent != never && attempt.sent <= stop_sent + 3s &&
           attempt.ended >= stop_sent + grace * 5 / 6 && is_at_work(run, attempt);
}

// Time by which this program ran late after the request's last byte.
clock::duration observer_delay(const run_state& run, const attempt_record& attempt)
{
    clock::duration total{};
    for (const stall& delay : run.observer_delays) {
        const auto from = std::max(delay.from, attempt.last_byte);
        const auto to = std::min(delay.to, attempt.ended);
        total += std::max(to - from, clock::duration{});
    }
    return total;
}

std::string clauses_of_cut(const run_state& run, const attempt_record& attempt)
{
    std::string clauses;
    const bool ran = !runs_of(run, attempt).empty();
    if (ran && attempt.kept) {
        clauses += 'a';
    }
    const bool is_whole = attempt.last_byte != never;
    const bool is_judged_time =
        is_whole && is_around_planned_work(run, attempt) && !is_end_of_stop(run, attempt);
    const auto waited = attempt.ended - attempt.last_byte;
    if (is_judged_time && (ran || waited - observer_delay(run, attempt) > loss_slack)) {
        clauses += 'b';
    } else if (is_judged_time && waited > loss_slack) {
        clauses += 'l';
    }
    return clauses.empty() && ran ? "o" : clauses;
}

std::string clauses_of_answer(const run_state& run, const attempt_record& attempt)
{
    const clock::time_point stop_sent = life_of(run, attempt).stop_sent;
    if ((attempt.status != 502 && attempt.status != 504) || attempt.is_signed) {
        return {};
    }
    const bool is_broken_off = stop_sent != never && attempt.ended >= stop_sent && is_at_work(run, attempt) &&
                               !is_deadline_reached(attempt) && !is_end_of_stop(run, attempt);
    return is_broken_off ? "c" : "p";
}

std::string clauses_of(const run_state& run, const attempt_record& attempt)
{
    if (attempt.end == attempt_end::cut) {
        return is_deadline_reached(attempt) ? std::string() : clauses_of_cut(run, attempt);
    }
    return attempt.end == attempt_end::answered ? clauses_of_answer(run, attempt) : std::string();
}

bool is_beside_stall(const run_state& run, const attempt_record& attempt)
{
    return std::ranges::any_of(run.fleet.instances.at(attempt.instance).stalls, [&](const stall& each) {
        return attempt.ended >= each.from && attempt.ended <= each.to + 500ms;
    });
}

} // namespace

const process_life& life_of(const run_state& run, const attempt_record& attempt)
{
    const std::vector<process_life>& lives = run.fleet.instances.at(attempt.instance).lives;
    const auto later =
        std::ranges::find_if(lives, [&](const process_life& life) { return life.started > attempt.sent; });
    return later == lives.begin() ? lives.front() : *(later - 1);
}

std::vector<server_run> runs_of(const run_state& run, const attempt_record& attempt)
{
    const auto found = run.fleet.runs.find(attempt.id);
    return found == run.fleet.runs.end() ? std::vector<server_run>() : found->second;
}

bool is_judged(const finding& found)
{
    return found.clauses != "o" && found.clauses != "p" && found.clauses != "l";
}

std::vector<finding> judge_attempts(const run_state& run)
{
    std::vector<finding> findings;
    for (const attempt_record& attempt : run.callers.attempts) {
        const std::string clauses = clauses_of(run, attempt);
        if (!clauses.empty()) {
            findings.push_back({clauses, &attempt, is_beside_stall(run, attempt)});
        }
    }
    return findings;
}

std::vector<unexpected_end> find_unexpected_ends(const run_state& run)
{
    std::vector<unexpected_end> ends;
    for (const instance_process& instance : run.fleet.instances) {
        for (const process_life& life : instance.lives) {
            if (life.ended == never || life.killed != never) {
                continue;
            }
            // A process that has not installed its handlers yet ends with the signal.
            const bool is_clean = (WIFEXITED(life.status) && WEXITSTATUS(life.status) == 0) ||
                                  (WIFSIGNALED(life.status) && WTERMSIG(life.status) == SIGTERM);
            if (life.stop_sent == never || !is_clean) {
                ends.push_back({instance.name, life.ended, life.status});
            }
        }
    }
    return ends;
}

} // namespace fleet_load
