#include <catch2/catch.hpp>

#include "camphorknot/membership.hpp"
#include "support/membership_fleet.hpp"

using namespace camphorknot;
using namespace camphorknot::test_support;
using namespace std::chrono_literals;

TEST_CASE("membership: invalid settings are refused", "[membership]")
{
    // Guards against an instance that can never get authority, because its region does not count towards it.
    membership_settings settings;
    settings.self.region = make_id<region_id>("a");
    CHECK(make_membership(settings, {}).reason == membership_error::no_regions);
    settings.regions = {make_id<region_id>("b")};
    CHECK(make_membership(settings, {}).reason == membership_error::self_region_unknown);
    settings.regions = {make_id<region_id>("a")};
    settings.authority_term = 0s;
    CHECK(make_membership(settings, {}).reason == membership_error::term_not_positive);
}

TEST_CASE("membership: a single instance and single-instance regions have authority", "[membership]")
{
    // Guards against small installations that never get authority and thus never serve.
    for (const auto& [regions, instances] : {std::pair{1U, 1U}, {1U, 3U}, {3U, 1U}, {2U, 2U}}) {
        fleet f({regions, instances, 3});
        run_for(f, 5s);
        for (std::size_t i = 0; i < f.simulation->size(); ++i) {
            INFO(regions << " regions of " << instances);
            CHECK(instance_has_authority(f, i));
            CHECK(live_members(f.simulation->node(i)).size() == f.simulation->size());
        }
    }
}

TEST_CASE("membership: a dead instance is fenced, then proved stopped", "[membership]")
{
    // Guards against an allocation of a dead instance that is never transferred, and against a transfer
    // before the instance has lost its authority.
    fleet f({3, 3, 3});
    run_for(f, 8s);
    const std::pair dead{placement_of(f, 4).instance, incarnation{1}};
    f.simulation->kill(4, 60s);
    run_for(f, 3s);
    CHECK(live_members(f.simulation->node(0)).size() == 8);
    CHECK(f.view.stopped.empty());
    run_for(f, 5s);
    CHECK(f.view.stopped.contains(dead));
    CHECK(f.view.authority_after_proof == 0);
}

TEST_CASE("membership: a restarted process takes an incarnation above the highest one its peers store",
          "[membership]")
{
    // Guards against a restart with a lower incarnation, as after a clock was set back: peers would treat
    // messages of the new process as those of the old one.
    fleet f({3, 3, 4});
    run_for(f, 8s);
    f.simulation->pause(2, 4s);
    run_for(f, 8s);
    CHECK(f.simulation->node(2).settings.self.number == 2);
    f.simulation->pause(2, 4s);
    run_for(f, 8s);
    CHECK(f.simulation->node(2).settings.self.number == 3);
    f.simulation->kill(2, 100ms); // Starts again with incarnation 2.
    run_for(f, 8s);
    CHECK(f.simulation->node(2).settings.self.number > 3);
    CHECK(instance_has_authority(f, 2));
}

TEST_CASE("membership: a graceful leave proves the instance stopped at once", "[membership]")
{
    // Guards against waiting for a fence of an instance that reported its own stop.
    fleet f({3, 3, 5});
    run_for(f, 8s);
    begin_leave(f.simulation->node(8), f.simulation->local_time(8));
    run_for(f, 2s);
    const auto& live = live_members(f.simulation->node(0));
    CHECK(std::count_if(live.begin(), live.end(), [](const member_record& record) {
              return record.state == member_state::leaving;
          }) == 1);
    leave_and_restart(f, 8, 60s);
    run_for(f, 1s);
    CHECK(f.view.stopped.contains({placement_of(f, 8).instance, 1}));
    CHECK(live_members(f.simulation->node(0)).size() == 8);
}

TEST_CASE("membership: a graceful restart of all costs the others no authority", "[membership]")
{
    // Guards against refused requests during a rolling update of the fleet.
    fleet f({3, 3, 6});
    run_for(f, 8s);
    for (std::size_t i = 0; i < f.simulation->size(); ++i) {
        begin_leave(f.simulation->node(i), f.simulation->local_time(i));
        run_for(f, 2s);
        leave_and_restart(f, i, 500ms);
        std::size_t missing_authority = 0;
        f.simulation->run_until(f.simulation->now() + 5s, [&] {
            for (std::size_t k = 0; k < f.simulation->size(); ++k) {
                missing_authority += k != i && !instance_has_authority(f, k) ? 1 : 0;
            }
            return check_fleet(f);
        });
        CHECK(missing_authority == 0);
        CHECK(instance_has_authority(f, i));
        CHECK(owns_allocation_without_table(f.simulation->node(i)));
    }
    CHECK(f.view.fences.empty());
}

TEST_CASE("membership: the majority keeps authority while one region is cut or dead", "[membership]")
{
    // Guards against loss of authority in the other regions, and against authority that a cut region keeps.
    const bool region_dies = GENERATE(false, true);
    fleet f({3, 3, 7});
    run_for(f, 8s);
    for (std::size_t i = 6; i < 9 && region_dies; ++i) {
        f.simulation->kill(i, 20s);
    }
    if (!region_dies) {
        f.simulation->cut(f.regions[2], 20s);
    }
    std::size_t missing_authority = 0;
    f.simulation->run_until(f.simulation->now() + 20s, [&] {
        for (std::size_t k = 0; k < 6; ++k) {
            missing_authority += instance_has_authority(f, k) ? 0 : 1;
        }
        return check_fleet(f);
    });
    CHECK(missing_authority == 0);
    CHECK(f.view.authority_when_cut == 0);
    CHECK(f.view.stopped.size() == 3);
    run_for(f, 8s);
    CHECK(instance_has_authority(f, 8));
    CHECK(f.simulation->node(8).settings.self.number == 2);
    CHECK_FALSE(owns_allocation_without_table(f.simulation->node(8)));
}

TEST_CASE("membership: no instance is fenced without a fault", "[membership]")
{
    // Guards against probe timeouts without a fault.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet f({3, 3, seed});
        run_for(f, 60s);
        INFO("seed " << seed);
        CHECK(f.view.fences.empty());
        CHECK(f.view.authority_checks > 0);
    }
}

TEST_CASE("membership: rendezvous choice is the same on all instances and stays in the region",
          "[membership]")
{
    // Guards against several instances that each act as the only pool or reader.
    fleet f({3, 3, 8});
    run_for(f, 8s);
    for (std::uint64_t key = 0; key < 20; ++key) {
        const auto chosen = choose_by_rendezvous(f.simulation->node(0), key, f.regions[1], std::nullopt);
        REQUIRE(chosen);
        CHECK(placement_of(f, f.index_of[*chosen]).region == f.regions[1]);
        CHECK(choose_by_rendezvous(f.simulation->node(8), key, f.regions[1], std::nullopt) == chosen);
    }
}
