/// @file
/// Rollouts, which are judged by a sequential test and paced so that they end before their deadline, and
/// drains (section 2.8).
///
/// Counts are pooled in two steps. Each instance sends its own counts, cumulative for the current step of the
/// move, to the pooling instance of its region, which is chosen by a rendezvous hash over the live members.
/// Pooling instances exchange the sums of their regions and send the sum of the fleet to members of their
/// region, at most eight per round. Lost, repeated or reordered messages are harmless, since the receiver
/// keeps the largest count of each sender and incarnation, and of each region. A round takes 250 ms for every
/// 12 members of the region, rounded up. With 2,400 instances in 21 regions, 3 routes and one move, a round
/// takes 2.5 s; at an estimated 350 B per message, a member sends 0.14 KB/s, and a pooling instance receives
/// 19 KB/s and sends 4 KB/s.
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

/// Adds the move, or updates it to a newer durable state. A state with a lower row version is ignored.
void set_move(rollout_state& state, const move_object& move, const move_state& durable, time_point now);

/// Chooses the version for one request, such that new <= share * total + 1 holds for the requests of a step.
version_id choose_version(rollout_state& state, const service_object& service, time_point now);

/// Counts the outcome and the latency of a request, for the baseline and for the tests of a running rollout.
void count_outcome(rollout_state& state, service_id service, route_id route, version_id version, bool failed,
                   duration latency, std::uint64_t request_kb, time_point now);

/// Handles counts sent by other instances.
void on_message(rollout_state& state, const envelope& message, time_point now);

/// Once per round, sends counts to live members and adds new counts to the evidence of the tests.
/// @return a fact version_stopped for each version that must get no more requests.
std::vector<fact> tick(rollout_state& state, std::span<const member_record> live, time_point now,
                       outbox& out);

/// Handles the fact version_stopped.
void on_version_stopped(rollout_state& state, service_id service, version_id version);

/// @return the current verdict on the move's new version.
verdict judge(const rollout_state& state, move_id move);

/// @param drained_in_flight requests in flight to the move's targets on all instances, if available.
/// @return the state that the move's lease holder should write next, or nothing. The write must be
/// conditional on the configuration's version.
std::optional<move_state> next_state(const rollout_state& state, move_id move, unix_milliseconds wall_now,
                                     time_point now, std::optional<std::uint64_t> drained_in_flight);

} // namespace camphorknot
