#include "http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace standins {
namespace {

std::optional<tcp::endpoint> parse_address(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    beast::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (colon == std::string::npos || error) {
        return std::nullopt;
    }
    return tcp::endpoint(ip,
                         static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
}

std::unique_ptr<beast::tcp_stream> pop_idle_connection(connection_pool& pool, const std::string& address)
{
    auto& idle = pool.idle[address];
    if (idle.empty()) {
        return nullptr;
    }
    auto stream = std::move(idle.back());
    idle.pop_back();
    return stream;
}

client_result to_client_result(const beast::error_code& error)
{
    return error == beast::error::timeout ? client_result::timed_out : client_result::broken;
}

asio::awaitable<client_result> exchange(beast::tcp_stream& stream, client_request& request,
                                        client_response& response)
{
    beast::error_code error;
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    // The server may refuse the request while its body is still being sent: read the answer even if the write
    // failed.
    const beast::error_code write_error = error;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(64ULL << 20U);
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return to_client_result(write_error ? write_error : error);
    }
    response = parser.release();
    if (write_error) {
        response.keep_alive(false);
    }
    co_return client_result::answered;
}

} // namespace

asio::awaitable<client_reply> send_request(connection_pool& pool, std::string address,
                                           client_request& request, std::int64_t timeout_ms)
{
    client_reply reply;
    beast::error_code error;
    auto stream = pop_idle_connection(pool, address);
    if (!stream) {
        const auto endpoint = parse_address(address);
        if (!endpoint) {
            reply.result = client_result::connect_failed;
            co_return reply;
        }
        const auto executor = co_await asio::this_coro::executor;
        stream = std::make_unique<beast::tcp_stream>(executor);
        stream->expires_after(std::chrono::milliseconds(timeout_ms));
        co_await stream->async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            reply.result = client_result::connect_failed;
            co_return reply;
        }
        stream->socket().set_option(tcp::no_delay(true), error);
    }
    stream->expires_after(std::chrono::milliseconds(timeout_ms));
    request.set(http::field::host, address);
    request.prepare_payload();
    reply.result = co_await exchange(*stream, request, reply.response);
    if (reply.result == client_result::answered && reply.response.keep_alive()) {
        stream->expires_never();
        pool.idle[address].push_back(std::move(stream));
    }
    co_return reply;
}

} // namespace standins
