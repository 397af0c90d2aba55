/// @file
/// Callers that keep connections open, retry on new ones and record what they saw.
#pragma once

#include "fleet.hpp"

namespace fleet_load {

/// How an attempt ended at its caller.
enum class attempt_end : std::uint8_t {
    answered,  ///< With a complete answer.
    cut,       ///< The connection ended without one.
    gave_up,   ///< The caller closed the connection at its deadline.
    unreached, ///< No connection was established.
};

/// One attempt of a caller and its result.
struct attempt_record {
    std::string id;
    std::size_t instance = 0; ///< Index.
    std::size_t service = 0;  ///< Index; that of the first one for added routes.
    bool added_route = false;
    bool kept = false;             ///< The connection had carried a request before.
    bool chunked = false;          ///< The body was sent in chunks.
    clock::time_point sent{};      ///< First byte.
    clock::time_point last_byte{}; ///< Zero if the request was not sent as a whole.
    clock::time_point deadline{};
    clock::time_point ended{};
    attempt_end end = attempt_end::unreached;
    unsigned status = 0;      ///< Of the answer, or of the part of it that arrived; 0 for none.
    bool is_signed = false;   ///< The answer names a server's signature.
    std::string error;        ///< With which the connection ended.
    double retry_after_s = 0; ///< Of the answer.
};

struct caller_log {
    std::vector<attempt_record> attempts;
    bool running = true;
    std::uint64_t next_attempt = 1;
    std::uint64_t requests = 0;
    std::uint64_t served = 0; ///< Requests that got a server's success.
};

/// Starts @p count callers, which send requests until `running` is false. They use an open connection until
/// the instance closes it, whatever the directory answers.
void start_callers(fleet_state& fleet, caller_log& log, std::size_t count, std::uint64_t seed);

} // namespace fleet_load
