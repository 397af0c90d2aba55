/// @file
/// What an answer promises callers about the execution of their request.
#pragma once

namespace camphorknot::steering {

/// @return whether the HTTP status promises that the request has not run and will not run.
constexpr bool promises_not_run(unsigned status)
{
    constexpr unsigned request_timeout = 408;
    constexpr unsigned misdirected = 421;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    return status == request_timeout || status == misdirected || status == too_many_requests ||
           status == unavailable;
}

/// @param may_have_run whether any send of the attempt may have led to its execution.
/// @return whether a caller may be given this status.
constexpr bool is_true_status(unsigned status, bool may_have_run)
{
    return !may_have_run || !promises_not_run(status);
}

} // namespace camphorknot::steering
