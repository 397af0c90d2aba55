#include "http_server.hpp"

#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace standins {
namespace {

constexpr std::uint64_t body_limit_bytes = 256ULL << 20U;

asio::awaitable<void> serve_connection(tcp::socket socket, std::shared_ptr<http_handler> handler)
{
    beast::flat_buffer buffer;
    beast::error_code error;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(body_limit_bytes);
        co_await http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        http_request request = parser.release();
        http_reply reply = co_await (*handler)(request);
        if (reply.drop_connection) {
            co_return;
        }
        reply.response.version(request.version());
        reply.response.keep_alive(request.keep_alive());
        reply.response.prepare_payload();
        co_await http::async_write(socket, reply.response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !request.keep_alive()) {
            co_return;
        }
    }
}

asio::awaitable<void> accept_connections(std::shared_ptr<tcp::acceptor> acceptor,
                                         std::shared_ptr<http_handler> handler)
{
    beast::error_code error;
    for (;;) {
        tcp::socket socket =
            co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            socket.set_option(tcp::no_delay(true), error);
            asio::co_spawn(acceptor->get_executor(), serve_connection(std::move(socket), handler),
                           asio::detached);
        }
    }
}

int hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 &&
            hex_digit(text[i + 2]) >= 0) {
            decoded.push_back(static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2])));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

} // namespace

bool serve_http(asio::io_context& context, std::uint16_t port, http_handler handler)
{
    auto acceptor = std::make_shared<tcp::acceptor>(context);
    beast::error_code error;
    acceptor->open(tcp::v4(), error);
    acceptor->set_option(asio::socket_base::reuse_address(true), error);
    acceptor->bind({asio::ip::address_v4::loopback(), port}, error);
    if (error) {
        return false;
    }
    acceptor->listen(asio::socket_base::max_listen_connections, error);
    auto shared_handler = std::make_shared<http_handler>(std::move(handler));
    asio::co_spawn(context, accept_connections(std::move(acceptor), std::move(shared_handler)),
                   asio::detached);
    return !error;
}

http_response json_response(unsigned status, std::string text)
{
    http_response response{http::int_to_status(status), 11};
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(text);
    return response;
}

std::string query_value(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    std::string_view query =
        question == std::string_view::npos ? std::string_view{} : target.substr(question + 1);
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percent_decode(pair.substr(equals + 1));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

asio::awaitable<void> sleep_ms(std::int64_t milliseconds)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(milliseconds));
    beast::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

void stop_at_signal(asio::io_context& context)
{
    auto signals = std::make_shared<asio::signal_set>(context, SIGINT, SIGTERM);
    signals->async_wait([signals, &context](const beast::error_code&, int) { context.stop(); });
}

} // namespace standins
