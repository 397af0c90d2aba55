// Callers outside of anyone's control, against the program as a process. The bounds are those of the smallest
// machine; nothing that depends on the speed of the machine is checked.
#include <catch2/catch.hpp>

#include "crowd.hpp"
#include "survival.hpp"

using namespace crowd_tests;

namespace {

constexpr std::size_t lowered_max_body = 8 * mb;
constexpr std::size_t piece_bytes = std::size_t{64} * 1024;

std::string make_endless_trailers(std::size_t size)
{
    std::string text = make_head("POST", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n");
    while (text.size() < size) {
        text += "X-Pad: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
    }
    return text;
}

} // namespace

// Guards against an input buffer that grows with trailers that do not end.
TEST_CASE("memory under crowds: trailers without end")
{
    const process_fixture process(lowered_max_body);
    crowd callers;
    send_from_crowd(callers, process.instance_ip, 8, make_endless_trailers(16 * mb), piece_bytes, 8, 0);
    check_survival(process);
}

// Guards against bodies of legal size that together need more memory than there is.
TEST_CASE("memory under crowds: many whole large bodies at once")
{
    const process_fixture process(lowered_max_body);
    crowd callers;
    const std::string upload = make_upload(std::string(lowered_max_body, 'b'), false);
    send_from_crowd(callers, process.instance_ip, 32, upload, upload.size(), 32, 0);
    check_survival(process);
}

// Guards against bodies that are counted only when they are complete.
TEST_CASE("memory under crowds: large bodies piece by piece that stop short of their end")
{
    const process_fixture process(lowered_max_body);
    crowd callers;
    const std::string body(lowered_max_body, 'b');
    send_from_crowd(callers, process.instance_ip, 24, make_upload(body, false), piece_bytes, 4, 64);
    send_from_crowd(callers, process.instance_ip, 24, make_upload(body, true), piece_bytes, 4, 64);
    check_survival(process);
}

// Guards against small bodies whose number makes them large, and against the memory of each connection.
TEST_CASE("memory under crowds: many connections with a part of a small body")
{
    const process_fixture process(lowered_max_body);
    crowd callers;
    const std::string upload = make_upload(std::string(64'000, 'b'), false);
    send_from_crowd(callers, process.instance_ip, 2400, upload, piece_bytes, 0, 16'000);
    check_survival(process);
}

// Guards against copies of a body, and against limits that no longer admit the largest legal one.
TEST_CASE("memory under crowds: one request of the largest legal size")
{
    const bool is_chunked = GENERATE(false, true);
    CAPTURE(is_chunked);
    const process_fixture process(64 * mb);
    const std::string upload = make_upload(std::string(64 * mb, 'b'), is_chunked);
    CHECK(ask_for_status(process.instance_ip, upload) == 200);
    check_bounds(process);
}
