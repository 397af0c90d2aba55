#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <sstream>

#include <pthread.h>

#include "camphorknot/platform/records.hpp"
#include "edge_fixture.hpp"

using namespace edge_tests;
using standins::server_behavior;
using standins::store_fault;

TEST_CASE("edge records: readiness, directory and metrics are served once there is a configuration")
{
    edge_fixture fixture;
    CHECK(fixture.get_from(fixture.settings.readiness.port, "/-/ready").result_int() == 200);
    const caller_response answer =
        fixture.get_from(fixture.settings.directory.port, "/-/resolve?name=x&region=rvk&zone=rvk-a");
    CHECK(answer.result_int() == 200);
    CHECK(answer.body().find(fixture.settings.identity.front_address) != std::string::npos);
    CHECK(fixture.get_from(fixture.settings.metrics.port, "/metrics")
              .body()
              .find("camphorknot_requests_total") != std::string::npos);
}

TEST_CASE("edge records: a withdrawn key stops working within seconds, also on an open connection")
{
    edge_fixture fixture;
    caller connection(fixture.settings.front.port);
    CHECK(connection.ask(make_request(http::verb::get, "/find/1", "a1")).result_int() == 200);
    const std::string others =
        R"({"resource_kind":"tenants","metadata":{"name":"gullfoss"},"spec":{"api_keys":["key-two"]}},)";
    standins::put_row(*fixture.store, "op", "config", configuration_row(3, others));
    CHECK(eventually(
        [&] { return connection.ask(make_request(http::verb::get, "/find/1", "a2")).result_int() == 401; }));
}

TEST_CASE("edge records: a configuration never goes back to an older version")
{
    edge_fixture fixture;
    const std::string others =
        R"({"resource_kind":"tenants","metadata":{"name":"gullfoss"},"spec":{"api_keys":["key-two"]}},)";
    standins::put_row(*fixture.store, "op", "config", configuration_row(5, others));
    REQUIRE(eventually(
        [&] { return fixture.ask(make_request(http::verb::get, "/find/1", "a1")).result_int() == 401; }));
    standins::put_row(*fixture.store, "op", "config", configuration_row(2, one_customer));
    std::this_thread::sleep_for(1500ms);
    CHECK(fixture.ask(make_request(http::verb::get, "/find/1", "a2")).result_int() == 401);
}

TEST_CASE("edge records: malformed entries are ignored, and valid ones stay in use")
{
    edge_fixture fixture;
    const std::string address = local_ip() + ":" + std::to_string(fixture.servers.front()->port);
    const std::vector<std::string> rows = {
        "not json",
        "[]",
        R"({"service":"desk"})",
        standins::server_row("desk", "nowhere", "rvk-a", "v1", "ready", 0, 1),
        standins::server_row("desk", address, "rvk-a", "v1", "sleeping", 0, 1),
        R"({"service":"desk","address":")" + address +
            R"(","zone":"rvk-a","config_version":"v1","slots":"4","state":"ready","warmup_left_s":0,"sequence":1})",
        R"({"service":"desk","address":")" + address +
            R"(","zone":"rvk-a","config_version":"v1","slots":4,"state":"ready","warmup_left_s":0,"sequence":1,"born":1.5})"};
    for (std::size_t index = 0; index < rows.size(); ++index) {
        standins::put_row(*fixture.store, "servers", "i-bad-" + std::to_string(index), rows.at(index));
    }
    std::this_thread::sleep_for(1200ms);
    for (int count = 0; count < 20; ++count) {
        CHECK(
            fixture.ask(make_request(http::verb::get, "/find/1", "a" + std::to_string(count))).result_int() ==
            200);
    }
    for (const standins::received_request& request : standins::received_requests(*fixture.servers.front())) {
        CHECK(request.expected == "i-1");
    }
}

// Guards against an instance that ends because its stack does not suffice for an entry of another writer.
TEST_CASE("edge records: the comparison of deeply nested entries needs little stack")
{
    const auto compare = [](void* /*unused*/) -> void* {
        static int differs = 0; // Only its address is used.
        constexpr std::size_t depth = 32'000;
        const std::string nested = std::string(depth, '[') + std::string(depth, ']');
        const camphorknot::steering::record first = {camphorknot::steering::collection::targets, "i-odd",
                                                     R"({"sequence":1,"extra":)" + nested + "}", 1, false};
        camphorknot::steering::record second = first;
        second.version = 2;
        return camphorknot::platform::differs_beyond_heartbeat(first, second) ? &differs : nullptr;
    };
    pthread_attr_t attributes;
    REQUIRE(pthread_attr_init(&attributes) == 0);
    REQUIRE(pthread_attr_setstacksize(&attributes, std::size_t{512} * 1024) == 0);
    pthread_t thread{};
    REQUIRE(pthread_create(&thread, &attributes, compare, nullptr) == 0);
    void* result = nullptr;
    CHECK(pthread_join(thread, &result) == 0);
    CHECK(result != nullptr);
    pthread_attr_destroy(&attributes);
}

// Guards against an instance that ends, or stops following the records, at an entry of another writer.
TEST_CASE("edge records: entries with deep nesting, large numbers or impossible addresses do no harm")
{
    edge_fixture fixture;
    const auto row = [](const std::string& address, const std::string& slots, const std::string& sequence,
                        const std::string& further = "") {
        return R"({"service":"desk","address":")" + address +
               R"(","zone":"rvk-a","config_version":"v1","slots":)" + slots +
               R"(,"state":"ready","warmup_left_s":0,"sequence":)" + sequence + further + "}";
    };
    const std::string address = local_ip() + ":" + std::to_string(fixture.servers.front()->port);
    constexpr std::size_t depth = 32'000;
    const std::string arrays = std::string(depth, '[') + std::string(depth, ']');
    std::string objects;
    for (std::size_t level = 0; level < 10'000; ++level) {
        objects += R"({"a":)";
    }
    objects += "1" + std::string(10'000, '}');
    const std::vector<std::string> rows = {arrays,
                                           objects,
                                           row(address, "4", "1", R"(,"extra":)" + arrays),
                                           row(address, "4", "1", R"(,"extra":)" + objects),
                                           std::string(60'000, '['),
                                           row(address, "1e400", "1"),
                                           row(address, "99999999999999999999999999", "1"),
                                           row(address, "18446744073709551615", "1"),
                                           row(address, "4", "1e400"),
                                           row(address, "4", std::string(400, '9')),
                                           row(address, "4", "1", R"(,"born":18446744073709551615)"),
                                           row(address, "4", "1", R"(,"born":-9223372036854775808)"),
                                           row(local_ip() + ":65536", "4", "1"),
                                           row(local_ip() + ":99999999999999999999", "4", "1"),
                                           row(local_ip() + ":0", "4", "1"),
                                           row(local_ip() + ":-1", "4", "1"),
                                           row("999.999.999.999:80", "4", "1"),
                                           row("[::1:80", "4", "1"),
                                           row("desk.example:80", "4", "1")};
    // Each entry is written twice: a changed one is compared with the stored one.
    for (const std::string suffix : {"", " "}) {
        for (std::size_t index = 0; index < rows.size(); ++index) {
            standins::put_row(*fixture.store, "servers", "i-odd-" + std::to_string(index),
                              rows.at(index) + suffix);
        }
        std::this_thread::sleep_for(1200ms);
    }
    for (int count = 0; count < 60; ++count) {
        const auto answer =
            fixture.ask(make_request(http::verb::get, "/find/1", "o" + std::to_string(count)));
        CHECK(answer.result_int() == 200);
    }
    // The records are still followed.
    standins::put_row(*fixture.store, "op", "config",
                      configuration_row(4, R"({"resource_kind":"tenants","metadata":{"name":"gullfoss"},
                                               "spec":{"api_keys":["key-two"]}},)"));
    CHECK(eventually(
        [&] { return fixture.ask(make_request(http::verb::get, "/find/1", "last")).result_int() == 401; }));
}

// Guards against requests that are sent to an entry whose address no connection can reach: a request that
// tries three of them is refused.
TEST_CASE("edge records: an entry whose address is no IPv4 address names no target")
{
    using camphorknot::platform::decode_target;
    const auto entry = [](const std::string& address) {
        return camphorknot::steering::record{
            camphorknot::steering::collection::targets, "i-odd",
            standins::server_row("desk", address, "rvk-a", "v1", "ready", 0, 100), 1, false};
    };
    CHECK(decode_target(entry("10.1.2.3:8080")));
    for (const std::string address :
         {"999.999.999.999:80", "[::1:80", "[::1]:80", "desk.example:80", "10.1.2:80", "0.0.0.0:80", ":80",
          "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:65536", "10.1.2.3:8080 "}) {
        CAPTURE(address);
        const auto decoded = decode_target(entry(address));
        CHECK_FALSE(decoded);
        CHECK(decoded.reason.field == "address");
    }
}

TEST_CASE("edge records: a draining server gets nothing more after a moment")
{
    edge_fixture fixture(2);
    fixture.register_server("i-1", fixture.servers.front()->port, "draining", 100);
    std::this_thread::sleep_for(1500ms);
    const std::size_t before = standins::received_requests(*fixture.servers.front()).size();
    for (int count = 0; count < 20; ++count) {
        CHECK(
            fixture.ask(make_request(http::verb::get, "/find/1", "a" + std::to_string(count))).result_int() ==
            200);
    }
    CHECK(standins::received_requests(*fixture.servers.front()).size() == before);
}

TEST_CASE("edge records: requests are served while the store is unavailable, and changes arrive afterwards")
{
    edge_fixture fixture;
    for (const store_fault fault :
         {store_fault::busy, store_fault::reset, store_fault::silent, store_fault::lost_answer}) {
        fixture.store->fault = fault;
        std::this_thread::sleep_for(700ms);
        CHECK(fixture.ask(make_request(http::verb::get, "/find/1", "a1")).result_int() == 200);
        fixture.store->fault = store_fault::none;
    }
    fixture.add_server("i-late");
    CHECK(eventually([&] {
        fixture.ask(make_request(http::verb::get, "/find/1", "a2"));
        fixture.servers.front()->default_behavior = server_behavior::shed;
        return fixture.runs_of("a2") > 0 && !standins::received_requests(*fixture.servers.back()).empty();
    }));
}

TEST_CASE("edge records: a server that left while the history was forgotten is found out")
{
    edge_fixture fixture(2);
    standins::drop_row(*fixture.store, "servers", "i-1");
    standins::forget_history(*fixture.store);
    std::this_thread::sleep_for(1500ms);
    const std::size_t before = standins::received_requests(*fixture.servers.front()).size();
    for (int count = 0; count < 10; ++count) {
        CHECK(
            fixture.ask(make_request(http::verb::get, "/find/1", "a" + std::to_string(count))).result_int() ==
            200);
    }
    CHECK(standins::received_requests(*fixture.servers.front()).size() == before);
}

TEST_CASE("edge records: a request to an address that now belongs to another service runs once, elsewhere")
{
    edge_fixture fixture(2);
    fixture.servers.front()->default_behavior = server_behavior::other_server;
    for (int count = 0; count < 10; ++count) {
        const std::string attempt = "a" + std::to_string(count);
        CHECK(fixture.ask(make_request(http::verb::post, "/seal/1", attempt, "x")).result_int() == 200);
        CHECK(fixture.runs_of(attempt) == 1);
    }
}

TEST_CASE("edge records: a graceful stop answers what runs and says so to the directory at once")
{
    edge_fixture fixture;
    fixture.servers.front()->service_ms = 600;
    caller connection(fixture.settings.front.port);
    http::write(connection.stream, make_request(http::verb::post, "/seal/1", "a1", "x"));
    REQUIRE(eventually([&] { return fixture.runs_of("a1") == 1; }));
    camphorknot::edge::begin_stop(*fixture.running);
    CHECK(eventually(
        [&] { return fixture.get_from(fixture.settings.readiness.port, "/-/ready").result_int() == 503; }));
    caller_response answer;
    http::read(connection.stream, connection.buffer, answer);
    CHECK(answer.result_int() == 200);
    CHECK_FALSE(answer.keep_alive());
    CHECK(camphorknot::edge::wait_until_stopped(*fixture.running, 6s));
}

TEST_CASE("edge records: a graceful stop waits for requests that are still arriving")
{
    edge_fixture fixture;
    caller connection(fixture.settings.front.port);
    std::ostringstream text;
    text << make_request(http::verb::post, "/basket/1", "a1", "a basket");
    const std::string bytes = text.str();
    camphorknot::edge::begin_stop(*fixture.running);
    CHECK_FALSE(camphorknot::edge::wait_until_stopped(*fixture.running, 2s));
    boost::asio::write(connection.stream.socket(), boost::asio::buffer(bytes.substr(0, bytes.size() - 4)));
    // Without requests a stop ends after 3 s.
    CHECK_FALSE(camphorknot::edge::wait_until_stopped(*fixture.running, 1500ms));
    boost::asio::write(connection.stream.socket(), boost::asio::buffer(bytes.substr(bytes.size() - 4)));
    caller_response answer;
    http::read(connection.stream, connection.buffer, answer);
    CHECK(answer.result_int() == 200);
    CHECK(camphorknot::edge::wait_until_stopped(*fixture.running, 3s));
}

TEST_CASE("edge records: a stopping instance refuses what it may not finish, and finishes what it has taken")
{
    edge_fixture fixture;
    fixture.servers.front()->service_ms = 2600;
    const auto basket = [](const std::string& attempt) {
        return make_request(http::verb::post, "/basket/1", attempt, "x");
    };
    caller early(fixture.settings.front.port);
    caller late(fixture.settings.front.port);
    camphorknot::edge::begin_stop(*fixture.running);
    std::this_thread::sleep_for(2300ms);
    http::write(early.stream, basket("early"));
    std::this_thread::sleep_for(1000ms);
    caller latest(fixture.settings.front.port);
    // The answer would be due after the process has ended.
    CHECK(latest.ask(basket("latest")).result_int() == 503);
    CHECK(fixture.runs_of("latest") == 0);
    caller_response answer;
    http::read(early.stream, early.buffer, answer);
    CHECK(answer.result_int() == 200);
}

TEST_CASE("edge records: a graceful stop waits for answers that their callers still read")
{
    constexpr std::size_t answer_bytes = std::size_t{16} * 1024 * 1024;
    edge_fixture fixture;
    fixture.servers.front()->answer_bytes = answer_bytes;
    caller connection(fixture.settings.front.port);
    http::write(connection.stream, make_request(http::verb::post, "/seal/1", "a1", "x"));
    REQUIRE(eventually([&] { return fixture.runs_of("a1") == 1; }));
    std::this_thread::sleep_for(500ms);
    camphorknot::edge::begin_stop(*fixture.running);
    CHECK_FALSE(camphorknot::edge::wait_until_stopped(*fixture.running, 3500ms));
    http::response_parser<http::string_body> parser;
    parser.body_limit(2 * answer_bytes);
    http::read(connection.stream, connection.buffer, parser);
    CHECK(parser.get().result_int() == 200);
    CHECK(parser.get().body().size() == answer_bytes);
    CHECK(camphorknot::edge::wait_until_stopped(*fixture.running, 3s));
}
