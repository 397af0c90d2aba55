// Blocking sockets on 127.0.0.1 that play callers and targets in tests.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace camphorknot::test {

/// Owned descriptor of a connected TCP socket.
struct connection {
    explicit connection(int owned) : descriptor(owned) {}
    connection(connection&& other) noexcept : descriptor(other.descriptor) { other.descriptor = -1; }
    connection& operator=(connection&&) = delete;
    ~connection();
    int descriptor;
};

connection connect_to(std::uint16_t port);
void send_text(const connection& to, std::string_view text);

/// Reads until @p end appears, or the connection ends. @return all bytes read.
std::string read_until(const connection& from, std::string_view end);

/// Reads until the connection ends. @param reset set if it ended by a reset.
std::string read_to_end(const connection& from, bool* reset = nullptr);

void close_with_reset(connection& closed);

/// Server that runs @p serve for each accepted connection, one thread each.
struct loopback_server {
    explicit loopback_server(std::function<void(connection)> serve);
    ~loopback_server();
    loopback_server(const loopback_server&) = delete;
    loopback_server& operator=(const loopback_server&) = delete;
    [[nodiscard]] std::string address() const;

    std::uint16_t port = 0;

private:
    int listener = -1;
    std::thread acceptor;
    std::vector<std::thread> sessions;
};

} // namespace camphorknot::test
