/// @file
/// Rollouts as the operator and the platform carry them out, and the rule on the exposure of bad versions.
#pragma once

#include "harness.h"

namespace review {

inline constexpr double exposure_share = 0.1;
inline constexpr double exposure_slack = 50;
inline constexpr double rollback_s = 5;
inline constexpr std::size_t bad_answers_to_roll_back = 50;

/// Servers of one version of the service, spread over the zones of the instances.
std::vector<server*> start_version(deployment& fleet, const std::string& service, const std::string& version,
                                   int count, int slots, const server::behavior& decide);

/// Orders the rollout. @return the time of the store's acknowledgement.
double order_rollout(deployment& fleet, const std::string& service, const std::string& version,
                     double duration_s);

/// Waits for a final state of the rollout until @p limit_s, and does what the platform does then: stops the
/// old servers at "completed", and drains the new ones some seconds after "rolled_back".
/// @return the state; empty if it is not final.
std::string finish_rollout(deployment& fleet, const std::string& service, const std::string& version,
                           const std::vector<server*>& old_servers, const std::vector<server*>& new_servers,
                           double limit_s);

/// What the rule says of a bad version.
struct exposure {
    std::size_t at_service = 0;     ///< Requests that reached the service between the order and the deadline.
    std::size_t at_bad_version = 0; ///< Those of them that reached the bad version.
    std::size_t bad_answers = 0;
    double fiftieth_bad_at = -1; ///< When the 50th bad answer was given; negative if there was none.
    std::size_t late = 0;        ///< Requests sent later than rollback_s after it that reached the version.
    bool is_broken() const;
    std::string text() const;
};

/// @param is_bad whether a run ended with a bad answer.
exposure measure_exposure(const std::vector<server*>& old_servers, const std::vector<server*>& bad_servers,
                          const std::vector<client_result>& sent, double ordered_s, double deadline_s,
                          const std::function<bool(const run_entry&)>& is_bad);

} // namespace review
