// Instances without a path to any target.
#include <catch2/catch.hpp>

#include "cut_fixture.hpp"

using namespace edge_tests;
using clock_type = std::chrono::steady_clock;

namespace {

// Time after which a cut instance serves its callers again.
constexpr auto contact_time = 3s;

struct tally {
    int asked = 0;
    int served = 0;
    std::chrono::milliseconds longest{0};
};

// Asks the instance at a constant rate, each time on a new connection.
tally ask_for(const cut_fixture& fixture, std::size_t instance, bool unsafe, std::string prefix,
              std::chrono::milliseconds time)
{
    tally result;
    const auto end = clock_type::now() + time;
    while (clock_type::now() < end) {
        const std::string attempt = prefix + std::to_string(++result.asked);
        const auto asked_at = clock_type::now();
        const auto answer =
            fixture.ask_at(instance, unsafe ? make_request(http::verb::post, "/seal/1", attempt, attempt)
                                            : make_request(http::verb::get, "/find/" + attempt, attempt));
        result.longest =
            std::max(result.longest,
                     std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - asked_at));
        result.served += answer.result_int() == 200 ? 1 : 0;
        std::this_thread::sleep_for(40ms);
    }
    return result;
}

void check_served_during(link_fault fault)
{
    cut_fixture fixture(4, 3);
    CHECK(ask_for(fixture, 0, false, "w", 500ms).served > 0);
    fixture.set_links(0, fault);
    // These may fail: the instance finds out by them.
    ask_for(fixture, 0, false, "n", contact_time);
    const tally safe = ask_for(fixture, 0, false, "s", 1500ms);
    CHECK(safe.asked > 10);
    CHECK(safe.served * 3 >= safe.asked * 2);
    const tally unsafe = ask_for(fixture, 0, true, "u", 1500ms);
    CHECK(unsafe.asked > 10);
    CHECK(unsafe.served * 3 >= unsafe.asked * 2);
    for (int number = 1; number <= unsafe.asked; ++number) {
        CHECK(fixture.runs_of("u" + std::to_string(number)) <= 1);
    }
}

} // namespace

TEST_CASE("edge reach: callers of an instance whose links to all targets hang are served")
{
    check_served_during(link_fault::hang);
}

TEST_CASE("edge reach: callers of an instance whose links to all targets are reset are served")
{
    check_served_during(link_fault::down);
}

TEST_CASE("edge reach: callers of an instance that opens no connection to any target are served")
{
    check_served_during(link_fault::closed);
}
