/// @file
/// Fleet under load: instances as separate processes, with the settings and the configuration of a large
/// deployment.
#pragma once

#include <array>
#include <set>
#include <sys/types.h>

#include "servers.hpp"
#include "standins/store_standin.hpp"

namespace fleet_load {

inline constexpr std::uint16_t front_port = 7300;
inline constexpr std::uint16_t directory_port = 7302;
inline constexpr const char* caller_host = "s.example";
inline constexpr const char* caller_key = "free-key";
inline constexpr std::uint16_t peers_port = 7303;
// At which instances listen for peers behind the relay of a limited link.
inline constexpr std::uint16_t relayed_peers_port = 7313;
// Number of instances that one run has addresses for.
inline constexpr std::size_t max_instances = 240;

// Bounds in the settings of all instances.
inline constexpr std::chrono::seconds grace{10};
inline constexpr std::chrono::seconds config_apply{4};
inline constexpr std::chrono::seconds drain{4};

inline constexpr std::array<const char*, 3> regions = {"luzon", "visayas", "mindanao"};

/// One life of an instance's process.
struct process_life {
    pid_t pid = 0;
    clock::time_point started{};
    clock::time_point stop_sent{}; ///< Time of SIGTERM; zero for none.
    clock::time_point killed{};    ///< Time of SIGKILL; zero for none.
    clock::time_point ended{};     ///< Zero while it runs.
    int status = 0;                ///< As waitpid reports it.
};

struct stall {
    clock::time_point from{};
    clock::time_point to{};
};

struct instance_process {
    std::string name;
    std::string ip;
    std::string region;
    std::string failure_domain;
    bool is_fast = false; ///< One of the machines with more processor time and a faster link.
    std::string settings_path;
    std::string log_path;
    std::vector<process_life> lives; ///< The last one is the present one.
    std::vector<clock::time_point> reloads;
    std::vector<stall> stalls;
    bool is_stalled = false;
};

/// Machines of the deployment.
struct machine_profile {
    double link_mbps = 20;
    double processor_share = 0.1; ///< Of one core.
    int memory_mb = 160;
};

/// Shape of the fleet.
struct fleet_shape {
    std::size_t domains_per_region = 1;
    std::size_t fast_machines_per_domain = 0;
    machine_profile slow{};
    machine_profile fast{200, 0.5, 512};
    bool limits_links = false;   ///< Instances listen behind relays.
    std::size_t bulk_routes = 0; ///< Routes of the configuration that callers don't use.
};

/// All parts of one run.
struct fleet_state {
    explicit fleet_state(boost::asio::io_context& io) : context(io) {}
    boost::asio::io_context& context;
    std::string network; ///< First three octets "127.x.y" of the run's addresses.
    std::string directory;
    std::string program;
    bool bounds_as_list = false;
    standins::store_standin_handle store;
    std::vector<service_profile> services;
    std::vector<instance_process> instances;
    std::vector<std::unique_ptr<load_server>> servers;
    run_log runs;
    unsigned configuration_version = 1;
    int connection_limit = 400; ///< `max_conns` of all services.
    fleet_shape shape;
    std::set<std::string> added_keys;              ///< Of the customer beside caller_key.
    std::set<int> added_routes;                    ///< Numbers of the routes beside those of the services.
    double other_customer_rate = 5000;             ///< Requests per second of a customer that sends nothing.
    std::vector<clock::time_point> configurations; ///< Times at which one was written.
};

/// @return the path prefix of an added route.
std::string prefix_of_added(int number);

/// Writes the configuration, under a new version, to the store.
void write_configuration(fleet_state& fleet);

/// Writes a configuration under a new version that has a route to @p prefix and another route without a host.
void write_malformed_configuration(fleet_state& fleet, const std::string& prefix);

/// @return the profile of the instance's machine.
const machine_profile& profile_of(const fleet_state& fleet, const instance_process& instance);

/// Starts a server and registers it as ready.
void add_server(fleet_state& fleet, std::size_t service, std::uint64_t seed);
void register_server(fleet_state& fleet, const load_server& server, const std::string& state);

/// Creates @p count instances in three regions and writes their settings files; starts no process.
void make_instances(fleet_state& fleet, std::size_t count);
void start_process(const fleet_state& fleet, instance_process& instance);

/// @return the running process of the instance; null if it has none.
process_life* running_life(instance_process& instance);

/// Sends a signal to the running process, and records its time.
void signal_process(instance_process& instance, int number);

/// Reaps the process if it has exited. @return whether it exited in this call.
bool reap(instance_process& instance);

/// Kills and reaps all running instances.
void end_processes(fleet_state& fleet);

} // namespace fleet_load
