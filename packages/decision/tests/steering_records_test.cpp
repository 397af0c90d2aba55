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

TEST_CASE("records: the targets are requested while a large configuration is on its way")
{
    record_replica replica;
    record_requests pending;
    const std::array<record_position, collection_count> peer = {{{5, 10}, {6, 10}, {7, 10}}};
    const time_point start{1000s};
    const auto index_of = [](collection group) { return static_cast<std::size_t>(group); };
    const auto first = select_requests(replica, pending, peer, true, start);
    REQUIRE(first.size() == 2);
    // The message for the targets goes first, and does not ask for the orders.
    CHECK(first.front().at(index_of(collection::targets)).as_of_s < 0);
    CHECK(first.front().at(index_of(collection::orders)).as_of_s > 1e9);
    CHECK(first.back().at(index_of(collection::orders)).as_of_s < 0);
    for (const auto& message : first) {
        on_requested(pending, message, start);
    }
    CHECK(select_requests(replica, pending, peer, true, start + 1s).empty());
    const std::vector<record_update> answer = {{collection::targets, true, {}, {6, 10}}};
    on_answered(pending, answer);
    apply_update(replica, answer.front());
    // A target leaves while the orders are on their way: only the targets are requested.
    const std::array<record_position, collection_count> later = {{{5, 11}, {8, 11}, {7, 11}}};
    const auto second = select_requests(replica, pending, later, true, start + 1100ms);
    REQUIRE(second.size() == 1);
    CHECK(second.front().at(index_of(collection::targets)).version == 6);
    // The orders are requested again only after their longer time.
    CHECK(select_requests(replica, pending, later, true, start + 2s).size() == 2);
    on_answered(pending, {});
    CHECK(select_requests(replica, pending, later, true, start).size() == 2);
}

TEST_CASE("records: a large configuration is requested from instances with fast links only")
{
    // A failure domain of 34: the instance on a slow link that gets a configuration first is asked by no
    // other.
    record_replica replica;
    const record_requests pending;
    const std::array<record_position, collection_count> peer = {{{5, 10}, {6, 10}, {7, 10}}};
    const auto from_slow = select_requests(replica, pending, peer, false, time_point{1000s});
    REQUIRE(from_slow.size() == 1);
    CHECK(from_slow.front().at(static_cast<std::size_t>(collection::orders)).as_of_s > 1e9);
    fleet peers;
    for (const auto& [name, link_mbps] : std::map<std::string, std::uint32_t>{{"slow", 20}, {"fast", 200}}) {
        instance_status status;
        status.identity.name = name;
        status.identity.link_mbps = link_mbps;
        status.sequence = 1;
        on_status_received(peers, status, time_point{name == "slow" ? 1002s : 1000s});
    }
    CHECK(has_fastest_link(peers, 200, time_point{1000s}));
    CHECK_FALSE(has_fastest_link(peers, 20, time_point{1000s}));
    // Without the fast ones the slow ones are asked.
    CHECK(has_fastest_link(peers, 20, time_point{1002s}));
}
