/// @file
/// Keyed hashes under the fleet secret: of customer keys, of tickets and of operator tokens.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "camphorknot/messages.hpp"
#include "camphorknot/operations.hpp"

namespace camphorknot {

/// @return HMAC-SHA256 of @p text under @p secret.
std::array<std::uint8_t, 32> hmac_sha256(std::string_view secret, std::string_view text);

/// @return the keyed hash under which a customer's key is stored.
key_hash hash_key(std::string_view fleet_secret, std::string_view key);

/// @return the keyed hash of a ticket's fields.
ticket_mac sign_ticket(std::string_view fleet_secret, std::string_view fields);

/// @return whether @p text is a ticket with a right keyed hash. The comparison takes constant time.
bool has_valid_mac(std::string_view fleet_secret, std::string_view text);

/// @return SHA-256 of @p text in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

/// @return whether the texts are equal, in a time that depends on their lengths only.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// @return @p bytes in lower-case hexadecimal.
std::string to_hex(std::string_view bytes);

/// @return the token of an "Authorization: Bearer" value, or nothing.
std::optional<std::string_view> bearer_token(std::string_view header_value);

} // namespace camphorknot
