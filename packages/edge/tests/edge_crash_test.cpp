// Requests that end the targets that run them, and the requests beside them.
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "fleet_fixture.hpp"

using namespace edge_tests;
using clock_type = std::chrono::steady_clock;

namespace {

// An instance that receives messages has learned by then what the others know.
constexpr auto spread_time = 3s;
// Sends of the request after that time, over all instances.
constexpr std::size_t max_later_sends = 3;

/// A fleet whose servers end at each request with a marker and start again, as a new incarnation.
struct crash_fixture : fleet_fixture {
    crash_fixture(int server_count, int instance_count) : fleet_fixture(server_count, instance_count)
    {
        for (auto& server : servers) {
            server->on_restart = [this, running = server.get()] {
                register_server(running->id, running->port, "ready", 100 + running->crashes);
            };
            standins::set_crash_marker(*server, "fatal");
        }
    }

    /// @return the arrival times of the requests whose target or body contains the text, at all servers.
    std::vector<clock_type::time_point> arrivals_of(const std::string& text)
    {
        std::vector<clock_type::time_point> times;
        for (auto& server : servers) {
            for (const standins::received_request& request : standins::received_requests(*server)) {
                const bool matches = request.target.find(text) != std::string::npos ||
                                     request.body.find(text) != std::string::npos;
                if (matches) {
                    times.push_back(request.at);
                }
            }
        }
        std::ranges::sort(times);
        return times;
    }

    /// @return the number of arrivals later than spread_time after the third one had ended its server.
    std::size_t later_sends_of(const std::string& text)
    {
        const auto times = arrivals_of(text);
        if (times.size() < 3) {
            return 0;
        }
        const auto third_end = times.at(2) + std::chrono::milliseconds(servers.front()->crash_ms.load());
        return static_cast<std::size_t>(
            std::ranges::count_if(times, [&](auto at) { return at > third_end + spread_time; }));
    }

    /// Sends the request at one instance after the other, under new attempt ids.
    void repeat(const caller_request& request, std::chrono::milliseconds time,
                std::chrono::milliseconds period)
    {
        const auto end = clock_type::now() + time;
        for (int number = 0; clock_type::now() < end; ++number) {
            const auto index = static_cast<std::size_t>(number) % all_settings.size();
            caller_request repeated = request;
            repeated.set("Attempt-Id", std::string(request["Attempt-Id"]) + std::to_string(number));
            caller(all_settings.at(index).front.port).ask(repeated);
            std::this_thread::sleep_for(period);
        }
    }
};

} // namespace

TEST_CASE("edge crash: a request that ends its targets reaches few of them, at any instance")
{
    crash_fixture fixture(6, 4);
    fixture.repeat(make_request(http::verb::get, "/find/fatal", "f"), 8s, 150ms);
    CHECK(fixture.arrivals_of("fatal").size() >= 3);
    CHECK(fixture.later_sends_of("fatal") <= max_later_sends);
}

TEST_CASE("edge crash: a body that ends its targets reaches few of them, other bodies are served")
{
    crash_fixture fixture(6, 4);
    std::atomic<bool> running{true};
    std::atomic<int> served{0};
    std::atomic<int> asked{0};
    std::thread other([&] {
        for (int number = 0; running; ++number) {
            caller connection(fixture.all_settings.at(static_cast<std::size_t>(number) % 4).front.port);
            ++asked;
            const auto answer = connection.ask(
                make_request(http::verb::post, "/seal/1", "o" + std::to_string(number), "harmless"));
            served += answer.result_int() == 200 ? 1 : 0;
            std::this_thread::sleep_for(20ms);
        }
    });
    fixture.repeat(make_request(http::verb::post, "/seal/1", "f", "the fatal basket"), 8s, 100ms);
    running = false;
    other.join();
    CHECK(fixture.arrivals_of("fatal").size() >= 3);
    CHECK(fixture.later_sends_of("fatal") <= max_later_sends);
    CHECK(served > asked * 9 / 10);
}
