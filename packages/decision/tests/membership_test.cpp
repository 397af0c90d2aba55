#include <catch2/catch.hpp>

#include "camphorknot/membership.hpp"
#include "support/membership_fleet.hpp"

using namespace camphorknot;
using namespace camphorknot::test;
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

TEST_CASE("membership: a lone instance and a lone region have authority", "[membership]")
{
    // Guards against small installations that never serve.
    fleet one({1, 1, 1, 1});
    run(one, 4s);
    CHECK(has_authority(one, 0));
    fleet three({3, 1, 1, 2});
    run(three, 6s);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(has_authority(three, i));
        CHECK(live_members(*three.nodes[i].state).size() == 3);
    }
}

TEST_CASE("membership: a dead instance is fenced and proved stopped", "[membership]")
{
    // Guards against an allocation that can never pass on, and against one that passes on too early.
    fleet nine({3, 2, 3, 3});
    run(nine, 8s);
    kill(nine, 4);
    run(nine, 3s);
    CHECK(live_members(*nine.nodes[0].state).size() == 8);
    CHECK(nine.stopped.empty());
    run(nine, 7s);
    CHECK(nine.stopped.contains({nine.nodes[4].self.instance, nine.nodes[4].self.number}));
    CHECK(has_authority(nine, 0));
}

TEST_CASE("membership: a process with a lower start number takes a higher one", "[membership]")
{
    // Guards against a restart with a clock that went back: peers would take the new process for the old one.
    fleet nine({3, 2, 3, 4});
    run(nine, 8s);
    const incarnation before = nine.nodes[2].self.number;
    kill(nine, 2);
    run(nine, 500ms);
    start(nine, 2, before - 50);
    run(nine, 8s);
    CHECK(nine.nodes[2].state->settings.self.number > before);
    CHECK(has_authority(nine, 2));
}

TEST_CASE("membership: a graceful leave is proof at once", "[membership]")
{
    // Guards against waiting for a fence when the instance itself said that it stopped.
    fleet nine({3, 2, 3, 5});
    run(nine, 8s);
    begin_leave(*nine.nodes[8].state, local_now(nine, 8));
    run(nine, 2s);
    CHECK(live_members(*nine.nodes[0].state)[0].instance.value != 0);
    leave_fleet(nine, 8);
    run(nine, 1s);
    CHECK(nine.stopped.contains({nine.nodes[8].self.instance, nine.nodes[8].self.number}));
    CHECK(live_members(*nine.nodes[0].state).size() == 8);
}
