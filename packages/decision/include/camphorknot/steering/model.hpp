/// @file
/// Plain structs of the deployment: routes, services, customers, targets, operator orders and bounds.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Whether a request whose first attempt failed may be sent again.
enum class repeat_policy : std::uint8_t {
    idempotent,   ///< May be executed more than once.
    at_most_once, ///< Sent again only if it is certain that it was not executed.
};

/// A service with its share of a route's traffic.
struct weighted_service {
    std::string service{};
    double weight = 1; ///< Relative to the other services of the route.
};

/// Policy for the requests of one host below one path prefix.
struct route {
    std::string name{};
    std::string host{};
    std::string prefix{}; ///< Begins and ends with a slash.
    repeat_policy repeats = repeat_policy::at_most_once;
    duration timeout{};   ///< Maximum time to an answer; zero if only the caller's deadline applies.
    duration objective{}; ///< Latency objective; zero if there is none.
    int priority = 0;     ///< 0 is the most urgent.
    std::vector<weighted_service> services{};
    unsigned max_targets = 1;           ///< Maximum number of targets tried for one attempt of a caller.
    bool open_to_all = false;           ///< Accepts requests without a customer key.
    bool object_affinity = false;       ///< Targets cache objects, so recently handled ones are faster.
    std::vector<std::string> regions{}; ///< Allowed regions; empty for all.
};

/// Properties of a service that all its targets share.
struct service_policy {
    std::string name{};
    std::string health_path{};
    unsigned max_connections = 0; ///< Limit per target over all instances together.
    duration warmup{};            ///< How long a target is cold after its start.
    double warmup_rate = 0;       ///< Requests per second for a cold target over all instances.
};

/// A customer with its keys and rate limit.
struct customer {
    std::string name{};
    std::vector<std::string> keys{};
    std::optional<int> priority{};      ///< Overrides the priority of the route.
    double rate = 0;                    ///< Requests per second over all instances; zero for no limit.
    double burst = 0;                   ///< Requests.
    std::vector<std::string> regions{}; ///< Allowed regions; empty for all.
};

/// Limits on callers' connections and requests.
struct caller_limits {
    std::size_t head_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{64} * 1024 * 1024;
    duration head_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the operator's configuration.
struct configuration {
    std::uint64_t version = 0; ///< Increases with each change.
    std::vector<route> routes{};
    std::vector<service_policy> services{};
    std::vector<customer> customers{};
    caller_limits limits;
    std::set<std::string> unknown_request_kinds{}; ///< Of its routes; their requests are sent at most once.
};

/// One incarnation of a server process, as it registered itself.
struct target {
    std::string id{};
    std::string service{};
    std::string ip{};
    std::uint16_t port = 0;
    std::string failure_domain{};
    std::string version{}; ///< Version of the server's software.
    unsigned slots = 1;    ///< Requests that it processes concurrently.
    bool draining = false;
    duration warmup_left{};   ///< Remaining warm-up time when the entry was written.
    std::int64_t born_ms = 0; ///< Start time, Unix ms; distinguishes incarnations of one id.
};

/// Operator order to move the traffic of a service to the targets of one version.
struct rollout_order {
    std::string service{};
    std::string version{};
    duration time_limit{};
    std::uint64_t order_version = 0; ///< Version of the order's record; increases with each order.
};

enum class rollout_state : std::uint8_t { running, completed, rolled_back };

/// @return the stable name of @p state.
constexpr std::string_view name_of(rollout_state state)
{
    constexpr std::array<std::string_view, 3> names = {"running", "completed", "rolled_back"};
    return names[static_cast<std::size_t>(state)];
}

/// State of a rollout in the store.
struct rollout_record {
    std::string service{};
    std::string version{};
    rollout_state state = rollout_state::running;
    std::uint64_t record_version = 0;
};

/// Operating limits from the settings of the deployment.
struct operating_bounds {
    duration max_time_to_live = std::chrono::seconds(5); ///< Of directory answers.
    duration stop_time = std::chrono::seconds(6);        ///< From the stop signal to the forced exit.
    /// After a store outage, lapsed targets are kept this long, since they may register again.
    duration absence_grace = std::chrono::milliseconds(2200);
    duration retry_window = std::chrono::seconds(10);
    double retry_ratio = 0.2;                       ///< Retries per request, over the fleet and the window.
    double retry_allowance = 0;                     ///< Additional retries per window, over the fleet.
    duration rate_window = std::chrono::seconds(5); ///< Window over which customers' rates are checked.
    double rate_overage = 0;     ///< Tolerated excess in a window, as a fraction of the rate and burst.
    double rate_slack = 0;       ///< Tolerated excess in a window, in requests.
    double exposure_share = 0.1; ///< Of a service's requests for a version that is not proven.
    double exposure_slack = 0;   ///< Requests for such a version in addition.
    duration duty_lease = std::chrono::seconds(3);        ///< Of a duty that one instance has at a time.
    duration thaw_slack = std::chrono::milliseconds(300); ///< See usage_tuning::slack.
    duration usage_window{};                              ///< Length; zero if usage is not reported.
    duration usage_due = std::chrono::seconds(10);        ///< Of a report, from the end of its window.
};

/// Identity, location and addresses of an instance.
struct instance_identity {
    std::string name{};
    std::string ip{};
    std::string failure_domain{};
    std::string region{};
    std::string front_address{};   ///< "ip:port" for callers.
    std::string peer_address{};    ///< "ip:port" for other instances.
    std::uint64_t incarnation = 0; ///< Increases with each start of the process.
    std::uint32_t link_mbps = 0;   ///< Link capacity in Mbit/s; the highest is preferred as domain delegate.
    std::uint32_t cpu_millicores = 0; ///< Processor capacity; 1000 is one core of speed 1, 0 is unknown.
    std::string relay_address{};      ///< "ip:port" for requests of other instances; empty if it takes none.
};

/// Region of each failure domain.
using failure_domain_regions = std::map<std::string, std::string>;

} // namespace camphorknot::steering
