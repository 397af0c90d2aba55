// Test fixture: the log of this process, as read by camphorknotctl.
#pragma once

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

#include "camphorknot/client/explain.hpp"
#include "camphorknot/kernel/log.hpp"
#include "edge_fixture.hpp"

namespace edge_tests {

/// Writes the log of this process to a temporary directory.
struct captured_log {
    std::filesystem::path directory =
        std::filesystem::temp_directory_path() / ("camphorknot-log-" + std::to_string(::getpid()));

    captured_log()
    {
        std::filesystem::remove_all(directory);
        std::filesystem::create_directories(directory);
        REQUIRE(camphorknot::open_log(directory.string()));
    }
    ~captured_log()
    {
        camphorknot::close_log();
        std::filesystem::remove_all(directory);
    }
    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;

    camphorknot::client::collected_logs read() const
    {
        camphorknot::client::collected_logs logs;
        std::ifstream log_file(directory / "camphorknotd.jsonl");
        camphorknot::client::read_log(log_file, "edge-1", logs);
        CHECK(logs.unreadable == 0);
        return logs;
    }

    /// @return the lines of this event so far, of all requests if @p request is empty.
    std::vector<camphorknot::client::log_line> lines_of(const std::string& event,
                                                        const std::string& request = "") const
    {
        std::vector<camphorknot::client::log_line> lines = read().lines;
        std::erase_if(lines, [&](const auto& line) {
            const auto named = line.fields.find("request");
            const bool is_about = named != line.fields.end() && named->second == request;
            return line.event != event || (!request.empty() && !is_about);
        });
        return lines;
    }

    camphorknot::client::explanation explain(const std::string& request) const
    {
        return camphorknot::client::explain_request(read().lines, request);
    }

    // Waits, since the log line of a request may be written after its answer.
    std::string cause_of(const std::string& request) const
    {
        eventually([&] { return !explain(request).cause.empty(); });
        return explain(request).cause;
    }
};

} // namespace edge_tests
