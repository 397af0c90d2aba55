#include "crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "process_fixture.hpp"

namespace crowd_tests {
namespace {

using clock = std::chrono::steady_clock;

int connect_to(const std::string& ip, std::uint16_t port)
{
    const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (connect(opened, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(opened);
        return -1;
    }
    return opened;
}

// One caller's progress in the text.
struct sender {
    int socket = -1;
    std::string_view left;
};

// Sends a piece without blocking. Returns whether there was progress; a disconnected caller has nothing left.
bool send_piece(sender& caller, std::size_t piece_bytes)
{
    const std::string_view piece = caller.left.substr(0, piece_bytes);
    const ssize_t sent = send(caller.socket, piece.data(), piece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return false;
    }
    caller.left.remove_prefix(sent < 0 ? caller.left.size() : static_cast<std::size_t>(sent));
    return true;
}

} // namespace

crowd::~crowd()
{
    for (const int open : sockets) {
        close(open);
    }
}

void send_from_crowd(crowd& callers, const std::string& ip, std::size_t count, std::string_view text,
                     std::size_t piece_bytes, std::size_t whole_count, std::size_t kept_back,
                     std::uint16_t port, std::chrono::milliseconds pause)
{
    std::vector<sender> senders;
    for (std::size_t number = 0; number < count; ++number) {
        const int opened = connect_to(ip, port);
        if (opened >= 0) {
            const int is_immediate = 1; // Each piece is sent at once.
            setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &is_immediate, sizeof is_immediate);
            callers.sockets.push_back(opened);
            senders.push_back(
                {opened, number < whole_count ? text : text.substr(0, text.size() - kept_back)});
        }
    }
    clock::time_point progress_at = clock::now();
    while (!senders.empty() && clock::now() - progress_at < std::chrono::seconds(3)) {
        bool has_progress = false;
        for (sender& caller : senders) {
            has_progress = send_piece(caller, piece_bytes) || has_progress;
        }
        std::erase_if(senders, [](const sender& caller) { return caller.left.empty(); });
        std::this_thread::sleep_for(pause);
        if (has_progress) {
            progress_at = clock::now();
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
}

void connect_silent_crowd(crowd& callers, const std::string& ip, std::uint16_t port, std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number) {
        const int opened = connect_to(ip, port);
        if (opened >= 0) {
            callers.sockets.push_back(opened);
        }
    }
}

std::string make_head(const std::string& method, const std::string& fields)
{
    return method +
           " /find/1 HTTP/1.1\r\nHost: seals.example\r\nAuthorization: Token key-one\r\n"
           "Deadline-Ms: 60000\r\n" +
           fields;
}

std::string make_archive_head(const std::string& method, const std::string& fields)
{
    return method +
           " /archive/1 HTTP/1.1\r\nHost: seals.example\r\nAuthorization: Token key-one\r\n"
           "Deadline-Ms: 60000\r\n" +
           fields;
}

std::string make_short_fields(std::size_t size)
{
    constexpr std::string_view field = "a:\r\n";
    std::string fields;
    fields.reserve(size);
    while (fields.size() + field.size() <= size) {
        fields += field;
    }
    return fields;
}

std::string make_upload(std::string_view body, bool is_chunked)
{
    if (!is_chunked) {
        const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return make_head("POST", length).append(body);
    }
    constexpr std::size_t chunk_bytes = std::size_t{64} * 1024;
    std::ostringstream text;
    text << make_head("POST", "Transfer-Encoding: chunked\r\n\r\n");
    for (; !body.empty(); body.remove_prefix(std::min(body.size(), chunk_bytes))) {
        const std::string_view chunk = body.substr(0, chunk_bytes);
        text << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
    }
    text << "0\r\n\r\n";
    return text.str();
}

unsigned ask_for_status(const std::string& ip, std::string_view request, std::uint16_t port)
{
    crowd caller;
    const int opened = connect_to(ip, port);
    if (opened < 0) {
        return 0;
    }
    caller.sockets.push_back(opened);
    const timeval limit{60, 0};
    setsockopt(opened, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(opened, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    while (!request.empty()) {
        const ssize_t sent = send(opened, request.data(), request.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            break; // A refusal may have been written before the connection was closed.
        }
        request.remove_prefix(static_cast<std::size_t>(sent));
    }
    std::string status_line(12, '\0'); // "HTTP/1.1 200"
    const ssize_t received = recv(opened, status_line.data(), status_line.size(), MSG_WAITALL);
    return received == 12 ? static_cast<unsigned>(std::stoul(status_line.substr(9))) : 0;
}

} // namespace crowd_tests
