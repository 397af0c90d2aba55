#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "camphorknot/client/commands.hpp"
#include "fake_admin.hpp"

using namespace camphorknot;
using namespace camphorknot::client;
using client_test::fake_admin;
using client_test::fake_server;

namespace {

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Runs a sequence of commands and records their output, to compare it with a file under tests/golden.
struct session {
    fake_admin fake;
    fake_server server{fake};
    std::string transcript;
    std::string token = "operator-token";
    std::string instances = server.address;

    exit_code run(const std::string& line, command_options options)
    {
        options.manifest_file = std::string(CAMPHORKNOT_GOLDEN_DIR) + "/" + options.manifest_file;
        std::ostringstream printed;
        command_context context;
        context.admin.instances = {instances};
        context.admin.token = token;
        context.out = &printed;
        context.errors = &printed;
        context.wall_now = [] { return unix_milliseconds{1'800'000'000'000}; };
        context.sleep = [](std::chrono::milliseconds) {};
        context.random_key = [] { return std::string("ck_0011223344556677"); };
        const exit_code code = run_command(options, context);
        transcript += "$ camphorknotctl " + line + "\n" + printed.str() + "exit code " +
                      std::to_string(static_cast<int>(code)) + "\n\n";
        return code;
    }

    exit_code run(const std::string& command, const std::string& file)
    {
        command_options options;
        options.command = command;
        options.manifest_file = file;
        return run(command + " --manifest " + file, options);
    }

    exit_code run(const std::string& command, std::vector<std::string> arguments)
    {
        command_options options;
        options.command = command;
        std::string line = command;
        for (const std::string& argument : arguments) {
            line += " " + argument;
        }
        options.arguments = std::move(arguments);
        return run(line, options);
    }

    void replace_all(const std::string& text, const std::string& replacement)
    {
        for (std::size_t position = transcript.find(text); position != std::string::npos;
             position = transcript.find(text)) {
            transcript.replace(position, text.size(), replacement);
        }
    }

    void compare(const std::string& name)
    {
        replace_all(std::string(CAMPHORKNOT_GOLDEN_DIR) + "/", "");
        replace_all(server.address, "INSTANCE");
        const std::string path = std::string(CAMPHORKNOT_GOLDEN_DIR) + "/" + name + ".txt";
        if (std::getenv("CAMPHORKNOT_WRITE_GOLDEN") != nullptr) {
            std::ofstream(path) << transcript;
        }
        CHECK(transcript == read_file(path));
    }
};

} // namespace

TEST_CASE("client session: validate lists every error with its line", "[client]")
{
    // Guards against reporting only the first error of a manifest, or errors without a line.
    session operator_session;
    CHECK(operator_session.run("validate", "faulty.yaml") == exit_code::invalid);
    CHECK(operator_session.run("validate", "broken.yaml") == exit_code::invalid);
    CHECK(operator_session.run("validate", "missing.yaml") == exit_code::usage);
    CHECK(operator_session.run("validate", "shop.yaml") == exit_code::done);
    operator_session.compare("validate");
}

TEST_CASE("client session: diff, apply, and no difference afterwards", "[client]")
{
    session operator_session;
    operator_session.fake.lagging_polls = 2;
    CHECK(operator_session.run("diff", "shop.yaml") == exit_code::differs);
    CHECK(operator_session.run("apply", "shop.yaml") == exit_code::done);
    CHECK(operator_session.run("diff", "shop.yaml") == exit_code::done);
    CHECK(operator_session.run("diff", "shop-2.yaml") == exit_code::differs);
    CHECK(operator_session.run("apply", "shop-2.yaml") == exit_code::done);
    CHECK(operator_session.fake.current_configuration.version == 2);
    operator_session.compare("apply");
}

TEST_CASE("client session: apply keeps keys and the progress of moves", "[client]")
{
    // Guards against an apply that removes keys or objects written by instances.
    session operator_session;
    CHECK(operator_session.run("apply", "shop.yaml") == exit_code::done);
    command_options issue;
    issue.command = "keys";
    issue.arguments = {"issue"};
    issue.customer = "weavers";
    issue.label = "till-1";
    CHECK(operator_session.run("keys issue --customer weavers --label till-1", issue) == exit_code::done);
    CHECK(operator_session.run("keys", std::vector<std::string>{"list"}) == exit_code::done);
    CHECK(operator_session.run("apply", "shop-2.yaml") == exit_code::done);
    CHECK(objects_of<key_object>(operator_session.fake.current_configuration).size() == 1);
    CHECK(operator_session.run("keys", std::vector<std::string>{"revoke", "till-1"}) == exit_code::done);
    CHECK(objects_of<key_object>(operator_session.fake.current_configuration).empty());
    REQUIRE(operator_session.fake.facts.size() == 1);
    CHECK(operator_session.fake.facts[0].find("key_revoked") != std::string::npos);
    CHECK(operator_session.run("keys", std::vector<std::string>{"revoke", "till-1"}) == exit_code::invalid);
    issue.customer = "nobody";
    CHECK(operator_session.run("keys issue --customer nobody", issue) == exit_code::invalid);
    operator_session.compare("keys");
}

TEST_CASE("client session: a racing operator gets the present version", "[client]")
{
    session operator_session;
    CHECK(operator_session.run("apply", "shop.yaml") == exit_code::done);
    operator_session.fake.before_change = [&operator_session] {
        apply_change(operator_session.fake.current_configuration,
                     {operator_session.fake.current_configuration.version + 1, {region_object{"west"}}, {}});
        operator_session.fake.before_change = nullptr;
    };
    CHECK(operator_session.run("apply", "shop-2.yaml") == exit_code::version_conflict);
    command_options options;
    options.command = "apply";
    options.manifest_file = "shop-2.yaml";
    options.expected_version = 1;
    CHECK(operator_session.run("apply --manifest shop-2.yaml --expected_version 1", options) ==
          exit_code::version_conflict);
    CHECK(operator_session.fake.change_requests == 2);
    operator_session.compare("conflict");
}

TEST_CASE("client session: move progress written concurrently is no conflict", "[client]")
{
    // Guards against every apply failing with a conflict while a rollout advances.
    session operator_session;
    CHECK(operator_session.run("apply", "shop.yaml") == exit_code::done);
    operator_session.fake.before_change = [&operator_session] {
        move_progress_object progress;
        progress.move = "to-v2";
        progress.share_percent = 5;
        apply_change(operator_session.fake.current_configuration,
                     {operator_session.fake.current_configuration.version + 1, {progress}, {}});
        operator_session.fake.before_change = nullptr;
    };
    CHECK(operator_session.run("apply", "shop-2.yaml") == exit_code::done);
    CHECK(operator_session.fake.current_configuration.version == 3);
    CHECK(
        operator_session.fake.current_configuration.objects.contains({object_kind::move_progress, "to-v2"}));
    operator_session.compare("rebase");
}

TEST_CASE("client session: a lost answer leads to reading back, not to repeating the change", "[client]")
{
    // Guards against making a change twice, and against reporting a change as made when it was not.
    session operator_session;
    operator_session.fake.lose_change_answer = true;
    CHECK(operator_session.run("apply", "shop.yaml") == exit_code::done);
    CHECK(operator_session.fake.change_requests == 1);
    operator_session.fake.lose_change = true;
    CHECK(operator_session.run("apply", "shop-2.yaml") == exit_code::unknown);
    CHECK(operator_session.fake.change_requests == 2);
    CHECK(operator_session.fake.current_configuration.version == 1);
    operator_session.compare("lost-answer");
}

TEST_CASE("client session: refusals, a wrong token and no instance", "[client]")
{
    session operator_session;
    operator_session.fake.forced_status = "store_unavailable";
    CHECK(operator_session.run("apply", "shop.yaml") == exit_code::refused);
    operator_session.fake.forced_status = "authority_lost";
    CHECK(operator_session.run("apply", "shop.yaml") == exit_code::refused);
    operator_session.token = "wrong";
    CHECK(operator_session.run("export", std::vector<std::string>{}) == exit_code::refused);
    operator_session.instances = "127.0.0.1:1";
    CHECK(operator_session.run("status", std::vector<std::string>{}) == exit_code::unreachable);
    CHECK(operator_session.run("dance", std::vector<std::string>{}) == exit_code::usage);
    operator_session.compare("refusals");
}

TEST_CASE("client session: watch, moves and status", "[client]")
{
    session operator_session;
    CHECK(operator_session.run("apply", "shop-2.yaml") == exit_code::done);
    const auto move = [](const std::string& stage, int share, const std::string& reason) {
        return nlohmann::json::array({{{"name", "to-v2"},
                                       {"kind", "rollout"},
                                       {"stage", stage},
                                       {"share_percent", share},
                                       {"reason", reason}}});
    };
    operator_session.fake.moves = {move("running", 1, "none"), move("running", 1, "none"),
                                   move("running", 25, "none"), move("done", 100, "none")};
    CHECK(operator_session.run("watch", std::vector<std::string>{"to-v2"}) == exit_code::done);
    operator_session.fake.moves = {move("running", 2, "none"), move("rolled_back", 0, "version_failing")};
    CHECK(operator_session.run("watch", std::vector<std::string>{"to-v2"}) == exit_code::rolled_back);
    CHECK(operator_session.run("watch", std::vector<std::string>{"to-v9"}) == exit_code::usage);
    CHECK(operator_session.run("moves", std::vector<std::string>{}) == exit_code::done);
    const auto member = [](const char* address, int version) {
        return nlohmann::json{{"peer_address", address},
                              {"state", "alive"},
                              {"configuration_version", version},
                              {"has_authority", true}};
    };
    operator_session.fake.members = {member("10.0.0.1:7101", 1), member("10.0.0.2:7101", 0)};
    CHECK(operator_session.run("status", std::vector<std::string>{}) == exit_code::done);
    CHECK(operator_session.run("watch", std::vector<std::string>{"version", "1"}) == exit_code::timed_out);
    operator_session.fake.members = {member("10.0.0.1:7101", 1), member("10.0.0.2:7101", 1)};
    CHECK(operator_session.run("watch", std::vector<std::string>{"version", "1"}) == exit_code::done);
    operator_session.compare("watch");
}

TEST_CASE("client: the examples are valid", "[client]")
{
    for (const char* name : {"authority", "tala"}) {
        const std::string path = std::string(CAMPHORKNOT_EXAMPLES_DIR) + "/" + name + "/manifest.yaml";
        const manifest_result answer = read_manifest(read_file(path), path, 1'800'000'000'000);
        for (const manifest_problem& problem : answer.problems) {
            UNSCOPED_INFO(problem.file << ":" << problem.line << ": " << problem.field << " " << problem.seen
                                       << "; allowed: " << problem.allowed);
        }
        CHECK(answer.problems.empty());
        configuration value;
        apply_change(value, answer.value.objects);
        CHECK(objects_of<customer_object>(value).size() == 8);
        CHECK(objects_of<instance_object>(value).size() == 8);
    }
}

TEST_CASE("client: deadlines are read with their time zone, and relative ones do not move", "[client]")
{
    // Guards against a deadline that is extended by each apply of the same manifest.
    constexpr unix_milliseconds now = 1'800'000'000'000; // 2027-01-15T08:00:00Z
    CHECK(parse_deadline("2027-01-15T08:00:00Z", 0) == now);
    CHECK(parse_deadline("2027-01-15T16:00:00+08:00", 0) == now);
    CHECK(parse_deadline("in 90s", now) == now + 90'000);
    CHECK(parse_deadline("in 2h", now) == now + 7'200'000);
    for (const char* text : {"2027-02-30T08:00:00Z", "2027-01-15 08:00:00Z", "2027-01-15T08:00:00", "in 90",
                             "in -5s", "tomorrow", "", "in 99999999999h"}) {
        CHECK_FALSE(parse_deadline(text, now));
    }
    const std::string text = read_file(std::string(CAMPHORKNOT_GOLDEN_DIR) + "/shop-2.yaml");
    configuration base;
    apply_change(base, plan_change(base, read_manifest(text, "", now).value));
    const configuration_change again = plan_change(base, read_manifest(text, "", now + 60'000).value);
    CHECK(again.upserts.empty());
    CHECK(again.removals.empty());
}
