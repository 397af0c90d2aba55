#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "camphorknot/configuration/store.hpp"
#include "object_fields.hpp"

namespace camphorknot {
namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 3> move_kind_names = {"drain", "rollout", "withdrawal"};
constexpr std::array<std::string_view, 2> deadline_action_names = {"roll_back", "finish"};

// ---- Encoding

template <typename Object>
json encode_fields(const Object& object);

template <typename Value>
requires std::is_arithmetic_v<Value> json encode_value(Value value)
{
    return value;
}

json encode_value(const std::string& value)
{
    return value;
}

json encode_value(const key_hash& value)
{
    return hex_of(value);
}

json encode_value(move_kind value)
{
    return move_kind_names[static_cast<std::size_t>(value)];
}

json encode_value(deadline_action value)
{
    return deadline_action_names[static_cast<std::size_t>(value)];
}

template <typename Element>
json encode_value(const std::vector<Element>& values)
{
    json list = json::array();
    for (const Element& value : values) {
        if constexpr (std::is_same_v<Element, std::string>) {
            list.push_back(value);
        } else {
            list.push_back(encode_fields(value));
        }
    }
    return list;
}

template <typename Object>
json encode_fields(const Object& object)
{
    json fields = json::object();
    internal::visit_fields(object,
                           [&](const char* name, const auto& value) { fields[name] = encode_value(value); });
    return fields;
}

json encode_object(const configuration_object& object)
{
    json fields = std::visit([](const auto& value) { return encode_fields(value); }, object);
    fields["type"] = name_of(static_cast<object_kind>(object.index()));
    return fields;
}

// ---- Decoding; each function returns false if the JSON value does not fit the type.

template <typename Object>
bool decode_fields(const json& source, Object& object);

bool decode_value(const json& source, bool& value)
{
    if (!source.is_boolean()) {
        return false;
    }
    value = source.get<bool>();
    return true;
}

bool decode_value(const json& source, std::string& value)
{
    if (!source.is_string()) {
        return false;
    }
    value = source.get<std::string>();
    return true;
}

// The conversion of nlohmann::json wraps numbers that are out of range, so that -1 would become a very high
// limit.
template <typename Value>
requires std::is_integral_v<Value>
bool decode_value(const json& source, Value& value)
{
    if (source.is_number_unsigned()) {
        const auto number = source.get<std::uint64_t>();
        value = static_cast<Value>(number);
        return std::in_range<Value>(number);
    }
    if (source.is_number_integer()) {
        const auto number = source.get<std::int64_t>();
        value = static_cast<Value>(number);
        return std::in_range<Value>(number);
    }
    return false;
}

bool decode_value(const json& source, key_hash& value)
{
    const auto hash = source.is_string() ? parse_key_hash(source.get<std::string>()) : std::nullopt;
    value = hash.value_or(key_hash{});
    return hash.has_value();
}

template <typename Value, std::size_t Count>
bool decode_name(const json& source, const std::array<std::string_view, Count>& names, Value& value)
{
    for (std::size_t index = 0; source.is_string() && index < Count; ++index) {
        if (source.get<std::string>() == names[index]) {
            value = static_cast<Value>(index);
            return true;
        }
    }
    return false;
}

bool decode_value(const json& source, move_kind& value)
{
    return decode_name(source, move_kind_names, value);
}

bool decode_value(const json& source, deadline_action& value)
{
    return decode_name(source, deadline_action_names, value);
}

template <typename Element>
bool decode_value(const json& source, std::vector<Element>& values)
{
    if (!source.is_array()) {
        return false;
    }
    for (const json& entry : source) {
        Element value{};
        bool valid = false;
        if constexpr (std::is_same_v<Element, std::string>) {
            valid = decode_value(entry, value);
        } else {
            valid = decode_fields(entry, value);
        }
        if (!valid) {
            return false;
        }
        values.push_back(std::move(value));
    }
    return true;
}

// Missing fields keep their defaults and unknown fields are ignored, so that instances of adjacent releases
// can read each other's text.
template <typename Object>
bool decode_fields(const json& source, Object& object)
{
    if (!source.is_object()) {
        return false;
    }
    bool valid = true;
    internal::visit_fields(object, [&](const char* name, auto& value) {
        const auto field = source.find(name);
        valid = valid && (field == source.end() || decode_value(*field, value));
    });
    return valid;
}

template <std::size_t Index = 0>
bool decode_alternative(const json& source, std::size_t kind_index, configuration_object& object)
{
    if constexpr (Index < std::variant_size_v<configuration_object>) {
        if (Index == kind_index) {
            return decode_fields(source, object.emplace<Index>());
        }
        return decode_alternative<Index + 1>(source, kind_index, object);
    }
    return false;
}

std::optional<object_kind> decode_kind(const json& source, const char* field)
{
    if (!source.is_object() || !source.contains(field) || !source[field].is_string()) {
        return std::nullopt;
    }
    return parse_object_kind(source[field].get<std::string>());
}

bool decode_object(const json& source, configuration_object& object)
{
    const auto kind = decode_kind(source, "type");
    return kind && decode_alternative(source, static_cast<std::size_t>(*kind), object);
}

bool decode_version(const json& source, std::uint64_t& version)
{
    return source.is_object() && source.contains("version") && decode_value(source["version"], version);
}

bool decode_objects(const json& source, const char* field, std::vector<configuration_object>& objects)
{
    if (!source.contains(field) || !source[field].is_array()) {
        return false;
    }
    for (const json& entry : source[field]) {
        if (!decode_object(entry, objects.emplace_back())) {
            return false;
        }
    }
    return true;
}

bool decode_removals(const json& source, std::vector<object_key>& removals)
{
    if (!source.contains("removals") || !source["removals"].is_array()) {
        return false;
    }
    for (const json& entry : source["removals"]) {
        const auto kind = decode_kind(entry, "kind");
        object_key key;
        if (!kind || !entry.contains("name") || !decode_value(entry["name"], key.name)) {
            return false;
        }
        key.kind = *kind;
        removals.push_back(std::move(key));
    }
    return true;
}

json parse(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

// Replaces bytes that are not valid UTF-8 instead of throwing; validation reports names that contain them.
std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string encode_change(const configuration_change& change)
{
    json upserts = json::array();
    for (const configuration_object& object : change.upserts) {
        upserts.push_back(encode_object(object));
    }
    json removals = json::array();
    for (const object_key& key : change.removals) {
        removals.push_back({{"kind", name_of(key.kind)}, {"name", key.name}});
    }
    return dump({{"version", change.version}, {"upserts", upserts}, {"removals", removals}});
}

std::optional<configuration_change> decode_change(std::string_view text)
{
    const json source = parse(text);
    configuration_change change;
    if (!decode_version(source, change.version) || !decode_objects(source, "upserts", change.upserts) ||
        !decode_removals(source, change.removals)) {
        return std::nullopt;
    }
    return change;
}

std::string encode_snapshot(const configuration& value)
{
    json objects = json::array();
    for (const auto& [key, object] : value.objects) {
        objects.push_back(encode_object(object));
    }
    return dump({{"version", value.version}, {"objects", objects}});
}

std::optional<configuration> decode_snapshot(std::string_view text)
{
    const json source = parse(text);
    configuration value;
    std::vector<configuration_object> objects;
    if (!decode_version(source, value.version) || !decode_objects(source, "objects", objects)) {
        return std::nullopt;
    }
    for (configuration_object& object : objects) {
        object_key key = key_of(object);
        if (!value.objects.emplace(std::move(key), std::move(object)).second) {
            return std::nullopt;
        }
    }
    return value;
}

} // namespace camphorknot
