/// @file
/// Which customer a key belongs to, and whether it has been revoked.
#pragma once

#include <optional>
#include <span>

#include "camphorknot/configuration.hpp"
#include "camphorknot/core.hpp"
#include "camphorknot/keys/key_table.hpp"

namespace camphorknot {

enum class key_status : std::uint8_t { valid, unknown, revoked };

struct key_answer {
    key_status status = key_status::unknown;
    customer_id customer; ///< Set if valid.
};

/// @return a table of @p keys; the last of two equal hashes counts.
key_table make_key_table(std::span<const key_object> keys);

/// Adds or replaces one key. A revocation that was learned before the key still holds.
void add_key(key_table& table, const key_object& key);

/// Marks @p hash as revoked for good.
void revoke_key(key_table& table, const key_hash& hash);

/// @return what is known of @p hash; revoked wins over valid.
key_answer find_customer(const key_table& table, const key_hash& hash);

} // namespace camphorknot
