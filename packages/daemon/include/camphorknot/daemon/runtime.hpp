/// @file
/// The daemon as a whole: start, periodic work and graceful stop of all its services.
#pragma once

#include <memory>
#include <string>

#include "camphorknot/daemon/settings.hpp"

namespace camphorknot {

/// The services of one daemon: platform client, peer network, control thread, traffic server, admin server.
struct runtime;

/// Deleter for the incomplete type; stops the services that are running.
struct runtime_deleter {
    void operator()(runtime* daemon) const;
};
using runtime_handle = std::unique_ptr<runtime, runtime_deleter>;

/// Starts all services.
/// @return the daemon, or the name of the service that failed to start.
///
/// @code
/// auto daemon = start_runtime(settings, secret);
/// while (!stop_requested)
///     tick(**daemon);
/// @endcode
result<runtime_handle, std::string> start_runtime(const daemon_settings& settings,
                                                  const std::string& fleet_secret);

/// Periodic work outside the control thread, such as reading the platform's list of instances. To be called
/// from the main loop.
void tick(runtime& daemon);

/// Starts the graceful stop: look-ups no longer return this instance, and answers carry "Connection: close"
/// so that callers reconnect elsewhere. Requests are still served.
void begin_graceful_stop(runtime& daemon);

/// @return whether the graceful stop has begun, no request is in flight and all look-up results that name
/// this instance have expired.
bool may_stop_now(runtime& daemon);

/// Returns loans, hands allocations over to other instances, announces to the peers that this instance
/// leaves, and stops all services.
void finish_graceful_stop(runtime& daemon);

} // namespace camphorknot
