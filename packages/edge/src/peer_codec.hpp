// Messages between instances and their encoding as msgpack.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "camphorknot/steering.hpp"

namespace camphorknot::edge {

/// Requests the records that changed after the sender's positions.
struct records_request {
    std::array<steering::record_position, steering::collection_count> positions; ///< Of the sender's copies.
    /// Large records that the sender has, of which it takes patches; empty in messages of earlier builds.
    std::vector<steering::held_record> held{};
};

struct records_answer {
    std::vector<steering::record_update> updates;
};

/// Requests a token from the instance that owns a customer's rate.
struct token_request {
    std::uint64_t id = 0;
    std::string customer;
    std::string reply_to; ///< Peer address of the sender.
};

struct token_answer {
    std::uint64_t id = 0;
    duration wait{}; ///< Zero if a token was granted, else the time until one may be available.
};

/// Sends contacts to a new instance of another failure domain: the sender, the members of the new instance's
/// failure domain and the delegates of the others.
struct contact_announcement {
    std::vector<steering::instance_contact> contacts;
};

using peer_message =
    std::variant<steering::instance_status, records_request, records_answer, steering::domain_summary,
                 contact_announcement, token_request, token_answer>;

enum class codec_fault : std::uint8_t { none, malformed, unknown_type };

/// @return the message as a frame: the length of the content in four bytes in network byte order, then the
/// content as msgpack.
std::string encode_frame(const peer_message& message);

/// @param content of a frame, without its header.
result<peer_message, codec_fault> decode_frame(std::string_view content);

/// Number of message types.
inline constexpr std::size_t message_type_count = 7;
/// Names of the message types in metrics and logs, by their number on the wire.
inline constexpr std::array<std::string_view, message_type_count> message_names = {
    "status",        "records_request", "records_answer", "summary", "contact_announcement",
    "token_request", "token_answer"};

/// @param content beginning of a frame's content; two bytes are enough.
/// @return the number of the message type; message_type_count if the content is too short or the type is
/// unknown.
std::size_t message_type_of(std::string_view content);

/// Size of the length field before the content.
inline constexpr std::size_t frame_header_bytes = 4;
/// Maximum size of the content in bytes; the records of 2,400 targets need less than 1 MB.
inline constexpr std::uint32_t max_frame_bytes = 8U * 1024 * 1024;

/// @return the length of the content in bytes. @p header must hold frame_header_bytes bytes.
std::uint32_t decode_content_length(std::string_view header);

} // namespace camphorknot::edge
