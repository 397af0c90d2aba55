#include <catch2/catch.hpp>

#include "camphorknot/steering/version_history.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;
constexpr duration max_age = 60s;

} // namespace

TEST_CASE("version history: a version that answers nothing is at fault, not the requests")
{
    version_history history;
    CHECK_FALSE(may_blame_requests(history, max_age, start));
    on_version_answered(history, start);
    CHECK(may_blame_requests(history, max_age, start + 59s));
    CHECK_FALSE(may_blame_requests(history, max_age, start + 60s));
}

TEST_CASE("version history: after an end while no target could be reached, none counts until an answer")
{
    version_history history;
    on_version_answered(history, start);
    on_target_ended(history, true, start + 1s);
    CHECK(may_blame_requests(history, max_age, start + 1s));
    on_target_ended(history, false, start + 2s);
    CHECK_FALSE(may_blame_requests(history, max_age, start + 3s));
    on_version_answered(history, start + 4s);
    CHECK(may_blame_requests(history, max_age, start + 5s));
}
