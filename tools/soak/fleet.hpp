/// @file
/// Deployment under test: instances as separate processes, each with its own proxy to the store, and stand-in
/// servers behind proxies.
#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

#include "standins/caller_standin.hpp"
#include "standins/link_proxy.hpp"
#include "standins/server_standin.hpp"
#include "standins/store_standin.hpp"

namespace soak {

using clock = std::chrono::steady_clock;
using standins::link_fault;
using standins::proxy;

struct instance_process {
    std::string name;
    std::string ip;
    std::string settings_path;
    std::string log_path;
    std::string program; ///< With which the next process starts.
    std::unique_ptr<proxy> store_link;
    std::string egress_ip; ///< Of its links to the servers; empty if it reaches them directly.
    std::vector<std::unique_ptr<proxy>> server_links; ///< In the order of the servers.
    link_fault cut = link_fault::none;                ///< Of all these links.
    pid_t pid = 0;
    bool suspended = false;
    clock::time_point stop_sent{}; ///< Time at which SIGTERM was sent to this process; zero if it wasn't.
    clock::time_point started{};
};

struct server_process {
    std::string id;
    std::unique_ptr<proxy> link;
    standins::server_standin_handle server;
    bool is_down = false;
    std::int64_t born_ms = 100;        ///< Rises with each start.
    clock::time_point leaving_since{}; ///< Time at which it began to drain; zero while it is ready.
};

/// All parts of one run.
struct deployment {
    boost::asio::io_context& context;
    std::string network; ///< First three octets "127.x.y" of the run's addresses.
    std::string directory;
    std::string program;     ///< Of the build under test.
    std::string old_program; ///< Of an earlier build with which the instances start; empty for none.
    standins::store_standin_handle store;
    std::vector<instance_process> instances;
    std::vector<server_process> servers;
    int configuration_version = 1;
    int key_number = 1;
};

/// Rate (requests per second) and burst (requests) of the limited customer; the other customer has no limit.
inline constexpr double customer_rate = 60;
inline constexpr double customer_burst = 60;

inline constexpr std::uint16_t front_port = 7300;
inline constexpr const char* caller_host = "s.example";
/// End of the path of the requests that end the servers that run them.
inline constexpr std::string_view fatal_path = "/fatal";

std::string key_of(int number);

/// Writes the configuration to the store, with the current version and the current key of the limited
/// customer.
void write_configuration(deployment& fleet);

/// Starts a server behind a proxy and registers it as ready.
void add_server(deployment& fleet);

/// Instances that have links of their own to the servers; the others reach them directly.
inline constexpr std::size_t max_linked_instances = 50;

/// Writes the server's entry, with @p state, to the store.
void register_server(deployment& fleet, const server_process& server, const std::string& state);

/// Cuts the instance's links to all servers, or restores them.
void set_cut(deployment& fleet, instance_process& instance, link_fault cut);

/// Creates @p count instances in three regions and writes their settings files; starts no process.
void make_instances(deployment& fleet, std::size_t count);
void start_process(instance_process& instance);
void signal_process(instance_process& instance, int number);

/// Reaps the process if it has exited. @return whether the instance is running.
bool is_running(instance_process& instance);

/// Kills and reaps all running instances.
void end_processes(deployment& fleet);

} // namespace soak
