#include <catch2/catch.hpp>

#include "camphorknot/core.hpp"
#include "camphorknot/lookup.hpp"

using namespace camphorknot;

TEST_CASE("lookup: the longest matching block is found, also after changes", "[lookup]")
{
    // Guards against an incremental change that loses or hides a block. Compares with a scan of all blocks.
    random_source random{7};
    lookup_table table;
    std::vector<client_block> all;
    for (int step = 0; step < 4000; ++step) {
        const auto length = static_cast<std::uint8_t>(8 + uniform(random, 25));
        const auto network =
            static_cast<std::uint32_t>((10U << 24U) | (uniform(random, 4) << 16U) | uniform(random, 65536));
        client_block block{network & (~std::uint32_t{0} << (32U - length)), length,
                           static_cast<site_set_index>(uniform(random, 1400))};
        const auto same = [&](const client_block& b) {
            return b.network == block.network && b.prefix_length == length;
        };
        std::erase_if(all, same);
        if (uniform(random, 4) == 0) {
            remove_block(table, block);
        } else {
            REQUIRE(change_block(table, block) == lookup_error::none);
            all.push_back(block);
        }
        const auto address =
            static_cast<std::uint32_t>((10U << 24U) | (uniform(random, 4) << 16U) | uniform(random, 65536));
        std::optional<client_block> expected;
        for (const client_block& b : all) {
            const bool inside = (address & (~std::uint32_t{0} << (32U - b.prefix_length))) == b.network;
            if (inside && (!expected || b.prefix_length > expected->prefix_length)) {
                expected = b;
            }
        }
        const auto found = find_site_set(table, address);
        REQUIRE(found.has_value() == expected.has_value());
        REQUIRE((!found || *found == expected->site_set));
        REQUIRE(table.block_count == all.size());
    }
}

TEST_CASE("lookup: an invalid block is refused with its reason", "[lookup]")
{
    lookup_table table;
    CHECK(change_block(table, {0x0a000001, 24, 1}) == lookup_error::host_bits_set);
    CHECK(change_block(table, {0x0a000000, 33, 1}) == lookup_error::prefix_out_of_range);
    CHECK(remove_block(table, {0x0a000000, 24, 1}) == lookup_error::block_unknown);
}

TEST_CASE("lookup: a published copy does not see later changes", "[lookup]")
{
    // Guards against in-place changes of a page that a traffic thread reads.
    lookup_table table;
    change_block(table, {0x0a000000, 24, 1});
    const lookup_table published = table;
    change_block(table, {0x0a000000, 24, 2});
    CHECK(find_site_set(published, 0x0a000005) == site_set_index{1});
    CHECK(find_site_set(table, 0x0a000005) == site_set_index{2});
}
