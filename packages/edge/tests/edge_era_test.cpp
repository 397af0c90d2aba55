// The store returns from an old copy: what it had acknowledged since is lost, and its versions go back.
#include <catch2/catch.hpp>

#include "edge_fixture.hpp"

using namespace edge_tests;
using standins::server_behavior;

namespace {

const std::string other_key =
    R"({"resource_kind":"tenants","metadata":{"name":"gullfoss"},"spec":{"api_keys":["key-two"]}},)";

unsigned status_with_key_one(const edge_fixture& fixture)
{
    return fixture.ask(make_request(http::verb::get, "/find/1", "k")).result_int();
}

std::string order_row(const std::string& version, int time_limit_s)
{
    return R"({"service":"desk","target":")" + version + R"(","duration_s":)" + std::to_string(time_limit_s) +
           "}";
}

bool is_rolled_back(standins::store_standin& store)
{
    return standins::row_value(store, "status", "rollout/desk").find("rolled_back") != std::string::npos;
}

} // namespace

TEST_CASE("edge era: a withdrawn key stays withdrawn, and changes of the new era arrive")
{
    edge_fixture fixture;
    const standins::store_copy copy = standins::take_copy(*fixture.store);
    for (int number = 0; number < 20; ++number) {
        fixture.register_server("i-1", fixture.servers.front()->port, "ready", 100);
    }
    standins::put_row(*fixture.store, "op", "config", configuration_row(3, other_key));
    REQUIRE(eventually([&] { return status_with_key_one(fixture) == 401; }));
    standins::restore_copy(*fixture.store, copy);
    std::this_thread::sleep_for(1500ms);
    CHECK(status_with_key_one(fixture) == 401);
    // The operator writes again, and then a newer configuration; the versions of both rows were given before.
    standins::put_row(*fixture.store, "op", "config", configuration_row(3, other_key));
    std::this_thread::sleep_for(1s);
    CHECK(status_with_key_one(fixture) == 401);
    standins::put_row(*fixture.store, "op", "config", configuration_row(5, one_customer));
    CHECK(eventually([&] { return status_with_key_one(fixture) == 200; }));
}

TEST_CASE("edge era: a server that drains or has left gets nothing because an old copy names it")
{
    edge_fixture fixture(3);
    const standins::store_copy copy = standins::take_copy(*fixture.store);
    fixture.register_server("i-1", fixture.servers.at(0)->port, "draining", 100);
    standins::drop_row(*fixture.store, "servers", "i-2");
    std::this_thread::sleep_for(1500ms);
    standins::restore_copy(*fixture.store, copy);
    std::this_thread::sleep_for(1500ms);
    for (auto& server : fixture.servers) {
        const std::lock_guard lock(server->guard);
        server->received.clear();
    }
    for (int count = 0; count < 30; ++count) {
        CHECK(status_with_key_one(fixture) == 200);
    }
    CHECK(standins::received_requests(*fixture.servers.at(0)).empty());
    CHECK(standins::received_requests(*fixture.servers.at(1)).empty());
    // The next incarnation is used.
    fixture.register_server("i-2", fixture.servers.at(1)->port, "ready", 200);
    CHECK(eventually([&] {
        status_with_key_one(fixture);
        return !standins::received_requests(*fixture.servers.at(1)).empty();
    }));
}

TEST_CASE("edge era: a server that the old copy does not name stays in use until it has registered again")
{
    edge_fixture fixture;
    const standins::store_copy copy = standins::take_copy(*fixture.store);
    fixture.add_server("i-2");
    REQUIRE(eventually([&] {
        status_with_key_one(fixture);
        return !standins::received_requests(*fixture.servers.at(1)).empty();
    }));
    standins::drop_row(*fixture.store, "servers", "i-1");
    std::this_thread::sleep_for(1500ms);
    standins::restore_copy(*fixture.store, copy);
    for (int count = 0; count < 40; ++count) {
        CHECK(status_with_key_one(fixture) == 200);
        std::this_thread::sleep_for(40ms);
    }
    // It does not register again.
    std::this_thread::sleep_for(4s);
    CHECK(status_with_key_one(fixture) == 503);
}

TEST_CASE("edge era: a version that was rolled back is not tried again, and its state is recorded again")
{
    edge_fixture fixture;
    fixture.servers.push_back(standins::start_server(local_ip(), "i-2"));
    standins::server_standin& canary = *fixture.servers.back();
    canary.default_behavior = server_behavior::fail;
    standins::put_row(*fixture.store, "servers", "i-2",
                      standins::server_row("desk", local_ip() + ":" + std::to_string(canary.port), "rvk-a",
                                           "v2", "ready", 0, 200));
    const standins::store_copy copy = standins::take_copy(*fixture.store);
    standins::put_row(*fixture.store, "op", "rollout/desk", order_row("v2", 60));
    REQUIRE(eventually([&] {
        for (int count = 0; count < 20; ++count) {
            status_with_key_one(fixture);
        }
        return is_rolled_back(*fixture.store);
    }));
    standins::restore_copy(*fixture.store, copy);
    std::this_thread::sleep_for(1s);
    const std::size_t before = standins::received_requests(canary).size();
    for (int number = 0; number < 30; ++number) { // Heartbeats: the order's version is not the former one.
        fixture.register_server("i-1", fixture.servers.front()->port, "ready", 100);
    }
    standins::put_row(*fixture.store, "op", "rollout/desk", order_row("v2", 60));
    for (int count = 0; count < 200; ++count) {
        status_with_key_one(fixture);
        std::this_thread::sleep_for(5ms);
    }
    CHECK(standins::received_requests(canary).size() == before);
    CHECK(eventually([&] { return is_rolled_back(*fixture.store); }));
}
