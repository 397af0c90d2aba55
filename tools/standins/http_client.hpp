/// @file
/// HTTP client of the stand-in callers, with pooled connections and timeouts.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace standins {

using client_request = boost::beast::http::request<boost::beast::http::string_body>;
using client_response = boost::beast::http::response<boost::beast::http::string_body>;

enum class client_result { answered, connect_failed, broken, timed_out };

struct client_reply {
    client_result result = client_result::broken;
    client_response response;
};

/// Idle keep-alive connections by address "ip:port".
struct connection_pool {
    std::map<std::string, std::vector<std::unique_ptr<boost::beast::tcp_stream>>> idle;
};

/// Sends @p request to @p address ("ip:port") and reads the complete answer. @p timeout_ms applies separately
/// to connecting and to the exchange. The pool must outlive the returned awaitable.
boost::asio::awaitable<client_reply> send_request(connection_pool& pool, std::string address,
                                                  client_request& request, std::int64_t timeout_ms);

} // namespace standins
