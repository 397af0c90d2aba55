// Parts of the relay: the plan for a request, the search for a target, and the send.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "traffic.hpp"

namespace camphorknot::edge {

/// HTTP statuses of the relay's own answers.
inline constexpr unsigned unauthorized = 401;
inline constexpr unsigned not_found = 404;
inline constexpr unsigned too_many_requests = 429;
inline constexpr unsigned bad_gateway = 502;
inline constexpr unsigned unavailable = 503;
inline constexpr unsigned gateway_timeout = 504;

/// Retry-After for refusals whose cause is short-lived.
inline constexpr duration short_retry_after = std::chrono::milliseconds(300);

/// How one request is handled, and the state of its sends.
struct request_plan {
    const steering::route* route = nullptr;
    const steering::customer* customer = nullptr;        ///< Null on routes that are open to all.
    std::shared_ptr<const steering::route_table> routes; ///< Keeps the route and the customer alive.
    std::string service;
    int priority = 0;
    time_point deadline{};               ///< For the final answer.
    std::optional<std::uint64_t> object; ///< Hash of the object, on routes with object affinity.
    std::uint64_t random_key = 0;        ///< Used for the placement if there is no object.
    std::vector<std::string> tried;      ///< Ids of the targets chosen so far.
    unsigned send_count = 0;             ///< Sends that reached their target.
    unsigned connect_failures = 0;       ///< Sends that did not.
    std::optional<steering::request_identity> identity; ///< Computed when the request may be a suspect.
    bool is_suspect = false;                            ///< It was running when targets ended.
    steering::return_kind returned = steering::return_kind::first; ///< At services that several routes share.
    double reserved_slots = 0; ///< Of each target, left free for more urgent requests.
    /// A target's error, which becomes the final answer if no retry gives one.
    std::optional<platform::http_response> last_answer;
};

/// @return the plan for a request to @p route: service, deadline, priority and object. Chooses the service by
/// weight.
request_plan make_plan(traffic_state& state, const caller_request& request, const steering::route& route);

/// @return the deadline for the final answer to a request on @p route: its caller's or the route's.
time_point find_deadline(const caller_request& request, const steering::route& route);

/// @return whether the request came early enough in the stop; true unless the instance stops.
bool is_taken(const traffic_state& state, const caller_request& request);

/// @param placement of the send; null if there is none yet.
/// @return the last time at which the request may be sent, see steering::latest_send; time_point::max()
/// unless the instance stops.
time_point find_latest_send(const traffic_state& state, const request_plan& plan,
                            const steering::placement* placement);

/// @return the answer to a request that a stopping instance does not send. The caller is to go elsewhere.
platform::http_response refuse_stopping(traffic_state& state, const caller_request& request);

/// @return which versions of the service may get requests.
version_rule find_version_rule(const traffic_state& state, const std::string& service);

/// @return the split that a request belongs to: that of its route, if the route has a share of its own, or
/// that of its service.
steering::version_split& find_version_split(traffic_state& state, const request_plan& plan,
                                            const version_rule& rule);

/// Outcome of the search: a target, or the answer to a request that is refused.
struct search_outcome {
    steering::placement placement;
    std::optional<platform::http_response> refusal;
    bool is_unreachable = false; ///< This instance reaches no target of the service.
};

/// Finds a target. Waits in the service's queue if all targets are full and room is expected in time.
boost::asio::awaitable<search_outcome>
find_target(traffic_state& state, std::shared_ptr<caller_request> request, request_plan& plan);

/// Outcome of one send.
struct send_outcome {
    exchange_result result;
    bool should_retry = false; ///< The request is to be sent to another target.
};

/// Sends the request to the chosen target and updates the state of the target and of the version under
/// rollout with the outcome.
boost::asio::awaitable<send_outcome> send_once(traffic_state& state, std::shared_ptr<caller_request> request,
                                               request_plan& plan, steering::placement placement);

/// @return the final answer, when no further send is made after @p result.
platform::http_response make_final_answer(traffic_state& state, const caller_request& request,
                                          const request_plan& plan, const exchange_result& result);

/// @return whether this instance reaches no target of the request's service. If no other instance reaches it
/// either, targets are tried as soon as probes succeed again.
bool should_pass_on(const traffic_state& state, const request_plan& plan);

/// Updates what is known of the paths to the service's targets with the outcome of a send, and probes them if
/// they may be lost.
void update_reach(traffic_state& state, const std::string& service, const exchange_result& result,
                  time_point sent_at, time_point now);

/// Passes the request on to an instance that reaches the service. An instance that got the request from
/// another one refuses it.
/// @return the final answer.
boost::asio::awaitable<platform::http_response>
pass_on(traffic_state& state, std::shared_ptr<caller_request> request, request_plan& plan);

/// @return what is known of the request at targets of @p version of its service.
steering::crash_standing find_standing(traffic_state& state, const caller_request& request,
                                       request_plan& plan, std::string_view version, time_point now);

/// @return whether the request is condemned at all versions of its service that get requests.
bool is_condemned_everywhere(traffic_state& state, const caller_request& request, request_plan& plan,
                             time_point now);

/// @return whether the request was running when targets of any version of its service ended.
bool is_suspect(traffic_state& state, const caller_request& request, request_plan& plan);

/// @return whether the request was condemned at any version of its service, though the verdict may have
/// lapsed.
bool was_condemned(traffic_state& state, const caller_request& request, request_plan& plan);

/// @return the answer to a condemned request; it asks the caller to come back when the verdict ends.
platform::http_response refuse_condemned(traffic_state& state, const caller_request& request,
                                         const request_plan& plan, time_point now);

/// Updates the evidence on requests that end their targets with the outcome of a send.
void on_send_ended(traffic_state& state, const std::shared_ptr<caller_request>& request, request_plan& plan,
                   const steering::target_state& chosen, const steering::target& target,
                   const exchange_result& result, time_point sent_at, time_point now);

/// @return a random duration between @p base and twice @p base, so that callers do not retry at the same
/// time.
duration jittered_pause(traffic_state& state, duration base);

/// @return whole milliseconds, for log lines.
std::string to_ms(duration value);

} // namespace camphorknot::edge
