#include "server.h"

#include <arpa/inet.h>
#include <cstdio>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "stage.h"

namespace review {

namespace {

constexpr unsigned queue_places = 9;

// The value of a header field; empty if there is none.
std::string field(const std::string& head, const std::string& name)
{
    for (std::size_t line = head.find("\r\n"); line != std::string::npos;
         line = head.find("\r\n", line + 2)) {
        const std::size_t at = line + 2;
        if (::strncasecmp(head.c_str() + at, name.c_str(), name.size()) == 0 &&
            head[at + name.size()] == ':') {
            const std::size_t begin = head.find_first_not_of(' ', at + name.size() + 1);
            return head.substr(begin, head.find("\r\n", begin) - begin);
        }
    }
    return {};
}

// Reads until `size` bytes are there. Returns false at the end of the connection.
bool fill(int socket, std::string& buffer, std::size_t size, const std::atomic<bool>& ended)
{
    char block[16384];
    while (buffer.size() < size) {
        pollfd entry{socket, POLLIN, 0};
        const int ready = ::poll(&entry, 1, 100);
        if (ended) {
            return false;
        }
        if (ready <= 0) {
            continue;
        }
        const auto count = ::recv(socket, block, sizeof block, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(block, static_cast<std::size_t>(count));
    }
    return true;
}

} // namespace

server::server(std::string at_ip, std::string its_id, unsigned its_slots, int its_service_ms)
    : ip(std::move(at_ip)), id(std::move(its_id)), slots(its_slots), service_ms(its_service_ms)
{
    listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    ::bind(listener, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(listener, 1024);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    acceptor = std::thread([this] { accept_all(); });
}

server::~server()
{
    ended = true;
    changed.notify_all();
    acceptor.join();
    for (std::thread& each : connections) {
        each.join();
    }
    ::close(listener);
}

void server::accept_all()
{
    while (!ended) {
        pollfd entry{listener, POLLIN, 0};
        if (::poll(&entry, 1, 100) <= 0) {
            continue;
        }
        const int socket = ::accept(listener, nullptr, nullptr);
        if (socket >= 0) {
            connections.emplace_back([this, socket] {
                serve(socket);
                ::close(socket);
            });
        }
    }
}

std::string server::answer(const std::string& attempt, bool keep)
{
    std::unique_lock lock(guard);
    const auto load = [&] {
        return "Server-Load: " + std::to_string(running) + "," + std::to_string(waiting) + "," +
               std::to_string(slots) + "\r\n";
    };
    if (running >= slots && waiting >= queue_places) {
        return "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + attempt +
               "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n" + load() + "\r\n";
    }
    ++waiting;
    changed.wait(lock, [&] { return ended || running < slots; });
    --waiting;
    ++running;
    ran.push_back(attempt);
    lock.unlock();
    for (int step = 0; step < service_ms && !ended; step += 10) {
        std::this_thread::sleep_for(std::chrono::milliseconds(std::min(10, service_ms - step)));
    }
    lock.lock();
    --running;
    changed.notify_all();
    const std::string body = "answer of " + id + " to " + attempt;
    ++answers;
    if (spoils_one_in > 0 && answers % static_cast<unsigned>(spoils_one_in.load()) == 0) {
        ++spoiled;
        char size[16];
        std::snprintf(size, sizeof size, "%zx", body.size());
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: s-" + attempt +
               "\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body +
               "\r\n0\r\nX-Pad: " + std::string(spoiled_field_bytes, 'a') + "\r\n\r\n";
    }
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: s-" + attempt + "\r\n" +
           load() + "Keep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) +
           (keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n") + body;
}

void server::serve(int socket)
{
    const int yes = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    std::string buffer;
    while (true) {
        std::size_t head_end = buffer.find("\r\n\r\n");
        while (head_end == std::string::npos) {
            if (!fill(socket, buffer, buffer.size() + 1, ended)) {
                return;
            }
            head_end = buffer.find("\r\n\r\n");
        }
        const std::string head = buffer.substr(0, head_end + 2);
        const std::string length = field(head, "Content-Length");
        const std::size_t end = head_end + 4 + (length.empty() ? 0 : std::stoul(length));
        if (!fill(socket, buffer, end, ended)) {
            return;
        }
        buffer.erase(0, end);
        const std::string attempt = field(head, "Attempt-Id");
        const std::string expected = field(head, "Expect-Instance");
        const bool is_other = !expected.empty() && expected != id;
        const std::string text = is_other ? "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt +
                                                "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
                                          : answer(attempt, true);
        if (!send_all(socket, text, std::chrono::seconds(5))) {
            return;
        }
    }
}

} // namespace review
