#include <catch2/catch.hpp>

#include <future>
#include <mutex>

#include "camphorknot/daemon/traffic_server.hpp"
#include "camphorknot/kernel/clock.hpp"
#include "loopback.hpp"

using namespace camphorknot;
using test::connection;

namespace {

// Decisions that admit everything and name one target, and a record of what the relay told them.
struct scripted_decisions {
    std::string target_address;
    bool idempotent = true;
    std::int64_t body_limit_kb = 1'048'576;
    int retries = 0;
    std::atomic<refusal_reason> stop{refusal_reason::none};

    std::mutex guard;
    std::vector<attempt_result> results;
    std::vector<outcome> ends;
    std::promise<outcome> ended;

    traffic_decisions bind()
    {
        traffic_decisions made;
        made.admit = [this](const request_head& head, time_point now) { return admit(head, now); };
        made.begin_attempt = [this](const admitted_request&, std::span<const target_id>, time_point) {
            attempt_answer answer;
            answer.next = attempt{};
            answer.next->address = target_address;
            answer.next->version_name = "v7";
            return answer;
        };
        made.end_attempt = [this](admitted_request&, const attempt_report& report, time_point) {
            return end_attempt(report);
        };
        made.end_request = [this](const admitted_request&, outcome run, std::uint16_t, std::string_view,
                                  time_point) {
            const std::lock_guard lock(guard);
            ends.push_back(run);
            if (ends.size() == 1) {
                ended.set_value(run);
            }
        };
        made.must_stop = [this](const admitted_request&, time_point) { return stop.load(); };
        made.report_silent_connection = [](target_id, std::uint64_t, bool) {};
        made.look_up = [](std::string_view, std::string_view, std::uint32_t, const std::optional<key_hash>&,
                          time_point) {
            lookup_answer answer;
            answer.instances = {{"127.0.0.1:7201", 3}};
            answer.time_to_live = std::chrono::seconds(2);
            return answer;
        };
        return made;
    }

    admission_answer admit(const request_head& head, time_point now) const
    {
        admission_answer answer;
        if (!head.key) {
            answer.why = {refusal_reason::rate_exceeded, outcome::not_run, std::chrono::milliseconds(1500)};
            return answer;
        }
        answer.request = admitted_request{};
        answer.request->customer = "gullfoss";
        answer.request->idempotent = idempotent;
        answer.request->deadline = now + std::chrono::seconds(50);
        answer.request->body_limit_kb = body_limit_kb;
        return answer;
    }

    retry_answer end_attempt(const attempt_report& report)
    {
        const std::lock_guard lock(guard);
        results.push_back(report.result);
        if (retries > 0) {
            --retries;
            return {retry_decision::retry, {}};
        }
        const bool certain = report.result == attempt_result::connect_failed ||
                             report.result == attempt_result::shed_before_run;
        return {retry_decision::give_up,
                {refusal_reason::target_failed, certain ? outcome::not_run : outcome::unknown, {}}};
    }
};

struct running_relay {
    explicit running_relay(scripted_decisions& decisions, traffic_limits limits = {}) : page(make_metrics())
    {
        traffic_settings settings;
        settings.address = "127.0.0.1:0";
        settings.limits = limits;
        settings.fleet_secret = "secret of the test fleet";
        auto started = start_traffic_server(settings, decisions.bind(), *page);
        REQUIRE(started);
        server = std::move(*started);
    }
    metrics_handle page;
    traffic_server_handle server;
};

std::string get(const std::string& extra = "")
{
    return "GET /catalogue/piece/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-of-gullfoss\r\n" + extra +
           "\r\n";
}

std::string ask(const running_relay& relay, const std::string& request, bool* reset = nullptr)
{
    const connection caller = test::connect_to(port_of(*relay.server));
    test::send_text(caller, request);
    return test::read_to_end(caller, reset);
}

// Target that answers each request head with @p answer and then ends the connection as told.
test::loopback_server answering(std::string answer, std::promise<std::string>* head = nullptr)
{
    return test::loopback_server([answer = std::move(answer), head](connection from) {
        std::string seen = test::read_until(from, "\r\n\r\n");
        if (head != nullptr) {
            head->set_value(std::move(seen));
        }
        test::send_text(from, answer);
    });
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("relay: no target sees the key, tickets or a forged customer", "[relay]")
{
    // Guards P3: the key must not leak in another field either, and a caller cannot name its customer.
    std::promise<std::string> seen;
    const auto target =
        answering("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nCamphorknot-Reason: forged\r\n\r\nwhole", &seen);
    scripted_decisions decisions;
    decisions.target_address = target.address();
    const running_relay relay(decisions);
    const std::string answer =
        ask(relay, get("Camphorknot-Customer: other\r\nCamphorknot-Ticket: t\r\nX-Copy: key-of-gullfoss\r\n"
                       "Connection: close, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"));
    CHECK(contains(answer, "200 OK"));
    CHECK(contains(answer, "\r\n\r\nwhole"));
    CHECK(contains(answer, "Camphorknot-Version-Seen: v7"));
    CHECK_FALSE(contains(answer, "forged"));
    const std::string head = seen.get_future().get();
    CHECK_FALSE(contains(head, "key-of-gullfoss"));
    CHECK_FALSE(contains(head, "Camphorknot-Ticket"));
    CHECK_FALSE(contains(head, "X-Hop"));
    CHECK(contains(head, "X-End: 2"));
    CHECK(contains(head, "Camphorknot-Customer: gullfoss"));
    CHECK_FALSE(contains(head, "other"));
    CHECK(contains(head, "Camphorknot-Deadline-Ms: "));
}

TEST_CASE("relay: a truncated answer never looks whole", "[relay]")
{
    // Guards P6 for both framings: a cut answer must not end in a way that a caller takes for its end.
    const std::string framing =
        GENERATE("Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    const auto target = answering("HTTP/1.1 200 OK\r\n" + framing);
    scripted_decisions decisions;
    decisions.target_address = target.address();
    const running_relay relay(decisions);
    const std::string answer = ask(relay, get());
    CHECK_FALSE(contains(answer, "\r\n0\r\n"));
    const bool has_length = contains(answer, "Content-Length: 10\r\n");
    const bool has_chunks = contains(answer, "Transfer-Encoding: chunked\r\n");
    CHECK(has_length != has_chunks);
    CHECK(decisions.ended.get_future().get() == outcome::ran);
    CHECK(decisions.results == std::vector{attempt_result::broken});
}

TEST_CASE("relay: an answer that only ends with its connection is not passed on", "[relay]")
{
    // Guards P6: the end of such an answer cannot be told from a broken connection.
    const auto target = answering("HTTP/1.1 200 OK\r\n\r\nmaybe whole");
    scripted_decisions decisions;
    decisions.target_address = target.address();
    const running_relay relay(decisions);
    const std::string answer = ask(relay, get("Connection: close\r\n"));
    CHECK(contains(answer, "502 Bad Gateway"));
    CHECK(contains(answer, "Camphorknot-Outcome: unknown"));
}

TEST_CASE("relay: a refusal names its reason while the body is still missing", "[relay]")
{
    // Guards against a refusal that waits for the request's body.
    scripted_decisions decisions;
    const running_relay relay(decisions);
    const connection caller = test::connect_to(port_of(*relay.server));
    test::send_text(caller, "PUT /scanvault/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n");
    const std::string answer = test::read_until(caller, "}");
    CHECK(contains(answer, "429 Too Many Requests"));
    CHECK(contains(answer, "Camphorknot-Reason: rate_exceeded"));
    CHECK(contains(answer, "Camphorknot-Retry-After-Ms: 1500"));
    CHECK(contains(answer, "Retry-After: 2"));
    CHECK(contains(answer, R"({"reason":"rate_exceeded","outcome":"not_run","retry_after_ms":1500})"));
}

TEST_CASE("relay: a long body is passed on before it is complete", "[relay]")
{
    // Guards against holding a body whole: the target must get the first half before the second one is sent.
    const std::string half(100'000, 'x');
    std::promise<void> got_half;
    std::atomic<std::size_t> received{0};
    const test::loopback_server target([&](connection from) {
        test::read_until(from, "\r\n\r\n");
        for (int part = 0; part < 2; ++part) {
            for (std::size_t count = 0; count < half.size(); ++count) {
                received += test::read_until(from, "x").size();
            }
            if (part == 0) {
                got_half.set_value();
            }
        }
        test::send_text(from, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
    });
    scripted_decisions decisions;
    decisions.idempotent = false;
    decisions.target_address = target.address();
    const running_relay relay(decisions);
    const connection caller = test::connect_to(port_of(*relay.server));
    test::send_text(caller,
                    "PUT /scanvault/a HTTP/1.1\r\nAuthorization: Bearer k\r\nContent-Length: 200000\r\n"
                    "Connection: close\r\n\r\n" +
                        half);
    got_half.get_future().wait();
    test::send_text(caller, half);
    CHECK(contains(test::read_to_end(caller), "201 Created"));
    CHECK(received == 2 * half.size());
}

TEST_CASE("relay: the target's connection ends when the caller goes away", "[relay]")
{
    // Guards cancellation: a target must not go on working for a caller that left.
    std::promise<void> running;
    std::promise<std::string> rest;
    const test::loopback_server target([&](connection from) {
        test::read_until(from, "\r\n\r\n");
        running.set_value();
        rest.set_value(test::read_to_end(from));
    });
    scripted_decisions decisions;
    decisions.target_address = target.address();
    const running_relay relay(decisions);
    {
        const connection caller = test::connect_to(port_of(*relay.server));
        test::send_text(caller, get());
        running.get_future().wait();
    }
    CHECK(rest.get_future().get().empty());
    CHECK(decisions.ended.get_future().get() == outcome::unknown);
    CHECK(decisions.results == std::vector{attempt_result::cancelled});
}

TEST_CASE("relay: a revoked key stops a request that is under way", "[relay]")
{
    // Guards P3 for a caller that is connected while its key is revoked.
    std::promise<void> running;
    const test::loopback_server target([&](connection from) {
        test::read_until(from, "\r\n\r\n");
        running.set_value();
        test::read_to_end(from);
    });
    scripted_decisions decisions;
    decisions.target_address = target.address();
    const running_relay relay(decisions);
    const connection caller = test::connect_to(port_of(*relay.server));
    test::send_text(caller, get("Connection: close\r\n"));
    running.get_future().wait();
    decisions.stop = refusal_reason::key_revoked;
    const std::string answer = test::read_to_end(caller);
    CHECK(contains(answer, "403 Forbidden"));
    CHECK(contains(answer, "Camphorknot-Outcome: unknown"));
}

TEST_CASE("relay: a request goes to a target again only with its body", "[relay]")
{
    // Guards against a retry that sends an empty or partial body.
    std::atomic<int> calls{0};
    std::promise<std::string> second_body;
    const test::loopback_server target([&](connection from) {
        test::read_until(from, "\r\n\r\n");
        const std::string body = test::read_until(from, "end");
        if (++calls == 1) {
            return;
        }
        second_body.set_value(body);
        test::send_text(from, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    scripted_decisions decisions;
    decisions.target_address = target.address();
    decisions.retries = 1;
    const running_relay relay(decisions);
    const std::string answer =
        ask(relay, "PUT /a HTTP/1.1\r\nAuthorization: Bearer k\r\nContent-Length: 12\r\n"
                   "Connection: close\r\n\r\nthe body end");
    CHECK(contains(answer, "200 OK"));
    CHECK(second_body.get_future().get() == "the body end");
}
