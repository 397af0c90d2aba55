#include "http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace camphorknot::tables_internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// 64 MiB; a configuration snapshot with 140,000 client blocks takes about 20 MB of JSON.
constexpr std::uint64_t max_body_bytes = 67'108'864;

http::request<http::string_body> make_message(const server_address& server, const platform_request& request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method(http::string_to_verb(request.method));
    message.target(request.target);
    message.set(http::field::host, server.ip + ":" + std::to_string(server.port));
    message.set(http::field::connection, "close");
    if (!request.body.empty()) {
        message.set(http::field::content_type, "application/json");
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

asio::awaitable<platform_response> fetch(asio::io_context& io, server_address server,
                                         platform_request request, duration timeout)
{
    platform_response response;
    beast::tcp_stream stream(io);
    stream.expires_after(timeout);
    error_code ec;
    const asio::ip::address ip = asio::ip::make_address(server.ip, ec);
    const asio::ip::tcp::endpoint endpoint(ip, server.port);
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return response;
    }
    response.connected = true;
    const http::request<http::string_body> message = make_message(server, request);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return response;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes);
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    // A body delimited only by the end of the connection may have been truncated.
    if (ec || parser.need_eof()) {
        co_return response;
    }
    response.status = parser.get().result_int();
    response.body = std::move(parser.get().body());
    co_return response;
}

asio::awaitable<void> fetch_and_report(asio::io_context& io, server_address server, platform_request request,
                                       duration timeout, std::function<void(platform_response)> on_response)
{
    platform_response response = co_await fetch(io, server, request, timeout);
    on_response(std::move(response));
}

} // namespace

std::optional<server_address> parse_url(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    const std::size_t colon = url.rfind(':');
    if (!url.starts_with(scheme) || colon == std::string_view::npos || colon < scheme.size()) {
        return std::nullopt;
    }
    server_address server;
    server.ip = std::string(url.substr(scheme.size(), colon - scheme.size()));
    std::string_view port = url.substr(colon + 1);
    if (port.ends_with('/')) {
        port.remove_suffix(1);
    }
    const auto parsed = std::from_chars(port.begin(), port.end(), server.port);
    error_code ec;
    asio::ip::make_address(server.ip, ec);
    if (ec || parsed.ec != std::errc{} || parsed.ptr != port.end() || server.port == 0) {
        return std::nullopt;
    }
    return server;
}

void async_fetch(asio::io_context& io, const server_address& server, const platform_request& request,
                 duration timeout, std::function<void(platform_response)> on_response)
{
    asio::co_spawn(io, fetch_and_report(io, server, request, timeout, std::move(on_response)),
                   asio::detached);
}

} // namespace camphorknot::tables_internal
