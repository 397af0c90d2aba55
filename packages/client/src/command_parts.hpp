/// @file
/// Helpers shared by the commands.
#pragma once

#include <nlohmann/json.hpp>

#include "camphorknot/client/commands.hpp"

namespace camphorknot::client::internal {

using nlohmann::json;

/// A value, or the exit code of the command. An error message has been written by then.
template <typename T>
using or_exit = result<T, exit_code>;

/// Reports why @p answer is unusable. @return the matching exit code.
exit_code report_failure(command_context& context, const admin_answer& answer);

/// GETs @p target from the admin interface; reports an error if the answer is not JSON.
or_exit<json> get_json(command_context& context, const std::string& target);
or_exit<configuration> get_configuration(command_context& context);
or_exit<manifest> load_manifest(const command_options& options, command_context& context);

/// State of a proposed change, as reported by the instance that accepted the proposal.
struct change_state {
    std::string status;
    std::uint64_t version = 0;
    json problems = json::array();
    std::vector<std::string> lagging;
};

/// Proposes @p change, which was computed against @p base, and waits for it if the options ask for that.
/// Retries if only the instances have written to the configuration since @p base was read.
exit_code submit_change(const command_options& options, command_context& context,
                        const configuration_change& change, const configuration& base);

/// Prints @p rows as aligned columns; the first row holds the headings.
void print_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows);

/// Prints a change as lines such as "+ customer weavers"; +, ~ and - mark added, changed and removed objects.
void print_change(std::ostream& out, const configuration& base, const configuration_change& change);
json change_to_json(const configuration& base, const configuration_change& change);

exit_code run_manifest_command(const command_options& options, command_context& context);
exit_code run_keys_command(const command_options& options, command_context& context);
exit_code run_status_command(const command_options& options, command_context& context);
exit_code run_watch_command(const command_options& options, command_context& context);
exit_code run_log_command(const command_options& options, command_context& context);

} // namespace camphorknot::client::internal
