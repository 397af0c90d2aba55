/// @file
/// The checks that validate() consists of.
#pragma once

#include <initializer_list>
#include <set>

#include "camphorknot/configuration/store.hpp"

namespace camphorknot::internal {

/// A configuration as a change would leave it; refers to both without copying the objects.
struct changed_view {
    const configuration* base = nullptr;
    std::map<object_key, const configuration_object*> upserts;
    std::set<object_key> removals;
};

changed_view make_view(const configuration& base, const configuration_change& change);

/// @return the object @p key as it would be after the change, or null.
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
    for (auto entry = view.base->objects.lower_bound({kind, ""});
         entry != view.base->objects.end() && entry->first.kind == kind; ++entry) {
        if (!view.upserts.contains(entry->first) && !view.removals.contains(entry->first)) {
            visit(entry->first, entry->second);
        }
    }
    for (auto entry = view.upserts.lower_bound({kind, ""});
         entry != view.upserts.end() && entry->first.kind == kind; ++entry) {
        visit(entry->first, *entry->second);
    }
}

using problem_list = std::vector<change_problem>;

/// Adds the problems of the field values of @p object, without regard to other objects.
void check_values(const configuration_object& object, problem_list& problems);

/// Adds a problem for each reference of @p object that does not hold after the change.
void check_references(const changed_view& view, const configuration_object& object, problem_list& problems);

/// Adds a problem for each two names of a changed kind whose hashes, and thus identifiers, are equal.
void check_collisions(const changed_view& view, problem_list& problems);

} // namespace camphorknot::internal
