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
    if (const auto entry = view.upserts.find(key); entry != view.upserts.end()) {
        return entry->second;
    }
    const auto entry = view.base->objects.find(key);
    return entry == view.base->objects.end() || view.removals.contains(key) ? nullptr : &entry->second;
}

namespace {

// The names of one kind of identifier and the objects that they belong to, by the hash of the name.
struct identifier_index {
    std::unordered_map<std::uint64_t, std::pair<std::string, object_key>> names;

    void add(const object_key& owner, const std::string& name, const char* field, problem_list& problems)
    {
        const auto [entry, added] = names.try_emplace(hash_name(name), name, owner);
        if (!added && entry->second.first != name) {
            problems.push_back({change_error::name_collision, owner, field, name,
                                "a name whose identifier differs from that of '" + entry->second.first +
                                    "' of " + std::string(name_of(entry->second.second.kind)) + " '" +
                                    entry->second.second.name + "'"});
        }
    }
};

bool has_identifier(object_kind kind)
{
    return kind != object_kind::key && kind != object_kind::region_limit && kind != object_kind::link &&
           kind != object_kind::block;
}

void add_versions(const object_key& key, const configuration_object& object, identifier_index& versions,
                  problem_list& problems)
{
    if (const auto* target = std::get_if<target_object>(&object)) {
        versions.add(key, target->version, "version", problems);
    } else if (const auto* service = std::get_if<service_object>(&object)) {
        versions.add(key, service->active_version, "active_version", problems);
    } else if (const auto* move = std::get_if<move_object>(&object)) {
        versions.add(key, move->version, "version", problems);
    }
}

void check_route_collisions(const changed_view& view, problem_list& problems)
{
    identifier_index routes;
    for_each(view, object_kind::service, [&](const object_key& key, const configuration_object& object) {
        for (const route_object& route : std::get<service_object>(object).routes) {
            routes.add(key, key.name + "/" + route.name, "routes", problems);
        }
    });
}

void check_version_collisions(const changed_view& view, problem_list& problems)
{
    identifier_index versions;
    for (const object_kind kind : {object_kind::service, object_kind::target, object_kind::move}) {
        for_each(view, kind, [&](const object_key& key, const configuration_object& object) {
            add_versions(key, object, versions, problems);
        });
    }
}

} // namespace

void check_collisions(const changed_view& view, problem_list& problems)
{
    std::set<object_kind> changed;
    for (const auto& [key, object] : view.upserts) {
        changed.insert(key.kind);
    }
    for (const object_kind kind : changed) {
        identifier_index ids;
        if (has_identifier(kind)) {
            for_each(view, kind, [&](const object_key& key, const configuration_object&) {
                ids.add(key, key.name, "name", problems);
            });
        }
    }
    if (changed.contains(object_kind::service)) {
        check_route_collisions(view, problems);
    }
    if (changed.contains(object_kind::service) || changed.contains(object_kind::target) ||
        changed.contains(object_kind::move)) {
        check_version_collisions(view, problems);
    }
}

namespace {

void check_duplicates(const configuration_change& change, problem_list& problems)
{
    std::set<object_key> seen;
    for (const configuration_object& object : change.upserts) {
        const object_key key = key_of(object);
        if (!seen.insert(key).second) {
            problems.push_back(
                {change_error::name_collision, key, "name", key.name, "each name once in a change"});
        }
    }
    for (const object_key& key : change.removals) {
        if (!seen.insert(key).second) {
            problems.push_back({change_error::name_collision, key, "name", key.name,
                                "one removal, without an upsert of the same object"});
        }
    }
}

void check_removals(const configuration& base, const configuration_change& change, problem_list& problems)
{
    for (const object_key& key : change.removals) {
        if (!base.objects.contains(key)) {
            problems.push_back(
                {change_error::unknown_reference, key, "name", key.name, "an object that exists"});
        }
    }
}

// Whether references of unchanged objects may no longer hold: they may refer to a removed object, or depend
// on a field that an upsert changes, such as the region of a failure domain. Added objects can't break
// references, and scanning 140,000 blocks for each added target would cost more than the change itself.
bool can_break_references(const configuration& base, const configuration_change& change)
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
    internal::problem_list problems;
    const internal::changed_view view = internal::make_view(base, change);
    internal::check_duplicates(change, problems);
    internal::check_removals(base, change, problems);
    for (const configuration_object& object : change.upserts) {
        internal::check_values(object, problems);
        internal::check_references(view, object, problems);
    }
    internal::check_collisions(view, problems);
    if (internal::can_break_references(base, change)) {
        for (const auto& [key, object] : base.objects) {
            if (!view.upserts.contains(key) && !view.removals.contains(key)) {
                internal::check_references(view, object, problems);
            }
        }
    }
    return problems;
}

} // namespace camphorknot
