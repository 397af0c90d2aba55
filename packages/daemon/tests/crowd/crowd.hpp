// Callers that send what a test tells them to, without regard for the answers.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crowd_tests {

/// The callers of a crowd; their connections stay open until it is destroyed.
struct crowd {
    std::vector<int> sockets;

    crowd() = default;
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(crowd&&) = delete;
};

inline constexpr std::uint16_t front_port = 7300;
inline constexpr std::uint16_t readiness_port = 7301;
inline constexpr std::uint16_t directory_port = 7302;
inline constexpr std::uint16_t peers_port = 7303;
inline constexpr std::uint16_t metrics_port = 7304;
inline constexpr std::uint16_t relay_port = 7305;

/// Opens @p count connections and sends @p text on each, in turn and piece by piece. Returns when each caller
/// has sent its text or was disconnected, or when none could send for three seconds.
/// @param piece_bytes largest part that a caller sends before the next one's turn.
/// @param whole_count number of the first callers that send the whole text.
/// @param kept_back bytes at the end of the text that the other callers do not send.
/// @param pause after each round, for pieces that the receiver is to read one by one.
void send_from_crowd(crowd& callers, const std::string& ip, std::size_t count, std::string_view text,
                     std::size_t piece_bytes, std::size_t whole_count, std::size_t kept_back,
                     std::uint16_t port = front_port, std::chrono::milliseconds pause = {});

/// Opens @p count connections to @p port that send nothing.
void connect_silent_crowd(crowd& callers, const std::string& ip, std::uint16_t port, std::size_t count);

/// @return the start of a request, without the empty line at its end.
std::string make_head(const std::string& method, const std::string& fields);

/// @return the start of a request to the service that only answers as a test tells it to.
std::string make_archive_head(const std::string& method, const std::string& fields);

/// @return header fields of four bytes each, which take the most memory for their size; @p size bytes.
std::string make_short_fields(std::size_t size);

/// @return a whole request with @p body, framed by its length or as chunks of 64 kB.
std::string make_upload(std::string_view body, bool is_chunked);

/// Sends a request on a connection of its own. @return the status of the answer; 0 if there is none within 60
/// s.
unsigned ask_for_status(const std::string& ip, std::string_view request, std::uint16_t port = front_port);

} // namespace crowd_tests
