/// @file
/// Storms of configuration changes on a fleet, and callers that ask single instances for what was changed.
#pragma once

#include "configuration_judge.hpp"
#include "link_relay.hpp"
#include "processor_share.hpp"
#include "run.hpp"

namespace fleet_load {

struct storm_options {
    std::size_t callers = 16;
    double seconds = 40;          ///< Time during which storms begin.
    double stops_per_minute = 0;  ///< Of the whole fleet.
    double stalls_per_minute = 0; ///< Suspensions of fast machines for 4 s, of the whole fleet.
    bool limits_processors = false;
};

struct storm_state {
    explicit storm_state(run_state& shared) : run(shared), random(shared.random()) {}
    run_state& run;
    storm_options options;
    std::mt19937_64 random;
    std::vector<subject> subjects;
    std::vector<observation> observations;
    processor_limiter limiter;
    boost::asio::io_context relay_context{1};
    std::vector<std::unique_ptr<link_relay>> relays; ///< One an instance; empty without limited links.
    std::thread relay_thread;
    seconds longest_relay_delay{}; ///< Of the thread of the relays; read after the run.
    bool asks = true;              ///< Callers send requests.
    int next_key = 1;
    int changes = 0;
    double processor_time_s = 0;      ///< Of the processes that have ended.
    double warm_processor_time_s = 0; ///< Of all processes until the first storm.
    std::uint64_t warm_peer_bytes = 0;
};

/// Creates the relays, and adds the lasting subjects. To be called before the instances are started.
void set_up_storms(storm_state& storm);

/// Schedules storms, stops and suspensions, and starts the callers.
void schedule_storms(storm_state& storm);

/// Stops the relays and the limiter. To be called after the run.
void end_storms(storm_state& storm);

/// Prints the figures and the findings. @return whether no clause was broken.
bool print_storm_report(const storm_state& storm);

} // namespace fleet_load
