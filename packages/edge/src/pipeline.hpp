// Requests that a caller sends before it has the answers to earlier ones: they are read ahead and run beside
// each other, and their answers are written in order (docs/design/pipelined-requests.md).
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>

#include "request_reader.hpp"
#include "request_run.hpp"

namespace camphorknot::edge {

/// A request whose answer has not been written.
struct pipelined_entry {
    pipelined_entry(traffic_state& traffic, std::shared_ptr<caller_request> read);
    ~pipelined_entry();
    pipelined_entry(const pipelined_entry&) = delete;
    pipelined_entry& operator=(const pipelined_entry&) = delete;
    pipelined_entry(pipelined_entry&&) = delete;
    pipelined_entry& operator=(pipelined_entry&&) = delete;

    traffic_state& state;
    unfinished_request counted;
    std::shared_ptr<caller_request> request;
    std::optional<platform::http_response> answer; ///< Held until it is written.
    std::size_t held_bytes = 0;                    ///< Of the answer; counted until it has been written.
};

/// The requests of a connection while there is more than one. The coroutine of the session writes; another
/// one reads.
struct pipeline {
    explicit pipeline(boost::asio::io_context& context) : written(context), answered(context), slow(context)
    {
    }
    steering::pipeline_order order;
    std::map<std::uint64_t, std::shared_ptr<pipelined_entry>> entries; ///< By request id.
    boost::asio::steady_timer written;                                 ///< Cancelled to wake the reader.
    boost::asio::steady_timer answered;                                ///< Cancelled to wake the writer.
    boost::asio::steady_timer slow;                                    ///< Ends a read that lasts too long.
    duration read_limit{};     ///< Of the read in progress, from the last answer before it.
    bool is_reading = false;   ///< A part of a request has been received.
    bool input_ended = false;  ///< Nothing more can be read.
    bool caller_asked = false; ///< See ask_caller.
    bool is_ending = false;    ///< No further request may be read.
    bool reader_done = false;
};

/// Begins to read ahead while @p first, the only request of the connection, runs.
void begin_pipeline(traffic_state& state, const session_handle& connection,
                    const std::shared_ptr<caller_request>& first);

/// Writes the answers in order, beginning with that of the first request, until none is left.
/// @return whether the connection stays open. The connection has no pipeline then.
boost::asio::awaitable<bool> write_in_order(traffic_state& state, session_handle connection,
                                            std::shared_ptr<caller_request> first,
                                            platform::http_response answer);

/// Waits until the answers to all earlier requests of the connection have been written.
/// @return false if the connection ends before.
boost::asio::awaitable<bool> wait_for_turn(traffic_state& state, session_handle connection);

/// Limits the time of the reads that follow. While earlier answers are due, the time has not begun: the end
/// of the connection would take them with it.
void limit_read(const session_handle& connection, duration limit);

} // namespace camphorknot::edge
