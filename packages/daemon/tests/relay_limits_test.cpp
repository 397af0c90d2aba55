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

TEST_CASE("relay: heads and bodies beyond the limits are refused with the matching reason", "[relay]")
{
    // Guards against callers that exhaust the memory of an instance with large heads or bodies.
    scripted_decisions decisions;
    decisions.body_limit_kb = 1;
    const running_relay relay(decisions);
    const std::string long_head = get("X-Long: " + std::string(20'000, 'x') + "\r\n");
    CHECK(contains(send_request(relay, long_head), "Camphorknot-Reason: head_too_large"));
    CHECK(contains(send_request(relay, "GET / HTTP/9.9\r\n\r\n"), "Camphorknot-Reason: malformed_request"));
    CHECK(contains(send_request(relay, get("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n")),
                   "Camphorknot-Reason: malformed_request"));
    const std::string large = "PUT /a HTTP/1.1\r\nAuthorization: Bearer k\r\nContent-Length: 70000\r\n\r\n";
    const std::string answer = send_request(relay, large);
    CHECK(contains(answer, "413 Payload Too Large"));
    CHECK(contains(answer, "Camphorknot-Outcome: not_run"));
    CHECK(decisions.attempts == 0);
}

TEST_CASE("relay: a body without a length is refused once it exceeds the limit", "[relay]")
{
    // Guards the limit for chunked bodies, whose size is not known in advance.
    const auto target = silent_target();
    scripted_decisions decisions;
    decisions.body_limit_kb = 1;
    decisions.target_addresses = {target.address()};
    const running_relay relay(decisions);
    const std::string answer = send_request(relay, "PUT /a HTTP/1.1\r\nAuthorization: Bearer k\r\n"
                                                   "Transfer-Encoding: chunked\r\n\r\n800\r\n" +
                                                       std::string(2048, 'x') + "\r\n");
    CHECK(contains(answer, "413 Payload Too Large"));
    CHECK(contains(answer, "Camphorknot-Outcome: unknown"));
}

TEST_CASE("relay: a slow head is refused, and a connection without any head is closed", "[relay]")
{
    // Guards against callers that occupy connections by sending a byte now and then.
    scripted_decisions decisions;
    traffic_limits limits;
    limits.head_timeout = std::chrono::milliseconds(50);
    const running_relay relay(decisions, limits);
    CHECK(contains(send_request(relay, "GET / HTTP/1.1\r\nHo"), "408 Request Timeout"));
    CHECK(send_request(relay, "").empty());
}

TEST_CASE("relay: a connection beyond the limit is refused at once with instance_busy", "[relay]")
{
    scripted_decisions decisions;
    traffic_limits limits;
    limits.connections = 1;
    const running_relay relay(decisions, limits);
    const connection first = connect_to(port_of(*relay.server));
    send_text(first, "GET /v1/lookup?service=a HTTP/1.1\r\n\r\n");
    CHECK(contains(read_until(first, "}"), "weight"));
    CHECK(contains(send_request(relay, ""), "Camphorknot-Reason: instance_busy"));
}

TEST_CASE("relay: the hedged request that answers first wins", "[relay]")
{
    // Guards against waiting for the slow target, and against a failure to cancel the slower attempt.
    const auto slow = silent_target();
    const auto fast = answering_target(whole_answer);
    scripted_decisions decisions;
    decisions.target_addresses = {slow.address(), fast.address()};
    decisions.hedge_after = std::chrono::milliseconds(5);
    {
        const running_relay relay(decisions);
        CHECK(contains(send_request(relay, get("Connection: close\r\n")), "\r\n\r\nwhole"));
    }
    CHECK(decisions.attempts == 2);
    CHECK(decisions.results == std::vector{attempt_result::cancelled, attempt_result::answered});
}

TEST_CASE("relay: a request that must run once is neither hedged nor retried after its first byte", "[relay]")
{
    // Guards invariant p8_at_most_once in the relay, even if the decision functions ask for a retry: the body
    // was streamed and cannot be sent again.
    const loopback_server target([](connection from) { read_until(from, "\r\n\r\n"); });
    scripted_decisions decisions;
    decisions.idempotent = false;
    decisions.retries = 1;
    decisions.hedge_after = std::chrono::milliseconds(0);
    decisions.target_addresses = {target.address()};
    const running_relay relay(decisions);
    const std::string answer =
        send_request(relay, "POST /a HTTP/1.1\r\nAuthorization: Bearer k\r\nConnection: close\r\n"
                            "Content-Length: 70000\r\n\r\n" +
                                std::string(70'000, 'x'));
    CHECK(contains(answer, "Camphorknot-Outcome: unknown"));
    CHECK(decisions.attempts == 1);
}

TEST_CASE("relay: a reused connection without an answer is probed and reported", "[relay]")
{
    // Guards against a network path that lost the state of a connection: requests on it would wait until
    // their deadline.
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

TEST_CASE("relay: a draining instance answers and then closes the connection", "[relay]")
{
    // Guards invariant p10_graceful_stop: the running request gets its complete answer, and "Connection:
    // close" makes the caller reconnect elsewhere.
    const auto target = answering_target(whole_answer);
    scripted_decisions decisions;
    decisions.target_addresses = {target.address()};
    const running_relay relay(decisions);
    begin_drain(*relay.server);
    const std::string answer = send_request(relay, get());
    CHECK(contains(answer, "\r\n\r\nwhole"));
    CHECK(contains(answer, "Connection: close"));
}
