/// @file
/// Reads the fields of a YAML map in a manifest and collects all errors.
#pragma once

#include <limits>
#include <map>

#include <yaml-cpp/yaml.h>

#include "camphorknot/client/manifest.hpp"

namespace camphorknot::client::internal {

/// State shared by all maps of one manifest.
struct parse_state {
    std::string file;
    unix_milliseconds now = 0;
    std::vector<manifest_problem> problems;
    std::set<std::string> faulty_fields; ///< Paths with a problem; validation does not report them again.
};

/// Adds a problem at the line of @p node. @param field its path. @param seen the value found.
void add_problem(parse_state& state, const YAML::Node& node, const std::string& field,
                 const std::string& seen, const std::string& allowed);

/// Fields of one map. The readers record a problem and return a default if a field is missing or invalid;
/// report_unknown_fields() records the fields that no reader has requested.
struct yaml_fields {
    parse_state& state;
    std::string path;
    YAML::Node map;
    std::map<std::string, YAML::Node> fields;
    std::set<std::string> requested;

    yaml_fields(parse_state& shared_state, std::string map_path, const YAML::Node& node);
    [[nodiscard]] bool has(const std::string& name) const { return fields.contains(name); }
    YAML::Node find(const std::string& name, bool required);
    std::string text(const std::string& name, const std::string& default_value = "");
    std::string required_text(const std::string& name);
    std::int64_t number(const std::string& name, std::optional<std::int64_t> default_value,
                        std::int64_t max_value);
    std::uint32_t small_number(const std::string& name, std::optional<std::int64_t> default_value);
    bool flag(const std::string& name, bool default_value);
    std::vector<YAML::Node> list(const std::string& name, bool required);
    void report_unknown_fields();

private:
    std::string scalar(const std::string& name, const YAML::Node& node, const std::string& allowed);
};

} // namespace camphorknot::client::internal
