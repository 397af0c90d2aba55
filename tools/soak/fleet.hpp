/// @file
/// Instances as separate processes, each with a proxy to the store, and servers behind proxies.
#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

#include "proxy.hpp"
#include "standins/caller_standin.hpp"
#include "standins/server_standin.hpp"
#include "standins/store_standin.hpp"

namespace soak {

using clock = std::chrono::steady_clock;

struct instance_process {
    std::string name;
    std::string ip;
    std::string settings_path;
    std::string log_path;
    std::unique_ptr<proxy> store_link;
    pid_t pid = 0;
    bool suspended = false;
    clock::time_point stop_sent{}; ///< Of SIGTERM; zero if none was sent to this process.
    clock::time_point started{};
};

struct server_process {
    std::string id;
    std::unique_ptr<proxy> link;
    standins::server_standin_handle server;
    clock::time_point leaving_since{}; ///< Zero while it is ready.
};

/// What a run is made of.
struct deployment {
    boost::asio::io_context& context;
    std::string network; ///< "127.x.y"; each run has its own.
    std::string directory;
    std::string program;
    standins::store_standin_handle store;
    std::vector<instance_process> instances;
    std::vector<server_process> servers;
    int configuration_version = 1;
    int key_number = 1;
};

/// Rate and burst of the soak's one limited customer.
inline constexpr double customer_rate = 60;
inline constexpr double customer_burst = 60;

inline constexpr std::uint16_t front_port = 7300;
inline constexpr const char* caller_host = "s.example";

std::string key_of(int number);

/// Writes the configuration with the keys of the present number.
void write_configuration(deployment& fleet);

void add_server(deployment& fleet);
void register_server(deployment& fleet, const server_process& server, const std::string& state);

/// Makes the settings of @p count instances in three regions.
void make_instances(deployment& fleet, std::size_t count);
void start_process(deployment& fleet, instance_process& instance);
void signal_process(instance_process& instance, int number);

/// Collects processes that have ended. @return whether the instance runs.
bool is_running(instance_process& instance);

/// Ends all processes that were started.
void end_processes(deployment& fleet);

} // namespace soak
