/// @file
/// Contents of the snapshot and of the shared state that traffic threads use.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "camphorknot/budget.hpp"
#include "camphorknot/keys.hpp"
#include "camphorknot/lookup.hpp"
#include "camphorknot/node/traffic.hpp"
#include "camphorknot/rollout.hpp"

namespace camphorknot {

/// One route, with the identifiers that the decisions use.
struct route_view {
    service_id service;
    route_id route;
    std::size_t service_index = 0;
    route_object object;
};

struct customer_view {
    std::string name;
    std::int64_t burst = 0; ///< Over the whole fleet, in requests.
    std::shared_ptr<budget_account> account;
};

struct target_view {
    std::string address;
    std::string version_name;
    region_id region;
};

/// Identifier of the budget of requests in flight for a service in a region.
budget_id region_budget(service_id service, region_id region);
/// Identifier of the budget of kilobytes sent from one region to another.
budget_id link_budget(region_id from, region_id to);
/// Identifier of a customer's budget.
budget_id customer_budget(customer_id customer);

/// What follows from the configuration alone; rebuilt only when that changes.
struct configured_view {
    std::vector<service_object> services;
    std::vector<route_view> routes; ///< Longest path prefix first.
    std::unordered_map<customer_id, customer_view> customers;
    std::unordered_map<target_id, target_view> targets;
    std::unordered_map<budget_id, std::shared_ptr<budget_account>> accounts; ///< Regions and links.
    std::vector<site_set_object> site_sets;
};

/// Immutable view of the control state. Traffic threads keep the pointer for as long as they need it.
struct traffic_snapshot {
    std::uint64_t configuration_version = 0;
    bool trusted = false; ///< The configuration may be served (see may_serve).
    bool leaving = false;
    instance_id self;
    region_id region;
    std::uint64_t process_nonce = 0;
    std::string traffic_address;
    std::shared_ptr<const configured_view> configured;
    key_table keys;
    lookup_table blocks;
    std::vector<member_record> members; ///< Live members, this instance included.
};

/// Shared by the traffic threads and the control thread; each part has its own short mutex.
struct traffic_state {
    traffic_state(router routes, operation_ledger records, rollout_state moves);

    std::mutex routing_mutex;
    router routing;
    /// Permits that running attempts hold, by target; a target's region may change while an attempt runs.
    std::unordered_multimap<target_id, std::shared_ptr<budget_account>> permits;

    std::mutex operations_mutex;
    operation_ledger operations;

    std::mutex rollout_mutex;
    rollout_state rollout;

    std::mutex lookup_mutex;
    random_source lookup_random;

    /// End of authority in nanoseconds of boot_clock. Separate from the snapshot, as it moves with every
    /// ping.
    std::atomic<std::int64_t> authority_until_ns{0};
};

/// @return whether the instance has authority at @p now.
inline bool has_authority(const traffic_state& shared, time_point now)
{
    return now.time_since_epoch().count() < shared.authority_until_ns.load(std::memory_order_acquire);
}

} // namespace camphorknot
