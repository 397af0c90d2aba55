// Reads and checks the fields of YAML maps and collects the faults found.
#pragma once

#include <limits>
#include <set>
#include <string>
#include <yaml-cpp/yaml.h>

#include "camphorknot/daemon/settings.hpp"

namespace camphorknot::daemon_internal {

/// The faults found in one file.
struct error_list {
    std::string file;
    std::vector<settings_error> errors;
};

/// Adds a fault at the position @p at of the file.
void add_error(error_list& list, settings_fault fault, const YAML::Mark& at, const std::string& field,
               const std::string& seen, const std::string& allowed);

/// @return the text of a scalar node; for any other node its kind, such as "a map".
std::string describe_node(const YAML::Node& node);

/// One map of the file. Fields of the map that are never read are reported as unknown.
struct field_reader {
    YAML::Node map;
    std::string prefix; ///< Put before field names in error messages, such as "instance.".
    error_list* list = nullptr;
    std::set<std::string> read_names; ///< Fields read so far, present or not.
};

/// @return a reader of the map @p name in @p parent. Adds an error if the field is no map, or if it is
/// missing and @p required.
field_reader open_map(field_reader& parent, const std::string& name, bool required);

/// Reads the text field @p name to @p output. If @p is_allowed rejects the text, or the field is missing and
/// @p required, leaves @p output unchanged and adds an error.
/// @param allowed description of the allowed values for the error message.
void read_text(field_reader& reader, const std::string& name, bool required,
               bool (*is_allowed)(std::string_view), const std::string& allowed, std::string& output);

/// @return the number in the field @p name, or @p fallback if it is missing. If it is no number in [@p low,
/// @p high], adds an error and returns @p fallback.
std::int64_t read_number(field_reader& reader, const std::string& name, std::int64_t fallback,
                         std::int64_t low, std::int64_t high);

/// Adds an error for each field of the map that is repeated or was never read.
void report_unread_fields(const field_reader& reader);

} // namespace camphorknot::daemon_internal
