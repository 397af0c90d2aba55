/// @file
/// Functions shared by the source files of the distribution.
#pragma once

#include "camphorknot/configuration/distribution.hpp"

namespace camphorknot::internal {

/// Time for which a peer is skipped, or the object store is not used, after it failed to provide what was
/// requested.
inline constexpr duration failed_source_delay = std::chrono::seconds(3);

/// Recomputes the highest reported version after peers were removed.
void refresh_highest_report(distribution& state);

/// @return the highest version that the table or a live peer reported.
std::uint64_t highest_reported(const distribution& state);

/// @return whether so many changes are missing that only one reader at a time may read them from the table.
bool is_burst(const distribution& state);

/// Applies the change in @p text if it leads to the version after the one in force.
/// @return whether the change was applied.
bool apply_text(distribution& state, std::uint64_t version, std::string text);

/// Replaces the configuration in force by @p snapshot if its version is higher.
void install_snapshot(distribution& state, configuration snapshot);

/// Updates agreed_regions and table_agreed after the version in force or a reported version changed.
void update_agreement(distribution& state);

/// Requests missing changes from a peer that has them, unless a request is outstanding.
void request_changes(distribution& state, time_point now, outbox& out);

/// @return whether a request to a peer is outstanding or a peer is available that has a newer version.
bool peer_available(const distribution& state, time_point now);

/// Sends the next parts of the snapshot to the peers with an open transfer.
void send_parts(distribution& state, outbox& out);

} // namespace camphorknot::internal
