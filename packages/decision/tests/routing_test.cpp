#include <catch2/catch.hpp>

#include <chrono>
#include <cmath>
#include <map>
#include <string>

#include "camphorknot/routing.hpp"

using namespace camphorknot;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};

struct fixture {
    service_object service{.name = "catalogue",
                           .routes = {{.name = "find", .method = "GET", .path_prefix = "/catalogue/"}},
                           .active_version = "v1"};
    std::vector<target_object> targets;
    router state;

    explicit fixture(int count, std::uint64_t seed = 1, const routing_mechanisms& enabled = {})
        : state(make_router({.region = make_id<region_id>("luzon"),
                             .failure_domain = make_id<failure_domain_id>("luzon-0"),
                             .seed = seed,
                             .enabled = enabled},
                            start))
    {
        for (int i = 0; i < count; ++i) {
            add("10.0.0." + std::to_string(i) + ":80", "v1", "luzon", "luzon-" + std::to_string(i % 2));
        }
        apply(start);
    }
    void add(const std::string& address, const std::string& version, const std::string& region,
             const std::string& domain)
    {
        targets.push_back({address, "catalogue", version, region, domain, 3});
    }
    void apply(time_point now) { set_targets(state, std::span(&service, 1), targets, now); }
    [[nodiscard]] routing_request request(time_point now) const
    {
        return {.service = make_id<service_id>("catalogue"),
                .route = route_id_of("catalogue", "find"),
                .deadline = now + 10s,
                .timeout = 10s};
    }
    routing_answer choose(time_point now) { return choose_target(state, request(now), {}, now); }
    void end(const target_choice& choice, attempt_result result, duration latency, time_point now)
    {
        on_attempt_end(state,
                       {.target = choice.target,
                        .service = make_id<service_id>("catalogue"),
                        .route = route_id_of("catalogue", "find"),
                        .version = choice.version,
                        .result = result,
                        .latency = latency},
                       now);
    }
};

target_id target_at(int index)
{
    return make_id<target_id>("10.0.0." + std::to_string(index) + ":80");
}

} // namespace

TEST_CASE("routing: leaving targets and stopped versions get no new work", "[routing]")
{
    // Guards P9 and P5: also when nothing else is left to choose.
    fixture f(2);
    set_leaving(f.state, target_at(0), true);
    for (int i = 0; i < 2; ++i) {
        const auto answer = f.choose(start);
        REQUIRE(answer.choice.has_value());
        CHECK(answer.choice->target == target_at(1));
    }
    const auto full = f.choose(start);
    REQUIRE_FALSE(full.choice.has_value());
    CHECK(full.why.reason == refusal_reason::no_target);
    CHECK(full.why.run == outcome::not_run);
    CHECK(full.why.retry_after > duration::zero());
    stop_version(f.state, make_id<service_id>("catalogue"), make_id<version_id>("v1"));
    set_leaving(f.state, target_at(0), false);
    CHECK_FALSE(f.choose(start).choice.has_value());
    f.apply(start);
    CHECK_FALSE(f.choose(start).choice.has_value());
}

TEST_CASE("routing: a version gets only what the rollout sends it", "[routing]")
{
    // Guards P5: a request without a chosen version must not reach the new version.
    fixture f(4);
    f.add("10.0.1.0:80", "v2", "luzon", "luzon-0");
    f.apply(start);
    for (int i = 0; i < 8; ++i) {
        const auto answer = f.choose(start);
        REQUIRE(answer.choice.has_value());
        CHECK(answer.choice->version == make_id<version_id>("v1"));
    }
    routing_request request = f.request(start);
    request.version = make_id<version_id>("v2");
    CHECK(choose_target(f.state, request, {}, start).choice->version == make_id<version_id>("v2"));
}

TEST_CASE("routing: a caller that saw a version never goes back to an older one", "[routing]")
{
    // Guards P6: an editor that wrote through the new version must not read through the old one.
    fixture f(2);
    f.add("10.0.1.0:80", "v2", "luzon", "luzon-0");
    f.apply(start);
    routing_request request = f.request(start);
    request.min_version = make_id<version_id>("v2");
    CHECK(choose_target(f.state, request, {}, start).choice->version == make_id<version_id>("v2"));
    CHECK(choose_target(f.state, request, {}, start).choice->version == make_id<version_id>("v2"));
    CHECK_FALSE(choose_target(f.state, request, {}, start).choice.has_value());
    // The old version's callers may go to the newer one once it is active.
    f.service.active_version = "v2";
    f.targets.push_back({"10.0.1.1:80", "catalogue", "v2", "luzon", "luzon-0", 3});
    f.apply(start);
    request.min_version = make_id<version_id>("v1");
    CHECK(choose_target(f.state, request, {}, start).choice->version == make_id<version_id>("v2"));
    // After a rollback the seen version binds no longer.
    stop_version(f.state, make_id<service_id>("catalogue"), make_id<version_id>("v2"));
    f.service.active_version = "v1";
    f.apply(start);
    request.min_version = make_id<version_id>("v2");
    CHECK(choose_target(f.state, request, {}, start).choice->version == make_id<version_id>("v1"));
}

TEST_CASE("routing: tried targets are left out", "[routing]")
{
    // Guards against a retry that meets the same failing target again.
    fixture f(3);
    const std::vector<target_id> tried{target_at(0), target_at(2)};
    routing_request request = f.request(start);
    request.tried = tried;
    for (int i = 0; i < 2; ++i) {
        CHECK(choose_target(f.state, request, {}, start).choice->target == target_at(1));
    }
    const auto refused = choose_target(f.state, request, {}, start);
    CHECK_FALSE(refused.choice.has_value());
    CHECK(refused.why.run == outcome::unknown);
}

TEST_CASE("routing: windows halve on shed and grow in use", "[routing]")
{
    // Guards against a window that never reopens or never closes.
    fixture f(1);
    auto first = f.choose(start);
    auto second = f.choose(start);
    REQUIRE(second.choice.has_value());
    CHECK_FALSE(f.choose(start).choice.has_value());
    f.end(*first.choice, attempt_result::shed_before_run, 1ms, start);
    CHECK_FALSE(f.choose(start).choice.has_value());
    f.end(*second.choice, attempt_result::answered, 20ms, start);
    for (int i = 0; i < 40; ++i) {
        const auto answer = f.choose(start);
        const auto more = f.choose(start);
        REQUIRE(answer.choice.has_value());
        f.end(*answer.choice, attempt_result::answered, 20ms, start);
        if (more.choice) {
            f.end(*more.choice, attempt_result::answered, 20ms, start);
        }
    }
    int open = 0;
    while (f.choose(start).choice) {
        ++open;
    }
    CHECK(open >= 3);
    CHECK(in_flight(f.state, target_at(0)) == static_cast<std::uint32_t>(open));
    CHECK(headroom_percent(f.state, make_id<service_id>("catalogue"), make_id<region_id>("luzon")) < 1);
}

TEST_CASE("routing: a target that sheds is left alone", "[routing]")
{
    // Guards against load that is piled on a target that cannot take it; fails without windows.
    const auto most_in_flight = [](bool windows) {
        fixture f(1, 1, {.windows = windows});
        std::uint32_t most = 0;
        for (int i = 0; i < 100; ++i) {
            const auto answer = f.choose(start + i * 1ms);
            most = std::max(most, in_flight(f.state, target_at(0)));
            if (answer.choice && i % 2 == 0) {
                f.end(*answer.choice, attempt_result::shed_before_run, 1ms, start + i * 1ms);
            }
        }
        return most;
    };
    CHECK(most_in_flight(true) <= 2);
    CHECK(most_in_flight(false) >= 40);
}

TEST_CASE("routing: refusals tell the truth about what ran", "[routing]")
{
    // Guards P7 and P8: a request that may have run must not be repeated or called not_run.
    struct expectation {
        attempt_result result;
        bool idempotent;
        retry_decision decision;
        outcome run;
    };
    const std::vector<expectation> cases{
        {attempt_result::broken, false, retry_decision::give_up, outcome::unknown},
        {attempt_result::timed_out, false, retry_decision::give_up, outcome::unknown},
        {attempt_result::server_error, false, retry_decision::give_up, outcome::ran},
        {attempt_result::shed_before_run, false, retry_decision::retry, outcome::not_run},
        {attempt_result::connect_failed, false, retry_decision::retry, outcome::not_run},
        {attempt_result::broken, true, retry_decision::retry, outcome::unknown},
        {attempt_result::server_error, true, retry_decision::retry, outcome::ran},
        {attempt_result::cancelled, true, retry_decision::give_up, outcome::unknown}};
    for (const expectation& expected : cases) {
        fixture f(2);
        const std::vector<target_id> tried{target_at(0)};
        routing_request request = f.request(start);
        request.idempotent = expected.idempotent;
        request.tried = tried;
        const attempt_report report{.target = target_at(0), .result = expected.result};
        const auto answer = decide_retry(f.state, request, report, start);
        CHECK(answer.decision == expected.decision);
        const auto late = decide_retry(f.state, request, report, start + 11s);
        CHECK(late.decision == retry_decision::give_up);
        CHECK(late.why.run == expected.run);
        CHECK(late.why.retry_after > duration::zero());
    }
    // A second attempt that was shed says nothing about the first one.
    fixture f(3);
    const std::vector<target_id> tried{target_at(0), target_at(1)};
    routing_request request = f.request(start);
    request.tried = tried;
    const attempt_report report{.target = target_at(1), .result = attempt_result::shed_before_run};
    CHECK(decide_retry(f.state, request, report, start + 11s).why.run == outcome::unknown);
}

TEST_CASE("routing: the retry budget bounds retries", "[routing]")
{
    // Guards against a retry storm; fails without the budget.
    const auto retries_of = [](bool limited) {
        fixture f(4);
        f.state.settings.enabled.retry_budget = limited;
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto answer = f.choose(start + i * 10ms);
            if (!answer.choice) {
                continue;
            }
            const attempt_report report{.target = answer.choice->target, .result = attempt_result::broken};
            const auto decision = decide_retry(f.state, f.request(start), report, start);
            retries += decision.decision == retry_decision::retry ? 1 : 0;
            f.end(*answer.choice, attempt_result::answered, 1ms, start + i * 10ms);
        }
        return retries;
    };
    CHECK(retries_of(true) <= 120);
    CHECK(retries_of(false) > 900);
}

TEST_CASE("routing: older connection generations are distrusted at once", "[routing]")
{
    // Guards against silent connections that are used again, and against blame of a target that works.
    const auto paused_after_silence = [](bool distrust) {
        fixture f(2);
        f.state.settings.enabled.generations = distrust;
        CHECK(oldest_trusted_generation(f.state, target_at(0)) == 0);
        const std::uint64_t old = connection_generation(f.state, target_at(0));
        on_silent_connection(f.state, target_at(0), old, true);
        CHECK((oldest_trusted_generation(f.state, target_at(0)) > old) == distrust);
        CHECK((connection_generation(f.state, target_at(0)) > old) == distrust);
        for (int i = 0; i < 6; ++i) {
            on_attempt_end(f.state,
                           {.target = target_at(0),
                            .service = make_id<service_id>("catalogue"),
                            .result = attempt_result::timed_out,
                            .latency = 1s,
                            .connection_generation = old},
                           start);
        }
        const std::vector<target_id> tried{target_at(1)};
        routing_request request = f.request(start);
        request.tried = tried;
        return !choose_target(f.state, request, {}, start).choice.has_value();
    };
    CHECK_FALSE(paused_after_silence(true));
    CHECK(paused_after_silence(false));
}

TEST_CASE("routing: a new target starts with a small share", "[routing]")
{
    // Guards against cold caches that meet a full share at once; fails without the ramp.
    const auto share_of_new = [](bool ramped) {
        fixture f(4);
        f.state.settings.enabled.ramps = ramped;
        f.add("10.0.0.9:80", "v1", "luzon", "luzon-0");
        const time_point later = start + 60s;
        f.apply(later);
        int to_new = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto answer = f.choose(later + i * 1ms);
            REQUIRE(answer.choice.has_value());
            to_new += answer.choice->target == target_at(9) ? 1 : 0;
            f.end(*answer.choice, attempt_result::answered, 20ms, later + i * 1ms);
        }
        return to_new;
    };
    const int ramped = share_of_new(true);
    CHECK(ramped > 0);
    CHECK(ramped < 100);
    CHECK(share_of_new(false) > 120);
}

TEST_CASE("routing: spill stays under the shift cap and starts with a base share", "[routing]")
{
    // Guards P1: a region that had no load takes a little at once and then a ramp; fails without the ramp.
    const auto spilled_in = [](bool ramped, duration length) {
        fixture f(0);
        f.state.settings.enabled.ramps = ramped;
        for (int i = 0; i < 20; ++i) {
            f.add("10.0.0." + std::to_string(i) + ":80", "v1", "visayas", "visayas-0");
        }
        f.apply(start - 60s);
        int spilled = 0;
        for (duration at{}; at < length; at += 1ms) {
            const auto answer = f.choose(start + at);
            if (answer.choice) {
                ++spilled;
                f.end(*answer.choice, attempt_result::answered, 50ms, start + at);
            } else {
                REQUIRE(answer.why.reason == refusal_reason::region_full);
                REQUIRE(answer.why.retry_after > duration::zero());
            }
        }
        return spilled;
    };
    // Capacity is 60 slots / 50 ms = 1,200 requests/s, so the cap allows 120 requests/s more each second.
    const int first_second = spilled_in(true, 1s);
    CHECK(first_second >= 60);
    CHECK(first_second <= 200);
    const int four_seconds = spilled_in(true, 4s);
    CHECK(four_seconds <= 4 * 60 + 120 * 8 + 40);
    CHECK(spilled_in(true, 14s) - spilled_in(true, 13s) >= 990);
    CHECK(spilled_in(false, 4s) == 4000);
}

TEST_CASE("routing: a steady load is never refused by the shift cap", "[routing]")
{
    // Guards against refusals by chance: arrivals with a Poisson distribution, in the mode that limits all
    // regions.
    for (const double rate : {0.5, 5.0, 50.0, 500.0}) {
        fixture f(30, 11);
        random_source random{5};
        double at = 0;
        int refused = 0;
        for (int i = 0; i < 20'000; ++i) {
            at -= std::log(1 - uniform_real(random)) / rate;
            const time_point now =
                start + std::chrono::duration_cast<duration>(std::chrono::duration<double>(at));
            if (i == 10'000) {
                f.state.local_ramp_until = now + std::chrono::hours(1000);
            }
            const auto answer = f.choose(now);
            refused += answer.choice ? 0 : 1;
            if (answer.choice) {
                f.end(*answer.choice, attempt_result::answered, 20ms, now);
            }
        }
        CHECK(refused == 0);
    }
}

TEST_CASE("routing: load that moves into the own region is ramped", "[routing]")
{
    // Guards P1: when a region dies, its callers come to the instances of the others. A single lost instance
    // must not limit anyone.
    const auto taken_after_loss = [](std::uint32_t live) {
        fixture f(30);
        set_fleet_size(f.state, 8);
        time_point now = start;
        const auto run = [&](duration spacing, duration length) {
            int taken = 0;
            for (const time_point end = now + length; now < end; now += spacing) {
                if (const auto answer = f.choose(now); answer.choice) {
                    ++taken;
                    f.end(*answer.choice, attempt_result::answered, 50ms, now);
                }
            }
            return taken;
        };
        run(10ms, 20s);
        set_fleet_size(f.state, live);
        return run(2ms, 2s);
    };
    // From 100 to 500 requests/s. Capacity is 90 slots / 50 ms, so the part of five instances may grow by 36
    // requests/s each second.
    const int limited = taken_after_loss(5);
    CHECK(limited >= 200);
    CHECK(limited <= 2 * (100 + 2 * 45 + 30) + 2 * 36 + 60);
    CHECK(taken_after_loss(7) == 1000);
}

TEST_CASE("routing: the own region comes first and the permit bounds every region", "[routing]")
{
    // Guards P2: no choice without a permit of the region it goes to.
    fixture f(2);
    f.add("10.0.2.0:80", "v1", "visayas", "visayas-0");
    f.apply(start);
    std::map<std::uint64_t, int> allowed{{make_id<region_id>("luzon").value, 3},
                                         {make_id<region_id>("visayas").value, 1}};
    const region_permit permit = [&](service_id, region_id region) { return allowed[region.value]-- > 0; };
    for (int i = 0; i < 4; ++i) {
        const auto answer = choose_target(f.state, f.request(start), permit, start);
        REQUIRE(answer.choice.has_value());
        CHECK(answer.choice->region == make_id<region_id>(i < 3 ? "luzon" : "visayas"));
    }
    const auto refused = choose_target(f.state, f.request(start), permit, start);
    CHECK_FALSE(refused.choice.has_value());
    CHECK(refused.why.reason == refusal_reason::region_full);
}

TEST_CASE("routing: work that can wait leaves the reserve free until half of its time", "[routing]")
{
    // Guards against deferrable work that takes the last places from urgent work, or waits for ever.
    fixture f(5);
    f.service.reserve_percent = 50;
    f.apply(start);
    routing_request request = f.request(start);
    request.can_wait = true;
    int taken = 0;
    while (choose_target(f.state, request, {}, start).choice) {
        ++taken;
    }
    CHECK(taken == 5);
    CHECK(choose_target(f.state, request, {}, start + 6s).choice.has_value());
}

TEST_CASE("routing: hedges come after the p95 of an idempotent route", "[routing]")
{
    // Guards against hedges on routes that must not run twice, and against hedges without a budget.
    fixture f(4);
    routing_request request = f.request(start);
    CHECK_FALSE(hedge_delay(f.state, request, start).has_value());
    for (int i = 0; i < 400; ++i) {
        const auto answer = f.choose(start);
        f.end(*answer.choice, attempt_result::answered, i % 10 == 0 ? 200ms : 20ms, start);
    }
    const auto delay = hedge_delay(f.state, request, start);
    REQUIRE(delay.has_value());
    CHECK(*delay >= 100ms);
    CHECK(*delay <= 300ms);
    int hedges = 0;
    while (take_hedge_token(f.state)) {
        ++hedges;
    }
    CHECK(hedges == 10);
    CHECK_FALSE(hedge_delay(f.state, request, start).has_value());
    request.idempotent = false;
    CHECK_FALSE(hedge_delay(f.state, request, start).has_value());
}
