/// @file
/// The objects of a configuration. The name of an object is unique within its kind; its identifier is a hash
/// of the name (see make_id).
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

struct region_object {
    std::string name;
    friend bool operator==(const region_object&, const region_object&) = default;
};

struct failure_domain_object {
    std::string name;
    std::string region;
    friend bool operator==(const failure_domain_object&, const failure_domain_object&) = default;
};

/// An instance, which owns an allocation of every budget. Its identifier is
/// make_id<instance_id>(peer_address).
struct instance_object {
    std::string peer_address;
    std::string region;
    std::string failure_domain;
    friend bool operator==(const instance_object&, const instance_object&) = default;
};

struct route_object {
    std::string name;
    std::string method;      ///< Upper-case HTTP method.
    std::string path_prefix; ///< Begins with "/<service>/".
    bool idempotent = true;
    /// Until half of its deadline has passed, a request of the route uses only headroom above the service's
    /// reserve.
    bool can_wait = false;
    bool open = false; ///< Accepts requests without a key.
    std::int64_t timeout_ms = 10'000;
    std::int64_t body_limit_kb = 65'536;
    friend bool operator==(const route_object&, const route_object&) = default;
};

struct service_object {
    std::string name;
    std::vector<route_object> routes;
    std::string active_version;
    std::uint32_t reserve_percent = 10; ///< Headroom that requests of can_wait routes leave free.
    /// Maximum growth of a region's load per second, in percent of the region's capacity.
    std::uint32_t shift_cap_percent_per_second = 10;
    friend bool operator==(const service_object&, const service_object&) = default;
};

struct customer_object {
    std::string name;
    std::int64_t rate_per_second = 0;
    std::int64_t burst = 0;
    friend bool operator==(const customer_object&, const customer_object&) = default;
};

/// A customer's key, stored only as a keyed hash.
struct key_object {
    key_hash hash{};
    std::string customer;
    std::string label; ///< Displayed to operators in place of the key.
    friend bool operator==(const key_object&, const key_object&) = default;
};

struct target_object {
    std::string address; ///< "ip:port".
    std::string service;
    std::string version;
    std::string region;
    std::string failure_domain;
    std::uint32_t slots = 1;
    friend bool operator==(const target_object&, const target_object&) = default;
};

/// Maximum number of requests of one service that steering may have in flight in a region.
struct region_limit_object {
    std::string service;
    std::string region;
    std::uint32_t max_in_flight = 0;
    friend bool operator==(const region_limit_object&, const region_limit_object&) = default;
};

/// Capacity of the network link from one region to another.
struct link_object {
    std::string from_region;
    std::string to_region;
    std::int64_t kilobytes_per_second = 0;
    friend bool operator==(const link_object&, const link_object&) = default;
};

enum class move_kind : std::uint8_t { drain, rollout, withdrawal };
enum class deadline_action : std::uint8_t { roll_back, finish };

/// A planned change with a deadline: a drain, a rollout or a withdrawal.
struct move_object {
    std::string name;
    move_kind kind = move_kind::drain;
    std::string service;
    std::string version;              ///< New version of a rollout, or the version to withdraw.
    std::vector<std::string> targets; ///< Addresses of the targets to drain.
    unix_milliseconds deadline = 0;
    deadline_action on_deadline = deadline_action::roll_back;
    std::int64_t soak_seconds = 10; ///< Time at 100% of the traffic before a rollout is complete.
    friend bool operator==(const move_object&, const move_object&) = default;
};

/// Maps a block of client addresses to a site set, which lists sites in order of preference.
struct block_object {
    std::uint32_t network = 0; ///< IPv4, host byte order.
    std::uint8_t prefix_length = 24;
    std::string site_set;
    friend bool operator==(const block_object&, const block_object&) = default;
};

struct site_set_object {
    struct weighted_site {
        std::string failure_domain; ///< The site is the part of this failure domain that serves requests.
        std::uint32_t weight = 1;
        friend bool operator==(const weighted_site&, const weighted_site&) = default;
    };
    std::string name;
    std::vector<weighted_site> sites;
    friend bool operator==(const site_set_object&, const site_set_object&) = default;
};

/// Progress of a move, written by the holder of the move's lease. As part of the configuration it is
/// distributed like every other object, never reverts to an older state and needs no table row of its own.
struct move_progress_object {
    std::string move;
    std::string stage = "waiting"; ///< Name of a move_stage.
    std::uint32_t share_percent = 0;
    std::uint32_t step = 0;
    std::string reason = "none"; ///< Name of a move_reason.
    std::uint64_t fencing_token = 0;
    friend bool operator==(const move_progress_object&, const move_progress_object&) = default;
};

/// Assigns the allocation of the instance listed as @c slot to @c owner, after the process at @c slot was
/// proved to have stopped and until the instance at @c slot reclaims it.
struct allocation_object {
    std::string slot;  ///< peer_address of an instance_object.
    std::string owner; ///< peer_address of the owner.
    friend bool operator==(const allocation_object&, const allocation_object&) = default;
};

using configuration_object =
    std::variant<region_object, failure_domain_object, instance_object, service_object, customer_object,
                 key_object, target_object, region_limit_object, link_object, move_object, block_object,
                 site_set_object, move_progress_object, allocation_object>;

} // namespace camphorknot
