/// @file
/// The control thread: owns the node, ticks it, and delivers its output to peers, the platform and the log.
#pragma once

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "camphorknot/kernel/metrics.hpp"
#include "camphorknot/node/control.hpp"

namespace camphorknot {

/// Receivers of the node's output. All functions are called in the control thread.
struct control_outputs {
    std::function<void(const envelope&)> send;
    std::function<void(const platform_call&)> call;
    /// Called once for each new peer address.
    std::function<void(const std::string& peer_address)> on_peer_address;
};

/// A function that the instance cannot perform at present, and the time since when.
struct inability {
    std::string what; ///< "keyed_requests", "all_requests" or "configuration_changes".
    time_point since{};
};

/// Running control thread with its node.
struct control;

/// Deleter for the incomplete type; stops the thread.
struct control_deleter {
    void operator()(control* controller) const;
};
using control_handle = std::unique_ptr<control, control_deleter>;

/// A function that runs on the node in the control thread.
using control_task = std::function<void(node&, time_point, node_output&)>;

/// Creates the node and starts the control thread, which ticks it.
/// @param page receives gauges of the node's state and must outlive the control thread.
control_handle start_control(const node_settings& settings, control_outputs outputs, metrics& registry);

/// Queues @p task for the control thread; tasks run in the order in which they were posted. Thread-safe.
void post(control& controller, control_task task);

/// Runs @p operation in the control thread, blocks until it has finished and returns its result. Must not be
/// called in the control thread, nor after stop(): the call would never return.
template <typename Value>
Value run_and_wait(control& controller, std::function<Value(node&, time_point, node_output&)> operation)
{
    auto result_promise = std::make_shared<std::promise<Value>>();
    std::future<Value> result_future = result_promise->get_future();
    post(controller,
         [result_promise, operation = std::move(operation)](node& state, time_point now, node_output& out) {
             result_promise->set_value(operation(state, now, out));
         });
    return result_future.get();
}

/// Runs the tasks posted so far, ticks the node if a tick is due and stops the thread. Tasks posted later do
/// not run.
void stop(control& controller);

/// @return the latest published snapshot, from which the traffic threads decide. Thread-safe.
std::shared_ptr<const traffic_snapshot> published_snapshot(const control& controller);

/// @return the node's state that the traffic threads share and update.
std::shared_ptr<traffic_state> shared_traffic_state(const control& controller);

/// @return the functions that the instance cannot perform at present. Thread-safe.
std::vector<inability> inabilities_of(const control& controller);

} // namespace camphorknot
