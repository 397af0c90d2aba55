/// @file
/// The whole daemon of one process.
#pragma once

#include <memory>
#include <string>

#include "camphorknot/daemon/settings.hpp"

namespace camphorknot {

/// All services of the daemon.
struct runtime;

/// Deleter for the incomplete type; stops what runs.
struct runtime_deleter {
    void operator()(runtime* daemon) const;
};
using runtime_handle = std::unique_ptr<runtime, runtime_deleter>;

/// Starts all services.
/// @return the daemon, or the name of the service that cannot run.
///
/// @code
/// auto daemon = start_runtime(settings, secret);
/// while (!stop_requested)
///     tick(**daemon);
/// @endcode
result<runtime_handle, std::string> start_runtime(const daemon_settings& settings,
                                                  const std::string& fleet_secret);

/// Regular work outside the control thread, such as reading the platform's list of instances.
void tick(runtime& daemon);

/// Starts the graceful stop: look-ups stop naming this instance, and callers are told to move.
void begin_graceful_stop(runtime& daemon);

/// @return whether nothing depends on this instance any more.
bool may_stop_now(runtime& daemon);

/// Returns loans, says leave, and stops all services.
void finish_graceful_stop(runtime& daemon);

} // namespace camphorknot
