// Scripted decision functions for tests, and a relay that uses them.
#pragma once

#include <catch2/catch.hpp>
#include <future>
#include <mutex>

#include "camphorknot/daemon/traffic_server.hpp"
#include "camphorknot/kernel/clock.hpp"
#include "loopback.hpp"

namespace camphorknot::test {

// Decision functions that admit every request with a key and return the scripted targets. They record the
// results that the relay reports.
struct scripted_decisions {
    /// Address for each attempt in order; further attempts use the last one.
    std::vector<std::string> target_addresses;
    std::optional<duration> hedge_after;
    std::atomic<std::size_t> attempts{0};
    std::atomic<int> silent_reports{0};
    bool idempotent = true;
    std::int64_t body_limit_kb = 1'048'576;
    int retries = 0;
    std::atomic<refusal_reason> scripted_abort_reason{refusal_reason::none};

    std::mutex guard;
    std::vector<attempt_result> results;
    std::vector<outcome> outcomes;
    std::promise<outcome> first_outcome;

    traffic_decisions bind()
    {
        traffic_decisions functions;
        functions.admit = [this](const request_head& head, time_point now) { return admit(head, now); };
        functions.begin_attempt = [this](const admitted_request&, std::span<const target_id>, time_point) {
            attempt_answer answer;
            answer.next = attempt{};
            const std::size_t number = attempts++;
            answer.next->address = target_addresses.at(std::min(number, target_addresses.size() - 1));
            answer.next->hedge_after = hedge_after;
            answer.next->version_name = "v7";
            return answer;
        };
        functions.end_attempt = [this](admitted_request&, const attempt_report& report, time_point) {
            return end_attempt(report);
        };
        functions.end_request = [this](const admitted_request&, outcome run, std::uint16_t, std::string_view,
                                       time_point) {
            const std::lock_guard lock(guard);
            outcomes.push_back(run);
            if (outcomes.size() == 1) {
                first_outcome.set_value(run);
            }
        };
        functions.abort_reason = [this](const admitted_request&, time_point) {
            return scripted_abort_reason.load();
        };
        functions.report_silent_connection = [this](target_id, std::uint64_t, bool) { ++silent_reports; };
        functions.look_up = [](std::string_view, std::string_view, std::uint32_t,
                               const std::optional<key_hash>&, time_point) {
            lookup_answer answer;
            answer.instances = {{"127.0.0.1:7201", 3}};
            answer.time_to_live = std::chrono::seconds(2);
            return answer;
        };
        return functions;
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
        if (retries > 0 && report.result != attempt_result::answered) {
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
    explicit running_relay(scripted_decisions& decisions, traffic_limits limits = {})
        : registry(make_metrics())
    {
        traffic_settings settings;
        settings.address = "127.0.0.1:0";
        settings.limits = limits;
        settings.fleet_secret = "secret of the test fleet";
        auto started = start_traffic_server(settings, decisions.bind(), *registry);
        REQUIRE(started);
        server = std::move(*started);
    }
    metrics_handle registry;
    traffic_server_handle server;
};

inline std::string get(const std::string& extra = "")
{
    return "GET /catalogue/piece/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-of-gullfoss\r\n" + extra +
           "\r\n";
}

inline std::string send_request(const running_relay& relay, const std::string& request, bool* reset = nullptr)
{
    const connection caller = connect_to(port_of(*relay.server));
    send_text(caller, request);
    return read_to_end(caller, reset);
}

// Target that answers the first request head of each connection with @p answer and then closes the
// connection.
// @param head receives the request head; only for a target that is used once.
inline loopback_server answering_target(std::string answer, std::promise<std::string>* head = nullptr)
{
    return loopback_server([answer = std::move(answer), head](connection from) {
        std::string seen = read_until(from, "\r\n\r\n");
        if (head != nullptr) {
            head->set_value(std::move(seen));
        }
        send_text(from, answer);
    });
}

inline bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace camphorknot::test
