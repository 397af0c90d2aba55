#include "yaml_fields.hpp"

#include <charconv>

namespace camphorknot::client::internal {
namespace {

std::string seen_in(const YAML::Node& node)
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

void add_problem(reading& state, const YAML::Node& node, const std::string& field, const std::string& seen,
                 const std::string& allowed)
{
    const int line = node.IsDefined() ? node.Mark().line + 1 : 0;
    state.problems.push_back({state.file, line, field, seen, allowed});
    state.faulty_fields.insert(field);
}

yaml_fields::yaml_fields(reading& of, std::string at, const YAML::Node& node)
    : state(of), path(std::move(at)), map(node)
{
    if (!map.IsMap()) {
        add_problem(state, map, path, seen_in(map), "a map");
        return;
    }
    for (const auto& entry : map) {
        const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
        if (!fields.emplace(name, entry.second).second) {
            add_problem(state, entry.first, path + "." + name, "the field again", "each field once");
        }
    }
}

YAML::Node yaml_fields::find(const std::string& name, bool required)
{
    asked.insert(name);
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
    add_problem(state, node, path + "." + name, seen_in(node), allowed);
    return "";
}

std::string yaml_fields::text(const std::string& name, const std::string& otherwise)
{
    const YAML::Node node = find(name, false);
    return node.IsDefined() ? scalar(name, node, "a text") : otherwise;
}

std::string yaml_fields::required_text(const std::string& name)
{
    const YAML::Node node = find(name, true);
    return node.IsDefined() ? scalar(name, node, "a text") : "";
}

std::int64_t yaml_fields::number(const std::string& name, std::optional<std::int64_t> otherwise,
                                 std::int64_t highest)
{
    const YAML::Node node = find(name, !otherwise.has_value());
    if (!node.IsDefined()) {
        return otherwise.value_or(0);
    }
    const std::string allowed = "a whole number from 0 to " + std::to_string(highest);
    const std::string digits = node.IsScalar() ? node.Scalar() : "";
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error != std::errc{} || end != digits.data() + digits.size() || value < 0 || value > highest) {
        add_problem(state, node, path + "." + name, seen_in(node), allowed);
        return otherwise.value_or(0);
    }
    return value;
}

std::uint32_t yaml_fields::small_number(const std::string& name, std::optional<std::int64_t> otherwise)
{
    return static_cast<std::uint32_t>(number(name, otherwise, std::numeric_limits<std::int32_t>::max()));
}

bool yaml_fields::flag(const std::string& name, bool otherwise)
{
    const YAML::Node node = find(name, false);
    if (!node.IsDefined()) {
        return otherwise;
    }
    const std::string value = node.IsScalar() ? node.Scalar() : "";
    if (value != "true" && value != "false") {
        add_problem(state, node, path + "." + name, seen_in(node), "true or false");
        return otherwise;
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
        add_problem(state, node, path.empty() ? name : path + "." + name, seen_in(node), "a list");
        return entries;
    }
    for (const YAML::Node& entry : node) {
        entries.push_back(entry);
    }
    return entries;
}

void yaml_fields::finish()
{
    for (const auto& [name, node] : fields) {
        if (!asked.contains(name)) {
            std::string allowed = "one of:";
            for (const std::string& known : asked) {
                allowed += " " + known;
            }
            add_problem(state, node, path.empty() ? name : path + "." + name, "an unknown field", allowed);
        }
    }
}

} // namespace camphorknot::client::internal
