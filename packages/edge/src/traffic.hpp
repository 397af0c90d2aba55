// The traffic thread: callers' connections, admission, waiting, and sending to targets.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <thread>

#include "camphorknot/edge/settings.hpp"
#include "camphorknot/kernel.hpp"
#include "target_exchange.hpp"
#include "views.hpp"

namespace camphorknot::edge {

/// A request in the queue of its service.
struct waiter {
    explicit waiter(boost::asio::io_context& context) : turn(context) {}
    boost::asio::steady_timer turn; ///< Cancelled when it is the request's turn or its caller has left.
    bool called = false;
};

/// A request that waits for the keeper of its customer's rate.
struct token_wait {
    explicit token_wait(boost::asio::io_context& context) : limit(context) {}
    boost::asio::steady_timer limit;
    std::optional<duration> answer; ///< As token_answer::wait.
};

/// One request of a caller while it is handled.
struct caller_request {
    std::uint64_t id = 0;
    platform::http_request message;
    platform::request_metadata facts;
    time_point arrived{};
    bool caller_left = false;
    std::shared_ptr<exchange_handle> running;
    std::shared_ptr<waiter> waiting;
};

struct service_queue {
    steering::wait_queue order;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters;
};

struct traffic_metrics {
    std::atomic<std::uint64_t>* requests = nullptr;
    std::atomic<std::uint64_t>* answered = nullptr;
    std::atomic<std::uint64_t>* retries = nullptr;
    std::atomic<std::uint64_t>* new_connections = nullptr;
    latency_histogram* request_time = nullptr;
    latency_histogram* wait_time = nullptr;
    latency_histogram* warm_time = nullptr;
    latency_histogram* miss_time = nullptr;
};

using count_key = std::tuple<std::string, std::string, std::string>; // Service, version, route.

/// State of the traffic thread. All functions are called in its thread, but for start and post.
struct traffic {
    traffic(const edge_settings& used, metrics& counted) : settings(used), page(counted) {}
    const edge_settings& settings;
    metrics& page;
    boost::asio::io_context context{1};
    boost::asio::ip::tcp::acceptor acceptor{context};
    boost::asio::steady_timer ticker{context};
    std::thread thread;
    traffic_view view;
    steering::target_pool pool;
    steering::rate_shares rates;
    std::map<std::string, steering::retry_budget> retries; ///< By service.
    std::map<std::string, service_queue> queues;           ///< By service.
    std::map<count_key, steering::version_counts> counts;
    steering::wait_tuning waiting;
    connection_pool connections;
    random_source random;
    std::uint64_t next_request = 1;
    std::size_t open_sessions = 0;
    std::size_t running = 0;
    std::size_t body_bytes = 0; ///< Of the requests that are held.
    bool stopping = false;
    time_point stop_began{};
    log_limiter log;
    traffic_metrics counters;
    std::function<void(traffic_report)> on_report;
    std::map<std::uint64_t, std::shared_ptr<token_wait>> token_waits; ///< By id of the question.
    std::function<void(const std::string& keeper, std::uint64_t id, std::string customer)> ask_keeper;
    std::function<void()> on_stopped;
};

/// Opens the callers' port and starts the thread. @return whether the port could be bound.
bool start_traffic(traffic& state);

/// Hands over a view. Safe to call from any thread.
void post_view(traffic& state, traffic_view view);

/// Takes a token of a rate that is kept here, for another instance. Safe to call from any thread.
void post_kept_token(traffic& state, std::string customer, std::function<void(duration)> done);

/// Hands over the keeper's answer. Safe to call from any thread.
void post_token_answer(traffic& state, std::uint64_t id, duration wait);

/// Begins a graceful stop: answers ask callers to close their connections; on_stopped is called when nothing
/// runs.
void post_stop(traffic& state);

/// Ends the thread.
void join_traffic(traffic& state);

/// Handles one request up to its final answer.
boost::asio::awaitable<platform::http_response> handle_request(traffic& state,
                                                               std::shared_ptr<caller_request> request);

/// The caller of @p request has closed its connection.
void note_caller_left(traffic& state, caller_request& request);

/// Lets as many requests of the queue try again as there may be room for.
void call_waiters(traffic& state, const std::string& service, std::size_t most);

/// Accepts callers until the acceptor is closed.
boost::asio::awaitable<void> accept_callers(traffic& state);

/// @return the answer to a request that is not served.
platform::http_response refuse(traffic& state, const caller_request& request, unsigned status,
                               std::string_view reason, duration retry_after,
                               std::vector<log_field> inputs = {});

} // namespace camphorknot::edge
