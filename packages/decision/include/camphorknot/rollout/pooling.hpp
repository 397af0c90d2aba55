/// @file
/// Exchange of counts between instances; internal to rollout.
#pragma once

#include <span>

#include "camphorknot/rollout/state.hpp"

namespace camphorknot::internal {

/// @return the length of a round of the exchange in a region with @p members instances.
duration round_length(std::size_t members);

/// Sends this instance's counts to the pooling instance; a pooling instance sends the sums of its region and
/// of the fleet instead.
void exchange_counts(rollout_state& state, std::span<const member_record> live, outbox& out);

/// @return the counts of the fleet, as far as they have reached this instance.
step_counts pooled_counts(const rollout_state& state, const rollout_move& move);

/// Adds new counts to the evidence of all moves. @p elapsed is the time since the last call.
void judge_moves(rollout_state& state, duration elapsed);

/// @return bounds of the tests on pooled counts of the move.
judge_bounds pooled_bounds(const rollout_move& move);

/// @return bounds of the tests on this instance's counts of the move.
judge_bounds local_bounds(const rollout_state& state, const rollout_move& move);

/// @return whether the move is a rollout whose new version gets traffic.
bool gets_traffic(const rollout_move& move);

} // namespace camphorknot::internal
