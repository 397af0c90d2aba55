// What the traffic thread knows of requests that may crash their targets.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "camphorknot/steering.hpp"

namespace camphorknot::edge {

struct caller_request;
struct traffic_state;

/// A request whose connection to a target was lost while it ran.
struct lost_run {
    std::shared_ptr<caller_request> request;
    std::string customer; ///< Name; empty on routes that are open to all.
    time_point sent_at{};
    time_point lost_at{};
};

/// Evidence of this instance and of the others, and what is needed to collect it.
struct crash_watch {
    steering::crash_table table;
    /// Copy of the table for the control thread; replaced when the evidence changes. Null until then.
    std::shared_ptr<const steering::crash_table> published;
    std::map<std::string, std::vector<lost_run>> inquiries; ///< Runs to be decided on, by target id.
    std::multiset<std::string> suspect_targets; ///< Targets at which suspects of this instance are.
    /// By service and version.
    std::map<std::pair<std::string, std::string>, steering::version_history> versions;
    std::string last_answer_target; ///< Id of the target that answered last.
    time_point last_answered_at{};
    time_point last_tick_at{};
    time_point resumed_at{}; ///< When the process last noticed that it had been suspended.
};

/// Notices suspensions of the process and drops old evidence.
void on_crash_watch_tick(traffic_state& state, time_point now);

/// Takes over the evidence of other instances.
void merge_crash_reports(traffic_state& state, std::span<const steering::crash_report> reports);

} // namespace camphorknot::edge
