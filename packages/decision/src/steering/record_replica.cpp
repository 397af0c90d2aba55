#include "camphorknot/steering/record_replica.hpp"

#include <algorithm>
#include <set>

namespace camphorknot::steering {
namespace {

// Smaller records are sent whole.
constexpr std::size_t min_large_bytes = 4096;
// The patches of a record are kept up to this part of its size: a longer way costs as much as the value.
constexpr std::size_t value_bytes_per_patch_byte = 4;
constexpr std::size_t max_kept_patches = 64;
// Earlier versions of a record that are kept, and their size.
constexpr std::size_t max_earlier_versions = 4;
constexpr std::size_t max_earlier_bytes = std::size_t{2} * 1024 * 1024;

bool is_large(const record& entry)
{
    return !entry.removed && entry.value.size() >= min_large_bytes;
}

std::size_t size_of_patches(const auto& patches)
{
    std::size_t bytes = 0;
    for (const record_patch& patch : patches) {
        bytes += size_of(patch.change);
    }
    return bytes;
}

void replace(record& stored, const record& incoming)
{
    stored = incoming;
    stored.patches.clear();
}

void forget_history(record_replica::collection_records& group_records, const std::string& key)
{
    group_records.patches.erase(key);
    group_records.earlier.erase(key);
}

// Moves the stored version of a record, which is replaced, to the earlier ones.
void keep_earlier(record_replica::collection_records& group_records, record& stored)
{
    std::deque<record>& earlier = group_records.earlier[stored.key];
    earlier.push_front(std::move(stored));
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < std::min(earlier.size(), max_earlier_versions) &&
           bytes + earlier.at(count).value.size() <= max_earlier_bytes) {
        bytes += earlier.at(count++).value.size();
    }
    earlier.resize(count);
}

// Keeps what leads from the stored version of a record to the one that replaces it.
void keep_patches(record_replica::collection_records& group_records, const record& stored,
                  const record& incoming)
{
    if (!is_large(stored) || !is_large(incoming)) {
        forget_history(group_records, incoming.key);
        return;
    }
    std::deque<record_patch>& kept = group_records.patches[incoming.key];
    if (!kept.empty() && kept.back().version != stored.version) {
        kept.clear();
    }
    const bool is_on_top =
        !incoming.patches.empty() && incoming.patches.front().base_version == stored.version;
    if (is_on_top) {
        kept.insert(kept.end(), incoming.patches.begin(), incoming.patches.end());
    } else {
        kept.push_back({stored.version, incoming.version, make_patch(stored.value, incoming.value)});
    }
    const std::size_t max_bytes = incoming.value.size() / value_bytes_per_patch_byte;
    while (!kept.empty() && (kept.size() > max_kept_patches || size_of_patches(kept) > max_bytes)) {
        kept.pop_front();
    }
}

bool apply_record(record_replica::collection_records& group_records, const record& incoming)
{
    record& stored = group_records.records[incoming.key];
    if (incoming.version <= stored.version) {
        return false;
    }
    keep_patches(group_records, stored, incoming);
    if (is_large(stored) && is_large(incoming)) {
        keep_earlier(group_records, stored);
    }
    replace(stored, incoming);
    return true;
}

// Returns the patches that lead from @p version to the present one; none if they are not kept.
std::vector<record_patch> patches_from(const record_replica::collection_records& group_records,
                                       const record& entry, std::uint64_t version)
{
    const auto found = group_records.patches.find(entry.key);
    const bool is_kept = found != group_records.patches.end() && !found->second.empty() &&
                         found->second.back().version == entry.version;
    if (!is_kept) {
        return {};
    }
    const auto first = std::ranges::find(found->second, version, &record_patch::base_version);
    return {first, found->second.end()};
}

// The record for a peer that has @p held of the large ones.
record make_change(const record_replica::collection_records& group_records, const record& entry,
                   std::span<const held_record> held)
{
    if (entry.removed) {
        return entry;
    }
    for (const held_record& each : held) {
        if (each.group != entry.group || each.key != entry.key) {
            continue;
        }
        std::vector<record_patch> patches = patches_from(group_records, entry, each.version);
        if (!patches.empty()) {
            return {entry.group, entry.key, {}, entry.version, false, std::move(patches)};
        }
    }
    return entry;
}

// Returns the version of a record that a patch is based on; null if it is not kept.
const record* find_version(const record_replica::collection_records& group_records, const std::string& key,
                           std::uint64_t version)
{
    const auto present = group_records.records.find(key);
    if (present != group_records.records.end() && present->second.version == version) {
        return &present->second;
    }
    const auto found = group_records.earlier.find(key);
    if (found == group_records.earlier.end()) {
        return nullptr;
    }
    const auto earlier = std::ranges::find(found->second, version, &record::version);
    return earlier == found->second.end() ? nullptr : &*earlier;
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
        replace(stored, entry);
        forget_history(group_records, entry.key);
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
            forget_history(group_records, key);
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
        forget_history(group_records, entry.key);
        if (is_known_to_be_newer(stored, entry, is_newer)) {
            stored.version = entry.version;
        } else {
            const bool is_same = stored.version > 0 && !stored.removed && stored.value == entry.value;
            replace(stored, entry);
            if (!is_same) {
                changed.push_back(entry);
            }
        }
    }
    for (auto& [key, stored] : group_records.records) {
        if (!present.contains(key)) {
            stored.version = update.position.version;
            forget_history(group_records, key);
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

record_update changes_since(const record_replica& replica, collection group, const record_position& position,
                            std::span<const held_record> held)
{
    const record_replica::collection_records& group_records = records_of(replica, group);
    const bool is_snapshot = position.as_of_s < 0 || position.version < group_records.history_start ||
                             era_of(position.version) != era_of(group_records.position.version);
    record_update update{group, is_snapshot, {}, group_records.position};
    for (const auto& [key, entry] : group_records.records) {
        if (is_snapshot ? !entry.removed : entry.version > position.version) {
            update.records.push_back(make_change(group_records, entry, held));
        }
    }
    return update;
}

std::vector<held_record> large_records(const record_replica& replica)
{
    std::vector<held_record> large;
    for (const record_replica::collection_records& group_records : replica.collections) {
        for (const auto& [key, entry] : group_records.records) {
            if (!is_large(entry)) {
                continue;
            }
            large.push_back({entry.group, key, entry.version});
            const auto earlier = group_records.earlier.find(key);
            if (earlier != group_records.earlier.end()) {
                for (const record& version : earlier->second) {
                    large.push_back({entry.group, key, version.version});
                }
            }
        }
    }
    return large;
}

patch_fault resolve_patches(const record_replica& replica, record_update& update)
{
    const record_replica::collection_records& group_records = records_of(replica, update.group);
    for (record& entry : update.records) {
        if (entry.patches.empty()) {
            continue;
        }
        const auto present = group_records.records.find(entry.key);
        if (present != group_records.records.end() && present->second.version >= entry.version) {
            if (present->second.removed) {
                return patch_fault::other_base;
            }
            entry = present->second;
            continue;
        }
        const record* base = find_version(group_records, entry.key, entry.patches.front().base_version);
        if (base == nullptr) {
            return patch_fault::other_base;
        }
        entry.value = base->value;
        for (const record_patch& patch : entry.patches) {
            auto patched = apply_patch(entry.value, patch.change);
            if (!patched) {
                return patched.reason;
            }
            entry.value = std::move(*patched);
        }
    }
    return patch_fault::none;
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
