/// @file
/// Versioned records that an instance follows, from the store or from a peer that read them there.
///
/// Both sources answer "what changed after version V", so an instance may change its source at any time. A
/// record never goes back to an older version.
#pragma once

#include <array>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Groups of records, each with an order of its own.
enum class collection : std::uint8_t { orders, targets, rollout_states };
inline constexpr std::size_t collection_count = 3;

/// One version of one record.
struct record {
    collection group = collection::orders;
    std::string key{};
    std::string value{};
    std::uint64_t version = 0; ///< From the store's single counter.
    bool removed = false;
};

/// How far a collection is known.
struct record_position {
    std::uint64_t version = 0; ///< All changes up to this one are known.
    double as_of_s = -1;       ///< Store's clock when that was so; negative while nothing is known.
};

/// What a source says of one collection.
struct record_update {
    collection group = collection::orders;
    bool is_snapshot = false; ///< The records are all that exist; what is not among them is gone.
    std::vector<record> records{};
    record_position position{};
};

/// Records of all collections.
struct record_replica {
    struct collection_records {
        std::map<std::string, record>
            records; ///< Removed ones stay, so that a peer can learn of the removal.
        record_position position;
        std::uint64_t history_start = 0; ///< Changes after this version can be told one by one.
    };
    std::array<collection_records, collection_count> collections{};
    std::uint64_t changes = 0; ///< Counts updates that changed a record.
};

inline record_replica::collection_records& records_of(record_replica& book, collection group)
{
    return book.collections.at(static_cast<std::size_t>(group));
}
inline const record_replica::collection_records& records_of(const record_replica& book, collection group)
{
    return book.collections.at(static_cast<std::size_t>(group));
}

/// Takes over @p update. Records with a version that is not newer are ignored.
/// @return the records that changed.
std::vector<record> apply_update(record_replica& book, const record_update& update);

/// @return what changed in @p group after @p known, or all of it if that cannot be told.
record_update changes_since(const record_replica& book, collection group, const record_position& known);

/// @return the value of a record that exists, or null.
const record* find_record(const record_replica& book, collection group, const std::string& key);

/// Forgets removals that are older than the newest @p kept ones.
void trim_removals(record_replica& book, std::size_t kept);

} // namespace camphorknot::steering
