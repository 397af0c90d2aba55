// Socket helpers that Asio lacks.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "camphorknot/edge/settings.hpp"

namespace camphorknot::edge {

/// @return the address for Asio; its IP address is unspecified if @p address.ip is invalid.
boost::asio::ip::tcp::endpoint to_asio(const endpoint& address);

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT to @p unacknowledged_limit: the connection fails if sent bytes stay
/// unacknowledged for that long. This is the only sign of a peer that lost power or of a middlebox that
/// dropped the connection's state.
void set_tcp_options(boost::asio::ip::tcp::socket& socket, duration unacknowledged_limit);

/// Whether a socket has bytes to read, has none, or was closed by its peer.
enum class socket_state : std::uint8_t { quiet, readable, closed };
/// Inspects a socket without consuming bytes.
socket_state peek(boost::asio::ip::tcp::socket& socket);

/// Sets TCP_USER_TIMEOUT, see set_tcp_options.
void set_unacknowledged_limit(boost::asio::ip::tcp::socket& socket, duration limit);

/// @return number of written bytes that the peer's system has not acknowledged; 0 if it is unknown.
std::size_t unacknowledged_bytes(boost::asio::ip::tcp::socket& socket);
/// @return whether bytes that were written have not been acknowledged by the peer's system.
bool has_unacknowledged(boost::asio::ip::tcp::socket& socket);

/// Closes the socket with a reset, so that the peer cannot take it for a regular end of the connection.
void abort_connection(boost::asio::ip::tcp::socket& socket);

/// Opens a listening socket. @return the error of the system, if the address cannot be listened at.
boost::system::error_code open_acceptor(boost::asio::ip::tcp::acceptor& acceptor, const endpoint& address);

} // namespace camphorknot::edge
