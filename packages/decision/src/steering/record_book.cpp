#include "camphorknot/steering/record_book.hpp"

#include <algorithm>
#include <set>

namespace camphorknot::steering {
namespace {

bool apply_record(record_replica::collection_records& collection_records, const record& incoming)
{
    record& known = collection_records.records[incoming.key];
    if (incoming.version <= known.version) {
        return false;
    }
    known = incoming;
    return true;
}

// A whole update names what exists; everything else that was known up to its version has been removed.
void apply_removals(record_replica::collection_records& collection_records, const record_update& update,
                    std::vector<record>& changed)
{
    std::set<std::string_view> present;
    for (const record& each : update.records) {
        present.insert(each.key);
    }
    for (auto& [key, known] : collection_records.records) {
        if (!known.removed && known.version <= update.position.version && !present.contains(key)) {
            known.removed = true;
            known.version = update.position.version;
            known.value.clear();
            changed.push_back(known);
        }
    }
}

} // namespace

std::vector<record> apply_update(record_replica& book, const record_update& update)
{
    record_replica::collection_records& collection_records = records_of(book, update.group);
    std::vector<record> changed;
    if (update.is_snapshot) {
        apply_removals(collection_records, update, changed);
    }
    for (const record& each : update.records) {
        if (apply_record(collection_records, each)) {
            changed.push_back(each);
        }
    }
    if (update.position.version >= collection_records.position.version) {
        collection_records.position.version = update.position.version;
        collection_records.position.as_of_s =
            std::max(collection_records.position.as_of_s, update.position.as_of_s);
        if (update.is_snapshot) {
            collection_records.history_start = update.position.version;
        }
    }
    book.changes += changed.empty() ? 0 : 1;
    return changed;
}

record_update changes_since(const record_replica& book, collection group, const record_position& known)
{
    const record_replica::collection_records& collection_records = records_of(book, group);
    const bool is_snapshot = known.as_of_s < 0 || known.version < collection_records.history_start;
    record_update update{group, is_snapshot, {}, collection_records.position};
    for (const auto& [key, each] : collection_records.records) {
        if (is_snapshot ? !each.removed : each.version > known.version) {
            update.records.push_back(each);
        }
    }
    return update;
}

const record* find_record(const record_replica& book, collection group, const std::string& key)
{
    const auto& records = records_of(book, group).records;
    const auto found = records.find(key);
    return found == records.end() || found->second.removed ? nullptr : &found->second;
}

void trim_removals(record_replica& book, std::size_t kept)
{
    for (record_replica::collection_records& collection_records : book.collections) {
        std::vector<std::uint64_t> versions;
        for (const auto& [key, each] : collection_records.records) {
            if (each.removed) {
                versions.push_back(each.version);
            }
        }
        if (versions.size() <= kept) {
            continue;
        }
        std::ranges::sort(versions, std::greater<>());
        const std::uint64_t newest_forgotten = versions.at(kept);
        std::erase_if(collection_records.records, [&](const auto& each) {
            return each.second.removed && each.second.version <= newest_forgotten;
        });
        collection_records.history_start = std::max(collection_records.history_start, newest_forgotten);
    }
}

} // namespace camphorknot::steering
