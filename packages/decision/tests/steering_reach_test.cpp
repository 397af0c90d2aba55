#include <catch2/catch.hpp>

#include <map>

#include "camphorknot/steering/target_reach.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;
const reach_tuning tuning;

// Probes from `from` on as often as is due, until `to`. Returns when the service changed.
std::optional<duration> probe_until_change(service_reach& reach, bool any_reached, duration from, duration to)
{
    for (duration now = from; now < to; now += 100ms) {
        if (is_probe_due(reach, tuning, start + now)) {
            on_probe_started(reach, start + now);
            if (on_probe_ended(reach, tuning, any_reached, start + now + 20ms)) {
                return now + 20ms;
            }
        }
    }
    return std::nullopt;
}

service_reach lost_reach(duration at)
{
    service_reach reach;
    on_target_unreached(reach);
    probe_until_change(reach, false, at, at + 1s);
    return reach;
}

next_hop hop(const std::string& name, const std::string& region)
{
    return {name, region + "-a", region, "10.0.0.1:7475", {}};
}

} // namespace

TEST_CASE("reach: a target that cannot be reached leads to a probe, and one that answers it ends that")
{
    service_reach reach;
    CHECK_FALSE(is_probe_due(reach, tuning, start));
    on_target_unreached(reach);
    REQUIRE(is_probe_due(reach, tuning, start));
    on_probe_started(reach, start);
    CHECK_FALSE(is_probe_due(reach, tuning, start + 1s)); // It is still running.
    CHECK_FALSE(on_probe_ended(reach, tuning, true, start + 10ms));
    CHECK_FALSE(reach.unreachable);
    CHECK_FALSE(is_probe_due(reach, tuning, start + 1s));
}

TEST_CASE("reach: targets that refuse while others accept connections lead to no probe")
{
    service_reach reach;
    on_target_reached(reach, start);
    on_target_unreached(reach);
    CHECK_FALSE(is_probe_due(reach, tuning, start + 200ms));
    CHECK(is_probe_due(reach, tuning, start + 300ms));
}

TEST_CASE("reach: a service of which no probed target is reached is unreachable until probes have succeeded "
          "for a time")
{
    service_reach reach = lost_reach(0s);
    CHECK(reach.unreachable);
    CHECK_FALSE(may_try_targets(reach));
    CHECK_FALSE(probe_until_change(reach, false, 1s, 20s));
    const auto regained = probe_until_change(reach, true, 20s, 30s);
    REQUIRE(regained);
    CHECK(*regained >= 20s + tuning.min_recovery);
    CHECK(*regained < 22s);
    CHECK_FALSE(reach.unreachable);
}

TEST_CASE("reach: a path that is lost again and again is trusted later each time, up to a limit")
{
    service_reach reach = lost_reach(0s);
    duration now = 1s;
    duration last{};
    for (int round = 0; round < 6; ++round) {
        const auto regained = probe_until_change(reach, true, now, now + 20s);
        REQUIRE(regained);
        const duration waited = *regained - now;
        CHECK(waited >= last);
        CHECK(waited < tuning.max_recovery + 1s);
        last = waited;
        on_target_unreached(reach);
        const auto lost = probe_until_change(reach, false, *regained + 1s, *regained + 3s);
        REQUIRE(lost);
        now = *lost + 100ms;
    }
    CHECK(last >= tuning.max_recovery);
    // A path that has held for long starts anew.
    const auto regained = probe_until_change(reach, true, now, now + 20s);
    REQUIRE(regained);
    on_target_unreached(reach);
    REQUIRE(probe_until_change(reach, false, *regained + 1min, *regained + 2min));
    CHECK(reach.recovery == tuning.min_recovery);
}

TEST_CASE("reach: a failed probe starts the time of success anew")
{
    service_reach reach = lost_reach(0s);
    on_probe_started(reach, start + 2s);
    CHECK_FALSE(on_probe_ended(reach, tuning, true, start + 2s));
    CHECK(may_try_targets(reach));
    on_probe_started(reach, start + 2400ms);
    CHECK_FALSE(on_probe_ended(reach, tuning, false, start + 2400ms));
    CHECK_FALSE(may_try_targets(reach));
    on_probe_started(reach, start + 2800ms);
    CHECK_FALSE(on_probe_ended(reach, tuning, true, start + 2800ms));
}

TEST_CASE("reach: the next hop reaches the service, is in an allowed region and was not tried")
{
    std::vector<next_hop> hops = {hop("a", "rvk"), hop("b", "rvk"), hop("c", "aku")};
    hops[1].unreachable_services = {"desk"};
    next_hop_request request;
    request.service = "desk";
    request.own_region = "rvk";
    REQUIRE(select_next_hop(hops, request, 0.9) != nullptr);
    CHECK(select_next_hop(hops, request, 0.9)->name == "a");
    request.service = "other";
    CHECK(select_next_hop(hops, request, 0.9)->name == "b");
    request.service = "desk";
    const std::vector<std::string> tried = {"a"};
    request.tried = tried;
    CHECK(select_next_hop(hops, request, 0)->name == "c");
    const std::vector<std::string> home = {"rvk"};
    request.customer_regions = home;
    CHECK(select_next_hop(hops, request, 0) == nullptr);
    request.tried = {};
    CHECK(select_next_hop(hops, request, 0)->name == "a");
    const std::vector<std::string> other_home = {"aku"};
    request.route_regions = other_home;
    CHECK(select_next_hop(hops, request, 0) == nullptr);
    hops[2].relay_address.clear();
    request.customer_regions = {};
    CHECK(select_next_hop(hops, request, 0) == nullptr);
}

TEST_CASE("reach: instances that report no access are tried at times, and used once one has served")
{
    std::vector<next_hop> hops = {hop("a", "rvk"), hop("b", "rvk"), hop("c", "aku")};
    for (next_hop& entry : hops) {
        entry.unreachable_services = {"desk"};
    }
    next_hop_request request;
    request.service = "desk";
    request.own_region = "rvk";
    service_reach reach = lost_reach(0s);
    CHECK(select_next_hop(hops, request, 0) == nullptr);
    int trials = 0;
    for (duration now = 2s; now < 4s; now += 10ms) {
        trials += select_trial_hop(reach, tuning, hops, request, 0.9, start + now) != nullptr ? 1 : 0;
    }
    CHECK(trials > 5);
    CHECK(trials <= 2s / tuning.hop_trial_interval + 1);
    on_hop_served(reach, "b", start + 4s);
    for (duration now = 4s; now < 5s; now += 10ms) {
        const next_hop* chosen = select_trial_hop(reach, tuning, hops, request, 0, start + now);
        REQUIRE(chosen != nullptr);
        CHECK(chosen->name == "b");
    }
    // Regions hold, also for the one that has served.
    const std::vector<std::string> home = {"aku"};
    request.customer_regions = home;
    const next_hop* chosen = select_trial_hop(reach, tuning, hops, request, 0, start + 5s);
    REQUIRE(chosen != nullptr);
    CHECK(chosen->name == "c");
    const std::vector<std::string> nowhere = {"egs"};
    request.customer_regions = nowhere;
    CHECK(select_trial_hop(reach, tuning, hops, request, 0, start + 6s) == nullptr);
}

TEST_CASE("reach: the requests of a cut instance are spread over the others of its region")
{
    std::vector<next_hop> hops;
    for (int number = 0; number < 5; ++number) {
        hops.push_back(hop("n" + std::to_string(number), "rvk"));
        hops.push_back(hop("f" + std::to_string(number), "aku"));
    }
    next_hop_request request;
    request.own_region = "rvk";
    std::map<std::string, int> counts;
    for (int step = 0; step < 1000; ++step) {
        ++counts[select_next_hop(hops, request, step / 1000.0)->name];
    }
    CHECK(counts.size() == 5);
    for (const auto& [name, count] : counts) {
        CHECK(count == 200);
    }
}
