/// @file
/// What the delay or refusal of a request costs its caller, and whether a request waits, displaces a waiting
/// one or is refused, at services that several routes share.
///
/// Designed for a load above the capacity, of short urgent and long less urgent requests: the slots go to the
/// requests that are worth most for the time that they take. One customer with a multiple of its usual load,
/// and retries of refused requests, are part of that load.
#pragma once

#include "camphorknot/steering/route_demand.hpp"

namespace camphorknot::steering {

struct admission_tuning {
    double priority_factor = 2; ///< Value of a request relative to one of the next lower priority.
    double late_value = 0.2;    ///< Value of an answer after its objective, relative to one within it.
    /// Value of a request that was refused and returned when it was told to. A second refusal costs most, but
    /// a return does not lift a request above the next priority.
    double return_factor = 1.9;
    /// Steps of the rank per doubling of the value. Requests of nearly equal value are ordered by objective.
    double steps_per_doubling = 2;
    /// Fraction of the expected work below which no answer is expected in time. The estimate may be too high,
    /// and only requests that are sent correct it.
    double certain_work_fraction = 0.6;
    /// Largest fraction of a request's whole time that is taken for certain work, so that an estimate that is
    /// too high does not refuse every request of a route.
    double max_certain_fraction = 0.5;
};

/// The properties of a request that determine its value.
struct admission_request {
    int priority = 0;         ///< 0 is the most urgent.
    bool is_returned = false; ///< It was refused before and returned at the time that it was told.
    time_point objective = time_point::max(); ///< Deadline of the latency objective.
    time_point deadline{};                    ///< For the answer.
    duration work{};                          ///< Expected service time.
    /// Longest work of it and of more urgent routes of the service. Measured by this, no request is worth
    /// more than a more urgent one for its length alone.
    duration ranked_work{};
    route_standing standing = route_standing::ordinary;
};

/// @return what an answer at @p answered is worth, relative to one in time of priority 0; 0 after the
/// deadline. The cost of a delay is the difference between two times, that of a refusal the whole value.
double answer_value(const admission_tuning& tuning, const admission_request& request, time_point answered);

/// @return the rank of the value of a slot second that the request uses, for waiting_request::value_rank.
int value_rank(const admission_tuning& tuning, const admission_request& request, time_point now);

/// @param whole_time of the request, from its arrival to its deadline.
/// @return whether an answer within the deadline is possible.
bool can_meet_deadline(const admission_tuning& tuning, const admission_request& request, duration whole_time,
                       time_point now);

/// The last time at which the request is worth sending: while it can still be answered within its objective,
/// or within its deadline if it has returned.
/// @param objective latency objective; zero if there is none.
time_point latest_start(const admission_tuning& tuning, const wait_tuning& waiting,
                        const admission_request& request, duration objective, time_point now);

/// @param weight of the customer relative to the mean; 1 without a rate.
/// @return waiting_request::fair_turn of a further request of the customer: requests of the same value take
/// turns by customer.
int fair_turn(const wait_queue& queue, std::uint64_t customer, double weight);

/// A decision with the waiting request that is refused in favour of the new one.
struct admission_decision {
    wait_decision wait; ///< The expected wait is also set if the request is refused.
    std::optional<std::uint64_t> displaced{};
};

/// Decides whether @p request waits. request.refuse_at is its limit.
/// @param room as for decide_wait.
/// @param jitter number in [0, 1).
admission_decision decide_admission(const wait_queue& queue, const wait_tuning& tuning,
                                    const waiting_request& request, time_point now, const room_estimate& room,
                                    double jitter);

/// Until a target has room for a request that leaves @p reserved slots free.
/// @param work mean service time at the target.
room_estimate room_beside_reserve(const target_state& target, double reserved, duration work);

/// Probability with which a waiting request takes a slot that is free by the reports of other instances.
/// Those are up to 1.3 s old and all instances have the same ones: together they are to take as many slots as
/// are free.
double claim_probability(const target_state& target);

} // namespace camphorknot::steering
