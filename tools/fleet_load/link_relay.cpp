#include "link_relay.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace fleet_load {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using clock = std::chrono::steady_clock;

// Bytes of one connection that the relay holds; the rest waits at the sender, as behind a full queue.
constexpr std::size_t chunk_bytes = std::size_t{8} * 1024;
constexpr int socket_buffer_bytes = 16 * 1024;

using socket_handle = std::shared_ptr<tcp::socket>;

void limit_buffers(tcp::socket& socket)
{
    boost::system::error_code ignored; // The connection may have ended already.
    socket.set_option(asio::socket_base::receive_buffer_size(socket_buffer_bytes), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(socket_buffer_bytes), ignored);
    socket.set_option(tcp::no_delay(true), ignored);
}

// Returns when @p bytes that arrive now have left.
clock::time_point pass(link_direction& direction, std::size_t bytes)
{
    const auto time = std::chrono::duration<double>(static_cast<double>(bytes) / direction.bytes_per_s);
    direction.free_at =
        std::max(direction.free_at, clock::now()) + std::chrono::duration_cast<clock::duration>(time);
    direction.bytes += bytes;
    return direction.free_at;
}

asio::awaitable<void> pump(asio::io_context& context, link_direction& direction, socket_handle from,
                           socket_handle to)
{
    std::array<char, chunk_bytes> buffer{};
    asio::steady_timer timer(context);
    boost::system::error_code error;
    while (!error) {
        const std::size_t count = co_await from->async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        timer.expires_at(pass(direction, count));
        boost::system::error_code ignored; // A cancelled wait only ends earlier.
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_await asio::async_write(*to, asio::buffer(buffer.data(), count),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    boost::system::error_code ignored; // The other direction may have closed them.
    from->close(ignored);
    to->close(ignored);
}

asio::awaitable<void> connect(link_relay& relay, socket_handle client)
{
    const auto upstream = std::make_shared<tcp::socket>(relay.context);
    boost::system::error_code error;
    co_await upstream->async_connect(relay.target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        client->close(error);
        co_return;
    }
    limit_buffers(*upstream);
    asio::co_spawn(relay.context, pump(relay.context, relay.inward, client, upstream), asio::detached);
    asio::co_spawn(relay.context, pump(relay.context, relay.outward, upstream, client), asio::detached);
}

asio::awaitable<void> accept_connections(link_relay& relay)
{
    while (true) {
        boost::system::error_code error;
        const auto client = std::make_shared<tcp::socket>(relay.context);
        co_await relay.acceptor.async_accept(*client, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            limit_buffers(*client);
            asio::co_spawn(relay.context, connect(relay, client), asio::detached);
        }
    }
}

} // namespace

link_relay::link_relay(asio::io_context& io, const tcp::endpoint& listen, tcp::endpoint forward_to,
                       double mbps)
    : context(io), acceptor(io, listen), target(std::move(forward_to))
{
    constexpr double bytes_per_megabit = 1e6 / 8;
    inward.bytes_per_s = mbps * bytes_per_megabit;
    outward.bytes_per_s = mbps * bytes_per_megabit;
}

void start(link_relay& relay)
{
    asio::co_spawn(relay.context, accept_connections(relay), asio::detached);
}

} // namespace fleet_load
