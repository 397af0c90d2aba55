/// @file
/// Spread of configuration versions: table readers, peers, and when a fresh instance may serve (section 2.3).
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "camphorknot/configuration/store.hpp"
#include "camphorknot/lease.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

struct distribution_settings {
    instance_id self;
    region_id region;
    std::uint64_t seed = 0;
    duration read_period = std::chrono::milliseconds(500);
    duration silent_readers_term = std::chrono::seconds(3);
    std::uint32_t readers_per_region = 2;
};

/// Distribution state of one instance; owns its configuration and the recent changes that peers may ask for.
struct distribution;

distribution make_distribution(const distribution_settings& settings, time_point now);

/// What to read from the table or object store next; at most one read is under way.
struct distribution_read {
    std::optional<table_read> table;
    std::optional<std::string> object; ///< Name of a snapshot in the object store.
};
distribution_read tick(distribution& state, std::span<const member_record> live, time_point now, outbox& out);

void on_table_answer(distribution& state, const table_answer& answer, time_point now);
void on_object_answer(distribution& state, std::optional<std::string_view> text, time_point now);

/// Handles change_request and change_reply; ignores other messages.
void on_message(distribution& state, const envelope& message, time_point now, outbox& out);

/// Gossip or a ping_ack showed that @p peer of @p region has @p version, and how old its confirmation by a
/// reader is.
void on_version_seen(distribution& state, instance_id peer, region_id region, std::uint64_t version,
                     duration reader_age, time_point now);

/// @return the configuration in force.
const configuration& in_force(const distribution& state);

/// @return whether the version in force can be trusted: the table named it, or a majority of @p regions
/// reported none higher.
bool may_serve(const distribution& state, std::span<const region_id> regions);

/// @return time since a reader confirmed the version, to be sent in gossip.
duration reader_age(const distribution& state, time_point now);

/// @return changes applied since the last call, in order.
std::vector<configuration_change> take_applied(distribution& state);

/// A transaction that makes @p next the configuration if the head is still at next.version - 1.
table_transaction make_change_transaction(const configuration_change& next, std::uint64_t head_row_version,
                                          std::uint64_t operation);

} // namespace camphorknot
