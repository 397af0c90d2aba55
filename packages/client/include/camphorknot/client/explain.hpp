/// @file
/// Diagnoses failed requests from the logs of several instances.
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
    std::string time; ///< UTC, ISO 8601 with microseconds; text order is time order.
    std::string instance;
    std::string event;
    std::map<std::string, std::string> fields; ///< All other fields by name, including the severity.
};

/// Contents of several log files.
struct collected_logs {
    std::vector<log_line> lines;
    std::size_t unreadable = 0; ///< Lines skipped because they are not JSON objects with time and event.
};

/// Appends the log lines of one instance to @p logs.
/// @param source name of the instance, usually the file name; used unless a "started" line names it.
void read_log(std::istream& in, const std::string& source, collected_logs& logs);

/// Diagnosis of one request.
struct explanation {
    std::vector<log_line> lines; ///< Of the request, and the instance's state before it, by time.
    std::string cause;           ///< In one or two sentences; empty if no line explains the request.
};

/// Collects the lines of one request and derives its cause from them.
/// @param request id of the attempt, as in the field "request".
explanation explain_request(std::span<const log_line> lines, std::string_view request);

/// Counts of log lines about failures in a time range.
struct log_summary {
    std::map<std::string, std::uint64_t> refusals;          ///< By reason.
    std::map<std::string, std::uint64_t> failed_sends;      ///< By target.
    std::map<std::string, std::uint64_t> refused_customers; ///< For exceeding their rate, by customer.
    std::map<std::string, std::uint64_t> lost_dependencies; ///< By "instance: event".
    std::uint64_t lines_left_out = 0;                       ///< Suppressed by the instances' log rate limit.
};

/// Counts failures in @p lines.
/// @param from, to inclusive bounds in the format of log_line::time; empty for unbounded.
log_summary summarize_logs(std::span<const log_line> lines, std::string_view from, std::string_view to);

} // namespace camphorknot::client
