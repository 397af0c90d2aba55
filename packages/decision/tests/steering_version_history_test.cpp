#include <catch2/catch.hpp>

#include "camphorknot/steering/version_history.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;
constexpr duration isolation_time = 60s;

} // namespace

// Guards against a fatal request that is never refused at an instance which gets no other request of the
// service.
TEST_CASE("version history: an end counts although this instance has had no answer of the version")
{
    version_history history;
    on_target_ended(history, true, start);
    CHECK(may_blame_requests(history, isolation_time, start));
}

TEST_CASE("version history: after an end while no target could be reached, none counts until an answer")
{
    version_history history;
    on_version_answered(history, start);
    on_target_ended(history, true, start + 1s);
    CHECK(may_blame_requests(history, isolation_time, start + 1s));
    on_target_ended(history, false, start + 2s);
    CHECK_FALSE(may_blame_requests(history, isolation_time, start + 3s));
    on_version_answered(history, start + 4s);
    CHECK(may_blame_requests(history, isolation_time, start + 5s));
    on_target_ended(history, false, start + 6s);
    CHECK_FALSE(may_blame_requests(history, isolation_time, start + 65s));
    CHECK(may_blame_requests(history, isolation_time, start + 66s));
}
