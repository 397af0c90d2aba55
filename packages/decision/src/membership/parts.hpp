/// @file
/// Internal functions shared by the source files of membership.
#pragma once

#include "camphorknot/membership.hpp"

namespace camphorknot::internal {

/// Smallest number of @p regions that is a majority.
inline std::size_t majority_of(std::size_t regions)
{
    return regions / 2 + 1;
}

/// @return whether the member has a record and neither left nor was fenced.
inline bool is_live(const member_entry& entry)
{
    return entry.has_record && entry.record.state <= member_state::leaving;
}

/// @return whether the member has a record and is not proved stopped; a fenced one may still be running.
inline bool may_be_running(const member_entry& entry)
{
    return entry.has_record && entry.record.state != member_state::left;
}

template <typename Body>
void send(membership& members, instance_id to, Body body, outbox& out)
{
    const member_record& self = members.settings.self;
    out.push_back({self.instance, self.number, to, std::move(body)});
}

// records.cpp
void merge_record(membership& members, const member_record& record, time_point now);
/// Adds the fact and applies its effect on members. @return false if it was present already.
/// @param emit_event whether a fact_added event is emitted.
bool add_fact(membership& members, const fact& value, bool emit_event, time_point now);
/// Gives this instance an incarnation higher than @p above and its current one, and drops contact,
/// probes and the settled state.
void renumber(membership& members, incarnation above, time_point now);
/// Records that the member is proved stopped and emits the event.
void mark_stopped(membership& members, member_entry& entry, time_point now);
/// Updates the peer's stored configuration version. Emits newer_configuration_seen, at a limited rate, if it
/// is higher than that of this instance.
void on_version_received(membership& members, instance_id peer, std::uint64_t version, time_point now);
void on_epoch_received(membership& members, member_entry& entry, std::uint64_t epoch, time_point now);
/// Extrapolates the ticket epochs of live members since they were received.
void advance_epochs(membership& members, time_point now);
void reset_digests(membership& members);

// views.cpp
/// Copies the fields that change without invalidating the cache into the cached live members.
void update_live_cache(membership& members, const member_record& record);
void refresh_live_peers(membership& members);
/// @return a random live peer in @p region, preferring peers that are not suspected.
std::optional<instance_id> random_peer(membership& members, region_id region);
/// @return a random region with live peers, other than this instance's region.
std::optional<region_id> random_remote_region(membership& members);

// gossip.cpp
/// @return how many times this instance sends each change.
unsigned send_limit(const membership& members);
void tick_gossip(membership& members, time_point now, outbox& out);
void on_gossip(membership& members, const envelope& message, const gossip& body, time_point now, outbox& out);
/// Sends @p peer, which uses an old or fenced incarnation, its stored record and fence.
void send_correction(membership& members, instance_id peer, outbox& out);
/// Sends the records of live members that joined or changed recently.
void send_recent_joins(membership& members, instance_id to, time_point now, outbox& out);

// authority.cpp
/// @return whether no other instance of this instance's region may be running.
bool is_alone_in_region(const membership& members, time_point now);
/// Drops the settled state once contact with a majority of regions has lapsed.
void refresh_settled(membership& members, time_point now);
/// Drops the settled state; this instance then pulls the full state again.
void unsettle(membership& members, time_point now);
/// Sets the settled state if the facts match those of a majority of regions.
void try_settle(membership& members, time_point now);
/// @return whether a ping may be acknowledged as contact (see region_contact) now.
bool can_grant_contact(const membership& members, time_point now);

// probes.cpp
void tick_probes(membership& members, time_point now, outbox& out);
void on_ping(membership& members, const envelope& message, const ping& body, time_point now, outbox& out);
void on_ping_ack(membership& members, const envelope& message, const ping_ack& body, time_point now,
                 outbox& out);
void on_indirect_ping(membership& members, const envelope& message, const indirect_ping& body, time_point now,
                      outbox& out);
/// Ends a suspicion of @p peer if a message shows that @p number or a later incarnation is alive.
void refute_suspicion(membership& members, instance_id peer, incarnation number);

// fencing.cpp
void tick_fencing(membership& members, time_point now, outbox& out);
void on_fence_notice(membership& members, const envelope& message, const fence_notice& body, time_point now,
                     outbox& out);
void on_fence_ack(membership& members, const envelope& message, const fence_ack& body, time_point now);

} // namespace camphorknot::internal
