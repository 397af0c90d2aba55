// Requests whose connection ends without an answer: each is counted once, with its reason and phase.
#include <catch2/catch.hpp>

#include <boost/asio/write.hpp>
#include <sstream>

#include "../src/connection_ends.hpp"
#include "../src/traffic.hpp"
#include "captured_log.hpp"

using namespace edge_tests;
using camphorknot::edge::connection_end;
using camphorknot::edge::request_phase;
using camphorknot::edge::session_kind;
using standins::server_behavior;

namespace {

constexpr std::string_view metric = "camphorknot_unanswered_requests_total";

std::string to_text(const caller_request& request)
{
    std::ostringstream text;
    text << request;
    return text.str();
}

void send_text(caller& connection, std::string_view text)
{
    boost::asio::write(connection.stream.socket(), boost::asio::buffer(text));
}

caller_request get_find(const std::string& attempt)
{
    caller_request request = make_request(http::verb::get, "/find/" + attempt, attempt);
    request.set("Deadline-Ms", "30000");
    return request;
}

caller_request post_basket(const std::string& attempt)
{
    return make_request(http::verb::post, "/basket/1", attempt, std::string(100, 'x'));
}

std::string metric_line(const std::string& reason, const std::string& phase, int count)
{
    return std::string(metric) + "{reason=\"" + reason + "\",phase=\"" + phase + "\"} " +
           std::to_string(count) + "\n";
}

/// An instance whose log is read.
struct end_fixture {
    captured_log log;
    edge_fixture edge;
    standins::server_standin& server = *edge.servers.front();

    std::string metrics_page() const { return edge.get_from(edge.settings.metrics.port, "/metrics").body(); }

    /// Waits until exactly this is counted for the reason and the phase, and nothing else of the metric.
    bool counts_only(const std::string& reason, const std::string& phase, int count) const
    {
        const std::string line = metric_line(reason, phase, count);
        const bool is_counted = eventually([&] { return metrics_page().find(line) != std::string::npos; });
        const std::string page = metrics_page();
        const std::size_t first = page.find("\n" + std::string(metric) + "{");
        return is_counted && first == page.rfind("\n" + std::string(metric) + "{");
    }

    std::map<std::string, std::string> only_line() const
    {
        eventually([&] { return !log.lines_of("connection_closed_unanswered").empty(); });
        const auto lines = log.lines_of("connection_closed_unanswered");
        REQUIRE(lines.size() == 1);
        return lines.front().fields;
    }
};

/// Two connected sockets, and a connection that is watched.
struct watched_pair {
    boost::asio::io_context context;
    tcp::socket caller_end{context};
    tcp::socket own_end{context};
    camphorknot::metrics_handle registry = camphorknot::make_metrics();
    camphorknot::edge::connection_ends ends;
    std::optional<camphorknot::edge::connection_watch> connection;

    watched_pair()
    {
        tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address(local_ip()), 0));
        caller_end.connect(acceptor.local_endpoint());
        acceptor.accept(own_end);
        ends.registry = registry.get();
        connection.emplace(ends, own_end, session_kind::caller);
    }

    std::uint64_t count(const std::string& reason, const std::string& phase)
    {
        return camphorknot::counter(*registry, metric, "reason=\"" + reason + "\",phase=\"" + phase + "\"")
            .load();
    }
};

} // namespace

// Guards against regular ends of connections that are counted as losses.
TEST_CASE("edge connection end: nothing is counted for kept connections, refusals and idle ends")
{
    end_fixture fixture;
    {
        caller kept(fixture.edge.settings.front.port);
        caller from_peer(fixture.edge.settings.relay.port);
        for (const std::string attempt : {"k1", "k2", "k3"}) {
            CHECK(kept.ask(get_find(attempt)).result_int() == 200);
            CHECK(from_peer.ask(get_find(attempt)).result_int() == 200);
        }
        send_text(kept, to_text(get_find("k4")) + to_text(post_basket("k5")));
        for (int number = 0; number < 2; ++number) {
            caller_response answer;
            http::read(kept.stream, kept.buffer, answer);
            CHECK(answer.result_int() == 200);
        }
        caller malformed(fixture.edge.settings.front.port);
        send_text(malformed, "NOT HTTP\r\n\r\n");
        caller_response refusal;
        http::read(malformed.stream, malformed.buffer, refusal);
        CHECK(refusal.result_int() == 400);
    }
    caller idle(fixture.edge.settings.front.port);
    CHECK(idle.ask(get_find("k6")).result_int() == 200);
    std::this_thread::sleep_for(300ms);
    CHECK(fixture.metrics_page().find(metric) == std::string::npos);
    fixture.edge.running.reset();
    CHECK(fixture.log.lines_of("connection_closed_unanswered").empty());
}

// Guards against a caller that disconnects being reported as a loss, or without the target.
TEST_CASE("edge connection end: a caller that leaves at a target is counted as the caller's own end")
{
    const bool from_peer = GENERATE(false, true);
    CAPTURE(from_peer);
    end_fixture fixture;
    fixture.server.default_behavior = server_behavior::silent;
    {
        caller leaving(from_peer ? fixture.edge.settings.relay.port : fixture.edge.settings.front.port);
        send_text(leaving, to_text(get_find("gone")));
        REQUIRE(eventually([&] { return fixture.edge.runs_of("gone") == 1; }));
    }
    CHECK(fixture.counts_only("caller_left", "at_target", 1));
    auto line = fixture.only_line();
    CHECK(line["request"] == "gone");
    CHECK(line["phase"] == "at_target");
    CHECK(line["reason"] == "caller_left");
    CHECK(line["sent_to"] == "i-1");
    CHECK(line["port"] == (from_peer ? "relay" : "front"));
    CHECK(line["severity"] == "info");
}

// Guards against an answer that was begun and is not complete.
TEST_CASE("edge connection end: an answer that a caller does not take is counted")
{
    const bool resets = GENERATE(false, true); // Otherwise the write ends by its limit of ten seconds.
    CAPTURE(resets);
    end_fixture fixture;
    fixture.server.answer_bytes = std::size_t{24} * 1024 * 1024;
    caller slow(fixture.edge.settings.front.port);
    send_text(slow, to_text(get_find("slow")));
    std::array<char, 100> first_bytes{};
    slow.stream.socket().read_some(boost::asio::buffer(first_bytes));
    if (resets) {
        slow.stream.socket().set_option(boost::asio::socket_base::linger(true, 0));
        slow.stream.socket().close();
    } else {
        std::this_thread::sleep_for(9s);
    }
    CHECK(fixture.counts_only(resets ? "caller_left" : "write_timeout", "answering", 1));
    auto line = fixture.only_line();
    CHECK(line["request"] == "slow");
    CHECK(line["severity"] == (resets ? "info" : "warning"));
    CHECK_FALSE(line["error"].empty());
}

// Guards against a request that is dropped at the limit for its head or body without a trace.
TEST_CASE("edge connection end: a request that is not received in time is counted")
{
    const bool has_head = GENERATE(false, true);
    CAPTURE(has_head);
    end_fixture fixture;
    caller slow(fixture.edge.settings.front.port);
    const std::string text = to_text(post_basket("half"));
    send_text(slow, std::string_view(text).substr(0, has_head ? text.size() - 10 : 20));
    CHECK(fixture.counts_only("read_timeout", has_head ? "body" : "head", 1));
    auto line = fixture.only_line();
    CHECK(line["request"] == (has_head ? "half" : ""));
    CHECK(line["severity"] == "warning");
}

// Guards against requests of one connection of which only the first is reported, or one twice.
TEST_CASE("edge connection end: each request of a connection is counted once")
{
    end_fixture fixture;
    fixture.server.default_behavior = server_behavior::silent;
    {
        caller leaving(fixture.edge.settings.front.port);
        send_text(leaving, to_text(get_find("l1")) + to_text(post_basket("l2")) + to_text(post_basket("l3")));
        REQUIRE(eventually([&] { return fixture.edge.runs_of("l1") == 1; }));
        REQUIRE(eventually([&] {
            return fixture.metrics_page().find("camphorknot_requests_ahead 3") != std::string::npos;
        }));
    }
    CHECK(eventually([&] { return fixture.log.lines_of("connection_closed_unanswered").size() >= 3; }));
    std::map<std::string, std::string> phases;
    for (const auto& line : fixture.log.lines_of("connection_closed_unanswered")) {
        CHECK(line.fields.at("reason") == "caller_left");
        phases[line.fields.at("request")] = line.fields.at("phase");
    }
    const std::map<std::string, std::string> expected = {
        {"l1", "at_target"}, {"l2", "waiting"}, {"l3", "waiting"}};
    CHECK(phases == expected);
    const std::string page = fixture.metrics_page();
    CHECK(page.find(metric_line("caller_left", "at_target", 1)) != std::string::npos);
    CHECK(page.find(metric_line("caller_left", "waiting", 2)) != std::string::npos);
}

// Guards against a follower that is dropped unread behind an answer that closes the connection.
TEST_CASE("edge connection end: a request behind a closing answer is counted as unread")
{
    end_fixture fixture;
    caller_request last = get_find("c1");
    last.keep_alive(false);
    caller connection(fixture.edge.settings.front.port);
    send_text(connection, to_text(last) + to_text(get_find("c2")));
    caller_response answer;
    http::read(connection.stream, connection.buffer, answer);
    CHECK(answer.result_int() == 200);
    CHECK(fixture.counts_only("closing_answer", "unread", 1));
    CHECK(fixture.edge.runs_of("c2") == 0);
}

// Guards against requests that end with the process and leave no line.
TEST_CASE("edge connection end: a request that is open at the end of the process is logged")
{
    end_fixture fixture;
    fixture.server.default_behavior = server_behavior::silent;
    caller waiting(fixture.edge.settings.front.port);
    send_text(waiting, to_text(get_find("cut")));
    REQUIRE(eventually([&] { return fixture.edge.runs_of("cut") == 1; }));
    caller incomplete(fixture.edge.settings.front.port);
    const std::string text = to_text(post_basket("half"));
    send_text(incomplete, std::string_view(text).substr(0, text.size() - 10));
    std::this_thread::sleep_for(200ms);
    fixture.edge.running.reset();
    std::map<std::string, std::string> phases;
    for (const auto& line : fixture.log.lines_of("connection_closed_unanswered")) {
        CHECK(line.fields.at("reason") == "process_ended");
        phases[line.fields.at("request")] = line.fields.at("phase");
    }
    const std::map<std::string, std::string> expected = {{"cut", "at_target"}, {"half", "body"}};
    CHECK(phases == expected);
}

// Guards against a request in the socket of a connection that ends with the process.
TEST_CASE("edge connection end: unread bytes are counted at the end of the process, and an idle end is not")
{
    const bool has_input = GENERATE(false, true);
    CAPTURE(has_input);
    watched_pair pair;
    if (has_input) {
        boost::asio::write(pair.caller_end, boost::asio::buffer("GET", 3));
        pair.own_end.wait(tcp::socket::wait_read);
    }
    camphorknot::edge::report_open_connections(pair.ends);
    pair.connection.reset();
    CHECK(pair.count("process_ended", "unread") == (has_input ? 1 : 0));
    CHECK(pair.count("too_many_connections", "unread") == 0);
}

// Guards against a connection that is refused with its request and leaves no trace of it.
TEST_CASE("edge connection end: unread bytes of a connection that was never served are counted")
{
    watched_pair pair;
    boost::asio::write(pair.caller_end, boost::asio::buffer("GET", 3));
    pair.own_end.wait(tcp::socket::wait_read);
    pair.connection.reset();
    CHECK(pair.count("too_many_connections", "unread") == 1);
}

// Guards against a later event that hides the cause, and against a phase of the time after the cause.
TEST_CASE("edge connection end: the first reason counts, with the phase of its moment")
{
    watched_pair pair;
    camphorknot::edge::caller_request request;
    request.watch.begin(*pair.connection);
    request.watch.set_phase(request_phase::body);
    pair.connection->note(connection_end::closed_for_another);
    request.watch.set_phase(request_phase::answering);
    pair.connection->note(connection_end::read_failed);
    pair.connection->close(connection_end::closing_answer);
    CHECK(pair.count("closed_for_another", "body") == 1);
}

// Guards against an exception that ends a connection without a trace of its requests.
TEST_CASE("edge connection end: a request of a task that ends by an exception is counted")
{
    watched_pair pair;
    try {
        camphorknot::edge::caller_request request;
        const camphorknot::edge::exception_note failing(
            [&] { pair.connection->note(connection_end::task_failed); });
        request.watch.begin(*pair.connection);
        request.watch.end_read();
        throw std::runtime_error("expected by the test");
    } catch (const std::runtime_error&) {
        pair.connection->close(connection_end::closing_answer);
    }
    CHECK(pair.count("task_failed", "waiting") == 1);
}
