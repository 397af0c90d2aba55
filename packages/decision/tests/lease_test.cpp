#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>

#include "camphorknot/lease.hpp"

using namespace camphorknot;
using namespace std::chrono_literals;

namespace {

// Table of one row, with versions and a set of completed operations.
struct table_model {
    std::optional<table_row> row;
    std::set<std::uint64_t> operations;

    table_answer answer(const lease_request& request)
    {
        if (request.read) {
            return {row ? table_status::ok : table_status::not_found, row};
        }
        if (request.resolve) {
            const bool made = operations.contains(request.resolve->operation);
            return {made ? table_status::ok : table_status::not_found, {}};
        }
        const table_transaction& change = *request.transaction;
        if (change.conditions[0].version != (row ? row->version : 0)) {
            return {table_status::conflict, {}};
        }
        // Versions have gaps, so that a lease that computes the next version itself fails.
        row = table_row{change.writes[0].row, change.writes[0].value, (row ? row->version : 0) + 7};
        operations.insert(change.operation);
        return {table_status::ok, {}};
    }
};

bool has_request(const lease_request& request)
{
    return request.read || request.transaction || request.resolve;
}

// Answers the requests of the lease until none is due at @p now.
void answer_requests(lease& state, table_model& table, time_point now)
{
    for (lease_request request = tick(state, now); has_request(request); request = tick(state, now)) {
        on_table_answer(state, table.answer(request), now);
    }
}

struct owner {
    lease state;
    double rate = 1; ///< Speed of the clock, 1 is real time.
    bool paused = false;
    std::optional<std::uint64_t> used; ///< Token of the last action.
};

struct lease_run {
    std::uint64_t actions = 0, overlaps = 0, token_decreases = 0, lost_answers = 0, outages = 0, pauses = 0;
};

// Runs two owners on one row with delays, lost answers, late writes, pauses, outages and drifting clocks.
lease_run race(std::uint64_t seed, duration length)
{
    random_source random{seed};
    table_model table;
    std::vector<owner> owners(2);
    std::multimap<time_point, std::function<void()>> later;
    lease_run result;
    std::uint64_t highest_token = 0;
    bool outage = false;
    const auto local = [&](const owner& o, time_point t) {
        return time_point(duration(static_cast<std::int64_t>(o.rate * double(t.time_since_epoch().count()))));
    };
    for (std::size_t i = 0; i < owners.size(); ++i) {
        owners[i].rate = 0.95 + 0.1 * uniform_real(random);
        owners[i].state = make_lease({"lease/a", "owner-" + std::to_string(i), 10s, 2s, seed + i}, {});
    }
    for (time_point now{}; now < time_point(length); now += 20ms) {
        while (!later.empty() && later.begin()->first <= now) {
            const auto action = later.begin()->second;
            later.erase(later.begin());
            action();
        }
        if (uniform(random, 3000) == 0) {
            outage = !outage;
            result.outages += outage ? 1 : 0;
        }
        std::size_t holders = 0;
        for (owner& o : owners) {
            if (uniform(random, 1500) == 0) {
                o.paused = !o.paused;
                result.pauses += o.paused ? 1 : 0;
            }
            if (o.paused) {
                continue;
            }
            if (const auto token = holds(o.state, local(o, now))) {
                ++holders;
                ++result.actions;
                result.token_decreases += *token < highest_token ? 1 : 0;
                highest_token = std::max(highest_token, *token);
            }
            const lease_request request = tick(o.state, local(o, now));
            if (!has_request(request)) {
                continue;
            }
            const auto reply = [&later, &o, &local](time_point when, const table_answer& answer) {
                later.emplace(
                    when, [&o, &local, answer, when] { on_table_answer(o.state, answer, local(o, when)); });
            };
            const std::uint64_t fate = uniform(random, 8);
            if (outage) {
                reply(now + 40ms, {fate < 4 ? table_status::unavailable : table_status::unknown, {}});
            } else if (fate == 0) {
                // The answer is lost; the write takes effect after 1 ms or up to 20 s later.
                ++result.lost_answers;
                const duration late(uniform(random, duration(20s).count()));
                later.emplace(now + (uniform(random, 2) == 0 ? 1ms : late),
                              [&table, request] { table.answer(request); });
                reply(now + 1s, {table_status::unknown, {}});
            } else {
                reply(now + 40ms, table.answer(request));
            }
        }
        result.overlaps += holders > 1 ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_CASE("lease: the term starts when the write is sent and ends before the margin", "[lease]")
{
    // Guards against a holder that acts when the next owner may already act.
    table_model table;
    lease state = make_lease({"lease/a", "x", 10s, 2s, 1}, {});
    on_table_answer(state, table.answer(tick(state, {})), {});
    const lease_request write = tick(state, time_point(1s));
    REQUIRE(write.transaction);
    on_table_answer(state, table.answer(write), time_point(4s));
    CHECK(holds(state, time_point(8999ms)) == 1U);
    CHECK_FALSE(holds(state, time_point(9s)));
}

TEST_CASE("lease: renewed at half the term with the same token", "[lease]")
{
    // Guards against a lease that expires, or changes its token, while its holder runs.
    table_model table;
    lease state = make_lease({"lease/a", "x", 10s, 2s, 1}, {});
    for (time_point now{}; now < time_point(60s); now += 100ms) {
        answer_requests(state, table, now);
        REQUIRE(holds(state, now) == 1U);
    }
    CHECK(table.operations.size() == 12);
}

TEST_CASE("lease: a lost answer is resolved by the operation id", "[lease]")
{
    // Guards against a repeated write without a check of the first, and against a holder that never detects
    // that its write took effect.
    table_model table;
    lease state = make_lease({"lease/a", "x", 10s, 2s, 1}, {});
    on_table_answer(state, table.answer(tick(state, {})), {});
    table.answer(tick(state, {}));
    on_table_answer(state, {table_status::unknown, {}}, time_point(1s));
    CHECK_FALSE(holds(state, time_point(1s)));
    const lease_request next = tick(state, time_point(2s));
    REQUIRE(next.resolve);
    on_table_answer(state, table.answer(next), time_point(2s));
    CHECK(holds(state, time_point(2s)) == 1U);
    CHECK(table.operations.size() == 1);
}

TEST_CASE("lease: a holder paused past its term loses the lease and takes a new token", "[lease]")
{
    // Guards against a holder that uses its old token after a pause.
    table_model table;
    lease state = make_lease({"lease/a", "x", 10s, 2s, 1}, {});
    answer_requests(state, table, {});
    REQUIRE(holds(state, {}) == 1U);
    const time_point woken(60s);
    CHECK_FALSE(holds(state, woken));
    answer_requests(state, table, woken);
    answer_requests(state, table, woken + 2s);
    CHECK(holds(state, woken + 2s) == 2U);
}

TEST_CASE("lease: another owner waits for the term and the drift", "[lease]")
{
    // Guards against another owner with a fast clock that takes over while the holder may still act.
    table_model table;
    lease holder = make_lease({"lease/a", "x", 10s, 2s, 1}, {});
    lease other = make_lease({"lease/a", "y", 10s, 2s, 2}, {});
    answer_requests(holder, table, {});
    for (time_point now{}; now < time_point(11s); now += 100ms) {
        answer_requests(other, table, now);
        REQUIRE_FALSE(holds(other, now));
    }
    answer_requests(other, table, time_point(13s));
    CHECK(holds(other, time_point(13s)) == 2U);
}

TEST_CASE("lease: two owners with faults never hold it together", "[lease]")
{
    // Guards against two owners at once and against a token that decreases, whatever faults the table has.
    lease_run sum;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const lease_run one = race(seed, 200s);
        INFO("seed " << seed);
        REQUIRE(one.overlaps == 0);
        REQUIRE(one.token_decreases == 0);
        sum.actions += one.actions;
        sum.lost_answers += one.lost_answers;
        sum.outages += one.outages;
        sum.pauses += one.pauses;
    }
    // Guards against a run without faults, or in which the lease is never held.
    CHECK(sum.actions > 100'000);
    CHECK(sum.lost_answers > 500);
    CHECK(sum.outages > 50);
    CHECK(sum.pauses > 500);
}
