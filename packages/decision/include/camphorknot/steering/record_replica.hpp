/// @file
/// Local replica of the versioned records in the store, updated from the store or from a peer's replica.
///
/// The store may return from an old copy; its versions then go back and are given out again, in a new era. A
/// version here has the era in its upper bits, so that versions of different eras are in order.
///
/// Both sources answer the query "changes after version V", so an instance may switch its source at any time.
/// A record is never replaced by an older version.
///
/// A large record, such as the configuration, reaches a peer that has an earlier version of it as patches:
/// the replica keeps those between the latest versions, so that a change costs its own size at each instance.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/steering/text_patch.hpp"

namespace camphorknot::steering {

/// Groups of records; each is replicated separately.
enum class collection : std::uint8_t { orders, targets, rollout_states };
inline constexpr std::size_t collection_count = 3;

/// Number of bits of a version that hold the store's own version.
inline constexpr unsigned era_shift = 40;

constexpr std::uint64_t make_version(std::uint64_t era, std::uint64_t store_version)
{
    return (era << era_shift) | store_version;
}
constexpr std::uint64_t era_of(std::uint64_t version)
{
    return version >> era_shift;
}
constexpr std::uint64_t store_version_of(std::uint64_t version)
{
    return version & ((std::uint64_t{1} << era_shift) - 1);
}

/// Change of a record's value from one version to a later one.
struct record_patch {
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    text_patch change{};
};

/// One version of a record.
struct record {
    collection group = collection::orders;
    std::string key{};
    std::string value{};
    std::uint64_t version = 0; ///< From make_version, with the store's global version counter.
    bool removed = false;      ///< The record was deleted; its value is empty.
    /// In an update from a peer, in place of the value: what leads to it from the version that the receiver
    /// has. Empty in a replica.
    std::vector<record_patch> patches{};
};

/// A large record of which an instance has a version, so that it can be sent patches.
struct held_record {
    collection group = collection::orders;
    std::string key{};
    std::uint64_t version = 0;
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
        /// By key of a large record: what led to its version, oldest first.
        std::map<std::string, std::deque<record_patch>> patches{};
        /// By key of a large record: its latest earlier versions, newest first. Instances that read the store
        /// at other times have other versions; a patch may be based on one that both had.
        std::map<std::string, std::deque<record>> earlier{};
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

/// @return whether the content of the first record, which may be removed, is known to be newer than that of
/// the second.
using content_order = std::function<bool(const record&, const record&)>;

/// Applies @p update. Records that are not newer than the stored version are ignored.
///
/// The first update of a new era comes from an old copy. It undoes nothing that is known to be newer by
/// @p is_newer, and records that the copy lacks are kept until the next snapshot, since their writers write
/// them again. All other records are taken over: one that was removed may have been written again since.
/// @param is_newer decides on the content of records of different eras, and on removals that the store
/// contradicts; null if no content is known to be newer.
/// @return the records that changed.
std::vector<record> apply_update(record_replica& replica, const record_update& update,
                                 const content_order& is_newer = nullptr);

/// @param held large records that the receiver has; they are sent as patches if these are available and much
/// smaller. Empty if it takes no patches.
/// @return the changes in @p group after @p position, or a snapshot if these changes are not available.
record_update changes_since(const record_replica& replica, collection group, const record_position& position,
                            std::span<const held_record> held = {});

/// @return the large records of the replica, with their versions that patches may be based on.
std::vector<held_record> large_records(const record_replica& replica);

/// Replaces the patches in @p update by the values that they lead to. A record that is not newer than the
/// replica's is replaced by that one.
/// @return patch_fault::none, or why a value could not be made; the update must then not be applied.
patch_fault resolve_patches(const record_replica& replica, record_update& update);

/// @return the record, or null if it does not exist or was removed.
const record* find_record(const record_replica& replica, collection group, const std::string& key);

/// Drops all removals but the newest @p kept ones.
void trim_removals(record_replica& replica, std::size_t kept);

} // namespace camphorknot::steering
