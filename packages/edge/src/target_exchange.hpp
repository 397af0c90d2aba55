// Sends one request to one target and reads its answer, over kept connections.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "camphorknot/platform/dialect.hpp"
#include "camphorknot/steering.hpp"

namespace camphorknot::edge {

/// An open connection to a target.
struct target_connection {
    explicit target_connection(const boost::asio::any_io_executor& executor) : stream(executor) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    time_point idle_since{};
    time_point idle_until{}; ///< The target closes it about then.
    bool was_used = false;
};
using target_connection_handle = std::shared_ptr<target_connection>;

/// Idle connections, by target id.
struct connection_pool {
    std::map<std::string, std::vector<target_connection_handle>> idle;
};

/// Closes idle connections that are about to end, and all of targets for which @p is_known is false.
void sweep_connections(connection_pool& pool, const std::function<bool(const std::string&)>& is_known,
                       time_point now);

/// How an exchange ended.
enum class exchange_end : std::uint8_t {
    answered,      ///< A whole answer to this request.
    not_connected, ///< No connection: the request has certainly not run.
    broken,        ///< It was sent, and no whole answer came: it may have run.
    timed_out,     ///< It was sent, and no whole answer came in time: it may have run.
    abandoned,     ///< The caller left, and the connection was closed to stop the target's work.
};

struct exchange_result {
    exchange_end end = exchange_end::not_connected;
    platform::http_response response;
    platform::answer_metadata facts;
    bool new_connection = false;
    duration connect_time{};
};

/// Lets the owner of an exchange break it off.
struct exchange_handle {
    target_connection_handle connection;
    bool abandoned = false;
};

/// Closes the exchange's connection, so that the target stops its work.
void abandon(exchange_handle& exchange);

/// @param attempt id of the request; an answer with another one belongs to an earlier request.
/// @param at_most_once only a connection that was used a moment ago is used again, since a reset of an older
/// one would leave open whether the request ran.
/// @param running is filled for abandon; it must live as long as the exchange.
boost::asio::awaitable<exchange_result> exchange(connection_pool& pool, const steering::target& to,
                                                 platform::http_request request, std::string attempt,
                                                 bool at_most_once, duration limit,
                                                 std::shared_ptr<exchange_handle> running);

} // namespace camphorknot::edge
