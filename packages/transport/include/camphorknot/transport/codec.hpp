/// @file
/// Msgpack encoding of the messages between daemons.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "camphorknot/messages.hpp"

namespace camphorknot {

/// Maximum frame size in bytes, including the MAC at its end.
inline constexpr std::size_t max_frame_bytes = 262'144;

/// Reasons for which data from a peer is refused. Each reason has its own counter.
enum class transport_error : std::uint8_t {
    none,
    malformed,       ///< Not valid msgpack, or not the fields of the message.
    oversize,        ///< Longer than max_frame_bytes.
    unknown_message, ///< The message number isn't defined in this version.
    foreign_version, ///< The peer uses another protocol version.
    wrong_proof,     ///< The peer's proof doesn't match the fleet secret.
    wrong_mac,       ///< The frame was modified, replayed or reordered.
    forged_sender, ///< The sender in the message differs from the instance that the handshake authenticated.
    count,         ///< Number of enumerators; not an error.
};

inline constexpr std::size_t transport_error_count = static_cast<std::size_t>(transport_error::count);

/// @return the stable name of @p error.
constexpr std::string_view name_of(transport_error error)
{
    constexpr std::array<std::string_view, transport_error_count> names = {
        "none",        "malformed", "oversize",     "unknown_message", "foreign_version",
        "wrong_proof", "wrong_mac", "forged_sender"};
    return names[static_cast<std::size_t>(error)];
}

/// @return @p message as a msgpack array: protocol version, sender, sender's incarnation, receiver, message
/// number, and the array of the message's fields in the order of members().
std::string encode(const envelope& message);

/// @return the message in @p bytes, or the reason for which it is refused. Additional fields at the end of a
/// message are ignored, so that later versions can add fields.
///
/// @code
/// result<envelope, transport_error> message = decode(bytes);
/// @endcode
result<envelope, transport_error> decode(std::string_view bytes);

} // namespace camphorknot
