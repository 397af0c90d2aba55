// Parts of the relay: what is known of a request, the search for a target, and the send.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "traffic.hpp"

namespace camphorknot::edge {

/// Statuses of the relay's own answers.
inline constexpr unsigned unauthorized = 401;
inline constexpr unsigned not_found = 404;
inline constexpr unsigned too_many = 429;
inline constexpr unsigned bad_gateway = 502;
inline constexpr unsigned unavailable = 503;
inline constexpr unsigned gateway_timeout = 504;

/// When to come back after a refusal that passes by itself within a moment.
inline constexpr duration short_pause = std::chrono::milliseconds(300);

/// What is known of a request beyond what the caller sent.
struct request_plan {
    const steering::route* route = nullptr;
    const steering::customer* customer = nullptr;        ///< Null on routes that are open to all.
    std::shared_ptr<const steering::route_table> routes; ///< Keeps the route and the customer alive.
    std::string service;
    int priority = 0;
    time_point deadline{};               ///< Of the answer.
    std::optional<std::uint64_t> object; ///< On routes with affinity.
    std::uint64_t scatter = 0;           ///< Takes the object's place where there is none.
    std::vector<std::string> tried;
    unsigned sends = 0;
    unsigned connect_failures = 0;
    bool may_have_run = false;
    std::optional<platform::http_response> last_answer; ///< Failure of a target, kept while a retry is tried.
};

/// @return how a request to @p route is to be handled: its service, deadline, priority and object.
request_plan make_plan(traffic& state, const caller_request& request, const steering::route& route);

/// Outcome of the search: a target, or the answer to a request that is refused.
struct search_outcome {
    steering::placement found;
    std::optional<platform::http_response> refusal;
};

/// Finds a target, waiting for room if that can pay off.
boost::asio::awaitable<search_outcome> find_target(traffic& state, std::shared_ptr<caller_request> request,
                                                   request_plan& plan);

/// What became of one send.
struct send_outcome {
    exchange_result result;
    bool repeats = false; ///< Whether the request is to be sent once more.
};

/// Sends the request to the chosen target, and learns from the outcome.
boost::asio::awaitable<send_outcome> send_once(traffic& state, std::shared_ptr<caller_request> request,
                                               request_plan& plan, steering::placement place);

/// @return the answer when no further send is made.
platform::http_response final_answer(traffic& state, const caller_request& request, const request_plan& plan,
                                     const exchange_result& result);

/// @return @p base lengthened by up to as much again, so that callers do not return together.
duration jittered_pause(traffic& state, duration base);

/// @return whole milliseconds, for log lines.
std::string to_ms(duration value);

} // namespace camphorknot::edge
