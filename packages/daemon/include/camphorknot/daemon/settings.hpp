/// @file
/// Settings of the daemon, read from a YAML file. Field names of quantities end in their unit.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/daemon/traffic_server.hpp"
#include "camphorknot/tables.hpp"

namespace camphorknot {

/// An instance to contact at start, before the fleet's members are known from other sources.
struct contact_settings {
    std::string peer_address;
    std::string region;
    std::string failure_domain;
};

/// The settings of one instance. Addresses have the form "ip:port".
struct daemon_settings {
    std::string peer_address;
    std::string traffic_address;
    std::string admin_address;
    std::string region;
    std::string failure_domain;
    std::size_t traffic_threads = 1;
    platform_settings platform;
    std::string fleet_secret_file;
    std::string operator_token_sha256; ///< SHA-256 of the operator token, lower-case hexadecimal.
    traffic_limits limits;
    std::vector<contact_settings> contacts;
    std::string log_directory; ///< Empty: the log goes to standard error.
};

/// Kinds of faults in a settings file.
enum class settings_fault : std::uint8_t {
    none,
    unreadable_file,
    malformed_yaml,
    unknown_field,
    missing_field,
    repeated_field,
    wrong_type,
    out_of_range,
    conflict,
};

/// @return the stable name of @p fault, as error messages show it.
std::string_view name_of(settings_fault fault);

/// One fault in a settings file.
struct settings_error {
    settings_fault fault = settings_fault::none;
    std::string file;
    int line = 0;        ///< Counted from 1; 0 if the fault belongs to no line.
    std::string field;   ///< Path of the field, such as "limits.head_kb".
    std::string seen;    ///< The value in the file.
    std::string allowed; ///< Description of the allowed values.
};

/// @return a one-line message with the file, line, field, kind of fault, value found and values allowed.
std::string describe(const settings_error& error);

/// Settings, or all faults that were found.
struct settings_result {
    std::optional<daemon_settings> settings;
    std::vector<settings_error> errors;
};

/// Parses the YAML text of a settings file.
/// @param file name of the file for error messages.
settings_result parse_settings(const std::string& text, const std::string& file);

/// Reads and parses the settings file at @p path.
///
/// @code
/// settings_result result = read_settings("/etc/camphorknot/settings.yaml");
/// @endcode
settings_result read_settings(const std::string& path);

/// @return the first line of the file, without its line end, or nothing if the file cannot be read or the
/// line has fewer than 16 characters.
std::optional<std::string> read_secret(const std::string& path);

} // namespace camphorknot
