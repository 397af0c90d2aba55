// Preparation of HTTP heads: which fields are forwarded or removed, and the format of refusals.
#pragma once

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <string>
#include <string_view>

#include "camphorknot/core.hpp"

namespace camphorknot::daemon_internal {

namespace http = boost::beast::http;

/// Messages without a body; bodies are read and written separately.
using head_only_request = http::request<http::empty_body>;
using head_only_response = http::response<http::empty_body>;

inline constexpr std::string_view header_customer = "Camphorknot-Customer";
inline constexpr std::string_view header_deadline = "Camphorknot-Deadline-Ms";
inline constexpr std::string_view header_ticket = "Camphorknot-Ticket";
inline constexpr std::string_view header_version_seen = "Camphorknot-Version-Seen";
inline constexpr std::string_view header_reason = "Camphorknot-Reason";
inline constexpr std::string_view header_outcome = "Camphorknot-Outcome";
inline constexpr std::string_view header_retry_after = "Camphorknot-Retry-After-Ms";
/// Set to 1 by a target on a 503 or 429 answer if it has not begun to run the request.
inline constexpr std::string_view header_shed = "Shed-Before-Run";
inline constexpr std::string_view header_repeated = "Camphorknot-Repeated";

/// @return @p text as the string view type of Beast.
inline boost::beast::string_view beast_view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// @return @p text as the string view type of the standard library.
inline std::string_view std_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Removes hop-by-hop fields (RFC 9110, section 7.6.1), including those that Connection names.
/// Content-Length, Transfer-Encoding and Host are not removed if Connection names them.
void remove_hop_by_hop(http::fields& fields);

/// Turns a caller's request head into the head that is sent to a target. Removes Authorization, all fields
/// that contain the key, tickets and the other fields of this system, then sets the customer.
/// @param key the caller's key, or empty.
/// @param chunked whether the body is sent in chunks.
void prepare_request_head(head_only_request& head, std::string_view key, std::string_view customer,
                          bool chunked);

/// Turns a target's answer head into the head that is sent to the caller. Removes fields of this system that
/// the target has set.
void prepare_answer_head(head_only_response& head, std::string_view version_name, bool chunked,
                         bool keep_alive);

/// @return the bytes of the head, including the empty line at its end.
std::string serialize(const head_only_request& head);
std::string serialize(const head_only_response& head);

/// @return the HTTP status of a refusal.
unsigned status_of(refusal_reason reason);

/// @return the bytes of a complete answer that states why a request is refused.
std::string refusal_bytes(const refusal& why, bool keep_alive);

/// @return the bytes of a complete answer with @p body.
/// @param extra_fields further header fields, each ending in CRLF.
std::string answer_bytes(unsigned status, std::string_view content_type, std::string_view body,
                         std::string_view extra_fields, bool keep_alive);

} // namespace camphorknot::daemon_internal
