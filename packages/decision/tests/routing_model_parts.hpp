// Settings, results and building blocks of the model in routing_model.hpp.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "camphorknot/routing.hpp"

namespace camphorknot::model {

using namespace std::chrono_literals;

enum class policy { product, round_robin, least_in_flight };
enum class fault { none, frozen, slow, failing, all_three, silent, region_lost, new_target };

struct model_settings {
    policy chosen = policy::product;
    fault injected = fault::none;
    std::uint64_t seed = 1;
    double load = 0.6; ///< Mean utilization of the slots.
    duration length = 24s;
    routing_mechanisms enabled;
};

struct model_result {
    std::vector<double> latency_ms; ///< Of answered requests.
    std::size_t requests = 0;
    std::size_t refused = 0; ///< Without an attempt, or not_run.
    std::size_t failed = 0;
    double max_utilization = 0; ///< Highest utilization of a healthy target, in [0, 1].
    std::vector<std::size_t> attempts_per_second;
    std::vector<std::size_t> requests_per_second;

    [[nodiscard]] double quantile_ms(double fraction)
    {
        const auto index = static_cast<std::size_t>(fraction * static_cast<double>(latency_ms.size() - 1));
        std::nth_element(latency_ms.begin(), latency_ms.begin() + static_cast<std::ptrdiff_t>(index),
                         latency_ms.end());
        return latency_ms[index];
    }
};

inline constexpr std::size_t router_count = 8;
inline constexpr std::size_t region_count = 3;
inline constexpr std::size_t targets_per_region = 6;
inline constexpr std::size_t target_count = region_count * targets_per_region;
inline constexpr std::uint32_t slots = 3;
inline constexpr std::size_t queue_limit = 6; ///< A target sheds requests beyond this.
inline constexpr double mean_service_ms = 20;
inline constexpr duration attempt_timeout = 1s;
inline constexpr duration request_timeout = 4s;
inline constexpr time_point model_start{1000s};
inline constexpr std::size_t max_attempts = 4;

struct attempt_state {
    std::size_t request = 0;
    std::size_t target = 0;
    std::uint64_t generation = 0;
    time_point started{};
    bool ended = false;
    bool running = false;
};

struct target_model {
    std::size_t region = 0;
    std::uint32_t running = 0;
    std::deque<std::size_t> queue;
    double busy_ms = 0;
    time_point born{};
    std::uint64_t silent_up_to = 0; ///< Connections up to this generation get no answer.
};

struct request_state {
    std::size_t router = 0;
    time_point started{};
    std::vector<target_id> tried;
    std::size_t open_attempts = 0;
    bool done = false;
};

struct router_model {
    std::size_t region = 0;
    router state;
    std::vector<std::uint64_t> pooled_generation;
    std::vector<std::uint32_t> in_flight;
    std::size_t next = 0;
    bool dead = false;
};

} // namespace camphorknot::model
