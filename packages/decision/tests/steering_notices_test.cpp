#include <catch2/catch.hpp>

#include "camphorknot/steering.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};

struct limited_pool {
    target_pool pool;
    std::shared_ptr<const route_table> routes;

    limited_pool()
    {
        auto source = std::make_shared<configuration>();
        source->services.push_back({.name = "catalogue"});
        routes = make_route_table(source);
        pool.own_domain = "rvk-a";
        pool.own_region = "rvk";
        std::vector<target> entries;
        for (const std::string id : {"i-1", "i-2"}) {
            target entry;
            entry.id = id;
            entry.service = "catalogue";
            entry.failure_domain = "rvk-a";
            entry.slots = 3;
            entries.push_back(entry);
        }
        set_targets(pool, entries, {{"rvk-a", "rvk"}}, *routes, start);
    }

    placement choose(time_point now)
    {
        placement_request request;
        request.service = "catalogue";
        request.object = 7;
        return choose_target(pool, request, now);
    }
};

} // namespace

TEST_CASE("target notices: the newest answer decides, whoever got it")
{
    notice_table notices;
    CHECK_FALSE(on_announced(notices, "i-1", 10, {}, start)); // Most targets never announce anything.
    CHECK(notices.targets.empty());
    CHECK(on_announced(notices, "i-1", 10, {1.5}, start));
    CHECK_FALSE(on_announced(notices, "i-1", 10, {1.5}, start + 1s));
    const std::vector<target_notice> older = {{"i-1", 10, 2s, -1}};
    on_notices_received(notices, older, start + 2s);
    CHECK(named_limit(notices, "i-1", 10) == 1.5);
    const std::vector<target_notice> newer = {{"i-1", 10, 100ms, -1}};
    on_notices_received(notices, newer, start + 3s);
    CHECK_FALSE(named_limit(notices, "i-1", 10));
}

TEST_CASE("target notices: a new incarnation names no limit, and an answer of the old one changes nothing")
{
    notice_table notices;
    on_announced(notices, "i-1", 10, {1.5}, start);
    CHECK_FALSE(named_limit(notices, "i-1", 20));
    on_announced(notices, "i-1", 20, {}, start + 1s);
    on_announced(notices, "i-1", 10, {1.5}, start + 2s);
    CHECK_FALSE(named_limit(notices, "i-1", 20));
}

TEST_CASE("target notices: notices that no answer confirms are dropped")
{
    notice_table notices;
    on_announced(notices, "i-1", 10, {1.5}, start);
    forget_old_notices(notices, start + 59s);
    CHECK(named_limit(notices, "i-1", 10));
    forget_old_notices(notices, start + 61s);
    CHECK(notices.targets.empty());
}

TEST_CASE("target notices: the parts of a limit and their bursts stay within it, whatever the fleet's size")
{
    // Tolerated in a window of four seconds: half as much again, and five requests. Each sender may send one
    // request at once.
    for (const double limit : {0.0, 0.3, 1.0, 1.4, 7.0, 55.0, 1e9}) {
        for (const std::size_t instances : {1U, 8U, 295U}) {
            CAPTURE(limit, instances);
            double sum_per_s = 0;
            std::size_t senders = 0;
            for (std::size_t rank = 0; rank < instances; ++rank) {
                const double share = limit_share(limit, rank);
                sum_per_s += share;
                senders += share > 0 ? 1 : 0;
            }
            CHECK(4 * sum_per_s + static_cast<double>(senders) <= 1.5 * 4 * limit + 5);
            CHECK(senders > 0);
        }
    }
    CHECK(limit_share(5, std::nullopt) == 0);
}

TEST_CASE("placement: a target that names a limit gets this instance's part, the others the rest")
{
    limited_pool fixture;
    for (auto& [id, state] : fixture.pool.targets) {
        set_named_limit(state, id == "i-1" ? std::optional(2.0) : std::nullopt, start);
    }
    std::size_t to_limited = 0;
    for (int step = 1; step <= 400; ++step) {
        const time_point now = start + step * 10ms;
        const placement chosen = fixture.choose(now);
        REQUIRE(chosen.outcome == placement_outcome::chosen);
        to_limited += chosen.chosen->entry.id == "i-1" ? 1 : 0;
        on_request_sent(fixture.pool, *chosen.chosen, 7, now);
        on_request_ended(fixture.pool, *chosen.chosen, target_outcome::success, chosen, 250ms, now);
    }
    CHECK(to_limited <= 8);
}

// Guards against requests to a target that asked for quiet, whose entry lapses and comes back meanwhile.
TEST_CASE("placement: a target that asked for quiet gets nothing when its entry is back, until its next "
          "incarnation")
{
    limited_pool fixture;
    const std::string quiet = fixture.choose(start).chosen->entry.id; // Else it would get nothing anyway.
    const std::string other = quiet == "i-1" ? "i-2" : "i-1";
    set_quiet(fixture.pool.targets.at(quiet), 20s, start);
    const std::vector<target> all = {fixture.pool.targets.at(quiet).entry,
                                     fixture.pool.targets.at(other).entry};
    const auto apply = [&](std::vector<target> entries, time_point now) {
        set_targets(fixture.pool, entries, {{"rvk-a", "rvk"}}, *fixture.routes, now);
    };
    apply({all.at(1)}, start + 5s);
    apply(all, start + 8s);
    for (int step = 0; step < 40; ++step) {
        CHECK(fixture.choose(start + 8s + step * 50ms).chosen->entry.id == other);
    }
    // It starts again.
    std::vector<target> restarted = all;
    restarted.front().born_ms += 1;
    apply(restarted, start + 11s);
    CHECK(fixture.choose(start + 11s).chosen->entry.id == quiet);
    // The time is over while the entry is gone.
    set_quiet(fixture.pool.targets.at(quiet), 2s, start + 11s);
    apply({all.at(1)}, start + 12s);
    apply(restarted, start + 30s);
    CHECK(fixture.pool.removed.empty());
}

TEST_CASE("placement: with limits at all targets a request waits for the first part, or is refused at once")
{
    limited_pool fixture;
    for (auto& [id, state] : fixture.pool.targets) {
        set_named_limit(state, id == "i-1" ? 4.0 : 0.0, start);
    }
    const placement full = fixture.choose(start);
    CHECK(full.outcome == placement_outcome::full);
    CHECK(full.withheld == withheld_cause::limited);
    REQUIRE(full.preferred != nullptr);
    CHECK(full.preferred->entry.id == "i-1");
    CHECK(full.preferred_room.first == 250ms);
    CHECK(fixture.choose(start + 250ms).outcome == placement_outcome::chosen);
    // No part of any limit: nothing to wait for.
    set_named_limit(fixture.pool.targets.at("i-1"), 0.0, start);
    const placement without = fixture.choose(start);
    wait_queue queue;
    waiting_request request{1, 1, start + 600ms, start + 3s};
    CHECK_FALSE(decide_wait(queue, {}, request, start, 600ms, without.preferred_room, 0.5).admitted);
}

TEST_CASE("target notices: a target that leaves stays leaving, until its next incarnation")
{
    notice_table notices;
    CHECK(on_announced(notices, "i-1", 10, {std::nullopt, true}, start));
    CHECK_FALSE(on_announced(notices, "i-1", 10, {std::nullopt, false}, start + 1s));
    CHECK(is_leaving(notices, "i-1", 10));
    const std::vector<target_notice> other = {{"i-2", 10, 5s, 2, true}, {"i-1", 10, 0s, -1, false}};
    on_notices_received(notices, other, start + 2s);
    CHECK(is_leaving(notices, "i-1", 10));
    CHECK(is_leaving(notices, "i-2", 10));
    CHECK(named_limit(notices, "i-2", 10) == 2.0);
    CHECK_FALSE(is_leaving(notices, "i-1", 20));
    on_announced(notices, "i-1", 20, {}, start + 3s);
    CHECK_FALSE(is_leaving(notices, "i-1", 20));
}

TEST_CASE("placement: a target that asked for quiet gets nothing until then; its load goes to the others")
{
    limited_pool fixture;
    set_quiet(fixture.pool.targets.at("i-1"), 2s, start);
    for (int step = 0; step < 40; ++step) {
        CHECK(fixture.choose(start + step * 50ms).chosen->entry.id == "i-2");
    }
    // A shorter time does not end the longer one.
    set_quiet(fixture.pool.targets.at("i-1"), 100ms, start + 1s);
    set_quiet(fixture.pool.targets.at("i-2"), 5s, start + 1s);
    const placement quiet = fixture.choose(start + 1500ms);
    CHECK(quiet.outcome == placement_outcome::full);
    CHECK(quiet.withheld == withheld_cause::quiet);
    CHECK(quiet.preferred_room.first == 500ms);
    CHECK(fixture.choose(start + 2s).chosen->entry.id == "i-1");
}
