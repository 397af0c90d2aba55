// The traffic thread: callers' connections, admission, the queues of waiting requests, and sends to targets.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <thread>

#include "camphorknot/edge/instance.hpp"
#include "camphorknot/edge/settings.hpp"
#include "camphorknot/kernel.hpp"
#include "connection_ends.hpp"
#include "crash_watch.hpp"
#include "held_messages.hpp"
#include "limited_port.hpp"
#include "send_record.hpp"
#include "target_exchange.hpp"
#include "views.hpp"

namespace camphorknot::edge {

/// A request in the queue of its service.
struct waiter {
    explicit waiter(boost::asio::io_context& context) : wakeup(context) {}
    boost::asio::steady_timer wakeup; ///< Expires when the request gives up; cancelled to wake it earlier.
    bool is_woken = false;            ///< It is the request's turn to search for a target again.
    bool has_slot = false;            ///< Woken because a request of this instance left its target.
    bool is_displaced = false;        ///< It is refused in favour of a request that is worth more.
};

/// A request that waits for a token from the owner of its customer's rate.
struct pending_token {
    explicit pending_token(boost::asio::io_context& context) : timeout(context) {}
    boost::asio::steady_timer timeout; ///< Cancelled when the answer arrives.
    std::optional<duration> answer;    ///< token_answer::wait; empty without an answer.
};

/// A send whose outcome has not been recorded.
struct open_send {
    steering::placement placement; ///< `chosen` is null if the receiver is another instance.
    time_point sent_at{};
    bool is_suspect = false;      ///< Its target is among crash_watch::suspect_targets.
    bool may_be_received = false; ///< The exchange has begun.
    std::uint64_t watched = 0;    ///< Id in the request_watch.
    std::uint64_t run = 0;        ///< Id in the usage_counter.
};

/// State of one request of a caller, from its arrival to its final answer.
struct caller_request {
    std::uint64_t id = 0;
    platform::http_request message;
    platform::request_metadata metadata;
    time_point arrived_at{};
    bool caller_left = false;
    bool may_have_run =
        false;              ///< At any target, by a send of this instance or of one that it was passed on to.
    bool from_peer = false; ///< Passed on by another instance, which has taken the token of the rate.
    unsigned sends_before = 0;                        ///< Made by that instance.
    bool at_most_once = false;                        ///< It must not run twice. Set before a send.
    std::vector<send_record> sends;                   ///< The first sends of this instance.
    std::size_t unrecorded_sends = 0;                 ///< Further ones.
    std::shared_ptr<exchange_handle> active_exchange; ///< Null unless the request is at a target.
    std::shared_ptr<waiter> active_waiter;            ///< Null unless the request waits in a queue.
    std::optional<open_send> unrecorded_send;
    request_watch watch{*this}; ///< Reports it if its connection ends without an answer.
};

/// A request that is being received.
struct incoming_request {
    std::shared_ptr<caller_request> request;
    std::optional<std::string> target; ///< Of the request; empty before the head is complete.
    std::function<void()> cancel;      ///< Ends the read.
    bool is_refused = false;           ///< The instance stops, and the request could not be sent any more.
};

/// Requests of one service that wait for room at a target.
struct service_queue {
    steering::wait_queue order;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters; ///< By request id.
};

/// What admission by cost needs to know of a service that several routes share.
struct service_admission {
    steering::service_demand demand;
    steering::return_ledger returns;
};

/// Metrics of the traffic thread; they point into the metric registry.
struct traffic_metrics {
    std::atomic<std::uint64_t>* requests = nullptr;
    std::atomic<std::uint64_t>* answered = nullptr;
    std::atomic<std::uint64_t>* retries = nullptr;
    std::atomic<std::uint64_t>* new_connections = nullptr;
    std::atomic<std::uint64_t>* skipped_answers = nullptr;       ///< Answers of targets to other requests.
    std::atomic<std::uint64_t>* pipelined_requests = nullptr;    ///< Read before an earlier one was answered.
    std::atomic<std::uint64_t>* pipelined_dropped = nullptr;     ///< Requests of ended pipelines.
    std::atomic<std::int64_t>* requests_ahead = nullptr;         ///< traffic_state::requests_ahead.
    std::atomic<std::int64_t>* pipelined_answer_bytes = nullptr; ///< Held until earlier ones are written.
    latency_histogram* request_time = nullptr;
    latency_histogram* wait_time = nullptr;
    latency_histogram* warm_time = nullptr; ///< At targets that were expected to hold the object.
    latency_histogram* miss_time = nullptr; ///< At targets that were not.
};

using count_key = std::tuple<std::string, std::string, std::string>; // Service, version, route.

/// State of the traffic thread. All functions run in that thread, except start_traffic, join_traffic and
/// post_*.
struct traffic_state {
    traffic_state(const edge_settings& instance_settings, metrics& registry)
        : settings(instance_settings), metric_registry(registry)
    {
    }
    const edge_settings& settings;
    metrics& metric_registry;
    /// Outlives the context, whose connections remove themselves when it is destroyed.
    connection_ends ends;
    /// In the order of arrival. Outlives the context, whose reads remove themselves when it is destroyed.
    std::list<incoming_request> incoming;
    /// Outlives the context, whose reads and writes remove their messages when it is destroyed.
    held_messages messages;
    /// Those of callers and of instances that pass requests on. Outlives the context likewise.
    limited_port sessions;
    boost::asio::io_context context{1};
    boost::asio::ip::tcp::acceptor acceptor{context};
    boost::asio::ip::tcp::acceptor relay_acceptor{context}; ///< For the requests of other instances.
    boost::asio::steady_timer ticker{context};
    std::thread thread;
    traffic_view view;
    steering::target_pool pool;
    steering::rate_shares rates;
    std::map<std::string, steering::retry_budget> retry_budgets; ///< By service.
    std::map<std::string, service_queue> queues;                 ///< By service.
    /// By service, and by service and route where the route has a share of its own; those under rollout.
    std::map<std::pair<std::string, std::string>, steering::version_split> version_splits;
    std::map<count_key, steering::version_counts> counts;
    steering::request_watch request_watch; ///< Of services under rollout.
    /// By service and route.
    std::map<std::pair<std::string, std::string>, steering::answer_speed> answer_speeds;
    std::map<std::pair<std::string, std::string>, steering::recent_answers> recent_answers; ///< Likewise.
    steering::notice_table notices; ///< Announced to this instance.
    crash_watch crashes;
    std::map<std::string, steering::service_reach> reach; ///< By service.
    steering::usage_counter usage;
    steering::wait_tuning queue_tuning;
    std::map<std::string, service_admission> admissions; ///< By service; those that several routes share.
    steering::admission_tuning cost_tuning;
    steering::demand_tuning demand_tuning;
    steering::return_tuning return_tuning;
    double mean_customer_rate = 0; ///< Of the customers with a rate, requests per second.
    connection_pool connections{messages};
    connection_pool peer_connections{messages}; ///< By name of the instance.
    random_source random;
    std::uint64_t next_request_id = 1;
    std::size_t running_requests = 0; ///< Requests without a final answer.
    /// Requests of which a part has been received and whose answer has not been written completely. A
    /// graceful stop waits for them.
    std::size_t unfinished_requests = 0;
    std::size_t requests_ahead = 0;         ///< Requests of connections that have more than one.
    double request_rate = 0;                ///< Requests per second from callers, smoothed.
    std::uint64_t request_rate_counted = 0; ///< Requests up to the last update of the rate.
    time_point request_rate_updated_at{};
    /// Present from the stop signal on.
    std::optional<steering::stop_plan> stop;
    boost::asio::steady_timer stop_ticker{context};
    std::map<std::pair<std::string, std::string>, steering::longest_answer>
        longest_answers; ///< By service and route.
    std::map<std::uint64_t, std::shared_ptr<caller_request>>
        active_requests; ///< By id; without a final answer.
    log_limiter log;
    traffic_metrics counters;
    std::function<void(traffic_report)> on_report; ///< Sends a report to the control thread.
    std::map<std::uint64_t, std::shared_ptr<pending_token>> pending_tokens; ///< By request id.
    /// Sends a token request with this id to the instance that owns the customer's rate.
    std::function<void(const std::string& rate_owner, std::uint64_t id, std::string customer)>
        request_remote_token;
    std::function<void()> on_stopped; ///< Called once, when the graceful stop is complete.
};

/// Opens the ports for requests and starts the thread. @return the failure, if a port cannot be opened.
std::optional<start_failure> start_traffic(traffic_state& state);

/// Hands over a view. Safe to call from any thread.
void post_view(traffic_state& state, traffic_view view);

/// Takes a token of a rate that this instance owns, on behalf of another instance. @p done is called in the
/// traffic thread with the time to wait, zero if the token was taken. Safe to call from any thread.
void post_owned_rate_token(traffic_state& state, std::string customer, std::function<void(duration)> done);

/// Hands over a rate owner's answer to the token request @p id. Safe to call from any thread.
void post_token_answer(traffic_state& state, std::uint64_t id, duration wait);

/// Hands over the evidence of other instances. Safe to call from any thread.
void post_crash_reports(traffic_state& state, std::vector<steering::crash_report> reports);

/// Begins a graceful stop: answers ask callers to close their connections. on_stopped is called when no
/// connection is open, or shortly before the stop time ends, after the requests in progress have been
/// answered. Further calls have no effect. Safe to call from any thread.
void post_stop(traffic_state& state);

/// @return whether the instance stops and the request, which is not complete, could not be sent any more.
bool is_refused_by_stop(const traffic_state& state, const incoming_request& incoming, time_point now);

/// Stops and joins the thread.
void join_traffic(traffic_state& state);

/// @return the counts of a version on a route.
steering::version_counts& counts_of(traffic_state& state, const count_key& key);

/// Sends a report to the control thread now.
void send_report(traffic_state& state);

/// Handles one request. @return its final answer, also if an exception ended the handling: 502, or 503 if
/// nothing of the request may have reached a target.
boost::asio::awaitable<platform::http_response> handle_request(traffic_state& state,
                                                               std::shared_ptr<caller_request> request);

/// Handles that the caller of @p request closed its connection: stops its waiting, and the work of its target
/// if the request is idempotent.
void on_caller_left(traffic_state& state, caller_request& request);

/// Wakes up to @p max_count requests of the service's queue, in its order, to search for a target again.
void wake_waiters(traffic_state& state, const std::string& service, std::size_t max_count);

/// Wakes the first request of the service's queue that waits for @p target, which may have room now.
void wake_waiter_for(traffic_state& state, const std::string& service, const std::string& target);

/// Whose connections an acceptor accepts.
enum class session_kind : std::uint8_t { caller, peer };

/// Starts to accept connections, until the acceptor is closed.
void accept_sessions(traffic_state& state, boost::asio::ip::tcp::acceptor& acceptor, session_kind kind);

/// Accepts the connections that wait, and closes the acceptor.
void accept_last_sessions(traffic_state& state, boost::asio::ip::tcp::acceptor& acceptor, session_kind kind);

/// Probes the services that may be unreachable.
void probe_services(traffic_state& state, time_point now);

/// @return what this instance reaches of the targets.
steering::target_access current_access(const traffic_state& state);

/// Logs and counts a refusal. @return the answer to a request that is not served.
/// @param inputs further fields of the log line: the values that led to the refusal.
platform::http_response refuse(traffic_state& state, const caller_request& request, unsigned status,
                               std::string_view reason, duration retry_after,
                               std::vector<log_field> inputs = {});

} // namespace camphorknot::edge
