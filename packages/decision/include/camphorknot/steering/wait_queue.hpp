/// @file
/// Queue of requests that wait for capacity at the targets of a service: admission and order.
///
/// Designed for a load that exceeds the capacity of the targets for a few seconds. An answer within its
/// latency objective is worth several late ones, so a request is refused on arrival if it would leave the
/// queue too late for its objective. Objects have their targets, and some are more in demand than others: a
/// request waits only behind those that wait for the same target, and a target that has room gets the first
/// of these.
#pragma once

#include <list>
#include <optional>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Limits of the queue.
struct wait_tuning {
    /// Fraction of its latency objective that a request may spend in the queue.
    double objective_fraction = 0.35;
    duration max_wait = std::chrono::milliseconds(800); ///< Limit for requests without an objective.
    std::size_t max_waiting = 256;                      ///< Requests in one queue.
    duration min_retry_after = std::chrono::milliseconds(200);
    duration max_retry_after = std::chrono::milliseconds(1500);
};

/// One waiting request.
struct waiting_request {
    std::uint64_t id = 0;
    int priority = 0;         ///< 0 is the most urgent.
    time_point objective{};   ///< Deadline of the latency objective.
    time_point refuse_at{};   ///< When the request is refused if it still waits.
    std::uint64_t target = 0; ///< Hash of the id of the target that it waits for; 0 for any target.
    // The following are set at services that several routes share, see admission_cost.hpp.
    int value_rank = 0;         ///< Higher ranks go first, whatever their priority.
    int fair_turn = 0;          ///< Among equal ranks, lower turns go first.
    std::uint64_t customer = 0; ///< Hash of its name; 0 if not counted.
    /// It leaves slots free for more urgent requests, so it is not in the way of a request that does not.
    bool yields = false;
};

/// Expected times at which room arises.
struct room_estimate {
    duration first{};    ///< Until there is room for one request.
    duration interval{}; ///< Between the room for further ones.
};

/// @return the estimate for requests that any target may serve, from the rate at which requests complete.
room_estimate room_from_rate(double completions_per_s);

/// Requests that wait for one service.
struct wait_queue {
    std::list<waiting_request> requests; ///< In the order of dispatch.
};

/// Whether a request is admitted, or the delay after which the caller should retry.
struct wait_decision {
    bool admitted = false;
    duration retry_after{};
    duration expected_wait{}; ///< Until there is room for the request, if it is admitted.
};

/// @return whether @p a is dispatched before @p b: by rank, turn, priority and the deadline of the objective.
bool precedes(const waiting_request& a, const waiting_request& b);

/// @return whether the two wait for the same target.
bool competes(const waiting_request& a, const waiting_request& b);

/// @return until there is room for the request and for those ahead of it.
duration expected_queue_time(const wait_queue& queue, const waiting_request& request,
                             const room_estimate& room);

/// @return whether @p request has to wait behind a more urgent one that waits for the same target.
bool must_wait_behind(const wait_queue& queue, const waiting_request& request);

/// Decides on admission and lowers request.refuse_at to the limit of the queue.
/// @param objective latency objective; zero if there is none.
/// @param room for the request alone; those ahead of it are added.
/// @param jitter number in [0, 1) that spreads the retries of refused callers.
wait_decision decide_wait(const wait_queue& queue, const wait_tuning& tuning, waiting_request& request,
                          time_point now, duration objective, const room_estimate& room, double jitter);

/// @return the first request in the queue that waits for the target with this hash or for any, or null.
const waiting_request* first_for_target(const wait_queue& queue, std::uint64_t target);

/// @return the first request that could use a slot at the target that others leave free, or null.
const waiting_request* first_unyielding_for_target(const wait_queue& queue, std::uint64_t target);

/// Inserts the request in the order of precedes.
void add_waiting(wait_queue& queue, const waiting_request& request);

void remove_waiting(wait_queue& queue, std::uint64_t id);

/// @return a retry delay after which the queue is likely to be shorter.
/// @param queue_time_s expected time until a newly queued request is dispatched.
duration retry_after_for(const wait_tuning& tuning, double queue_time_s, double jitter);

} // namespace camphorknot::steering
