// Requests without an attempt id, and answers that name no request.
#include <catch2/catch.hpp>

#include <atomic>

#include "pair_fixture.hpp"

using namespace edge_tests;
using standins::server_behavior;
using standins::stale_time;

namespace {

struct unnamed_case {
    std::string name;
    server_behavior own_answer = server_behavior::serve;
};

const std::vector<unnamed_case>& unnamed_cases()
{
    static const std::vector<unnamed_case> cases = {
        {"serve", server_behavior::serve},        {"shed", server_behavior::shed},
        {"fail", server_behavior::fail},          {"unproved", server_behavior::refuse_unproved},
        {"other", server_behavior::other_server}, {"reset", server_behavior::reset_unanswered},
        {"cut", server_behavior::cut_short},      {"spoiled", server_behavior::spoiled},
        {"silent", server_behavior::silent},
    };
    return cases;
}

std::vector<service_pair> services_of(std::size_t server_count)
{
    std::vector<service_pair> services;
    for (const unnamed_case& entry : unnamed_cases()) {
        services.push_back({entry.name, "unsafe", 600, server_count});
    }
    return services;
}

// Requests are told apart by their bodies, since some have no id.
std::size_t sends_of_body(const service_pair& service, const std::string& body, bool ran_only)
{
    std::size_t count = 0;
    for (standins::server_standin* server : service.servers) {
        for (const standins::received_request& request : standins::received_requests(*server)) {
            count += request.body == body && (request.ran || !ran_only) ? 1 : 0;
        }
    }
    return count;
}

caller_response ask_unnamed(const pair_fixture& fixture, const service_pair& service, const std::string& body)
{
    caller_request request = make_request(http::verb::post, "/" + service.name + "/1", "", body);
    request.erase("Attempt-Id");
    request.set("Deadline-Ms", "20000");
    return fixture.ask(request);
}

} // namespace

// Guards against an answer that names no request and is believed to refuse the one that was sent last.
TEST_CASE("edge unnamed answer: it refuses nothing that ran, on a new and on a used connection")
{
    const std::size_t server_count = GENERATE(1U, 2U);
    const bool is_used = GENERATE(false, true);
    pair_fixture fixture(services_of(server_count));
    for_each_service(fixture, [&](std::size_t index) {
        const service_pair& service = fixture.services.at(index);
        for (int number = 0; is_used && number < 4; ++number) {
            fixture.ask_service(service, service.name + "-before" + std::to_string(number));
        }
    });
    for (const service_pair& service : fixture.services) {
        for (standins::server_standin* server : service.servers) {
            server->omits_attempt = true;
        }
    }
    std::vector<caller_response> answers(fixture.services.size());
    for_each_service(fixture, [&](std::size_t index) {
        const service_pair& service = fixture.services.at(index);
        for (standins::server_standin* server : service.servers) {
            standins::set_script(*server, {unnamed_cases().at(index).own_answer});
        }
        answers.at(index) = fixture.ask_service(service, service.name);
    });
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const service_pair& service = fixture.services.at(index);
        CAPTURE(server_count, is_used, service.name, answers.at(index).result_int());
        CHECK(pair_fixture::sends_of(service, service.name) == 1);
        CHECK((fixture.runs_of(service.name) == 0 || !promises_not_run(answers.at(index))));
        CHECK(answers.at(index).result_int() / 100 != 2);
    }
}

// Guards against a promise or a second send for a request without an id, whose answer cannot be told from
// another one.
TEST_CASE(
    "edge unnamed answer: a request without an id runs at most once and is promised nothing after it ran")
{
    const unsigned status = GENERATE(0U, 503U, 421U, 200U);
    const bool has_id = GENERATE(false, true);
    pair_fixture fixture(services_of(2));
    std::vector<caller_response> answers(fixture.services.size());
    const std::string stale = standins::format_answer(status, has_id ? "earlier" : "", "earlier",
                                                      "Earlier: 1\r\nNot-Executed: 1\r\n");
    for_each_service(fixture, [&](std::size_t index) {
        const service_pair& service = fixture.services.at(index);
        for (int number = 0; number < 4; ++number) {
            ask_unnamed(fixture, service, "before" + std::to_string(number));
        }
        for (standins::server_standin* server : service.servers) {
            standins::set_script(*server, {unnamed_cases().at(index).own_answer});
            standins::set_stale_answers(*server, {stale_time::during_execution, stale, status == 0 ? 0 : 1});
        }
        answers.at(index) = ask_unnamed(fixture, service, "second");
    });
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const service_pair& service = fixture.services.at(index);
        const std::size_t runs = sends_of_body(service, "second", true);
        CAPTURE(status, has_id, service.name, answers.at(index).result_int(), runs);
        CHECK(runs <= 1);
        CHECK(sends_of_body(service, "second", false) == 1);
        CHECK((runs == 0 || !promises_not_run(answers.at(index))));
        CHECK((!has_id || answers.at(index).count("Earlier") == 0));
    }
}

// Guards against an answer to an earlier request that the caller of a request without an id gets as his.
TEST_CASE("edge unnamed answer: an earlier answer does not reach the caller of a request without an id")
{
    pair_fixture fixture(services_of(1));
    std::vector<caller_response> answers(fixture.services.size());
    const std::string stale =
        standins::format_answer(200, "", "earlier", "Earlier: 1\r\nServer-Signature: s-\r\n");
    for_each_service(fixture, [&](std::size_t index) {
        const service_pair& service = fixture.services.at(index);
        for (int number = 0; number < 4; ++number) {
            ask_unnamed(fixture, service, "before" + std::to_string(number));
        }
        standins::server_standin& server = *service.servers.front();
        standins::set_script(server, {unnamed_cases().at(index).own_answer});
        standins::set_stale_answers(server, {stale_time::during_execution, stale, 1, true});
        answers.at(index) = ask_unnamed(fixture, service, "second");
    });
    for (std::size_t index = 0; index < answers.size(); ++index) {
        CAPTURE(fixture.services.at(index).name, answers.at(index).result_int());
        CHECK(answers.at(index).count("Earlier") == 0);
    }
}
