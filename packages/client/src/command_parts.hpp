/// @file
/// Steps that several commands share.
#pragma once

#include <nlohmann/json.hpp>

#include "camphorknot/client/commands.hpp"

namespace camphorknot::client::internal {

using nlohmann::json;

/// A value, or the exit code after the reason was written.
template <typename T>
using or_exit = result<T, exit_code>;

/// Writes why there is no usable answer. @return the exit code for it.
exit_code report_failure(command_context& context, const admin_answer& answer);

or_exit<json> get_json(command_context& context, const std::string& target);
or_exit<configuration> get_configuration(command_context& context);
or_exit<manifest> load_manifest(const command_options& options, command_context& context);

/// The state of a proposed change, as the instance tells it.
struct change_state {
    std::string status;
    std::uint64_t version = 0;
    json problems = json::array();
    std::vector<std::string> lagging;
};

/// Proposes @p change on top of @p expected_version and waits as the options say.
exit_code submit_change(const command_options& options, command_context& context,
                        const configuration_change& change, const configuration& base);

/// Writes rows in columns; the first row has the titles.
void print_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows);

/// Writes each line of a change, as "+ customer weavers ...".
void print_change(std::ostream& out, const configuration& base, const configuration_change& change);
json change_json(const configuration& base, const configuration_change& change);

exit_code run_manifest_command(const command_options& options, command_context& context);
exit_code run_keys_command(const command_options& options, command_context& context);
exit_code run_status_command(const command_options& options, command_context& context);
exit_code run_watch_command(const command_options& options, command_context& context);
exit_code run_log_command(const command_options& options, command_context& context);

} // namespace camphorknot::client::internal
