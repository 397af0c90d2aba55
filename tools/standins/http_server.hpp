/// @file
/// Small HTTP server for the stand-ins; it reads complete requests and passes them to a handler. The daemons
/// don't use it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>

namespace standins {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Result of a handler for one request.
struct http_reply {
    http_response response;
    bool drop_connection = false; ///< Close the connection without an answer, to simulate a lost answer.
};

using http_handler = std::function<boost::asio::awaitable<http_reply>(http_request&)>;

/// Serves 127.0.0.1:@p port until the context stops. @return whether the port could be bound.
bool serve_http(boost::asio::io_context& context, std::uint16_t port, http_handler handler);

/// @return a JSON response with @p status.
http_response json_response(unsigned status, std::string text);

/// @return the value of @p name in the query of @p target, percent-decoded, or an empty string.
std::string query_value(std::string_view target, std::string_view name);

/// Waits for @p milliseconds.
boost::asio::awaitable<void> sleep_ms(std::int64_t milliseconds);

/// Stops @p context at SIGTERM or SIGINT.
void stop_at_signal(boost::asio::io_context& context);

} // namespace standins
