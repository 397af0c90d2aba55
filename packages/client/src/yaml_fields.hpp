/// @file
/// Reads the fields of one map of a manifest and notes every fault.
#pragma once

#include <limits>
#include <map>

#include <yaml-cpp/yaml.h>

#include "camphorknot/client/manifest.hpp"

namespace camphorknot::client::internal {

/// Faults found so far, and where each field was.
struct reading {
    std::string file;
    unix_milliseconds now = 0;
    std::vector<manifest_problem> problems;
    std::set<std::string> faulty_fields; ///< Paths with a problem, so that validation does not repeat it.
};

void add_problem(reading& state, const YAML::Node& node, const std::string& field, const std::string& seen,
                 const std::string& allowed);

/// One map; finish() reports the fields that nothing asked for.
struct yaml_fields {
    reading& state;
    std::string path;
    YAML::Node map;
    std::map<std::string, YAML::Node> fields;
    std::set<std::string> asked;

    yaml_fields(reading& of, std::string at, const YAML::Node& node);
    [[nodiscard]] bool has(const std::string& name) const { return fields.contains(name); }
    YAML::Node find(const std::string& name, bool required);
    std::string text(const std::string& name, const std::string& otherwise = "");
    std::string required_text(const std::string& name);
    std::int64_t number(const std::string& name, std::optional<std::int64_t> otherwise, std::int64_t highest);
    std::uint32_t small_number(const std::string& name, std::optional<std::int64_t> otherwise);
    bool flag(const std::string& name, bool otherwise);
    std::vector<YAML::Node> list(const std::string& name, bool required);
    void finish();

private:
    std::string scalar(const std::string& name, const YAML::Node& node, const std::string& allowed);
};

} // namespace camphorknot::client::internal
