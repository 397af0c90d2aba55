// Records of a request's sends, and the log of refusals that promise "not run" after a send.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "target_exchange.hpp"

namespace camphorknot::edge {

struct caller_request;
struct traffic_state;

/// One send of a request to a target or to another instance.
struct send_record {
    std::string to; ///< Id of the target, or name of the instance.
    exchange_outcome end = exchange_outcome::not_connected;
    not_run_proof proof = not_run_proof::none;
    std::string proof_attempt;         ///< Attempt id of the answer that the proof was read from.
    std::uint64_t connection = 0;      ///< Number of the connection; 0 without one.
    std::uint64_t earlier_uses = 0;    ///< Requests sent on the connection before.
    std::uint64_t skipped_answers = 0; ///< Answers to other requests that were read before the end.
};

/// Records a send with its end.
void record_send(caller_request& request, std::string_view to, const exchange_result& result,
                 not_run_proof proof);

/// Logs and counts a refusal that promises "not run" after at least one send, or beside one. The lines of
/// requests that must not run twice are not subject to the limit on lines per second.
/// @param status of the refusal.
void log_promise(traffic_state& state, const caller_request& request, unsigned status);

} // namespace camphorknot::edge
