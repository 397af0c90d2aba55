#include "validation.hpp"

#include <algorithm>
#include <unordered_map>

namespace camphorknot {
namespace internal {

changed_view make_view(const configuration& base, const configuration_change& change)
{
    changed_view view;
    view.base = &base;
    view.removals.insert(change.removals.begin(), change.removals.end());
    for (const configuration_object& object : change.upserts) {
        view.upserts.insert_or_assign(key_of(object), &object);
    }
    return view;
}

const configuration_object* find(const changed_view& view, const object_key& key)
{
    if (const auto place = view.upserts.find(key); place != view.upserts.end()) {
        return place->second;
    }
    const auto place = view.base->objects.find(key);
    return place == view.base->objects.end() || view.removals.contains(key) ? nullptr : &place->second;
}

namespace {

// Names of one kind of identifier, with the object that each belongs to.
struct named_ids {
    std::unordered_map<std::uint64_t, std::pair<std::string, object_key>> names;

    void add(const object_key& owner, const std::string& name, const char* field, problems& found)
    {
        const auto [place, added] = names.try_emplace(hash_name(name), name, owner);
        if (!added && place->second.first != name) {
            found.push_back({change_error::name_collision, owner, field, name,
                             "a name with another identifier than '" + place->second.first + "' of " +
                                 std::string(name_of(place->second.second.kind)) + " '" +
                                 place->second.second.name + "'"});
        }
    }
};

bool has_identifier(object_kind kind)
{
    return kind != object_kind::key && kind != object_kind::region_limit && kind != object_kind::link &&
           kind != object_kind::block;
}

void add_versions(const object_key& key, const configuration_object& object, named_ids& versions,
                  problems& found)
{
    if (const auto* target = std::get_if<target_object>(&object)) {
        versions.add(key, target->version, "version", found);
    } else if (const auto* service = std::get_if<service_object>(&object)) {
        versions.add(key, service->active_version, "active_version", found);
    } else if (const auto* move = std::get_if<move_object>(&object)) {
        versions.add(key, move->version, "version", found);
    }
}

void check_route_collisions(const changed_view& view, problems& found)
{
    named_ids routes;
    for_each(view, object_kind::service, [&](const object_key& key, const configuration_object& object) {
        for (const route_object& route : std::get<service_object>(object).routes) {
            routes.add(key, key.name + "/" + route.name, "routes", found);
        }
    });
}

void check_version_collisions(const changed_view& view, problems& found)
{
    named_ids versions;
    for (const object_kind kind : {object_kind::service, object_kind::target, object_kind::move}) {
        for_each(view, kind, [&](const object_key& key, const configuration_object& object) {
            add_versions(key, object, versions, found);
        });
    }
}

} // namespace

void check_collisions(const changed_view& view, problems& found)
{
    std::set<object_kind> changed;
    for (const auto& [key, object] : view.upserts) {
        changed.insert(key.kind);
    }
    for (const object_kind kind : changed) {
        named_ids ids;
        if (has_identifier(kind)) {
            for_each(view, kind, [&](const object_key& key, const configuration_object&) {
                ids.add(key, key.name, "name", found);
            });
        }
    }
    if (changed.contains(object_kind::service)) {
        check_route_collisions(view, found);
    }
    if (changed.contains(object_kind::service) || changed.contains(object_kind::target) ||
        changed.contains(object_kind::move)) {
        check_version_collisions(view, found);
    }
}

namespace {

void check_duplicates(const configuration_change& change, problems& found)
{
    std::set<object_key> seen;
    for (const configuration_object& object : change.upserts) {
        const object_key key = key_of(object);
        if (!seen.insert(key).second) {
            found.push_back(
                {change_error::name_collision, key, "name", key.name, "each name once in a change"});
        }
    }
    for (const object_key& key : change.removals) {
        if (!seen.insert(key).second) {
            found.push_back({change_error::name_collision, key, "name", key.name,
                             "one removal, without an upsert of the same object"});
        }
    }
}

void check_removals(const configuration& base, const configuration_change& change, problems& found)
{
    for (const object_key& key : change.removals) {
        if (!base.objects.contains(key)) {
            found.push_back(
                {change_error::unknown_reference, key, "name", key.name, "an object that exists"});
        }
    }
}

// Objects that stay may refer to what is removed, or rely on a place that an upsert changes. Added objects
// can't break them, and scanning 140,000 blocks for each added target would cost more than the change.
bool can_break_others(const configuration& base, const configuration_change& change)
{
    const auto replaces = [&](const configuration_object& object) {
        const auto kind = static_cast<object_kind>(object.index());
        return (kind == object_kind::failure_domain || kind == object_kind::target ||
                kind == object_kind::service) &&
               base.objects.contains(key_of(object));
    };
    return !change.removals.empty() || std::ranges::any_of(change.upserts, replaces);
}

} // namespace
} // namespace internal

std::vector<change_problem> validate(const configuration& base, const configuration_change& change)
{
    internal::problems found;
    const internal::changed_view view = internal::make_view(base, change);
    internal::check_duplicates(change, found);
    internal::check_removals(base, change, found);
    for (const configuration_object& object : change.upserts) {
        internal::check_values(object, found);
        internal::check_references(view, object, found);
    }
    internal::check_collisions(view, found);
    if (internal::can_break_others(base, change)) {
        for (const auto& [key, object] : base.objects) {
            if (!view.upserts.contains(key) && !view.removals.contains(key)) {
                internal::check_references(view, object, found);
            }
        }
    }
    return found;
}

} // namespace camphorknot
