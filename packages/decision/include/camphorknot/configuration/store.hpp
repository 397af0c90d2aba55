/// @file
/// A configuration at one version, changes between versions, their validation and their JSON encoding.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "camphorknot/configuration/objects.hpp"

namespace camphorknot {

/// Kind of a configuration object, in the order of the alternatives of configuration_object.
enum class object_kind : std::uint8_t {
    region,
    failure_domain,
    instance,
    service,
    customer,
    key,
    target,
    region_limit,
    link,
    move,
    block,
    site_set,
    move_progress,
    allocation,
};

/// @return the stable name of @p kind, as in the encoded text and on the command line.
std::string_view name_of(object_kind kind);
/// @return the kind whose stable name is @p name, or nothing.
std::optional<object_kind> parse_object_kind(std::string_view name);

/// Kind and unique name of an object. The name of a key is its hash in hexadecimal, that of a region limit is
/// "service/region", of a link "from/to" and of a block "a.b.c.d/length".
struct object_key {
    object_kind kind{};
    std::string name;
    friend bool operator==(const object_key&, const object_key&) = default;
    friend bool operator<(const object_key& a, const object_key& b)
    {
        return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
    }
};

/// @return the kind and name of @p object.
object_key key_of(const configuration_object& object);

/// @return @p hash in lower-case hexadecimal.
std::string hex_of(const key_hash& hash);
/// @return the hash in @p text, or nothing if @p text is not 64 lower-case hexadecimal digits.
std::optional<key_hash> parse_key_hash(std::string_view text);

/// @return the block as "a.b.c.d/length".
std::string text_of(const block_object& block);
/// @return the block in "a.b.c.d/length", with an empty site set, or nothing if @p text has another form.
/// Host bits are kept, so that validation can report them.
std::optional<block_object> parse_block(std::string_view text);

/// A change from version - 1 to version. Removals are applied before upserts.
struct configuration_change {
    std::uint64_t version = 0;
    std::vector<configuration_object> upserts;
    std::vector<object_key> removals;
};

enum class change_error : std::uint8_t {
    none,
    malformed_text,
    version_gap,       ///< The change does not follow directly on the version in force.
    version_older,     ///< The version is not above the one in force; the change is ignored.
    unknown_reference, ///< An object refers to one that does not exist.
    value_out_of_range,
    name_collision,
    route_conflict,
};

/// @return the identifier of a route: a hash of the names of service and route, since routes of different
/// services may have the same name.
route_id route_id_of(std::string_view service, std::string_view route);

/// @return the stable name of @p error, as in the admin interface.
std::string_view name_of(change_error error);

/// A reason for which validation refuses an object.
struct change_problem {
    change_error error = change_error::none;
    object_key object;
    std::string field;
    std::string seen;    ///< Value of the field.
    std::string allowed; ///< Description of the allowed values.
};

/// All objects at one version.
struct configuration {
    std::uint64_t version = 0;
    std::map<object_key, configuration_object> objects;
};

/// @return all problems of applying @p change to @p base; empty if the change is valid.
std::vector<change_problem> validate(const configuration& base, const configuration_change& change);

/// Applies @p change, which must lead to version current.version + 1.
/// @return none, version_older or version_gap; @p current is unchanged on an error.
change_error apply_change(configuration& current, const configuration_change& change);

/// @return the change that turns @p from into @p to, with version from.version + 1.
configuration_change diff(const configuration& from, const configuration& to);

/// @return JSON of @p change, as stored in the table and sent to peers.
std::string encode_change(const configuration_change& change);

/// @return the change in @p text, or nothing if it is malformed.
std::optional<configuration_change> decode_change(std::string_view text);

/// @return JSON of all objects, as stored in the object store.
std::string encode_snapshot(const configuration& value);
/// @return the configuration in @p text, or nothing if it is malformed or contains an object twice.
std::optional<configuration> decode_snapshot(std::string_view text);

/// @return the object_kind of @p Object, which is its index among the alternatives of configuration_object.
template <typename Object, std::size_t Index = 0>
consteval object_kind kind_of()
{
    if constexpr (std::is_same_v<Object, std::variant_alternative_t<Index, configuration_object>>) {
        return static_cast<object_kind>(Index);
    } else {
        return kind_of<Object, Index + 1>();
    }
}

/// @return the objects of type @p Object, in the order of their names. Objects of other kinds are not
/// visited, since most objects of a configuration are client blocks.
template <typename Object>
std::vector<Object> objects_of(const configuration& value)
{
    constexpr object_kind kind = kind_of<Object>();
    std::vector<Object> objects;
    for (auto entry = value.objects.lower_bound({kind, ""});
         entry != value.objects.end() && entry->first.kind == kind; ++entry) {
        objects.push_back(std::get<Object>(entry->second));
    }
    return objects;
}

} // namespace camphorknot
