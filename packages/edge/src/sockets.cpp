#include "sockets.hpp"

#include <boost/asio/ip/address.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace camphorknot::edge {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint to_asio(const endpoint& address)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    return {error ? asio::ip::address() : ip, address.port};
}

void set_unacknowledged_limit(tcp::socket& socket, duration limit)
{
    const auto ms =
        static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

void set_tcp_options(tcp::socket& socket, duration unacknowledged_limit)
{
    boost::system::error_code ignored; // Without the option the socket works, but sends small messages later.
    socket.set_option(tcp::no_delay(true), ignored);
    set_unacknowledged_limit(socket, unacknowledged_limit);
}

socket_state peek(tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        return socket_state::readable;
    }
    const bool would_block = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return would_block ? socket_state::quiet : socket_state::closed;
}

std::size_t unacknowledged_bytes(tcp::socket& socket)
{
    int bytes = 0;
    const bool is_known = ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
    return is_known ? static_cast<std::size_t>(bytes) : 0;
}

bool has_unacknowledged(tcp::socket& socket)
{
    return unacknowledged_bytes(socket) > 0;
}

void abort_connection(tcp::socket& socket)
{
    boost::system::error_code ignored; // The socket is closed in any case.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

boost::system::error_code open_acceptor(tcp::acceptor& acceptor, const endpoint& address)
{
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(to_asio(address), error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

} // namespace camphorknot::edge
