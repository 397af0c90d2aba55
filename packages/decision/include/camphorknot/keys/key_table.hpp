/// @file
/// Table from key hashes to customers, shared between versions by copy-on-write.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {
namespace internal {

/// State of one key.
struct key_entry {
    key_hash hash{};
    customer_id customer;      ///< Valid if has_customer is set.
    bool has_customer = false; ///< False if only the key's revocation has been received so far.
    bool revoked = false;
};

/// Keys whose hashes begin with the same byte, sorted by hash.
struct key_page {
    std::vector<key_entry> entries;
};

/// One page per value of a hash's first byte. The hashes are keyed, so the pages fill evenly and no caller
/// can choose keys that all fall into one page.
inline constexpr std::size_t key_page_count = 256;

} // namespace internal

/// Table from key hashes to customers. Copying it copies 4 KiB of pointers and shares all pages; a change
/// copies one page. The control thread publishes a copy after a change while traffic threads still read the
/// previous one.
///
/// @code
/// key_table table = make_key_table(keys);
/// revoke_key(table, hash);
/// key_answer answer = find_customer(table, hash); // revoked
/// @endcode
struct key_table {
    std::array<std::shared_ptr<const internal::key_page>, internal::key_page_count> pages;
    std::size_t key_count = 0; ///< Number of hashes, including revoked ones.
};

} // namespace camphorknot
