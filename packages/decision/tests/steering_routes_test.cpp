#include <catch2/catch.hpp>

#include "camphorknot/steering.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;

TEST_CASE("routes: the longest matching prefix of the host is selected, and others get no route")
{
    auto source = std::make_shared<configuration>();
    source->routes.push_back({.name = "short", .host = "a.example", .prefix = "/x/"});
    source->routes.push_back({.name = "long", .host = "a.example", .prefix = "/x/y/"});
    source->routes.push_back({.name = "other", .host = "b.example", .prefix = "/"});
    source->customers.push_back({.name = "gullfoss", .keys = {"k1", "k2"}});
    const auto table = make_route_table(source);
    CHECK(find_route(*table, "a.example", "/x/y/2f?q=/x/")->name == "long");
    CHECK(find_route(*table, "a.example:8080", "/x/z")->name == "short");
    CHECK(find_route(*table, "a.example", "/z/") == nullptr);
    CHECK(find_route(*table, "a.example", "/x") == nullptr);
    CHECK(find_route(*table, "c.example", "/x/") == nullptr);
    CHECK(find_customer(*table, "k2")->name == "gullfoss");
    CHECK(find_customer(*table, "") == nullptr);
}
