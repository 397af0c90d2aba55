/// @file
/// Finds the cause of a failed request in the log lines of several instances.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphorknot::client {

/// One line of an instance's log.
struct log_line {
    std::string time; ///< UTC, ISO 8601 with microseconds; compares as text.
    std::string instance;
    std::string event;
    std::map<std::string, std::string> fields; ///< Further ones, by name.
};

/// What was read from log files.
struct collected_logs {
    std::vector<log_line> lines;
    std::size_t unreadable = 0; ///< Lines that are not JSON objects with time and event.
};

/// Adds the JSON lines of one instance.
/// @param source its name until a line says it, usually the file's name.
void read_log(std::istream& in, const std::string& source, collected_logs& into);

/// What is known of one request.
struct explanation {
    std::vector<log_line> lines; ///< Of the request, and what the instance believed before, in order of time.
    std::string cause;           ///< One sentence; empty if no line names the request.
};

/// @param request id of the attempt.
explanation explain_request(std::span<const log_line> lines, std::string_view request);

/// What went wrong in a span of time.
struct log_summary {
    std::map<std::string, std::uint64_t> refusals;          ///< By reason.
    std::map<std::string, std::uint64_t> failed_sends;      ///< By target.
    std::map<std::string, std::uint64_t> refused_customers; ///< Refused for their rate, by customer.
    std::map<std::string, std::uint64_t> lost_dependencies; ///< By "instance: event".
    std::uint64_t lines_left_out = 0;                       ///< That the instances did not write.
};

/// @param from, to bounds in the lines' form of time, both included; empty for none.
log_summary summarize_logs(std::span<const log_line> lines, std::string_view from, std::string_view to);

} // namespace camphorknot::client
