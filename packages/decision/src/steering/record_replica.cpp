#include "camphorknot/steering/record_replica.hpp"

#include <algorithm>
#include <set>

namespace camphorknot::steering {
namespace {

bool apply_record(record_replica::collection_records& group_records, const record& incoming)
{
    record& stored = group_records.records[incoming.key];
    if (incoming.version <= stored.version) {
        return false;
    }
    stored = incoming;
    return true;
}

bool is_known_to_be_newer(const record& stored, const record& incoming, const content_order& is_newer)
{
    return stored.version > 0 && is_newer != nullptr && is_newer(stored, incoming);
}

// A snapshot that is as recent as a removal and still lists the record proves that it was not removed.
bool undo_false_removal(record_replica::collection_records& group_records, const record_update& update,
                        const record& entry, const content_order& is_newer)
{
    record& stored = group_records.records[entry.key];
    const bool is_disproved = stored.removed && stored.version >= entry.version &&
                              stored.version <= update.position.version &&
                              !is_known_to_be_newer(stored, entry, is_newer);
    if (is_disproved) {
        stored = entry;
    }
    return is_disproved;
}

// A snapshot lists all existing records: any other stored record up to its version has been removed.
void apply_removals(record_replica::collection_records& group_records, const record_update& update,
                    std::vector<record>& changed)
{
    std::set<std::string_view> present;
    for (const record& entry : update.records) {
        present.insert(entry.key);
    }
    for (auto& [key, stored] : group_records.records) {
        if (!stored.removed && stored.version <= update.position.version && !present.contains(key)) {
            stored.removed = true;
            stored.version = update.position.version;
            stored.value.clear();
            changed.push_back(stored);
        }
    }
}

// Merges the first snapshot of a new era. All stored records take versions of the new era.
void apply_old_copy(record_replica::collection_records& group_records, const record_update& update,
                    const content_order& is_newer, std::vector<record>& changed)
{
    std::set<std::string_view> present;
    for (const record& entry : update.records) {
        present.insert(entry.key);
        record& stored = group_records.records[entry.key];
        if (is_known_to_be_newer(stored, entry, is_newer)) {
            stored.version = entry.version;
        } else {
            const bool is_same = stored.version > 0 && !stored.removed && stored.value == entry.value;
            stored = entry;
            if (!is_same) {
                changed.push_back(entry);
            }
        }
    }
    for (auto& [key, stored] : group_records.records) {
        if (!present.contains(key)) {
            stored.version = update.position.version;
        }
    }
}

} // namespace

std::vector<record> apply_update(record_replica& replica, const record_update& update,
                                 const content_order& is_newer)
{
    record_replica::collection_records& group_records = records_of(replica, update.group);
    std::vector<record> changed;
    const bool is_new_era = group_records.position.version > 0 &&
                            era_of(update.position.version) > era_of(group_records.position.version);
    if (is_new_era) {
        if (update.is_snapshot) {
            apply_old_copy(group_records, update, is_newer, changed);
            group_records.position = update.position;
            group_records.history_start = update.position.version;
            replica.change_count += changed.empty() ? 0 : 1;
        }
        return changed; // Changes alone do not show what the copy lacks.
    }
    if (update.is_snapshot) {
        apply_removals(group_records, update, changed);
    }
    for (const record& entry : update.records) {
        if (apply_record(group_records, entry) ||
            (update.is_snapshot && undo_false_removal(group_records, update, entry, is_newer))) {
            changed.push_back(entry);
        }
    }
    if (update.position.version >= group_records.position.version) {
        group_records.position.version = update.position.version;
        group_records.position.as_of_s = std::max(group_records.position.as_of_s, update.position.as_of_s);
        if (update.is_snapshot) {
            group_records.history_start = update.position.version;
        }
    }
    replica.change_count += changed.empty() ? 0 : 1;
    return changed;
}

record_update changes_since(const record_replica& replica, collection group, const record_position& position)
{
    const record_replica::collection_records& group_records = records_of(replica, group);
    const bool is_snapshot = position.as_of_s < 0 || position.version < group_records.history_start ||
                             era_of(position.version) != era_of(group_records.position.version);
    record_update update{group, is_snapshot, {}, group_records.position};
    for (const auto& [key, entry] : group_records.records) {
        if (is_snapshot ? !entry.removed : entry.version > position.version) {
            update.records.push_back(entry);
        }
    }
    return update;
}

const record* find_record(const record_replica& replica, collection group, const std::string& key)
{
    const auto& records = records_of(replica, group).records;
    const auto found = records.find(key);
    return found == records.end() || found->second.removed ? nullptr : &found->second;
}

void trim_removals(record_replica& replica, std::size_t kept)
{
    for (record_replica::collection_records& group_records : replica.collections) {
        std::vector<std::uint64_t> versions;
        for (const auto& [key, entry] : group_records.records) {
            if (entry.removed) {
                versions.push_back(entry.version);
            }
        }
        if (versions.size() <= kept) {
            continue;
        }
        std::ranges::sort(versions, std::greater<>());
        const std::uint64_t newest_forgotten = versions.at(kept);
        std::erase_if(group_records.records, [&](const auto& entry) {
            return entry.second.removed && entry.second.version <= newest_forgotten;
        });
        group_records.history_start = std::max(group_records.history_start, newest_forgotten);
    }
}

} // namespace camphorknot::steering
