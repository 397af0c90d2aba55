// Requests that end the targets that run them, and the requests beside them.
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "fleet_fixture.hpp"

using namespace edge_tests;
using clock_type = std::chrono::steady_clock;

namespace {

// An instance that receives messages has learned by then what the others know.
constexpr auto spread_time = 3s;
// Sends of the request after that time, over all instances.
constexpr std::size_t max_later_sends = 3;

bool is_refused_as_condemned(const caller_response& answer)
{
    return answer.result_int() == 503 && answer.body().find("request_condemned") != std::string::npos;
}

/// A fleet whose servers end at each request with a marker and start again, as a new incarnation.
struct crash_fixture : fleet_fixture {
    crash_fixture(int server_count, int instance_count,
                  const std::vector<std::string>& target_domains = {"rvk-a"})
        : fleet_fixture(server_count, instance_count, target_domains)
    {
        for (std::size_t number = 0; number < servers.size(); ++number) {
            standins::server_standin* server = servers.at(number).get();
            // Of the fixture it uses the store only, which outlives the servers.
            server->on_restart = [this, server, domain = server_domains.at(number % server_domains.size())] {
                standins::put_row(*store, "servers", server->id,
                                  standins::server_row("desk",
                                                       local_ip() + ":" + std::to_string(server->port),
                                                       domain, "v1", "ready", 0, 100 + server->crashes));
            };
            standins::set_crash_marker(*server, "fatal");
        }
    }

    /// @return the arrival times of the requests whose target or body contains the text, at all servers.
    std::vector<clock_type::time_point> arrivals_of(const std::string& text)
    {
        std::vector<clock_type::time_point> times;
        for (auto& server : servers) {
            for (const standins::received_request& request : standins::received_requests(*server)) {
                const bool matches = request.target.find(text) != std::string::npos ||
                                     request.body.find(text) != std::string::npos;
                if (matches) {
                    times.push_back(request.at);
                }
            }
        }
        std::ranges::sort(times);
        return times;
    }

    /// @return the number of arrivals later than spread_time after the third one had ended its server.
    std::size_t later_sends_of(const std::string& text)
    {
        const auto times = arrivals_of(text);
        if (times.size() < 3) {
            return 0;
        }
        const auto third_end = times.at(2) + std::chrono::milliseconds(servers.front()->crash_ms.load());
        return static_cast<std::size_t>(
            std::ranges::count_if(times, [&](auto at) { return at > third_end + spread_time; }));
    }

    /// Sends the request at one instance until it is refused as condemned, or ten seconds have passed.
    bool condemn_at(std::size_t instance, const caller_request& request)
    {
        int number = 0;
        return eventually([&] {
            caller_request repeated = request;
            repeated.set("Attempt-Id", "c" + std::to_string(++number));
            return is_refused_as_condemned(caller(all_settings.at(instance).front.port).ask(repeated));
        });
    }

    /// Sends the request at one instance after the other, under new attempt ids.
    void repeat(const caller_request& request, std::chrono::milliseconds time,
                std::chrono::milliseconds period)
    {
        const auto end = clock_type::now() + time;
        for (int number = 0; clock_type::now() < end; ++number) {
            const auto index = static_cast<std::size_t>(number) % all_settings.size();
            caller_request repeated = request;
            repeated.set("Attempt-Id", std::string(request["Attempt-Id"]) + std::to_string(number));
            caller(all_settings.at(index).front.port).ask(repeated);
            std::this_thread::sleep_for(period);
        }
    }

    /// Sends copies of the request at the same time, two at each instance.
    void send_copies(const caller_request& request)
    {
        std::vector<std::thread> callers;
        callers.reserve(2 * all_settings.size());
        for (std::size_t number = 0; number < 2 * all_settings.size(); ++number) {
            callers.emplace_back([&, number] {
                caller_request copy = request;
                copy.set("Attempt-Id", std::string(request["Attempt-Id"]) + std::to_string(number));
                caller(all_settings.at(number / 2).front.port).ask(copy);
            });
        }
        for (std::thread& thread : callers) {
            thread.join();
        }
    }
};

} // namespace

TEST_CASE("edge crash: a request that ends its targets reaches few of them, at any instance")
{
    crash_fixture fixture(6, 4);
    fixture.repeat(make_request(http::verb::get, "/find/fatal", "f"), 8s, 150ms);
    CHECK(fixture.arrivals_of("fatal").size() >= 3);
    CHECK(fixture.later_sends_of("fatal") <= max_later_sends);
}

TEST_CASE("edge crash: a body that ends its targets reaches few of them, other bodies are served")
{
    crash_fixture fixture(6, 4);
    std::atomic<bool> running{true};
    std::atomic<int> served{0};
    std::atomic<int> asked{0};
    std::thread other([&] {
        for (int number = 0; running; ++number) {
            caller connection(fixture.all_settings.at(static_cast<std::size_t>(number) % 4).front.port);
            ++asked;
            const auto answer = connection.ask(
                make_request(http::verb::post, "/seal/1", "o" + std::to_string(number), "harmless"));
            served += answer.result_int() == 200 ? 1 : 0;
            std::this_thread::sleep_for(20ms);
        }
    });
    fixture.repeat(make_request(http::verb::post, "/seal/1", "f", "the fatal basket"), 8s, 100ms);
    running = false;
    other.join();
    CHECK(fixture.arrivals_of("fatal").size() >= 3);
    CHECK(fixture.later_sends_of("fatal") <= max_later_sends);
    CHECK(served > asked * 9 / 10);
}

namespace {

/// Copies of a fatal request arrive at all instances at once, three times.
void check_copies_are_not_sent_again(const std::vector<std::string>& target_domains)
{
    crash_fixture fixture(12, 4, target_domains);
    constexpr auto period = spread_time + 500ms;
    for (const std::string burst : {"a", "b", "c"}) {
        fixture.send_copies(make_request(http::verb::post, "/seal/1", burst, "fatal"));
        std::this_thread::sleep_for(period);
    }
    CHECK(fixture.arrivals_of("fatal").size() >= 3);
    CHECK(fixture.later_sends_of("fatal") <= max_later_sends);
}

} // namespace

TEST_CASE("edge crash: copies of a request that end many targets at once are not sent again seconds later")
{
    check_copies_are_not_sent_again({"rvk-a", "rvk-b"});
}

// Guards against ends that are taken for an outage of the failure domain although others there are alive.
TEST_CASE("edge crash: copies that end many targets of one failure domain are not sent again seconds later")
{
    check_copies_are_not_sent_again({"rvk-a"});
}

// Guards against an instance that takes itself for cut off because the targets near the ended one are down.
TEST_CASE("edge crash: a request that ends its targets reaches few of them where most targets are down")
{
    crash_fixture fixture(12, 2, {"rvk-a", "rvk-b"});
    for (const std::size_t down : {0, 2, 4, 10, 1, 3, 9, 11}) { // Four of six in each failure domain.
        fixture.servers.at(down)->restart_ms = -1;
        standins::end_server(*fixture.servers.at(down));
    }
    fixture.repeat(make_request(http::verb::get, "/find/fatal", "f"), 8s, 150ms);
    CHECK(fixture.arrivals_of("fatal").size() >= 3);
    CHECK(fixture.later_sends_of("fatal") <= max_later_sends);
}

TEST_CASE("edge crash: the refusal of a condemned request is at once, true, and names a time")
{
    crash_fixture fixture(6, 1);
    const caller_request fatal = make_request(http::verb::post, "/seal/1", "f", "fatal");
    REQUIRE(fixture.condemn_at(0, fatal));
    const std::size_t sends = fixture.arrivals_of("fatal").size();
    caller_request repeated = fatal;
    repeated.set("Attempt-Id", "last");
    const auto asked_at = clock_type::now();
    const caller_response answer = fixture.ask(repeated);
    CHECK(is_refused_as_condemned(answer));
    CHECK(clock_type::now() - asked_at < 500ms);
    CHECK(std::stod(std::string(answer[http::field::retry_after])) > 60);
    CHECK(fixture.runs_of("last") == 0);
    CHECK(fixture.arrivals_of("fatal").size() == sends);
}

TEST_CASE("edge crash: another customer, body, query or host is another request")
{
    crash_fixture fixture(6, 1);
    const caller_request fatal = make_request(http::verb::post, "/seal/1?a=1", "f", "fatal");
    REQUIRE(fixture.condemn_at(0, fatal));
    // These servers would run the request.
    for (auto& server : fixture.servers) {
        standins::set_crash_marker(*server, "");
    }
    std::this_thread::sleep_for(1s);
    CHECK(is_refused_as_condemned(fixture.ask(fatal)));
    const auto serves = [&](const caller_request& request) {
        return eventually([&] { return fixture.ask(request).result_int() == 200; });
    };
    CHECK(serves(make_request(http::verb::post, "/seal/1?a=2", "q", "fatal")));
    CHECK(serves(make_request(http::verb::post, "/seal/1?a=1", "b", "fatam")));
    CHECK(serves(make_request(http::verb::post, "/seal/1?a=1", "s", "fatal ")));
    standins::put_row(*fixture.store, "op", "config",
                      configuration_row(2, one_customer +
                                               R"({"resource_kind":"tenants","metadata":{"name":"geysir"},
                                                   "spec":{"api_keys":["key-two"],"rate_per_s":0,"burst":0}},)"));
    caller_request other = fatal;
    other.set("Attempt-Id", "t");
    other.set(http::field::authorization, "Token key-two");
    CHECK(serves(other));
    CHECK(is_refused_as_condemned(fixture.ask(fatal)));
}

TEST_CASE(
    "edge crash: the verdict survives the instance that saw the ends, and reaches one that starts later")
{
    crash_fixture fixture(6, 4);
    const caller_request fatal = make_request(http::verb::get, "/find/fatal", "f");
    REQUIRE(fixture.condemn_at(0, fatal));
    // Its message to the others is on its way.
    std::this_thread::sleep_for(50ms);
    fixture.instances.at(0).reset();
    std::this_thread::sleep_for(spread_time);
    const std::size_t sends = fixture.arrivals_of("fatal").size();
    for (const std::size_t instance : {1, 2, 3}) {
        CHECK(is_refused_as_condemned(caller(fixture.all_settings.at(instance).front.port).ask(fatal)));
    }
    CHECK(fixture.arrivals_of("fatal").size() == sends);
    fixture.start_member(4); // Forgets the earlier arrivals.
    std::this_thread::sleep_for(spread_time);
    CHECK(is_refused_as_condemned(caller(fixture.all_settings.at(4).front.port).ask(fatal)));
    CHECK(fixture.arrivals_of("fatal").empty());
}

TEST_CASE("edge crash: answers that are lost on living targets condemn nothing")
{
    edge_fixture fixture(3);
    for (auto& server : fixture.servers) {
        server->default_behavior = standins::server_behavior::reset_after_read;
    }
    for (int number = 0; number < 12; ++number) {
        const auto answer =
            fixture.ask(make_request(http::verb::get, "/find/lost", "l" + std::to_string(number)));
        CHECK_FALSE(is_refused_as_condemned(answer));
        std::this_thread::sleep_for(100ms);
    }
    for (auto& server : fixture.servers) {
        const std::lock_guard lock(server->guard);
        server->default_behavior = standins::server_behavior::serve;
    }
    CHECK(eventually([&] {
        return fixture.ask(make_request(http::verb::get, "/find/lost", "last")).result_int() == 200;
    }));
}

TEST_CASE("edge crash: the popular request that runs at every end is not condemned")
{
    crash_fixture fixture(6, 2);
    for (auto& server : fixture.servers) {
        server->service_ms = 100;
    }
    std::atomic<bool> running{true};
    std::atomic<int> condemned{0};
    std::atomic<int> served{0};
    std::vector<std::thread> popular;
    for (std::size_t number = 0; number < 8; ++number) {
        popular.emplace_back([&, number] {
            for (int round = 0; running; ++round) {
                caller connection(fixture.all_settings.at(number % 2).front.port);
                const auto answer =
                    connection.ask(make_request(http::verb::get, "/find/popular",
                                                "p" + std::to_string(number) + "-" + std::to_string(round)));
                condemned += is_refused_as_condemned(answer) ? 1 : 0;
                served += answer.result_int() == 200 ? 1 : 0;
            }
        });
    }
    fixture.repeat(make_request(http::verb::get, "/find/fatal", "f"), 5s, 50ms);
    running = false;
    for (std::thread& thread : popular) {
        thread.join();
    }
    CHECK(condemned == 0);
    CHECK(served > 50);
    CHECK(is_refused_as_condemned(fixture.ask(make_request(http::verb::get, "/find/fatal", "last"))));
}

namespace {

// All servers end again and again while requests run, half of which are for the same object.
void check_batches_condemn_nothing(const std::vector<std::string>& target_domains,
                                   std::chrono::milliseconds between_ends = 0ms)
{
    crash_fixture fixture(6, 2, target_domains);
    for (auto& server : fixture.servers) {
        server->service_ms = 350;
        server->restart_ms = 150;
    }
    std::atomic<bool> running{true};
    std::atomic<int> condemned{0};
    constexpr int caller_count = 12;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int number = 0; number < caller_count; ++number) {
        callers.emplace_back([&, number] {
            for (int round = 0; running; ++round) {
                caller connection(fixture.all_settings.at(static_cast<std::size_t>(number) % 2).front.port);
                // Half of the callers ask for the same object, the others for one of their own.
                const std::string path = number % 2 == 0 ? "popular" : "own" + std::to_string(number);
                const std::string attempt = "b" + std::to_string(number) + "-" + std::to_string(round);
                const auto answer = connection.ask(make_request(http::verb::get, "/find/" + path, attempt));
                condemned += is_refused_as_condemned(answer) ? 1 : 0;
            }
        });
    }
    // Most runs are broken off, again and again.
    for (int batch = 0; batch < 12; ++batch) {
        std::this_thread::sleep_for(400ms);
        for (auto& server : fixture.servers) {
            standins::end_server(*server);
            std::this_thread::sleep_for(between_ends);
        }
    }
    running = false;
    for (std::thread& thread : callers) {
        thread.join();
    }
    CHECK(condemned == 0);
}

} // namespace

TEST_CASE("edge crash: batches of servers that end by themselves condemn no request")
{
    check_batches_condemn_nothing({"rvk-a"});
}

TEST_CASE("edge crash: batches of servers of two failure domains that end by themselves condemn no request")
{
    check_batches_condemn_nothing({"rvk-a", "rvk-b"});
}

// Guards against a popular request that is condemned because an instance, which reaches another server after
// the first ends of a batch only, drops the later ends.
TEST_CASE("edge crash: batches of servers that end a few milliseconds apart condemn no request")
{
    check_batches_condemn_nothing({"rvk-a", "rvk-b"}, 5ms);
}

namespace {

/// The service "vault" on servers of its own, beside the service of the fixture.
struct second_service_fixture : crash_fixture {
    second_service_fixture() : crash_fixture(2, 2)
    {
        for (auto& server : servers) {
            standins::set_crash_marker(*server, "");
        }
        for (int number = 1; number <= 4; ++number) {
            servers.push_back(standins::start_server(local_ip(), "v-" + std::to_string(number)));
            standins::server_standin* server = servers.back().get();
            server->on_restart = [this, server] { register_in_vault(*server); };
            standins::set_crash_marker(*server, "fatal");
            register_in_vault(*server);
        }
        standins::put_row(
            *store, "op", "config",
            configuration_row(2, one_customer +
                                     R"({"resource_kind":"routes","metadata":{"name":"vault"},"spec":{
            "host":"seals.example","prefix":"/vault/","route_type":"safe","timeout_s":1.0,"target_latency_s":0.6,
            "priority":2,"service":"vault","max_attempts":2}},
            {"resource_kind":"services","metadata":{"name":"vault"},"spec":{"health_path":"/health","max_conns":100}},)"));
        std::this_thread::sleep_for(2s);
    }

    void register_in_vault(standins::server_standin& server)
    {
        standins::put_row(*store, "servers", server.id,
                          standins::server_row("vault", local_ip() + ":" + std::to_string(server.port),
                                               "rvk-a", "v1", "ready", 0, 100 + server.crashes));
    }

    /// Sends the request once in 300 ms, at one instance or at all in turn.
    void send_fatal(std::chrono::milliseconds time, bool at_all)
    {
        const auto end = clock_type::now() + time;
        for (std::size_t number = 0; clock_type::now() < end; ++number) {
            const std::size_t instance = at_all ? number % all_settings.size() : 0;
            caller(all_settings.at(instance).front.port)
                .ask(make_request(http::verb::get, "/vault/fatal", "f" + std::to_string(number)));
            std::this_thread::sleep_for(300ms);
        }
    }
};

} // namespace

// Guards against a fatal request that is never refused because its service gets nothing else.
TEST_CASE("edge crash: the only request of a service, which ends its targets, reaches few of them")
{
    const bool at_all = GENERATE(false, true);
    second_service_fixture fixture;
    fixture.send_fatal(8s, at_all);
    CHECK(fixture.arrivals_of("fatal").size() >= 3);
    CHECK(fixture.later_sends_of("fatal") <= max_later_sends);
}

// Guards against evidence that is thrown away at an instance which gets no other request of the service.
TEST_CASE("edge crash: a fatal request is refused at an instance that gets no other request of the service")
{
    second_service_fixture fixture;
    std::atomic<bool> running{true};
    std::thread other([&] {
        for (int number = 0; running; ++number) {
            caller(fixture.all_settings.at(1).front.port)
                .ask(make_request(http::verb::get, "/vault/" + std::to_string(number % 8),
                                  "o" + std::to_string(number)));
            std::this_thread::sleep_for(20ms);
        }
    });
    fixture.send_fatal(8s, false);
    running = false;
    other.join();
    CHECK(fixture.arrivals_of("fatal").size() >= 3);
    CHECK(fixture.later_sends_of("fatal") <= max_later_sends);
}

// Guards against an earlier success, written before the target ends, that acquits the request which ends it.
TEST_CASE("edge crash: answers to earlier requests acquit no request that ends its targets")
{
    crash_fixture fixture(6, 2);
    const std::string earlier =
        standins::format_answer(200, "earlier", "earlier", "Server-Signature: s-earlier\r\n");
    for (auto& server : fixture.servers) {
        standins::set_stale_answers(*server, {standins::stale_time::during_request_read, earlier, 1});
    }
    fixture.repeat(make_request(http::verb::get, "/find/fatal", "f"), 8s, 150ms);
    CHECK(fixture.arrivals_of("fatal").size() >= 3);
    CHECK(fixture.later_sends_of("fatal") <= max_later_sends);
}
