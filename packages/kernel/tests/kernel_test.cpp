#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

#include "camphorknot/kernel.hpp"

using namespace camphorknot;

TEST_CASE("kernel: services stop in reverse order, also when one cannot start", "[kernel]")
{
    // Guards against services left running after a later service failed to start.
    service_registry services;
    std::string steps;
    const auto make = [&steps](char name, bool works) {
        service made;
        made.start = [&steps, name, works] {
            steps += name;
            return works;
        };
        made.stop = [&steps, name] { steps += static_cast<char>(name - 'a' + 'A'); };
        return made;
    };
    REQUIRE(register_service(services, "first", make('a', true)));
    REQUIRE(register_service(services, "second", make('b', true)));
    REQUIRE(register_service(services, "third", make('c', false)));
    CHECK_FALSE(register_service(services, "first", make('d', true)));
    CHECK(start_services(services) == "third");
    CHECK(steps == "abcBA");
    CHECK_FALSE(send_message(services, "first", std::any(1)));
}

TEST_CASE("kernel: an event is one JSON line without secrets", "[kernel]")
{
    // Guards against log injection through line breaks in values, and against keys in the log.
    const std::string line = format_event("t", log_severity::warning, "peer_refused",
                                          {{"peer", "a\n{\"event\":\"x\"}"}, {"key", "k1"}});
    CHECK(line.find('\n') == std::string::npos);
    CHECK(line.find("k1") == std::string::npos);
    CHECK(line.find(R"("event":"peer_refused","peer":"a\n)") != std::string::npos);
}

// The program closes its log while its other threads still run. The thread sanitizer shows the access.
TEST_CASE("kernel: the log closes while another thread logs", "[kernel]")
{
    const std::filesystem::path directory =
        std::filesystem::temp_directory_path() / ("camphorknot-log-" + std::to_string(::getpid()));
    std::filesystem::create_directories(directory);
    std::atomic<bool> running{true};
    std::atomic<std::size_t> logged{0};
    REQUIRE(open_log(directory.string()));
    std::thread other([&] {
        while (running) {
            log_event(log_severity::info, "tick", {});
            ++logged;
        }
    });
    while (logged < 100) {
        std::this_thread::yield();
    }
    close_log();
    const std::size_t logged_before = logged;
    while (logged < logged_before + 100) {
        std::this_thread::yield();
    }
    running = false;
    other.join();
    std::ifstream file(directory / "camphorknotd.jsonl");
    std::size_t lines = 0;
    for (std::string line; std::getline(file, line);) {
        ++lines;
        CHECK(line.back() == '}');
    }
    CHECK(lines >= 100);
    CHECK(lines <= logged_before + 1);
    std::filesystem::remove_all(directory);
}

TEST_CASE("kernel: the metrics page counts every observation once", "[kernel]")
{
    // Guards against durations outside the histogram's range missing from its count.
    const metrics_handle registry = make_metrics();
    latency_histogram& histogram = latency(*registry, "wait_seconds", "route=\"a\"");
    observe(histogram, std::chrono::microseconds(1));
    observe(histogram, std::chrono::milliseconds(20));
    observe(histogram, std::chrono::hours(1));
    const refusal_counters refusals = make_refusal_counters(*registry, "refusals_total");
    count_refusal(refusals, refusal_reason::rate_exceeded);
    count_refusal(refusals, refusal_reason::none);
    const std::string text = metrics_page(*registry);
    CHECK(text.find("wait_seconds_bucket{route=\"a\",le=\"0.0001\"} 1\n") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{route=\"a\",le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("wait_seconds_count{route=\"a\"} 3\n") != std::string::npos);
    CHECK(text.find("refusals_total{reason=\"rate_exceeded\"} 1\n") != std::string::npos);
}
