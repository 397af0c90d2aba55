// Rules for heads of requests and answers: what is passed on, what is removed, and the refusal's form.
#pragma once

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <string>
#include <string_view>

#include "camphorknot/core.hpp"

namespace camphorknot::daemon_internal {

namespace http = boost::beast::http;
using plain_request = http::request<http::empty_body>;
using plain_response = http::response<http::empty_body>;

inline constexpr std::string_view header_customer = "Camphorknot-Customer";
inline constexpr std::string_view header_deadline = "Camphorknot-Deadline-Ms";
inline constexpr std::string_view header_ticket = "Camphorknot-Ticket";
inline constexpr std::string_view header_version_seen = "Camphorknot-Version-Seen";
inline constexpr std::string_view header_reason = "Camphorknot-Reason";
inline constexpr std::string_view header_outcome = "Camphorknot-Outcome";
inline constexpr std::string_view header_retry_after = "Camphorknot-Retry-After-Ms";
/// A target sets it to 1 on a 503 or 429 answer when it did not begin to run the request.
inline constexpr std::string_view header_shed = "Shed-Before-Run";
inline constexpr std::string_view header_repeated = "Camphorknot-Repeated";

/// @return @p text as the string view type of Beast.
inline boost::beast::string_view beast_view(std::string_view text)
{
    return {text.data(), text.size()};
}

inline std::string_view plain_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Removes hop-by-hop fields (RFC 9110, section 7.6.1), those that Connection names included.
void remove_hop_by_hop(http::fields& fields);

/// Makes the head that a target sees: without the key in any field, without tickets and fields of this
/// system.
/// @param key the caller's key, or empty.
void prepare_request_head(plain_request& head, std::string_view key, std::string_view customer, bool chunked);

/// Makes the head that the caller sees. A target cannot set fields of this system.
void prepare_answer_head(plain_response& head, std::string_view version_name, bool chunked, bool keep_alive);

/// @return the bytes of the head, with the empty line at its end.
std::string serialize(const plain_request& head);
std::string serialize(const plain_response& head);

/// @return the HTTP status of a refusal.
unsigned status_of(refusal_reason reason);

/// @return a whole answer that says why a request is refused.
std::string refusal_bytes(const refusal& why, bool keep_alive);

/// @return a whole answer with @p body.
std::string answer_bytes(unsigned status, std::string_view content_type, std::string_view body,
                         std::string_view extra_fields, bool keep_alive);

} // namespace camphorknot::daemon_internal
