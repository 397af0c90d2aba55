// One traffic thread: its event loop, caller and target connections, and the sweep that enforces time limits.
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "camphorknot/daemon/traffic_server.hpp"
#include "camphorknot/kernel/clock.hpp"

namespace camphorknot::daemon_internal {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
template <typename T>
using awaitable = asio::awaitable<T>;

struct worker;

/// Socket whose pending operations are cancelled once its deadline has passed. A sweep over all sockets costs
/// less than one timer per operation.
struct timed_socket {
    timed_socket(worker& thread, tcp::socket from);
    ~timed_socket();
    timed_socket(const timed_socket&) = delete;
    timed_socket& operator=(const timed_socket&) = delete;

    tcp::socket socket;
    worker& owner;
    std::size_t index = 0; ///< Place in the worker's list.
    time_point deadline = time_point::max();
    bool timed_out = false;
};

/// Starts the time limit of the operations that follow.
inline void arm(timed_socket& stream, duration limit)
{
    stream.deadline = boot_now() + limit;
    stream.timed_out = false;
}

inline void disarm(timed_socket& stream)
{
    stream.deadline = time_point::max();
}

/// Closes the socket; pending operations end with an error.
void close_socket(tcp::socket& socket);

/// Connection to a target, in use or kept for the next request.
struct target_connection {
    target_connection(worker& thread, tcp::socket from) : stream(thread, std::move(from)) {}
    timed_socket stream;
    boost::beast::flat_buffer buffer;
    std::uint64_t generation = 0;
    time_point last_used{};
};

/// Counters of the server, shared by its workers.
struct traffic_counters {
    refusal_counters refusals;
    std::atomic<std::uint64_t>* requests = nullptr;
    std::atomic<std::uint64_t>* lookups = nullptr;
    std::atomic<std::uint64_t>* connections = nullptr;
    std::atomic<std::uint64_t>* connections_refused = nullptr;
    std::atomic<std::uint64_t>* retries = nullptr;
    std::atomic<std::uint64_t>* hedges = nullptr;
    std::atomic<std::uint64_t>* broken_answers = nullptr;
    std::atomic<std::uint64_t>* target_connects = nullptr;
    std::atomic<std::uint64_t>* silent_connections = nullptr;
    latency_histogram* request_latency = nullptr;
};

/// State that all workers of a server share.
struct server_shared {
    traffic_settings settings;
    traffic_decisions decisions;
    traffic_counters counters;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> in_flight{0};
    std::atomic<bool> draining{false};
    std::atomic<bool> stopping{false};
};

/// One traffic thread. All members belong to it; other threads only post to @c io.
struct worker {
    explicit worker(server_shared& server) : shared(server) {}
    server_shared& shared;
    std::vector<timed_socket*> sockets;
    asio::io_context io{1};
    // Destroyed before the event loop, whose reactor the sockets need.
    std::unordered_map<std::uint64_t, std::vector<std::unique_ptr<target_connection>>> idle;
};

/// Cancels operations past their deadline and closes kept connections that are too old, until the server
/// stops.
awaitable<void> sweep(worker& owner);

/// @return a kept connection for @p chosen, or null. Closes those that are no longer trusted.
/// @param longest_idle connections that were idle for longer are not used.
std::unique_ptr<target_connection> take_idle(worker& owner, const attempt& chosen, duration longest_idle);

/// Keeps @p connection for the next request, if there is room.
void keep_idle(worker& owner, target_id target, std::unique_ptr<target_connection> connection);

/// @return the endpoint of "ip:port", or nothing.
std::optional<tcp::endpoint> parse_endpoint(std::string_view address);

} // namespace camphorknot::daemon_internal
