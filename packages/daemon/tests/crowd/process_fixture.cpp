#include "process_fixture.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include "crowd.hpp"

namespace crowd_tests {
namespace {

std::string configuration_row(const process_limits& limits)
{
    return R"({"config_version":"00000001","resources":[
      {"resource_kind":"routes","metadata":{"name":"find"},"spec":{"host":"seals.example","prefix":"/find/",
        "route_type":"safe","timeout_s":60.0,"target_latency_s":0.6,"priority":2,"service":"desk","max_attempts":2}},
      {"resource_kind":"routes","metadata":{"name":"archive"},"spec":{"host":"seals.example","prefix":"/archive/",
        "route_type":"safe","timeout_s":60.0,"target_latency_s":30.0,"priority":2,"service":"archive","max_attempts":1}},
      {"resource_kind":"services","metadata":{"name":"desk"},"spec":{"health_path":"/health","max_conns":100}},
      {"resource_kind":"services","metadata":{"name":"archive"},"spec":{"health_path":"/health","max_conns":5000}},
      {"resource_kind":"tenants","metadata":{"name":"gullfoss"},"spec":{"api_keys":["key-one"],"rate_per_s":0,
        "burst":0}},
      {"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":)" +
           std::to_string(limits.max_head_bytes) + R"(,"max_body_bytes":)" +
           std::to_string(limits.max_body_bytes) + R"(,"header_timeout_s":10,"idle_timeout_s":30}}]})";
}

void write_settings(const process_fixture& fixture, const std::string& bounds)
{
    const auto address = [&](int port) {
        return "\"" + fixture.instance_ip + ":" + std::to_string(port) + "\"";
    };
    std::ofstream file(fixture.directory + "/settings.yaml");
    file << "instance: { name: edge-1, ip: " << fixture.instance_ip
         << ", failure_domain: rvk-a, region: rvk, memory_mb: 112 }\n"
         << "listen: { front: " << address(front_port) << ", readiness: " << address(readiness_port)
         << ", directory: " << address(directory_port) << ", peers: " << address(peers_port)
         << ", metrics: " << address(metrics_port) << ", relay: " << address(relay_port) << " }\n"
         << "store: { address: \"" << fixture.network << ".1:" << fixture.store->port << "\" }\n"
         << "failure_domains: { rvk-a: rvk }\n"
         << "seeds: []\n";
    if (!bounds.empty()) {
        file << "bounds: " << bounds << "\n";
    }
}

// The row of a server with room for all requests of a crowd.
std::string archive_row(const std::string& address)
{
    return R"({"service":"archive","address":")" + address +
           R"(","zone":"rvk-a","config_version":"v1","slots":4000,"state":"ready","warmup_left_s":0,)"
           R"("sequence":1,"born":100})";
}

void limit_descriptors(std::size_t count)
{
    const rlimit limit{count, count};
    setrlimit(RLIMIT_NOFILE, &limit);
}

pid_t start_program(const std::string& directory, std::size_t descriptors)
{
    const std::string settings = "--settings=" + directory + "/settings.yaml";
    const std::string log_path = directory + "/log.jsonl";
    const pid_t pid = fork();
    if (pid == 0) {
        const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        if (descriptors > 0) {
            limit_descriptors(descriptors);
        }
        execl(CAMPHORKNOTD_PROGRAM, CAMPHORKNOTD_PROGRAM, settings.c_str(), nullptr);
        _exit(127);
    }
    return pid;
}

std::size_t read_kb(const std::string& status, const std::string& name)
{
    const std::size_t at = status.find(name + ":");
    return at == std::string::npos ? 0 : std::stoul(status.substr(at + name.size() + 1));
}

} // namespace

process_fixture::process_fixture(std::size_t max_body_bytes)
    : process_fixture(process_limits{max_body_bytes, process_limits{}.max_head_bytes, 0, {}})
{
}

process_fixture::process_fixture(const process_limits& limits)
    : network("127." + std::to_string(20 + ::getpid() / 250 % 200) + "." +
              std::to_string(1 + ::getpid() % 250)),
      instance_ip(network + ".101"), directory("/tmp/camphorknot-crowd-" + std::to_string(::getpid())),
      store(standins::start_store(network + ".1", 0)), server(standins::start_server(network + ".3", "i-1")),
      archive(start_plain_server(network + ".4"))
{
    std::filesystem::create_directories(directory);
    standins::put_row(*store, "op", "config", configuration_row(limits));
    const std::string server_address = network + ".3:" + std::to_string(server->port);
    standins::put_row(*store, "servers", "i-1",
                      standins::server_row("desk", server_address, "rvk-a", "v1", "ready", 0, 100));
    standins::put_row(*store, "servers", "i-2", archive_row(network + ".4:" + std::to_string(archive->port)));
    write_settings(*this, limits.bounds);
    pid = start_program(directory, limits.descriptors);
    if (!serves_ordinary_request()) {
        throw std::runtime_error("the program does not serve requests; see " + directory + "/log.jsonl");
    }
}

process_fixture::~process_fixture()
{
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(directory);
}

bool process_fixture::is_alive() const
{
    siginfo_t ended{};
    return waitid(P_PID, static_cast<id_t>(pid), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           ended.si_pid == 0;
}

bool process_fixture::ends_by_itself() const
{
    siginfo_t ended{};
    for (int step = 0; step < 600 && ended.si_pid == 0; ++step) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        waitid(P_PID, static_cast<id_t>(pid), &ended, WEXITED | WNOHANG | WNOWAIT);
    }
    return ended.si_pid != 0 && ended.si_code == CLD_EXITED && ended.si_status == 0;
}

process_usage process_fixture::usage() const
{
    const std::string process = "/proc/" + std::to_string(pid);
    std::ifstream file(process + "/status");
    const std::string status((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    process_usage seen{read_kb(status, "VmRSS"), read_kb(status, "VmHWM"), 0};
    for (const auto& entry : std::filesystem::directory_iterator(process + "/fd")) {
        seen.descriptors += entry.path().empty() ? 0 : 1;
    }
    return seen;
}

bool process_fixture::serves_ordinary_request() const
{
    const std::string request = make_head("GET", "") + "\r\n";
    for (int attempt = 0; attempt < 100 && is_alive(); ++attempt) {
        if (ask_for_status(instance_ip, request) == 200) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

} // namespace crowd_tests
