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
        on_requested(pending, replica, message, "edge-1", 0, start);
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

namespace {

record_source make_source(std::uint32_t link_mbps, std::uint64_t rank, std::uint64_t version)
{
    return {link_mbps, rank, {version, static_cast<double>(version)}};
}

} // namespace

TEST_CASE("records: a large configuration is requested from instances with fast links only")
{
    // A failure domain of 34: the instance on a slow link that gets a configuration first is asked by no
    // other, but by the fastest of those that lack it.
    record_replica replica;
    const record_requests pending;
    const std::array<record_position, collection_count> peer = {{{5, 10}, {6, 10}, {7, 10}}};
    const auto from_slow = select_requests(replica, pending, peer, false, time_point{1000s});
    REQUIRE(from_slow.size() == 1);
    CHECK(from_slow.front().at(static_cast<std::size_t>(collection::orders)).as_of_s > 1e9);
    const record_source slow_holder = make_source(20, 1, 44);
    const std::vector<record_source> others = {slow_holder, make_source(200, 2, 40), make_source(200, 3, 40)};
    CHECK_FALSE(is_best_source(slow_holder, others, make_source(20, 4, 40), 0ms));
    CHECK_FALSE(is_best_source(slow_holder, others, make_source(200, 1, 40), 0ms));
    CHECK(is_best_source(slow_holder, others, make_source(200, 5, 40), 0ms));
    // Once a fast instance has it, it is asked, and the slow one no more.
    const std::vector<record_source> later = {slow_holder, make_source(200, 2, 44), make_source(200, 3, 40)};
    CHECK(is_best_source(later.at(1), later, make_source(20, 4, 40), 0ms));
    CHECK_FALSE(is_best_source(slow_holder, later, make_source(20, 4, 40), 5s));
    // Without the fast ones the slow ones are asked.
    CHECK(is_best_source(slow_holder, std::span(others).first(1), make_source(20, 4, 40), 0ms));
}

TEST_CASE("records: a configuration is requested from a slow instance if the fast one does not get it")
{
    // The instance with the fastest link is cut off from the other failure domains and from the store.
    const record_source slow_holder = make_source(20, 1, 44);
    const std::vector<record_source> others = {slow_holder, make_source(200, 2, 40), make_source(20, 3, 40)};
    for (const std::uint64_t rank : {4U, 5U, 6U}) {
        CAPTURE(rank);
        CHECK_FALSE(is_best_source(slow_holder, others, make_source(20, rank, 40), 100ms));
        CHECK(is_best_source(slow_holder, others, make_source(20, rank, 40), 1s));
    }
    // Two versions in a row: the newer copy is requested even if a faster instance has the older one.
    const std::vector<record_source> two = {make_source(20, 1, 47), make_source(200, 2, 44)};
    CHECK(is_best_source(two.at(1), two, make_source(20, 4, 40), 0ms));
    CHECK(is_best_source(two.at(0), two, make_source(20, 4, 44), 1s));
}

TEST_CASE("records: instances that wait for a fast one do not ask the slow one at the same time")
{
    const record_source slow_holder = make_source(20, 1, 44);
    const std::vector<record_source> others = {slow_holder, make_source(200, 2, 40)};
    std::set<int> asked_after_ms;
    for (std::uint64_t number = 0; number < 32; ++number) {
        const record_source own = make_source(20, mix_hash(number, 11), 40);
        int after_ms = 0;
        while (!is_best_source(slow_holder, others, own, std::chrono::milliseconds(after_ms))) {
            after_ms += 50;
        }
        asked_after_ms.insert(after_ms);
    }
    CHECK(asked_after_ms.size() >= 8);
    CHECK(*asked_after_ms.rbegin() <= 1000);
}

// Guards against an instance that asks the fastest holder again and again, while that one does not answer.
TEST_CASE("records: a holder that does not answer in time is passed over for a slower one")
{
    record_replica replica;
    record_requests pending;
    const time_point start{1000s};
    const record_source own = make_source(20, 4, 40);
    const auto sources_at = [&](time_point now) {
        std::vector<record_source> sources = {make_source(200, 2, 44), make_source(20, 1, 44)};
        sources.at(0).answers = !is_unanswering(pending, "fast", now);
        sources.at(1).answers = !is_unanswering(pending, "slow", now);
        return sources;
    };
    const auto is_asked = [&](std::size_t index, time_point now) {
        const auto sources = sources_at(now);
        return is_best_source(sources.at(index), sources, own, 0ms);
    };
    const auto ask = [&](const std::string& name, time_point now) {
        requested_positions message;
        message.fill({0, 1e300});
        message.at(static_cast<std::size_t>(collection::orders)) = {40, 40};
        on_orders_announced(pending, own, sources_at(now).front(), sources_at(now), now);
        on_requested(pending, replica, message, name, 200, now);
    };
    CHECK(is_asked(0, start));
    CHECK_FALSE(is_asked(1, start));
    ask("fast", start);
    CHECK_FALSE(is_asked(1, start + 1s));
    CHECK(is_asked(1, start + 2s));
    CHECK_FALSE(is_asked(0, start + 2s));
    ask("slow", start + 2s);
    CHECK_FALSE(is_asked(0, start + 3s));
    // If no holder answers, the fastest is asked again.
    CHECK(is_asked(0, start + 4s));
    // Once the copy has arrived, all are equal again.
    on_answered(pending, std::vector<record_update>{{collection::orders, false, {}, {44, 44}}});
    on_orders_announced(pending, make_source(20, 4, 44), sources_at(start).front(), sources_at(start),
                        start + 4s);
    CHECK(is_asked(0, start + 5s));
    CHECK_FALSE(is_asked(1, start + 5s));
}

TEST_CASE("records: another source is asked when the copy takes longer than its size explains")
{
    record_replica replica;
    CHECK(expected_answer_time(replica, collection::orders, 200) == 2s);
    records_of(replica, collection::orders).records["config"].value.assign(std::size_t{250} * 1024, 'a');
    CHECK(expected_answer_time(replica, collection::orders, 200) < 1s);
    CHECK(expected_answer_time(replica, collection::orders, 20) >= 500ms);
    CHECK(expected_answer_time(replica, collection::orders, 1) <= 2s);
    CHECK(expected_answer_time(replica, collection::orders, 0) <= 2s);
}

TEST_CASE("records: while the fast instance stays behind, further versions are requested without a wait")
{
    record_requests pending;
    const time_point start{1000s};
    const auto wait_at = [&](std::uint64_t version, std::uint64_t fast_version, time_point now) {
        const std::vector<record_source> others = {make_source(20, 1, version),
                                                   make_source(200, 2, fast_version)};
        on_orders_announced(pending, make_source(20, 4, version - 1), others.front(), others, now);
        return pending.faster_behind_since == time_point{} ? -1ms : now - pending.faster_behind_since;
    };
    CHECK(wait_at(44, 40, start) == 0ms);
    CHECK(wait_at(46, 40, start + 500ms) == 500ms);
    CHECK(wait_at(47, 40, start + 2s) == 2s);
    CHECK(pending.own_behind_since == start);
    // The fast instance is back.
    CHECK(wait_at(48, 48, start + 3s) == -1ms);
    CHECK(wait_at(49, 48, start + 4s) == 0ms);
}

TEST_CASE("records: a copy of an earlier time undoes nothing that is known to be newer")
{
    const auto make_record = [](const std::string& key, const std::string& value, std::uint64_t version) {
        return record{collection::orders, key, value, version, false};
    };
    const auto is_newer = [](const record& a, const record& b) { return a.removed || a.value > b.value; };
    record_replica replica;
    apply_update(replica, {collection::orders,
                           true,
                           {make_record("kept", "b", 50), make_record("removed", "a", 20),
                            make_record("absent", "a", 55), make_record("newer", "a", 30)},
                           {60, 10}});
    apply_update(replica,
                 {collection::orders, false, {{collection::orders, "removed", "", 61, true}}, {61, 11}});
    // Changes of the new era do not tell what the copy lacks.
    const std::uint64_t copied_at = make_version(1, 40);
    CHECK(apply_update(replica, {collection::orders, false, {}, {copied_at, 1e7}}).empty());
    const record_update copy = {collection::orders,
                                true,
                                {make_record("kept", "a", make_version(1, 10)),
                                 make_record("removed", "a", make_version(1, 20)),
                                 make_record("newer", "c", make_version(1, 30))},
                                {copied_at, 1e7}};
    const auto changed = apply_update(replica, copy, is_newer);
    REQUIRE(changed.size() == 1);
    CHECK(changed.front().key == "newer");
    CHECK(find_record(replica, collection::orders, "kept")->value == "b");
    CHECK(find_record(replica, collection::orders, "removed") == nullptr);
    REQUIRE(find_record(replica, collection::orders, "absent") != nullptr);
    // A version that was given out before is newer now.
    const auto written = apply_update(replica, {collection::orders,
                                                false,
                                                {make_record("kept", "c", make_version(1, 45))},
                                                {make_version(1, 45), 1e7 + 1}});
    CHECK(written.size() == 1);
    // An update of the earlier era that arrives late changes nothing.
    CHECK(
        apply_update(replica, {collection::orders, false, {make_record("kept", "z", 70)}, {70, 12}}).empty());
    // An instance that has not seen the new era gets a snapshot.
    CHECK(changes_since(replica, collection::orders, {61, 11}).is_snapshot);
    // What was not written again is removed by the next snapshot.
    apply_update(replica, {collection::orders,
                           true,
                           {make_record("kept", "c", make_version(1, 45))},
                           {make_version(1, 50), 1e7 + 4}});
    CHECK(find_record(replica, collection::orders, "absent") == nullptr);
}

namespace {

record make_order(const std::string& key, std::uint64_t version, bool removed = false)
{
    return {collection::orders, key, removed ? "" : "x", version, removed};
}

// An instance that knows the order "evacuate/a" as removed.
record_replica replica_without_order()
{
    record_replica replica;
    apply_update(replica, {collection::orders, true, {make_order("evacuate/a", 20)}, {40, 10}});
    apply_update(replica, {collection::orders, false, {make_order("evacuate/a", 41, true)}, {41, 11}});
    return replica;
}

} // namespace

// Guards against an order that is never carried out: it was removed before, and is given again while the
// store returns from an old copy, before the first read of the new era.
TEST_CASE("records: an order that was removed and is given again before a new era is read is in force")
{
    record_replica replica = replica_without_order();
    const record_update first_read = {collection::orders,
                                      true,
                                      {make_order("evacuate/a", make_version(1, 31))},
                                      {make_version(1, 31), 1e7}};
    CHECK(apply_update(replica, first_read).size() == 1);
    CHECK(find_record(replica, collection::orders, "evacuate/a") != nullptr);
    // An instance that follows this one gets it as well.
    record_replica follower = replica_without_order();
    apply_update(follower, changes_since(replica, collection::orders, {41, 11}));
    CHECK(find_record(follower, collection::orders, "evacuate/a") != nullptr);
    // It is taken back once more.
    apply_update(replica, {collection::orders,
                           false,
                           {make_order("evacuate/a", make_version(1, 32), true)},
                           {make_version(1, 32), 1e7 + 1}});
    CHECK(find_record(replica, collection::orders, "evacuate/a") == nullptr);
}

// Guards against a wrong removal that is taken over from an instance of an earlier build and never corrected.
TEST_CASE("records: a snapshot corrects a removal that it contradicts, unless the removal counts as newer")
{
    const std::uint64_t written_at = make_version(1, 31);
    const record_update second_read = {
        collection::orders, true, {make_order("evacuate/a", written_at)}, {make_version(1, 35), 1e7 + 3}};
    record_replica without_row = replica_without_order();
    apply_update(without_row, {collection::orders, true, {}, {make_version(1, 33), 1e7}});
    record_replica with_removal = replica_without_order();
    apply_update(with_removal, {collection::orders, true, {}, {make_version(1, 30), 1e7}});
    apply_update(with_removal, {collection::orders,
                                false,
                                {make_order("evacuate/a", written_at, true)},
                                {make_version(1, 33), 1e7 + 1}});
    for (record_replica* replica : {&without_row, &with_removal}) {
        record_replica holds_removals = *replica;
        CHECK(apply_update(*replica, second_read).size() == 1);
        CHECK(find_record(*replica, collection::orders, "evacuate/a") != nullptr);
        CHECK(apply_update(*replica, second_read).empty());
        const auto is_newer = [](const record& a, const record& /*b*/) { return a.removed; };
        CHECK(apply_update(holds_removals, second_read, is_newer).empty());
    }
    // A snapshot from before a removal proves nothing.
    record_replica later = replica_without_order();
    apply_update(later, {collection::orders, true, {make_order("evacuate/a", 20)}, {40, 10}});
    CHECK(find_record(later, collection::orders, "evacuate/a") == nullptr);
}
