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
    duration report_age = 1200ms; ///< Age of the demand reports when an instance computes its shares.
};

// Instances that split one customer's rate by demand reports of a given age.
struct rate_fleet {
    rate_fleet_settings settings;
    operating_bounds bounds{.rate_overage = 0.1, .rate_slack = 20};
    std::vector<rate_shares> members;
    std::vector<bool> isolated;               ///< Isolated: neither sends nor receives reports.
    std::vector<std::vector<double>> reports; ///< Demand by instance, for each exchange; newest first.
    time_point now = start;
    std::vector<time_point> admitted_at;
    std::vector<double> weights; ///< Relative load of the instances; equal if empty.

    explicit rate_fleet(const rate_fleet_settings& initial)
        : settings(initial), members(initial.instances), isolated(initial.instances)
    {
        configuration source;
        source.customers.push_back({.name = "gullfoss", .rate = initial.rate, .burst = initial.burst});
        for (rate_shares& member : members) {
            set_limits(member, source, now);
        }
        exchange_reports();
    }

    void exchange_reports()
    {
        std::vector<double> demands;
        for (const rate_shares& member : members) {
            demands.push_back(demand_of(member.buckets.at("gullfoss"), now));
        }
        reports.insert(reports.begin(), demands);
        const std::size_t age = std::min<std::size_t>(
            reports.size() - 1, static_cast<std::size_t>(settings.report_age / exchange_period));
        const std::vector<double>& old = reports.at(age);
        const auto live = static_cast<std::size_t>(std::count(isolated.begin(), isolated.end(), false));
        for (std::size_t index = 0; index < members.size(); ++index) {
            fleet_demand fleet{.live = isolated.at(index) ? 1 : live,
                               .possible = members.size(),
                               .is_isolated = isolated.at(index)};
            for (std::size_t other = 0; other < members.size(); ++other) {
                if (other != index && !isolated.at(other) && !isolated.at(index)) {
                    fleet.others["gullfoss"] += old.at(other);
                }
            }
            set_fleet_demand(members.at(index), fleet, bounds, now);
        }
    }

    // Gives the instances random weights; the largest is up to ten times the smallest.
    void shift_load(random_source& random)
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

    // Sends requests at the rate `per_s` to random instances for `length`; returns the admitted fraction.
    double send_requests(random_source& random, double per_s, duration length)
    {
        std::size_t requested = 0;
        std::size_t admitted = 0;
        const time_point end = now + length;
        time_point next_exchange = now + exchange_period;
        while (now < end) {
            now += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(-std::log(1 - uniform_real(random)) / per_s));
            while (next_exchange <= now) {
                const time_point current = now;
                now = next_exchange;
                exchange_reports();
                now = current;
                next_exchange += exchange_period;
            }
            ++requested;
            rate_shares& member = members.at(pick_instance(random));
            if (take_token(member, "gullfoss", now) == duration{}) {
                ++admitted;
                admitted_at.push_back(now);
            }
        }
        return static_cast<double>(admitted) / static_cast<double>(requested);
    }

    std::size_t max_in_window() const
    {
        std::size_t max_count = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted_at.size(); ++last) {
            while (admitted_at.at(last) - admitted_at.at(first) >= bounds.rate_window) {
                ++first;
            }
            max_count = std::max(max_count, last - first + 1);
        }
        return max_count;
    }

    double max_allowed() const
    {
        return (settings.rate * 5 + settings.burst) * (1 + bounds.rate_overage) + bounds.rate_slack;
    }
};

} // namespace

TEST_CASE("rates: demand that rises at all instances at once stays within the rate over the fleet")
{
    // Fails if an instance compares its current demand with older reports of the others: each instance then
    // takes several times its part.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        rate_fleet fleet({});
        fleet.send_requests(random, 100, 6s);
        fleet.send_requests(random, 900, 8s);
        CHECK(static_cast<double>(fleet.max_in_window()) <= fleet.max_allowed());
    }
}

TEST_CASE("rates: callers that move between many instances do not add to the rate")
{
    // Fails if a share of the rate moves from an instance with an empty bucket to one with a full bucket.
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        rate_fleet fleet({.instances = 88, .rate = 604, .burst = 604});
        fleet.send_requests(random, 250, 6s);
        for (int shift = 0; shift < 8; ++shift) {
            fleet.shift_load(random);
            fleet.send_requests(random, shift % 4 == 3 ? 450 : 1300, 2s);
        }
        CHECK(static_cast<double>(fleet.max_in_window()) <= fleet.max_allowed());
    }
}

TEST_CASE("rates: isolated instances and the rest together stay within the rate")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        rate_fleet fleet({});
        fleet.send_requests(random, 100, 6s);
        fleet.isolated.at(1) = fleet.isolated.at(4) = fleet.isolated.at(7) = true;
        fleet.send_requests(random, 900, 12s);
        CHECK(static_cast<double>(fleet.max_in_window()) <= fleet.max_allowed());
    }
}

TEST_CASE("rates: requests well within the rate of a medium-sized customer are admitted")
{
    random_source random{3};
    rate_fleet fleet({});
    fleet.send_requests(random, 100, 4s);
    CHECK(fleet.send_requests(random, 100, 20s) >= 0.98);
}

TEST_CASE("rates: an isolated instance uses only its equal part")
{
    rate_shares shares;
    configuration source;
    source.customers.push_back({.name = "gullfoss", .rate = 100, .burst = 100});
    set_limits(shares, source, start);
    set_fleet_demand(shares, {.live = 1, .possible = 10, .is_isolated = true}, {}, start);
    CHECK(shares.buckets.at("gullfoss").share == Approx(0.1));
}

TEST_CASE("rates: a refused request gets the time until the next token")
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
    "rates: a small rate is owned by one instance, so that its failure domain's part is not split further")
{
    // If the rate is split between 64 instances, each holds at most one token, and a customer with ten
    // requests per second is refused within its rate.
    CHECK(needs_rate_owner(10, 64));
    CHECK_FALSE(needs_rate_owner(400, 64));
    CHECK_FALSE(needs_rate_owner(0, 64));
    rate_shares owner;
    rate_shares other;
    configuration source;
    source.customers.push_back({.name = "gullfoss", .rate = 10, .burst = 10});
    fleet_demand fleet{.live = 64, .domain_live = 11, .possible = 64};
    for (rate_shares* member : {&owner, &other}) {
        set_limits(*member, source, start);
        fleet.rate_owners["gullfoss"] = member == &owner ? "" : "10.0.0.9:70";
        set_fleet_demand(*member, fleet, {.rate_slack = 20}, start);
    }
    CHECK(owner.buckets.at("gullfoss").share == Approx(11.0 / 64));
    CHECK(other.buckets.at("gullfoss").share == 0);
    std::size_t admitted = 0;
    for (time_point now = start; now < start + 5s; now += 50ms) {
        admitted += take_token_uncounted(owner, "gullfoss", now) == duration{} ? 1 : 0;
    }
    CHECK(static_cast<double>(admitted) <= (10 * 5 + 10 + 20) * 11.0 / 64 + 1);
    CHECK(admitted >= 8);
}

TEST_CASE("rates: a new rate owner under high demand does not add a burst to the rate")
{
    // Fails if a new rate owner starts with a full bucket: when most instances are killed at once, each
    // failure domain selects a new rate owner, and again when the restarted instance owns the rate once more.
    configuration source;
    source.customers.push_back({.name = "gullfoss", .rate = 20, .burst = 60});
    rate_shares new_owner;
    set_limits(new_owner, source, start);
    fleet_demand fleet{.live = 20, .domain_live = 10, .possible = 20};
    const operating_bounds bounds{.rate_overage = 0.1, .rate_slack = 20};
    fleet.rate_owners["gullfoss"] = "10.0.0.9:70";
    fleet.others["gullfoss"] = 120;
    fleet.domain_others["gullfoss"] = 60;
    for (time_point now = start; now < start + 10s; now += 200ms) {
        set_fleet_demand(new_owner, fleet, bounds, now);
    }
    fleet.rate_owners["gullfoss"] = "";
    set_fleet_demand(new_owner, fleet, bounds, start + 10s);
    CHECK(new_owner.buckets.at("gullfoss").tokens < 2);
    SECTION("with little demand, the bucket is as full as the previous owner's")
    {
        rate_shares low_demand;
        set_limits(low_demand, source, start);
        fleet.rate_owners["gullfoss"] = "10.0.0.9:70";
        fleet.others["gullfoss"] = 2;
        fleet.domain_others["gullfoss"] = 1;
        set_fleet_demand(low_demand, fleet, bounds, start);
        fleet.rate_owners["gullfoss"] = "";
        set_fleet_demand(low_demand, fleet, bounds, start + 1s);
        CHECK(low_demand.buckets.at("gullfoss").tokens > 20);
    }
}

TEST_CASE("rates: the instances of a failure domain select the same rate owner")
{
    std::set<std::string> rate_owners;
    const std::vector<std::string> names = {"one", "two", "three"};
    for (const std::string& own : names) {
        fleet peers;
        peers.own = {own, "10.0.0.1", "rvk-a", "rvk", "", own + ":70", 1, 0};
        for (const std::string& other : names) {
            instance_status status;
            status.identity = {other, "10.0.0.1", "rvk-a", "rvk", "", other + ":70", 1, 0};
            status.sequence = 1;
            if (other != own) {
                on_status_received(peers, status, start);
            }
        }
        const std::string owner = find_rate_owner(peers, "gullfoss", start);
        rate_owners.insert(owner.empty() ? own + ":70" : owner);
    }
    CHECK(rate_owners.size() == 1);
}
