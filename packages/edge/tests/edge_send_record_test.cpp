// The log of requests that were refused as "not run" after they had been sent.
#include <catch2/catch.hpp>

#include "captured_log.hpp"

using namespace edge_tests;
using standins::server_behavior;

namespace {

caller_request unsafe_request(const std::string& attempt)
{
    return make_request(http::verb::post, "/seal/1", attempt, "x");
}

std::string metrics_of(const edge_fixture& fixture)
{
    return fixture.get_from(fixture.settings.metrics.port, "/metrics").body();
}

} // namespace

// Guards against a target that writes answers to earlier requests, and is noticed only after harm was done.
TEST_CASE("edge send record: answers to earlier requests are logged and counted")
{
    const captured_log log;
    edge_fixture fixture;
    auto& server = *fixture.servers.front();
    server.repeats_refusal = standins::refusal_repeat::during_next_request;
    CHECK_THAT(metrics_of(fixture), Catch::Contains("camphorknot_skipped_answers_total 0\n"));
    standins::set_script(server, {server_behavior::shed});
    CHECK(fixture.ask(unsafe_request("refused")).result_int() == 503);
    CHECK(fixture.ask(unsafe_request("served")).result_int() == 200);
    const auto sends = log.lines_of("send_answered", "served");
    REQUIRE(sends.size() == 1);
    CHECK(sends.front().fields.at("skipped_answers") == "1");
    CHECK(sends.front().fields.at("target") == "i-1");
    CHECK_THAT(metrics_of(fixture), Catch::Contains("camphorknot_skipped_answers_total 1\n"));
    const auto refused = log.lines_of("send_failed", "refused");
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().fields.count("skipped_answers") == 0);
    CHECK(refused.front().fields.at("connection") == sends.front().fields.at("connection"));
}
