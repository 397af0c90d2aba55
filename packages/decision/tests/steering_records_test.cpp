#include <catch2/catch.hpp>

#include "camphorknot/steering.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

record make_record(const std::string& key, std::uint64_t version, const std::string& value = "x",
                   bool removed = false)
{
    return {collection::targets, key, value, version, removed};
}

record_update changes(std::vector<record> records, std::uint64_t version, double as_of_s)
{
    return {collection::targets, false, std::move(records), {version, as_of_s}};
}

} // namespace

TEST_CASE("records: an older version from a peer changes nothing")
{
    record_replica replica;
    apply_update(replica, changes({make_record("a", 9, "new")}, 9, 1));
    const auto changed = apply_update(replica, changes({make_record("a", 4, "old")}, 4, 2));
    CHECK(changed.empty());
    CHECK(find_record(replica, collection::targets, "a")->value == "new");
    CHECK(records_of(replica, collection::targets).position.version == 9);
}

TEST_CASE("records: a snapshot removes the records that it does not contain")
{
    // After the store has dropped its history, a removal is visible only as a missing row in a snapshot.
    record_replica replica;
    apply_update(replica, changes({make_record("a", 1), make_record("b", 2)}, 2, 1));
    record_update snapshot{collection::targets, true, {make_record("b", 2)}, {7, 2}};
    const auto changed = apply_update(replica, snapshot);
    REQUIRE(changed.size() == 1);
    CHECK(changed.front().key == "a");
    CHECK(changed.front().removed);
    CHECK(find_record(replica, collection::targets, "a") == nullptr);
}

TEST_CASE("records: a snapshot that is older than a record does not remove it")
{
    record_replica replica;
    apply_update(replica, changes({make_record("a", 9)}, 9, 3));
    apply_update(replica, {collection::targets, true, {}, {5, 2}});
    CHECK(find_record(replica, collection::targets, "a") != nullptr);
}

TEST_CASE("records: a peer receives the changes, or a snapshot if they are not available")
{
    record_replica replica;
    apply_update(replica, {collection::targets, true, {make_record("a", 3)}, {5, 1}});
    apply_update(replica, changes({make_record("a", 6, "", true), make_record("b", 7)}, 7, 2));
    const record_update later = changes_since(replica, collection::targets, {5, 1});
    CHECK_FALSE(later.is_snapshot);
    CHECK(later.records.size() == 2);
    const record_update complete = changes_since(replica, collection::targets, {2, 0.5});
    CHECK(complete.is_snapshot);
    REQUIRE(complete.records.size() == 1);
    CHECK(complete.records.front().key == "b");
}

TEST_CASE("records: a peer that missed a trimmed removal receives a snapshot")
{
    record_replica replica;
    apply_update(replica, {collection::targets, true, {}, {1, 1}});
    for (std::uint64_t version = 2; version < 12; ++version) {
        apply_update(replica,
                     changes({make_record("t" + std::to_string(version), version, "", true)}, version, 2));
    }
    trim_removals(replica, 3);
    CHECK(changes_since(replica, collection::targets, {4, 1}).is_snapshot);
    CHECK_FALSE(changes_since(replica, collection::targets, {9, 1}).is_snapshot);
}

TEST_CASE("retry budget: retries of all instances together stay within the ratio and the allowance")
{
    operating_bounds bounds;
    bounds.retry_ratio = 0.2;
    bounds.retry_allowance = 60;
    constexpr std::size_t instances = 10;
    std::array<retry_budget, instances> budgets;
    std::size_t retries = 0;
    std::size_t requests = 0;
    for (int step = 0; step < 1000; ++step) { // 10 s in which every request fails.
        const time_point now = time_point(1000s) + 10ms * step;
        for (retry_budget& budget : budgets) {
            count_request(budget, bounds, now);
            ++requests;
            retries += take_retry(budget, bounds, instances, now) ? 1 : 0;
        }
    }
    CHECK(static_cast<double>(retries) <= 0.2 * static_cast<double>(requests) + 60);
    CHECK(retries > 0);
}

TEST_CASE("retry budget: spent retries are available again when the window has passed")
{
    operating_bounds bounds;
    bounds.retry_allowance = 10;
    retry_budget budget;
    const time_point now{1000s};
    while (take_retry(budget, bounds, 1, now)) {
    }
    CHECK_FALSE(take_retry(budget, bounds, 1, now + 5s));
    CHECK(take_retry(budget, bounds, 1, now + 12s));
}
