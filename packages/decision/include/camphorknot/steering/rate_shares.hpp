/// @file
/// Division of customers' fleet-wide rate limits among the instances.
///
/// A fraction of each rate is divided equally, the rest in proportion to the demand at each instance. An
/// isolated instance uses its equal part only, and the others set that part aside for as long as the isolated
/// instance is a member.
#pragma once

#include <array>
#include <map>
#include <string>

#include "camphorknot/steering/model.hpp"

namespace camphorknot::steering {

/// Fraction of a rate that is divided equally, independent of demand.
inline constexpr double equal_rate_fraction = 0.3;
/// Time constant of the smoothed demand. It is long compared with the age of the other instances' reports, so
/// that a rise at all instances at once does not give each of them more than its part.
inline constexpr duration demand_period = std::chrono::milliseconds(3000);

/// Interval of the samples in rate_bucket::demand_history. Reports of other instances are about eight
/// intervals old.
inline constexpr duration demand_history_step = std::chrono::milliseconds(180);

/// Token bucket of one customer at this instance.
struct rate_bucket {
    double rate = 0;    ///< Requests per second over the fleet; zero for no limit.
    double burst = 0;   ///< Requests over the fleet.
    double share = 0;   ///< Fraction of rate and burst that this instance may use.
    double slack = 0;   ///< Tokens that the bucket may hold beyond its part of the burst.
    double members = 0; ///< Instances that use this bucket; for an owned rate all of the failure domain at
                        ///< the rate owner, none elsewhere.
    bool share_is_unset = true; ///< True until the first set_fleet_demand.
    double tokens = 0;
    time_point refilled{};
    double demand = 0;                      ///< Requests per second received by this instance, smoothed.
    time_point demand_at{};                 ///< Time of the last update of `demand`.
    std::array<double, 8> demand_history{}; ///< Samples of the demand, newest first.
    time_point demand_sampled_at{};         ///< Time of the newest sample.
};

/// Token buckets of one instance. Used only by its traffic thread.
struct rate_shares {
    std::map<std::string, rate_bucket, std::less<>> buckets{}; ///< By customer.
};

/// Demand reported by the other instances, and the size of the fleet.
struct fleet_demand {
    std::map<std::string, double, std::less<>> others{}; ///< Sum of the requests per second by customer.
    /// Part of `others` from the own failure domain.
    std::map<std::string, double, std::less<>> domain_others{};
    std::size_t live = 1;        ///< Live instances, this one included.
    std::size_t domain_live = 1; ///< Live instances of the own failure domain, this one included.
    std::size_t possible = 1;    ///< Instances that may be running, this one included.
    bool is_isolated = false;    ///< Too few instances are reachable, so the demand of the fleet is unknown.
    /// Peer address of the rate owner in the failure domain, for the customers whose rate is too small to be
    /// split between instances; empty if it is this instance.
    std::map<std::string, std::string, std::less<>> rate_owners{};
};

/// @return whether a customer's rate is so small that one instance owns the part of its failure domain.
bool needs_rate_owner(double rate, std::size_t possible_instances);

/// Applies the limits of a configuration. A new customer has no share until the next set_fleet_demand.
void set_limits(rate_shares& shares, const configuration& source, time_point now);

/// Recomputes the shares of all customers.
void set_fleet_demand(rate_shares& shares, const fleet_demand& fleet, const operating_bounds& bounds,
                      time_point now);

/// Counts a request in the customer's demand and takes a token.
/// @return zero if the request is admitted, otherwise the time until the next token.
duration take_token(rate_shares& shares, std::string_view customer, time_point now);

/// Takes a token without counting a request in the customer's demand; for requests whose demand is counted
/// separately, as by the instance of the failure domain that received them.
/// @return as take_token.
duration take_token_uncounted(rate_shares& shares, std::string_view customer, time_point now);

/// Counts a request in the customer's demand without taking a token; for requests whose token is taken at the
/// rate owner.
void record_demand(rate_shares& shares, std::string_view customer, time_point now);

/// Returns the token of a request that was not executed.
void return_token(rate_shares& shares, std::string_view customer);

/// @return the customer's demand at this instance in requests per second.
double demand_of(const rate_bucket& bucket, time_point now);

} // namespace camphorknot::steering
