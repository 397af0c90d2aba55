// Faults visible to a caller, whose cause must follow from the log lines alone.
#include <catch2/catch.hpp>

#include "captured_log.hpp"
#include "edge_fixture.hpp"

using namespace edge_tests;
using standins::server_behavior;

namespace {

caller_request unsafe_request(const std::string& attempt)
{
    return make_request(http::verb::post, "/seal/1", attempt, "x");
}

} // namespace

TEST_CASE("edge explain: the log lines show what a target did with a request")
{
    const captured_log log;
    edge_fixture fixture;
    const auto cause_with = [&](server_behavior act, const std::string& attempt) {
        standins::set_script(*fixture.servers.front(), {act});
        fixture.ask(unsafe_request(attempt));
        return log.cause_of(attempt);
    };
    CHECK_THAT(cause_with(server_behavior::reset_after_read, "lost"),
               Catch::Contains("target i-1, whose connection ended"));
    CHECK_THAT(cause_with(server_behavior::fail, "failed"),
               Catch::Contains("failed at target i-1 with status 500"));
    CHECK_THAT(cause_with(server_behavior::refuse_unproved, "unproved"),
               Catch::Contains("target i-1, which answered with a status that promises"));
    std::this_thread::sleep_for(1200ms); // Suspension of the target after its failures.
    CHECK_THAT(cause_with(server_behavior::silent, "silent"),
               Catch::Contains("target i-1, which did not answer in the time"));
}

TEST_CASE("edge explain: a target that sheds, and one that cannot be reached")
{
    const captured_log log;
    edge_fixture fixture;
    fixture.servers.front()->default_behavior = server_behavior::shed;
    fixture.ask(unsafe_request("shed"));
    CHECK_THAT(log.cause_of("shed"), Catch::Contains("refused by target i-1 without running it"));
    const std::uint16_t closed = free_port();
    fixture.register_server("i-1", closed, "ready", 200);
    CHECK(eventually([&] {
        return fixture.ask(unsafe_request("away")).result_int() == 503 &&
               log.explain("away").cause.find("No connection") != std::string::npos;
    }));
}

// Guards against requests that overload leaves without a cause, since the limit left out their lines.
TEST_CASE("edge explain: each request that was refused after a send is explained, however many there are")
{
    const captured_log log;
    edge_fixture fixture;
    fixture.servers.front()->default_behavior = server_behavior::shed;
    caller connection(fixture.settings.front.port);
    constexpr int requests = 120;
    for (int number = 0; number < requests; ++number) {
        CHECK(connection.ask(unsafe_request("many-" + std::to_string(number))).result_int() == 503);
    }
    int without_refusal_line = 0;
    for (int number = 0; number < requests; ++number) {
        const std::string attempt = "many-" + std::to_string(number);
        CAPTURE(attempt);
        const std::string cause = log.cause_of(attempt);
        CHECK_THAT(cause, Catch::Contains("target i-1"));
        if (log.lines_of("request_refused", attempt).empty()) {
            ++without_refusal_line;
            CHECK_THAT(cause, Catch::Contains("target i-1 answered that it has not run it"));
        }
    }
    CHECK(without_refusal_line > 0);
}

TEST_CASE("edge explain: an unknown key and an unknown route")
{
    const captured_log log;
    edge_fixture fixture;
    caller_request request = unsafe_request("key");
    request.set(http::field::authorization, "Token key-none");
    fixture.ask(request);
    CHECK_THAT(log.cause_of("key"), Catch::Contains("key is missing or not in configuration"));
    fixture.ask(make_request(http::verb::get, "/nothing/1", "route"));
    CHECK_THAT(log.cause_of("route"), Catch::Contains("has no route for host seals.example"));
}

TEST_CASE("edge explain: a customer above its rate")
{
    const captured_log log;
    edge_fixture fixture;
    standins::put_row(
        *fixture.store, "op", "config",
        configuration_row(2, R"({"resource_kind":"tenants","metadata":{"name":"gullfoss"},"spec":
                          {"api_keys":["key-one"],"rate_per_s":2,"burst":2}},)"));
    int sent = 0;
    std::string refused;
    CHECK(eventually([&] {
        refused = "rate-" + std::to_string(++sent);
        return fixture.ask(unsafe_request(refused)).result_int() == 429;
    }));
    CHECK_THAT(log.cause_of(refused), Catch::Contains("Customer gullfoss was above its rate of 2.0"));
}

TEST_CASE("edge explain: no target is left after the only one was removed")
{
    const captured_log log;
    edge_fixture fixture;
    standins::drop_row(*fixture.store, "servers", "i-1");
    int sent = 0;
    std::string refused;
    CHECK(eventually([&] {
        refused = "none-" + std::to_string(++sent);
        return fixture.ask(unsafe_request(refused)).result_int() == 503;
    }));
    CHECK_THAT(log.cause_of(refused), Catch::Contains("no usable target of service desk"));
}

TEST_CASE("edge explain: a caller that leaves")
{
    const captured_log log;
    edge_fixture fixture;
    fixture.servers.front()->default_behavior = server_behavior::silent;
    {
        caller leaving(fixture.settings.front.port);
        http::write(leaving.stream, make_request(http::verb::get, "/find/1", "gone"));
        std::this_thread::sleep_for(100ms);
    }
    CHECK_THAT(log.cause_of("gone"), Catch::Contains("caller closed its connection"));
}

TEST_CASE("edge explain: no configuration yet, since the store is unavailable")
{
    const captured_log log;
    edge_fixture fixture;
    fixture.running.reset();
    fixture.store->fault = standins::store_fault::busy;
    fixture.choose_ports();
    auto started = camphorknot::edge::start_instance(fixture.settings);
    REQUIRE(started);
    fixture.running = std::move(*started);
    fixture.ask(unsafe_request("early"));
    CHECK_THAT(log.cause_of("early"), Catch::Contains("neither the store nor a peer"));
    CHECK(eventually([&] {
        fixture.ask(unsafe_request("later"));
        const auto lines = log.explain("later").lines;
        return std::ranges::any_of(lines, [](const auto& line) { return line.event == "store_lost"; });
    }));
}
