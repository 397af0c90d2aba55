#include <catch2/catch.hpp>

#include "edge_fixture.hpp"

using namespace edge_tests;
using standins::server_behavior;

TEST_CASE(
    "edge relay: a request reaches the server complete, with the instance's headers and without the key")
{
    edge_fixture fixture;
    caller_request request = make_request(http::verb::post, "/seal/2f?q=1", "a1", "a basket");
    request.set("Tenant", "somebody-else");
    request.set("Expect-Instance", "i-other");
    const caller_response answer = fixture.ask(request);
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "answer of i-1");
    CHECK(answer["Server-Signature"] == "s-a1");
    const auto received = standins::received_requests(*fixture.servers.front());
    REQUIRE(received.size() == 1);
    CHECK(received.front().method == "POST");
    CHECK(received.front().target == "/seal/2f?q=1");
    CHECK(received.front().body == "a basket");
    CHECK(received.front().customer == "gullfoss");
    CHECK(received.front().authorization.empty());
    CHECK(received.front().expected == "i-1");
    CHECK(received.front().deadline_ms > 0);
    CHECK(received.front().deadline_ms <= 1000);
}

TEST_CASE("edge relay: unknown keys and paths are refused without a send")
{
    edge_fixture fixture;
    caller_request request = make_request(http::verb::get, "/find/1", "a1");
    request.set(http::field::authorization, "Token key-none");
    CHECK(fixture.ask(request).result_int() == 401);
    request.erase(http::field::authorization);
    CHECK(fixture.ask(request).result_int() == 401);
    CHECK(fixture.ask(make_request(http::verb::get, "/nothing/1", "a2")).result_int() == 404);
    CHECK(standins::received_requests(*fixture.servers.front()).empty());
}

TEST_CASE("edge relay: an unsafe request whose connection resets is sent once and promised nothing")
{
    edge_fixture fixture(3);
    for (auto& server : fixture.servers) {
        server->default_behavior = server_behavior::reset_after_read;
    }
    const caller_response answer = fixture.ask(make_request(http::verb::post, "/seal/1", "a1", "x"));
    CHECK(answer.result_int() == 502);
    CHECK(fixture.runs_of("a1") == 1);
}

TEST_CASE("edge relay: a download is sent again after a lost answer, a request of an unknown kind is not")
{
    edge_fixture fixture(3);
    for (auto& server : fixture.servers) {
        standins::set_script(*server, {server_behavior::reset_after_read});
    }
    // With the first behavior used up at two of the three servers, the second send is answered or is the
    // last.
    fixture.ask(make_request(http::verb::get, "/manual/1", "a1"));
    CHECK(fixture.runs_of("a1") == 2);
    for (auto& server : fixture.servers) {
        standins::set_script(*server, {server_behavior::reset_after_read});
    }
    CHECK(fixture.ask(make_request(http::verb::get, "/odd/1", "a2")).result_int() == 502);
    CHECK(fixture.runs_of("a2") == 1);
}

TEST_CASE("edge relay: an interim answer of a server is not the answer")
{
    edge_fixture fixture;
    standins::set_script(*fixture.servers.front(), {server_behavior::interim_answer});
    const caller_response answer = fixture.ask(make_request(http::verb::post, "/seal/1", "a1", "x"));
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "answer of i-1");
    CHECK(answer["Server-Signature"] == "s-a1");
}

TEST_CASE("edge relay: bytes without end from a server end by the route's time, and are no success")
{
    for (const auto behavior :
         {server_behavior::endless_head, server_behavior::endless_fields, server_behavior::endless_body,
          server_behavior::endless_chunks, server_behavior::endless_trailers,
          server_behavior::endless_interim, server_behavior::trickled_head}) {
        CAPTURE(static_cast<int>(behavior));
        edge_fixture fixture;
        standins::server_standin& server = *fixture.servers.front();
        standins::set_script(server, {behavior});
        const auto asked_at = std::chrono::steady_clock::now();
        const caller_response answer = fixture.ask(make_request(http::verb::post, "/seal/1", "a1", "x"));
        // The route allows one second.
        CHECK(std::chrono::steady_clock::now() - asked_at < 1500ms);
        CHECK((answer.result_int() == 502 || answer.result_int() == 504));
        CHECK(fixture.runs_of("a1") == 1);
        // The connection is closed: the server can send nothing more.
        CHECK(eventually([&] {
            const std::uint64_t sent = server.endless_bytes.load();
            std::this_thread::sleep_for(200ms);
            return server.endless_bytes.load() == sent;
        }));
        // The other callers are served.
        CHECK(fixture.ask(make_request(http::verb::post, "/seal/1", "a2", "x")).result_int() == 200);
    }
}

TEST_CASE("edge relay: a refusal of a server that does not say it has not run becomes no promise")
{
    edge_fixture fixture(2);
    for (auto& server : fixture.servers) {
        server->default_behavior = server_behavior::refuse_unproved;
    }
    CHECK(fixture.ask(make_request(http::verb::post, "/seal/1", "a1", "x")).result_int() == 502);
    CHECK(fixture.runs_of("a1") == 1);
}

TEST_CASE(
    "edge relay: a request that a server has not run is sent to another one, even if it must not run twice")
{
    edge_fixture fixture(2);
    for (const server_behavior act : {server_behavior::shed, server_behavior::other_server}) {
        for (auto& server : fixture.servers) {
            standins::set_script(*server, {act});
        }
        const std::string attempt = act == server_behavior::shed ? "a1" : "a2";
        const caller_response answer = fixture.ask(make_request(http::verb::post, "/seal/1", attempt, "x"));
        CHECK((answer.result_int() == 200 || answer.result_int() == 503));
        CHECK(fixture.runs_of(attempt) == (answer.result_int() == 200 ? 1 : 0));
        for (auto& server : fixture.servers) {
            standins::set_script(*server, {});
        }
    }
}

TEST_CASE("edge relay: all servers shed, and the caller is told at once that it has not run")
{
    edge_fixture fixture(2);
    for (auto& server : fixture.servers) {
        server->default_behavior = server_behavior::shed;
    }
    const caller_response answer = fixture.ask(make_request(http::verb::post, "/seal/1", "a1", "x"));
    CHECK(answer.result_int() == 503);
    CHECK(answer.count(http::field::retry_after) == 1);
    CHECK(fixture.runs_of("a1") == 0);
}

TEST_CASE("edge relay: a safe request that a server fails is answered by another one")
{
    edge_fixture fixture(2);
    for (const server_behavior act :
         {server_behavior::fail, server_behavior::reset_after_read, server_behavior::cut_short}) {
        for (auto& server : fixture.servers) {
            standins::set_script(*server, {act});
        }
        const caller_response answer = fixture.ask(make_request(http::verb::get, "/find/1", "a1"));
        // Each server fails its first request, so the retry at the other server fails as well.
        CHECK((answer.result_int() == 500 || answer.result_int() == 502));
        CHECK(fixture.ask(make_request(http::verb::get, "/find/1", "a2")).result_int() == 200);
        for (auto& server : fixture.servers) {
            standins::set_script(*server, {});
        }
        std::this_thread::sleep_for(600ms);
    }
}

TEST_CASE("edge relay: an answer that ends early never looks complete")
{
    edge_fixture fixture;
    for (const server_behavior act : {server_behavior::cut_short, server_behavior::reset_unframed}) {
        standins::set_script(*fixture.servers.front(), {act});
        CHECK(fixture.ask(make_request(http::verb::post, "/seal/1", "a1", "x")).result_int() == 502);
    }
    standins::set_script(*fixture.servers.front(), {server_behavior::end_unframed});
    const caller_response answer = fixture.ask(make_request(http::verb::post, "/seal/1", "a2", "x"));
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "unframed");
}

TEST_CASE("edge relay: a second answer behind the first belongs to no request")
{
    edge_fixture fixture;
    standins::set_script(*fixture.servers.front(),
                         {server_behavior::extra_answer, server_behavior::serve, server_behavior::serve});
    for (const std::string attempt : {"a1", "a2", "a3"}) {
        const caller_response answer = fixture.ask(make_request(http::verb::get, "/find/1", attempt));
        CHECK(answer.result_int() == 200);
        CHECK(answer["Server-Signature"] == "s-" + attempt);
    }
}

TEST_CASE(
    "edge relay: an answer before the body has been read does not let the rest pass for another request")
{
    edge_fixture fixture;
    const std::string body =
        "GET /find/stolen HTTP/1.1\r\nAttempt-Id: stolen\r\n\r\n" + std::string(400'000, 'x');
    standins::set_script(*fixture.servers.front(), {server_behavior::early_answer});
    const caller_response answer = fixture.ask(make_request(http::verb::post, "/seal/1", "a1", body));
    CHECK(answer.result_int() == 413);
    CHECK(fixture.ask(make_request(http::verb::get, "/find/1", "a2")).result_int() == 200);
    for (const standins::received_request& request : standins::received_requests(*fixture.servers.front())) {
        CHECK(request.attempt != "stolen");
    }
}

TEST_CASE("edge relay: a silent server fails the request at the route's timeout")
{
    edge_fixture fixture;
    fixture.servers.front()->default_behavior = server_behavior::silent;
    const auto began = std::chrono::steady_clock::now();
    CHECK(fixture.ask(make_request(http::verb::post, "/seal/1", "a1", "x")).result_int() == 504);
    CHECK(std::chrono::steady_clock::now() - began >= 900ms);
    CHECK(fixture.runs_of("a1") == 1);
}

TEST_CASE("edge relay: requests with ambiguous framing are refused without a send")
{
    edge_fixture fixture;
    for (const std::string fields :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Content-Length: +5\r\n",
          "Content-Length: 5\r\nContent-Length: 6\r\n", "Bad Name: x\r\nContent-Length: 5\r\n"}) {
        CAPTURE(fields);
        caller connection(fixture.settings.front.port);
        const std::string text = "POST /seal/1 HTTP/1.1\r\nHost: seals.example\r\nAttempt-Id: b1\r\n"
                                 "Authorization: Token key-one\r\n" +
                                 fields + "\r\n0\r\n\r\nGET /find/stolen HTTP/1.1\r\n\r\n";
        boost::asio::write(connection.stream.socket(), boost::asio::buffer(text));
        caller_response answer;
        http::read(connection.stream, connection.buffer, answer);
        CHECK(answer.result_int() == 400);
    }
    CHECK(standins::received_requests(*fixture.servers.front()).empty());
}

TEST_CASE("edge relay: heads and bodies above the limits get 431 and 413")
{
    edge_fixture fixture;
    caller_request long_head = make_request(http::verb::get, "/find/1", "a1");
    long_head.set("Padding", std::string(8000, 'x'));
    CHECK(fixture.ask(long_head).result_int() == 431);
    caller connection(fixture.settings.front.port);
    const std::string text =
        "POST /seal/1 HTTP/1.1\r\nHost: seals.example\r\nContent-Length: 2000000\r\n\r\n";
    boost::asio::write(connection.stream.socket(), boost::asio::buffer(text));
    caller_response answer;
    http::read(connection.stream, connection.buffer, answer);
    CHECK(answer.result_int() == 413);
}

TEST_CASE("edge relay: a safe request is stopped at its server when its caller leaves")
{
    edge_fixture fixture;
    fixture.servers.front()->default_behavior = server_behavior::silent;
    {
        caller connection(fixture.settings.front.port);
        http::write(connection.stream, make_request(http::verb::get, "/find/1", "a1"));
        REQUIRE(eventually([&] { return fixture.runs_of("a1") == 1; }));
    }
    const std::uint64_t before = fixture.servers.front()->connections;
    fixture.servers.front()->default_behavior = server_behavior::serve;
    CHECK(fixture.ask(make_request(http::verb::get, "/find/1", "a2")).result_int() == 200);
    CHECK(fixture.servers.front()->connections == before + 1); // The first connection was closed.
}

TEST_CASE("edge relay: a refusal that says not run is true, however the sends after an unproved one end")
{
    for (const auto second : {server_behavior::shed, server_behavior::other_server, server_behavior::fail,
                              server_behavior::reset_after_read, server_behavior::cut_short,
                              server_behavior::silent, server_behavior::refuse_unproved}) {
        CAPTURE(static_cast<int>(second));
        edge_fixture fixture(2);
        fixture.servers.front()->default_behavior = server_behavior::refuse_unproved;
        fixture.servers.back()->default_behavior = second;
        for (int number = 0; number < 12; ++number) {
            const std::string attempt = "a" + std::to_string(number);
            const unsigned status =
                fixture.ask(make_request(http::verb::get, "/find/" + attempt, attempt)).result_int();
            const bool promises_not_run = status == 503 || status == 429 || status == 408 || status == 421;
            CHECK((!promises_not_run || fixture.runs_of(attempt) == 0));
        }
    }
}

TEST_CASE("edge relay: a refusal that says not run is true if the second target is gone or no retry is left")
{
    for (const bool has_retries : {true, false}) {
        CAPTURE(has_retries);
        edge_fixture fixture(0);
        fixture.add_server("i-1");
        fixture.add_server("i-2");
        fixture.settings.bounds.retry_allowance = has_retries ? 50 : 0;
        fixture.start();
        fixture.servers.front()->default_behavior = server_behavior::refuse_unproved;
        fixture.register_server("i-2", free_port(), "ready", 200);
        for (int number = 0; number < 12; ++number) {
            const std::string attempt = "a" + std::to_string(number);
            const unsigned status =
                fixture.ask(make_request(http::verb::get, "/find/" + attempt, attempt)).result_int();
            CHECK((status != 503 || fixture.runs_of(attempt) == 0));
            std::this_thread::sleep_for(20ms);
        }
    }
}

namespace {

// Two servers that execute requests and refuse them with 503, without a statement on execution.
struct unproved_fixture : edge_fixture {
    unproved_fixture() : edge_fixture(2)
    {
        for (auto& server : servers) {
            server->default_behavior = server_behavior::refuse_unproved;
        }
    }

    bool is_true_refusal(unsigned status, const std::string& attempt)
    {
        const bool promises_not_run = status == 503 || status == 429 || status == 408 || status == 421;
        return !promises_not_run || runs_of(attempt) == 0;
    }
};

} // namespace

TEST_CASE("edge relay: a refusal that says not run is true if the second target is to be left alone")
{
    unproved_fixture fixture;
    standins::set_announcements(*fixture.servers.back(), "Retry-After: 5\r\n");
    fixture.servers.back()->default_behavior = server_behavior::shed;
    int run = 0;
    for (int number = 0; number < 12; ++number) {
        const std::string attempt = "a" + std::to_string(number);
        const unsigned status =
            fixture.ask(make_request(http::verb::get, "/find/" + attempt, attempt)).result_int();
        CHECK(fixture.is_true_refusal(status, attempt));
        run += fixture.runs_of(attempt) > 0 ? 1 : 0;
    }
    CHECK(run > 0);
}

TEST_CASE("edge relay: a refusal that says not run is true if the time is over after an unproved one")
{
    for (const int service_ms : {600, 900, 980}) {
        CAPTURE(service_ms);
        unproved_fixture fixture;
        for (auto& server : fixture.servers) {
            server->service_ms = service_ms;
        }
        for (const std::string attempt : {"a", "b", "c"}) {
            const unsigned status =
                fixture.ask(make_request(http::verb::get, "/find/" + attempt, attempt)).result_int();
            CHECK(fixture.runs_of(attempt) > 0);
            CHECK(fixture.is_true_refusal(status, attempt));
        }
    }
}

TEST_CASE("edge relay: a refusal that says not run is true if the instance stops after an unproved one")
{
    unproved_fixture fixture;
    for (auto& server : fixture.servers) {
        server->service_ms = 300;
    }
    std::vector<std::unique_ptr<caller>> callers;
    for (int number = 0; number < 4; ++number) {
        const std::string attempt = "a" + std::to_string(number);
        callers.push_back(std::make_unique<caller>(fixture.settings.front.port));
        http::write(callers.back()->stream, make_request(http::verb::get, "/find/" + attempt, attempt));
        std::this_thread::sleep_for(100ms);
    }
    camphorknot::edge::begin_stop(*fixture.running);
    for (int number = 0; number < 4; ++number) {
        caller& waiting = *callers.at(static_cast<std::size_t>(number));
        caller_response answer;
        http::read(waiting.stream, waiting.buffer, answer);
        const std::string attempt = "a" + std::to_string(number);
        CHECK(fixture.runs_of(attempt) > 0);
        CHECK(fixture.is_true_refusal(answer.result_int(), attempt));
    }
}

TEST_CASE("edge relay: a caller that leaves after an unproved refusal does not stop the instance")
{
    unproved_fixture fixture;
    for (int number = 0; number < 6; ++number) {
        const std::string attempt = "a" + std::to_string(number);
        fixture.servers.back()->default_behavior = server_behavior::silent;
        {
            caller leaving(fixture.settings.front.port);
            http::write(leaving.stream, make_request(http::verb::get, "/find/" + attempt, attempt));
            REQUIRE(eventually([&] { return fixture.runs_of(attempt) > 0; }));
        }
        std::this_thread::sleep_for(50ms);
    }
    for (auto& server : fixture.servers) {
        server->default_behavior = server_behavior::serve;
    }
    CHECK(eventually(
        [&] { return fixture.ask(make_request(http::verb::get, "/find/1", "last")).result_int() == 200; }));
}
