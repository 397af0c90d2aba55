/// @file
/// What an instance knows of the deployment: routes, services, customers, targets and orders, as plain
/// structs.
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

/// What may be done with a request whose first send failed.
enum class repeat_policy : std::uint8_t {
    idempotent,   ///< May run more than once.
    at_most_once, ///< Is sent again only if it is certain that it has not run.
};

/// One part of a route's traffic.
struct weighted_service {
    std::string service{};
    double weight = 1;
};

/// Requests of one host below one path prefix.
struct route {
    std::string name{};
    std::string host{};
    std::string prefix{}; ///< Begins and ends with a slash.
    repeat_policy repeats = repeat_policy::at_most_once;
    duration timeout{};   ///< Longest time to an answer; zero if only the caller's deadline bounds it.
    duration objective{}; ///< Latency within which an answer has its full value; zero if unknown.
    int priority = 0;     ///< 0 is the most urgent.
    std::vector<weighted_service> services{};
    unsigned max_targets = 1;           ///< Targets that one attempt of a caller may be sent to.
    bool open_to_all = false;           ///< Needs no customer key.
    bool object_affinity = false;       ///< Targets are faster at objects that they handled recently.
    std::vector<std::string> regions{}; ///< Where it may run; empty for everywhere.
};

struct service_policy {
    std::string name{};
    std::string health_path{};
    unsigned max_connections = 0; ///< A target accepts this many from all instances together.
    duration warmup{};            ///< How long a target stays cold after its start.
    double warmup_rate = 0;       ///< Requests a second that a cold target bears from all instances together.
};

struct customer {
    std::string name{};
    std::vector<std::string> keys{};
    std::optional<int> priority{};      ///< Goes before the route's.
    double rate = 0;                    ///< Requests a second over all instances; zero for no limit.
    double burst = 0;                   ///< Requests.
    std::vector<std::string> regions{}; ///< Where its requests may run; empty for everywhere.
};

/// Bounds on what a caller may send.
struct caller_limits {
    std::size_t head_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{64} * 1024 * 1024;
    duration head_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

struct configuration {
    std::uint64_t version = 0; ///< Increases with each change.
    std::vector<route> routes{};
    std::vector<service_policy> services{};
    std::vector<customer> customers{};
    caller_limits limits;
};

/// One incarnation of a server process.
struct target {
    std::string id{};
    std::string service{};
    std::string ip{};
    std::uint16_t port = 0;
    std::string failure_domain{};
    std::string version{}; ///< Of its software.
    unsigned slots = 1;    ///< Requests that it processes at the same time.
    bool draining = false;
    duration warmup_left{};   ///< As of the entry.
    std::int64_t born_ms = 0; ///< Unix milliseconds of its start; tells incarnations of one id apart.
};

/// Order to move a service to the targets of one version.
struct rollout_order {
    std::string service{};
    std::string version{};
    duration time_limit{};
    std::uint64_t order_version = 0; ///< Version of the record that holds it; a new order has a higher one.
};

enum class rollout_state : std::uint8_t { running, completed, rolled_back };

/// @return the stable name of @p state.
constexpr std::string_view name_of(rollout_state state)
{
    constexpr std::array<std::string_view, 3> names = {"running", "completed", "rolled_back"};
    return names[static_cast<std::size_t>(state)];
}

/// State of a rollout as it was last recorded.
struct rollout_record {
    std::string service{};
    std::string version{};
    rollout_state state = rollout_state::running;
    std::uint64_t record_version = 0;
};

/// Bounds that the deployment sets.
struct operating_bounds {
    duration max_time_to_live = std::chrono::seconds(5); ///< Of answers of the directory.
    duration stop_time = std::chrono::seconds(6);        ///< From the signal to stop to the forced end.
    duration absence_grace =
        std::chrono::milliseconds(2200); ///< Lapsed targets may return this long after an outage.
    duration retry_window = std::chrono::seconds(10);
    double retry_ratio = 0.2;   ///< Retries a request, over the fleet and the window.
    double retry_allowance = 0; ///< Further retries in a window.
    /// What is tolerated beyond a customer's rate and burst in a window, as a part of them and in requests.
    duration rate_window = std::chrono::seconds(5);
    double rate_overage = 0;
    double rate_slack = 0;
};

/// Where an instance runs and is reached.
struct instance_identity {
    std::string name{};
    std::string ip{};
    std::string failure_domain{};
    std::string region{};
    std::string front_address{}; ///< "ip:port" for callers.
    std::string peer_address{};  ///< "ip:port" for other instances.
    std::uint64_t incarnation = 0;
    std::uint32_t link_mbps = 0; ///< Capacity of its link in Mbit/s; stronger instances speak for the others.
};

using failure_domain_regions = std::map<std::string, std::string>;

} // namespace camphorknot::steering
