/// @file
/// What one instance believes of the targets: load, speed, warmth, faults; and the choice of one for a
/// request.
#pragma once

#include <span>
#include <unordered_map>

#include "camphorknot/steering/model.hpp"
#include "camphorknot/steering/route_table.hpp"

namespace camphorknot::steering {

/// How the cost of a target is made up. Durations are compared as if they were added to the latency.
struct placement_tuning {
    /// Added for each place by which a target stands behind the object's first one.
    duration rank_step = std::chrono::milliseconds(15);
    /// Places of an object's order at which it is handled under load, so that targets keep few objects each.
    /// The first one is taken as warm; the others only if this instance sent the object there a moment ago.
    unsigned warm_ranks = 3;
    /// How long a target is expected to keep an object.
    duration object_retention = std::chrono::seconds(20);
    std::size_t max_objects = 64; ///< Remembered a target.
    /// Other targets get a request for an object only if at most this part of their slots is in use.
    double spare_fraction = 0.5;
    /// A miss takes a slot from several hits, so its time counts more than the caller's wait.
    double miss_weight = 1.3;
    /// Places of the order that go to the targets of the region that the object is meant for.
    std::size_t near_ranks = 2;
    /// Bodies of this size stay near the caller, since their transfer costs more than a miss.
    std::size_t large_body_bytes = std::size_t{16} * 1024;
    /// Requests in a target's queue, as a part of its slots, beyond which it gets no more.
    double max_queue_fraction = 1.0;
    duration region_distance = std::chrono::milliseconds(60); ///< Round trip to another region.
    duration domain_distance = std::chrono::milliseconds(3);  ///< Round trip to another failure domain.
    /// Cost of a body's byte between failure domains and between regions, from the ratio of their prices to
    /// the worth of a request.
    duration domain_byte_cost = std::chrono::nanoseconds(3'500);
    duration region_byte_cost = std::chrono::nanoseconds(10'000);
    duration first_suspension = std::chrono::milliseconds(500);
    duration max_suspension = std::chrono::seconds(4);
    unsigned failures_to_suspend = 3; ///< In a row.
    double failure_share_to_suspend = 0.5;
};

/// Learned service times of a service.
struct service_profile {
    duration warm = std::chrono::milliseconds(250);
    duration miss = std::chrono::milliseconds(800);
    double completions_per_s = 0; ///< Of this instance, smoothed.
    time_point last_completion{};
};

/// Requests a second that a cold target may get from this instance.
struct cold_allowance {
    double rate = 0; ///< Requests a second that the target bears while it is cold; zero for no limit.
    double tokens = 0;
    time_point refilled{};
};

struct target_state {
    target entry;
    std::string region{};
    unsigned own_in_flight = 0;
    double peer_in_flight = 0;     ///< Requests of other instances, by their reports or by the target's own.
    time_point load_reported_at{}; ///< When the target last told its load.
    double slowness = 1;           ///< Smoothed ratio of measured to expected service time.
    unsigned failures_in_row = 0;
    double failure_share = 0; ///< Smoothed share of its last answers that were failures.
    time_point suspended_until{};
    duration suspension{};
    bool on_trial = false; ///< One request runs to find out whether a suspended target has recovered.
    time_point cold_until{};
    bool is_warmup_owner = false; ///< This instance is the one that may send to it while it is cold.
    cold_allowance allowance;
    std::unordered_map<std::uint64_t, time_point> objects; ///< Sent there by this instance, with the time.
};

/// Part of this region's requests for a service that is meant for the targets of one region.
struct region_share {
    std::string region{};
    double share = 0;
};

/// The beliefs of one instance. Belongs to its traffic thread.
struct target_pool {
    placement_tuning tuning;
    std::string own_domain{};
    std::string own_region{};
    std::map<std::string, target_state> targets{}; ///< By target id.
    std::map<std::string, std::vector<target_state*>> by_service{};
    std::map<std::string, service_profile> profiles{};
    std::map<std::string, std::vector<region_share>> region_shares{}; ///< By service; they add up to 1.
    std::set<std::string> evacuated{};                                ///< Failure domains.
};

/// What a choice depends on.
struct placement_request {
    std::string_view service{};
    std::string_view version{}; ///< Only targets of this version; empty for any.
    std::uint64_t object = 0;   ///< Hash of the object; a random number where targets have no affinity.
    bool has_affinity = false;  ///< Targets are faster at objects that they handled recently.
    std::size_t body_bytes = 0;
    std::span<const std::string> route_regions{};    ///< Empty for everywhere.
    std::span<const std::string> customer_regions{}; ///< Empty for everywhere.
    std::span<const std::string> tried{};            ///< Ids of targets that it was sent to before.
    bool avoid_suspended_trial = false; ///< Requests that cannot be sent again do not test suspended targets.
    duration time_left = duration::max(); ///< Until an answer loses its full value.
};

enum class placement_outcome : std::uint8_t {
    chosen,
    full,      ///< Some target is usable, and all of these have no room.
    no_target, ///< No target is usable.
};

struct placement {
    placement_outcome outcome = placement_outcome::no_target;
    target_state* chosen = nullptr;
    bool expected_warm = false;
    duration expected_service{}; ///< Service time at the chosen target.
    duration expected_wait{};    ///< In its queue.
};

/// Replaces the set of targets, keeping the beliefs about incarnations that go on.
/// @param policies limits of the services while their targets are cold.
void set_targets(target_pool& pool, std::span<const target> entries, const failure_domain_regions& regions,
                 const route_table& policies, time_point now);

/// Marks the targets of @p domain as cold from @p now on, for the warm-up time of their services.
void set_domain_cold(target_pool& pool, std::string_view domain, const route_table& policies, time_point now);

/// @return the parts of a region's requests that are meant for each region: its own targets first, as far as
/// their part of all slots covers the part of all regions, and the rest where more slots than callers are.
/// @param slots by region, of the targets that may get requests. @param regions number of regions with
/// callers.
std::vector<region_share> compute_region_shares(const std::map<std::string, double>& slots,
                                                const std::string& own, std::size_t regions);

/// Chooses the target with the least expected cost.
placement choose_target(target_pool& pool, const placement_request& request, time_point now);

/// Counts a request as in flight at the target, and takes its part of the cold limit.
void on_request_sent(target_pool& pool, target_state& belief, std::uint64_t object, time_point now);

/// How a request ended at a target.
enum class target_outcome : std::uint8_t {
    success,
    failure,     ///< The target answered with a failure of its own, or broke the answer off.
    unreachable, ///< No connection, or no answer in time.
    shed,        ///< It said that it did not run the request.
    replaced,    ///< Another server has the address.
    abandoned,   ///< The instance broke the request off for reasons of the caller.
};

/// Takes the request out of flight and learns from its end.
/// @param chosen as the choice said. @param taken from send to answer.
void on_request_ended(target_pool& pool, target_state& belief, target_outcome outcome,
                      const placement& chosen, duration taken, time_point now);

/// Takes over the load that a target told with an answer of @p now.
/// @param requests that it was handling or holding, besides the one that it answered.
void on_target_load_reported(target_state& belief, double requests, time_point now);

/// Takes over what the other instances said of their requests at the target, unless it told its load since.
void on_peer_load_reported(target_state& belief, double requests, time_point now);

/// @return the share of the service's slots in use, by own count and the peers' reports; 0 without targets.
double utilization(const target_pool& pool, std::string_view service);

} // namespace camphorknot::steering
