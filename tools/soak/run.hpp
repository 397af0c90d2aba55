/// @file
/// State of one run of the soak, shared by the faults and the checks.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

#include "callers.hpp"

namespace soak {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

/// Time after the end of a fault during which it may still delay a change.
inline constexpr auto stabilization_time = 4s;
/// Time from the end of the faults until callers must be served again.
inline constexpr auto recovery_time = 8s;

struct run_state {
    run_state(boost::asio::io_context& context, std::uint64_t number)
        : fleet{context, {}, {}, {}, {}, {}, {}, {}}, random(number), repeat_random(~number)
    {
    }
    deployment fleet;
    caller_log callers;
    std::mt19937_64 random;
    std::mt19937_64
        repeat_random; ///< Of the repeated answers, so that a seed's other faults don't depend on them.
    std::vector<std::shared_ptr<boost::asio::steady_timer>> timers;
    std::vector<std::pair<clock::time_point, int>> revoked; ///< Time of withdrawal and key number.
    std::vector<std::pair<clock::time_point, clock::time_point>>
        unstable; ///< Intervals in which a fault was active.
    struct instance_interval {
        std::string instance;
        clock::time_point from;
        clock::time_point to;
    };
    std::vector<instance_interval> cuts;          ///< From all servers.
    std::vector<instance_interval> disturbed;     ///< Killed, suspended or stopped, and the time after that.
    std::vector<instance_interval> without_store; ///< Faults of the store or the instance's link to it.
    struct announcement {
        std::string server;
        clock::time_point from;
        clock::time_point to;
        std::int64_t born_ms = 0; ///< Incarnation of the server.
    };
    std::vector<announcement> quiet;   ///< Servers that reject requests and ask for quiet.
    std::vector<announcement> leaving; ///< Servers that say in their answers that they leave.
    std::map<std::string, int> faults;
    std::set<pid_t> killed;
    std::vector<std::string> violations;
    std::string known_red; ///< A rule whose violations are printed only.
};

} // namespace soak
