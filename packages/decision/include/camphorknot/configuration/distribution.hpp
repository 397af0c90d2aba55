/// @file
/// Distribution of configuration versions to all instances (docs/design.md, section 2.3). In each region a
/// few instances, the readers, poll the table for new versions; the others get the changes from peers. Also
/// decides when an instance that has just started may serve its configuration.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "camphorknot/configuration/store.hpp"
#include "camphorknot/lease.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

/// Row whose value is the configuration version in decimal.
inline constexpr std::string_view configuration_head_row = "config/head";
/// Number of versions between two snapshots: one is written for each version that is a multiple of it.
inline constexpr std::uint64_t snapshot_interval = 256;
/// Value of an age if no confirmation by a reader is known, as for a version received in a ping_ack.
inline constexpr duration reader_age_unknown = duration::max();

/// @return name of the row with the change that leads to @p version.
std::string change_row(std::uint64_t version);
/// @return name of the snapshot of @p version in the object store.
std::string snapshot_name(std::uint64_t version);

struct distribution_settings {
    instance_id self; ///< This instance.
    region_id region;
    std::uint64_t seed = 0;
    duration read_period = std::chrono::milliseconds(500); ///< Time between two polls of a reader.
    /// An instance that is not a reader reads the table itself if no reader has confirmed a version, or a
    /// version known to exist has not arrived, for this long.
    duration reader_timeout = std::chrono::seconds(3);
    std::uint32_t readers_per_region = 2;
};

/// Counts since the start of the process, for metrics.
struct distribution_counts {
    std::uint64_t table_reads = 0;
    std::uint64_t table_failures = 0;
    std::uint64_t object_reads = 0;
    std::uint64_t peer_requests = 0;
    std::uint64_t peer_timeouts = 0;
    std::uint64_t older_ignored = 0; ///< Texts of versions not above that in force: repeated or late answers.
    std::uint64_t gaps_ignored = 0;  ///< Changes that arrived before their predecessors.
    std::uint64_t malformed = 0;     ///< Texts that could not be decoded.
    std::uint64_t conflicting = 0;   ///< Texts that differ from the one applied for their version.
    std::uint64_t snapshots_sent = 0; ///< Transfers of a whole configuration to a peer.
};

namespace internal {

/// Highest version that a peer has reported.
struct version_report {
    region_id region;
    std::uint64_t version = 0;
    time_point skip_until{}; ///< Set after the peer did not provide the version it reported.
};

enum class read_kind : std::uint8_t { head, change, snapshot };

/// A read of the table or object store that has not been answered.
struct read_attempt {
    read_kind kind{};
    std::uint64_t version = 0; ///< Version of the change or snapshot; 0 for the head.
    time_point sent;
};

/// A change_request that has not been answered completely.
struct peer_request {
    instance_id peer;
    time_point last_received; ///< Time of the last part of the answer, or of the request.
};

/// The parts received so far of a snapshot that a peer sends.
struct partial_snapshot {
    instance_id peer;
    std::uint64_t version = 0;
    std::vector<std::optional<std::string>> parts;
};

/// A snapshot of the configuration in parts, and the peers that it is being sent to because they need changes
/// that are no longer in memory.
struct snapshot_transfers {
    std::uint64_t version = 0;
    std::vector<std::string> parts;
    std::map<instance_id, std::size_t> next_part; ///< Index of the next part to send to each peer.
};

} // namespace internal

/// Name and text of a snapshot to be written to the object store.
struct snapshot_write {
    std::string name;
    std::string text;
};

/// Distribution state of one instance; owns its configuration and the recent changes that peers may request.
/// The members are internal and accessed through the functions below only.
///
/// @code
/// distribution state = make_distribution({self, region, seed}, now);
/// distribution_read next = tick(state, live, now, out);
/// @endcode
struct distribution {
    distribution_settings settings;
    random_source random;
    configuration current;
    std::set<region_id> configured_regions;    ///< Regions of the configuration in force.
    std::deque<encoded_change> recent_changes; ///< Kept for peers that are behind, oldest first.
    std::size_t recent_change_bytes = 0;
    std::vector<configuration_change> applied_changes; ///< Not yet returned by take_applied.
    std::vector<member_record> live_members; ///< Copy of the argument of tick, updated periodically.
    time_point next_live_update;
    std::map<instance_id, internal::version_report> reports;
    std::uint64_t highest_report = 0; ///< Highest version in @c reports.
    /// Regions none of whose reports exceeded the version in force at some time.
    std::set<region_id> agreed_regions;
    std::optional<table_row> head; ///< Head row as last read.
    std::uint64_t head_version = 0;
    bool table_agreed = false; ///< The version in force has reached the version that the table named.
    std::optional<time_point> last_confirmation; ///< Last time at which a reader read the head row.
    time_point started;
    time_point next_head_read;
    time_point next_change_read;
    bool is_burst_reader = false;           ///< This instance reads a burst of changes on behalf of all.
    std::optional<time_point> behind_since; ///< Since when the next version exists but has not been received.
    time_point skip_objects_until;          ///< Set after the object store failed or had no snapshot.
    std::uint32_t read_failures = 0;        ///< Consecutive failed reads of the table.
    std::optional<internal::read_attempt> outstanding_read;
    std::optional<internal::peer_request> outstanding_request;
    std::optional<internal::partial_snapshot> partial;
    internal::snapshot_transfers transfers;
    std::optional<snapshot_write> pending_snapshot_write;
    time_point next_snapshot_write;
    bool snapshot_write_in_progress = false;
    distribution_counts counts;
};

distribution make_distribution(const distribution_settings& settings, time_point now);

/// The next read to send to the table or the object store; empty if there is none. At most one read is
/// outstanding.
struct distribution_read {
    std::optional<table_read> table;
    std::optional<std::string> object; ///< Name of a snapshot in the object store.
};

/// Sends requests and snapshot parts to peers and decides on the next read. To be called regularly; the time
/// between two calls limits the rate at which snapshot parts are sent.
/// @param live records of the members that are not known to have stopped; may include this instance.
/// @return the read to send now; its answer goes to on_table_answer or on_object_answer.
distribution_read tick(distribution& state, std::span<const member_record> live, time_point now, outbox& out);

/// Handles the answer to the outstanding table read. An answer that carries another row than the one read
/// belongs to an earlier read and is ignored.
void on_table_answer(distribution& state, const table_answer& answer, time_point now);
/// Handles the answer to the outstanding read of a snapshot.
/// @param text nothing if the object does not exist or the store did not answer.
void on_object_answer(distribution& state, std::optional<std::string_view> text, time_point now);

/// Handles change_request and change_reply; ignores other messages.
void on_message(distribution& state, const envelope& message, time_point now, outbox& out);

/// Handles the version that @p peer of @p region reported in gossip or a ping_ack.
/// @param version reported_version of the peer; 0 if the peer does not trust its configuration yet.
/// @param reader_age reader_age of the peer; reader_age_unknown if the message does not carry it.
void on_version_reported(distribution& state, instance_id peer, region_id region, std::uint64_t version,
                         duration reader_age, time_point now);

/// @return the configuration in force.
const configuration& in_force(const distribution& state);

/// @return whether the version in force can be trusted: it has reached the version that the table named, or a
/// majority of @p regions and a majority of the regions of the configuration itself reported no higher
/// version. Once true it stays true, since a trusted version is only replaced by higher ones.
bool may_serve(const distribution& state, std::span<const region_id> regions);

/// @return the version to send in gossip, ping_ack and member records: 0 until it can be trusted, so that
/// instances that have just started don't count each other's unconfirmed versions towards a majority.
std::uint64_t reported_version(const distribution& state, std::span<const region_id> regions);

/// @return time since a reader last confirmed the version, to be sent in gossip; reader_age_unknown if no
/// confirmation has been received.
duration reader_age(const distribution& state, time_point now);

/// @return the changes applied since the last call, in order. The change from one configuration to a snapshot
/// covers several versions, so that version numbers may be skipped.
std::vector<configuration_change> take_applied(distribution& state);

/// @return the snapshot that this instance is to write to the object store, if any. The two live instances
/// with the highest rendezvous hash for a version write its snapshot; both texts are identical, so that the
/// second write changes nothing.
std::optional<snapshot_write> take_snapshot_write(distribution& state, time_point now);
/// Handles the result of the write of take_snapshot_write, which returns a failed write again after a pause.
void on_snapshot_written(distribution& state, bool written, time_point now);

/// @return the head row as last read, or nothing before the first read. If the row does not exist, its value
/// is empty and its version 0. make_change_transaction needs the version of this row.
std::optional<table_row> head_row(const distribution& state);

/// To be called after the transaction of make_change_transaction was committed: applies @p change without
/// waiting for a reader.
void on_change_committed(distribution& state, const configuration_change& change);

/// @return a transaction that stores @p next and makes next.version the head, if the head is still at
/// next.version - 1.
/// @param head_row_version version of the head row, 0 if it does not exist yet.
/// @param operation identifier of the transaction.
table_transaction make_change_transaction(const configuration_change& next, std::uint64_t head_row_version,
                                          std::uint64_t operation);

} // namespace camphorknot
