// Commands that analyse log files; they contact no instance.
#include <algorithm>
#include <fstream>
#include <functional>

#include "camphorknot/client/explain.hpp"
#include "command_parts.hpp"

namespace camphorknot::client::internal {
namespace {

std::optional<collected_logs> read_files(std::span<const std::string> files, command_context& context)
{
    collected_logs logs;
    for (const std::string& file : files) {
        std::ifstream in(file);
        if (!in) {
            *context.errors << "error: cannot read " << file << "\n";
            return std::nullopt;
        }
        const std::size_t slash = file.find_last_of('/');
        read_log(in, slash == std::string::npos ? file : file.substr(slash + 1), logs);
    }
    if (logs.unreadable > 0) {
        *context.errors << "warning: " << logs.unreadable
                        << " lines are not valid log lines and were skipped\n";
    }
    return logs;
}

json line_json(const log_line& line)
{
    return {{"time", line.time}, {"instance", line.instance}, {"event", line.event}, {"fields", line.fields}};
}

exit_code print_explanation(const command_options& options, command_context& context,
                            const explanation& explained)
{
    if (explained.lines.empty()) {
        *context.errors << "error: no log line has request id " << options.arguments.front()
                        << "; its lines may have been suppressed under load\n";
        return exit_code::unknown;
    }
    if (options.json) {
        json lines = json::array();
        for (const log_line& line : explained.lines) {
            lines.push_back(line_json(line));
        }
        *context.out << json{{"cause", explained.cause}, {"lines", std::move(lines)}}.dump(2) << "\n";
        return exit_code::done;
    }
    std::vector<std::vector<std::string>> rows = {{"TIME", "INSTANCE", "EVENT", "INPUTS"}};
    for (const log_line& line : explained.lines) {
        std::string inputs;
        for (const auto& [name, value] : line.fields) {
            if (name != "severity" && name != "request") {
                inputs.append(name).append("=").append(value).append(" ");
            }
        }
        rows.push_back({line.time, line.instance, line.event, inputs});
    }
    print_table(*context.out, rows);
    *context.out << "\n" << explained.cause << "\n";
    return exit_code::done;
}

void print_counts(std::ostream& out, const std::string& title,
                  const std::map<std::string, std::uint64_t>& counts)
{
    std::vector<std::pair<std::uint64_t, std::string>> sorted;
    sorted.reserve(counts.size());
    for (const auto& [name, count] : counts) {
        sorted.emplace_back(count, name);
    }
    std::ranges::sort(sorted, std::greater<>());
    std::vector<std::vector<std::string>> rows = {{title, "LINES"}};
    for (const auto& [count, name] : sorted) {
        rows.push_back({name, std::to_string(count)});
    }
    print_table(out, rows);
    out << "\n";
}

exit_code run_explain(const command_options& options, command_context& context)
{
    if (options.arguments.size() < 2) {
        *context.errors << "error: explain needs the id of a request and log files\n";
        return exit_code::usage;
    }
    const auto logs = read_files(std::span(options.arguments).subspan(1), context);
    if (!logs) {
        return exit_code::usage;
    }
    return print_explanation(options, context, explain_request(logs->lines, options.arguments.front()));
}

exit_code run_failures(const command_options& options, command_context& context)
{
    if (options.arguments.empty()) {
        *context.errors << "error: failures needs log files\n";
        return exit_code::usage;
    }
    const auto logs = read_files(options.arguments, context);
    if (!logs) {
        return exit_code::usage;
    }
    const log_summary summary = summarize_logs(logs->lines, options.from, options.to);
    if (options.json) {
        *context.out << json{{"refusals", summary.refusals},
                             {"failed_sends", summary.failed_sends},
                             {"refused_customers", summary.refused_customers},
                             {"lost_dependencies", summary.lost_dependencies},
                             {"lines_left_out", summary.lines_left_out}}
                            .dump(2)
                     << "\n";
        return exit_code::done;
    }
    print_counts(*context.out, "REFUSED FOR", summary.refusals);
    print_counts(*context.out, "FAILED AT TARGET", summary.failed_sends);
    print_counts(*context.out, "CUSTOMER OVER ITS RATE", summary.refused_customers);
    print_counts(*context.out, "LOST", summary.lost_dependencies);
    *context.out << summary.lines_left_out << " lines were suppressed by the instances\n";
    return exit_code::done;
}

} // namespace

exit_code run_log_command(const command_options& options, command_context& context)
{
    return options.command == "explain" ? run_explain(options, context) : run_failures(options, context);
}

} // namespace camphorknot::client::internal
