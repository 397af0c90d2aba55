#include "camphorknot/lookup.hpp"

#include <algorithm>
#include <bit>

namespace camphorknot {
namespace {

constexpr std::uint8_t page_prefix_length = 16;
constexpr std::uint8_t min_prefix_length = 8;
constexpr std::uint8_t address_bits = 32;

std::uint32_t mask_of(std::uint8_t prefix_length)
{
    return prefix_length == 0 ? 0 : ~std::uint32_t{0} << (address_bits - prefix_length);
}

bool contains(const client_block& block, std::uint32_t address)
{
    return (address & mask_of(block.prefix_length)) == block.network;
}

bool same_block(const client_block& a, const client_block& b)
{
    return a.network == b.network && a.prefix_length == b.prefix_length;
}

bool page_order(const client_block& a, const client_block& b)
{
    return a.network != b.network ? a.network < b.network : a.prefix_length < b.prefix_length;
}

bool longest_first(const client_block& a, const client_block& b)
{
    return a.prefix_length != b.prefix_length ? a.prefix_length > b.prefix_length : a.network < b.network;
}

lookup_error check_block(const client_block& block)
{
    if (block.prefix_length < min_prefix_length || block.prefix_length > address_bits) {
        return lookup_error::prefix_out_of_range;
    }
    if ((block.network & ~mask_of(block.prefix_length)) != 0) {
        return lookup_error::host_bits_set;
    }
    return lookup_error::none;
}

const internal::lookup_page* find_page(const lookup_table& table, std::uint32_t address)
{
    const auto& group = table.groups[address >> 24U];
    return group ? group->pages[(address >> 16U) & 0xffU].get() : nullptr;
}

// Replaces one page by a changed copy; copies of the table made before keep the old page.
template <typename Edit>
bool edit_page(lookup_table& table, std::uint32_t network, Edit edit)
{
    auto& group_slot = table.groups[network >> 24U];
    auto group = group_slot ? std::make_shared<internal::lookup_group>(*group_slot)
                            : std::make_shared<internal::lookup_group>();
    auto& page_slot = group->pages[(network >> 16U) & 0xffU];
    auto page = page_slot ? std::make_shared<internal::lookup_page>(*page_slot)
                          : std::make_shared<internal::lookup_page>();
    const bool changed = edit(page->blocks);
    if (page->blocks.empty()) {
        page_slot = nullptr;
    } else {
        page_slot = std::move(page);
    }
    group_slot = std::move(group);
    return changed;
}

// Returns true if the block is new.
template <typename Order>
bool insert_or_assign(std::vector<client_block>& blocks, const client_block& block, Order order)
{
    const auto place = std::lower_bound(blocks.begin(), blocks.end(), block, order);
    if (place != blocks.end() && same_block(*place, block)) {
        place->site_set = block.site_set;
        return false;
    }
    blocks.insert(place, block);
    return true;
}

bool erase_block(std::vector<client_block>& blocks, const client_block& block)
{
    return std::erase_if(blocks, [&](const client_block& other) { return same_block(other, block); }) > 0;
}

} // namespace

lookup_error change_block(lookup_table& table, const client_block& block)
{
    if (const lookup_error error = check_block(block); error != lookup_error::none) {
        return error;
    }
    bool added = false;
    if (block.prefix_length < page_prefix_length) {
        added = insert_or_assign(table.short_blocks, block, longest_first);
    } else {
        added = edit_page(table, block.network, [&](std::vector<client_block>& blocks) {
            return insert_or_assign(blocks, block, page_order);
        });
    }
    table.block_count += added ? 1 : 0;
    return lookup_error::none;
}

lookup_error remove_block(lookup_table& table, const client_block& block)
{
    if (const lookup_error error = check_block(block); error != lookup_error::none) {
        return error;
    }
    bool removed = false;
    if (block.prefix_length < page_prefix_length) {
        removed = erase_block(table.short_blocks, block);
    } else {
        removed = edit_page(table, block.network,
                            [&](std::vector<client_block>& blocks) { return erase_block(blocks, block); });
    }
    table.block_count -= removed ? 1 : 0;
    return removed ? lookup_error::none : lookup_error::block_unknown;
}

std::optional<lookup_table> make_lookup_table(std::span<const client_block> blocks, lookup_error& error)
{
    lookup_table table;
    for (const client_block& block : blocks) {
        error = change_block(table, block);
        if (error != lookup_error::none) {
            return std::nullopt;
        }
    }
    return table;
}

std::optional<site_set_index> find_site_set(const lookup_table& table, std::uint32_t address)
{
    if (const internal::lookup_page* page = find_page(table, address)) {
        // A block that contains the address sorts before it, and of nested blocks the longest comes last, so
        // the first match on the way back is the longest.
        const client_block key{address, address_bits, 0};
        auto place = std::upper_bound(page->blocks.begin(), page->blocks.end(), key, page_order);
        while (place != page->blocks.begin()) {
            --place;
            if (contains(*place, address)) {
                return place->site_set;
            }
        }
    }
    const auto block =
        std::find_if(table.short_blocks.begin(), table.short_blocks.end(),
                     [&](const client_block& candidate) { return contains(candidate, address); });
    return block == table.short_blocks.end() ? std::nullopt : std::optional(block->site_set);
}

std::size_t memory_bytes(const lookup_table& table)
{
    std::size_t bytes = sizeof(table) + table.short_blocks.capacity() * sizeof(client_block);
    for (const auto& group : table.groups) {
        if (!group) {
            continue;
        }
        bytes += sizeof(internal::lookup_group);
        for (const auto& page : group->pages) {
            bytes +=
                page ? sizeof(internal::lookup_page) + page->blocks.capacity() * sizeof(client_block) : 0;
        }
    }
    return bytes;
}

} // namespace camphorknot
