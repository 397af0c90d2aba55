// Part of the control thread: counts of usage from the instances, and the duty to report them.
#pragma once

#include <memory>
#include <optional>

#include "camphorknot/platform/store_client.hpp"
#include "camphorknot/platform/usage_client.hpp"
#include "camphorknot/steering/fleet.hpp"
#include "camphorknot/steering/usage_duty.hpp"

namespace camphorknot::edge {

struct control_state;

/// Usage as seen by one instance.
struct usage_control {
    steering::usage_ledger ledger;
    steering::usage_clock clock;
    steering::usage_duty duty;
    std::shared_ptr<platform::store_client> store; ///< Its own connection, so that no other call delays it.
    std::shared_ptr<platform::usage_client> client;
    bool was_holder = false; ///< At the last check for changes.
};

/// Starts the duty if the settings ask for usage reports.
void start_usage(control_state& state);

/// Takes over the counts of the traffic thread and updates the metrics. Called with each tick.
void update_usage(control_state& state, time_point now);

/// @return the windows for the traffic thread; nothing if usage is not reported.
std::optional<steering::usage_basis> current_usage_basis(const control_state& state, time_point now);

/// Adds the news of this instance to the status that is sent about once a second.
void add_own_usage(const control_state& state, steering::load_report& report, time_point now);

/// Adds the sums of the failure domain to a summary.
void add_domain_usage(const control_state& state, steering::load_report& report, time_point now);

/// Takes the news out of the status of another instance of the failure domain.
void take_usage(control_state& state, steering::instance_status& status, time_point now);

/// Takes the news out of the summary of another failure domain.
void take_usage(control_state& state, steering::domain_summary& summary, time_point now);

} // namespace camphorknot::edge
