/// @file
/// Look-up of the customer that a key belongs to, and revocation of keys.
#pragma once

#include <optional>
#include <span>

#include "camphorknot/configuration.hpp"
#include "camphorknot/core.hpp"
#include "camphorknot/keys/key_table.hpp"

namespace camphorknot {

enum class key_status : std::uint8_t { valid, unknown, revoked };

/// Result of find_customer.
struct key_answer {
    key_status status = key_status::unknown;
    customer_id customer; ///< Set if status is valid.
};

/// @return a table of @p keys. Of two entries with the same hash the last one takes effect.
key_table make_key_table(std::span<const key_object> keys);

/// Adds or replaces one key. A revocation that was received before the key stays in effect.
void add_key(key_table& table, const key_object& key);

/// Marks @p hash as revoked permanently, also if the key has not been added yet.
void revoke_key(key_table& table, const key_hash& hash);

/// @return the status of @p hash and its customer. A revoked key is never reported as valid.
key_answer find_customer(const key_table& table, const key_hash& hash);

} // namespace camphorknot
