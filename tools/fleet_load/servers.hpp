/// @file
/// Servers under load: many requests at a time in one thread, with slots, a queue and service times of a long
/// tail. They record what they ran.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fleet_load {

using clock = std::chrono::steady_clock;

/// How a run at a server ended.
enum class run_end : std::uint8_t {
    working,  ///< It has not.
    answered, ///< The whole answer was handed to the kernel.
    left,     ///< The instance closed the connection.
};

/// A request that held a slot of a server.
struct server_run {
    std::string server;
    clock::time_point began{};
    clock::time_point ended{};
    run_end end = run_end::working;
};

/// Runs by the id of the caller's attempt.
using run_log = std::map<std::string, std::vector<server_run>>;

/// Properties of a service's servers.
struct service_profile {
    std::string name;
    std::string kind; ///< Of its route.
    double mean_s = 1;
    double deadline_s = 4;
    std::size_t request_bytes = 0;
    std::size_t answer_bytes = 0;
};

struct load_server {
    load_server(boost::asio::io_context& context, run_log& log, const service_profile& profile,
                std::string id, const std::string& ip, std::uint64_t seed);
    run_log& log;
    const service_profile& profile;
    std::string id;
    std::string failure_domain;
    std::string address;
    std::int64_t born_ms = 100;
    int running = 0;
    bool leaving = false;
    bool ended = false;
    std::deque<std::shared_ptr<boost::asio::steady_timer>> queue;
    std::mt19937_64 random;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> idle;
};

inline constexpr int slots_of_server = 6;

/// Starts accepting connections; the server must outlive the run of its context.
void start(load_server& server);

/// Refuses new connections and closes the others when their requests have been answered.
void end(load_server& server);

} // namespace fleet_load
