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
    auto old_entry = from.objects.begin();
    for (const auto& [key, object] : to.objects) {
        while (old_entry != from.objects.end() && old_entry->first < key) {
            change.removals.push_back(old_entry->first);
            ++old_entry;
        }
        const bool exists_in_from = old_entry != from.objects.end() && old_entry->first == key;
        if (!exists_in_from || old_entry->second != object) {
            change.upserts.push_back(object);
        }
        if (exists_in_from) {
            ++old_entry;
        }
    }
    for (; old_entry != from.objects.end(); ++old_entry) {
        change.removals.push_back(old_entry->first);
    }
    return change;
}

} // namespace camphorknot
