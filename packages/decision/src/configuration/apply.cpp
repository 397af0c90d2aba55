#include "camphorknot/configuration/store.hpp"

namespace camphorknot {

change_error apply_change(configuration& current, const configuration_change& change)
{
    if (change.version <= current.version) {
        return change_error::version_older;
    }
    if (change.version != current.version + 1) {
        return change_error::version_gap;
    }
    for (const object_key& key : change.removals) {
        current.objects.erase(key);
    }
    for (const configuration_object& object : change.upserts) {
        current.objects.insert_or_assign(key_of(object), object);
    }
    current.version = change.version;
    return change_error::none;
}

configuration_change diff(const configuration& from, const configuration& to)
{
    configuration_change change;
    change.version = from.version + 1;
    auto old_place = from.objects.begin();
    for (const auto& [key, object] : to.objects) {
        while (old_place != from.objects.end() && old_place->first < key) {
            change.removals.push_back(old_place->first);
            ++old_place;
        }
        const bool known = old_place != from.objects.end() && old_place->first == key;
        if (!known || old_place->second != object) {
            change.upserts.push_back(object);
        }
        if (known) {
            ++old_place;
        }
    }
    for (; old_place != from.objects.end(); ++old_place) {
        change.removals.push_back(old_place->first);
    }
    return change;
}

} // namespace camphorknot
