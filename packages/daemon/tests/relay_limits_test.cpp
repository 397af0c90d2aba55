#include <catch2/catch.hpp>

#include "scripted.hpp"

using namespace camphorknot;
using namespace camphorknot::test;

namespace {

const std::string whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

// Target that reads requests and never answers.
loopback_server silent_target()
{
    return loopback_server([](connection from) { read_to_end(from); });
}

} // namespace

TEST_CASE("relay: heads and bodies beyond the limits are refused with their reason", "[relay]")
{
    // Guards against callers that make an instance hold what they send.
    scripted_decisions decisions;
    decisions.body_limit_kb = 1;
    const running_relay relay(decisions);
    const std::string long_head = get("X-Long: " + std::string(20'000, 'x') + "\r\n");
    CHECK(contains(ask(relay, long_head), "Camphorknot-Reason: head_too_large"));
    CHECK(contains(ask(relay, "GET / HTTP/9.9\r\n\r\n"), "Camphorknot-Reason: malformed_request"));
    CHECK(contains(ask(relay, get("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n")),
                   "Camphorknot-Reason: malformed_request"));
    const std::string large = "PUT /a HTTP/1.1\r\nAuthorization: Bearer k\r\nContent-Length: 70000\r\n\r\n";
    const std::string answer = ask(relay, large);
    CHECK(contains(answer, "413 Payload Too Large"));
    CHECK(contains(answer, "Camphorknot-Outcome: not_run"));
    CHECK(decisions.attempts == 0);
}

TEST_CASE("relay: a body without a length is cut off at the limit", "[relay]")
{
    // Guards the limit for chunked bodies, whose size is known only while they pass.
    const auto target = silent_target();
    scripted_decisions decisions;
    decisions.body_limit_kb = 1;
    decisions.target_addresses = {target.address()};
    const running_relay relay(decisions);
    const std::string answer = ask(relay, "PUT /a HTTP/1.1\r\nAuthorization: Bearer k\r\n"
                                          "Transfer-Encoding: chunked\r\n\r\n800\r\n" +
                                              std::string(2048, 'x') + "\r\n");
    CHECK(contains(answer, "413 Payload Too Large"));
    CHECK(contains(answer, "Camphorknot-Outcome: unknown"));
}

TEST_CASE("relay: a slow head is refused, and a connection without any head is closed", "[relay]")
{
    // Guards against callers that hold connections by sending a byte now and then.
    scripted_decisions decisions;
    traffic_limits limits;
    limits.head_timeout = std::chrono::milliseconds(50);
    const running_relay relay(decisions, limits);
    CHECK(contains(ask(relay, "GET / HTTP/1.1\r\nHo"), "408 Request Timeout"));
    CHECK(ask(relay, "").empty());
}

TEST_CASE("relay: a connection beyond the limit is told so at once", "[relay]")
{
    scripted_decisions decisions;
    traffic_limits limits;
    limits.connections = 1;
    const running_relay relay(decisions, limits);
    const connection first = connect_to(port_of(*relay.server));
    send_text(first, "GET /v1/lookup?service=a HTTP/1.1\r\n\r\n");
    CHECK(contains(read_until(first, "}"), "weight"));
    CHECK(contains(ask(relay, ""), "Camphorknot-Reason: instance_busy"));
}

TEST_CASE("relay: the hedged request that answers first wins", "[relay]")
{
    // Guards against waiting for the slow target, and against a hedge of a request that must run once.
    const auto slow = silent_target();
    const auto fast = answering(whole_answer);
    scripted_decisions decisions;
    decisions.target_addresses = {slow.address(), fast.address()};
    decisions.hedge_after = std::chrono::milliseconds(5);
    {
        const running_relay relay(decisions);
        CHECK(contains(ask(relay, get("Connection: close\r\n")), "\r\n\r\nwhole"));
    }
    CHECK(decisions.attempts == 2);
    CHECK(decisions.results == std::vector{attempt_result::cancelled, attempt_result::answered});
}

TEST_CASE("relay: a request that must run once is neither hedged nor repeated after its first byte",
          "[relay]")
{
    // Guards P8 in the relay, whatever the decisions say: its body was streamed and cannot be sent again.
    const loopback_server target([](connection from) { read_until(from, "\r\n\r\n"); });
    scripted_decisions decisions;
    decisions.idempotent = false;
    decisions.retries = 1;
    decisions.hedge_after = std::chrono::milliseconds(0);
    decisions.target_addresses = {target.address()};
    const running_relay relay(decisions);
    const std::string answer =
        ask(relay, "POST /a HTTP/1.1\r\nAuthorization: Bearer k\r\nConnection: close\r\n"
                   "Content-Length: 70000\r\n\r\n" +
                       std::string(70'000, 'x'));
    CHECK(contains(answer, "Camphorknot-Outcome: unknown"));
    CHECK(decisions.attempts == 1);
}

TEST_CASE("relay: a kept connection that goes silent is tested and reported", "[relay]")
{
    // Guards against a path that lost its state: requests on the old connection would wait for their
    // deadline.
    std::atomic<int> connections{0};
    const loopback_server target([&connections](connection from) {
        const bool first = ++connections == 1;
        while (contains(read_until(from, "\r\n\r\n"), "\r\n\r\n")) {
            send_text(from, whole_answer);
            if (first) {
                read_to_end(from);
                return;
            }
        }
    });
    scripted_decisions decisions;
    decisions.target_addresses = {target.address()};
    decisions.retries = 1;
    traffic_limits limits;
    limits.progress_timeout = std::chrono::milliseconds(100);
    const running_relay relay(decisions, limits);
    const connection caller = connect_to(port_of(*relay.server));
    send_text(caller, get());
    CHECK(contains(read_until(caller, "whole"), "200 OK"));
    send_text(caller, get("Connection: close\r\n"));
    CHECK(contains(read_to_end(caller), "\r\n\r\nwhole"));
    CHECK(decisions.silent_reports == 1);
}

TEST_CASE("relay: a drained instance answers and then closes the connection", "[relay]")
{
    // Guards P10: the request under way gets its whole answer, and the caller learns that it must move.
    const auto target = answering(whole_answer);
    scripted_decisions decisions;
    decisions.target_addresses = {target.address()};
    const running_relay relay(decisions);
    begin_drain(*relay.server);
    const std::string answer = ask(relay, get());
    CHECK(contains(answer, "\r\n\r\nwhole"));
    CHECK(contains(answer, "Connection: close"));
}
