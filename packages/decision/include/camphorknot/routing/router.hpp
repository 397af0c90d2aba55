/// @file
/// Routing state of one instance.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/routing/estimate.hpp"
#include "camphorknot/routing/ramp.hpp"
#include "camphorknot/routing/request.hpp"

namespace camphorknot {

namespace internal {

inline constexpr std::uint32_t no_index = ~std::uint32_t{0};

/// What one instance knows of one target.
struct target_state {
    target_id id;
    version_id version;
    region_id region;
    failure_domain_id failure_domain;
    std::uint32_t service = no_index;
    std::uint32_t pool = no_index;     ///< Index into the service's pools; no_index if it gets no new work.
    std::uint32_t position = no_index; ///< Index into the pool's members.
    std::uint32_t slots = 1;
    std::uint32_t in_flight = 0;
    double window = 1;  ///< Most requests in flight from this instance.
    bool listed = true; ///< In the configuration; others stay until nothing is in flight.
    bool leaving = false;
    time_point started{};                 ///< First seen, for the cold-start ramp.
    time_point waiting_since{};           ///< Last completion, or when the first request in flight was sent.
    time_point paused_until{};            ///< No new work before, after repeated failures.
    std::uint32_t consecutive_pauses = 0; ///< Pauses in a row.
    std::uint32_t consecutive_failures = 0;
    decayed_average latency_ms;
    decayed_average failure_rate; ///< Samples are 0 and 1.
    double reported_load = 0;
    time_point load_measured{};
    std::uint64_t generation = 1;         ///< Of new connections.
    std::uint64_t trusted_generation = 0; ///< Oldest one that may be used.
};

/// Targets of one service, version and region. Members with window space come first, so a choice samples
/// only them and its cost does not grow with their number.
struct target_pool {
    version_id version;
    region_id region;
    std::uint32_t region_index = 0;
    std::vector<std::uint32_t> members;         ///< Indices of targets.
    std::uint32_t open_count = 0;               ///< Members with window space and not paused.
    time_point next_resume = time_point::max(); ///< Earliest end of a pause.
    std::uint64_t window_sum = 0;
    std::uint64_t in_flight_sum = 0;
    decayed_average latency_ms;
};

/// A version's place in the order of versions of its service.
struct version_state {
    version_id id;
    std::uint32_t rank = 0; ///< Higher is known to be newer; equal ranks are not known to be ordered.
    bool stopped = false;
    bool has_targets = false; ///< Has targets in the configuration.
};

struct service_region {
    region_id id;
    std::uint32_t slots = 0;
    region_ramp ramp;
};

struct route_state {
    route_id id;
    latency_histogram latencies;
    duration p95{};
    std::uint32_t samples_to_refresh = 0;
};

struct service_state {
    service_id id;
    version_id active;
    std::uint32_t reserve_percent = 0;
    std::uint32_t shift_cap_percent = 0;
    std::vector<version_state> versions;
    std::vector<service_region> regions;
    std::vector<target_pool> pools;
    std::vector<route_state> routes;
    decayed_average latency_ms;
};

/// Tokens for retries and hedges; each new request adds a fraction of one.
struct retry_tokens {
    double tokens = 0;
};

} // namespace internal

/// Routing state of one instance. Not safe for concurrent use.
///
/// @code
/// router state = make_router({.region = here, .seed = 1}, now);
/// set_targets(state, services, targets, now);
/// routing_answer answer = choose_target(state, request, permit, now);
/// if (answer.choice)
///     on_attempt_end(state, report, now);
/// @endcode
struct router {
    router_settings settings;
    random_source random;
    std::vector<internal::target_state> targets;
    std::unordered_map<std::uint64_t, std::uint32_t> target_index;
    std::vector<internal::service_state> services;
    std::unordered_map<std::uint64_t, std::uint32_t> service_index;
    internal::retry_tokens retries;
    std::uint32_t max_fleet_size = 1;    ///< Most live instances in the recent past.
    time_point now{};                    ///< Latest reading passed in.
    time_point max_fleet_size_updated{}; ///< When max_fleet_size was last confirmed.
    time_point local_ramp_until{};       ///< The shift cap also holds for the own region until then.
};

} // namespace camphorknot
