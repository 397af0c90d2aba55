/// @file
/// Parts of the validation of changes.
#pragma once

#include <initializer_list>
#include <set>

#include "camphorknot/configuration/store.hpp"

namespace camphorknot::internal {

/// A configuration with a change on top, without copying it.
struct changed_view {
    const configuration* base = nullptr;
    std::map<object_key, const configuration_object*> upserts;
    std::set<object_key> removals;
};

changed_view make_view(const configuration& base, const configuration_change& change);

/// @return the object as it would be after the change, or null.
const configuration_object* find(const changed_view& view, const object_key& key);

/// @return the object of type @p Object called @p name after the change, or null.
template <typename Object>
const Object* find(const changed_view& view, object_kind kind, const std::string& name)
{
    const configuration_object* object = find(view, {kind, name});
    return object == nullptr ? nullptr : std::get_if<Object>(object);
}

/// Calls @p visit with the key and object of each object of @p kind after the change.
template <typename Visitor>
void for_each(const changed_view& view, object_kind kind, Visitor&& visit)
{
    for (auto place = view.base->objects.lower_bound({kind, ""});
         place != view.base->objects.end() && place->first.kind == kind; ++place) {
        if (!view.upserts.contains(place->first) && !view.removals.contains(place->first)) {
            visit(place->first, place->second);
        }
    }
    for (auto place = view.upserts.lower_bound({kind, ""});
         place != view.upserts.end() && place->first.kind == kind; ++place) {
        visit(place->first, *place->second);
    }
}

using problems = std::vector<change_problem>;

/// Adds the problems of the values of @p object alone.
void check_values(const configuration_object& object, problems& found);

/// Adds the problems of what @p object refers to after the change.
void check_references(const changed_view& view, const configuration_object& object, problems& found);

/// Adds each pair of names in the changed kinds that have the same identifier.
void check_collisions(const changed_view& view, problems& found);

} // namespace camphorknot::internal
