#include <catch2/catch.hpp>

#include "fleet_fixture.hpp"
#include "standins/caller_standin.hpp"

using namespace edge_tests;

namespace {

constexpr std::size_t bulk_routes = 1500;

std::string prefix_of(std::size_t number)
{
    return "/added-" + std::to_string(number) + "/";
}

// A configuration of about 300 kB, with @p added further routes.
std::string large_configuration(unsigned version, std::size_t added)
{
    std::vector<standins::configured_route> routes = {{"find", "seals.example", "/find/", "safe", "desk"}};
    for (std::size_t number = 0; number < bulk_routes; ++number) {
        const std::string name = "bulk-" + std::to_string(number);
        routes.push_back({name, name + ".example", "/" + name + "/", "safe", "desk"});
    }
    for (std::size_t number = 0; number < added; ++number) {
        const std::string name = "added-" + std::to_string(number);
        routes.push_back({name, "seals.example", prefix_of(number), "safe", "desk"});
    }
    const std::array customers = {standins::configured_customer{"gullfoss", "key-one"}};
    return standins::configuration_row(version, routes, customers);
}

struct spread_fixture : fleet_fixture {
    spread_fixture() : fleet_fixture(1, 1)
    {
        domains = {"rvk-a"};
        start_member(1);
        start_member(2);
        std::this_thread::sleep_for(2s);
    }

    bool is_served(std::size_t instance, const std::string& path) const
    {
        caller connection(all_settings.at(instance).front.port);
        return connection.ask(make_request(http::verb::get, path, "a")).result_int() == 200;
    }

    bool is_served_everywhere(const std::string& path) const
    {
        return eventually([&] {
            bool served = true;
            for (std::size_t index = 0; index < all_settings.size(); ++index) {
                served = served && is_served(index, path);
            }
            return served;
        });
    }

    std::uint64_t metric_sum(const std::string& name) const
    {
        std::uint64_t sum = 0;
        for (const auto& each : all_settings) {
            const std::string page = get_from(each.metrics.port, "/metrics").body();
            const std::size_t found = page.find("\n" + name + " ");
            sum += found == std::string::npos ? 0 : std::stoull(page.substr(found + name.size() + 2));
        }
        return sum;
    }

    std::uint64_t sent_record_bytes() const
    {
        return metric_sum(R"(camphorknot_peer_bytes_total{direction="sent",message="records_answer"})");
    }
};

} // namespace

// Guards against a cost of each change that grows with the configuration: in a storm of changes the copies
// filled the links, and instances served an old version for seconds.
TEST_CASE("configuration spread: a change is sent to other instances by its own size")
{
    const spread_fixture fixture;
    standins::put_configuration(*fixture.store, large_configuration(2, 1));
    REQUIRE(fixture.is_served_everywhere(prefix_of(0) + "1"));
    const std::uint64_t before = fixture.sent_record_bytes();
    constexpr std::size_t last_change = 7;
    for (std::size_t change = 2; change <= last_change; ++change) {
        standins::put_configuration(*fixture.store,
                                    large_configuration(static_cast<unsigned>(change) + 1, change));
        REQUIRE(fixture.is_served_everywhere(prefix_of(change - 1) + "1"));
    }
    CHECK(fixture.sent_record_bytes() - before < large_configuration(1, 0).size() / 4);
}
