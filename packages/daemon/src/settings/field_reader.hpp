// Reads the fields of one YAML map and collects what is wrong with them.
#pragma once

#include <limits>
#include <set>
#include <string>
#include <yaml-cpp/yaml.h>

#include "camphorknot/daemon/settings.hpp"

namespace camphorknot::daemon_internal {

struct error_list {
    std::string file;
    std::vector<settings_error> errors;
};

void add_error(error_list& list, settings_fault fault, const YAML::Mark& at, const std::string& field,
               const std::string& seen, const std::string& allowed);

/// @return the text of a scalar, or the kind of another node.
std::string text_of(const YAML::Node& node);

/// One map of the file. Fields that were not asked for are unknown.
struct field_reader {
    YAML::Node map;
    std::string prefix; ///< "instance." before field names.
    error_list* list = nullptr;
    std::set<std::string> asked;
};

/// @return a reader of the map @p name in @p parent; reports an error if it is missing or no map.
field_reader open_map(field_reader& parent, const std::string& name, bool needed);

/// Takes a text that @p is_allowed accepts; keeps @p into if it is missing and not needed.
void take_text(field_reader& from, const std::string& name, bool needed, bool (*is_allowed)(std::string_view),
               const std::string& allowed, std::string& into);

/// @return the number in [@p low, @p high], or @p fallback.
std::int64_t take_number(field_reader& from, const std::string& name, std::int64_t fallback, std::int64_t low,
                         std::int64_t high);

/// Reports repeated fields and those that were not asked for.
void finish_map(const field_reader& from);

} // namespace camphorknot::daemon_internal
