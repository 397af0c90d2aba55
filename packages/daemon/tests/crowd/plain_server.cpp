#include "plain_server.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace crowd_tests {
namespace {

constexpr int poll_ms = 20;

struct open_connection {
    int socket = -1;
    std::string input;
    std::string output; // Not written yet.
    bool is_closed = false;
};

void accept_all(const plain_server& server, std::vector<open_connection>& connections)
{
    int accepted = accept4(server.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    while (accepted >= 0) {
        connections.push_back({accepted, {}, {}, false});
        accepted = accept4(server.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    }
}

void read_input(open_connection& connection)
{
    std::array<char, 65'536> bytes{};
    const ssize_t count = recv(connection.socket, bytes.data(), bytes.size(), 0);
    connection.is_closed = count == 0 || (count < 0 && errno != EAGAIN);
    if (count > 0) {
        connection.input.append(bytes.data(), static_cast<std::size_t>(count));
    }
}

// Requests have no bodies, unless the server is silent.
void answer_requests(plain_server& server, open_connection& connection)
{
    const std::lock_guard lock(server.guard);
    if (server.answer == nullptr) {
        connection.input.clear();
        return;
    }
    for (std::size_t end = connection.input.find("\r\n\r\n"); end != std::string::npos;
         end = connection.input.find("\r\n\r\n")) {
        connection.output += server.answer(std::string_view(connection.input).substr(0, end));
        connection.input.erase(0, end + 4);
    }
}

void write_output(open_connection& connection)
{
    const ssize_t count =
        send(connection.socket, connection.output.data(), connection.output.size(), MSG_NOSIGNAL);
    if (count > 0) {
        connection.output.erase(0, static_cast<std::size_t>(count));
    } else if (errno != EAGAIN) {
        connection.is_closed = true;
    }
}

void serve_events(plain_server& server, open_connection& connection, short events)
{
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        read_input(connection);
        answer_requests(server, connection);
    }
    if (!connection.output.empty() && !connection.is_closed) {
        write_output(connection);
    }
}

void run(plain_server& server)
{
    std::vector<open_connection> connections;
    while (!server.is_ending) {
        std::vector<pollfd> polled = {{server.listener, POLLIN, 0}};
        for (const open_connection& connection : connections) {
            const short events = static_cast<short>(connection.output.empty() ? POLLIN : POLLIN | POLLOUT);
            polled.push_back({connection.socket, events, 0});
        }
        poll(polled.data(), polled.size(), poll_ms);
        for (std::size_t index = 0; index < connections.size(); ++index) {
            if (polled.at(index + 1).revents != 0) {
                serve_events(server, connections.at(index), polled.at(index + 1).revents);
            }
        }
        std::erase_if(connections, [](const open_connection& connection) {
            if (connection.is_closed) {
                close(connection.socket);
            }
            return connection.is_closed;
        });
        accept_all(server, connections);
    }
    for (const open_connection& connection : connections) {
        close(connection.socket);
    }
}

} // namespace

void plain_server_deleter::operator()(plain_server* server) const
{
    server->is_ending = true;
    server->thread.join();
    close(server->listener);
    delete server;
}

plain_server_handle start_plain_server(const std::string& ip)
{
    plain_server_handle server(new plain_server);
    server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(server->listener, generic, size) != 0 || listen(server->listener, SOMAXCONN) != 0 ||
        getsockname(server->listener, generic, &size) != 0) {
        throw std::runtime_error("cannot listen at " + ip);
    }
    server->port = ntohs(address.sin_port);
    server->thread = std::thread([running = server.get()] { run(*running); });
    return server;
}

void set_answer(plain_server& server, answer_function answer)
{
    const std::lock_guard lock(server.guard);
    server.answer = std::move(answer);
}

} // namespace crowd_tests
