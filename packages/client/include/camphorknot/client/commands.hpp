/// @file
/// The commands of camphorknotctl.
#pragma once

#include <functional>
#include <ostream>
#include <vector>

#include "camphorknot/client/admin.hpp"
#include "camphorknot/client/manifest.hpp"

namespace camphorknot::client {

/// Exit codes; they are part of the interface and listed in docs/OPERATIONS.md.
enum class exit_code : std::uint8_t {
    done = 0,
    usage = 1,            ///< Unknown command, flag or argument, or an unreadable file.
    invalid = 2,          ///< The manifest or the change is not valid.
    differs = 3,          ///< diff: the manifest and the configuration in force differ.
    version_conflict = 4, ///< Another operator was faster; nothing was changed.
    unreachable = 5,      ///< No instance answered.
    refused = 6,          ///< store_unavailable, authority_lost, or a wrong token; nothing was changed.
    rolled_back = 7,      ///< watch: the move was rolled back.
    timed_out = 8,        ///< The change or move was not complete in time; it may still be.
    unknown = 9,          ///< It can't be told yet whether the change was made.
};

struct command_options {
    std::string command;
    std::vector<std::string> arguments;
    std::string manifest_file = "manifest.yaml";
    bool json = false;                             ///< Instead of tables.
    std::optional<std::uint64_t> expected_version; ///< Of apply; by default the version of the diff.
    bool wait = true;                              ///< Until a change is in force on all live instances.
    std::chrono::milliseconds wait_limit{60'000};
    std::chrono::milliseconds poll_period{500};
    std::string customer; ///< Of keys issue.
    std::string label;    ///< Of keys issue.
    std::string from;     ///< Of failures: first and last time, as in the lines; empty for no bound.
    std::string to;
};

/// Where a command reads and writes; tests replace them.
struct command_context {
    admin_client admin;
    std::ostream* out = nullptr;
    std::ostream* errors = nullptr;
    std::function<unix_milliseconds()> wall_now;
    std::function<void(std::chrono::milliseconds)> sleep;
    std::function<std::string()> random_key; ///< A new key, as text of at least 128 random bits.
};

/// Runs one command. @return the exit code.
exit_code run_command(const command_options& options, command_context& context);

} // namespace camphorknot::client
