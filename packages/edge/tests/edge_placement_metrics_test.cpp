#include <catch2/catch.hpp>

#include "../src/placement_metrics.hpp"

using namespace camphorknot;

// Guards against a cost of each tick that grows with the configuration: every route had two gauges, which
// were looked up by name five times a second.
TEST_CASE("placement metrics: routes without a measurement have none")
{
    steering::target_pool pool;
    auto& routes = pool.by_route["desk"];
    for (int number = 0; number < 100; ++number) {
        routes["route-" + std::to_string(number)] = {};
    }
    routes["route-7"].warm_samples = 1;
    const metrics_handle registry = make_metrics();
    edge::publish_profiles(*registry, pool);
    const std::string page = metrics_page(*registry);
    CHECK(page.find("route=\"route-7\"") != std::string::npos);
    CHECK(page.find("route=\"route-8\"") == std::string::npos);
}
