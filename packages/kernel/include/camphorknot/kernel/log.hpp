/// @file
/// Structured event log: JSON lines, written through a glog sink.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorknot {

enum class log_severity : std::uint8_t { info, warning, error };

/// Name and value of one field of an event.
using log_field = std::pair<std::string_view, std::string>;

/// Opens the log. Events logged before open_log or after close_log are dropped.
/// @param directory where the file "camphorknotd.jsonl" is appended to; empty for standard error.
/// @return false if the file cannot be opened.
bool open_log(const std::string& directory);

/// Opens the log on standard output, which becomes non-blocking. While the reader of the pipe lags too far
/// behind, lines are dropped and counted, so that the process never waits for the reader.
void open_log_on_stdout();

void close_log();

/// Limits the number of lines per event name and second. Not thread-safe.
struct log_limiter {
    struct bucket {
        std::int64_t second = 0;
        unsigned lines = 0;
        std::uint64_t suppressed_lines = 0; ///< Lines suppressed since the last one written.
    };
    unsigned lines_per_s = 20;
    std::map<std::string, bucket, std::less<>> buckets;
};

/// Like log_event, but suppresses the line once @p limiter.lines_per_s lines of this event were written in
/// the current second. The next line written reports the number of suppressed ones as "lines_left_out".
void log_event_limited(log_limiter& limiter, log_severity severity, std::string_view event,
                       std::vector<log_field> fields);

/// Writes one line with the time, the severity, @p event and @p fields. The values of fields that hold
/// secrets (key, ticket, token, secret, authorization) are redacted.
///
/// @code
/// log_event(log_severity::warning, "peer_refused", {{"peer", address}, {"reason", "wrong_proof"}});
/// @endcode
/// @param event stable name in snake_case.
void log_event(log_severity severity, std::string_view event, const std::vector<log_field>& fields,
               const char* file = __builtin_FILE(), int line = __builtin_LINE());

/// @return the line that log_event writes, without the trailing newline.
std::string format_event(std::string_view time, log_severity severity, std::string_view event,
                         const std::vector<log_field>& fields);

} // namespace camphorknot
