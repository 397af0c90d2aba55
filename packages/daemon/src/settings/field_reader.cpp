#include "field_reader.hpp"

#include "../http_text.hpp"

namespace camphorknot::daemon_internal {
namespace {

YAML::Node find(field_reader& reader, const std::string& name, bool required, const std::string& allowed)
{
    reader.read_names.insert(name);
    if (!reader.map.IsMap()) {
        return {};
    }
    YAML::Node field_node = reader.map[name];
    if (!field_node.IsDefined()) {
        if (required) {
            add_error(*reader.list, settings_fault::missing_field, reader.map.Mark(), reader.prefix + name,
                      "nothing", allowed);
        }
        return {};
    }
    return field_node;
}

} // namespace

void add_error(error_list& list, settings_fault fault, const YAML::Mark& at, const std::string& field,
               const std::string& seen, const std::string& allowed)
{
    list.errors.push_back({fault, list.file, at.line + 1, field, seen, allowed});
}

std::string describe_node(const YAML::Node& node)
{
    if (node.IsScalar()) {
        return node.Scalar();
    }
    if (node.IsMap()) {
        return "a map";
    }
    return node.IsSequence() ? "a list" : "nothing";
}

field_reader open_map(field_reader& parent, const std::string& name, bool required)
{
    field_reader child;
    child.prefix = parent.prefix + name + ".";
    child.list = parent.list;
    const YAML::Node field_node = find(parent, name, required, "a map");
    if (field_node.IsMap()) {
        child.map.reset(field_node);
    } else if (field_node.IsDefined() && !field_node.IsNull()) {
        add_error(*parent.list, settings_fault::wrong_type, field_node.Mark(), parent.prefix + name,
                  describe_node(field_node), "a map");
    }
    return child;
}

void read_text(field_reader& reader, const std::string& name, bool required,
               bool (*is_allowed)(std::string_view), const std::string& allowed, std::string& output)
{
    const YAML::Node field_node = find(reader, name, required, allowed);
    if (!field_node.IsDefined() || field_node.IsNull()) {
        return;
    }
    if (!field_node.IsScalar()) {
        add_error(*reader.list, settings_fault::wrong_type, field_node.Mark(), reader.prefix + name,
                  describe_node(field_node), allowed);
        return;
    }
    if (!is_allowed(field_node.Scalar())) {
        add_error(*reader.list, settings_fault::out_of_range, field_node.Mark(), reader.prefix + name,
                  field_node.Scalar(), allowed);
        return;
    }
    output = field_node.Scalar();
}

std::int64_t read_number(field_reader& reader, const std::string& name, std::int64_t fallback,
                         std::int64_t low, std::int64_t high)
{
    const std::string allowed =
        "a whole number without a unit from " + std::to_string(low) + " to " + std::to_string(high);
    const YAML::Node field_node = find(reader, name, false, allowed);
    if (!field_node.IsDefined() || field_node.IsNull()) {
        return fallback;
    }
    const auto value = field_node.IsScalar() ? parse_number(field_node.Scalar()) : std::nullopt;
    if (!value) {
        add_error(*reader.list, settings_fault::wrong_type, field_node.Mark(), reader.prefix + name,
                  describe_node(field_node), allowed);
        return fallback;
    }
    if (*value < static_cast<std::uint64_t>(low) || *value > static_cast<std::uint64_t>(high)) {
        add_error(*reader.list, settings_fault::out_of_range, field_node.Mark(), reader.prefix + name,
                  field_node.Scalar(), allowed);
        return fallback;
    }
    return static_cast<std::int64_t>(*value);
}

void report_unread_fields(const field_reader& reader)
{
    if (!reader.map.IsMap()) {
        return;
    }
    std::string allowed_names;
    for (const std::string& name : reader.read_names) {
        allowed_names += (allowed_names.empty() ? "" : ", ") + name;
    }
    std::set<std::string> seen;
    for (const auto& entry : reader.map) {
        const std::string name = describe_node(entry.first);
        if (!reader.read_names.contains(name)) {
            add_error(*reader.list, settings_fault::unknown_field, entry.first.Mark(), reader.prefix + name,
                      name, "one of " + allowed_names);
        } else if (!seen.insert(name).second) {
            add_error(*reader.list, settings_fault::repeated_field, entry.first.Mark(), reader.prefix + name,
                      name, "each field once");
        }
    }
}

} // namespace camphorknot::daemon_internal
