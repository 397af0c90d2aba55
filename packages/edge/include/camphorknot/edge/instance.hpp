/// @file
/// An instance that takes its configuration and its targets from the platform's store. It runs two threads:
/// the traffic thread relays callers' requests, the control thread follows the store and the other instances.
#pragma once

#include <memory>
#include <string>

#include "camphorknot/edge/settings.hpp"

namespace camphorknot::edge {

struct instance;

/// Deleter for the incomplete type; stops and joins both threads.
struct instance_deleter {
    void operator()(instance* running) const;
};
using instance_handle = std::unique_ptr<instance, instance_deleter>;

/// Opens the ports and starts the threads.
/// @return the instance, or the name of the port that could not be bound ("store" if the store's address is
/// invalid).
///
/// @code
/// auto running = start_instance(*settings);
/// while (!signal_came()) {}
/// begin_stop(**running);
/// wait_until_stopped(**running);
/// @endcode
result<instance_handle, std::string> start_instance(edge_settings settings);

/// Applies the settings that may change while the instance runs; these are the seeds only. Safe to call from
/// any thread.
void reload(instance& running, const edge_settings& settings);

/// Begins a graceful stop: the directory and the readiness check report it at once, while requests in
/// progress are completed. Safe to call from any thread.
void begin_stop(instance& running);

/// Blocks until the graceful stop is complete, for at most @p limit. @return whether it is complete.
bool wait_until_stopped(instance& running, duration limit);

} // namespace camphorknot::edge
