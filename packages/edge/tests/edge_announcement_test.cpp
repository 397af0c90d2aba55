// What targets announce with their answers.
#include <catch2/catch.hpp>

#include "fleet_fixture.hpp"

using namespace edge_tests;

namespace {

/// @return the most requests that the server received in any span of @p window that begins after @p start.
std::size_t most_received(standins::server_standin& server, std::chrono::steady_clock::time_point start,
                          std::chrono::milliseconds window)
{
    std::vector<std::chrono::steady_clock::time_point> times;
    for (const standins::received_request& request : standins::received_requests(server)) {
        if (request.at >= start) {
            times.push_back(request.at);
        }
    }
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times.at(last) - times.at(first) > window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

TEST_CASE("edge announcement: a target that names a limit gets no more than that from all instances together")
{
    fleet_fixture fixture(3, 4);
    standins::server_standin& limited = *fixture.servers.front();
    press(fixture, 8, 500ms);
    standins::set_announcements(limited, "Server-Limit: 1.5\r\n");
    const auto named_at = std::chrono::steady_clock::now();
    press(fixture, 8, 10s);
    // Three seconds after the limit was named; half as much again and five requests are tolerated.
    CHECK(most_received(limited, named_at + 3s, 4s) <= 14);
    // The limit is used, and the load is served by the others.
    CHECK(most_received(limited, named_at + 3s, 4s) >= 1);
    CHECK(standins::received_requests(*fixture.servers.back()).size() > 50);
    // Once it is no longer named, the target gets its share again.
    standins::set_announcements(limited, "");
    press(fixture, 8, 4s);
    const auto end = std::chrono::steady_clock::now();
    CHECK(most_received(limited, end - 2s, 2s) > 30);
}

TEST_CASE("edge announcement: a target that says it leaves gets nothing more from any instance")
{
    fleet_fixture fixture(3, 4);
    standins::server_standin& leaving = *fixture.servers.front();
    press(fixture, 8, 500ms);
    standins::set_announcements(leaving, "Server-Leaving: 1\r\n");
    press(fixture, 8, 2500ms);
    const auto left_at = std::chrono::steady_clock::now();
    press(fixture, 8, 2s);
    CHECK(most_received(leaving, left_at, 4s) == 0);
    // The next incarnation at the same address is not leaving.
    standins::set_announcements(leaving, "");
    fixture.register_server("i-1", leaving.port, "ready", 200);
    CHECK(eventually([&] {
        press(fixture, 2, 100ms);
        return most_received(leaving, left_at, 10s) > 0;
    }));
}

TEST_CASE("edge announcement: a target that rejects and asks for quiet gets at most two more requests")
{
    fleet_fixture fixture(3, 1);
    standins::server_standin& rejecting = *fixture.servers.front();
    rejecting.default_behavior = standins::server_behavior::shed;
    // A full target is at no fault, so that it is not suspended.
    standins::set_announcements(rejecting, "Retry-After: 3\r\nServer-Load: 4,2,4\r\n");
    press(fixture, 8, 300ms);
    const auto asked_at = std::chrono::steady_clock::now();
    press(fixture, 8, 2400ms);
    CHECK(most_received(rejecting, asked_at + 500ms, 4s) <= 2);
    CHECK(standins::received_requests(*fixture.servers.back()).size() > 50);
    // It is tried again afterwards.
    CHECK(eventually([&] {
        press(fixture, 2, 100ms);
        return most_received(rejecting, asked_at + 2500ms, 10s) > 0;
    }));
}
