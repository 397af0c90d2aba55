/// @file
/// Customers' rates over the whole fleet, divided among the instances by what each of them is asked for.
///
/// A part of each rate is divided equally and the rest by demand. An instance that hears nobody keeps its
/// equal part; the others count it with that part for as long as it is a member.
#pragma once

#include <array>
#include <map>
#include <string>

#include "camphorknot/steering/model.hpp"

namespace camphorknot::steering {

/// Part of a rate that is divided equally, whatever the demand.
inline constexpr double equal_rate_fraction = 0.3;
/// Period over which an instance measures its demand. Long against the age of what instances know of each
/// other, so that a rise that all of them see at once does not give each more than its part.
inline constexpr duration demand_period = std::chrono::milliseconds(3000);

/// Step at which an instance remembers its demand. What it knows of the others is about eight of them old.
inline constexpr duration demand_history_step = std::chrono::milliseconds(180);

/// One customer's allowance at this instance.
struct rate_bucket {
    double rate = 0;            ///< Requests a second over the fleet; zero for no limit.
    double burst = 0;           ///< Requests over the fleet.
    double share = 0;           ///< Part of both that this instance may use.
    double slack = 0;           ///< Requests beyond its part of the burst that may be saved up here.
    double members = 0;         ///< Instances that use this bucket; several at a keeper, none at the others.
    bool share_is_unset = true; ///< No share was set yet.
    double tokens = 0;
    time_point refilled{};
    double demand = 0; ///< Requests a second asked of this instance, smoothed.
    time_point demand_at{};
    std::array<double, 8>
        demand_history{}; ///< Demand at the last steps of `demand_history_step`, newest first.
    time_point demand_sampled_at{};
};

/// Allowances of one instance. Belongs to its traffic thread.
struct rate_shares {
    std::map<std::string, rate_bucket, std::less<>> buckets{}; ///< By customer.
};

/// What the other instances said last.
struct fleet_demand {
    std::map<std::string, double, std::less<>> others{}; ///< Requests a second by customer, summed.
    std::map<std::string, double, std::less<>>
        domain_others{};         ///< The part of `others` in the own failure domain.
    std::size_t live = 1;        ///< Instances that are heard, this one included.
    std::size_t domain_live = 1; ///< Those of the own failure domain.
    std::size_t possible = 1;    ///< Instances that may be running, this one included.
    bool is_isolated = false;    ///< Most of them are not heard, so their demand is not known.
    /// Keeper of the customers whose rate is too small to be divided among instances: the peer address of the
    /// instance that holds the failure domain's part; empty if it is this one.
    std::map<std::string, std::string, std::less<>> rate_owners{};
};

/// @return whether a customer's rate is so small that one instance keeps it for its failure domain.
bool needs_rate_owner(double rate, std::size_t possible_instances);

/// Takes over the limits of a configuration. A new customer has no share until the next set_fleet_demand.
void set_limits(rate_shares& shares, const configuration& source, time_point now);

/// Divides the rates again.
void set_fleet_demand(rate_shares& shares, const fleet_demand& fleet, const operating_bounds& bounds,
                      time_point now);

/// Counts a request of the customer and takes a token.
/// @return zero if the request may run, otherwise the time until the next token.
duration take_token(rate_shares& shares, std::string_view customer, time_point now);

/// Takes a token for a request of another instance of the failure domain, which has counted its demand
/// itself.
duration take_token_for_peer(rate_shares& shares, std::string_view customer, time_point now);

/// Counts a request of the customer whose token another instance keeps.
void count_remote_request(rate_shares& shares, std::string_view customer, time_point now);

/// Gives a token back for a request that did not run.
void return_token(rate_shares& shares, std::string_view customer);

/// @return the customer's demand at this instance in requests a second.
double demand_of(const rate_bucket& bucket, time_point now);

} // namespace camphorknot::steering
