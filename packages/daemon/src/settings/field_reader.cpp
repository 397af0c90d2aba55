#include "field_reader.hpp"

#include "../http_text.hpp"

namespace camphorknot::daemon_internal {
namespace {

YAML::Node find(field_reader& from, const std::string& name, bool needed, const std::string& allowed)
{
    from.asked.insert(name);
    if (!from.map.IsMap()) {
        return {};
    }
    YAML::Node found = from.map[name];
    if (!found.IsDefined()) {
        if (needed) {
            add_error(*from.list, settings_fault::missing_field, from.map.Mark(), from.prefix + name,
                      "nothing", allowed);
        }
        return {};
    }
    return found;
}

} // namespace

void add_error(error_list& list, settings_fault fault, const YAML::Mark& at, const std::string& field,
               const std::string& seen, const std::string& allowed)
{
    list.errors.push_back({fault, list.file, at.line + 1, field, seen, allowed});
}

std::string text_of(const YAML::Node& node)
{
    if (node.IsScalar()) {
        return node.Scalar();
    }
    if (node.IsMap()) {
        return "a map";
    }
    return node.IsSequence() ? "a list" : "nothing";
}

field_reader open_map(field_reader& parent, const std::string& name, bool needed)
{
    field_reader made;
    made.prefix = parent.prefix + name + ".";
    made.list = parent.list;
    const YAML::Node found = find(parent, name, needed, "a map");
    if (found.IsMap()) {
        made.map.reset(found);
    } else if (found.IsDefined() && !found.IsNull()) {
        add_error(*parent.list, settings_fault::wrong_type, found.Mark(), parent.prefix + name,
                  text_of(found), "a map");
    }
    return made;
}

void take_text(field_reader& from, const std::string& name, bool needed, bool (*is_allowed)(std::string_view),
               const std::string& allowed, std::string& into)
{
    const YAML::Node found = find(from, name, needed, allowed);
    if (!found.IsDefined() || found.IsNull()) {
        return;
    }
    if (!found.IsScalar()) {
        add_error(*from.list, settings_fault::wrong_type, found.Mark(), from.prefix + name, text_of(found),
                  allowed);
        return;
    }
    if (!is_allowed(found.Scalar())) {
        add_error(*from.list, settings_fault::out_of_range, found.Mark(), from.prefix + name, found.Scalar(),
                  allowed);
        return;
    }
    into = found.Scalar();
}

std::int64_t take_number(field_reader& from, const std::string& name, std::int64_t fallback, std::int64_t low,
                         std::int64_t high)
{
    const std::string allowed =
        "a whole number without a unit from " + std::to_string(low) + " to " + std::to_string(high);
    const YAML::Node found = find(from, name, false, allowed);
    if (!found.IsDefined() || found.IsNull()) {
        return fallback;
    }
    const auto value = found.IsScalar() ? parse_number(found.Scalar()) : std::nullopt;
    if (!value) {
        add_error(*from.list, settings_fault::wrong_type, found.Mark(), from.prefix + name, text_of(found),
                  allowed);
        return fallback;
    }
    if (*value < static_cast<std::uint64_t>(low) || *value > static_cast<std::uint64_t>(high)) {
        add_error(*from.list, settings_fault::out_of_range, found.Mark(), from.prefix + name, found.Scalar(),
                  allowed);
        return fallback;
    }
    return static_cast<std::int64_t>(*value);
}

void finish_map(const field_reader& from)
{
    if (!from.map.IsMap()) {
        return;
    }
    std::string known;
    for (const std::string& name : from.asked) {
        known += (known.empty() ? "" : ", ") + name;
    }
    std::set<std::string> seen;
    for (const auto& entry : from.map) {
        const std::string name = text_of(entry.first);
        if (!from.asked.contains(name)) {
            add_error(*from.list, settings_fault::unknown_field, entry.first.Mark(), from.prefix + name, name,
                      "one of " + known);
        } else if (!seen.insert(name).second) {
            add_error(*from.list, settings_fault::repeated_field, entry.first.Mark(), from.prefix + name,
                      name, "each field once");
        }
    }
}

} // namespace camphorknot::daemon_internal
