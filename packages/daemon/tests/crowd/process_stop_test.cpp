// Stops of the program as a process of its own: what lies in the kernel when it ends counts.
#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

#include "crowd.hpp"
#include "process_fixture.hpp"

using namespace crowd_tests;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t caller_count = 8;
constexpr unsigned not_answered = 0;

process_limits with_bounds(const std::string& bounds)
{
    process_limits limits;
    limits.bounds = bounds;
    return limits;
}

std::future<unsigned> send_request(const process_fixture& process)
{
    const std::string request = make_head("GET", "") + "\r\n";
    return std::async(std::launch::async, ask_for_status, process.instance_ip, request, front_port);
}

// Waits until the server has begun to run a request.
void wait_for_run(process_fixture& process, std::size_t runs_before)
{
    for (int step = 0; step < 500; ++step) {
        if (standins::received_requests(*process.server).size() > runs_before) {
            return;
        }
        std::this_thread::sleep_for(10ms);
    }
}

// Callers send requests while the process is not scheduled, for longer than a machine in good order delays
// it. Returns the statuses of their answers.
std::vector<unsigned> ask_while_suspended(const process_fixture& process, steady::time_point suspended_at)
{
    std::this_thread::sleep_until(suspended_at);
    kill(process.pid, SIGSTOP);
    std::this_thread::sleep_for(50ms);
    std::vector<std::future<unsigned>> answers;
    answers.reserve(caller_count);
    for (std::size_t number = 0; number < caller_count; ++number) {
        answers.push_back(send_request(process));
    }
    std::this_thread::sleep_for(450ms);
    kill(process.pid, SIGCONT);
    std::vector<unsigned> statuses;
    statuses.reserve(answers.size());
    for (std::future<unsigned>& answer : answers) {
        statuses.push_back(answer.get());
    }
    return statuses;
}

std::size_t count_lost(const std::vector<unsigned>& statuses)
{
    return static_cast<std::size_t>(std::ranges::count(statuses, not_answered));
}

} // namespace

// Guards against a stop that breaks off requests before the operator's time is over.
TEST_CASE("process stop: a request that lasts longer than the default stop is answered within the operator's")
{
    process_fixture process{with_bounds(R"({"grace_s":10,"strict_revoke":false})")};
    process.server->service_ms = 7000;
    const std::size_t runs_before = standins::received_requests(*process.server).size();
    std::future<unsigned> answer = send_request(process);
    wait_for_run(process, runs_before);
    const auto began_at = steady::now();
    kill(process.pid, SIGTERM);
    CHECK(answer.get() == 200);
    CHECK(process.ends_by_itself());
    CHECK(steady::now() - began_at < 10s);
}

// Guards against an end of the process that resets connections whose requests it has not read.
TEST_CASE("process stop: requests that come while the process is not scheduled are answered before it ends")
{
    process_fixture process{process_limits{}};
    process.server->service_ms = 100;
    const auto began_at = steady::now();
    kill(process.pid, SIGTERM);
    const auto statuses = ask_while_suspended(process, began_at + 2900ms);
    CHECK(count_lost(statuses) == 0);
    CHECK(process.ends_by_itself());
}

// Guards against a listening socket that is closed while connections wait in its backlog.
TEST_CASE("process stop: requests that wait for their connections to be accepted are answered")
{
    process_fixture process{process_limits{}};
    process.server->service_ms = 5000;
    const std::size_t runs_before = standins::received_requests(*process.server).size();
    std::future<unsigned> running = send_request(process);
    wait_for_run(process, runs_before);
    process.server->service_ms = 1;
    const auto began_at = steady::now();
    kill(process.pid, SIGTERM);
    const auto statuses = ask_while_suspended(process, began_at + 3500ms);
    CHECK(count_lost(statuses) == 0);
    CHECK(running.get() == 200);
    CHECK(process.ends_by_itself());
}
