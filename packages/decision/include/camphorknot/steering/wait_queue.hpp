/// @file
/// Requests that wait for room at the targets of a service: who is admitted to the queue and who leaves it
/// first.
///
/// Answers the pattern of a load above the targets' capacity for a few seconds: an answer within its
/// objective is worth several late ones, so a request is refused on arrival if its turn would come too late
/// for that.
#pragma once

#include <list>
#include <optional>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Limits of waiting.
struct wait_tuning {
    /// Part of its objective that a request may spend in the queue.
    double objective_fraction = 0.35;
    duration max_wait = std::chrono::milliseconds(800); ///< For requests without an objective.
    std::size_t max_waiting = 256;                      ///< In one queue.
    duration min_retry_after = std::chrono::milliseconds(200);
    duration max_retry_after = std::chrono::milliseconds(1500);
};

/// One waiting request.
struct waiting_request {
    std::uint64_t id = 0;
    int priority = 0;       ///< 0 first.
    time_point objective{}; ///< By when an answer has its full value.
    time_point refuse_at{}; ///< When it is refused.
};

struct wait_queue {
    std::list<waiting_request> requests; ///< In the order in which they leave.
};

/// Whether a request may wait, or when to come back.
struct wait_decision {
    bool admitted = false;
    duration retry_after{};
};

/// @param arrived when the request came. @param objective time in which an answer has its full value.
/// @param completions_per_s at which this instance's requests leave the targets.
/// @param jitter number in [0, 1) that spreads the return of refused callers.
wait_decision decide_wait(const wait_queue& queue, const wait_tuning& tuning, waiting_request& request,
                          time_point now, duration objective, double completions_per_s, double jitter);

/// Puts the request behind those that go first: more urgent ones, then those with an earlier objective.
void add_waiting(wait_queue& queue, const waiting_request& request);

void remove_waiting(wait_queue& queue, std::uint64_t id);

/// @return a time to come back after at which the queue is likely to be shorter.
duration retry_after_for(const wait_tuning& tuning, double queue_time_s, double jitter);

} // namespace camphorknot::steering
