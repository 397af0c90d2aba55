// The log of requests that were refused as "not run" after they had been sent.
#include <catch2/catch.hpp>

#include <set>

#include "../src/send_record.hpp"
#include "../src/traffic.hpp"
#include "captured_log.hpp"
#include "cut_fixture.hpp"

using namespace edge_tests;
using camphorknot::client::log_line;
using standins::server_behavior;

namespace edge = camphorknot::edge;

namespace {

const std::string event = "refused_after_send";

caller_request unsafe_request(const std::string& attempt)
{
    return make_request(http::verb::post, "/seal/1", attempt, "x");
}

// The fixture's configuration with this number of targets that a request may be sent to.
std::string configuration_with_attempts(int version, int max_attempts)
{
    std::string row = configuration_row(version, one_customer);
    const std::string field = "\"max_attempts\":";
    for (std::size_t at = row.find(field); at != std::string::npos; at = row.find(field, at + 1)) {
        row.replace(at + field.size(), 1, std::to_string(max_attempts));
    }
    return row;
}

void shed_all(edge_fixture& fixture)
{
    for (auto& server : fixture.servers) {
        const std::lock_guard lock(server->guard);
        server->default_behavior = server_behavior::shed;
    }
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

std::string metrics_of(const edge_fixture& fixture)
{
    return fixture.get_from(fixture.settings.metrics.port, "/metrics").body();
}

edge::exchange_result rejected_by_answer_to(const std::string& attempt)
{
    edge::exchange_result result;
    result.outcome = edge::exchange_outcome::answered;
    result.answer.emplace();
    result.answer->metadata.attempt = attempt;
    result.answer->metadata.not_run = true;
    result.connection = 7;
    result.earlier_uses = 2;
    return result;
}

// A log of its own traffic state, for sends that no target or caller of the fixtures can cause.
struct recorded_request {
    captured_log log;
    edge::edge_settings settings;
    camphorknot::metrics_handle registry = camphorknot::make_metrics();
    edge::traffic_state state{settings, *registry};
    edge::caller_request request;

    explicit recorded_request(const std::string& attempt)
    {
        request.metadata.attempt = attempt;
        request.at_most_once = true;
    }

    log_line only_line()
    {
        edge::log_promise(state, request, 503);
        const std::vector<log_line> lines = log.lines_of(event);
        REQUIRE(lines.size() == 1);
        return lines.front();
    }
};

} // namespace

// Guards against a refusal whose line does not show what its promise stands on.
TEST_CASE("edge send record: the line of a refusal names the target, its answer and the connection")
{
    const captured_log log;
    edge_fixture fixture;
    fixture.ask(unsafe_request("before")); // Leaves a connection that the next request is sent on.
    standins::set_script(*fixture.servers.front(), {server_behavior::shed});
    CHECK(fixture.ask(unsafe_request("shed")).result_int() == 503);
    const auto lines = log.lines_of(event);
    REQUIRE(lines.size() == 1);
    const auto& fields = lines.front().fields;
    CHECK(fields.at("request") == "shed");
    CHECK(fields.at("status") == "503");
    CHECK(fields.at("at_most_once") == "true");
    CHECK(fields.at("unrecorded_sends") == "0");
    CHECK(fields.at("send_running") == "false");
    const auto sends_failed = log.lines_of("send_failed", "shed");
    const auto sends_answered = log.lines_of("send_answered", "before");
    REQUIRE(sends_failed.size() == 1);
    REQUIRE(sends_answered.size() == 1);
    const std::string connection = sends_failed.front().fields.at("connection");
    CHECK(connection == sends_answered.front().fields.at("connection"));
    CHECK_THAT(fields.at("sends"),
               Catch::Matches("target=i-1 end=answered proof=rejected answer_to=this connection=" +
                              connection + " earlier_uses=[1-9][0-9]* skipped_answers=0"));
    CHECK_THAT(metrics_of(fixture),
               Catch::Contains("camphorknot_promises_after_send_total{proof=\"rejected\"} 1\n"));
}

// Guards against a proof that is shown or counted as another one.
TEST_CASE("edge send record: the sends of refused requests are shown and counted by proof")
{
    const captured_log log;
    edge_fixture fixture;
    const auto sends_of = [&](const std::string& attempt) {
        const auto lines = log.lines_of(event, attempt);
        return lines.size() == 1 ? lines.front().fields.at("sends") : std::string();
    };
    standins::set_script(*fixture.servers.front(), {server_behavior::shed, server_behavior::other_server});
    CHECK(fixture.ask(unsafe_request("rejected")).result_int() == 503);
    CHECK_THAT(sends_of("rejected"), Catch::Contains(" end=answered proof=rejected answer_to=this "));
    CHECK(fixture.ask(unsafe_request("replaced")).result_int() == 503);
    CHECK_THAT(sends_of("replaced"), Catch::Contains(" end=answered proof=replaced answer_to=this "));
    const std::uint16_t closed = free_port();
    fixture.register_server("i-1", closed, "ready", 200);
    std::string away;
    int asked = 0;
    REQUIRE(eventually([&] {
        away = "away-" + std::to_string(++asked);
        fixture.ask(unsafe_request(away));
        return !sends_of(away).empty();
    }));
    CHECK(sends_of(away) == "target=i-1 end=not_connected proof=not_connected");
    const std::string page = metrics_of(fixture);
    for (const std::string proof : {"rejected", "replaced", "not_connected"}) {
        std::size_t count = 0;
        for (const log_line& line : log.lines_of(event)) {
            count += count_of(line.fields.at("sends"), " proof=" + proof);
        }
        CAPTURE(proof);
        CHECK_THAT(page, Catch::Contains("camphorknot_promises_after_send_total{proof=\"" + proof + "\"} " +
                                         std::to_string(count) + "\n"));
    }
}

// Guards against a line that the limit on lines per second leaves out, and against more than one line for a
// refused request.
TEST_CASE("edge send record: a request that must not run twice has its line however many others are refused")
{
    const captured_log log;
    edge_fixture fixture;
    shed_all(fixture);
    constexpr int requests = 150;
    std::set<std::string> refused;
    caller connection(fixture.settings.front.port);
    for (int number = 0; number < requests; ++number) {
        const std::string attempt = "m" + std::to_string(number);
        if (connection.ask(unsafe_request(attempt)).result_int() == 503) {
            refused.insert(attempt);
        }
    }
    std::multiset<std::string> logged;
    for (const log_line& line : log.lines_of(event)) {
        CHECK(line.fields.at("at_most_once") == "true");
        logged.insert(line.fields.at("request"));
    }
    std::set<std::string> sent;
    for (const auto& request : standins::received_requests(*fixture.servers.front())) {
        sent.insert(request.attempt);
    }
    for (const std::string& attempt : refused) {
        CAPTURE(attempt);
        CHECK(logged.count(attempt) == sent.count(attempt));
    }
    CHECK(logged.size() >= requests / 2);
    // The limit was in force: the other lines of these requests are not complete.
    CHECK(log.lines_of("send_failed").size() < logged.size());
}

// Guards against a log without bound: requests that may run twice are retried and refused in any number.
TEST_CASE("edge send record: the lines of requests that may run twice are limited")
{
    const captured_log log;
    edge_fixture fixture;
    shed_all(fixture);
    const auto start = std::chrono::steady_clock::now();
    caller connection(fixture.settings.front.port);
    for (int number = 0; number < 150; ++number) {
        connection.ask(make_request(http::verb::get, "/find/1", "s" + std::to_string(number)));
    }
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - start);
    const auto sent = standins::received_requests(*fixture.servers.front()).size();
    const auto lines = log.lines_of(event);
    CAPTURE(elapsed.count(), sent);
    CHECK(!lines.empty());
    CHECK(lines.size() <= 20 * (static_cast<std::size_t>(elapsed.count()) + 2));
    CHECK(lines.size() < sent);
    for (const log_line& line : lines) {
        CHECK(line.fields.at("at_most_once") == "false");
    }
    const std::string promises = "camphorknot_promises_after_send_total{proof=\"rejected\"} ";
    CHECK_THAT(metrics_of(fixture), Catch::Contains(promises + std::to_string(sent) + "\n"));
}

// Guards against a line for each refusal, which under overload are many.
TEST_CASE("edge send record: a refusal before any send logs no line")
{
    const captured_log log;
    edge_fixture fixture;
    standins::drop_row(*fixture.store, "servers", "i-1");
    std::string refused;
    int asked = 0;
    REQUIRE(eventually([&] {
        refused = "none-" + std::to_string(++asked);
        return fixture.ask(unsafe_request(refused)).result_int() == 503;
    }));
    CHECK(log.lines_of("request_refused", refused).size() == 1);
    CHECK(log.lines_of(event, refused).empty());
    CHECK(metrics_of(fixture).find("camphorknot_promises_after_send_total") == std::string::npos);
}

// Guards against a promise of another instance that looks like one of a target.
TEST_CASE("edge send record: a request that was passed on names the instance that promised")
{
    cut_fixture fixture(3, 2);
    fixture.set_links(0, link_fault::down);
    const auto end = std::chrono::steady_clock::now() + 1500ms;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
        fixture.ask_at(0, make_request(http::verb::get, "/find/1", "n" + std::to_string(number)));
        std::this_thread::sleep_for(40ms);
    }
    shed_all(fixture);
    const captured_log log;
    CHECK(fixture.ask_at(0, unsafe_request("passed")).result_int() == 503);
    CHECK(fixture.runs_of("passed") == 0);
    const auto lines = log.lines_of(event, "passed"); // Of both instances.
    REQUIRE(lines.size() == 2);
    CHECK_THAT(lines.front().fields.at("sends"),
               Catch::StartsWith("target=i-") && Catch::Contains(" proof=rejected answer_to=this "));
    CHECK_THAT(
        lines.back().fields.at("sends"),
        Catch::StartsWith("instance=edge-1 end=answered proof=peer_refusal answer_to=this connection="));
}

// Guards against a line that grows with the number of sends or with ids of callers and of the store.
TEST_CASE("edge send record: a line shows eight sends and shortened ids")
{
    const captured_log log;
    edge_fixture fixture(0);
    const std::string long_name(3000, 'n');
    for (int number = 0; number < 12; ++number) {
        fixture.add_server("i-" + std::to_string(number) + long_name);
    }
    standins::put_row(*fixture.store, "op", "config", configuration_with_attempts(2, 99));
    fixture.start();
    shed_all(fixture);
    const std::string attempt(3000, 'a');
    CHECK(fixture.ask(unsafe_request(attempt)).result_int() == 503);
    const auto lines = log.lines_of(event);
    REQUIRE(lines.size() == 1);
    const auto& fields = lines.front().fields;
    CHECK(fields.at("request") == std::string(128, 'a') + "...");
    CHECK(count_of(fields.at("sends"), "target=i-") == 8);
    CHECK(count_of(fields.at("sends"), "answer_to=this ") == 8);
    CHECK(fields.at("unrecorded_sends") == "4");
    CHECK(fields.at("sends").size() < std::size_t{8} * 300);
}

// Guards against bytes of a faulty target that make the line unreadable or look like other sends.
TEST_CASE("edge send record: an id of a faulty target is shortened and cannot pass for anything else")
{
    recorded_request sent("r1");
    const auto record = [&](const std::string& answered) {
        edge::record_send(sent.request, edge::send_receiver::target, "i-1", rejected_by_answer_to(answered),
                          edge::not_run_proof::rejected);
    };
    record("r0; target=i-9 end=answered");
    record(std::string("\xff\xfe\0\n\"\x7f", 6));
    record("this");
    record(std::string(std::size_t{16} * 1024, 'b'));
    record("");
    record("r1");
    const std::string end = " connection=7 earlier_uses=2 skipped_answers=0";
    const std::string start = "target=i-1 end=answered proof=rejected answer_to=";
    CHECK(sent.only_line().fields.at("sends") ==
          start + "other:r0??target=i-9?end=answered" + end + "; " + start + "other:????\"?" + end + "; " +
              start + "other:this" + end + "; " + start + "other:" + std::string(128, 'b') + "..." + end +
              "; " + start + "nothing" + end + "; " + start + "this" + end);
}

// Guards against lines that fill the buffer for a slow reader of the log, since their number is not limited.
TEST_CASE("edge send record: the longest line is below 8 KiB")
{
    const std::string worst(std::size_t{16} * 1024, '"'); // Escaped in the line.
    recorded_request sent(std::string(std::size_t{16} * 1024, '\1'));
    edge::exchange_result result = rejected_by_answer_to(worst);
    result.connection = result.earlier_uses = result.skipped_answers = ~std::uint64_t{0};
    for (int number = 0; number < 100; ++number) {
        edge::record_send(sent.request, edge::send_receiver::instance, worst, result,
                          edge::not_run_proof::not_connected);
    }
    CHECK(sent.only_line().fields.at("unrecorded_sends") == "92");
    const auto line_bytes = std::filesystem::file_size(sent.log.directory / "camphorknotd.jsonl");
    CAPTURE(line_bytes);
    CHECK(line_bytes < std::uintmax_t{8} * 1024);
    CHECK(line_bytes > std::uintmax_t{4} * 1024);
}

// Guards against a refusal beside a running send that looks like one before any send.
TEST_CASE("edge send record: a refusal while a send runs has a line")
{
    recorded_request sent("r1");
    sent.request.active_exchange = std::make_shared<edge::exchange_handle>();
    const log_line line = sent.only_line();
    CHECK(line.fields.at("send_running") == "true");
    CHECK(line.fields.at("sends").empty());
}

// Guards against a target that writes answers to earlier requests, and is noticed only after harm was done.
TEST_CASE("edge send record: answers to earlier requests are logged and counted")
{
    const captured_log log;
    edge_fixture fixture;
    auto& server = *fixture.servers.front();
    server.repeats_refusal = standins::refusal_repeat::during_next_request;
    CHECK_THAT(metrics_of(fixture), Catch::Contains("camphorknot_skipped_answers_total 0\n"));
    standins::set_script(server, {server_behavior::shed});
    CHECK(fixture.ask(unsafe_request("refused")).result_int() == 503);
    CHECK(fixture.ask(unsafe_request("served")).result_int() == 200);
    const auto sends = log.lines_of("send_answered", "served");
    REQUIRE(sends.size() == 1);
    CHECK(sends.front().fields.at("skipped_answers") == "1");
    CHECK(sends.front().fields.at("target") == "i-1");
    CHECK_THAT(metrics_of(fixture), Catch::Contains("camphorknot_skipped_answers_total 1\n"));
    const auto refused = log.lines_of("send_failed", "refused");
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().fields.count("skipped_answers") == 0);
    CHECK(refused.front().fields.at("connection") == sends.front().fields.at("connection"));
}
