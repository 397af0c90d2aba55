/// @file
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {
namespace internal {

/// What is known of one key.
struct key_entry {
    key_hash hash{};
    customer_id customer; ///< Meaningful if added.
    bool added = false;   ///< False for a revocation that was learned before the key.
    bool revoked = false;
};

/// Keys whose hashes begin with the same byte, sorted by hash.
struct key_page {
    std::vector<key_entry> entries;
};

/// One page per value of a hash's first byte. Hashes are keyed hashes, so the pages fill evenly and a caller
/// cannot choose keys that crowd one page.
inline constexpr std::size_t key_page_count = 256;

} // namespace internal

/// Table from key hashes to customers. A copy takes 4 KiB and shares all pages; a change copies one page. The
/// control thread changes its table and publishes a copy, while traffic threads read the one before.
///
/// @code
/// key_table table = make_key_table(keys);
/// revoke_key(table, hash);
/// key_answer answer = find_customer(table, hash); // revoked
/// @endcode
struct key_table {
    std::array<std::shared_ptr<const internal::key_page>, internal::key_page_count> pages;
    std::size_t key_count = 0; ///< Known hashes, revoked ones included.
};

} // namespace camphorknot
