/// @file
/// Membership, failure detection, merging facts, fencing, and authority (docs/design.md, sections 2.2, 2.3
/// and 2.9).
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/membership/state.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

/// @return state that knows only itself, or the reason why @p settings are refused.
result<membership, membership_error> make_membership(const membership_settings& settings, time_point now);

/// Sends due probes and gossip, and moves suspicion and fencing on.
void tick(membership& members, time_point now, outbox& out);

/// Handles ping, ping_ack, indirect_ping, gossip, fence_notice, fence_ack and leave; ignores other messages.
void on_message(membership& members, const envelope& message, time_point now, outbox& out);

/// Adds hints on whom to contact. Knowledge from gossip is never overwritten by them.
void add_contacts(membership& members, std::span<const instance_contact> contacts, time_point now);

/// Changes what this instance says of itself; spreads with the next gossip.
void update_self(membership& members, std::uint64_t configuration_version, std::uint64_t ticket_epoch);

/// Replaces the regions that count towards authority, as the configuration changes.
void set_regions(membership& members, std::span<const region_id> regions);

/// @return whether a majority of regions acknowledged a ping sent less than authority_term before @p now.
bool has_authority(const membership& members, time_point now);

/// @return the time until which has_authority holds if nothing more is heard.
time_point authority_until(const membership& members);

/// @return whether a majority's acknowledgements name no fenced incarnation of this address (section 2.2).
bool owns_allocation_without_table(const membership& members);

/// Joins @p value to the facts and spreads it. @return false if it was known.
bool raise_fact(membership& members, const fact& value);

/// @return whether the fact is known.
bool knows_fact(const membership& members, const fact& value);

/// @return all members but those that left or were fenced, this instance included, ordered by id. Cached: the
/// reference holds until the next call that changes @p members.
const std::vector<member_record>& live_members(const membership& members);

/// @return the live instance of @p region, or of all regions if absent, with the highest rendezvous hash for
/// @p key.
std::optional<instance_id> choose_by_rendezvous(const membership& members, std::uint64_t key,
                                                std::optional<region_id> region,
                                                std::optional<failure_domain_id> domain);

/// @return what happened since the last call, in order.
std::vector<membership_event> take_events(membership& members);

/// Starts to leave: peers learn it by the fact and stop naming this instance. @see finish_leave
void begin_leave(membership& members, time_point now);

/// Sends leave to all live members; this instance must not act after it.
void finish_leave(membership& members, outbox& out);

} // namespace camphorknot
