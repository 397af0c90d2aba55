#include <catch2/catch.hpp>

#include "camphorknot/platform/records.hpp"
#include "standins/caller_standin.hpp"

using namespace camphorknot;
using namespace camphorknot::platform;

namespace {

std::string configuration_text(unsigned version, std::size_t routes)
{
    std::vector<standins::configured_route> configured;
    for (std::size_t number = 0; number < routes; ++number) {
        const std::string name = "route-" + std::to_string(number);
        configured.push_back({name, name + ".example", "/" + name + "/", "safe", "desk"});
    }
    const std::array customers = {standins::configured_customer{"gullfoss", "key-one", 5, 10}};
    return standins::configuration_row(version, configured, customers);
}

steering::record order_record(const std::string& text)
{
    return {steering::collection::orders, "config", text, 1, false};
}

// What callers notice of a configuration, as one text; the fault for one that is refused.
std::string describe(const result<order, decode_error>& decoded)
{
    if (!decoded) {
        return "refused";
    }
    const auto& configuration = std::get<steering::configuration>(*decoded);
    std::string text = std::to_string(configuration.version) + " idle " +
                       std::to_string(configuration.limits.idle_timeout.count());
    for (const steering::route& route : configuration.routes) {
        text += " " + route.name + " " + route.host + " " + route.prefix + " " +
                route.services.front().service + " " + std::to_string(route.timeout.count());
    }
    for (const steering::customer& customer : configuration.customers) {
        text += " " + customer.name + " " + std::to_string(customer.rate);
        for (const std::string& key : customer.keys) {
            text += " " + key;
        }
    }
    for (const std::string& kind : configuration.unknown_request_kinds) {
        text += " " + kind;
    }
    return text + " services " + std::to_string(configuration.services.size());
}

} // namespace

// Guards against a cost of each version that grows with the configuration: all of it was decoded.
TEST_CASE("configuration decoder: a version costs the decoding of the resources that it adds")
{
    configuration_decoder decoder;
    REQUIRE(decode_order(order_record(configuration_text(1, 1000)), decoder));
    const std::uint64_t before = decoder.decoded_count;
    const std::string text = configuration_text(2, 1001);
    const auto decoded = decode_order(order_record(text), decoder);
    CHECK(decoder.decoded_count - before == 1);
    CHECK(describe(decoded) == describe(decode_order(order_record(text))));
}

TEST_CASE("configuration decoder: a text of another structure is decoded like by the plain decoder")
{
    configuration_decoder decoder;
    const std::string usual = configuration_text(1, 3);
    const std::string spaced =
        "{ \"config_version\" : \"00000002\",\n \"resources\" : [ ] , \"resources2\":[1] }";
    const std::vector<std::string> texts = {
        usual,
        spaced,
        "",
        "[]",
        "{}",
        "{",
        R"({"config_version":"00000003"})",
        R"({"config_version":"00000003","resources":{}})",
        R"({"config_version":"00000003","resources":[}]})",
        R"({"config_version":"00000003","resources":[]]})",
        R"({"config_version":"00000003","resources":[],"resources":[]})",
        R"({"config_version":"00000003","resources":[{"resource_kind":"limits","spec":{}},]})",
        R"({"config_version":"00000003","resources":[{"resource_kind":"limits","spec":{"idle_timeout_s":2}}]})",
        R"({"config_version":"00000003","resources":[{"resource_kind":"routes","spec":{}}]})",
        R"({"config_version":"00000003","resources":[],"\u0072esources":[{"resource_kind":"limits","spec":{"idle_timeout_s":2}}]})",
        R"({"other":{"resources":[1,2]},"config_version":"00000003","resources":[]})",
        R"({"config_version":"00000003","resources":[{"resource_kind":"later \"]},{\\","metadata":{"name":"a"},"spec":{}}]})",
        "{\"config_version\":\"00000003\",\"resources\":[1]} trailing"};
    for (const std::string& text : texts) {
        CAPTURE(text);
        CHECK(describe(decode_order(order_record(text), decoder)) ==
              describe(decode_order(order_record(text))));
    }
    // What was refused has not changed what is known.
    CHECK(describe(decode_order(order_record(usual), decoder)) ==
          describe(decode_order(order_record(usual))));
}

TEST_CASE("configuration decoder: damaged texts are decoded like by the plain decoder")
{
    configuration_decoder decoder;
    const std::string text = configuration_text(1, 6);
    random_source random{11};
    for (int run = 0; run < 3000; ++run) {
        std::string damaged = text;
        const std::size_t position = uniform(random, damaged.size());
        if (run % 3 == 0) {
            damaged.erase(position, 1 + uniform(random, 20));
        } else {
            damaged.at(position) = "\"\\{}[],: a0"[uniform(random, 11)];
        }
        CAPTURE(damaged);
        REQUIRE(describe(decode_order(order_record(damaged), decoder)) ==
                describe(decode_order(order_record(damaged))));
    }
}
