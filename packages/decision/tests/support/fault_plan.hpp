/// @file
/// What a randomised run of several instances is made of: places, delays and faults.
#pragma once

#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot::test_support {

enum class fault_kind : std::uint8_t { loss, duplication, reordering, pause, kill, cut, drift };
inline constexpr std::array<std::string_view, 7> fault_names = {"loss", "duplication", "reordering", "pause",
                                                                "kill", "cut",         "drift"};

inline constexpr std::array<std::string_view, std::variant_size_v<peer_message>> message_names = {
    "ping",         "ping_ack",     "indirect_ping",  "gossip",      "change_request",
    "change_reply", "loan_request", "loan_grant",     "loan_return", "spare_report",
    "fence_notice", "fence_ack",    "rollout_counts", "leave"};

struct placement {
    instance_id instance;
    region_id region;
    failure_domain_id failure_domain;
};

/// How often and how long faults strike. Means are of an exponential distribution; zero switches a fault off.
struct fault_plan {
    std::uint32_t loss_permille = 0;
    std::uint32_t duplication_permille = 0;
    std::uint32_t reordering_permille = 0; ///< Messages that are delayed by up to reordering_delay more.
    std::uint32_t drift_permille = 0;      ///< Clocks run up to this much too fast or too slow.
    duration reordering_delay = std::chrono::milliseconds(500);
    duration mean_between_pauses{}; ///< Over the fleet; also for kills and cuts.
    duration mean_between_kills{};
    duration mean_between_cuts{};
    duration max_pause = std::chrono::seconds(4);
    duration max_downtime = std::chrono::seconds(8); ///< Time from a kill to the restart.
    duration max_cut = std::chrono::seconds(6);
};

struct schedule_settings {
    std::uint64_t seed = 1;
    std::vector<placement> placements;
    fault_plan faults;
    duration tick_period = std::chrono::milliseconds(20);
    duration delay_in_domain = std::chrono::microseconds(500); ///< One way.
    duration delay_in_region = std::chrono::microseconds(1500);
    duration delay_between_regions = std::chrono::milliseconds(20);
    std::size_t fault_limit = SIZE_MAX; ///< Only this many faults strike; @see shortest_failing_prefix
    time_point faults_until = time_point::max();
};

/// Counts faults, and how often each met each mechanism.
struct fault_count {
    std::size_t injected = 0;
    std::map<std::pair<fault_kind, std::string>, std::size_t> faults_by_mechanism;
    void count_fault(fault_kind kind, std::string_view mechanism)
    {
        ++faults_by_mechanism[{kind, std::string(mechanism)}];
    }
};

inline void print(std::ostream& out, const fault_count& faults)
{
    for (const auto& [pair, count] : faults.faults_by_mechanism) {
        out << fault_names[static_cast<std::size_t>(pair.first)] << " met " << pair.second << ": " << count
            << "\n";
    }
}

/// @return the shortest delay one way from @p from to @p to.
inline duration base_delay(const schedule_settings& settings, const placement& from, const placement& to)
{
    if (from.failure_domain == to.failure_domain) {
        return settings.delay_in_domain;
    }
    return from.region == to.region ? settings.delay_in_region : settings.delay_between_regions;
}

inline bool chance(random_source& random, std::uint32_t permille)
{
    return uniform(random, 1000) < permille;
}

inline duration scale(duration length, double factor)
{
    return duration(static_cast<std::int64_t>(factor * static_cast<double>(length.count())));
}

inline duration uniform_duration(random_source& random, duration longest)
{
    return scale(longest, uniform_real(random));
}

inline duration exponential(random_source& random, duration mean)
{
    return scale(mean, -std::log(1.0 - uniform_real(random)));
}

/// Finds how many of the first faults suffice to fail, by bisection, and prints it with the seed.
/// @param fails runs the schedule with a fault_limit and returns whether the run failed.
template <typename Fails>
std::size_t shortest_failing_prefix(std::uint64_t seed, std::size_t faults, Fails fails, std::ostream& out)
{
    std::size_t passing = 0;
    std::size_t failing = faults;
    if (fails(0)) {
        failing = 0;
    }
    while (failing > passing + 1) {
        const std::size_t middle = passing + (failing - passing) / 2;
        (fails(middle) ? failing : passing) = middle;
    }
    out << "failing schedule: seed " << seed << ", first " << failing << " of " << faults << " faults\n";
    return failing;
}

} // namespace camphorknot::test_support
