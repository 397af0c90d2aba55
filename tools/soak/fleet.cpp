#include "fleet.hpp"

#include <array>
#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace soak {
namespace {

constexpr std::array<const char*, 3> regions = {"luzon", "visayas", "mindanao"};

// Bounds in the settings of all instances; the checks of the soak rely on them.
constexpr std::array<std::pair<std::string_view, double>, 4> operator_bounds = {
    {{"grace_s", 6}, {"quota_slack", 20}, {"quota_overage", 0.1}, {"retry_budget_extra", 60}}};

std::string region_of(std::size_t index)
{
    return regions.at(index % regions.size());
}

void write_settings(const deployment& fleet, const instance_process& instance, std::size_t index)
{
    std::ofstream file(instance.settings_path);
    file << "instance: { name: " << instance.name << ", ip: " << instance.ip
         << ", failure_domain: " << region_of(index) << "-a, region: " << region_of(index) << " }\n"
         << "listen: { front: \"" << instance.ip << ":" << front_port << "\", readiness: \"" << instance.ip
         << ":7301\", directory: \"" << instance.ip << ":7302\", peers: \"" << instance.ip
         << ":7303\", metrics: \"" << instance.ip << ":7304\", relay: \"" << instance.ip << ":7305\" }\n"
         << "store: { address: \"" << fleet.network << ".1:" << port_of(*instance.store_link) << "\" }\n"
         << (instance.egress_ip.empty() ? std::string() : "egress_ip: " + instance.egress_ip + "\n")
         << "failure_domains: { luzon-a: luzon, visayas-a: visayas, mindanao-a: mindanao }\n"
         << "seeds: [\"" << fleet.network << ".101:7303\", \"" << fleet.network << ".102:7303\"]\n"
         << "bounds: " << standins::bounds_setting(operator_bounds) << "\n";
}

// Sets the fault of the instance's link to the server: that of the instance's cut, or that of the server.
void update_link(const deployment& fleet, instance_process& instance, std::size_t index)
{
    const link_fault of_server = fleet.servers.at(index).is_down ? link_fault::down : link_fault::none;
    set_fault(*instance.server_links.at(index), instance.cut == link_fault::none ? of_server : instance.cut);
}

void set_down(deployment& fleet, server_process& server, bool is_down)
{
    server.is_down = is_down;
    set_fault(*server.link, is_down ? link_fault::down : link_fault::none);
    const auto index = static_cast<std::size_t>(&server - fleet.servers.data());
    for (instance_process& instance : fleet.instances) {
        if (!instance.server_links.empty()) {
            update_link(fleet, instance, index);
        }
    }
}

void add_link(deployment& fleet, instance_process& instance, const server_process& server)
{
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(fleet.network + ".2"),
                                                 port_of(*server.link));
    instance.server_links.push_back(
        std::make_unique<proxy>(fleet.context, instance.egress_ip, address, port_of(*server.link)));
    start(*instance.server_links.back());
}

// A server that ends takes its proxies with it, and starts again as a new incarnation. The callbacks run in
// the server's thread.
void watch_crashes(deployment& fleet, server_process& server)
{
    standins::set_crash_marker(*server.server, std::string(fatal_path));
    server.server->restart_ms = 1500;
    server.server->on_crash = [&fleet, &server] {
        boost::asio::post(fleet.context, [&fleet, &server] { set_down(fleet, server, true); });
    };
    server.server->on_restart = [&fleet, &server] {
        boost::asio::post(fleet.context, [&fleet, &server] {
            set_down(fleet, server, false);
            ++server.born_ms;
            const bool leaves = server.leaving_since != clock::time_point{};
            register_server(fleet, server, leaves ? "draining" : "ready");
        });
    };
}

} // namespace

std::string key_of(int number)
{
    return "key-" + std::to_string(number);
}

void write_configuration(deployment& fleet)
{
    const std::array routes = {
        standins::configured_route{"find", caller_host, "/find/", "safe", "desk", 1.5, 0.6},
        standins::configured_route{"seal", caller_host, "/seal/", "unsafe", "desk", 1.5, 0.6}};
    const std::array customers = {
        standins::configured_customer{"free", "free-key"},
        standins::configured_customer{"limited", key_of(fleet.key_number), customer_rate, customer_burst}};
    standins::put_configuration(
        *fleet.store,
        standins::configuration_row(static_cast<unsigned>(fleet.configuration_version), routes, customers));
}

void register_server(deployment& fleet, const server_process& server, const std::string& state)
{
    const std::size_t index = std::stoul(server.id.substr(2));
    const std::string address = fleet.network + ".2:" + std::to_string(port_of(*server.link));
    standins::put_server(
        *fleet.store, server.id,
        standins::server_row("desk", address, region_of(index) + "-a", "v1", state, 0, server.born_ms));
}

void add_server(deployment& fleet)
{
    server_process server;
    server.id = "i-" + std::to_string(fleet.servers.size());
    server.server = standins::start_server(fleet.network + ".3", server.id);
    server.server->service_ms = 20;
    const boost::asio::ip::tcp::endpoint upstream(boost::asio::ip::make_address(fleet.network + ".3"),
                                                  server.server->port);
    server.link = std::make_unique<proxy>(fleet.context, fleet.network + ".2", upstream);
    start(*server.link);
    register_server(fleet, server, "ready");
    fleet.servers.push_back(std::move(server));
    watch_crashes(fleet, fleet.servers.back());
    for (instance_process& instance : fleet.instances) {
        if (!instance.egress_ip.empty()) {
            add_link(fleet, instance, fleet.servers.back());
            update_link(fleet, instance, fleet.servers.size() - 1);
        }
    }
}

void set_cut(deployment& fleet, instance_process& instance, link_fault cut)
{
    instance.cut = cut;
    for (std::size_t index = 0; index < instance.server_links.size(); ++index) {
        update_link(fleet, instance, index);
    }
}

void make_instances(deployment& fleet, std::size_t count)
{
    const boost::asio::ip::tcp::endpoint store(boost::asio::ip::make_address(fleet.network + ".1"),
                                               fleet.store->port);
    for (std::size_t index = 0; index < count; ++index) {
        instance_process instance;
        instance.name = "edge-" + std::to_string(index + 1);
        instance.ip = fleet.network + "." + std::to_string(101 + index);
        instance.settings_path = fleet.directory + "/" + instance.name + ".yaml";
        instance.log_path = fleet.directory + "/" + instance.name + ".jsonl";
        instance.program = fleet.old_program.empty() ? fleet.program : fleet.old_program;
        instance.store_link = std::make_unique<proxy>(fleet.context, fleet.network + ".1", store);
        start(*instance.store_link);
        if (index < max_linked_instances) {
            instance.egress_ip = fleet.network + "." + std::to_string(201 + index);
            for (const server_process& server : fleet.servers) {
                add_link(fleet, instance, server);
            }
        }
        write_settings(fleet, instance, index);
        fleet.instances.push_back(std::move(instance));
    }
}

void start_process(instance_process& instance)
{
    const std::string settings = "--settings=" + instance.settings_path;
    const pid_t pid = fork();
    if (pid == 0) {
        const int log = open(instance.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        // An inherited socket would stay open after this process has closed it.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execl(instance.program.c_str(), instance.program.c_str(), settings.c_str(), nullptr);
        _exit(127);
    }
    instance.pid = pid;
    instance.suspended = false;
    instance.stop_sent = {};
    instance.started = clock::now();
}

void signal_process(instance_process& instance, int number)
{
    if (instance.pid <= 0) {
        return;
    }
    kill(instance.pid, number);
    if (number == SIGSTOP || number == SIGCONT) {
        instance.suspended = number == SIGSTOP;
    }
    if (number == SIGTERM) {
        instance.stop_sent = clock::now();
    }
}

bool is_running(instance_process& instance)
{
    if (instance.pid > 0 && waitpid(instance.pid, nullptr, WNOHANG) == instance.pid) {
        instance.pid = 0;
    }
    return instance.pid > 0;
}

void end_processes(deployment& fleet)
{
    for (instance_process& instance : fleet.instances) {
        if (is_running(instance)) {
            signal_process(instance, SIGKILL);
            waitpid(instance.pid, nullptr, 0);
            instance.pid = 0;
        }
    }
}

} // namespace soak
