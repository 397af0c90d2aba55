// Ports for the platform and for callers' look-ups: directory, readiness, metrics.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "camphorknot/platform/dialect.hpp"
#include "control.hpp"
#include "sockets.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// How long a caller may use an answer of the directory. Short, since a stopped instance goes on serving only
// a little longer than this.
constexpr duration time_to_live = std::chrono::milliseconds(2000);
// Time in which a request of these ports has to come, and idle time of their connections.
constexpr duration request_timeout = std::chrono::seconds(10);
constexpr std::size_t longest_request = std::size_t{16} * 1024;

using port_handler =
    std::function<http::response<http::string_body>(const http::request<http::string_body>&)>;

http::response<http::string_body> make_response(unsigned status, std::string body, std::string_view type)
{
    http::response<http::string_body> response(http::int_to_status(status), 11);
    response.set(http::field::content_type, type);
    response.body() = std::move(body);
    return response;
}

bool is_ready(const control& state)
{
    return state.routes != nullptr && !state.stopping;
}

http::response<http::string_body> answer_directory(control& state,
                                                   const http::request<http::string_body>& request)
{
    const auto question = platform::read_directory_query(request.target());
    if (!question) {
        return make_response(404, "{}", "application/json");
    }
    const auto addresses = steering::front_addresses_for(
        state.fleet, question->region, question->failure_domain, is_ready(state), boot_now());
    if (addresses.empty()) {
        return make_response(503, "{}", "application/json");
    }
    counter(state.page, "camphorknot_lookups_total", "").fetch_add(1, std::memory_order_relaxed);
    const duration live = std::min(time_to_live, state.settings.bounds.max_time_to_live);
    return make_response(200, platform::encode_directory_answer(addresses, live), "application/json");
}

http::response<http::string_body> answer_readiness(const control& state,
                                                   const http::request<http::string_body>& request)
{
    if (!platform::is_readiness_query(request.target())) {
        return make_response(404, "", "text/plain");
    }
    return make_response(is_ready(state) ? 200 : 503, "", "text/plain");
}

http::response<http::string_body> answer_metrics(const control& state,
                                                 const http::request<http::string_body>& request)
{
    if (request.target() != "/metrics") {
        return make_response(404, "", "text/plain");
    }
    return make_response(200, metrics_page(state.page), "text/plain; version=0.0.4");
}

asio::awaitable<void> serve_connection(tcp::socket socket, std::shared_ptr<const port_handler> handler)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool keep = true;
    while (keep) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(longest_request);
        parser.body_limit(longest_request);
        stream.expires_after(request_timeout);
        boost::system::error_code error;
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        const http::request<http::string_body> request = parser.release();
        http::response<http::string_body> response = (*handler)(request);
        keep = request.keep_alive();
        response.keep_alive(keep);
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        keep = keep && !error;
    }
}

asio::awaitable<void> accept_connections(control& state, std::shared_ptr<tcp::acceptor> acceptor,
                                         std::shared_ptr<const port_handler> handler)
{
    while (acceptor->is_open()) {
        boost::system::error_code error;
        tcp::socket socket(state.context);
        co_await acceptor->async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(state.context, serve_connection(std::move(socket), handler), asio::detached);
        }
    }
}

bool open_port(control& state, const endpoint& at, port_handler handler)
{
    auto acceptor = std::make_shared<tcp::acceptor>(state.context);
    if (!open_acceptor(*acceptor, at)) {
        return false;
    }
    auto shared = std::make_shared<const port_handler>(std::move(handler));
    asio::co_spawn(state.context, accept_connections(state, acceptor, shared), asio::detached);
    return true;
}

} // namespace

bool open_service_ports(control& state)
{
    using request_type = http::request<http::string_body>;
    return open_port(state, state.settings.directory,
                     [&state](const request_type& request) { return answer_directory(state, request); }) &&
           open_port(state, state.settings.readiness,
                     [&state](const request_type& request) { return answer_readiness(state, request); }) &&
           open_port(state, state.settings.metrics,
                     [&state](const request_type& request) { return answer_metrics(state, request); });
}

} // namespace camphorknot::edge
