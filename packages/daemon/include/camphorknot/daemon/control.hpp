/// @file
/// The control thread: owns the node, ticks it, and connects it to peers, platform and log.
#pragma once

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "camphorknot/kernel/metrics.hpp"
#include "camphorknot/node/control.hpp"

namespace camphorknot {

/// Where the node's output goes. All functions are called in the control thread.
struct control_outputs {
    std::function<void(const envelope&)> send;
    std::function<void(const platform_call&)> call;
    std::function<void(const std::string& peer_address)> note_peer; ///< For each address that becomes known.
};

/// Something that the instance cannot do now, and since when.
struct inability {
    std::string what; ///< "keyed_requests", "all_requests" or "configuration_changes".
    time_point since{};
};

/// Running control thread.
struct control;

/// Deleter for the incomplete type; stops the thread.
struct control_deleter {
    void operator()(control* owner) const;
};
using control_handle = std::unique_ptr<control, control_deleter>;

/// A step on the node in its thread.
using control_task = std::function<void(node&, time_point, node_output&)>;

/// Makes the node and starts to tick it.
/// @param page receives gauges of the node's state and must outlive the control thread.
control_handle start_control(const node_settings& settings, control_outputs outputs, metrics& page);

/// Runs @p task in the control thread after those posted before. Safe to call from any thread.
void post(control& owner, control_task task);

/// @return what @p read returns in the control thread; waits for it. Must not be called in that thread.
template <typename Value>
Value ask(control& owner, std::function<Value(node&, time_point, node_output&)> read)
{
    auto answer = std::make_shared<std::promise<Value>>();
    std::future<Value> due = answer->get_future();
    post(owner, [answer, read = std::move(read)](node& state, time_point now, node_output& out) {
        answer->set_value(read(state, now, out));
    });
    return due.get();
}

/// Runs what was posted so far, ticks a last time and stops the thread. What is posted later is not run.
void stop(control& owner);

/// @return the snapshot that the traffic threads read. Safe to call from any thread.
std::shared_ptr<const traffic_snapshot> published_snapshot(const control& owner);

/// @return the state that the traffic threads share.
std::shared_ptr<traffic_state> traffic_of(const control& owner);

/// @return what the instance cannot do now. Safe to call from any thread.
std::vector<inability> inabilities_of(const control& owner);

} // namespace camphorknot
