// Records of a request's sends, and the log of refusals that promise "not run" after a send.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "target_exchange.hpp"

namespace camphorknot::edge {

struct caller_request;
struct traffic_state;

/// What a request is sent to.
enum class send_receiver : std::uint8_t { target, instance };

/// One send of a request. Ids and names are shortened and hold no separators of the log line.
struct send_record {
    send_receiver receiver = send_receiver::target;
    std::string to; ///< Id of the target, or name of the instance.
    exchange_outcome end = exchange_outcome::not_connected;
    not_run_proof proof = not_run_proof::none;
    std::string answer_to; ///< "this", "nothing" (no id, or no answer) or "other:" with the id in the answer.
    std::uint64_t connection = 0;      ///< Number of the connection; 0 without one.
    std::uint64_t earlier_uses = 0;    ///< Requests sent on the connection before.
    std::uint64_t skipped_answers = 0; ///< Answers to other requests that were read before the end.
};

/// Records a send with its end.
/// @param to id of the target, or name of the instance.
void record_send(caller_request& request, send_receiver receiver, std::string_view to,
                 const exchange_result& result, not_run_proof proof);

/// Logs and counts a refusal that promises "not run" after at least one send, or beside one. The lines of
/// requests that must not run twice are not subject to the limit on lines per second.
/// @param status of the refusal.
void log_promise(traffic_state& state, const caller_request& request, unsigned status);

} // namespace camphorknot::edge
