#include "loopback.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorknot::test {
namespace {

sockaddr_in loopback_address(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

const sockaddr* as_sockaddr(const sockaddr_in& address)
{
    return static_cast<const sockaddr*>(static_cast<const void*>(&address));
}

void require(bool works, const char* what)
{
    if (!works) {
        throw std::runtime_error(what);
    }
}

// Makes a test that waits for bytes that never arrive end with an error instead of hanging.
void set_receive_timeout(int descriptor)
{
    const timeval limit{60, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

} // namespace

connection::~connection()
{
    if (descriptor >= 0) {
        ::close(descriptor);
    }
}

connection connect_to(std::uint16_t port)
{
    connection opened(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = loopback_address(port);
    require(::connect(opened.descriptor, as_sockaddr(address), sizeof address) == 0, "connect failed");
    set_receive_timeout(opened.descriptor);
    return opened;
}

void send_text(const connection& to, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t sent = ::send(to.descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
}

std::string read_until(const connection& from, std::string_view end)
{
    std::string read;
    char byte = 0;
    while (read.find(end) == std::string::npos && ::recv(from.descriptor, &byte, 1, 0) == 1) {
        read += byte;
    }
    return read;
}

std::string read_to_end(const connection& from, bool* reset)
{
    std::string read;
    std::vector<char> buffer(65536);
    while (true) {
        const ssize_t received_size = ::recv(from.descriptor, buffer.data(), buffer.size(), 0);
        if (received_size <= 0) {
            require(received_size == 0 || errno != EAGAIN, "nothing received within the limit");
            if (reset != nullptr) {
                *reset = received_size < 0 && errno == ECONNRESET;
            }
            return read;
        }
        read.append(buffer.data(), static_cast<std::size_t>(received_size));
    }
}

void close_with_reset(connection& closed)
{
    const linger option{1, 0};
    ::setsockopt(closed.descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    ::close(closed.descriptor);
    closed.descriptor = -1;
}

loopback_server::loopback_server(std::function<void(connection)> serve)
    : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopback_address(0);
    require(::bind(listener, as_sockaddr(address), sizeof address) == 0, "bind failed");
    require(::listen(listener, 64) == 0, "listen failed");
    socklen_t length = sizeof address;
    ::getsockname(listener, static_cast<sockaddr*>(static_cast<void*>(&address)), &length);
    port = ntohs(address.sin_port);
    acceptor = std::thread([this, serve = std::move(serve)] {
        while (true) {
            const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            set_receive_timeout(accepted);
            sessions.emplace_back([serve, accepted] { serve(connection(accepted)); });
        }
    });
}

loopback_server::~loopback_server()
{
    ::shutdown(listener, SHUT_RDWR);
    acceptor.join();
    ::close(listener);
    for (std::thread& session : sessions) {
        session.join();
    }
}

std::string loopback_server::address() const
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace camphorknot::test
