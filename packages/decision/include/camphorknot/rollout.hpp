/// @file
/// Rollouts judged by a sequential test and paced backwards from their deadline, and drains (section 2.8).
///
/// Counts are pooled in two steps. Each instance sends its own counts, cumulative for the move's present
/// step, to one pooling instance of its region, chosen by rendezvous hash over the live members. Pooling
/// instances exchange the sums of their regions and send the sum of the fleet to members of their region, at
/// most eight a round. A lost, repeated or reordered message does no harm, as the receiver keeps the largest
/// count of each sender and incarnation, and of each region. A round takes 250 ms for each 12 members of the
/// region, or part of it. With 2,400 instances in 21 regions, 3 routes and one move, a round takes 2.5 s; at
/// an estimated 350 B a message, a member sends 0.14 KB/s, and a pooling instance receives 19 KB/s and sends
/// 4 KB/s.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "camphorknot/configuration.hpp"
#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"
#include "camphorknot/rollout/move.hpp"
#include "camphorknot/rollout/state.hpp"

namespace camphorknot {

rollout_state make_rollout_state(instance_id self, std::uint64_t seed);

/// Adds the move or takes over its newer durable state. A state with a lower row version is ignored.
void set_move(rollout_state& state, const move_object& move, const move_state& durable, time_point now);

/// @return the version that a request should go to; holds new <= share * total + 1 per service.
version_id choose_version(rollout_state& state, const service_object& service, time_point now);

/// Counts an answered or failed request for the judge.
void count_outcome(rollout_state& state, service_id service, route_id route, version_id version, bool failed,
                   duration latency, std::uint64_t request_kb, time_point now);

/// Takes in counts of other instances.
void on_message(rollout_state& state, const envelope& message, time_point now);

/// Sends own counts to live members and judges. @return versions to stop at once.
std::vector<fact> tick(rollout_state& state, std::span<const member_record> live, time_point now,
                       outbox& out);

/// The fact version_stopped was learned.
void on_version_stopped(rollout_state& state, service_id service, version_id version);

/// @return the present verdict on the move's new version.
verdict judge(const rollout_state& state, move_id move);

/// What the move's lease holder should write next, or nothing. The write is conditional on the
/// configuration's version.
/// @param drained_in_flight requests in flight to the move's targets on all instances, if known.
std::optional<move_state> next_state(const rollout_state& state, move_id move, unix_milliseconds wall_now,
                                     time_point now, std::optional<std::uint64_t> drained_in_flight);

} // namespace camphorknot
