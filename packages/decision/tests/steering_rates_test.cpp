#include <catch2/catch.hpp>

#include "camphorknot/steering.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};
constexpr duration exchange_period = 200ms;

struct rate_fleet_settings {
    std::size_t instances = 10;
    double rate = 176;
    double burst = 176;
    duration report_age = 1200ms; ///< How old the others' demand is when an instance divides.
};

// Instances that divide one customer's rate by reports of a given age.
struct rate_fleet {
    rate_fleet_settings used;
    operating_bounds bounds{.rate_overage = 0.1, .rate_slack = 20};
    std::vector<rate_shares> members;
    std::vector<bool> cut;                    ///< Neither hears the others nor is heard.
    std::vector<std::vector<double>> reports; ///< By step, newest first; demand by instance.
    time_point now = start;
    std::vector<time_point> ran;
    std::vector<double> weights; ///< Of the instances for callers; all alike if empty.

    explicit rate_fleet(const rate_fleet_settings& settings)
        : used(settings), members(settings.instances), cut(settings.instances)
    {
        configuration source;
        source.customers.push_back({.name = "gullfoss", .rate = settings.rate, .burst = settings.burst});
        for (rate_shares& each : members) {
            set_limits(each, source, now);
        }
        divide();
    }

    void divide()
    {
        std::vector<double> demands;
        for (const rate_shares& each : members) {
            demands.push_back(demand_of(each.buckets.at("gullfoss"), now));
        }
        reports.insert(reports.begin(), demands);
        const std::size_t age = std::min<std::size_t>(
            reports.size() - 1, static_cast<std::size_t>(used.report_age / exchange_period));
        const std::vector<double>& old = reports.at(age);
        const auto heard = static_cast<std::size_t>(std::count(cut.begin(), cut.end(), false));
        for (std::size_t index = 0; index < members.size(); ++index) {
            fleet_demand fleet{
                .live = cut.at(index) ? 1 : heard, .possible = members.size(), .is_isolated = cut.at(index)};
            for (std::size_t other = 0; other < members.size(); ++other) {
                if (other != index && !cut.at(other) && !cut.at(index)) {
                    fleet.others["gullfoss"] += old.at(other);
                }
            }
            set_fleet_demand(members.at(index), fleet, bounds, now);
        }
    }

    // Gives each instance a part of the requests of its own, up to ten times that of another.
    void move_callers(random_source& random)
    {
        weights.clear();
        for (std::size_t index = 0; index < members.size(); ++index) {
            weights.push_back(0.2 + 1.8 * uniform_real(random));
        }
    }

    std::size_t pick_instance(random_source& random) const
    {
        while (true) {
            const std::size_t index = uniform(random, members.size());
            if (weights.empty() || uniform_real(random) * 2 < weights.at(index)) {
                return index;
            }
        }
    }

    // Plays requests at `per_s` to random instances for `length`; returns the part that was admitted.
    double play(random_source& random, double per_s, duration length)
    {
        std::size_t asked = 0;
        std::size_t admitted = 0;
        const time_point end = now + length;
        time_point next_division = now + exchange_period;
        while (now < end) {
            now += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(-std::log(1 - uniform_real(random)) / per_s));
            while (next_division <= now) {
                const time_point current = now;
                now = next_division;
                divide();
                now = current;
                next_division += exchange_period;
            }
            ++asked;
            rate_shares& member = members.at(pick_instance(random));
            if (take_token(member, "gullfoss", now) == duration{}) {
                ++admitted;
                ran.push_back(now);
            }
        }
        return static_cast<double>(admitted) / static_cast<double>(asked);
    }

    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < ran.size(); ++last) {
            while (ran.at(last) - ran.at(first) >= bounds.rate_window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    double allowed() const
    {
        return (used.rate * 5 + used.burst) * (1 + bounds.rate_overage) + bounds.rate_slack;
    }
};

} // namespace

TEST_CASE("rates: a customer that all instances see rise at once stays within its rate over the fleet")
{
    // Each instance compared its new demand with the others' old one, and took several times its part.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        rate_fleet fleet({});
        fleet.play(random, 100, 6s);
        fleet.play(random, 900, 8s);
        CHECK(static_cast<double>(fleet.most_in_window()) <= fleet.allowed());
    }
}

TEST_CASE("rates: callers that move between many instances do not add to the rate")
{
    // A part of the rate moved to an instance with a full bucket, from one that had used its part up.
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        rate_fleet fleet({.instances = 88, .rate = 604, .burst = 604});
        fleet.play(random, 250, 6s);
        for (int moves = 0; moves < 8; ++moves) {
            fleet.move_callers(random);
            fleet.play(random, moves % 4 == 3 ? 450 : 1300, 2s);
        }
        CHECK(static_cast<double>(fleet.most_in_window()) <= fleet.allowed());
    }
}

TEST_CASE("rates: instances that are cut off and the rest together stay within the rate")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        rate_fleet fleet({});
        fleet.play(random, 100, 6s);
        fleet.cut.at(1) = fleet.cut.at(4) = fleet.cut.at(7) = true;
        fleet.play(random, 900, 12s);
        CHECK(static_cast<double>(fleet.most_in_window()) <= fleet.allowed());
    }
}

TEST_CASE("rates: requests well inside the rate of a middling customer are admitted")
{
    random_source random{3};
    rate_fleet fleet({});
    fleet.play(random, 100, 4s);
    CHECK(fleet.play(random, 100, 20s) >= 0.98);
}

TEST_CASE("rates: an instance alone uses only the part that it can be sure of")
{
    rate_shares shares;
    configuration source;
    source.customers.push_back({.name = "gullfoss", .rate = 100, .burst = 100});
    set_limits(shares, source, start);
    set_fleet_demand(shares, {.live = 1, .possible = 10, .is_isolated = true}, {}, start);
    CHECK(shares.buckets.at("gullfoss").share == Approx(0.1));
}

TEST_CASE("rates: a refused request is told when a token will be there")
{
    rate_shares shares;
    configuration source;
    source.customers.push_back({.name = "gullfoss", .rate = 10, .burst = 10});
    set_limits(shares, source, start);
    set_fleet_demand(shares, {}, {}, start);
    duration wait{};
    for (int count = 0; count < 20 && wait == duration{}; ++count) {
        wait = take_token(shares, "gullfoss", start);
    }
    REQUIRE(wait > duration{});
    CHECK(take_token(shares, "gullfoss", start + wait) == duration{});
}

TEST_CASE("rates: a customer without a limit is not limited")
{
    rate_shares shares;
    configuration source;
    source.customers.push_back({.name = "open", .rate = 0, .burst = 0});
    set_limits(shares, source, start);
    for (int count = 0; count < 1000; ++count) {
        REQUIRE(take_token(shares, "open", start) == duration{});
    }
}

TEST_CASE(
    "rates: a small rate is kept by one instance, so that its failure domain's part is not split further")
{
    // Sixty-four instances held one token each, and refused a customer with ten requests a second inside its
    // rate.
    CHECK(needs_rate_owner(10, 64));
    CHECK_FALSE(needs_rate_owner(400, 64));
    CHECK_FALSE(needs_rate_owner(0, 64));
    rate_shares keeper;
    rate_shares other;
    configuration source;
    source.customers.push_back({.name = "gullfoss", .rate = 10, .burst = 10});
    fleet_demand fleet{.live = 64, .domain_live = 11, .possible = 64};
    for (rate_shares* each : {&keeper, &other}) {
        set_limits(*each, source, start);
        fleet.rate_owners["gullfoss"] = each == &keeper ? "" : "10.0.0.9:70";
        set_fleet_demand(*each, fleet, {.rate_slack = 20}, start);
    }
    CHECK(keeper.buckets.at("gullfoss").share == Approx(11.0 / 64));
    CHECK(other.buckets.at("gullfoss").share == 0);
    std::size_t given = 0;
    for (time_point now = start; now < start + 5s; now += 50ms) {
        given += take_token_for_peer(keeper, "gullfoss", now) == duration{} ? 1 : 0;
    }
    CHECK(static_cast<double>(given) <= (10 * 5 + 10 + 20) * 11.0 / 64 + 1);
    CHECK(given >= 8);
}

TEST_CASE("rates: an instance that becomes keeper under high demand does not add a burst to the rate")
{
    // Most instances were killed at once; each failure domain's next keeper began with a full bucket, and the
    // restarted one did so again when the rate came back to it.
    configuration source;
    source.customers.push_back({.name = "gullfoss", .rate = 20, .burst = 60});
    rate_shares second;
    set_limits(second, source, start);
    fleet_demand fleet{.live = 20, .domain_live = 10, .possible = 20};
    const operating_bounds bounds{.rate_overage = 0.1, .rate_slack = 20};
    fleet.rate_owners["gullfoss"] = "10.0.0.9:70";
    fleet.others["gullfoss"] = 120;
    fleet.domain_others["gullfoss"] = 60;
    for (time_point now = start; now < start + 10s; now += 200ms) {
        set_fleet_demand(second, fleet, bounds, now);
    }
    fleet.rate_owners["gullfoss"] = "";
    set_fleet_demand(second, fleet, bounds, start + 10s);
    CHECK(second.buckets.at("gullfoss").tokens < 2);
    SECTION("with little demand, the bucket is as full as its predecessor's")
    {
        rate_shares calm;
        set_limits(calm, source, start);
        fleet.rate_owners["gullfoss"] = "10.0.0.9:70";
        fleet.others["gullfoss"] = 2;
        fleet.domain_others["gullfoss"] = 1;
        set_fleet_demand(calm, fleet, bounds, start);
        fleet.rate_owners["gullfoss"] = "";
        set_fleet_demand(calm, fleet, bounds, start + 1s);
        CHECK(calm.buckets.at("gullfoss").tokens > 20);
    }
}

TEST_CASE("rates: the instances of a failure domain name the same keeper")
{
    std::set<std::string> rate_owners;
    const std::vector<std::string> names = {"one", "two", "three"};
    for (const std::string& own : names) {
        fleet known;
        known.own = {own, "10.0.0.1", "rvk-a", "rvk", "", own + ":70", 1, 0};
        for (const std::string& other : names) {
            instance_status status;
            status.identity = {other, "10.0.0.1", "rvk-a", "rvk", "", other + ":70", 1, 0};
            status.sequence = 1;
            if (other != own) {
                on_status_received(known, status, start);
            }
        }
        const std::string keeper = find_rate_owner(known, "gullfoss", start);
        rate_owners.insert(keeper.empty() ? own + ":70" : keeper);
    }
    CHECK(rate_owners.size() == 1);
}
