#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <thread>

#include "../traffic/worker.hpp"
#include "camphorknot/daemon/admin.hpp"

namespace camphorknot {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto request_timeout = std::chrono::seconds(10);
constexpr auto accept_pause = std::chrono::milliseconds(50);
constexpr std::size_t max_connections = 64;
constexpr std::uint32_t max_head_bytes = 16'384;

// A change that adds 140,000 blocks takes about 20 MB of JSON.
constexpr std::uint64_t body_limit = 67'108'864;

} // namespace

struct admin_server {
    admin_handler handler;
    std::size_t connections = 0;
    std::uint16_t port = 0;
    asio::io_context io{1};
    tcp::acceptor acceptor{io};
    std::thread thread;
};

namespace {

admin_response handle(const admin_server& server, const http::request<http::string_body>& message)
{
    admin_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.authorization = std::string(message[http::field::authorization]);
    request.body = message.body();
    return server.handler(request);
}

http::response<http::string_body> make_message(admin_response response, bool keep_alive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    message.set(http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.fields) {
        message.set(name, value);
    }
    message.keep_alive(keep_alive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

asio::awaitable<void> serve(admin_server& server, tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_head_bytes);
        parser.body_limit(body_limit);
        stream.expires_after(request_timeout);
        error_code ec;
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
        keep_alive = parser.keep_alive();
        const http::response<http::string_body> message =
            make_message(handle(server, parser.get()), keep_alive);
        stream.expires_after(request_timeout);
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
    }
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    --server.connections;
}

asio::awaitable<void> accept_operators(admin_server& server)
{
    asio::steady_timer pause(server.io);
    while (server.acceptor.is_open()) {
        tcp::socket socket(server.io);
        error_code ec;
        co_await server.acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && server.connections < max_connections) {
            ++server.connections;
            asio::co_spawn(server.io, serve(server, std::move(socket)), asio::detached);
        } else if (ec) {
            pause.expires_after(accept_pause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }
}

listen_error open_acceptor(admin_server& server, const tcp::endpoint& endpoint)
{
    error_code ec;
    server.acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        server.acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        server.acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        server.acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return ec == asio::error::address_in_use ? listen_error::address_in_use
                                                 : listen_error::refused_by_system;
    }
    server.port = server.acceptor.local_endpoint(ec).port();
    return listen_error::none;
}

} // namespace

void admin_server_deleter::operator()(admin_server* server) const
{
    if (server != nullptr && server->thread.joinable()) {
        server->io.stop();
        server->thread.join();
    }
    delete server;
}

result<admin_server_handle, listen_error> start_admin_server(const std::string& address,
                                                             admin_handler handler)
{
    const auto endpoint = daemon_internal::parse_endpoint(address);
    if (!endpoint) {
        return fail<admin_server_handle>(listen_error::address_malformed);
    }
    admin_server_handle server(new admin_server);
    server->handler = std::move(handler);
    const listen_error error = open_acceptor(*server, *endpoint);
    if (error != listen_error::none) {
        return fail<admin_server_handle>(error);
    }
    asio::co_spawn(server->io, accept_operators(*server), asio::detached);
    server->thread = std::thread([state = server.get()] { state->io.run(); });
    return succeed<listen_error>(std::move(server));
}

std::uint16_t port_of(const admin_server& server)
{
    return server.port;
}

} // namespace camphorknot
