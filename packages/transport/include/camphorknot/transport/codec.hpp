/// @file
/// Encoding of messages between daemons as msgpack.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "camphorknot/messages.hpp"

namespace camphorknot {

/// Largest frame, its keyed hash included.
inline constexpr std::size_t max_frame_bytes = 262'144;

/// Why bytes from a peer are refused. Each has its own counter.
enum class transport_error : std::uint8_t {
    none,
    malformed,       ///< Not msgpack, or not of the message's shape.
    oversize,        ///< Longer than max_frame_bytes.
    unknown_message, ///< A message number that this version does not know.
    foreign_version, ///< Another protocol version.
    wrong_proof,     ///< The peer does not know the fleet secret.
    wrong_mac,       ///< A frame was changed, repeated, or comes out of order.
    forged_sender,   ///< A message names another sender than the handshake proved.
    count,           ///< Number of errors; not an error itself.
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

/// @return the msgpack bytes of @p message: an array of version, sender, incarnation, receiver, message
/// number and fields in their order.
std::string encode(const envelope& message);

/// @return the message in @p bytes, or why it is refused. Fields beyond the known ones are ignored.
///
/// @code
/// result<envelope, transport_error> message = decode(bytes);
/// @endcode
result<envelope, transport_error> decode(std::string_view bytes);

} // namespace camphorknot
