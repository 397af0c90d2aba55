// One traffic thread: its event loop, its sockets, its idle target connections and the enforcement of
// timeouts.
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

/// Socket whose pending operations are cancelled once its deadline has passed. The deadlines are checked by a
/// periodic sweep over all sockets of the worker, which costs less than one timer per operation.
struct timed_socket {
    timed_socket(worker& owning_worker, tcp::socket connected_socket);
    ~timed_socket();
    timed_socket(const timed_socket&) = delete;
    timed_socket& operator=(const timed_socket&) = delete;

    tcp::socket socket;
    worker& owner;
    std::size_t index = 0; ///< Position in worker::sockets.
    time_point deadline = time_point::max();
    bool timed_out = false; ///< The sweep has cancelled an operation since arm().
};

/// Sets the deadline for the operations that follow to @p limit from now.
inline void arm(timed_socket& stream, duration limit)
{
    stream.deadline = boot_now() + limit;
    stream.timed_out = false;
}

/// Removes the deadline.
inline void disarm(timed_socket& stream)
{
    stream.deadline = time_point::max();
}

/// Closes the socket; pending operations complete with an error.
void close_socket(tcp::socket& socket);

/// Connection to a target, in use or idle.
struct target_connection {
    target_connection(worker& owning_worker, tcp::socket connected_socket)
        : stream(owning_worker, std::move(connected_socket))
    {
    }
    timed_socket stream;
    boost::beast::flat_buffer buffer;
    std::uint64_t generation = 0; ///< From the attempt that opened it; outdated generations are not reused.
    time_point last_used{};
};

/// Metrics of the server, shared by its workers.
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

/// One traffic thread. Its members are used in that thread only; other threads only post to @c io.
struct worker {
    explicit worker(server_shared& server) : shared(server) {}
    server_shared& shared;
    std::vector<timed_socket*> sockets;
    asio::io_context io{1};
    // Idle connections by target. Declared after the event loop, so that they are destroyed before it:
    // closing a socket needs the loop's reactor.
    std::unordered_map<std::uint64_t, std::vector<std::unique_ptr<target_connection>>> idle_connections;
};

/// Periodically cancels operations past their deadline and closes idle connections past their maximum idle
/// time. Runs until the event loop stops.
awaitable<void> sweep(worker& owner);

/// @return an idle connection to the target of @p chosen, or null. Closes idle connections to the target that
/// are of an outdated generation, too old or closed by the peer.
/// @param max_idle a connection that was idle for longer is not returned.
std::unique_ptr<target_connection> take_idle_connection(worker& owner, const attempt& chosen,
                                                        duration max_idle);

/// Stores @p connection for the next request, or closes it if there are already enough for @p target.
void keep_idle_connection(worker& owner, target_id target, std::unique_ptr<target_connection> connection);

/// @return the endpoint of "ip:port", or nothing if @p address is malformed.
std::optional<tcp::endpoint> parse_endpoint(std::string_view address);

} // namespace camphorknot::daemon_internal
