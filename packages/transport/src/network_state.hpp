// State of the peer network. After the start, its mutable state belongs to the network's thread; other
// threads post to io.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <thread>
#include <unordered_map>

#include "camphorknot/core/random.hpp"
#include "camphorknot/kernel/clock.hpp"
#include "camphorknot/transport.hpp"

namespace camphorknot {
namespace transport_internal {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
template <typename T>
using awaitable = asio::awaitable<T>;

/// Socket that close_expired_sockets() closes once its deadline has passed.
struct peer_socket {
    explicit peer_socket(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    time_point deadline = time_point::max();
    std::uint64_t sent = 0; ///< Number of frames sent; the peer acknowledges each with one byte.
    std::uint64_t acknowledged = 0;
    bool broken = false;
};
using socket_handle = std::shared_ptr<peer_socket>;

struct queued_message {
    std::string payload;
    bool is_gossip = false;
    time_point queued_at{};
};

/// Send queue of one peer.
struct peer_link {
    explicit peer_link(asio::io_context& io) : wake(io) {}
    std::string address;
    std::deque<queued_message> queue;
    asio::steady_timer wake; ///< Cancelled when a message is queued or the connection breaks.
    bool running = false;    ///< Whether run_link() is active for this peer.
    bool unreachable = false;
};
using link_handle = std::shared_ptr<peer_link>;

struct network_counters {
    std::array<std::atomic<std::uint64_t>*, transport_error_count> errors{};
    std::atomic<std::uint64_t>* sent = nullptr;
    std::atomic<std::uint64_t>* received = nullptr;
    std::atomic<std::uint64_t>* sent_bytes = nullptr;
    std::atomic<std::uint64_t>* dropped_gossip = nullptr;
    std::atomic<std::uint64_t>* dropped_other = nullptr;
    std::atomic<std::uint64_t>* dropped_stale = nullptr;
    std::atomic<std::uint64_t>* dropped_unknown = nullptr;
    std::atomic<std::uint64_t>* connects = nullptr;
    std::atomic<std::uint64_t>* connect_failures = nullptr;
    std::atomic<std::uint64_t>* silent_connections = nullptr;
};

} // namespace transport_internal

struct peer_network {
    explicit peer_network(peer_network_settings initial_settings)
        : settings(std::move(initial_settings)), acceptor(io)
    {
    }
    peer_network_settings settings;
    std::function<void(const envelope&)> on_message;
    transport_internal::network_counters counters;
    random_source random;
    std::unordered_map<instance_id, std::string> peer_addresses;
    std::unordered_map<instance_id, transport_internal::link_handle> links;
    std::vector<std::weak_ptr<transport_internal::peer_socket>> sockets;
    std::size_t inbound_connections = 0;
    transport_internal::asio::io_context io{1};
    transport_internal::tcp::acceptor acceptor;
    std::thread thread;
};

namespace transport_internal {

void count_error(const peer_network& network, transport_error error);
std::optional<tcp::endpoint> parse_endpoint(std::string_view address);

/// @return a socket whose deadline is enforced by close_expired_sockets().
socket_handle make_socket(peer_network& network);

awaitable<bool> write_frame(socket_handle stream, std::string payload);

/// Result of read_frame().
struct frame_read {
    std::string bytes;
    transport_error error = transport_error::none;
    bool is_disconnected = false; ///< The connection was closed or failed before the frame was complete.
};
awaitable<frame_read> read_frame(socket_handle stream, std::size_t limit);

/// Sends the messages queued for one peer, reconnecting with a backoff, and returns once the queue is empty
/// and the connection is closed (broken, or unused for idle_limit).
awaitable<void> run_link(peer_network& network, link_handle link);

/// Authenticates a peer that has connected, then receives its messages until the connection ends.
awaitable<void> serve_peer(peer_network& network, socket_handle stream);

} // namespace transport_internal
} // namespace camphorknot
