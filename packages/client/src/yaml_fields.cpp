#include "yaml_fields.hpp"

#include <charconv>

namespace camphorknot::client::internal {
namespace {

std::string describe_value(const YAML::Node& node)
{
    if (!node.IsDefined() || node.IsNull()) {
        return "nothing";
    }
    if (node.IsScalar()) {
        return "'" + node.Scalar() + "'";
    }
    return node.IsMap() ? "a map" : "a list";
}

} // namespace

void add_problem(parse_state& state, const YAML::Node& node, const std::string& field,
                 const std::string& seen, const std::string& allowed)
{
    const int line = node.IsDefined() ? node.Mark().line + 1 : 0;
    state.problems.push_back({state.file, line, field, seen, allowed});
    state.faulty_fields.insert(field);
}

yaml_fields::yaml_fields(parse_state& shared_state, std::string map_path, const YAML::Node& node)
    : state(shared_state), path(std::move(map_path)), map(node)
{
    if (!map.IsMap()) {
        add_problem(state, map, path, describe_value(map), "a map");
        return;
    }
    for (const auto& entry : map) {
        const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
        if (!fields.emplace(name, entry.second).second) {
            add_problem(state, entry.first, path + "." + name, "a repeated field", "each field once");
        }
    }
}

YAML::Node yaml_fields::find(const std::string& name, bool required)
{
    requested.insert(name);
    const auto place = fields.find(name);
    if (place != fields.end()) {
        return place->second;
    }
    if (required && map.IsMap()) {
        add_problem(state, map, path + "." + name, "nothing", "a value; the field is required");
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

std::string yaml_fields::scalar(const std::string& name, const YAML::Node& node, const std::string& allowed)
{
    if (node.IsScalar()) {
        return node.Scalar();
    }
    add_problem(state, node, path + "." + name, describe_value(node), allowed);
    return "";
}

std::string yaml_fields::text(const std::string& name, const std::string& default_value)
{
    const YAML::Node node = find(name, false);
    return node.IsDefined() ? scalar(name, node, "a string") : default_value;
}

std::string yaml_fields::required_text(const std::string& name)
{
    const YAML::Node node = find(name, true);
    return node.IsDefined() ? scalar(name, node, "a string") : "";
}

std::int64_t yaml_fields::number(const std::string& name, std::optional<std::int64_t> default_value,
                                 std::int64_t max_value)
{
    const YAML::Node node = find(name, !default_value.has_value());
    if (!node.IsDefined()) {
        return default_value.value_or(0);
    }
    const std::string allowed = "a whole number from 0 to " + std::to_string(max_value);
    const std::string digits = node.IsScalar() ? node.Scalar() : "";
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error != std::errc{} || end != digits.data() + digits.size() || value < 0 || value > max_value) {
        add_problem(state, node, path + "." + name, describe_value(node), allowed);
        return default_value.value_or(0);
    }
    return value;
}

std::uint32_t yaml_fields::small_number(const std::string& name, std::optional<std::int64_t> default_value)
{
    return static_cast<std::uint32_t>(number(name, default_value, std::numeric_limits<std::int32_t>::max()));
}

bool yaml_fields::flag(const std::string& name, bool default_value)
{
    const YAML::Node node = find(name, false);
    if (!node.IsDefined()) {
        return default_value;
    }
    const std::string value = node.IsScalar() ? node.Scalar() : "";
    if (value != "true" && value != "false") {
        add_problem(state, node, path + "." + name, describe_value(node), "true or false");
        return default_value;
    }
    return value == "true";
}

std::vector<YAML::Node> yaml_fields::list(const std::string& name, bool required)
{
    const YAML::Node node = find(name, required);
    std::vector<YAML::Node> entries;
    if (!node.IsDefined() || node.IsNull()) {
        return entries;
    }
    if (!node.IsSequence()) {
        add_problem(state, node, path.empty() ? name : path + "." + name, describe_value(node), "a list");
        return entries;
    }
    for (const YAML::Node& entry : node) {
        entries.push_back(entry);
    }
    return entries;
}

void yaml_fields::report_unknown_fields()
{
    for (const auto& [name, node] : fields) {
        if (!requested.contains(name)) {
            std::string allowed = "one of:";
            for (const std::string& known_field : requested) {
                allowed += " " + known_field;
            }
            add_problem(state, node, path.empty() ? name : path + "." + name, "an unknown field", allowed);
        }
    }
}

} // namespace camphorknot::client::internal
