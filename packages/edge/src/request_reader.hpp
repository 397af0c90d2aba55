// Reads the requests of a caller's connection, and writes answers to it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

#include "traffic.hpp"

namespace camphorknot::edge {

struct pipeline;

/// A connection of a caller, or of an instance that passes requests on.
struct session {
    session(connection_ends& ends, boost::asio::ip::tcp::socket socket, session_kind opened_by)
        : stream(std::move(socket)), kind(opened_by), watch(ends, stream.socket(), opened_by)
    {
    }
    boost::beast::tcp_stream stream;
    session_kind kind;
    boost::beast::flat_buffer buffer;
    bool is_writing = false;           ///< An answer is being written.
    bool is_cancel_due = false;        ///< The read is to be cancelled when the answer is written.
    counted_connection_handle counted; ///< Toward the limit for connections.
    std::shared_ptr<pipeline> ahead;   ///< Null unless further requests came before an answer was written.
    connection_watch watch;            ///< Reports its unanswered requests.
};
using session_handle = std::shared_ptr<session>;

/// @return the limits of the current configuration.
steering::caller_limits current_limits(const traffic_state& state);

/// Reads one request.
/// @return null if the connection is to be closed; a malformed request, or one that a stop refuses, has been
/// answered by then.
boost::asio::awaitable<std::shared_ptr<caller_request>> read_request(traffic_state& state,
                                                                     session_handle connection);

/// Reads and drops what the caller still sends, until it closes the connection, or has received the answer
/// and sent nothing for a second, or half a minute has passed. Otherwise the unread bytes would reset the
/// connection, and the caller might lose the last answer.
boost::asio::awaitable<void> discard_input(traffic_state& state, session_handle connection);

/// Writes the answer to @p request.
/// @param keep_alive false to ask the caller to close the connection.
/// @return the error of the write.
boost::asio::awaitable<boost::system::error_code> write_answer(session_handle connection,
                                                               std::shared_ptr<caller_request> request,
                                                               platform::http_response answer,
                                                               bool keep_alive);

} // namespace camphorknot::edge
