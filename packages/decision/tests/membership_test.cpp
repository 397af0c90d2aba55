#include <catch2/catch.hpp>

#include "camphorknot/membership.hpp"
#include "support/membership_fleet.hpp"

using namespace camphorknot;
using namespace camphorknot::test_support;
using namespace std::chrono_literals;

TEST_CASE("membership: settings that cannot work are refused", "[membership]")
{
    // Guards against an instance whose region never counts, which would be without authority for ever.
    membership_settings settings;
    settings.self.region = make_id<region_id>("a");
    CHECK(make_membership(settings, {}).reason == membership_error::no_regions);
    settings.regions = {make_id<region_id>("b")};
    CHECK(make_membership(settings, {}).reason == membership_error::self_region_unknown);
    settings.regions = {make_id<region_id>("a")};
    settings.authority_term = 0s;
    CHECK(make_membership(settings, {}).reason == membership_error::term_not_positive);
}

TEST_CASE("membership: a lone instance and lone regions have authority", "[membership]")
{
    // Guards against small installations that never serve.
    for (const auto& [regions, instances] : {std::pair{1U, 1U}, {1U, 3U}, {3U, 1U}, {2U, 2U}}) {
        fleet f({regions, instances, 3});
        run_for(f, 5s);
        for (std::size_t i = 0; i < f.run->size(); ++i) {
            INFO(regions << " regions of " << instances);
            CHECK(acts(f, i));
            CHECK(live_members(f.run->node(i)).size() == f.run->size());
        }
    }
}

TEST_CASE("membership: a dead instance is fenced, then proved stopped", "[membership]")
{
    // Guards against an allocation that can never pass on, and against one that passes on too early.
    fleet f({3, 3, 3});
    run_for(f, 8s);
    const std::pair dead{place(f, 4).instance, incarnation{1}};
    f.run->kill(4, 60s);
    run_for(f, 3s);
    CHECK(live_members(f.run->node(0)).size() == 8);
    CHECK(f.view.stopped.empty());
    run_for(f, 5s);
    CHECK(f.view.stopped.contains(dead));
    CHECK(f.view.authority_after_proof == 0);
}

TEST_CASE("membership: a restarted process renumbers itself above a higher known number", "[membership]")
{
    // Guards against a restart with a clock that went back: peers would take the new process for the old one.
    fleet f({3, 3, 4});
    run_for(f, 8s);
    f.run->pause(2, 4s);
    run_for(f, 8s);
    CHECK(f.run->node(2).settings.self.number == 2);
    f.run->pause(2, 4s);
    run_for(f, 8s);
    CHECK(f.run->node(2).settings.self.number == 3);
    f.run->kill(2, 100ms); // Starts again with the number 2.
    run_for(f, 8s);
    CHECK(f.run->node(2).settings.self.number > 3);
    CHECK(acts(f, 2));
}

TEST_CASE("membership: a graceful leave is proof at once", "[membership]")
{
    // Guards against waiting for a fence when the instance itself said that it stopped.
    fleet f({3, 3, 5});
    run_for(f, 8s);
    begin_leave(f.run->node(8), f.run->local_time(8));
    run_for(f, 2s);
    const auto& live = live_members(f.run->node(0));
    CHECK(std::count_if(live.begin(), live.end(), [](const member_record& record) {
              return record.state == member_state::leaving;
          }) == 1);
    leave_and_restart(f, 8, 60s);
    run_for(f, 1s);
    CHECK(f.view.stopped.contains({place(f, 8).instance, 1}));
    CHECK(live_members(f.run->node(0)).size() == 8);
}

TEST_CASE("membership: a graceful restart of all costs the others no authority", "[membership]")
{
    // Guards against an update of the fleet that refuses requests.
    fleet f({3, 3, 6});
    run_for(f, 8s);
    for (std::size_t i = 0; i < f.run->size(); ++i) {
        begin_leave(f.run->node(i), f.run->local_time(i));
        run_for(f, 2s);
        leave_and_restart(f, i, 500ms);
        std::size_t without = 0;
        f.run->run_until(f.run->now() + 5s, [&] {
            for (std::size_t k = 0; k < f.run->size(); ++k) {
                without += k != i && !acts(f, k) ? 1 : 0;
            }
            return check_fleet(f);
        });
        CHECK(without == 0);
        CHECK(acts(f, i));
        CHECK(owns_allocation_without_table(f.run->node(i)));
    }
    CHECK(f.view.fences.empty());
}

TEST_CASE("membership: the majority keeps authority while one region is cut or dead", "[membership]")
{
    // Guards against a fault of one region that stops the others, and against a cut region that goes on.
    const bool dies = GENERATE(false, true);
    fleet f({3, 3, 7});
    run_for(f, 8s);
    for (std::size_t i = 6; i < 9 && dies; ++i) {
        f.run->kill(i, 20s);
    }
    if (!dies) {
        f.run->cut(f.regions[2], 20s);
    }
    std::size_t without = 0;
    f.run->run_until(f.run->now() + 20s, [&] {
        for (std::size_t k = 0; k < 6; ++k) {
            without += acts(f, k) ? 0 : 1;
        }
        return check_fleet(f);
    });
    CHECK(without == 0);
    CHECK(f.view.authority_when_cut == 0);
    CHECK(f.view.stopped.size() == 3);
    run_for(f, 8s);
    CHECK(acts(f, 8));
    CHECK(f.run->node(8).settings.self.number == 2);
    CHECK_FALSE(owns_allocation_without_table(f.run->node(8)));
}

TEST_CASE("membership: no instance is fenced without a fault", "[membership]")
{
    // Guards against probes that time out by themselves.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet f({3, 3, seed});
        run_for(f, 60s);
        INFO("seed " << seed);
        CHECK(f.view.fences.empty());
        CHECK(f.view.acts > 0);
    }
}

TEST_CASE("membership: rendezvous choice agrees on all instances and keeps to the place", "[membership]")
{
    // Guards against two pools or readers where one is meant.
    fleet f({3, 3, 8});
    run_for(f, 8s);
    for (std::uint64_t key = 0; key < 20; ++key) {
        const auto chosen = choose_by_rendezvous(f.run->node(0), key, f.regions[1], std::nullopt);
        REQUIRE(chosen);
        CHECK(place(f, f.index_of[*chosen]).region == f.regions[1]);
        CHECK(choose_by_rendezvous(f.run->node(8), key, f.regions[1], std::nullopt) == chosen);
    }
}
