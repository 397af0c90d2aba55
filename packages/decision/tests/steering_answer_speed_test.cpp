#include <catch2/catch.hpp>

#include "camphorknot/steering/answer_speed.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

constexpr duration miss_time = 800ms;

answer_speed speed_of(duration service_time, int answers)
{
    answer_speed speed;
    for (int number = 0; number < answers; ++number) {
        on_comparable_answer(speed, {}, service_time);
    }
    return speed;
}

} // namespace

// Guards against a version of a fast service that is several times slower and counts as good.
TEST_CASE("answer speed: an answer is slow by the time of the current version on its route")
{
    const answer_speed speed = speed_of(80ms, 10);
    CHECK(speed.mean == 80ms);
    CHECK(slow_answer_time(speed, {}, miss_time, true) == 420ms);
}

TEST_CASE("answer speed: an answer that may be a miss, or of a cold target, is slow by the time of a miss")
{
    CHECK(slow_answer_time(speed_of(80ms, 10), {}, miss_time, false) == 3200ms);
}

TEST_CASE("answer speed: few answers are no measure")
{
    CHECK(slow_answer_time(speed_of(80ms, 9), {}, miss_time, true) == 3200ms);
}

TEST_CASE("answer speed: a slow service is measured by no more than the time of a miss")
{
    CHECK(slow_answer_time(speed_of(1500ms, 10), {}, miss_time, true) == 3200ms);
}

TEST_CASE("answer speed: the mean follows a change")
{
    answer_speed speed = speed_of(80ms, 10);
    for (int number = 0; number < 100; ++number) {
        on_comparable_answer(speed, {}, 200ms);
    }
    CHECK(speed.mean > 198ms);
    CHECK(speed.mean <= 200ms);
}
