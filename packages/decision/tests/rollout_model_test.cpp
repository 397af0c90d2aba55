#include <catch2/catch.hpp>

#include <cstdio>

#include "rollout_model.hpp"

using namespace camphorknot;
using namespace camphorknot::model;

namespace {

struct bad_kind {
    const char* name;
    defect kind;
    onset when;
    double failure_rate = 0.3;
    double slow_factor = 3;
};

constexpr std::array<bad_kind, 14> bad_kinds{{{"fails at once", defect::failing, onset::at_once},
                                              {"fails at once, 100%", defect::failing, onset::at_once, 1.0},
                                              {"fails at once, 10%", defect::failing, onset::at_once, 0.1},
                                              {"fails later", defect::failing, onset::later},
                                              {"fails later, 10%", defect::failing, onset::later, 0.1},
                                              {"fails under load", defect::failing, onset::under_load},
                                              {"fails on one route", defect::failing, onset::one_route},
                                              {"fails in the soak", defect::failing, onset::in_soak},
                                              {"slow at once, x3", defect::slow, onset::at_once},
                                              {"slow at once, x2", defect::slow, onset::at_once, 0, 2},
                                              {"slow later, x3", defect::slow, onset::later},
                                              {"slow under load, x3", defect::slow, onset::under_load},
                                              {"slow on one route, x3", defect::slow, onset::one_route},
                                              {"slow in the soak, x3", defect::slow, onset::in_soak}}};

struct totals {
    int runs = 0;
    int rolled_back = 0;
    int wrong_reason = 0;
    double worst_faulty_percent = 0;
    double sum_faulty_percent = 0;
    double sum_new_percent = 0;
    double worst_seconds = 0;
};

totals run_bad(const bad_kind& bad, std::uint64_t first_seed, std::uint64_t seeds,
               const rollout_mechanisms& enabled = {})
{
    totals sum;
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        const rollout_result result = rollout_model({.kind = bad.kind,
                                                     .when = bad.when,
                                                     .failure_rate = bad.failure_rate,
                                                     .slow_factor = bad.slow_factor,
                                                     .seed = seed,
                                                     .enabled = enabled})
                                          .run();
        const double percent = 100.0 / static_cast<double>(result.requests);
        const double faulty = static_cast<double>(result.to_new_faulty) * percent;
        ++sum.runs;
        sum.rolled_back += result.last.stage == move_stage::rolled_back ? 1 : 0;
        const auto right =
            bad.kind == defect::slow ? move_reason::version_slow : move_reason::version_failing;
        sum.wrong_reason += result.last.reason != right ? 1 : 0;
        sum.worst_faulty_percent = std::max(sum.worst_faulty_percent, faulty);
        sum.sum_faulty_percent += faulty;
        sum.sum_new_percent += static_cast<double>(result.to_new) * percent;
        sum.worst_seconds = std::max(sum.worst_seconds, result.seconds_to_stop);
    }
    std::printf("%-24s %3d/%3d %6d %8.2f%% %8.2f%% %8.2f%% %8.1f s\n", bad.name, sum.rolled_back, sum.runs,
                sum.wrong_reason, sum.sum_faulty_percent / sum.runs, sum.worst_faulty_percent,
                sum.sum_new_percent / sum.runs, sum.worst_seconds);
    return sum;
}

void print_head()
{
    std::printf("%-24s %7s %6s %9s %9s %9s %10s\n", "bad version", "rolled", "reason", "faulty", "worst",
                "all new", "worst stop");
}

int run_good(std::uint64_t first_seed, std::uint64_t seeds)
{
    int finished = 0;
    int rolled_back = 0;
    int late = 0;
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        const rollout_result result =
            rollout_model({.kind = defect::none, .seed = seed, .enabled = {}}).run();
        finished += result.in_time ? 1 : 0;
        rolled_back += result.last.stage == move_stage::rolled_back ? 1 : 0;
        late += result.last.reason == move_reason::deadline ? 1 : 0;
    }
    std::printf("good versions: %d of %d done in time, %d rolled back (%d by the deadline)\n", finished,
                static_cast<int>(seeds), rolled_back, late);
    return finished;
}

} // namespace

TEST_CASE("rollout model: a short deadline is met although writes take time", "[rollout][model]")
{
    // Guards against a plan that uses all the time up to the last moment: a good version was rolled back at
    // 50%, since the end of that step and the last moment to go on before the deadline were the same.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        rollout_settings settings{.kind = defect::none, .seed = seed, .enabled = {}};
        settings.write_time = std::chrono::milliseconds(700);
        settings.length = std::chrono::milliseconds(60'007); // Off the grid of the model's steps.
        CHECK(rollout_model(settings).run().in_time);
    }
}

TEST_CASE("rollout model: good versions finish, bad ones are rolled back", "[rollout][model]")
{
    // Guards the goals of section 1.3 on a few seeds; the long run has all of them.
    CHECK(run_good(1, 3) == 3);
    print_head();
    for (const bad_kind& bad : bad_kinds) {
        const totals sum = run_bad(bad, 1, 1);
        CHECK(sum.rolled_back == sum.runs);
        CHECK(sum.worst_faulty_percent <= 2);
    }
}

TEST_CASE("rollout model: a fault on one route is found only by the test per route", "[rollout][model]")
{
    // Guards against counts that are summed over routes: 15% failures on 5% of the requests are 0.75% of all.
    const bad_kind bad{"fails on one route, 15%", defect::failing, onset::one_route, 0.15};
    CHECK(run_bad(bad, 1, 2).rolled_back == 2);
    CHECK(run_bad(bad, 1, 2, {.per_route_test = false}).rolled_back == 0);
}

// Seeds from 5001 on were not used to choose the constants of the tests.
TEST_CASE("rollout model: all kinds of versions", "[.long][rollout]")
{
    CHECK(run_good(1, 100) == 100);
    CHECK(run_good(5001, 300) == 300);
    print_head();
    for (const bad_kind& bad : bad_kinds) {
        const totals sum = run_bad(bad, 5001, 40);
        CHECK(sum.rolled_back == sum.runs);
        CHECK(sum.worst_faulty_percent <= 2);
    }
}
