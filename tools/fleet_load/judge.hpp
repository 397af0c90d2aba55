/// @file
/// Judgement of a run by what callers and servers saw.
#pragma once

#include "run.hpp"

namespace fleet_load {

/// A request that ended without an answer, or with an answer in place of its server's.
struct finding {
    /// Letters of the clauses:
    /// a: ran at a server, on a kept connection that closed without an answer, at any time;
    /// b: sent as a whole around a stop, a reload or a configuration, and ended without a complete answer
    ///    after it began to run, or over 0.2 s after its last byte;
    /// c: after SIGTERM, answered 502 or 504 by the instance while a server was at work on it;
    /// o: ran and ended without an answer on a new connection, at any other time; not judged;
    /// l: did not run, and ended over 0.2 s after its last byte only because this program was late; not
    /// judged; p: answered 502 or 504 by the instance in any other way; not judged.
    std::string clauses;
    const attempt_record* attempt = nullptr;
    bool beside_stall = false; ///< During a stall of the instance or up to 0.5 s after it.
};

/// A process that ended without a signal of this program, or not cleanly after SIGTERM.
struct unexpected_end {
    std::string instance;
    clock::time_point at{};
    int status = 0; ///< As waitpid reports it.
};

/// @return whether the finding breaks a rule.
bool is_judged(const finding& found);

std::vector<finding> judge_attempts(const run_state& run);
std::vector<unexpected_end> find_unexpected_ends(const run_state& run);

/// @return the life of the instance's process to which the request was sent.
const process_life& life_of(const run_state& run, const attempt_record& attempt);

/// @return the runs of an attempt at servers.
std::vector<server_run> runs_of(const run_state& run, const attempt_record& attempt);

} // namespace fleet_load
