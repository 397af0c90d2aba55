/// @file
/// Hashes of customer keys and tickets, keyed with the fleet secret, and the check of operator tokens.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "camphorknot/messages.hpp"
#include "camphorknot/operations.hpp"

namespace camphorknot {

/// @return the HMAC-SHA256 of @p text with key @p secret.
std::array<std::uint8_t, 32> hmac_sha256(std::string_view secret, std::string_view text);

/// @return the keyed hash that stands for a customer's API key in the configuration.
key_hash hash_key(std::string_view fleet_secret, std::string_view key);

/// @return the message authentication code (truncated HMAC) of a ticket's fields.
ticket_mac sign_ticket(std::string_view fleet_secret, std::string_view fields);

/// @return whether @p text is a well-formed ticket whose message authentication code is valid. The codes are
/// compared in constant time.
bool has_valid_mac(std::string_view fleet_secret, std::string_view text);

/// @return SHA-256 of @p text in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

/// @return whether the texts are equal; the time taken depends on their lengths only.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// @return @p bytes in lower-case hexadecimal.
std::string to_hex(std::string_view bytes);

/// @return the token in the value of an "Authorization: Bearer" field, or nothing if the value has another
/// form.
std::optional<std::string_view> bearer_token(std::string_view header_value);

} // namespace camphorknot
