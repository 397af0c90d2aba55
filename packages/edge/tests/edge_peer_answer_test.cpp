// Answers of another instance that are no answers to the request which was passed on to it.
#include <catch2/catch.hpp>

#include "camphorknot/steering/answer_promise.hpp"
#include "cut_fixture.hpp"

using namespace edge_tests;
using standins::server_behavior;
using standins::stale_time;

namespace {

// An instance without a path to its target, beside one that reaches it and whose address for passed-on
// requests leads to a stand-in.
struct faulty_peer_fixture : cut_fixture {
    standins::server_standin_handle peer = standins::start_server(local_ip(), "peer");

    faulty_peer_fixture() : cut_fixture(1, 1)
    {
        settings.egress_ip.clear();
        settings.identity.name = "edge-1";
        settings.identity.failure_domain = "rvk-b";
        settings.identity.incarnation = 2;
        settings.seeds = {all_settings.front().identity.peer_address};
        for (int attempt = 0; attempt < 10 && running == nullptr; ++attempt) {
            choose_ports();
            settings.identity.relay_address = local_ip() + ":" + std::to_string(peer->port);
            auto started = camphorknot::edge::start_instance(settings);
            if (started) {
                running = std::move(*started);
            }
        }
        set_links(0, link_fault::down);
        int number = 0;
        is_ready = eventually([&] {
            const std::string attempt = "n" + std::to_string(++number);
            return ask_at(0, make_request(http::verb::post, "/seal/1", attempt, "x")).result_int() == 200 &&
                   sends_of(attempt) == 1;
        });
    }

    ~faulty_peer_fixture() { running.reset(); }
    faulty_peer_fixture(const faulty_peer_fixture&) = delete;
    faulty_peer_fixture& operator=(const faulty_peer_fixture&) = delete;
    faulty_peer_fixture(faulty_peer_fixture&&) = delete;
    faulty_peer_fixture& operator=(faulty_peer_fixture&&) = delete;

    std::size_t sends_of(const std::string& attempt) const
    {
        const auto received = standins::received_requests(*peer);
        return static_cast<std::size_t>(
            std::ranges::count(received, attempt, &standins::received_request::attempt));
    }

    bool is_ready = false; ///< Requests are passed on to the stand-in.
};

} // namespace

// Guards against a refusal that another instance gave to an earlier request, and that is taken for the
// answer to the present one, or for the proof that it has not run; and against the same for a refusal that
// names no request.
TEST_CASE("edge peer answer: a refusal of another instance refuses no request that it does not name")
{
    faulty_peer_fixture fixture;
    REQUIRE(fixture.is_ready);
    const std::vector<server_behavior> own_answers = {
        server_behavior::serve,     server_behavior::fail,    server_behavior::cut_head,
        server_behavior::cut_short, server_behavior::spoiled, server_behavior::reset_unanswered,
        server_behavior::too_large, server_behavior::silent,
    };
    fixture.peer->cut_after_bytes = 30;
    fixture.peer->service_ms = 10;
    std::size_t sends = 0;
    for (const unsigned status : {503U, 429U, 421U, 200U}) {
        for (const server_behavior own_answer : own_answers) {
            const std::string name =
                std::to_string(status) + "-" + std::to_string(static_cast<int>(own_answer));
            fixture.ask_at(0, make_request(http::verb::post, "/seal/1", name + "-first", "x"));
            standins::set_script(*fixture.peer, {own_answer});
            standins::set_stale_answers(*fixture.peer,
                                        {stale_time::during_execution,
                                         standins::format_answer(status, name + "-first", "earlier",
                                                                 "Earlier: 1\r\nNot-Executed: 1\r\n"),
                                         1});
            const std::string attempt = name + "-second";
            const auto answer = fixture.ask_at(0, make_request(http::verb::post, "/seal/1", attempt, "x"));
            standins::set_stale_answers(*fixture.peer, {});
            standins::set_script(*fixture.peer, {});
            CAPTURE(attempt, answer.result_int(), answer.body());
            CHECK(fixture.sends_of(attempt) <= 1);
            CHECK((fixture.sends_of(attempt) == 0 ||
                   !camphorknot::steering::promises_not_run(answer.result_int())));
            CHECK(answer.count("Earlier") == 0);
            CHECK((answer.result_int() == 200) == (own_answer == server_behavior::serve));
            sends += fixture.sends_of(attempt);
        }
    }
    CHECK(sends == 4 * own_answers.size());
    fixture.peer->omits_attempt = true;
    for (const server_behavior behavior :
         {server_behavior::shed, server_behavior::refuse_unproved, server_behavior::other_server}) {
        const std::string attempt = "u" + std::to_string(static_cast<int>(behavior));
        standins::set_script(*fixture.peer, {behavior});
        const auto answer = fixture.ask_at(0, make_request(http::verb::post, "/seal/1", attempt, "x"));
        CAPTURE(attempt, answer.result_int(), answer.body());
        CHECK(fixture.sends_of(attempt) == 1);
        CHECK(!camphorknot::steering::promises_not_run(answer.result_int()));
    }
}
