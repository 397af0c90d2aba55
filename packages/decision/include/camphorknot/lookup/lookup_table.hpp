/// @file
/// Longest-prefix table from client addresses to site sets, shared between versions by copy-on-write.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace camphorknot {

/// Index of a site set in the configuration's list of site sets.
using site_set_index = std::uint16_t;

/// A block of IPv4 client addresses and the site set that serves it.
struct client_block {
    std::uint32_t network = 0; ///< Host byte order; bits below the prefix are zero.
    std::uint8_t prefix_length = 24;
    site_set_index site_set = 0;
};

/// Why a block was refused.
enum class lookup_error : std::uint8_t {
    none,
    prefix_out_of_range, ///< Longer than 32 or shorter than 8 bits.
    host_bits_set,
    block_unknown,
};

namespace internal {

/// Blocks of one 16-bit network, sorted by network and then by prefix length.
struct lookup_page {
    std::vector<client_block> blocks;
};

inline constexpr std::size_t lookup_page_count = 1U << 16U;
inline constexpr std::size_t lookup_fan_out = 256;

/// 256 pages. With this second level a change copies one page and one group instead of 65,536 pointers.
struct lookup_group {
    std::array<std::shared_ptr<const lookup_page>, lookup_fan_out> pages;
};

} // namespace internal

/// Longest-prefix table from client addresses to site sets. Copies share all unchanged pages, so the control
/// thread can publish a changed copy while traffic threads still read the previous one.
///
/// @code
/// lookup_error error{};
/// lookup_table table = make_lookup_table(blocks, error).value();
/// std::optional<site_set_index> sites = find_site_set(table, 0x7f000001);
/// @endcode
struct lookup_table {
    std::array<std::shared_ptr<const internal::lookup_group>, internal::lookup_fan_out> groups;
    std::vector<client_block> short_blocks; ///< Prefixes shorter than 16 bits, longest first.
    std::size_t block_count = 0;
};

/// @return a table of @p blocks, or nothing with the reason in @p error. Of two entries for the same block
/// the last one takes effect.
std::optional<lookup_table> make_lookup_table(std::span<const client_block> blocks, lookup_error& error);

/// @return the site set of the longest block that contains @p address, or nothing.
std::optional<site_set_index> find_site_set(const lookup_table& table, std::uint32_t address);

/// Adds @p block or changes its site set. Copies at most one page and its group; the others stay shared.
lookup_error change_block(lookup_table& table, const client_block& block);

/// Removes the block with the network and prefix of @p block.
lookup_error remove_block(lookup_table& table, const client_block& block);

/// @return the memory used by the table in bytes; pages shared with other tables count in full.
std::size_t memory_bytes(const lookup_table& table);

} // namespace camphorknot
