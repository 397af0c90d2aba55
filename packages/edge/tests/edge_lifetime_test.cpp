// State that requests refer to while it is replaced, removed or destroyed. The address sanitizer shows what
// the results do not.
#include <catch2/catch.hpp>

#include <boost/asio/write.hpp>
#include <future>
#include <sstream>

#include "edge_fixture.hpp"

using namespace edge_tests;
using std::chrono::milliseconds;

namespace {

constexpr int service_ms = 2500;

caller_request post_basket(const std::string& attempt)
{
    caller_request request = make_request(http::verb::post, "/basket/1", attempt, std::string(200, 'x'));
    request.set("Deadline-Ms", "9000");
    return request;
}

std::string to_text(const caller_request& request)
{
    std::ostringstream text;
    text << request;
    return text.str();
}

/// An instance whose only server works on each request for a while, and requests of one caller each.
struct lifetime_fixture : edge_fixture {
    std::vector<std::future<unsigned>> statuses;

    lifetime_fixture() { servers.front()->service_ms = service_ms; }

    void send(const std::string& attempt)
    {
        statuses.push_back(std::async(std::launch::async,
                                      [this, attempt] { return ask(post_basket(attempt)).result_int(); }));
    }

    std::size_t received() { return standins::received_requests(*servers.front()).size(); }
};

} // namespace

// Guards against a send that refers to the state of a target whose entry was replaced or removed meanwhile.
TEST_CASE("edge lifetime: a target restarts under its id and its entry is removed while it runs requests")
{
    lifetime_fixture fixture;
    for (int number = 0; number < 3; ++number) {
        fixture.send("running-" + std::to_string(number));
    }
    REQUIRE(eventually([&] { return fixture.received() == 3; }));
    fixture.register_server("i-1", fixture.servers.front()->port, "ready", 200);
    std::this_thread::sleep_for(900ms);
    standins::drop_row(*fixture.store, "servers", "i-1");
    for (auto& status : fixture.statuses) {
        CHECK(status.get() == 200);
    }
    CHECK(fixture.ask(post_basket("without-target")).result_int() == 503);
    fixture.servers.front()->service_ms = 1;
    fixture.register_server("i-1", fixture.servers.front()->port, "ready", 300);
    CHECK(eventually([&] { return fixture.ask(post_basket("again")).result_int() == 200; }));
}

// Guards against a request that refers to the routes and customers of a configuration that was replaced.
TEST_CASE("edge lifetime: the routes, the service and the customer of running requests disappear")
{
    lifetime_fixture fixture;
    for (int number = 0; number < 3; ++number) {
        fixture.send("running-" + std::to_string(number));
    }
    REQUIRE(eventually([&] { return fixture.received() == 3; }));
    standins::put_row(*fixture.store, "op", "config", R"({"config_version":"00000002","resources":[]})");
    CHECK(eventually([&] { return fixture.ask(post_basket("unrouted")).result_int() == 404; }));
    for (auto& status : fixture.statuses) {
        CHECK(status.get() == 200);
    }
}

// Guards against suspended requests that use what was destroyed before them. Answers are not due here.
TEST_CASE("edge lifetime: an instance is destroyed while requests are in all phases")
{
    lifetime_fixture fixture;
    const std::string text = to_text(post_basket("unfinished"));
    std::vector<std::unique_ptr<caller>> callers;
    const auto send_text = [&](std::uint16_t port, const std::string& bytes) {
        callers.push_back(std::make_unique<caller>(port));
        boost::asio::write(callers.back()->stream.socket(), boost::asio::buffer(bytes));
    };
    for (const std::uint16_t port : {fixture.settings.front.port, fixture.settings.relay.port}) {
        send_text(port, "");
        send_text(port, text.substr(0, 40));
        send_text(port, text.substr(0, text.size() - 10));
        send_text(port, text);
        send_text(port, text + text);
        send_text(port, to_text(make_request(http::verb::get, "/find/1", "first")) +
                            to_text(make_request(http::verb::get, "/find/2", "second")) + text.substr(0, 40));
    }
    REQUIRE(eventually([&] { return fixture.received() >= 6; }));
    const bool is_stopping = GENERATE(false, true);
    if (is_stopping) {
        camphorknot::edge::begin_stop(*fixture.running);
    }
    fixture.running.reset();
    CHECK(fixture.running == nullptr);
}
