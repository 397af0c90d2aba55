#include <catch2/catch.hpp>

#include "../src/peer_codec.hpp"
#include "camphorknot/edge/settings.hpp"

using namespace camphorknot;
using namespace camphorknot::edge;
using namespace std::chrono_literals;

namespace {

std::string content_of(const std::string& frame)
{
    return frame.substr(frame_header_bytes);
}

const std::string settings_text = R"(
instance: { name: one, ip: 127.0.0.1, failure_domain: rvk-a, region: rvk }
listen: { front: "127.0.0.1:1", readiness: "127.0.0.1:2", directory: "127.0.0.1:3", peers: "127.0.0.1:4", metrics: "127.0.0.1:5" }
store: { address: "127.0.0.1:6" }
failure_domains: { rvk-a: rvk }
seeds: ["127.0.0.1:4"]
bounds: ["grace_s=6", "quota_slack=20", "something_new=true"]
)";

} // namespace

TEST_CASE("peer codec: messages survive encoding and decoding")
{
    steering::domain_summary summary;
    summary.failure_domain = "rvk-a";
    summary.reads_store = false;
    summary.positions.at(1) = {7, 3.5};
    summary.load.demands = {{"gullfoss", 2.5F}};
    summary.load.rollouts = {{"desk", 4, 1500ms, 0.25, true, 3}};
    summary.members = {{"one", "rvk-a", "rvk", "f", "p"}};
    const auto read = decode_frame(content_of(encode_frame(summary)));
    REQUIRE(read);
    const auto& copy = std::get<steering::domain_summary>(*read);
    CHECK(copy.failure_domain == "rvk-a");
    CHECK_FALSE(copy.reads_store);
    CHECK(copy.positions.at(1).version == 7);
    CHECK(copy.load.rollouts.front().elapsed == 1500ms);
    CHECK(copy.members.front().name == "one");
}

TEST_CASE("peer codec: token requests and answers survive encoding and decoding")
{
    const auto question = decode_frame(content_of(encode_frame(token_request{7, "gullfoss", "10.0.0.1:70"})));
    REQUIRE(question);
    CHECK(std::get<token_request>(*question).customer == "gullfoss");
    CHECK(std::get<token_request>(*question).reply_to == "10.0.0.1:70");
    const auto answer = decode_frame(content_of(encode_frame(token_answer{7, 250ms})));
    REQUIRE(answer);
    CHECK(std::get<token_answer>(*answer).wait == 250ms);
}

TEST_CASE("peer codec: the type of a message is read from its first bytes")
{
    CHECK(message_names.at(message_type_of(content_of(encode_frame(records_answer{})))) == "records_answer");
    CHECK(message_names.at(message_type_of(content_of(encode_frame(token_request{})))) == "token_request");
    CHECK(message_type_of("") == message_type_count);
    CHECK(message_type_of("\x92\x7f") == message_type_count);
    CHECK(message_type_of("GET / HTTP/1.1") == message_type_count);
}

TEST_CASE("peer codec: malformed content is rejected without a crash")
{
    const std::string content =
        content_of(encode_frame(records_answer{{{steering::collection::targets, true, {}, {}}}}));
    for (std::size_t length = 0; length < content.size(); ++length) {
        CHECK_FALSE(decode_frame(content.substr(0, length)));
    }
    random_source random{1};
    for (int run = 0; run < 20'000; ++run) {
        std::string bytes = content;
        bytes.at(uniform(random, bytes.size())) = static_cast<char>(random());
        decode_frame(bytes); // Must neither crash nor throw.
    }
}

TEST_CASE("edge settings: a complete file is read, and unknown bounds are ignored")
{
    const auto read = parse_edge_settings(settings_text);
    REQUIRE(read);
    CHECK(read->identity.peer_address == "127.0.0.1:4");
    CHECK(read->bounds.stop_time == 6s);
    CHECK(read->bounds.rate_slack == 20);
}

TEST_CASE("edge settings: other instances get the advertised address of the peers' port")
{
    const auto read =
        parse_edge_settings(std::string(settings_text) + "advertise: { peers: \"127.0.0.9:44\" }\n");
    REQUIRE(read);
    CHECK(read->identity.peer_address == "127.0.0.9:44");
    CHECK(read->peers.port == 4);
}

TEST_CASE("edge settings: the memory of the machine is optional, and a bad value names the field")
{
    const auto read_memory = [](const std::string& value) {
        std::string text = settings_text;
        const std::string name = "region: rvk";
        const std::size_t at = text.find(name) + name.size();
        return parse_edge_settings(text.insert(at, ", memory_mb: " + value));
    };
    for (const auto& [value, expected] : {std::pair("", 0.0), {"32", 32.0}, {"112", 112.0}}) {
        const auto read = read_memory(value); // It is empty if the platform does not know it.
        CAPTURE(value);
        REQUIRE(read);
        CHECK(read->memory_mb == expected);
    }
    for (const std::string value : {"-1", "0", "31", "1e9", "much", "nan", "[112]"}) {
        const auto read = read_memory(value);
        CAPTURE(value);
        REQUIRE_FALSE(read);
        CHECK(read.reason.fault == settings_fault::invalid_format);
        CHECK(read.reason.field == "memory_mb");
    }
}

TEST_CASE("edge settings: the limit for descriptors is optional, and a bad value names the field")
{
    const auto read_descriptors = [](const std::string& value) {
        std::string text = settings_text;
        const std::string name = "region: rvk";
        const std::size_t at = text.find(name) + name.size();
        return parse_edge_settings(text.insert(at, ", descriptors: " + value));
    };
    for (const auto& [value, expected] : {std::pair("", std::size_t{0}), {"0", 0}, {"4100", 4100}}) {
        const auto read = read_descriptors(value); // It is empty if the platform states none.
        CAPTURE(value);
        REQUIRE(read);
        CHECK(read->descriptors == expected);
    }
    for (const std::string value : {"-1", "255", "1e10", "many", "nan", "[4100]"}) {
        const auto read = read_descriptors(value);
        CAPTURE(value);
        REQUIRE_FALSE(read);
        CHECK(read.reason.fault == settings_fault::invalid_format);
        CHECK(read.reason.field == "descriptors");
    }
}

TEST_CASE("edge settings: a fault is reported with its field and line, and without the file's content")
{
    std::string text = settings_text;
    text.replace(text.find("127.0.0.1:6"), 11, "nowhere");
    const auto wrong = parse_edge_settings(text);
    REQUIRE_FALSE(wrong);
    CHECK(wrong.reason.fault == settings_fault::invalid_format);
    CHECK(wrong.reason.field == "address");
    CHECK(wrong.reason.line == 4);
    const auto bad_gateway = parse_edge_settings(std::string(settings_text) + "egress_ip: gateway\n");
    REQUIRE_FALSE(bad_gateway);
    CHECK(bad_gateway.reason.field == "egress_ip");
    const auto bad_advertised =
        parse_edge_settings(std::string(settings_text) + "advertise: { peers: here }\n");
    REQUIRE_FALSE(bad_advertised);
    CHECK(bad_advertised.reason.field == "peers");
    CHECK_FALSE(parse_edge_settings(std::string(settings_text) + "advertise: here\n"));
    CHECK(parse_edge_settings("[1, 2").reason.fault == settings_fault::not_yaml);
    CHECK(parse_edge_settings("a: 1").reason.fault == settings_fault::missing);
    std::string bad_bound = settings_text;
    bad_bound.replace(bad_bound.find("grace_s=6"), 9, "grace_s=x");
    CHECK(parse_edge_settings(bad_bound).reason.fault == settings_fault::invalid_format);
    CHECK(read_edge_settings("/nonexistent").reason.fault == settings_fault::unreadable);
}

TEST_CASE("peer codec: usage survives, and costs one byte where it is not reported")
{
    steering::instance_status status;
    const std::size_t without = encode_frame(status).size();
    status.load.usage = {{7000, {{200, {{"gullfoss", 5}}}}, {200, 199, {{199, {{"gullfoss", 4}}}}}}};
    const std::string with = encode_frame(status);
    CHECK(with.size() > without);
    const auto read = decode_frame(content_of(with));
    REQUIRE(read);
    const auto& news = std::get<steering::instance_status>(*read).load.usage.front();
    CHECK(news.clock_ms == 7000);
    CHECK(news.counts == status.load.usage.front().counts);
    CHECK(news.progress.first_undecided == 200);
    CHECK(news.progress.decided == status.load.usage.front().progress.decided);
}

TEST_CASE("settings: usage is reported only with an address, the duty and the length of a window")
{
    const auto parse = [](const std::string& usage, const std::string& bounds) {
        std::string text = settings_text;
        text.replace(text.find("\"grace_s=6\""), 11, "\"grace_s=6\", " + bounds);
        return parse_edge_settings(text + usage);
    };
    const std::string usage =
        R"(usage: { address: "127.0.0.1:7", duties: [usage_reporting], calls_per_s: 50 })";
    const std::string other = R"(usage: { address: "127.0.0.1:7", duties: [other], calls_per_s: 50 })";
    const std::string window = R"("report_window_s=5")";
    CHECK(reports_usage(*parse(usage, window)));
    std::string with_map = settings_text + usage;
    const std::string list = R"(["grace_s=6", "quota_slack=20", "something_new=true"])";
    with_map.replace(with_map.find(list), list.size(), R"({"report_window_s":5,"lease_s":null})");
    CHECK(reports_usage(*parse_edge_settings(with_map)));
    CHECK_FALSE(reports_usage(*parse(other, window)));
    CHECK_FALSE(reports_usage(*parse("", window)));
    CHECK_FALSE(reports_usage(*parse(usage, R"("quota_overage=0")")));
    CHECK(parse(R"(usage: { duties: [usage_reporting] })", window).reason.field == "address");
    const auto empty = parse(R"(usage: { address: "", duties: , calls_per_s: })", window);
    REQUIRE(empty);
    CHECK_FALSE(camphorknot::edge::reports_usage(*empty));
    CHECK(parse(R"(usage: { address: "x:7" })", window).reason.field == "usage.address");
    CHECK(parse(R"(usage: { address: "127.0.0.1:7", calls_per_s: 0 })", window).reason.field ==
          "usage.calls_per_s");
    CHECK(parse(usage, R"("report_window_s=0.5")").reason.field == "report_window_s");
    CHECK(parse(usage, R"("lease_s=1")").reason.field == "lease_s");
}

// Guards against bounds of the operator that are passed over, so that the instance uses its defaults.
TEST_CASE("edge settings: the operator's bounds are read as the platform renders them")
{
    const auto parse = [](const std::string& bounds) {
        std::string text = settings_text;
        return parse_edge_settings(text.substr(0, text.find("bounds:")) + "bounds: " + bounds + "\n");
    };
    const auto given = parse(R"({"contact_s":4,"grace_s":10,"strict_revoke":false,"retry_budget_ratio":0.1,)"
                             R"("retry_budget_extra":630,"budget_window_s":12,"quota_window_s":4,)"
                             R"("quota_overage":0.2,"quota_slack":25,"ttl_max_s":3,"exposure_share":0.05,)"
                             R"("exposure_slack":20,"lease_s":2,"thaw_slack_s":0.2,"report_window_s":5,)"
                             R"("usage_late_s":9,"zones":{"a":1}})");
    REQUIRE(given);
    const steering::operating_bounds& bounds = given->bounds;
    CHECK(bounds.stop_time == 10s);
    CHECK(bounds.retry_ratio == 0.1);
    CHECK(bounds.retry_allowance == 630);
    CHECK(bounds.retry_window == 12s);
    CHECK(bounds.rate_window == 4s);
    CHECK(bounds.rate_overage == 0.2);
    CHECK(bounds.rate_slack == 25);
    CHECK(bounds.max_time_to_live == 3s);
    CHECK(bounds.exposure_share == 0.05);
    CHECK(bounds.exposure_slack == 20);
    CHECK(bounds.duty_lease == 2s);
    CHECK(bounds.thaw_slack == 200ms);
    CHECK(bounds.usage_window == 5s);
    CHECK(bounds.usage_due == 9s);
    const auto absent = parse(R"({"grace_s":null,"exposure_share":})");
    REQUIRE(absent);
    CHECK(absent->bounds.stop_time == 6s);
    CHECK(absent->bounds.exposure_share == 0.1);
    CHECK(parse(""));
    for (const std::string invalid :
         {R"({"grace_s":"long"})", R"({"grace_s":[10]})", R"({"grace_s":true})", R"({"exposure_share":1.5})",
          R"({"exposure_slack":"many"})", R"({"grace_s":0})", R"({"budget_window_s":0})", "6"}) {
        const auto read = parse(invalid);
        CAPTURE(invalid);
        REQUIRE_FALSE(read);
        CHECK(read.reason.fault == settings_fault::invalid_format);
        CHECK(read.reason.line > 0);
    }
}

TEST_CASE(
    "peer codec: judged requests survive encoding, and their sum counts earlier builds by their answers")
{
    steering::instance_status status;
    steering::version_counts counts{"desk", "v2", "find", 12, 3, 1, 20, 7};
    counts.has_judged = true;
    counts.judged = 9;
    counts.judged_failing = 2;
    counts.unjudged = 5;
    status.load.counts = {counts};
    const auto read = decode_frame(content_of(encode_frame(status)));
    REQUIRE(read);
    const steering::version_counts& copy = std::get<steering::instance_status>(*read).load.counts.front();
    CHECK(copy.has_judged);
    CHECK(copy.judged == 9);
    CHECK(copy.judged_failing == 2);
    CHECK(copy.unjudged == 5);
    steering::judged_requests sum;
    steering::add_judged(sum, copy);
    steering::add_judged(sum, {"desk", "v2", "find", 12, 3, 1, 20, 7});
    CHECK(sum.judged == 21);
    CHECK(sum.failing == 5);
}
