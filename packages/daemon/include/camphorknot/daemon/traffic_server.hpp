/// @file
/// HTTP server for callers: look-ups, and the relay of requests to targets.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "camphorknot/kernel/metrics.hpp"
#include "camphorknot/node/traffic.hpp"

namespace camphorknot {

/// Limits on callers and targets. Times apply on CLOCK_BOOTTIME.
struct traffic_limits {
    std::size_t connections = 4000; ///< Caller connections of the whole process.
    std::uint32_t head_bytes = 16U * 1024U;
    duration head_timeout = std::chrono::seconds(5);     ///< From a head's first byte to its last.
    duration idle_timeout = std::chrono::seconds(60);    ///< Between requests, and between pieces of a body.
    duration progress_timeout = std::chrono::seconds(2); ///< Longest silence of a target connection.
};

/// The decisions that the relay asks for. Bound to a node in the daemon; tests supply their own.
struct traffic_decisions {
    std::function<admission_answer(const request_head&, time_point)> admit;
    std::function<attempt_answer(const admitted_request&, std::span<const target_id>, time_point)>
        begin_attempt;
    std::function<retry_answer(admitted_request&, const attempt_report&, time_point)> end_attempt;
    std::function<void(const admitted_request&, outcome, std::uint16_t, std::string_view, time_point)>
        end_request;
    std::function<refusal_reason(const admitted_request&, time_point)> abort_reason;
    std::function<void(target_id, std::uint64_t, bool)> report_silent_connection;
    std::function<lookup_answer(std::string_view, std::string_view, std::uint32_t,
                                const std::optional<key_hash>&, time_point)>
        look_up;
};

/// @return decisions of the node behind @p shared with the snapshot that @p current returns at each call.
/// @param current safe to call from any thread.
traffic_decisions bind_decisions(const std::shared_ptr<traffic_state>& shared,
                                 const std::function<std::shared_ptr<const traffic_snapshot>()>& current);

struct traffic_settings {
    std::string address; ///< "ip:port"; port 0 lets the system choose.
    std::size_t threads = 1;
    traffic_limits limits;
    std::string fleet_secret;
};

/// Running server with its threads. The destructor breaks off what still runs.
struct traffic_server;

/// Deleter for the incomplete type.
struct traffic_server_deleter {
    void operator()(traffic_server* server) const;
};
using traffic_server_handle = std::unique_ptr<traffic_server, traffic_server_deleter>;

enum class listen_error : std::uint8_t { none, address_malformed, address_in_use, refused_by_system };

/// Starts to listen and to serve.
/// @param page receives the server's counters and must outlive it.
/// @return the server, or why it cannot listen.
///
/// @code
/// auto server = start_traffic_server(settings, bind_decisions(shared, current), *page);
/// @endcode
result<traffic_server_handle, listen_error> start_traffic_server(const traffic_settings& settings,
                                                                 traffic_decisions decisions, metrics& page);

/// @return the port that the server listens on.
std::uint16_t port_of(const traffic_server& server);

/// @return requests that have a head but no complete answer yet.
std::size_t requests_in_flight(const traffic_server& server);

/// From here on each answer says "Connection: close", so that callers move to other instances.
void begin_drain(traffic_server& server);

/// Closes connections without a request and stops the threads.
void stop(traffic_server& server);

} // namespace camphorknot
