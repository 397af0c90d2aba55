#include <catch2/catch.hpp>

#include "camphorknot/configuration/store.hpp"

using namespace camphorknot;

namespace {

move_object sample_drain()
{
    move_object move;
    move.name = "drain-1";
    move.service = "catalogue";
    move.targets = {"10.0.1.1:7400"};
    move.deadline = 1'900'000'000'000;
    return move;
}

std::vector<configuration_object> sample_objects()
{
    service_object service{"catalogue", {}, "v1", 10, 10};
    service.routes.push_back({"read", "GET", "/catalogue/read", true, false, true, 2000, 64});
    service.routes.push_back({"write", "POST", "/catalogue/", false, true, false, 5000, 1024});
    return {region_object{"north"},
            region_object{"south"},
            failure_domain_object{"north-a", "north"},
            failure_domain_object{"south-a", "south"},
            instance_object{"10.0.0.1:7101", "north", "north-a"},
            service,
            customer_object{"weavers", 100, 200},
            key_object{{1, 2, 3}, "weavers", "first"},
            target_object{"10.0.1.1:7400", "catalogue", "v1", "north", "north-a", 3},
            region_limit_object{"catalogue", "north", 40},
            link_object{"north", "south", 500'000},
            sample_drain(),
            site_set_object{"near-north", {{"north-a", 3}, {"south-a", 1}}},
            block_object{0x0a010000, 16, "near-north"}};
}

configuration sample()
{
    configuration value;
    REQUIRE(apply_change(value, {1, sample_objects(), {}}) == change_error::none);
    return value;
}

std::vector<change_error> errors_of(std::vector<configuration_object> upserts,
                                    std::vector<object_key> removals = {})
{
    std::vector<change_error> errors;
    for (const auto& problem : validate(sample(), {2, std::move(upserts), std::move(removals)})) {
        CHECK_FALSE(problem.field.empty());
        CHECK_FALSE(problem.allowed.empty());
        errors.push_back(problem.error);
    }
    return errors;
}

using errors = std::vector<change_error>;

} // namespace

TEST_CASE("configuration: every object is encoded and decoded without loss and has the expected name",
          "[configuration]")
{
    // Guards against a field that is missing in the encoded text or decoded as another type.
    const configuration value = sample();
    CHECK(validate({}, {1, sample_objects(), {}}).empty());
    const auto snapshot = decode_snapshot(encode_snapshot(value));
    REQUIRE(snapshot);
    CHECK(snapshot->version == 1);
    CHECK(snapshot->objects == value.objects);
    const configuration_change change{7, sample_objects(), {{object_kind::block, "10.2.0.0/16"}}};
    const auto decoded = decode_change(encode_change(change));
    REQUIRE(decoded);
    CHECK(decoded->version == 7);
    CHECK(decoded->upserts == change.upserts);
    CHECK(decoded->removals == change.removals);
    CHECK(value.objects.contains({object_kind::region_limit, "catalogue/north"}));
    CHECK(value.objects.contains({object_kind::link, "north/south"}));
    CHECK(value.objects.contains({object_kind::block, "10.1.0.0/16"}));
}

TEST_CASE("configuration: malformed text is refused", "[configuration]")
{
    // Guards against numbers that wrap (a rate of -1 read as unlimited) and against partly decoded objects.
    const auto text = [](const std::string& object) {
        return R"({"version":2,"removals":[],"upserts":[)" + object + "]}";
    };
    CHECK(decode_change(text(R"({"type":"region","name":"x","later_field":1})")));
    CHECK_FALSE(decode_change(text(R"({"type":"region","name":5})")));
    CHECK_FALSE(decode_change(text(R"({"type":"planet","name":"x"})")));
    CHECK_FALSE(decode_change(text(R"({"type":"target","address":"1.2.3.4:5","slots":-1})")));
    CHECK_FALSE(decode_change(text(R"({"type":"block","network":1,"prefix_length":300})")));
    CHECK_FALSE(decode_change(text(R"({"type":"customer","name":"x","burst":1e30})")));
    CHECK_FALSE(decode_change(text(R"({"type":"key","hash":"12"})")));
    CHECK_FALSE(decode_change("{\"version\":2"));
    CHECK_FALSE(decode_change("[]"));
    CHECK_FALSE(decode_snapshot(
        R"({"version":2,"objects":[{"type":"region","name":"x"},{"type":"region","name":"x"}]})"));
}

TEST_CASE("configuration: changes apply in order only, and diff() leads from one configuration to the other",
          "[configuration]")
{
    // Guards against a change that is applied twice, out of order or in part.
    configuration current = sample();
    CHECK(apply_change(current, {1, {region_object{"x"}}, {}}) == change_error::version_older);
    CHECK(apply_change(current, {3, {region_object{"x"}}, {}}) == change_error::version_gap);
    CHECK(current.objects == sample().objects);
    configuration goal = sample();
    goal.objects.erase({object_kind::link, "north/south"});
    goal.objects[{object_kind::customer, "weavers"}] = customer_object{"weavers", 7, 9};
    goal.objects[{object_kind::region, "east"}] = region_object{"east"};
    const configuration_change change = diff(current, goal);
    CHECK(change.upserts.size() == 2);
    CHECK(change.removals.size() == 1);
    REQUIRE(apply_change(current, change) == change_error::none);
    CHECK(current.objects == goal.objects);
    CHECK(current.version == 2);
}

TEST_CASE("configuration: values out of range are refused", "[configuration]")
{
    const errors range{change_error::value_out_of_range};
    CHECK(errors_of({region_object{""}}) == range);
    CHECK(errors_of({region_object{"a/b"}}) == range);
    CHECK(errors_of({customer_object{"c", -1, 5}}) == range);
    CHECK(errors_of({instance_object{"10.0.0.300:7101", "north", "north-a"}}) == range);
    CHECK(errors_of({target_object{"10.0.0.3:0", "catalogue", "v1", "north", "north-a", 1}}) == range);
    CHECK(errors_of({target_object{"10.0.0.3:1", "catalogue", "v1", "north", "north-a", 0}}) == range);
    CHECK(errors_of({link_object{"north", "north", 5}}) == range);
    CHECK(errors_of({block_object{0x0a020001, 16, "near-north"}}) == range);
    CHECK(errors_of({block_object{0, 7, "near-north"}}) == range);
    CHECK(errors_of({site_set_object{"none", {}}}) == range);
    service_object service{"other", {{"read", "get", "/catalogue/x"}}, "v1", 10, 10};
    CHECK(errors_of({service}) == errors{change_error::value_out_of_range, change_error::value_out_of_range});
}

TEST_CASE("configuration: names and routes that conflict are refused", "[configuration]")
{
    // Guards against two objects with the same identifier: requests of one would be counted for the other.
    // The two names below have the same 64-bit FNV-1a hash.
    const std::string first = "8yn0iYCKYHlIj4-BwPqk";
    const std::string second = "GReLUrM4wMqfg9yzV3KQ";
    REQUIRE(hash_name(first) == hash_name(second));
    const errors collision{change_error::name_collision};
    CHECK(errors_of({customer_object{first, 1, 1}, customer_object{second, 1, 1}}) == collision);
    CHECK(errors_of({customer_object{first, 1, 1}, region_object{second}}).empty());
    CHECK(errors_of({target_object{"10.0.1.2:1", "catalogue", first, "north", "north-a", 1},
                     target_object{"10.0.1.3:1", "catalogue", second, "north", "north-a", 1}}) == collision);
    CHECK(errors_of({region_object{"x"}, region_object{"x"}}) == collision);
    service_object service{"other", {{"a", "GET", "/other/x"}, {"b", "GET", "/other/x"}}, "v1", 10, 10};
    CHECK(errors_of({service}) == errors{change_error::route_conflict});
    service.routes = {{"a", "GET", "/other/x"}, {"a", "GET", "/other/y"}};
    CHECK(errors_of({service}) == collision);
}

TEST_CASE("configuration: references hold after the change", "[configuration]")
{
    // Guards against removing objects that others refer to, and against a failure domain in another region
    // than its targets and instances.
    const errors unknown{change_error::unknown_reference};
    CHECK(errors_of({failure_domain_object{"east-a", "east"}}) == unknown);
    CHECK(errors_of({failure_domain_object{"east-a", "east"}, region_object{"east"}}).empty());
    CHECK(errors_of({instance_object{"10.0.0.9:1", "north", "south-a"}}) == unknown);
    CHECK(errors_of({key_object{{9}, "nobody", ""}}) == unknown);
    CHECK(errors_of({}, {{object_kind::customer, "weavers"}}) == unknown);
    CHECK(errors_of({}, {{object_kind::customer, "weavers"}, {object_kind::key, hex_of(key_hash{1, 2, 3})}})
              .empty());
    CHECK(errors_of({}, {{object_kind::region, "mars"}}) == unknown);
    CHECK(errors_of({failure_domain_object{"north-a", "south"}}).size() ==
          2); // The references of its instance and of its target.
    CHECK(errors_of({}, {{object_kind::target, "10.0.1.1:7400"}}) ==
          unknown); // The drain refers to the target.
}
