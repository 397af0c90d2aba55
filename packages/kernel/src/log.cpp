#include "camphorknot/kernel/log.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <glog/logging.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace camphorknot {
namespace {

constexpr std::array<std::string_view, 5> secret_field_names = {"key", "ticket", "token", "secret",
                                                                "authorization"};

// Limit on the output buffered for a slow reader of standard output.
constexpr std::size_t max_unwritten_bytes = std::size_t{64} * 1024;

// Fields of the event being logged. glog calls the sink on the logging thread, so they need not be
// serialized into the message text.
thread_local const std::vector<log_field>* pending_fields = nullptr;

log_severity severity_of(google::LogSeverity severity)
{
    if (severity >= google::GLOG_ERROR) {
        return log_severity::error;
    }
    return severity == google::GLOG_WARNING ? log_severity::warning : log_severity::info;
}

google::LogSeverity severity_of(log_severity severity)
{
    constexpr std::array severities = {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR};
    return severities.at(static_cast<std::size_t>(severity));
}

std::string format_time(const google::LogMessageTime& time)
{
    const std::time_t seconds = time.timestamp();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 16> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%06dZ", time.usec());
    return std::string(text.data(), length) + fraction.data();
}

struct json_sink final : google::LogSink {
    void send(google::LogSeverity severity, const char* /*full_filename*/, const char* /*base_filename*/,
              int /*line*/, const google::LogMessageTime& time, const char* message,
              std::size_t length) override
    {
        const std::string_view text(message, length);
        std::string formatted;
        if (pending_fields != nullptr) {
            formatted = format_event(format_time(time), severity_of(severity), text, *pending_fields);
        } else {
            // Plain text that a library logged through glog.
            const std::vector<log_field> fields = {{"text", std::string(text)}};
            formatted = format_event(format_time(time), severity_of(severity), "library_message", fields);
        }
        formatted += '\n';
        const std::lock_guard lock(guard);
        if (file == stdout) {
            write_nonblocking(formatted);
            return;
        }
        std::fwrite(formatted.data(), 1, formatted.size(), file);
        std::fflush(file);
    }

    // Never splits a line: the rest of a partial write stays in the buffer, ahead of the next line. Lines
    // that do not fit into the buffer are dropped.
    void write_nonblocking(const std::string& line)
    {
        if (unwritten_output.size() + line.size() > max_unwritten_bytes) {
            ++dropped_lines;
            return;
        }
        if (dropped_lines > 0) {
            unwritten_output += "{\"severity\":\"warning\",\"event\":\"log_lines_dropped\",\"lines\":\"" +
                                std::to_string(dropped_lines) + "\"}\n";
            dropped_lines = 0;
        }
        unwritten_output += line;
        const auto written = ::write(STDOUT_FILENO, unwritten_output.data(), unwritten_output.size());
        if (written > 0) {
            unwritten_output.erase(0, static_cast<std::size_t>(written));
        }
    }

    std::mutex guard;
    std::FILE* file = stderr;
    std::string unwritten_output;
    std::uint64_t dropped_lines = 0;
};

// Read by all threads, unlike the sink, which glog protects while a line is sent to it.
std::atomic<bool> is_log_open{false};

std::unique_ptr<json_sink>& current_sink()
{
    static std::unique_ptr<json_sink> sink;
    return sink;
}

void start_glog()
{
    static const bool started = [] {
        google::InitGoogleLogging("camphorknotd");
        return true;
    }();
    (void)started;
    // Send lines to the sink only: glog writes no files of its own and no plain text to standard error.
    for (const auto severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR}) {
        google::SetLogDestination(severity, "");
    }
    FLAGS_stderrthreshold = google::GLOG_FATAL;
}

} // namespace

std::string format_event(std::string_view time, log_severity severity, std::string_view event,
                         const std::vector<log_field>& fields)
{
    constexpr std::array<std::string_view, 3> severity_names = {"info", "warning", "error"};
    nlohmann::ordered_json line;
    line["time"] = time;
    line["severity"] = severity_names.at(static_cast<std::size_t>(severity));
    line["event"] = event;
    for (const auto& [name, value] : fields) {
        const bool secret = std::ranges::find(secret_field_names, name) != secret_field_names.end();
        line[std::string(name)] = secret ? std::string("left out") : value;
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

bool open_log(const std::string& directory)
{
    start_glog();
    close_log();
    auto sink = std::make_unique<json_sink>();
    if (!directory.empty()) {
        sink->file = std::fopen((directory + "/camphorknotd.jsonl").c_str(), "ae");
        if (sink->file == nullptr) {
            return false;
        }
    }
    google::AddLogSink(sink.get());
    current_sink() = std::move(sink);
    is_log_open = true;
    return true;
}

void open_log_on_stdout()
{
    start_glog();
    close_log();
    auto sink = std::make_unique<json_sink>();
    sink->file = stdout;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    google::AddLogSink(sink.get());
    current_sink() = std::move(sink);
    is_log_open = true;
}

void log_event_limited(log_limiter& limiter, log_severity severity, std::string_view event,
                       std::vector<log_field> fields)
{
    auto found = limiter.buckets.find(event);
    if (found == limiter.buckets.end()) {
        found = limiter.buckets.emplace(std::string(event), log_limiter::bucket{}).first;
    }
    log_limiter::bucket& bucket = found->second;
    timespec now{};
    clock_gettime(CLOCK_MONOTONIC, &now);
    if (bucket.second != now.tv_sec) {
        bucket.second = now.tv_sec;
        bucket.lines = 0;
    }
    if (++bucket.lines > limiter.lines_per_s) {
        ++bucket.suppressed_lines;
        return;
    }
    if (bucket.suppressed_lines > 0) {
        fields.emplace_back("lines_left_out", std::to_string(bucket.suppressed_lines));
        bucket.suppressed_lines = 0;
    }
    log_event(severity, event, fields);
}

void close_log()
{
    std::unique_ptr<json_sink>& sink = current_sink();
    if (sink == nullptr) {
        return;
    }
    is_log_open = false;
    google::RemoveLogSink(sink.get());
    if (sink->file != stderr && sink->file != stdout) {
        std::fclose(sink->file);
    }
    sink.reset();
}

void log_event(log_severity severity, std::string_view event, const std::vector<log_field>& fields,
               const char* file, int line)
{
    if (!is_log_open) {
        return;
    }
    pending_fields = &fields;
    {
        google::LogMessage message(file, line, severity_of(severity));
        message.stream() << event;
    }
    pending_fields = nullptr;
}

} // namespace camphorknot
