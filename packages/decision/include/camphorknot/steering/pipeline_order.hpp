/// @file
/// Order of the requests that a caller sends on one connection without waiting for answers. Load pattern:
/// several idempotent requests in a row, of which one may be slow, and at times one that must not run twice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace camphorknot::steering {

/// State of one request of a connection.
enum class pipelined_state : std::uint8_t {
    read,     ///< Not started.
    running,  ///< Being handled.
    answered, ///< Its answer is held until those before it have been written.
};

/// One request of a connection whose answer has not been written.
struct pipelined_request {
    std::uint64_t number = 0;
    bool is_idempotent = false;
    std::size_t bytes = 0; ///< Of the request.
    pipelined_state state = pipelined_state::read;
    std::size_t answer_bytes = 0; ///< Of the held answer.
};

/// Limits of one connection.
struct pipeline_limits {
    std::size_t max_ahead = 16;             ///< Requests that are read behind the first one.
    std::size_t max_ahead_bytes = 65'536;   ///< No further request is read above this total size.
    std::size_t max_running = 8;            ///< Requests that run at the same time.
    std::size_t max_held_bytes = 1'048'576; ///< Only the first one is started above this size of answers.
};

/// The requests of one connection, in the order of their arrival.
struct pipeline_order {
    std::vector<pipelined_request> requests;
    bool is_closed = false; ///< Nothing is read, started or written any more.
};

/// Requests without a written answer at the end of a connection.
struct dropped_requests {
    std::vector<std::uint64_t> not_started; ///< They must never be started.
    std::vector<std::uint64_t> running;     ///< To be abandoned if they are idempotent.
};

/// @param has_room whether the process has memory for a further request.
/// @return whether a further request may be read.
bool may_read_ahead(const pipeline_order& order, const pipeline_limits& limits, bool has_room);

/// Appends a request. Ignored if the order is closed.
void add_read(pipeline_order& order, std::uint64_t number, bool is_idempotent, std::size_t bytes);

/// @return the first request that may be started: idempotent ones side by side, one that must not run twice
/// only when all answers before it have been written, and none while such a one before it has no answer.
std::optional<std::uint64_t> next_to_start(const pipeline_order& order, const pipeline_limits& limits);

/// The request is about to be handled.
void on_started(pipeline_order& order, std::uint64_t number);

/// Decides again directly before the request is handled, since its route may have changed after on_started.
/// @return whether it may be handled; if not, it counts as not started.
bool confirm_start(pipeline_order& order, std::uint64_t number, bool is_idempotent);

/// Stores that the answer is complete. Ignored for requests that were dropped.
void on_answered(pipeline_order& order, std::uint64_t number, std::size_t answer_bytes);

/// @return the request whose answer is to be written now.
std::optional<std::uint64_t> next_to_write(const pipeline_order& order);

/// The answer of next_to_write has been written, and the connection stays open.
void on_written(pipeline_order& order);

/// Ends the order: an answer closed the connection, a write failed, or the caller left.
/// @return the requests that were not answered.
dropped_requests close_order(pipeline_order& order);

} // namespace camphorknot::steering
