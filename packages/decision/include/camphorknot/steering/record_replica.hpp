/// @file
/// Local replica of the versioned records in the store, updated from the store or from a peer's replica.
///
/// Both sources answer the query "changes after version V", so an instance may switch its source at any time.
/// A record is never replaced by an older version.
#pragma once

#include <array>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Groups of records; each is replicated separately.
enum class collection : std::uint8_t { orders, targets, rollout_states };
inline constexpr std::size_t collection_count = 3;

/// One version of a record.
struct record {
    collection group = collection::orders;
    std::string key{};
    std::string value{};
    std::uint64_t version = 0; ///< From the store's global version counter.
    bool removed = false;      ///< The record was deleted; its value is empty.
};

/// How far a collection is replicated.
struct record_position {
    std::uint64_t version = 0; ///< All changes up to this version are included.
    double as_of_s = -1;       ///< Store clock, s, at which this held; negative before the first update.
};

/// Update of one collection, from the store or a peer.
struct record_update {
    collection group = collection::orders;
    bool is_snapshot = false; ///< The records are complete: any other record was removed.
    std::vector<record> records{};
    record_position position{};
};

/// Replica of all collections.
struct record_replica {
    struct collection_records {
        /// By key. Removed records are kept, so that peers receive the removal as a change.
        std::map<std::string, record> records;
        record_position position;
        std::uint64_t history_start = 0; ///< Changes after this version are available one by one.
    };
    std::array<collection_records, collection_count> collections{};
    std::uint64_t change_count = 0; ///< Number of updates that changed a record.
};

/// @return the stored records of @p group.
inline record_replica::collection_records& records_of(record_replica& replica, collection group)
{
    return replica.collections.at(static_cast<std::size_t>(group));
}
inline const record_replica::collection_records& records_of(const record_replica& replica, collection group)
{
    return replica.collections.at(static_cast<std::size_t>(group));
}

/// Applies @p update. Records that are not newer than the stored version are ignored.
/// @return the records that changed.
std::vector<record> apply_update(record_replica& replica, const record_update& update);

/// @return the changes in @p group after @p position, or a snapshot if these changes are not available.
record_update changes_since(const record_replica& replica, collection group, const record_position& position);

/// @return the record, or null if it does not exist or was removed.
const record* find_record(const record_replica& replica, collection group, const std::string& key);

/// Drops all removals but the newest @p kept ones.
void trim_removals(record_replica& replica, std::size_t kept);

} // namespace camphorknot::steering
