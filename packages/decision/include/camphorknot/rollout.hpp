/// @file
/// Rollouts judged by a sequential test and paced backwards from their deadline, and drains (section 2.8).
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "camphorknot/configuration.hpp"
#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

enum class move_stage : std::uint8_t { waiting, running, soaking, done, rolled_back };
enum class move_reason : std::uint8_t {
    none,
    version_failing,
    version_slow,
    deadline,
    operator_request,
    targets_idle,
    cut_at_deadline
};

/// Durable state of a move: the table row "move/<name>".
struct move_state {
    move_id id;
    move_stage stage = move_stage::waiting;
    std::uint32_t share_percent = 0; ///< Share of the new version.
    std::uint32_t step = 0;          ///< Index into the stages.
    move_reason reason = move_reason::none;
    std::uint64_t row_version = 0; ///< Version of the table row; a change is conditional on it.
    std::uint64_t fencing_token = 0;
};

enum class verdict : std::uint8_t { undecided, good, bad_failing, bad_slow };

/// Rollouts and drains of one instance: its counts, pooled counts, verdicts and shares.
struct rollout_state;

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

/// What the move's lease holder should write next, or nothing. The write is conditional on row_version.
/// @param drained_in_flight requests in flight to the move's targets on all instances, if known.
std::optional<move_state> next_state(const rollout_state& state, move_id move, unix_milliseconds wall_now,
                                     time_point now, std::optional<std::uint64_t> drained_in_flight);

} // namespace camphorknot
