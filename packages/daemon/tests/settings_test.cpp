#include <catch2/catch.hpp>

#include "camphorknot/daemon/settings.hpp"

using namespace camphorknot;

namespace {

const std::string valid_settings = R"(instance:
  peer_address: "127.0.0.1:7101"
  traffic_address: "127.0.0.1:7201"
  admin_address: "127.0.0.1:7301"
  region: reykjavik
  failure_domain: reykjavik-a
  traffic_threads: 2
platform:
  table_url: "http://127.0.0.1:7000"
  object_url: "http://127.0.0.1:7000"
  instance_list_url: "http://127.0.0.1:7000"
security:
  fleet_secret_file: /run/secret
  operator_token_sha256: e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855
limits:
  idle_timeout_ms: 30000
contacts:
  - {peer_address: "127.0.0.1:7102", region: akureyri, failure_domain: akureyri-a}
)";

std::string with_replacement(const std::string& from, const std::string& to)
{
    std::string text = valid_settings;
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("settings: a valid file is read completely", "[settings]")
{
    const settings_result answer = parse_settings(valid_settings, "a.yaml");
    for (const settings_error& error : answer.errors) {
        FAIL_CHECK(describe(error));
    }
    REQUIRE(answer.settings);
    CHECK(answer.settings->traffic_threads == 2);
    CHECK(answer.settings->limits.idle_timeout == std::chrono::seconds(30));
    CHECK(answer.settings->limits.head_bytes == 16'384);
    CHECK(answer.settings->contacts.at(0).region == "akureyri");
}

TEST_CASE("settings: each fault gives one error with its line and field", "[settings]")
{
    // Guards against invalid settings that are silently ignored or replaced by a default.
    struct sample {
        const char* from;
        const char* to;
        settings_fault fault;
        int line;
        const char* field;
    };
    const sample sample_case = GENERATE(
        sample{"traffic_threads: 2", "threads: 2", settings_fault::unknown_field, 7, "instance.threads"},
        sample{"traffic_threads: 2", "traffic_threads: two", settings_fault::wrong_type, 7,
               "instance.traffic_threads"},
        sample{"traffic_threads: 2", "traffic_threads: 0", settings_fault::out_of_range, 7,
               "instance.traffic_threads"},
        sample{"30000", "30s", settings_fault::wrong_type, 16, "limits.idle_timeout_ms"},
        sample{"30000", "-1", settings_fault::wrong_type, 16, "limits.idle_timeout_ms"},
        sample{"30000", "100", settings_fault::conflict, 16, "limits.head_timeout_ms"},
        sample{"127.0.0.1:7301", "127.0.0.1:7201", settings_fault::conflict, 4, "instance.admin_address"},
        sample{"127.0.0.1:7301", "localhost", settings_fault::out_of_range, 4, "instance.admin_address"},
        sample{"  region: reykjavik\n", "", settings_fault::missing_field, 2, "instance.region"},
        sample{"region: reykjavik", "region: [a]", settings_fault::wrong_type, 5, "instance.region"},
        sample{"traffic_threads: 2", "traffic_threads: 2\n  region: b", settings_fault::repeated_field, 8,
               "instance.region"},
        sample{"region: akureyri, ", "", settings_fault::missing_field, 18, "contacts[0].region"},
        sample{"instance:", "instance: [", settings_fault::malformed_yaml, 3, "the file"});
    const settings_result answer =
        parse_settings(with_replacement(sample_case.from, sample_case.to), "a.yaml");
    INFO(sample_case.from << " -> " << sample_case.to);
    CHECK_FALSE(answer.settings);
    REQUIRE(answer.errors.size() == 1);
    INFO(describe(answer.errors[0]));
    CHECK(answer.errors[0].fault == sample_case.fault);
    CHECK(answer.errors[0].line == sample_case.line);
    CHECK(answer.errors[0].field == sample_case.field);
    CHECK_FALSE(answer.errors[0].allowed.empty());
}
