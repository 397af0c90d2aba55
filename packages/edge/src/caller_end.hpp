// Finds out whether a caller still waits for answers.
#pragma once

#include "request_reader.hpp"

namespace camphorknot::edge {

/// What the caller's side of a connection has done.
enum class caller_state : std::uint8_t {
    present,  ///< It may send further requests.
    finished, ///< It sends no more, and may have closed the connection or may still read answers.
    gone,     ///< It does not read answers any more.
};

/// @return the state of the caller as far as it is known, also while there are unread bytes.
caller_state find_caller_state(session& connection);

/// Asks a caller that sends no more whether it still reads, by an interim answer (100): TCP answers with a
/// reset if it closed the connection. Its end is the same as a half-close until something is written.
/// @param first the first request without a complete answer.
/// @return gone if the caller cannot be asked, since it must not get interim answers.
caller_state ask_caller(session& connection, const caller_request& first);

} // namespace camphorknot::edge
