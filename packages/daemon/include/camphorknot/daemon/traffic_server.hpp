/// @file
/// HTTP server for callers: answers look-ups and relays requests to targets.
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

/// Limits on the connections of callers and targets. Timeouts are measured with CLOCK_BOOTTIME.
struct traffic_limits {
    std::size_t connections = 4000;                  ///< Maximum number of caller connections of the process.
    std::uint32_t head_bytes = 16U * 1024U;          ///< Maximum size of a request or answer head.
    duration head_timeout = std::chrono::seconds(5); ///< From the first byte of a head to its last.
    duration idle_timeout = std::chrono::seconds(60);    ///< Between requests, and between reads of a body.
    duration progress_timeout = std::chrono::seconds(2); ///< Without progress on a target connection.
};

/// Decision functions that the relay calls: admission, choice of targets, retries and look-ups. In the daemon
/// they are bound to the node (bind_decisions); tests supply their own. They must be thread-safe, as all
/// traffic threads call them.
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

/// @return the decision functions of the node to which @p shared belongs.
/// @param current returns the latest snapshot; it is called for each decision, from any traffic thread.
traffic_decisions bind_decisions(const std::shared_ptr<traffic_state>& shared,
                                 const std::function<std::shared_ptr<const traffic_snapshot>()>& current);

/// Settings of a traffic server.
struct traffic_settings {
    std::string address; ///< "ip:port"; with port 0 the system chooses a free port.
    std::size_t threads = 1;
    traffic_limits limits;
    std::string fleet_secret;
};

/// Running traffic server with its threads. Its deleter calls stop().
struct traffic_server;

/// Deleter for the incomplete type.
struct traffic_server_deleter {
    void operator()(traffic_server* server) const;
};
using traffic_server_handle = std::unique_ptr<traffic_server, traffic_server_deleter>;

/// Reasons why a server cannot listen on its address.
enum class listen_error : std::uint8_t { none, address_malformed, address_in_use, refused_by_system };

/// Starts to listen and to serve callers.
/// @param page receives the server's counters and must outlive it.
/// @return the server, or the reason why it cannot listen.
///
/// @code
/// auto server = start_traffic_server(settings, bind_decisions(shared, current), *page);
/// @endcode
result<traffic_server_handle, listen_error>
start_traffic_server(const traffic_settings& settings, traffic_decisions decisions, metrics& registry);

/// @return the port that the server listens on.
std::uint16_t port_of(const traffic_server& server);

/// @return the number of requests whose head has been received and whose answer is not complete.
std::size_t requests_in_flight(const traffic_server& server);

/// Makes each further answer carry "Connection: close", so that callers reconnect to other instances.
void begin_drain(traffic_server& server);

/// Stops accepting, cancels pending socket operations, waits up to one second for the connections to end,
/// then stops the threads.
void stop(traffic_server& server);

} // namespace camphorknot
