// Ports for the platform and for callers' look-ups: directory, readiness, metrics.
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "camphorknot/platform/dialect.hpp"
#include "camphorknot/platform/message_parser.hpp"
#include "control.hpp"
#include "sockets.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// How long a caller may use an answer of the directory. Short, since a stopping instance accepts requests for
// only slightly longer than this.
constexpr duration directory_time_to_live = std::chrono::milliseconds(2000);
// Time for a request on these ports to arrive; this includes the idle time of the connection.
constexpr duration request_timeout = std::chrono::seconds(10);
// Limit for the head of a request, and for its body.
constexpr std::size_t max_request_bytes = std::size_t{16} * 1024;
// Holds a head of that size, or a trailer.
constexpr std::size_t max_input_bytes = max_request_bytes + std::size_t{4} * 1024;

using port_handler = std::function<http::response<http::string_body>(const platform::http_request&)>;

http::response<http::string_body> make_response(unsigned status, std::string body, std::string_view type)
{
    http::response<http::string_body> response(http::int_to_status(status), 11);
    response.set(http::field::content_type, type);
    response.body() = std::move(body);
    return response;
}

bool is_ready(const control_state& state)
{
    return state.routes != nullptr && !state.stopping;
}

http::response<http::string_body> answer_directory(control_state& state,
                                                   const platform::http_request& request)
{
    const auto lookup = platform::read_directory_query(request.target());
    if (!lookup) {
        return make_response(404, "{}", "application/json");
    }
    const auto addresses = steering::front_addresses_for(state.fleet, lookup->region, lookup->failure_domain,
                                                         is_ready(state), boot_now());
    if (addresses.empty()) {
        return make_response(503, "{}", "application/json");
    }
    counter(state.metric_registry, "camphorknot_lookups_total", "").fetch_add(1, std::memory_order_relaxed);
    const duration time_to_live = std::min(directory_time_to_live, state.settings.bounds.max_time_to_live);
    return make_response(200, platform::encode_directory_answer(addresses, time_to_live), "application/json");
}

http::response<http::string_body> answer_readiness(const control_state& state,
                                                   const platform::http_request& request)
{
    if (!platform::is_readiness_query(request.target())) {
        return make_response(404, "", "text/plain");
    }
    return make_response(is_ready(state) ? 200 : 503, "", "text/plain");
}

http::response<http::string_body> answer_metrics(const control_state& state,
                                                 const platform::http_request& request)
{
    if (request.target() != "/metrics") {
        return make_response(404, "", "text/plain");
    }
    return make_response(200, metrics_page(state.metric_registry), "text/plain; version=0.0.4");
}

struct service_connection {
    explicit service_connection(tcp::socket socket) : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_input_bytes};
    counted_connection_handle counted;
};

// Returns 0 for an error that no answer would reach.
unsigned status_for_error(const boost::system::error_code& error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return 431;
    }
    if (error == http::error::body_limit) {
        return 413;
    }
    const bool is_fault = error.category() == make_error_code(http::error::end_of_stream).category() &&
                          error != http::error::end_of_stream && error != http::error::partial_message;
    return is_fault ? 400 : 0;
}

// Returns whether the connection stays open.
asio::awaitable<bool> serve_request(std::shared_ptr<service_connection> connection,
                                    std::shared_ptr<const port_handler> handler)
{
    platform::request_parser parser(max_request_bytes, max_request_bytes);
    connection->stream.expires_after(request_timeout);
    boost::system::error_code error;
    co_await http::async_read(connection->stream, connection->buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    const unsigned fault = error ? status_for_error(error) : 0;
    if (error && fault == 0) {
        co_return false;
    }
    const platform::http_request request = parser.release();
    http::response<http::string_body> response =
        fault == 0 ? (*handler)(request) : make_response(fault, "", "text/plain");
    const bool keep_alive = fault == 0 && request.keep_alive();
    response.keep_alive(keep_alive);
    response.prepare_payload();
    const time_point now = boot_now();
    if (fault == 0) {
        connection->counted->set_phase(steering::connection_phase::busy, now);
    }
    connection->counted->set_phase(steering::connection_phase::reading, now);
    co_await http::async_write(connection->stream, response,
                               asio::redirect_error(asio::use_awaitable, error));
    if (connection->buffer.size() == 0) {
        connection->buffer.shrink_to_fit();
    }
    co_return keep_alive && !error;
}

asio::awaitable<void> serve_connection(std::shared_ptr<service_connection> connection,
                                       std::shared_ptr<const port_handler> handler)
{
    bool keep_open = true;
    while (keep_open && !connection->counted->is_closing()) {
        keep_open = co_await serve_request(connection, handler);
        connection->counted->set_phase(steering::connection_phase::idle, boot_now());
    }
}

void start_connection(control_state& state, limited_port& port, tcp::socket socket,
                      std::shared_ptr<const port_handler> handler)
{
    auto accepted = std::make_shared<service_connection>(std::move(socket));
    accepted->counted = admit_connection(port, [weak = std::weak_ptr(accepted)] {
        if (const auto open = weak.lock()) {
            open->stream.cancel();
        }
    });
    if (accepted->counted != nullptr) {
        spawn_task(state.context, serve_connection(std::move(accepted), std::move(handler)), "service");
    }
}

boost::system::error_code open_port(control_state& state, limited_port& port, const endpoint& address,
                                    port_handler handler)
{
    auto acceptor = std::make_shared<tcp::acceptor>(state.context);
    if (const auto error = open_acceptor(*acceptor, address)) {
        return error;
    }
    auto shared = std::make_shared<const port_handler>(std::move(handler));
    const auto on_accepted = [&state, &port, acceptor, shared](tcp::socket socket) {
        start_connection(state, port, std::move(socket), shared);
    };
    spawn_task(state.context, accept_connections(*acceptor, port, on_accepted), "accept_service");
    return {};
}

} // namespace

std::optional<start_failure> open_service_ports(control_state& state)
{
    const steering::connection_limits limits =
        find_connection_limits(state.settings.descriptors, state.settings.memory_mb);
    open_limits(state.directory_port, "directory", limits.lookups, state.metric_registry);
    open_limits(state.readiness_port, "readiness", limits.readiness, state.metric_registry);
    open_limits(state.metrics_port, "metrics", limits.metrics, state.metric_registry);
    using request_type = platform::http_request;
    struct service_port {
        instance_port name;
        limited_port& port;
        const endpoint& address;
        port_handler handler;
    };
    const std::array<service_port, 3> ports = {{
        {instance_port::directory, state.directory_port, state.settings.directory,
         [&state](const request_type& request) { return answer_directory(state, request); }},
        {instance_port::readiness, state.readiness_port, state.settings.readiness,
         [&state](const request_type& request) { return answer_readiness(state, request); }},
        {instance_port::metrics, state.metrics_port, state.settings.metrics,
         [&state](const request_type& request) { return answer_metrics(state, request); }},
    }};
    for (const service_port& service : ports) {
        if (const auto error = open_port(state, service.port, service.address, service.handler)) {
            return start_failure{service.name, service.address, error};
        }
    }
    return std::nullopt;
}

} // namespace camphorknot::edge
