// Instances without a path to any target.
#include <catch2/catch.hpp>

#include <array>

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
tally ask_for(const cut_fixture& fixture, std::size_t instance, bool unsafe, const std::string& prefix,
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

TEST_CASE("edge reach: two cut instances pass requests on to the third, at most once and without the key")
{
    cut_fixture fixture(4, 3);
    fixture.set_links(0, link_fault::down);
    fixture.set_links(1, link_fault::down);
    ask_for(fixture, 0, false, "n", 1500ms);
    ask_for(fixture, 1, false, "m", 1500ms);
    const std::string body(300'000, 'b');
    for (const std::size_t instance : {0, 1}) {
        const std::string attempt = "big" + std::to_string(instance);
        const caller_response answer =
            fixture.ask_at(instance, make_request(http::verb::post, "/seal/1?q=2", attempt, body));
        CHECK(answer.result_int() == 200);
        CHECK(answer["Server-Signature"] == "s-" + attempt);
        CHECK(fixture.runs_of(attempt) == 1);
    }
    for (auto& server : fixture.servers) {
        for (const auto& request : standins::received_requests(*server)) {
            CHECK(request.authorization.empty());
            CHECK(request.customer == "gullfoss");
            if (request.method == "POST") {
                CHECK(request.body == body);
                CHECK(request.target == "/seal/1?q=2");
            }
        }
    }
    caller_request unknown = make_request(http::verb::get, "/find/1", "k");
    unknown.set(http::field::authorization, "Token key-none");
    CHECK(fixture.ask_at(0, unknown).result_int() == 401);
}

TEST_CASE("edge reach: targets that no instance reaches: requests are refused without delay, and served "
          "after the return")
{
    cut_fixture fixture(4, 2);
    for (const std::size_t instance : {0, 1}) {
        fixture.set_links(instance, link_fault::down);
        ask_for(fixture, instance, false, "n" + std::to_string(instance), 1500ms);
    }
    const tally refused = ask_for(fixture, 0, true, "r", 1s);
    CHECK(refused.asked > 5);
    CHECK(refused.served == 0);
    CHECK(refused.longest < 400ms);
    const caller_response answer = fixture.ask_at(1, make_request(http::verb::post, "/seal/1", "last", "x"));
    CHECK(answer.result_int() == 503);
    CHECK(answer.body().find("targets_unreachable") != std::string::npos);
    CHECK(fixture.runs_of("last") == 0);
    for (const std::size_t instance : {0, 1}) {
        fixture.set_links(instance, link_fault::none);
    }
    ask_for(fixture, 0, false, "b", 1500ms);
    const tally served = ask_for(fixture, 0, true, "s", 1s);
    CHECK(served.served == served.asked);
}

TEST_CASE("edge reach: the directory leaves out a cut instance, and names it again when its links are back")
{
    cut_fixture fixture(4, 3);
    const auto is_named = [&] {
        const auto answer = fixture.get_from(fixture.all_settings.at(2).directory.port,
                                             "/-/resolve?name=seals.example&region=rvk&zone=rvk-a");
        return answer.body().find(":" + std::to_string(fixture.all_settings.at(0).front.port) + "\"") !=
               std::string::npos;
    };
    CHECK(is_named());
    fixture.set_links(0, link_fault::down);
    ask_for(fixture, 0, false, "n", 1s);
    CHECK(eventually([&] { return !is_named(); }));
    CHECK(fixture.get_from(fixture.all_settings.at(0).readiness.port, "/-/ready").result_int() == 200);
    fixture.set_links(0, link_fault::none);
    CHECK(eventually(is_named));
}

TEST_CASE("edge reach: what another instance promises is true for the whole attempt")
{
    cut_fixture fixture(3, 2);
    fixture.set_links(0, link_fault::down);
    ask_for(fixture, 0, false, "n", 1500ms);
    const auto ask_with = [&](standins::server_behavior behavior, const std::string& attempt) {
        for (auto& server : fixture.servers) {
            const std::lock_guard lock(server->guard);
            server->default_behavior = behavior;
        }
        return fixture.ask_at(0, make_request(http::verb::post, "/seal/1", attempt, "x")).result_int();
    };
    CHECK(ask_with(standins::server_behavior::shed, "shed") == 503);
    CHECK(fixture.runs_of("shed") == 0);
    CHECK(ask_with(standins::server_behavior::refuse_unproved, "unproved") == 502);
    CHECK(fixture.runs_of("unproved") == 1);
    CHECK(ask_with(standins::server_behavior::reset_after_read, "reset") == 502);
    CHECK(fixture.runs_of("reset") == 1);
    CHECK(ask_with(standins::server_behavior::cut_short, "short") == 502);
    CHECK(fixture.runs_of("short") == 1);
}

TEST_CASE("edge reach: an instance that ends while it has a request of another one promises nothing")
{
    cut_fixture fixture(3, 2);
    fixture.set_links(0, link_fault::down);
    ask_for(fixture, 0, false, "n", 1500ms);
    for (auto& server : fixture.servers) {
        server->service_ms = 600;
    }
    unsigned status = 0;
    std::thread asking([&] {
        status = fixture.ask_at(0, make_request(http::verb::post, "/seal/1", "lost", "x")).result_int();
    });
    CHECK(eventually([&] { return fixture.runs_of("lost") == 1; }));
    fixture.instances.at(1).reset();
    asking.join();
    CHECK((status == 502 || status == 504));
    CHECK(fixture.runs_of("lost") == 1);
}

TEST_CASE("edge reach: all instances of a failure domain are cut, and their callers are served")
{
    cut_fixture fixture(4, 4);
    for (const std::size_t instance : {0, 2}) {
        fixture.set_links(instance, link_fault::hang);
    }
    std::vector<std::thread> callers;
    std::array<tally, 2> tallies;
    for (const std::size_t index : {0, 1}) {
        callers.emplace_back([&fixture, &tallies, index] {
            const std::size_t instance = 2 * index;
            ask_for(fixture, instance, false, "n" + std::to_string(instance), contact_time);
            tallies.at(index) = ask_for(fixture, instance, true, "s" + std::to_string(instance), 1500ms);
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    for (const tally& result : tallies) {
        CHECK(result.asked > 10);
        CHECK(result.served * 3 >= result.asked * 2);
    }
    const auto answer = fixture.get_from(fixture.all_settings.at(1).directory.port,
                                         "/-/resolve?name=seals.example&region=rvk&zone=rvk-a");
    for (const std::size_t instance : {0, 2}) {
        const std::string port = ":" + std::to_string(fixture.all_settings.at(instance).front.port) + "\"";
        CHECK(answer.body().find(port) == std::string::npos);
    }
}

TEST_CASE("edge reach: a request with homes is passed on to an instance there, or refused")
{
    cut_fixture fixture(3, 3, {"aku-a", "aku-b", "rvk-a"});
    const auto set_home = [&](int version, const std::string& region) {
        standins::put_row(
            *fixture.store, "op", "config",
            configuration_row(version, R"({"resource_kind":"tenants","metadata":{"name":"gullfoss"},"spec":
                {"api_keys":["key-one"],"rate_per_s":0,"burst":0,"allowed_regions":[")" +
                                           region + R"("]}},)"));
        std::this_thread::sleep_for(2s);
    };
    fixture.set_links(0, link_fault::down);
    ask_for(fixture, 0, false, "n", 1500ms);
    // Without homes the instance of the own region is preferred.
    const long near_before = fixture.requests_at(1);
    CHECK(fixture.ask_at(0, make_request(http::verb::post, "/seal/1", "free", "x")).result_int() == 200);
    CHECK(fixture.requests_at(1) == near_before + 1);
    set_home(2, "rvk");
    const long near = fixture.requests_at(1);
    const long home = fixture.requests_at(2);
    const tally served = ask_for(fixture, 0, true, "h", 1s);
    CHECK(served.asked > 5);
    CHECK(served.served == served.asked);
    CHECK(fixture.requests_at(1) == near);
    CHECK(fixture.requests_at(2) == home + served.asked);
    set_home(3, "egs");
    const tally refused = ask_for(fixture, 0, true, "r", 500ms);
    CHECK(refused.served == 0);
    CHECK(fixture.requests_at(1) == near);
    CHECK(fixture.requests_at(2) == home + served.asked);
}

TEST_CASE("edge reach: the rate of a customer is counted once for passed-on requests, and still holds")
{
    constexpr double rate = 10;
    constexpr double burst = 10;
    cut_fixture fixture(3, 2);
    standins::put_row(*fixture.store, "op", "config",
                      configuration_row(2, R"({"resource_kind":"tenants","metadata":{"name":"gullfoss"},
                          "spec":{"api_keys":["key-one"],"rate_per_s":10,"burst":10}},)"));
    fixture.set_links(0, link_fault::down);
    ask_for(fixture, 0, false, "n", 4s); // Meanwhile the share follows the demand.
    std::this_thread::sleep_for(2s);
    int served = 0;
    constexpr int count = 32;
    for (int number = 0; number < count; ++number) {
        const std::string attempt = "s" + std::to_string(number);
        served += fixture.ask_at(0, make_request(http::verb::get, "/find/1", attempt)).result_int() == 200;
        std::this_thread::sleep_for(125ms);
    }
    CHECK(served == count);
    const auto start = clock_type::now();
    const tally pressed = ask_for(fixture, 0, false, "p", 4s);
    const double elapsed_s = std::chrono::duration<double>(clock_type::now() - start).count();
    CHECK(pressed.asked > 60);
    CHECK(pressed.served <= rate * elapsed_s + burst);
}

TEST_CASE("edge reach: a caller that leaves stops the work of the target behind another instance")
{
    cut_fixture fixture(3, 2);
    fixture.set_links(0, link_fault::down);
    ask_for(fixture, 0, false, "n", 1500ms);
    for (auto& server : fixture.servers) {
        const std::lock_guard lock(server->guard);
        server->default_behavior = standins::server_behavior::silent;
    }
    const auto left = [&] {
        int count = 0;
        for (auto& server : fixture.servers) {
            count += server->left_while_silent;
        }
        return count;
    };
    {
        caller leaving(fixture.all_settings.at(0).front.port);
        http::write(leaving.stream, make_request(http::verb::get, "/find/1", "gone"));
        REQUIRE(eventually([&] { return fixture.runs_of("gone") == 1; }));
        CHECK(left() == 0);
    }
    std::this_thread::sleep_for(500ms);
    CHECK(left() == 1);
    CHECK(fixture.runs_of("gone") == 1);
}

TEST_CASE(
    "edge reach: after an outage of all targets the callers of a cut instance are served as soon as others")
{
    cut_fixture fixture(4, 3, {"rvk-a", "aku-a", "egs-a"});
    fixture.set_links(0, link_fault::down);
    ask_for(fixture, 0, false, "n", 1500ms);
    std::array<tally, 3> before;
    std::array<tally, 3> after;
    for (const std::size_t instance : {1, 2}) {
        fixture.set_links(instance, link_fault::down);
    }
    const auto ask_all = [&](std::array<tally, 3>& tallies, const std::string& prefix,
                             std::chrono::milliseconds time) {
        std::vector<std::thread> callers;
        callers.reserve(tallies.size());
        for (const std::size_t instance : {0, 1, 2}) {
            callers.emplace_back([&, instance] {
                tallies.at(instance) =
                    ask_for(fixture, instance, true, prefix + std::to_string(instance) + "-", time);
            });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
    };
    ask_all(before, "b", 2500ms);
    for (const std::size_t instance : {1, 2}) {
        fixture.set_links(instance, link_fault::none);
    }
    ask_all(after, "a", 2s);
    INFO(after[0].served << " of " << after[0].asked << ", " << after[1].served << " of " << after[1].asked);
    CHECK(after[1].served > 5);
    CHECK(after[0].served * after[1].asked * 3 >= after[1].served * after[0].asked * 2);
}
