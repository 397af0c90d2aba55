/// @file
/// Spread of configuration versions: table readers, peers, and when a fresh instance may serve (section 2.3).
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
/// A snapshot is written at each multiple of this version.
inline constexpr std::uint64_t snapshot_interval = 256;
/// Age that says that no reader's confirmation is known, as for a version from a ping_ack.
inline constexpr duration reader_age_unknown = duration::max();

/// @return name of the row with the change that leads to @p version.
std::string change_row(std::uint64_t version);
/// @return name of the snapshot of @p version in the object store.
std::string snapshot_name(std::uint64_t version);

struct distribution_settings {
    instance_id self;
    region_id region;
    std::uint64_t seed = 0;
    duration read_period = std::chrono::milliseconds(500);
    duration silent_readers_term = std::chrono::seconds(3);
    std::uint32_t readers_per_region = 2;
};

/// What happened so far; for metrics.
struct distribution_counts {
    std::uint64_t table_reads = 0;
    std::uint64_t table_failures = 0;
    std::uint64_t object_reads = 0;
    std::uint64_t peer_requests = 0;
    std::uint64_t peer_timeouts = 0;
    std::uint64_t older_ignored = 0;  ///< Versions not above the one in force: duplicates and late answers.
    std::uint64_t gaps_ignored = 0;   ///< Changes that came before the ones they follow.
    std::uint64_t malformed = 0;      ///< Texts that could not be decoded.
    std::uint64_t conflicting = 0;    ///< Texts that differ from the one applied for the same version.
    std::uint64_t snapshots_sent = 0; ///< Whole configurations sent to peers.
};

namespace internal {

struct version_report {
    region_id region;
    std::uint64_t version = 0;
    time_point skip_until{}; ///< The peer did not give what it reported; others are asked until then.
};

enum class read_kind : std::uint8_t { head, change, snapshot };

struct read_under_way {
    read_kind kind{};
    std::uint64_t version = 0; ///< Of the change or snapshot.
    time_point sent;
};

struct peer_request {
    instance_id peer;
    time_point last_heard; ///< Sending of the request, or the last part of the answer.
};

/// A snapshot from a peer, in parts, while it is incomplete.
struct partial_snapshot {
    instance_id peer;
    std::uint64_t version = 0;
    std::vector<std::optional<std::string>> parts;
};

/// The configuration in parts for peers that are too far behind for single changes.
struct snapshot_transfers {
    std::uint64_t version = 0;
    std::vector<std::string> parts;
    std::map<instance_id, std::size_t> next_part; ///< For each peer that is being sent the parts.
};

} // namespace internal

/// Name and text of a snapshot to be put in the object store.
struct snapshot_write {
    std::string name;
    std::string text;
};

/// Distribution state of one instance; owns its configuration and the recent changes that peers may ask for.
/// The members are internal; users go through the functions below.
///
/// @code
/// distribution state = make_distribution({self, region, seed}, now);
/// distribution_read next = tick(state, live, now, out);
/// @endcode
struct distribution {
    distribution_settings settings;
    random_source random;
    configuration current;
    std::set<region_id> own_regions; ///< Regions in the configuration in force.
    std::deque<encoded_change> recent;
    std::size_t recent_bytes = 0;
    std::vector<configuration_change> applied;
    std::vector<member_record> live;
    time_point next_live_check;
    std::map<instance_id, internal::version_report> reports;
    std::uint64_t highest_report = 0;   ///< Highest version in reports.
    std::set<region_id> agreed_regions; ///< Regions whose reports did not exceed the version in force once.
    std::optional<table_row> head;      ///< As last read, value and row version.
    std::uint64_t head_version = 0;
    bool table_agreed = false; ///< The version in force was once at least the table's.
    std::optional<time_point> confirmed;
    time_point started;
    time_point next_head_read;
    time_point next_change_read;
    bool reads_burst = false;               ///< This instance reads a burst of changes for the others.
    std::optional<time_point> behind_since; ///< Start of waiting for the next version that is known to exist.
    time_point skip_objects_until;          ///< The object store failed or had no snapshot.
    std::uint32_t read_failures = 0;
    std::optional<internal::read_under_way> read;
    std::optional<internal::peer_request> request;
    std::optional<internal::partial_snapshot> partial;
    internal::snapshot_transfers transfers;
    std::optional<snapshot_write> unwritten;
    time_point next_snapshot_write;
    bool snapshot_write_under_way = false;
    distribution_counts counts;
};

distribution make_distribution(const distribution_settings& settings, time_point now);

/// What to read from the table or object store next; at most one read is under way.
struct distribution_read {
    std::optional<table_read> table;
    std::optional<std::string> object; ///< Name of a snapshot in the object store.
};

/// @param live records of the members that are not known to have stopped; this instance may be among them.
distribution_read tick(distribution& state, std::span<const member_record> live, time_point now, outbox& out);

/// An answer to the last read. One that belongs to an earlier read is recognised by its row and ignored.
void on_table_answer(distribution& state, const table_answer& answer, time_point now);
/// @param text nothing if the object does not exist or the store gave no answer.
void on_object_answer(distribution& state, std::optional<std::string_view> text, time_point now);

/// Handles change_request and change_reply; ignores other messages.
void on_message(distribution& state, const envelope& message, time_point now, outbox& out);

/// Gossip or a ping_ack showed that @p peer of @p region has @p version, and how old its confirmation by a
/// reader is.
/// @param version as the peer's reported_version; 0 says nothing about the configuration.
/// @param reader_age reader_age_unknown if the message does not tell.
void on_version_seen(distribution& state, instance_id peer, region_id region, std::uint64_t version,
                     duration reader_age, time_point now);

/// @return the configuration in force.
const configuration& in_force(const distribution& state);

/// @return whether the version in force can be trusted: the table named it, or a majority of @p regions (and
/// of the regions in the configuration itself) reported none higher. Once true, it stays true, since a
/// version that was trusted only gets replaced by higher ones.
bool may_serve(const distribution& state, std::span<const region_id> regions);

/// @return the version to put into gossip, ping_ack and member records: 0 until it can be trusted, so that
/// fresh instances never take each other's guesses for a majority.
std::uint64_t reported_version(const distribution& state, std::span<const region_id> regions);

/// @return time since a reader confirmed the version, to be sent in gossip; reader_age_unknown if none has.
duration reader_age(const distribution& state, time_point now);

/// @return changes applied since the last call, in order. One that comes from a snapshot stands for several,
/// so that versions can be skipped.
std::vector<configuration_change> take_applied(distribution& state);

/// @return the snapshot that this instance is to put in the object store, if any. The two live instances with
/// the highest rendezvous hash of a version write its snapshot; both texts are the same, so two writes do no
/// harm.
std::optional<snapshot_write> take_snapshot_write(distribution& state, time_point now);
/// The answer to the write of take_snapshot_write; a failed one is offered again after a pause.
void on_snapshot_written(distribution& state, bool written, time_point now);

/// The head row as last read, or nothing before the first read; the value is empty and the version 0 if it
/// does not exist. Its row version is what make_change_transaction needs.
std::optional<table_row> head_row(const distribution& state);

/// The transaction of make_change_transaction took effect: applies @p change without waiting for a reader.
void on_change_committed(distribution& state, const configuration_change& change);

/// A transaction that makes @p next the configuration if the head is still at next.version - 1.
/// @param head_row_version version of the head row, 0 if it does not exist yet.
table_transaction make_change_transaction(const configuration_change& next, std::uint64_t head_row_version,
                                          std::uint64_t operation);

} // namespace camphorknot
