/// @file
/// State of the targets as estimated by one instance (load, speed, warm-up, failures), and the choice of a
/// target for a request.
#pragma once

#include <span>
#include <unordered_map>

#include "camphorknot/steering/model.hpp"
#include "camphorknot/steering/momentary_speed.hpp"
#include "camphorknot/steering/route_table.hpp"
#include "camphorknot/steering/wait_queue.hpp"
#include "camphorknot/steering/work_profiles.hpp"

namespace camphorknot::steering {

/// Weights of the cost function that selects a target. The cost is a duration: latency plus penalties.
struct placement_tuning {
    /// Penalty per rank of a target in the object's rendezvous hashing order.
    duration rank_step = std::chrono::milliseconds(15);
    /// Number of ranks that may handle an object under load, so that each target caches few objects. The
    /// target of the first rank is assumed to have the object cached; the others only if this instance sent
    /// the object there recently.
    unsigned warm_ranks = 3;
    /// How long a target is expected to cache an object.
    duration object_retention = std::chrono::seconds(20);
    std::size_t max_objects = 64; ///< Recently sent objects remembered per target.
    /// Targets of later ranks get a request only if at most this fraction of their slots is in use.
    double spare_fraction = 0.5;
    /// Misses go beyond the first rank only while at most this fraction of the service's slots is in use. The
    /// load of a single target is known late; that of the service changes slowly.
    double max_miss_utilization = 0.6;
    /// Factor on the service time of a miss, which occupies a slot that could serve several hits.
    double miss_weight = 1.3;
    /// Number of first ranks that are filled with targets of the region assigned to the object.
    std::size_t near_ranks = 2;
    /// Requests with bodies of at least this size stay near the caller, since their transfer costs more than
    /// a miss.
    std::size_t large_body_bytes = std::size_t{16} * 1024;
    /// Maximum length of a target's queue, as a fraction of its slots.
    double max_queue_fraction = 1.0;
    duration region_distance = std::chrono::milliseconds(60); ///< Round trip to another region.
    duration domain_distance = std::chrono::milliseconds(3);  ///< Round trip to another failure domain.
    /// Cost per body byte between failure domains and between regions: the traffic price relative to the
    /// value of a request.
    duration domain_byte_cost = std::chrono::nanoseconds(3'500);
    duration region_byte_cost = std::chrono::nanoseconds(10'000);
    duration first_suspension = std::chrono::milliseconds(500);
    duration max_suspension = std::chrono::seconds(4);
    unsigned failures_to_suspend = 3;      ///< Consecutive failures.
    double failure_share_to_suspend = 0.5; ///< Of target_state::failure_share.
    /// If more than this fraction of the targets is suspended for shedding, these suspensions are ignored:
    /// the remaining targets could not carry the load.
    double max_shedding_fraction = 0.5;
};

/// Token bucket for the requests of this instance to one target.
struct send_allowance {
    double rate = 0; ///< Requests per second.
    double tokens = 0;
    time_point refilled{};
};

/// A target with the state estimated by this instance.
struct target_state {
    target entry;
    std::string region{};
    unsigned own_in_flight = 0;    ///< Requests of this instance.
    double peer_in_flight = 0;     ///< Requests of other instances, as reported by them or by the target.
    time_point load_reported_at{}; ///< When the target last reported its load.
    double slowness = 1;           ///< Smoothed ratio of measured to expected service time.
    momentary_speed speed;
    unsigned consecutive_failures = 0;
    double failure_share = 0; ///< Smoothed fraction of failures among its recent answers.
    time_point suspended_until{};
    duration suspension{};               ///< Length of the last suspension; zero after a success.
    bool on_trial = false;               ///< A single request tests whether a suspended target has recovered.
    bool suspended_for_shedding = false; ///< The last failure before the suspension was a shed request.
    time_point cold_until{};
    bool is_warmup_owner = false; ///< Only this instance may send to the target while it is cold.
    send_allowance allowance;     ///< While the target is cold; a rate of zero is no limit.
    bool is_limited = false;      ///< The target names a limit; its allowance is this instance's part.
    send_allowance limit;
    time_point quiet_until{}; ///< The target asked this instance for no requests until then.
    std::unordered_map<std::uint64_t, time_point>
        objects; ///< Last time that this instance sent an object, by its hash.
};

/// Share of this region's requests for a service that is assigned to the targets of one region.
struct region_share {
    std::string region{};
    double share = 0;
};

/// Targets as seen by one instance. Used only by its traffic thread.
struct target_pool {
    /// What a target whose entry is gone asked for. It may only have missed its heartbeats.
    struct removed_target {
        std::int64_t born_ms = 0;
        time_point quiet_until{};
        time_point cold_until{};
    };
    placement_tuning tuning;
    std::string own_domain{};
    std::string own_region{};
    std::map<std::string, target_state> targets{};   ///< By target id.
    std::map<std::string, removed_target> removed{}; ///< By target id, for as long as it asked for.
    std::map<std::string, std::vector<target_state*>> by_service{};
    service_profiles profiles{}; ///< Of all routes together: the mix that runs at the targets.
    route_profiles by_route{};   ///< Of services that two or more routes use.
    std::map<std::string, std::vector<region_share>> region_shares{}; ///< By service; the shares add up to 1.
    std::set<std::string> evacuated{}; ///< Failure domains that must not get requests.
};

/// Service times of the requests of one route at targets of a service.
struct work_estimate {
    duration warm{}; ///< With the object cached at the target.
    duration miss{}; ///< Without.
};

/// @return the measured service times of the requests of @p route at the targets of @p service; those of the
///     service if only one route uses it.
service_profile& profile_of(target_pool& pool, std::string_view service, std::string_view route);

/// @return the service times to expect of a request on @p route at a target of @p service.
work_estimate expected_work(const target_pool& pool, std::string_view service, std::string_view route);

/// Properties of a request that determine its target.
struct placement_request {
    std::string_view service{};
    std::string_view route{};
    std::string_view version{}; ///< Required version of the target; empty for any.
    std::uint64_t object = 0;   ///< Hash of the object; a random number without affinity.
    bool has_affinity = false;  ///< Targets cache objects, so recently handled ones are faster.
    std::size_t body_bytes = 0;
    std::span<const std::string> route_regions{};    ///< Regions allowed by the route; empty for all.
    std::span<const std::string> customer_regions{}; ///< Regions allowed by the customer; empty for all.
    std::span<const std::string> tried{};            ///< Ids of targets that the request was sent to before.
    bool avoid_suspended_trial =
        false; ///< For requests that cannot be retried: they do not test suspended targets.
    duration time_left = duration::max(); ///< Until the deadline of the latency objective.
    double reserved_slots = 0;            ///< Of a target, left free for more urgent requests.
};

/// Result of the choice of a target.
enum class placement_outcome : std::uint8_t {
    chosen,
    full,      ///< There are usable targets, but none has capacity.
    no_target, ///< No target is usable.
};

/// Why no target may be sent a request.
enum class withheld_cause : std::uint8_t { none, limited, quiet };

/// The chosen target with the expected times.
struct placement {
    placement_outcome outcome = placement_outcome::no_target;
    target_state* chosen = nullptr;
    std::string route{};                     ///< Of the request.
    bool expected_warm = false;              ///< The target is expected to have the object cached.
    duration expected_service{};             ///< Service time without the wait in the target's queue.
    duration expected_wait{};                ///< In the target's queue.
    const target_state* preferred = nullptr; ///< The target of the first rank, also if it has no capacity.
    room_estimate preferred_room{};          ///< Of that target; zero if it has capacity.
    /// Why the outcome is `full` although targets may have room: all usable ones name limits, whose parts
    /// here are used up, or asked for no requests for a time.
    withheld_cause withheld = withheld_cause::none;
};

/// Replaces the set of targets. State is kept for unchanged incarnations; removed targets are dropped once
/// they have no requests in flight.
/// @param policies provides the warm-up times and rates of the services.
void set_targets(target_pool& pool, std::span<const target> entries, const failure_domain_regions& regions,
                 const route_table& policies, time_point now);

/// Marks the targets of @p domain as cold, from @p now for the warm-up time of their services.
void set_domain_cold(target_pool& pool, std::string_view domain, const route_table& policies, time_point now);

/// Splits the requests of region @p own over all regions, assuming that all regions have the same demand. The
/// own region keeps as much as its fraction of all slots covers; the rest goes to the regions with surplus
/// slots, in proportion to their surplus.
/// @param slots by region, of the targets that may get requests.
/// @param regions number of regions with callers.
std::vector<region_share> compute_region_shares(const std::map<std::string, double>& slots,
                                                const std::string& own, std::size_t regions);

/// Limits the requests of this instance to a target that names a limit.
/// @param per_s this instance's part of the limit; empty if the target names none.
void set_named_limit(target_state& state, std::optional<double> per_s, time_point now);

/// Sends the target no requests for @p length, as it asked. Its rejections until now are no faults.
void set_quiet(target_state& state, duration length, time_point now);

/// Selects the target with the lowest expected cost.
placement choose_target(target_pool& pool, const placement_request& request, time_point now);

/// Counts a request as in flight at the target, and takes a token if the target is cold.
void on_request_sent(target_pool& pool, target_state& state, std::uint64_t object, time_point now);

/// Result of a request at a target.
enum class target_outcome : std::uint8_t {
    success,
    failure,     ///< The target answered with an error, or aborted its answer.
    unreachable, ///< No connection, or the request timed out.
    shed,        ///< The target reported that it did not execute the request. A failure unless it was full.
    replaced,    ///< Another server uses the address now.
    abandoned,   ///< The instance aborted the request on behalf of the caller.
};

/// Load that a target reported with an answer, without the answered request.
struct target_load {
    double running = 0;
    double waiting = 0;               ///< In the target's queue.
    std::optional<double> slowdown{}; ///< Of the target's machine at this moment, if it was reported.
};

/// Removes the request from those in flight and updates the estimates with its outcome.
/// @param chosen result of choose_target for this request.
/// @param taken time from send to answer; what the slowdown of the machine added is not learned.
/// @param load as reported with the answer, if it was.
void on_request_ended(target_pool& pool, target_state& state, target_outcome outcome, const placement& chosen,
                      duration taken, time_point now, const std::optional<target_load>& load = std::nullopt);

/// Stores the load that a target reported with an answer received at @p now.
void on_target_load_reported(target_state& state, const target_load& load, time_point now);

/// Stores the sum of the other instances' requests at the target, unless the target has reported its load
/// more recently.
void on_peer_load_reported(target_state& state, double requests, time_point now);

/// @return the load of the service relative to its slots, from own and reported requests, those in the
/// targets' queues included; 0 without targets.
double utilization(const target_pool& pool, std::string_view service);

/// @return the fraction of the service's slots in use; at most 1, since queues use no slots.
double slot_utilization(const target_pool& pool, std::string_view service);

} // namespace camphorknot::steering
