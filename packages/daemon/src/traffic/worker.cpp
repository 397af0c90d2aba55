#include "worker.hpp"

#include <charconv>
#include <sys/socket.h>

namespace camphorknot::daemon_internal {
namespace {

constexpr auto sweep_period = std::chrono::milliseconds(20);

// Limit per worker: a target server accepts about 330 connections, from 8 to 10 instances with a few threads
// each.
constexpr std::size_t max_idle_per_target = 16;

// Shorter than the keep-alive timeout of common HTTP servers, so that the server rarely closes first.
constexpr duration max_idle_time = std::chrono::seconds(15);

// An idle connection with pending input was closed by the peer, or has received bytes that belong to no
// request.
bool has_no_pending_input(tcp::socket& socket)
{
    char byte = 0;
    const ssize_t received_size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received_size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void cancel_expired(worker& owner, time_point now)
{
    for (timed_socket* stream : owner.sockets) {
        if (stream->deadline <= now) {
            stream->timed_out = true;
            error_code ignored;
            stream->socket.cancel(ignored);
        }
    }
}

void close_expired_idle(worker& owner, time_point now)
{
    for (auto& [target, connections] : owner.idle_connections) {
        std::erase_if(connections,
                      [now](const auto& connection) { return now - connection->last_used > max_idle_time; });
    }
}

} // namespace

timed_socket::timed_socket(worker& owning_worker, tcp::socket connected_socket)
    : socket(std::move(connected_socket)), owner(owning_worker), index(owning_worker.sockets.size())
{
    owning_worker.sockets.push_back(this);
}

timed_socket::~timed_socket()
{
    timed_socket* last = owner.sockets.back();
    owner.sockets[index] = last;
    last->index = index;
    owner.sockets.pop_back();
}

void close_socket(tcp::socket& socket)
{
    error_code ignored;
    socket.close(ignored);
}

awaitable<void> sweep(worker& owner)
{
    asio::steady_timer timer(owner.io);
    time_point next_idle_check{};
    while (true) {
        error_code ec;
        timer.expires_after(sweep_period);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const time_point now = boot_now();
        cancel_expired(owner, now);
        if (now >= next_idle_check) {
            close_expired_idle(owner, now);
            next_idle_check = now + std::chrono::seconds(1);
        }
    }
}

std::unique_ptr<target_connection> take_idle_connection(worker& owner, const attempt& chosen,
                                                        duration max_idle)
{
    const auto found = owner.idle_connections.find(chosen.target.target.value);
    if (found == owner.idle_connections.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    const time_point now = boot_now();
    std::erase_if(connections, [&](const auto& connection) {
        return connection->generation < chosen.oldest_trusted_generation ||
               now - connection->last_used > max_idle_time ||
               !has_no_pending_input(connection->stream.socket);
    });
    // The most recently used connection is at the end; it is the least likely to have lost its path.
    if (connections.empty() || now - connections.back()->last_used > max_idle) {
        return nullptr;
    }
    std::unique_ptr<target_connection> reused_connection = std::move(connections.back());
    connections.pop_back();
    return reused_connection;
}

void keep_idle_connection(worker& owner, target_id target, std::unique_ptr<target_connection> connection)
{
    auto& connections = owner.idle_connections[target.value];
    if (connections.size() >= max_idle_per_target) {
        return;
    }
    disarm(connection->stream);
    connection->last_used = boot_now();
    connections.push_back(std::move(connection));
}

std::optional<tcp::endpoint> parse_endpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    error_code ec;
    const auto ip = asio::ip::make_address(std::string(address.substr(0, colon)), ec);
    const std::string_view port_text = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(port_text.begin(), port_text.end(), port);
    if (ec || parsed.ec != std::errc{} || parsed.ptr != port_text.end()) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

} // namespace camphorknot::daemon_internal
