#include <charconv>

#include "network_state.hpp"

namespace camphorknot::transport_internal {
namespace {

constexpr std::size_t length_bytes = 4;

std::string length_prefix(std::size_t length)
{
    std::string prefix;
    for (int shift = 24; shift >= 0; shift -= 8) {
        prefix += static_cast<char>(length >> static_cast<unsigned>(shift));
    }
    return prefix;
}

std::size_t parse_length(const std::array<unsigned char, length_bytes>& prefix)
{
    std::size_t length = 0;
    for (const unsigned char byte : prefix) {
        length = length << 8U | byte;
    }
    return length;
}

} // namespace

void count_error(const peer_network& network, transport_error error)
{
    std::atomic<std::uint64_t>* error_counter = network.counters.errors.at(static_cast<std::size_t>(error));
    if (error_counter != nullptr) {
        error_counter->fetch_add(1, std::memory_order_relaxed);
    }
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

socket_handle make_socket(peer_network& network)
{
    auto stream = std::make_shared<peer_socket>(network.io);
    network.sockets.push_back(stream);
    return stream;
}

awaitable<bool> write_frame(socket_handle stream, std::string payload)
{
    std::string bytes = length_prefix(payload.size());
    bytes += payload;
    error_code ec;
    co_await asio::async_write(stream->socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

awaitable<frame_read> read_frame(socket_handle stream, std::size_t limit)
{
    std::array<unsigned char, length_bytes> prefix{};
    frame_read read;
    error_code ec;
    co_await asio::async_read(stream->socket, asio::buffer(prefix),
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        read.is_disconnected = true;
        co_return read;
    }
    const std::size_t length = parse_length(prefix);
    if (length > limit) {
        read.error = transport_error::oversize;
        co_return read;
    }
    read.bytes.resize(length);
    co_await asio::async_read(stream->socket, asio::buffer(read.bytes),
                              asio::redirect_error(asio::use_awaitable, ec));
    read.is_disconnected = static_cast<bool>(ec);
    co_return read;
}

} // namespace camphorknot::transport_internal
