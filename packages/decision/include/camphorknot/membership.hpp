/// @file
/// Membership of one instance: gossip of member records and facts, failure detection, fencing, and authority
/// (docs/design.md, sections 2.2, 2.3 and 2.9). The functions take no locks: calls for one membership must
/// not overlap, not even const ones such as live_members.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/membership/state.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

/// @return a membership that contains only this instance, or the reason why @p settings are refused.
result<membership, membership_error> make_membership(const membership_settings& settings, time_point now);

/// Appends due probes and gossip to @p out and advances suspicions and fencing.
void tick(membership& members, time_point now, outbox& out);

/// Handles ping, ping_ack, indirect_ping, gossip, fence_notice, fence_ack and leave; ignores other messages.
void on_message(membership& members, const envelope& message, time_point now, outbox& out);

/// Adds addresses of instances to contact. An instance whose record was already received is not changed.
void add_contacts(membership& members, std::span<const instance_contact> contacts, time_point now);

/// Sets the configuration version and the ticket epoch that this instance reports to its peers.
void update_self(membership& members, std::uint64_t configuration_version, std::uint64_t ticket_epoch);

/// Replaces the regions that count towards authority; called when the configuration changes.
void set_regions(membership& members, std::span<const region_id> regions);

/// @return whether this instance may act: it is settled, has not left, and each of a majority of regions
/// acknowledged a ping that it sent less than authority_term before @p now. The region of this instance
/// counts without a ping if no other instance may be running there.
bool has_authority(const membership& members, time_point now);

/// @return the time until which has_authority holds if no further acknowledgement is received; the minimum of
/// time_point if there is no authority, the maximum if it does not expire.
time_point authority_until(const membership& members);

/// @return whether a majority of regions acknowledged pings without reporting a fenced incarnation of this
/// address. This instance then owns its allocation without a claim in the table (section 2.2).
bool owns_allocation_without_table(const membership& members);

/// Adds @p value to the facts and spreads it; emits no event. @return false if it was present already.
bool raise_fact(membership& members, const fact& value);

bool has_fact(const membership& members, const fact& value);

/// @return all members except those that left or were fenced, ordered by id, including this instance until it
/// has left. The result is cached: the reference is valid until the next call that changes @p members.
const std::vector<member_record>& live_members(const membership& members);

/// @return the live instance with the highest rendezvous hash for @p key among those in @p region and @p
/// domain; an absent argument does not restrict the choice. A leaving instance is chosen only if there is no
/// other.
std::optional<instance_id> choose_by_rendezvous(const membership& members, std::uint64_t key,
                                                std::optional<region_id> region,
                                                std::optional<failure_domain_id> domain);

/// Returns the events since the last call, oldest first, and removes them.
std::vector<membership_event> take_events(membership& members);

/// Starts a graceful leave: raises the fact instance_leaving, after which peers stop returning this instance
/// in look-ups. @see finish_leave
void begin_leave(membership& members, time_point now);

/// Sends leave to all live members. Afterwards this instance has no authority and ignores messages and ticks.
void finish_leave(membership& members, outbox& out);

} // namespace camphorknot
