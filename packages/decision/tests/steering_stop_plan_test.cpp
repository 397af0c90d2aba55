#include <catch2/catch.hpp>

#include "camphorknot/steering/stop_plan.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

constexpr time_point began_at{100s};

stop_send make_send(duration deadline, bool may_repeat, duration longest, duration expected = 10ms)
{
    return {began_at + deadline, may_repeat, 0ms, expected, {longest, began_at}};
}

} // namespace

// Guards against a step of a stop that comes after the process is killed, or after a later step.
TEST_CASE("stop plan: all times are in order and within the stop time")
{
    for (const duration stop_time :
         {duration(500ms), duration(2s), duration(6s), duration(10s), duration(60s)}) {
        const stop_plan plan = make_stop_plan(began_at, stop_time);
        CHECK(began_at < plan.close_idle_at);
        CHECK(plan.close_idle_at <= plan.take_until);
        // A later request may be at its target at the end, and its caller has other addresses.
        CHECK(plan.take_until <= began_at + 3s);
        CHECK(plan.take_until < plan.accept_until);
        CHECK(plan.accept_until < plan.answer_by);
        CHECK(plan.answer_by < plan.end_at);
        CHECK(plan.end_at < began_at + stop_time);
    }
}

// Guards against refusals without need: a request whose deadline comes first is answered or timed out in
// time.
TEST_CASE("stop plan: a request whose deadline lies before the end may be sent until then")
{
    const stop_plan plan = make_stop_plan(began_at, 6s);
    CHECK(latest_send(plan, make_send(5s, false, 20s)) == began_at + 5s);
    CHECK(latest_send(plan, make_send(5s, true, 0ms)) == began_at + 5s);
    CHECK(latest_send(plan, make_send(6s, false, 20s)) < began_at);
}

// Guards against a request that must not run twice and is at its target when the process ends.
TEST_CASE("stop plan: what is left must suffice for the longest recent answer, with a reserve")
{
    const stop_plan plan = make_stop_plan(began_at, 6s);
    const time_point once = latest_send(plan, make_send(30s, false, 2s));
    const time_point repeatable = latest_send(plan, make_send(30s, true, 2s));
    CHECK(once < repeatable);
    CHECK(repeatable + 2s < plan.answer_by);
    // A loaded target needs longer than its recent answers.
    CHECK(latest_send(plan, make_send(30s, false, 2s, 3s)) < once);
    // Fast services are served until shortly before the end.
    CHECK(latest_send(plan, make_send(30s, false, 10ms)) > plan.answer_by - 200ms);
}

// Guards against a first slow request on a route that is sent late in the stop.
TEST_CASE("stop plan: without an answer on the route, nothing is sent once requests are not taken any more")
{
    const stop_plan plan = make_stop_plan(began_at, 6s);
    CHECK(latest_send(plan, make_send(30s, true, 0ms)) == plan.take_until);
    CHECK(latest_send(plan, make_send(30s, false, 0ms, 4s)) == plan.answer_by - 4s);
}

// Guards against one slow answer that stops sends for good, and against a fast one that hides slow ones.
TEST_CASE("stop plan: the longest service time is kept for a minute")
{
    longest_answer known;
    on_service_time(known, 3s, began_at);
    on_service_time(known, 20ms, began_at + 59s);
    CHECK(known.longest == 3s);
    on_service_time(known, 20ms, began_at + 61s);
    CHECK(known.longest == 20ms);
}
