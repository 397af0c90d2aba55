// Blocking sockets on 127.0.0.1 that act as callers and targets in tests.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace camphorknot::test {

/// Owner of the descriptor of a connected TCP socket.
struct connection {
    explicit connection(int owned) : descriptor(owned) {}
    connection(connection&& other) noexcept : descriptor(other.descriptor) { other.descriptor = -1; }
    connection& operator=(connection&&) = delete;
    ~connection();
    int descriptor;
};

/// Throws std::runtime_error if the connection fails.
connection connect_to(std::uint16_t port);

/// Sends @p text; returns early if the connection ends.
void send_text(const connection& to, std::string_view text);

/// Reads until @p end has been received or the connection ends. @return all bytes read.
std::string read_until(const connection& from, std::string_view end);

/// Reads until the connection ends. Throws std::runtime_error if nothing arrives for 60 seconds.
/// @param reset set to whether it ended by a reset; may be null. @return all bytes read.
std::string read_to_end(const connection& from, bool* reset = nullptr);

/// Closes the connection with a TCP reset.
void close_with_reset(connection& closed);

/// Server that runs @p serve for each accepted connection, in a thread per connection.
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
