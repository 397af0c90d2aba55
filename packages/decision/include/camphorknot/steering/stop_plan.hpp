/// @file
/// What a stopping instance may still send: a request at a target when the process ends would be lost, and
/// one that must not run twice could not be repeated by its caller.
#pragma once

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Times of a stop, from the signal to the end of the process. All lie within the stop time.
struct stop_plan {
    time_point began_at{};
    /// Requests whose first byte comes later are refused. The listening sockets are closed from then on, once
    /// no request is in progress.
    time_point take_until{};
    time_point close_idle_at{}; ///< Connections without a request are closed.
    time_point accept_until{};  ///< The listening sockets are closed in any case.
    time_point answer_by{};     ///< Requests without an answer get one of the instance's own.
    time_point end_at{};        ///< The process ends, also if an answer is not written.
};

/// @param began_at time of the stop signal.
/// @param stop_time time from the signal to the forced end of the process.
/// @return the times of the stop.
stop_plan make_stop_plan(time_point began_at, duration stop_time);

/// Longest recent service time on a route.
struct longest_answer {
    duration longest{}; ///< Zero without an answer.
    time_point at{};    ///< When it was measured.
};

/// Stores the service time of an answer, or the time for which an answer was awaited in vain. A long time is
/// replaced by shorter ones after a minute.
void on_service_time(longest_answer& known, duration service_time, time_point now);

/// A send that is to be decided on.
struct stop_send {
    time_point deadline{};   ///< Of the caller or of the route, whichever is first.
    bool may_repeat = false; ///< The caller may repeat the request.
    duration queue_wait{};   ///< Expected in the target's queue.
    duration expected{};     ///< Service time if it is known to exceed that of usual answers, else zero.
    longest_answer on_route; ///< Of the request's route.
};

/// @return the last time at which the request may be sent: it is answered or reaches its deadline before
/// stop_plan::answer_by. If nothing is known of its route, it may be sent as long as requests are taken.
time_point latest_send(const stop_plan& plan, const stop_send& send);

} // namespace camphorknot::steering
