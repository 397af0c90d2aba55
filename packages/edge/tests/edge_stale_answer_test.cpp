// Answers to earlier requests on the connection of a request, combined with faults of the request's own
// answer.
#include <catch2/catch.hpp>

#include "pair_fixture.hpp"

using namespace edge_tests;
using standins::server_behavior;
using standins::stale_time;

namespace {

// Answers to earlier requests that the exchange skips before it gives up the connection.
constexpr int max_skipped = 3;

struct earlier_answer {
    std::string name;
    unsigned status = 0;
    std::string fields; // With their line ends.
};

const std::vector<earlier_answer>& earlier_answers()
{
    static const std::vector<earlier_answer> answers = {
        {"shed", 503, "Not-Executed: 1\r\n"},
        {"limited", 429, "Not-Executed: 1\r\n"},
        {"other", 421, "Not-Executed: 1\r\nInstance-Id: i-other\r\n"},
        {"success", 200, "Server-Signature: s-earlier\r\n"},
        {"closing", 503, "Not-Executed: 1\r\nConnection: close\r\n"},
    };
    return answers;
}

struct faulty_pair {
    const earlier_answer* earlier = nullptr;
    stale_time time = stale_time::never;
    int count = 0;
};

// What the caller and the targets of one pair saw of the request that followed the earlier one.
struct pair_result {
    caller_response answer;
    caller_response later; // To a further request.
    std::size_t sends = 0;
    std::size_t runs = 0;
};

std::vector<faulty_pair> all_pairs()
{
    std::vector<faulty_pair> pairs;
    for (const earlier_answer& earlier : earlier_answers()) {
        for (const stale_time time :
             {stale_time::before_request, stale_time::during_request_read, stale_time::during_execution}) {
            for (int count = 1; count <= max_skipped + 1; ++count) {
                pairs.push_back({&earlier, time, count});
            }
        }
    }
    return pairs;
}

std::string name_of(const faulty_pair& pair)
{
    return pair.earlier->name + "-" + std::to_string(static_cast<int>(pair.time)) + "-" +
           std::to_string(pair.count);
}

// Whether the own answer can be read after the earlier ones.
bool is_readable(const faulty_pair& pair)
{
    return pair.count <= max_skipped && pair.earlier->name != "closing";
}

// Whether the answer is the instance's or the target's answer to this request, and complete.
bool is_answer_to(const caller_response& answer, const std::string& attempt)
{
    const bool is_success = answer.result_int() / 100 == 2;
    return answer["Attempt-Id"] == attempt && answer.count("Earlier") == 0 &&
           (!is_success ||
            (answer["Server-Signature"] == "s-" + attempt && answer.body().starts_with("answer of i-")));
}

// Sends a request that is served, then one whose answer has the fault while answers to the first one are
// written, then one without faults.
pair_result ask_pair(pair_fixture& fixture, const service_pair& service, const faulty_pair& pair,
                     server_behavior own_answer)
{
    pair_result result;
    const std::string first = service.name + "-first";
    const std::string second = service.name + "-second";
    const std::string third = service.name + "-third";
    int number = 0;
    eventually(
        [&] { return fixture.ask_service(service, first + std::to_string(++number)).result_int() == 200; });
    const std::string text = standins::format_answer(pair.earlier->status, first + std::to_string(number),
                                                     "earlier", "Earlier: 1\r\n" + pair.earlier->fields);
    for (standins::server_standin* server : service.servers) {
        standins::set_script(*server, {own_answer});
        standins::set_stale_answers(*server, {pair.time, text, pair.count});
    }
    const std::string body(std::size_t{64} * 1024, 'b'); // Still being written when the first answers arrive.
    result.answer = fixture.ask_service(service, second, body);
    for (standins::server_standin* server : service.servers) {
        standins::set_stale_answers(*server, {});
        standins::set_script(*server, {});
    }
    result.later = fixture.ask_service(service, third);
    result.sends = pair_fixture::sends_of(service, second);
    result.runs = fixture.runs_of(second);
    return result;
}

} // namespace

// Guards against an answer to an earlier request that is taken for the own one, or for a proof that the
// request has not run: the caller was promised so, or the request was sent to a second target, after it
// began.
TEST_CASE(
    "edge stale answer: no combination with a fault of the own answer refuses or repeats a request that "
    "began")
{
    const auto own_answer =
        GENERATE(server_behavior::serve, server_behavior::late, server_behavior::cut_head,
                 server_behavior::cut_short, server_behavior::reset_unanswered, server_behavior::silent,
                 server_behavior::spoiled, server_behavior::too_large);
    const bool waits_for_timeout =
        own_answer == server_behavior::late || own_answer == server_behavior::silent;
    const std::vector<faulty_pair> pairs = all_pairs();
    std::vector<service_pair> services;
    for (const std::size_t server_count : {1U, 2U}) {
        for (const faulty_pair& pair : pairs) {
            services.push_back({name_of(pair) + "-" + std::to_string(server_count), "unsafe",
                                waits_for_timeout ? 500 : 5000, server_count});
        }
    }
    pair_fixture fixture(services);
    for (auto& server : fixture.servers) {
        server->cut_after_bytes = 30;
        server->service_ms = 20;
    }
    std::vector<pair_result> results(services.size());
    for_each_service(fixture, [&](std::size_t index) {
        results.at(index) =
            ask_pair(fixture, fixture.services.at(index), pairs.at(index % pairs.size()), own_answer);
    });
    std::size_t runs = 0;
    for (std::size_t index = 0; index < services.size(); ++index) {
        const faulty_pair& pair = pairs.at(index % pairs.size());
        const pair_result& result = results.at(index);
        CAPTURE(static_cast<int>(own_answer), services.at(index).name, result.answer.result_int(),
                result.sends);
        CHECK(result.sends <= 1);
        CHECK((result.runs == 0 || !promises_not_run(result.answer)));
        CHECK(is_answer_to(result.answer, services.at(index).name + "-second"));
        CHECK(is_answer_to(result.later, services.at(index).name + "-third"));
        if (own_answer == server_behavior::serve && is_readable(pair)) {
            CHECK(result.answer.result_int() == 200);
        } else if (own_answer != server_behavior::late) {
            CHECK(result.answer.result_int() >= 500);
        }
        runs += result.runs;
    }
    CHECK(runs >= services.size() * 2 / 3);
}
