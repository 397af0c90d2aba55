/// @file
/// The commands of camphorknotctl.
#pragma once

#include <functional>
#include <ostream>
#include <vector>

#include "camphorknot/client/admin.hpp"
#include "camphorknot/client/manifest.hpp"

namespace camphorknot::client {

/// Exit codes of camphorknotctl. They are part of its interface; docs/OPERATIONS.md lists them.
enum class exit_code : std::uint8_t {
    done = 0,
    usage = 1,            ///< Unknown command, flag or argument, or an unreadable file.
    invalid = 2,          ///< The manifest or the change is invalid.
    differs = 3,          ///< diff: the manifest differs from the configuration in force.
    version_conflict = 4, ///< The configuration was changed concurrently; nothing was changed.
    unreachable = 5,      ///< No instance answered.
    refused = 6,          ///< store_unavailable, authority_lost or another error answer; nothing was changed.
    rolled_back = 7,      ///< watch: the move was rolled back.
    timed_out = 8,        ///< The change or move did not complete in time; it may complete later.
    unknown = 9,          ///< Unknown whether the change was made; explain: no log line has the request id.
};

/// Parsed command line.
struct command_options {
    std::string command;
    std::vector<std::string> arguments;
    std::string manifest_file = "manifest.yaml";
    bool json = false;                             ///< Print JSON instead of tables.
    std::optional<std::uint64_t> expected_version; ///< apply: default is the version of the diff.
    bool wait = true;                              ///< Wait until a change is in force on all live instances.
    std::chrono::milliseconds wait_limit{60'000};
    std::chrono::milliseconds poll_period{500};
    std::string customer; ///< keys issue, keys revoke: owner of the keys.
    std::string label;    ///< keys issue: label of the new key.
    std::string from; ///< failures: start of the time range, inclusive, as in log lines; empty: unbounded.
    std::string to;   ///< failures: end of the time range, likewise.
};

/// Connections, streams and clocks of a command; tests substitute their own.
struct command_context {
    admin_client admin;
    std::ostream* out = nullptr;
    std::ostream* errors = nullptr;
    std::function<unix_milliseconds()> wall_now;
    std::function<void(std::chrono::milliseconds)> sleep;
    std::function<std::string()> random_key; ///< Returns a new key with at least 128 random bits.
};

/// Runs one command. @return the exit code.
exit_code run_command(const command_options& options, command_context& context);

} // namespace camphorknot::client
