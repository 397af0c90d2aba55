#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include "camphorknot/client/commands.hpp"
#include "camphorknot/client/explain.hpp"

using namespace camphorknot::client;

namespace {

const std::string first_log =
    R"({"time":"2026-01-01T00:00:01.000000Z","severity":"info","event":"started","instance":"edge-1"}
{"time":"2026-01-01T00:00:02.000000Z","severity":"info","event":"configuration_applied","version":"3"}
{"time":"2026-01-01T00:00:02.500000Z","severity":"info","event":"target_seen","target":"i-7","draining":"false"}
{"time":"2026-01-01T00:00:03.000000Z","severity":"warning","event":"store_lost","status":"busy"}
{"time":"2026-01-01T00:00:04.000000Z","severity":"warning","event":"send_failed","request":"r1","target":"i-7","end":"broken","took_ms":"12"}
{"time":"2026-01-01T00:00:04.000100Z","severity":"info","event":"request_refused","request":"r1","reason":"answer_lost","status":"502"}
{"time":"2026-01-01T00:00:05.000000Z","severity":"info","event":"target_gone","target":"i-7","lines_left_out":"4"}
not a line
)";

const std::string second_log =
    R"({"time":"2026-01-01T00:00:01.000000Z","severity":"info","event":"started","instance":"edge-2"}
{"time":"2026-01-01T00:00:03.500000Z","severity":"info","event":"store_lost","status":"busy"}
{"time":"2026-01-01T00:00:09.000000Z","severity":"info","event":"request_refused","request":"r2","reason":"rate_exceeded","customer":"kase","share":"0.1","rate_per_s":"15"}
)";

collected_logs read_both()
{
    collected_logs logs;
    std::istringstream first(first_log);
    std::istringstream second(second_log);
    read_log(first, "a.jsonl", logs);
    read_log(second, "b.jsonl", logs);
    return logs;
}

} // namespace

TEST_CASE("explain: a request that was passed on is explained by both instances")
{
    collected_logs logs;
    std::istringstream first(
        R"({"time":"2026-01-01T00:00:01.0Z","event":"started","instance":"edge-1"}
{"time":"2026-01-01T00:00:02.0Z","event":"targets_unreachable","service":"desk"}
{"time":"2026-01-01T00:00:03.5Z","event":"request_passed_on","request":"r1","service":"desk","to":"edge-2","end":"answered","status":"200"}
)");
    read_log(first, "a.jsonl", logs);
    const std::string hop =
        "Instance edge-1 reached no target of service desk and passed it on to edge-2, which answered with "
        "status 200.";
    CHECK(explain_request(logs.lines, "r1").cause == hop);
    std::istringstream second(
        R"({"time":"2026-01-01T00:00:01.0Z","event":"started","instance":"edge-2"}
{"time":"2026-01-01T00:00:03.4Z","event":"send_answered","request":"r1","target":"i-8","took_ms":"300","expected_warm":"true"}
)");
    read_log(second, "b.jsonl", logs);
    const explanation found = explain_request(logs.lines, "r1");
    CHECK(found.cause == "It was answered by target i-8 after 300 ms. " + hop);
    CHECK(found.lines.front().event == "targets_unreachable");
}

// Guards against a refused request without a cause when the limit left out its other lines.
TEST_CASE("explain: a refused request is explained by the line of its sends alone")
{
    collected_logs logs;
    std::istringstream text(
        R"({"time":"2026-01-01T00:00:01.0Z","event":"started","instance":"edge-1"}
{"time":"2026-01-01T00:00:02.0Z","event":"target_seen","target":"i-8","draining":"false"}
{"time":"2026-01-01T00:00:03.0Z","event":"refused_after_send","request":"r1","status":"503","at_most_once":"true","sends":"target=i-7 end=not_connected proof=not_connected; target=i-8 end=answered proof=rejected answer_to=this connection=5 earlier_uses=2 skipped_answers=0","unrecorded_sends":"0","send_running":"false"}
{"time":"2026-01-01T00:00:04.0Z","event":"refused_after_send","request":"r2","status":"503","at_most_once":"true","sends":"target=i-7 end=answered proof=replaced answer_to=this connection=6 earlier_uses=0 skipped_answers=0; instance=edge-2 end=answered proof=peer_refusal answer_to=this connection=1 earlier_uses=0 skipped_answers=0","unrecorded_sends":"2","send_running":"false"}
{"time":"2026-01-01T00:00:05.0Z","event":"refused_after_send","request":"r3","status":"503","at_most_once":"true","sends":"target=i-7 end=timed_out proof=rejected answer_to=other:r0 connection=6 earlier_uses=1 skipped_answers=1","unrecorded_sends":"0","send_running":"true"}
{"time":"2026-01-01T00:00:06.0Z","event":"refused_after_send","request":"r4","status":"503","at_most_once":"true","sends":"target=i-7 end=broken proof=none answer_to=nothing connection=6 earlier_uses=1 skipped_answers=1","unrecorded_sends":"0","send_running":"false"}
{"time":"2026-01-01T00:00:07.0Z","event":"refused_after_send","request":"r5","status":"503","at_most_once":"true","sends":"target=i-7 end=answered proof=rejected answer_to=nothing connection=6 earlier_uses=1 skipped_answers=0","unrecorded_sends":"0","send_running":"false"}
{"time":"2026-01-01T00:00:08.0Z","event":"refused_after_send","request":"r6","status":"503","sends":"=; a;b==c proof"}
)");
    read_log(text, "a.jsonl", logs);
    const std::string start = "It was refused with status 503, which promises that it has not run: ";
    const explanation rejected = explain_request(logs.lines, "r1");
    CHECK(rejected.cause ==
          start + "no connection to target i-7 could be made; target i-8 answered that it has not run it.");
    REQUIRE(rejected.lines.size() == 2);
    CHECK(rejected.lines.front().event == "target_seen"); // The state of the last target.
    CHECK(explain_request(logs.lines, "r2").cause ==
          start + "another server answered at the address of target i-7; instance edge-2 promised it; "
                  "2 further sends are not shown.");
    CHECK(explain_request(logs.lines, "r3").cause ==
          start + "target i-7 answered that it has not run it in an answer to request r0. "
                  "A send of it was still running.");
    CHECK(explain_request(logs.lines, "r4").cause ==
          start + "the send to target i-7 ended as broken, which proves nothing.");
    CHECK(explain_request(logs.lines, "r5").cause ==
          start + "target i-7 answered that it has not run it in an answer that names no request.");
    CHECK_FALSE(explain_request(logs.lines, "r6").cause.empty());
}

// Guards against a refusal that names no target since the limit left out the line of the send.
TEST_CASE("explain: the reason of a refusal is completed from the line of its sends")
{
    collected_logs logs;
    std::istringstream text(
        R"({"time":"2026-01-01T00:00:03.0Z","event":"request_refused","request":"r1","reason":"target_shed","status":"503","service":"desk"}
{"time":"2026-01-01T00:00:03.1Z","event":"refused_after_send","request":"r1","status":"503","sends":"target=i-8 end=answered proof=rejected answer_to=this connection=5 earlier_uses=2 skipped_answers=0"}
{"time":"2026-01-01T00:00:04.0Z","event":"request_refused","request":"r2","reason":"no_target","status":"503","service":"desk"}
{"time":"2026-01-01T00:00:04.1Z","event":"refused_after_send","request":"r2","status":"503","sends":"target=i-7 end=not_connected proof=not_connected"}
)");
    read_log(text, "a.jsonl", logs);
    CHECK(explain_request(logs.lines, "r1").cause ==
          "The request was refused by target i-8 without running it, and no retry was left.");
    CHECK(explain_request(logs.lines, "r2").cause ==
          "No connection to target i-7 could be made, and no other target was left.");
}

TEST_CASE("explain: a condemned request is explained by the targets that ended, at all instances")
{
    collected_logs logs;
    std::istringstream first(
        R"({"time":"2026-01-01T00:00:01.0Z","event":"started","instance":"edge-1"}
{"time":"2026-01-01T00:00:02.0Z","event":"target_ended_under_request","request":"r1","identity":"ab","target":"i-7"}
{"time":"2026-01-01T00:00:02.5Z","event":"target_ended_under_request","request":"r2","identity":"cd","target":"i-7"}
{"time":"2026-01-01T00:00:09.0Z","event":"request_refused","request":"r9","reason":"request_condemned","identity":"ab","service":"desk","status":"503"}
)");
    std::istringstream second(
        R"({"time":"2026-01-01T00:00:01.0Z","event":"started","instance":"edge-2"}
{"time":"2026-01-01T00:00:03.0Z","event":"target_ended_under_request","request":"r3","identity":"ab","target":"i-8"}
)");
    read_log(first, "a.jsonl", logs);
    read_log(second, "b.jsonl", logs);
    const explanation found = explain_request(logs.lines, "r9");
    CHECK(found.cause == "Targets of service desk ended while they ran this request under other attempt ids: "
                         "i-7 (at 2026-01-01T00:00:02.0Z, seen by edge-1), "
                         "i-8 (at 2026-01-01T00:00:03.0Z, seen by edge-2).");
    CHECK(found.lines.size() == 3);
}

TEST_CASE("explain: the lines of a request include the prior state of its instance, in order")
{
    const collected_logs logs = read_both();
    CHECK(logs.unreadable == 1);
    const explanation found = explain_request(logs.lines, "r1");
    std::vector<std::string> events;
    for (const log_line& line : found.lines) {
        CHECK(line.instance == "edge-1");
        events.push_back(line.event);
    }
    CHECK(events == std::vector<std::string>{"configuration_applied", "target_seen", "store_lost",
                                             "send_failed", "request_refused"});
    CHECK(found.cause ==
          "The request reached target i-7, whose connection ended before the answer was complete; "
          "it may have run. The target left afterwards.");
}

TEST_CASE("explain: a request without lines has no cause")
{
    const collected_logs logs = read_both();
    CHECK(explain_request(logs.lines, "r9").lines.empty());
    CHECK(explain_request(logs.lines, "r9").cause.empty());
}

TEST_CASE("explain: the summary of a time range counts by reason, target, customer and dependency")
{
    const collected_logs logs = read_both();
    const log_summary whole = summarize_logs(logs.lines, "", "");
    CHECK(whole.refusals == std::map<std::string, std::uint64_t>{{"answer_lost", 1}, {"rate_exceeded", 1}});
    CHECK(whole.failed_sends == std::map<std::string, std::uint64_t>{{"i-7", 1}});
    CHECK(whole.refused_customers == std::map<std::string, std::uint64_t>{{"kase", 1}});
    CHECK(whole.lost_dependencies.size() == 2);
    CHECK(whole.lines_left_out == 4);
    const log_summary later = summarize_logs(logs.lines, "2026-01-01T00:00:08", "2026-01-01T00:00:10");
    CHECK(later.refusals == std::map<std::string, std::uint64_t>{{"rate_exceeded", 1}});
}

TEST_CASE(
    "explain: prints lines and cause, and returns different codes for unreadable files and unknown requests")
{
    const auto file =
        std::filesystem::temp_directory_path() / ("explain-" + std::to_string(::getpid()) + ".jsonl");
    std::ofstream(file) << second_log;
    std::ostringstream printed;
    std::ostringstream errors;
    command_context context;
    context.out = &printed;
    context.errors = &errors;
    command_options options;
    options.command = "explain";
    options.arguments = {"r2", file.string()};
    CHECK(run_command(options, context) == exit_code::done);
    CHECK_THAT(printed.str(),
               Catch::Contains("edge-2") && Catch::Contains("Customer kase was above its rate"));
    options.arguments = {"r3", file.string()};
    CHECK(run_command(options, context) == exit_code::unknown);
    options.arguments = {"r2", file.string() + ".missing"};
    CHECK(run_command(options, context) == exit_code::usage);
    options.arguments = {"r2"};
    CHECK(run_command(options, context) == exit_code::usage);
    options.command = "failures";
    options.arguments = {file.string()};
    options.json = true;
    printed.str("");
    CHECK(run_command(options, context) == exit_code::done);
    CHECK_THAT(printed.str(), Catch::Contains("\"rate_exceeded\": 1"));
    std::filesystem::remove(file);
}
