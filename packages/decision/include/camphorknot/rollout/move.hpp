/// @file
/// Durable state of a move and the verdicts on a version.
#pragma once

#include <cstdint>

#include "camphorknot/core.hpp"

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

/// Durable state of a move; the configuration keeps it as a move_progress_object.
struct move_state {
    move_id id{};
    move_stage stage = move_stage::waiting;
    std::uint32_t share_percent = 0; ///< Share of the new version.
    std::uint32_t step = 0;          ///< Index into the stages.
    move_reason reason = move_reason::none;
    std::uint64_t row_version = 0; ///< Version of the configuration that holds it; an older state is ignored.
    std::uint64_t fencing_token = 0;
};

enum class verdict : std::uint8_t { undecided, good, failing, slow };

} // namespace camphorknot
