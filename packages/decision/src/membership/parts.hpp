/// @file
/// Functions that the source files of membership share.
#pragma once

#include "camphorknot/membership.hpp"

namespace camphorknot::internal {

/// Smallest number of @p regions that is a majority.
inline std::size_t majority_of(std::size_t regions)
{
    return regions / 2 + 1;
}

inline bool is_live(const member_entry& entry)
{
    return entry.known && entry.record.state <= member_state::leaving;
}

/// Known and not proved stopped.
inline bool may_act(const member_entry& entry)
{
    return entry.known && entry.record.state != member_state::left;
}

template <typename Body>
void send(membership& members, instance_id to, Body body, outbox& out)
{
    const member_record& self = members.settings.self;
    out.push_back({self.instance, self.number, to, std::move(body)});
}

// records.cpp
void merge_record(membership& members, const member_record& record, time_point now);
/// @param announce whether an event reports the fact.
bool learn_fact(membership& members, const fact& value, bool announce, time_point now);
void renumber(membership& members, incarnation above, time_point now);
void mark_stopped(membership& members, member_entry& entry, time_point now);
void note_version(membership& members, instance_id peer, std::uint64_t version, time_point now);
void note_epoch(membership& members, member_entry& entry, std::uint64_t epoch, time_point now);
void advance_epochs(membership& members, time_point now);
void reset_digests(membership& members);

// views.cpp
/// Copies what a contact may change into the cached live members.
void patch_live(membership& members, const member_record& record);
void refresh_peers(membership& members);
/// @return a random live peer in @p region, rather one that is not suspected.
std::optional<instance_id> random_peer(membership& members, region_id region);
/// @return a random region other than the own one that has live peers.
std::optional<region_id> random_far_region(membership& members);

// gossip.cpp
/// @return how often this instance sends one change.
unsigned send_limit(const membership& members);
void tick_gossip(membership& members, time_point now, outbox& out);
void on_gossip(membership& members, const envelope& message, const gossip& body, time_point now, outbox& out);
/// Sends the record and the fence known for @p peer, which acts under an old or fenced incarnation.
void correct_peer(membership& members, instance_id peer, outbox& out);
/// Sends the records that are new within the last seconds.
void send_recent_joins(membership& members, instance_id to, time_point now, outbox& out);

// authority.cpp
/// @return whether no other instance of the own region may act.
bool alone_in_region(const membership& members, time_point now);
/// Drops the settled state when authority has lapsed.
void refresh_settled(membership& members, time_point now);
void unsettle(membership& members, time_point now);
void try_settle(membership& members, time_point now);
/// @return whether a ping may be acknowledged as contact now.
bool gives_contact(const membership& members, time_point now);

// probes.cpp
void tick_probes(membership& members, time_point now, outbox& out);
void on_ping(membership& members, const envelope& message, const ping& body, time_point now, outbox& out);
void on_ping_ack(membership& members, const envelope& message, const ping_ack& body, time_point now,
                 outbox& out);
void on_indirect_ping(membership& members, const envelope& message, const indirect_ping& body, time_point now,
                      outbox& out);
void refute(membership& members, instance_id peer, incarnation number);

// fencing.cpp
void tick_fencing(membership& members, time_point now, outbox& out);
void on_fence_notice(membership& members, const envelope& message, const fence_notice& body, time_point now,
                     outbox& out);
void on_fence_ack(membership& members, const envelope& message, const fence_ack& body, time_point now);

} // namespace camphorknot::internal
