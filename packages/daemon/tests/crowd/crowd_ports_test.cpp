// The ports beside that of the callers, against clients that should not be there.
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "crowd.hpp"
#include "survival.hpp"

using namespace crowd_tests;

namespace {

constexpr std::size_t piece_bytes = std::size_t{64} * 1024;
// Largest frame between instances.
constexpr std::size_t frame_bytes = 8 * mb;

std::string make_lookup(const std::string& fields)
{
    return "GET /-/resolve?name=x&region=rvk&zone=rvk-a HTTP/1.1\r\nHost: directory.example\r\n" + fields;
}

std::string make_chunked_lookup()
{
    return make_lookup("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n");
}

// A message between instances with its length in network byte order.
std::string make_frame(const std::string& content, std::size_t stated_bytes)
{
    std::string frame;
    for (unsigned shift = 32; shift > 0; shift -= 8) {
        frame += static_cast<char>((stated_bytes >> (shift - 8)) & 0xffU);
    }
    return frame + content;
}

void check_service_ports(const process_fixture& process)
{
    CHECK(ask_for_status(process.instance_ip, make_lookup("\r\n"), directory_port) == 200);
    CHECK(ask_for_status(process.instance_ip, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", readiness_port) ==
          200);
    CHECK(ask_for_status(process.instance_ip, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", metrics_port) ==
          200);
}

} // namespace

// Guards against an input buffer without a limit.
TEST_CASE("memory under crowds: trailers without end at the ports for look-ups, checks and metrics")
{
    const std::uint16_t port = GENERATE(directory_port, readiness_port, metrics_port);
    CAPTURE(port);
    const process_fixture process{process_limits{}};
    crowd callers;
    std::string text = make_chunked_lookup();
    while (text.size() < 16 * mb) {
        text += "X-Pad: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
    }
    send_from_crowd(callers, process.instance_ip, 8, text, piece_bytes, 8, 0, port);
    check_survival(process);
    check_service_ports(process);
}

// Guards against a field that is longer than the parser's library can store.
TEST_CASE("memory under crowds: a trailer of 70,000 bytes at the ports for look-ups, checks and metrics")
{
    const std::uint16_t port = GENERATE(directory_port, readiness_port, metrics_port);
    CAPTURE(port);
    const process_fixture process{process_limits{}};
    crowd callers;
    const std::string text = make_chunked_lookup() + "X-Pad: " + std::string(70'000, 'a') + "\r\n\r\n";
    send_from_crowd(callers, process.instance_ip, 4, text, text.size(), 4, 0, port);
    check_survival(process);
    check_service_ports(process);
}

// Guards against chunk extensions and chunks without end there.
TEST_CASE("memory under crowds: chunks without end at the ports for look-ups, checks and metrics")
{
    const std::uint16_t port = GENERATE(directory_port, readiness_port, metrics_port);
    const bool is_extension = GENERATE(false, true);
    CAPTURE(port, is_extension);
    const process_fixture process{process_limits{}};
    crowd callers;
    std::string text = make_lookup("Transfer-Encoding: chunked\r\n\r\n");
    if (is_extension) {
        text += "5;x=" + std::string(16 * mb, 'e');
    }
    while (text.size() < 16 * mb) {
        text += "400\r\n" + std::string(0x400, 'b') + "\r\n";
    }
    send_from_crowd(callers, process.instance_ip, 8, text, piece_bytes, 8, 0, port);
    check_survival(process);
    check_service_ports(process);
}

// Guards against room that is taken for a frame before its bytes have come.
TEST_CASE("memory under crowds: announced frames at the port for other instances")
{
    const process_fixture process{process_limits{}};
    crowd peers;
    const std::string frame = make_frame("", frame_bytes);
    send_from_crowd(peers, process.instance_ip, 40, frame, frame.size(), 40, 0, peers_port);
    check_survival(process);
}

// Guards against frames that together need more memory than there is.
TEST_CASE("memory under crowds: large frames that stop short at the port for other instances")
{
    const process_fixture process{process_limits{}};
    crowd peers;
    const std::string frame = make_frame(std::string(frame_bytes, '\x01'), frame_bytes);
    send_from_crowd(peers, process.instance_ip, 40, frame, piece_bytes, 0, 64, peers_port);
    check_survival(process);
}

// Guards against values that take many times their bytes once they are decoded.
TEST_CASE("memory under crowds: frames of many small or nested values at the port for other instances")
{
    const bool is_nested = GENERATE(false, true);
    CAPTURE(is_nested);
    const process_fixture process{process_limits{}};
    crowd peers;
    std::string content =
        is_nested ? std::string(frame_bytes, '\x91') : std::string("\xdd\x00\x7f\xff\xfb", 5);
    content.resize(frame_bytes, '\xc0');
    const std::string frame = make_frame(content, frame_bytes);
    send_from_crowd(peers, process.instance_ip, 4, frame, piece_bytes, 4, 0, peers_port);
    check_survival(process);
}

// Guards against replies that queue for an instance which does not read them.
TEST_CASE("memory under crowds: replies that are not read at the port for other instances")
{
    const process_fixture process{process_limits{}};
    const std::string start =
        R"({"service":"unused","address":"127.0.0.1:1","zone":"rvk-a","config_version":"v1",)"
        R"("slots":1,"state":"ready","warmup_left_s":0,"sequence":1,"born":100,"extra":")";
    for (int number = 0; number < 40; ++number) {
        standins::put_row(*process.store, "servers", "i-unused-" + std::to_string(number),
                          start + std::string(50'000, 'x') + "\"}");
    }
    CHECK(process.serves_ordinary_request());
    // Asks for all records: for each collection the version 0, as of a negative time.
    const std::string position = std::string("\x92\x00\xcb\xbf\xf0", 5) + std::string(6, '\0');
    const std::string content = "\x92\x01\x93" + position + position + position;
    std::string frames;
    for (int number = 0; number < 12; ++number) {
        frames += make_frame(content, content.size());
    }
    std::this_thread::sleep_for(std::chrono::seconds(2)); // For the process to read the rows.
    crowd peers;
    send_from_crowd(peers, process.instance_ip, 60, frames, frames.size(), 60, 0, peers_port);
    check_survival(process);
}

// Guards against ports whose connections use up the descriptors of the process.
TEST_CASE("memory under crowds: silent connections use up the descriptors")
{
    const std::uint16_t port =
        GENERATE(front_port, relay_port, directory_port, readiness_port, metrics_port, peers_port);
    CAPTURE(port);
    process_limits limits;
    limits.descriptors = 700;
    const process_fixture process(limits);
    crowd callers;
    connect_silent_crowd(callers, process.instance_ip, port, 900);
    // A seventh is left for targets, the store and the other instances.
    const survival_bounds bounds{survival_bounds{}.resident_kb, 600};
    check_survival(process, bounds);
    check_service_ports(process);
}

// Guards against connections with a part of a request, which are not idle.
TEST_CASE("memory under crowds: connections with a part of a head use up the descriptors")
{
    const std::uint16_t port = GENERATE(front_port, relay_port, directory_port);
    CAPTURE(port);
    process_limits limits;
    limits.descriptors = 700;
    const process_fixture process(limits);
    crowd callers;
    send_from_crowd(callers, process.instance_ip, 900, make_head("GET", ""), piece_bytes, 900, 0, port);
    const survival_bounds bounds{survival_bounds{}.resident_kb, 600};
    check_survival(process, bounds);
    check_service_ports(process);
}
