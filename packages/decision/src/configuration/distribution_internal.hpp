/// @file
/// Steps shared by the files of the distribution.
#pragma once

#include "camphorknot/configuration/distribution.hpp"

namespace camphorknot::internal {

/// Time for which a peer or the object store is left alone after it failed to give what it should have.
inline constexpr duration failed_source_pause = std::chrono::seconds(3);

/// Finds the highest reported version again, after peers were forgotten.
void refresh_highest_report(distribution& state);

/// @return the highest version that the table or a live peer reported.
std::uint64_t highest_reported(const distribution& state);

/// @return whether so many changes are missing that the table must not be read for each of them by all
/// readers.
bool is_burst(const distribution& state);

/// Applies the change in @p text if it is the next one.
/// @return whether it was applied.
bool apply_text(distribution& state, std::uint64_t version, std::string text);

/// Puts a whole configuration of a higher version in force.
void install_snapshot(distribution& state, configuration snapshot);

/// Notes which regions and whether the table report nothing above the version in force.
void note_agreement(distribution& state);

/// Asks a peer for missing changes if one has them and none is being asked.
void request_changes(distribution& state, time_point now, outbox& out);

/// @return whether a peer is being asked or can be asked for the version after the one in force.
bool peer_can_help(const distribution& state, time_point now);

/// Sends the next parts of the whole configuration to the peers that need it.
void send_parts(distribution& state, outbox& out);

} // namespace camphorknot::internal
