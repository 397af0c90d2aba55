// Heads and trailers that take many times their bytes once they are parsed.
#include <catch2/catch.hpp>

#include "crowd.hpp"
#include "survival.hpp"

using namespace crowd_tests;

namespace {

constexpr std::size_t legal_head_bytes = 16'384;
constexpr std::size_t raised_head_bytes = 131'072;
// A piece of the crowd's text that ends with the first byte of a field.
constexpr std::size_t piece_bytes = 500;

process_limits with_raised_heads()
{
    process_limits limits;
    limits.max_head_bytes = raised_head_bytes;
    return limits;
}

// A whole request of the largest legal size, most of it short fields.
std::string make_large_head()
{
    const std::string start = make_archive_head("GET", "");
    return start + make_short_fields(legal_head_bytes - start.size() - 64) + "\r\n";
}

std::string make_chunked_start()
{
    return make_archive_head("POST", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n");
}

std::string repeat(const std::string& text, std::size_t count)
{
    std::string repeated;
    repeated.reserve(text.size() * count);
    for (std::size_t number = 0; number < count; ++number) {
        repeated += text;
    }
    return repeated;
}

} // namespace

// Guards against requests that wait and whose parsed heads are not counted.
TEST_CASE("memory under crowds: large heads of requests that wait for an answer")
{
    const std::uint16_t port = GENERATE(front_port, relay_port);
    CAPTURE(port);
    const process_fixture process{process_limits{}};
    crowd callers;
    const std::string head = make_large_head();
    send_from_crowd(callers, process.instance_ip, 600, head, head.size(), 600, 0, port);
    check_survival(process);
}

// Guards against requests that are sent ahead and whose parsed heads are not counted.
TEST_CASE("memory under crowds: large heads of requests that are sent ahead")
{
    const process_fixture process{process_limits{}};
    crowd callers;
    const std::string heads = repeat(make_large_head(), 17);
    send_from_crowd(callers, process.instance_ip, 60, heads, std::size_t{64} * 1024, 60, 0);
    check_survival(process);
}

// Guards against a limit for heads that does not count the fields which have been parsed.
TEST_CASE("memory under crowds: heads without end, a few whole fields at a time")
{
    const std::uint16_t port = GENERATE(front_port, relay_port, directory_port);
    CAPTURE(port);
    const process_fixture process{process_limits{}};
    crowd callers;
    std::string start = make_archive_head("GET", "");
    start += "Pad: " + std::string(piece_bytes - start.size() % piece_bytes - 8, 'p') + "\r\n";
    const std::string head = start + make_short_fields(150'000);
    send_from_crowd(callers, process.instance_ip, 100, head, piece_bytes, 100, 0, port,
                    std::chrono::milliseconds(10));
    check_survival(process);
}

// Guards against fields that are parsed before the head is complete and counted.
TEST_CASE("memory under crowds: large heads that stop short of their end")
{
    const process_fixture process{process_limits{}};
    crowd callers;
    send_from_crowd(callers, process.instance_ip, 2400, make_large_head(), 3500, 0, 2);
    check_survival(process);
}

// Guards against trailers that are kept with the fields of the head.
TEST_CASE("memory under crowds: large trailers of requests that wait for an answer")
{
    const process_fixture process{process_limits{}};
    crowd callers;
    const std::string request = make_chunked_start() + make_short_fields(legal_head_bytes - 400) + "\r\n";
    send_from_crowd(callers, process.instance_ip, 600, request, request.size(), 600, 0);
    check_survival(process);
}

// Guards against a field that is longer than the parser's library can store.
TEST_CASE("memory under crowds: a field of 70,000 bytes in a head or a trailer")
{
    const bool is_trailer = GENERATE(false, true);
    CAPTURE(is_trailer);
    const process_fixture process(with_raised_heads());
    crowd callers;
    const std::string field = "X-Pad: " + std::string(70'000, 'a') + "\r\n";
    const std::string request =
        (is_trailer ? make_chunked_start() + field : make_archive_head("GET", field)) + "\r\n";
    send_from_crowd(callers, process.instance_ip, 4, request, request.size(), 4, 0);
    check_survival(process);
}

// Guards against limits that no longer admit the largest legal head.
TEST_CASE("memory under crowds: one head of the largest legal size")
{
    const bool has_one_field = GENERATE(false, true);
    CAPTURE(has_one_field);
    const process_fixture process(with_raised_heads());
    set_answer(*process.archive, [](std::string_view) {
        return "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok";
    });
    const std::string start = make_archive_head("GET", "");
    const std::size_t left = raised_head_bytes - start.size() - 64;
    const std::string fields =
        has_one_field ? "X-Pad: " + std::string(left, 'a') + "\r\n" : make_short_fields(left);
    CHECK(ask_for_status(process.instance_ip, start + fields + "\r\n") == 200);
    check_bounds(process);
}

// Guards against work that grows with the square of a message: a list of hop-by-hop fields that is searched
// for each field. The ordinary request is sent once.
TEST_CASE("memory under crowds: heads with long lists of hop-by-hop fields")
{
    const process_fixture process(with_raised_heads());
    crowd callers;
    std::string tokens = "x";
    while (tokens.size() < 60'000) {
        tokens += ",x";
    }
    const std::string head =
        make_archive_head("GET", "Connection: " + tokens + "\r\n" + make_short_fields(60'000)) + "\r\n";
    send_from_crowd(callers, process.instance_ip, 200, head, head.size(), 200, 0);
    CHECK(ask_for_status(process.instance_ip, make_head("GET", "") + "\r\n") == 200);
    check_bounds(process);
}
