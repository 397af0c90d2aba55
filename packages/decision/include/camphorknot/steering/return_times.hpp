/// @file
/// Times at which refused callers were told to retry, and recognition of those that do.
///
/// Designed for a crowd that is refused within a short time. Told the same delay, it returns at the same time
/// and is refused again, which costs callers most, since they retry once.
#pragma once

#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

struct return_tuning {
    duration interval = std::chrono::milliseconds(50); ///< Steps in which times are searched.
    duration min_delay = std::chrono::milliseconds(200);
    /// Fraction of the time that a caller has left up to which it honours a delay.
    double max_fraction = 1.0 / 3;
    /// Fraction of the room that is promised; the rest is for first attempts of more urgent requests.
    double promised_fraction = 0.7;
    duration early_margin = std::chrono::milliseconds(30); ///< A return is in time from this time before it,
    duration late_margin = std::chrono::milliseconds(500); ///< until this time after it.
    std::size_t max_promises = 512;                        ///< Further refusals are not recorded.
};

/// A caller that was told to retry.
struct return_promise {
    std::uint64_t request = 0; ///< Hash of what identifies the request.
    time_point at{};
};

/// Promises of one instance for one service, in the order of their times.
struct return_ledger {
    std::vector<return_promise> promises{};
};

/// Room at a service for requests that return.
struct return_room {
    duration first{}; ///< Until the requests that wait now have left the queue.
    double per_s = 0; ///< Requests that this instance sends per second.
};

/// Finds the first time at which there is room beside the callers that were told to return by then, and
/// records it.
/// @param time_left of the caller, until its deadline.
/// @param jitter number in [0, 1).
/// @return the delay, at most the fraction of the time that callers honour.
duration promise_return(return_ledger& ledger, const return_tuning& tuning, std::uint64_t request,
                        duration time_left, const return_room& room, time_point now, double jitter);

/// How a request relates to an earlier refusal.
enum class return_kind : std::uint8_t {
    first,   ///< It was not refused before, or returned too late to be recognised.
    early,   ///< It returned before the time that it was told.
    in_time, ///< It returned at that time.
};

/// Removes the promise to the request, if there is one.
return_kind take_return(return_ledger& ledger, const return_tuning& tuning, std::uint64_t request,
                        time_point now);

} // namespace camphorknot::steering
