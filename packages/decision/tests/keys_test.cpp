#include <catch2/catch.hpp>

#include <map>

#include "camphorknot/keys.hpp"

using namespace camphorknot;

namespace {

key_hash hash_of(std::uint64_t number)
{
    random_source random{number};
    key_hash hash{};
    for (auto& byte : hash) {
        byte = static_cast<std::uint8_t>(random());
    }
    return hash;
}

} // namespace

TEST_CASE("keys: the table agrees with a plain map over random changes", "[keys]")
{
    // Guards against a copied page that loses, duplicates or misplaces an entry.
    random_source random{11};
    key_table table;
    std::map<std::uint64_t, std::pair<std::string, bool>> expected;
    for (int step = 0; step < 3000; ++step) {
        const std::uint64_t number = uniform(random, 500);
        auto& [customer, revoked] = expected[number];
        if (uniform(random, 4) == 0) {
            revoked = true;
            revoke_key(table, hash_of(number));
        } else {
            customer = "customer" + std::to_string(uniform(random, 20));
            add_key(table, {hash_of(number), customer, ""});
        }
        const std::uint64_t queried = uniform(random, 600);
        const auto entry = expected.find(queried);
        const key_answer answer = find_customer(table, hash_of(queried));
        if (entry == expected.end()) {
            REQUIRE(answer.status == key_status::unknown);
        } else if (entry->second.second) {
            REQUIRE(answer.status == key_status::revoked);
            REQUIRE(answer.customer == customer_id{});
        } else {
            REQUIRE(answer.status == key_status::valid);
            REQUIRE(answer.customer == make_id<customer_id>(entry->second.first));
        }
        REQUIRE(table.key_count == expected.size());
    }
}

TEST_CASE("keys: a revocation stays in effect when the key is added after it", "[keys]")
{
    // Guards against losing a revocation that arrives before the configuration with its key (P3).
    key_table table;
    revoke_key(table, hash_of(1));
    CHECK(find_customer(table, hash_of(1)).status == key_status::revoked);
    add_key(table, {hash_of(1), "gullfoss-weavers", ""});
    CHECK(find_customer(table, hash_of(1)).status == key_status::revoked);
}

TEST_CASE("keys: a published copy does not see later changes and shares the other pages", "[keys]")
{
    // Guards against in-place changes of a page that a traffic thread reads, and against copying all pages.
    std::vector<key_object> keys;
    for (std::uint64_t number = 0; number < 1000; ++number) {
        keys.push_back({hash_of(number), "customer", ""});
    }
    key_table table = make_key_table(keys);
    const key_table published = table;
    revoke_key(table, hash_of(5));
    CHECK(find_customer(published, hash_of(5)).status == key_status::valid);
    CHECK(find_customer(table, hash_of(5)).status == key_status::revoked);
    std::size_t different = 0;
    for (std::size_t page = 0; page < table.pages.size(); ++page) {
        different += table.pages[page] != published.pages[page] ? 1 : 0;
    }
    CHECK(different == 1);
}
