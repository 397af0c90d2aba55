/// @file
/// Definitions of the snapshot and of the shared state that the traffic threads use.
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

/// One route with its identifiers.
struct route_view {
    service_id service;
    route_id route;
    std::size_t service_index = 0; ///< Index in configured_view::services.
    route_object object;
};

/// One customer with the account of its rate budget.
struct customer_view {
    std::string name;
    std::int64_t burst = 0; ///< Over the whole fleet, in requests.
    std::shared_ptr<budget_account> account;
};

/// One target with its names as in the configuration.
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

/// The part of the snapshot that depends on the configuration alone; rebuilt only when that changes.
struct configured_view {
    std::vector<service_object> services;
    std::vector<route_view> routes; ///< Longest path prefix first.
    std::unordered_map<customer_id, customer_view> customers;
    std::unordered_map<target_id, target_view> targets;
    /// Budgets of regions and links.
    std::unordered_map<budget_id, std::shared_ptr<budget_account>> accounts;
    std::vector<site_set_object> site_sets;
};

/// Immutable view of the control state. A traffic thread holds a shared pointer to it while it handles a
/// request.
struct traffic_snapshot {
    std::uint64_t configuration_version = 0;
    bool trusted = false; ///< Whether requests may be served with this configuration (see may_serve).
    bool leaving = false; ///< The instance is stopping.
    instance_id self;
    region_id region;
    std::uint64_t process_nonce = 0;
    std::string traffic_address;
    std::shared_ptr<const configured_view> configured;
    key_table keys;
    lookup_table blocks;
    std::vector<member_record> members; ///< Live members, this instance included.
};

/// State shared by the traffic threads and the control thread; each part has its own mutex, which is held
/// only briefly.
struct traffic_state {
    traffic_state(router routes, operation_ledger records, rollout_state moves);

    std::mutex routing_mutex;
    router routing;
    /// Account of the permit of each running attempt, by target. It is stored because a target's region may
    /// change while an attempt runs. Guarded by routing_mutex.
    std::unordered_multimap<target_id, std::shared_ptr<budget_account>> permits;

    std::mutex operations_mutex;
    operation_ledger operations;

    std::mutex rollout_mutex;
    rollout_state rollout;

    std::mutex lookup_mutex;
    random_source lookup_random;

    /// End of authority in nanoseconds of boot_clock. Not part of the snapshot, as it changes with every
    /// ping.
    std::atomic<std::int64_t> authority_until_ns{0};
};

/// @return whether the instance has authority at @p now.
inline bool has_authority(const traffic_state& shared, time_point now)
{
    return now.time_since_epoch().count() < shared.authority_until_ns.load(std::memory_order_acquire);
}

} // namespace camphorknot
