/// @file
/// An instance that takes its configuration and its targets from the platform's store. It runs two threads:
/// the traffic thread relays callers' requests, the control thread follows the store and the other instances.
#pragma once

#include <boost/system/error_code.hpp>
#include <memory>
#include <string_view>

#include "camphorknot/edge/settings.hpp"

namespace camphorknot::edge {

struct instance;

/// Deleter for the incomplete type; stops and joins both threads.
struct instance_deleter {
    void operator()(instance* running) const;
};
using instance_handle = std::unique_ptr<instance, instance_deleter>;

/// What an instance listens on, and the store that it calls.
enum class instance_port : std::uint8_t { front, relay, peers, directory, readiness, metrics, store };

/// @return the name in logs, which is that of the setting.
std::string_view name_of(instance_port port);

/// Why an instance was not started: it cannot listen at an address, or the store's address is invalid.
struct start_failure {
    instance_port port = instance_port::front;
    endpoint address;
    boost::system::error_code error; ///< Of the system.
};

/// Opens the ports and starts the threads.
/// @return the instance, or the first port that could not be opened.
///
/// @code
/// auto running = start_instance(*settings);
/// while (!signal_came()) {}
/// begin_stop(**running);
/// wait_until_stopped(**running);
/// @endcode
result<instance_handle, start_failure> start_instance(edge_settings settings);

/// Applies the settings that may change while the instance runs; these are the seeds only. Safe to call from
/// any thread.
void reload(instance& running, const edge_settings& settings);

/// Begins a graceful stop: the directory and the readiness check report it at once, while requests in
/// progress are completed. Safe to call from any thread.
void begin_stop(instance& running);

/// Blocks until the graceful stop is complete, for at most @p limit. @return whether it is complete.
bool wait_until_stopped(instance& running, duration limit);

} // namespace camphorknot::edge
