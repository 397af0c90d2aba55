// Requests that are in progress, or arrive, while an instance stops. Times are fractions of the stop time.
#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>

#include "edge_fixture.hpp"

using namespace edge_tests;
using standins::server_behavior;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr unsigned not_answered = 0;

/// An instance with one server that stops as a process does: its connections are closed when the stop ends.
struct stop_fixture : edge_fixture {
    milliseconds stop_time;
    steady::time_point began_at;
    std::future<milliseconds> ended; ///< Time from the signal to the end.

    explicit stop_fixture(milliseconds time) : edge_fixture(0), stop_time(time)
    {
        add_server("i-1");
        settings.bounds.stop_time = time;
        start();
    }

    void begin_stop()
    {
        began_at = steady::now();
        camphorknot::edge::begin_stop(*running);
        ended = std::async(std::launch::async, [this] {
            camphorknot::edge::wait_until_stopped(*running, 2 * stop_time);
            running.reset();
            return std::chrono::duration_cast<milliseconds>(steady::now() - began_at);
        });
    }

    /// Waits until this fraction of the stop time is over.
    void wait_until(double fraction) const
    {
        std::this_thread::sleep_until(began_at +
                                      std::chrono::duration_cast<milliseconds>(stop_time * fraction));
    }
};

caller_request post_basket(const std::string& attempt)
{
    caller_request request = make_request(http::verb::post, "/basket/1", attempt, std::string(200, 'x'));
    request.set("Deadline-Ms", "30000");
    return request;
}

std::string to_text(const caller_request& request)
{
    std::ostringstream text;
    text << request;
    return text.str();
}

struct outcome {
    unsigned status = not_answered;
    bool closes = false; ///< The answer announces that the connection is closed.
    bool has_retry_after = false;
    steady::time_point at{};
};

outcome read_outcome(caller& connection)
{
    caller_response answer;
    boost::system::error_code error;
    http::read(connection.stream, connection.buffer, answer, error);
    outcome seen;
    seen.at = steady::now();
    if (!error) {
        seen = {answer.result_int(), !answer.keep_alive(), answer.count(http::field::retry_after) == 1,
                seen.at};
    }
    return seen;
}

void send_text(caller& connection, std::string_view text)
{
    boost::system::error_code ignored; // The outcome shows it.
    boost::asio::write(connection.stream.socket(), boost::asio::buffer(text), ignored);
}

/// The instance learns how long the target takes on the route.
void learn_service_time(const stop_fixture& fixture, milliseconds time)
{
    fixture.servers.front()->service_ms = static_cast<int>(time.count());
    for (int number = 0; number < 2; ++number) {
        caller_request request = post_basket("learn-" + std::to_string(number));
        CHECK(fixture.ask(request).result_int() == 200);
    }
}

} // namespace

// Guards against a request that is sent when its body is complete, late in the stop, and cut at the end.
TEST_CASE("edge stop: a request whose body ends late is refused, not sent to a target that takes longer")
{
    const bool from_peer = GENERATE(false, true);
    stop_fixture fixture(4s);
    fixture.servers.front()->service_ms = 2500;
    caller connection(from_peer ? fixture.settings.relay.port : fixture.settings.front.port);
    fixture.begin_stop();
    fixture.wait_until(0.4);
    const std::string text = to_text(post_basket("late-body"));
    send_text(connection, std::string_view(text).substr(0, text.size() - 10));
    fixture.wait_until(0.7);
    send_text(connection, std::string_view(text).substr(text.size() - 10));
    const outcome seen = read_outcome(connection);
    CAPTURE(from_peer);
    CHECK(seen.status == 503);
    CHECK(seen.closes);
    CHECK(seen.has_retry_after);
    CHECK(fixture.runs_of("late-body") == 0);
    CHECK(fixture.ended.get() <= fixture.stop_time);
}

// Guards against a request that must not run twice and runs at a target that is known to take longer than the
// rest of the stop.
TEST_CASE("edge stop: a request is not sent if its target is known to take longer than what is left")
{
    stop_fixture fixture(4s);
    learn_service_time(fixture, 2500ms);
    caller connection(fixture.settings.front.port);
    fixture.begin_stop();
    fixture.wait_until(0.4);
    send_text(connection, to_text(post_basket("whole")));
    const outcome seen = read_outcome(connection);
    CHECK(seen.status == 503);
    CHECK(seen.closes);
    CHECK(seen.at - fixture.began_at < fixture.stop_time / 2);
    CHECK(fixture.runs_of("whole") == 0);
    CHECK(fixture.ended.get() <= fixture.stop_time);
}

// Guards against refusals without need: the target of a late body answers in time.
TEST_CASE("edge stop: a request whose body ends late is served by a target that is known to be fast")
{
    stop_fixture fixture(4s);
    learn_service_time(fixture, 20ms);
    caller connection(fixture.settings.front.port);
    fixture.begin_stop();
    fixture.wait_until(0.4);
    const std::string text = to_text(post_basket("fast"));
    send_text(connection, std::string_view(text).substr(0, text.size() - 10));
    fixture.wait_until(0.6);
    send_text(connection, std::string_view(text).substr(text.size() - 10));
    CHECK(read_outcome(connection).status == 200);
    CHECK(fixture.ended.get() <= fixture.stop_time);
}

// Guards against connections that are closed without an answer at the end, and an end after the stop time.
TEST_CASE("edge stop: requests that are at a target at the end are answered before the end")
{
    const auto stop_time = GENERATE(2000ms, 4000ms);
    stop_fixture fixture(stop_time);
    fixture.servers.front()->default_behavior = server_behavior::silent;
    std::vector<std::unique_ptr<caller>> callers;
    for (int number = 0; number < 8; ++number) {
        const std::uint16_t port =
            number % 2 == 0 ? fixture.settings.front.port : fixture.settings.relay.port;
        callers.push_back(std::make_unique<caller>(port));
        send_text(*callers.back(), to_text(post_basket("end-" + std::to_string(number))));
    }
    REQUIRE(eventually([&] { return fixture.runs_of("end-7") == 1; }));
    fixture.begin_stop();
    for (auto& connection : callers) {
        const outcome seen = read_outcome(*connection);
        CHECK(seen.status == 504);
        CHECK(seen.closes);
        // A target's silence is no reason to end its work early.
        CHECK(seen.at - fixture.began_at > fixture.stop_time * 3 / 4);
    }
    CHECK(fixture.ended.get() <= fixture.stop_time);
}

// Guards against a request whose body does not end and whose connection is closed without an answer.
TEST_CASE("edge stop: a request whose body is still coming is refused when it cannot be sent any more")
{
    const auto stop_time = GENERATE(2000ms, 4000ms);
    const double first_byte = GENERATE(0.3, 0.55);
    stop_fixture fixture(stop_time);
    caller busy(fixture.settings.front.port); // An instance without requests may end earlier.
    fixture.begin_stop();
    fixture.wait_until(0.25); // The limit for the time of a head lies after the end of the stop.
    send_text(busy, "POST /basket/1 HTTP/1.1\r\n");
    // The rest comes in small pieces, so that unread bytes would reset the connection.
    const std::string text = to_text(post_basket("endless"));
    std::size_t sent = text.size() - 190;
    fixture.wait_until(first_byte);
    caller connection(fixture.settings.front.port); // An idle one would be closed before the first byte.
    send_text(connection, std::string_view(text).substr(0, sent));
    std::atomic<bool> done{false};
    std::thread writer([&] {
        while (!done && sent + 1 < text.size()) {
            send_text(connection, std::string_view(text).substr(sent++, 1));
            std::this_thread::sleep_for(20ms);
        }
    });
    const outcome seen = read_outcome(connection);
    done = true;
    writer.join();
    CAPTURE(stop_time.count(), first_byte);
    CHECK(seen.status == 503);
    CHECK(seen.closes);
    CHECK(seen.at - fixture.began_at < fixture.stop_time);
    CHECK(fixture.runs_of("endless") == 0);
    CHECK(read_outcome(busy).status == 503);
    CHECK(fixture.ended.get() <= fixture.stop_time);
}

// Guards against a second signal that extends the stop beyond the time at which the process is killed.
TEST_CASE("edge stop: a second signal does not restart the stop time")
{
    stop_fixture fixture(2s);
    fixture.servers.front()->default_behavior = server_behavior::silent;
    caller connection(fixture.settings.front.port);
    send_text(connection, to_text(post_basket("twice")));
    REQUIRE(eventually([&] { return fixture.runs_of("twice") == 1; }));
    fixture.begin_stop();
    fixture.wait_until(0.5);
    camphorknot::edge::begin_stop(*fixture.running);
    CHECK(read_outcome(connection).status == 504);
    CHECK(fixture.ended.get() <= fixture.stop_time);
}

// Guards against a stop without requests that lasts longer than a short stop time.
TEST_CASE("edge stop: an idle instance ends within its stop time")
{
    const auto stop_time = GENERATE(2000ms, 4000ms);
    stop_fixture fixture(stop_time);
    const caller idle(fixture.settings.front.port);
    fixture.begin_stop();
    CHECK(fixture.ended.get() <= fixture.stop_time);
}

// Guards against a kept connection that is closed on a request which was read, and against answers that are
// lost with a configuration change during the stop.
TEST_CASE("edge stop: each request on a kept connection during a stop is answered or was not read")
{
    const auto stop_time = GENERATE(2000ms, 4000ms, 10000ms);
    stop_fixture fixture(stop_time);
    learn_service_time(fixture, 30ms);
    fixture.begin_stop();
    constexpr int caller_count = 6;
    std::vector<std::thread> threads;
    threads.reserve(caller_count);
    std::atomic<int> answered{0};
    std::atomic<int> lost{0};
    for (int number = 0; number < caller_count; ++number) {
        threads.emplace_back([&, number] {
            int next = 0;
            try {
                while (true) { // Until the listener is closed.
                    caller connection(fixture.settings.front.port);
                    outcome seen{200, false, false, {}};
                    while (!seen.closes && seen.status != not_answered) {
                        std::this_thread::sleep_for(100ms);
                        const std::string attempt =
                            "k" + std::to_string(number) + "-" + std::to_string(next++);
                        caller_request request = post_basket(attempt);
                        if (number % 2 == 0) {
                            request.target("/find/" + attempt);
                            request.method(http::verb::get);
                        }
                        send_text(connection, to_text(request));
                        seen = read_outcome(connection);
                        answered += seen.status == not_answered ? 0 : 1;
                        lost += seen.status == not_answered && fixture.runs_of(attempt) > 0 ? 1 : 0;
                        lost += seen.status == 504 || seen.status == 502 ? 1 : 0;
                    }
                }
            } catch (const boost::system::system_error&) {
                // The listener is closed.
            }
        });
    }
    fixture.wait_until(0.2);
    standins::put_row(*fixture.store, "op", "config", configuration_row(2, one_customer));
    for (std::thread& thread : threads) {
        thread.join();
    }
    CHECK(lost == 0);
    CHECK(answered > 20);
    CHECK(fixture.ended.get() <= fixture.stop_time);
}

// Guards against an early request that is lost since its own time is longer than the stop.
TEST_CASE("edge stop: a request that comes early in a stop and takes long gets an answer")
{
    stop_fixture fixture(4s);
    learn_service_time(fixture, 1600ms);
    caller connection(fixture.settings.front.port);
    caller_request request = post_basket("early");
    request.target("/find/1");
    request.method(http::verb::get);
    request.set("Deadline-Ms", "30000");
    fixture.begin_stop();
    fixture.wait_until(0.1);
    send_text(connection, to_text(request));
    const outcome seen = read_outcome(connection);
    CHECK(seen.status != not_answered);
    CHECK(fixture.ended.get() <= fixture.stop_time);
}
