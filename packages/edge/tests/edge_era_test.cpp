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

constexpr const char* evacuation_key = "evacuate/rvk-a";

// Whether the server gets none of the next requests, of which eight are sent at a time.
bool gets_nothing(edge_fixture& fixture, standins::server_standin& server)
{
    {
        const std::lock_guard lock(server.guard);
        server.received.clear();
    }
    constexpr int caller_count = 8;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int caller = 0; caller < caller_count; ++caller) {
        callers.emplace_back([&fixture] {
            for (int count = 0; count < 10; ++count) {
                fixture.ask(make_request(http::verb::get, "/find/" + std::to_string(count), "k"));
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    return standins::received_requests(server).empty();
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

// Guards against an evacuation that is acknowledged and never carried out: the failure domain was evacuated
// before, and the order is given again as the store returns from an old copy.
TEST_CASE("edge era: an evacuation that was taken back is carried out when it is ordered again in a new era")
{
    edge_fixture fixture(0);
    fixture.server_domains = {"rvk-a", "rvk-b"};
    fixture.add_server("i-1");
    fixture.add_server("i-2");
    fixture.start();
    standins::server_standin& evacuated = *fixture.servers.at(0);
    const auto in_force = [&] { return gets_nothing(fixture, evacuated); };
    const auto taken_back = [&] { return !gets_nothing(fixture, evacuated); };
    standins::put_row(*fixture.store, "op", evacuation_key, R"({"zone":"rvk-a"})");
    REQUIRE(eventually(in_force));
    standins::drop_row(*fixture.store, "op", evacuation_key);
    REQUIRE(eventually(taken_back));
    const standins::store_copy copy = standins::take_copy(*fixture.store);
    fixture.store->fault = standins::store_fault::busy;
    standins::restore_copy(*fixture.store, copy);
    standins::put_row(*fixture.store, "op", evacuation_key, R"({"zone":"rvk-a"})");
    fixture.store->fault = standins::store_fault::none;
    CHECK(eventually(in_force));
    standins::drop_row(*fixture.store, "op", evacuation_key);
    CHECK(eventually(taken_back));
}

TEST_CASE("edge era: an evacuation that an old copy brings back ends when it is taken back again")
{
    edge_fixture fixture(0);
    fixture.server_domains = {"rvk-a", "rvk-b"};
    fixture.add_server("i-1");
    fixture.add_server("i-2");
    fixture.start();
    standins::server_standin& evacuated = *fixture.servers.at(0);
    standins::put_row(*fixture.store, "op", evacuation_key, R"({"zone":"rvk-a"})");
    REQUIRE(eventually([&] { return gets_nothing(fixture, evacuated); }));
    const standins::store_copy copy = standins::take_copy(*fixture.store);
    standins::drop_row(*fixture.store, "op", evacuation_key);
    REQUIRE(eventually([&] { return !gets_nothing(fixture, evacuated); }));
    standins::restore_copy(*fixture.store, copy);
    std::this_thread::sleep_for(1s); // The row is read before the operator removes it again.
    standins::drop_row(*fixture.store, "op", evacuation_key);
    CHECK(eventually([&] { return !gets_nothing(fixture, evacuated); }));
}
