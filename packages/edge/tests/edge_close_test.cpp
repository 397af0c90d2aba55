// Answers that are still on their way when the instance closes the connection.
#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <sstream>

#include "edge_fixture.hpp"

using namespace edge_tests;
using steady = std::chrono::steady_clock;

namespace {

constexpr unsigned not_answered = 0;

std::string to_text(const caller_request& request)
{
    std::ostringstream text;
    text << request;
    return text.str();
}

/// A caller's connection with a small receive buffer.
struct slow_caller {
    boost::asio::io_context context;
    tcp::socket socket{context};
    std::string received;
    bool is_closed = false;

    explicit slow_caller(std::uint16_t port)
    {
        socket.open(tcp::v4());
        socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        socket.connect(tcp::endpoint(boost::asio::ip::make_address(local_ip()), port));
    }

    /// @return whether the connection took the bytes.
    bool send(std::string_view text)
    {
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(text), error);
        return !error;
    }

    /// Reads what has come, up to @p limit bytes.
    void read_some(std::size_t limit)
    {
        std::string bytes(limit, '\0');
        boost::system::error_code error;
        const std::size_t count = socket.read_some(boost::asio::buffer(bytes), error);
        received.append(bytes, 0, count);
        is_closed = error.failed();
    }

    void read_to_end()
    {
        while (!is_closed) {
            read_some(4096);
        }
    }

    /// @return the status and the size of the body if the answer is complete.
    std::pair<unsigned, std::size_t> parse() const
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        boost::system::error_code error;
        parser.eager(true);
        parser.put(boost::asio::buffer(received), error);
        return parser.is_done() ? std::pair(parser.get().result_int(), parser.get().body().size())
                                : std::pair(not_answered, std::size_t{0});
    }
};

} // namespace

// Guards against an answer whose end is lost since the caller sent a further request that is not read.
TEST_CASE("edge close: a caller that reads slowly gets all of the answer after which the connection closes")
{
    const bool in_stop = GENERATE(false, true);
    const bool sends_more = GENERATE(false, true);
    CAPTURE(in_stop, sends_more);
    edge_fixture fixture;
    constexpr std::size_t body_bytes = 300'000;
    fixture.servers.front()->answer_bytes = body_bytes;
    fixture.servers.front()->service_ms = 300;
    caller_request request = make_request(http::verb::get, "/find/1", "slow");
    request.keep_alive(in_stop);
    slow_caller connection(fixture.settings.front.port);
    REQUIRE(connection.send(to_text(request)));
    if (in_stop) {
        std::this_thread::sleep_for(100ms);
        camphorknot::edge::begin_stop(*fixture.running);
    }
    std::this_thread::sleep_for(700ms); // The answer has been written as far as the buffers took it.
    if (sends_more) {
        connection.send(to_text(make_request(http::verb::get, "/find/2", "next")));
    }
    while (!connection.is_closed && connection.received.size() < body_bytes) {
        connection.read_some(4096);
        std::this_thread::sleep_for(10ms);
    }
    connection.read_to_end();
    const auto [status, size] = connection.parse();
    CHECK(status == 200);
    CHECK(size == body_bytes);
}

// Guards against a caller that learns of a refusal only as a reset connection, while it sends a long body.
TEST_CASE("edge close: a caller on a slow link may send the rest of a body that was refused")
{
    edge_fixture fixture;
    constexpr std::size_t rest_bytes = 500'000; // Four seconds at 1 Mbit/s.
    constexpr std::size_t piece_bytes = 12'500; // A tenth of a second.
    slow_caller connection(fixture.settings.front.port);
    REQUIRE(connection.send("POST /basket/1 HTTP/1.1\r\nHost: seals.example\r\nAttempt-Id: refused\r\n"
                            "Authorization: Token key-one\r\nContent-Length: 2000000\r\n\r\n"));
    std::size_t sent = 0;
    const std::string piece(piece_bytes, 'x');
    while (sent < rest_bytes) {
        std::this_thread::sleep_for(100ms);
        if (!connection.send(piece)) {
            break;
        }
        sent += piece_bytes;
    }
    CHECK(sent >= rest_bytes);
    connection.read_to_end();
    CHECK(connection.parse().first == 413);
}

// Guards against a time limit for the whole answer, in which a long one cannot be read.
TEST_CASE("edge close: an answer that takes longer than the write timeout is complete if the caller reads on")
{
    edge_fixture fixture;
    constexpr std::size_t body_bytes = 10'000'000;
    constexpr std::size_t bytes_per_s = 650'000;
    fixture.servers.front()->answer_bytes = body_bytes;
    caller_request request = make_request(http::verb::get, "/manual/1", "long");
    request.keep_alive(false);
    slow_caller connection(fixture.settings.front.port);
    REQUIRE(connection.send(to_text(request)));
    const auto started = steady::now();
    while (!connection.is_closed) {
        const auto allowed = bytes_per_s * static_cast<std::size_t>((steady::now() - started) / 10ms) / 100;
        while (!connection.is_closed && connection.received.size() < allowed) {
            connection.read_some(65536);
        }
        std::this_thread::sleep_for(10ms);
    }
    CHECK(steady::now() - started > 12s);
    const auto [status, size] = connection.parse();
    CHECK(status == 200);
    CHECK(size == body_bytes);
}

// Guards against a half-close that is taken for the end of the connection while a target works.
TEST_CASE("edge close: a caller that sends no more gets the answer of a target that takes a second")
{
    const std::string head = GENERATE(std::string("GET /find/1"), "POST /seal/1", "POST /basket/1");
    const std::string body = head.front() == 'P' ? std::string(2000, 'x') : "";
    CAPTURE(head);
    edge_fixture fixture;
    fixture.servers.front()->service_ms = 950;
    slow_caller connection(fixture.settings.front.port);
    REQUIRE(connection.send(head +
                            " HTTP/1.1\r\nHost: seals.example\r\nAttempt-Id: half\r\nDeadline-Ms: 3000\r\n" +
                            "Authorization: Token key-one\r\nContent-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body));
    connection.socket.shutdown(tcp::socket::shutdown_send);
    connection.read_to_end();
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    if (connection.received.starts_with(interim)) {
        connection.received.erase(0, interim.size());
    }
    CHECK(connection.parse().first == 200);
    CHECK(fixture.runs_of("half") == 1);
}
