// A small deployment on loopback for the scripts of this review: the store and the servers are the project's
// own stand-ins, the instances are separate processes started with the command of the deploy file.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include "server.h"
#include "standins/caller_standin.hpp"
#include "standins/store_standin.hpp"

namespace review {

using steady = std::chrono::steady_clock;

/// Limits of a machine and bounds of the deployment, as in the settings of the platform.
struct deployment {
    int memory_mb = 260;
    int max_fds = 4100;
    double grace_s = 6;
    std::map<std::string, std::string> zones = {{"rvk-a", "reykjavik"}, {"aku-a", "akureyri"}};
};

/// One process of the system.
struct machine {
    std::string name;
    std::string zone;
    std::uint16_t front = 0;
    std::uint16_t readiness = 0;
    std::uint16_t control = 0;
    std::uint16_t directory = 0;
    std::uint16_t inner = 0; ///< First of two.
    std::string settings;
    pid_t pid = -1;
    int starts = 0;
};

struct stage {
    explicit stage(std::string record_path);
    ~stage();
    stage(const stage&) = delete;
    stage& operator=(const stage&) = delete;

    deployment limits;
    std::string ip;
    std::string work; ///< Temporary folder.
    std::ofstream record;
    std::mutex record_guard;
    steady::time_point began = steady::now();
    standins::store_standin_handle store;
    std::vector<std::unique_ptr<server>> servers;
    std::map<std::string, std::string> server_rows; ///< Service and zone, for the heartbeats.
    std::mutex rows_guard;
    std::vector<std::unique_ptr<machine>> machines;
    std::atomic<bool> ended{false};
    std::thread heartbeats;

    /// Writes a line to the record, with the time since the start.
    void note(const std::string& line);

    server& add_server(const std::string& id, const std::string& service, const std::string& zone,
                       unsigned slots, int service_ms);
    /// Adds a machine and renders its settings; it is not started.
    machine& add_machine(const std::string& name, const std::string& zone);
    void start(machine& added);
    /// SIGKILL, and waits for the end.
    void kill(machine& running);
    /// @return whether the process runs; if it has ended, its status is noted.
    bool is_running(machine& started);
    bool wait_until_ready(machine& started, std::chrono::milliseconds limit);

private:
    void beat();
};

std::uint16_t free_port(const std::string& ip);

/// Resident memory of a process in megabytes; 0 if it does not run.
double resident_mb(pid_t pid);

/// @return a connected blocking socket, or -1.
int connect_to(const std::string& ip, std::uint16_t port, std::chrono::milliseconds limit);
bool send_all(int socket, const std::string& bytes, std::chrono::milliseconds limit);
/// Reads until the connection ends, `until` is true for what was read, or the limit.
std::string receive(int socket, std::chrono::milliseconds limit,
                    const std::function<bool(const std::string&)>& until);
/// @return whether the text holds a complete answer with a length.
bool is_complete_answer(const std::string& text);
/// @return the status of an answer; 0 if there is none.
int status_of(const std::string& text);

/// A request head in the format of the platform's clients, without the empty line.
std::string request_head(const std::string& method, const std::string& path, const std::string& host,
                         const std::string& attempt, const std::string& key, int deadline_ms);

/// One request on a new connection.
struct asked {
    int status = 0; ///< 0 without a complete answer.
    bool connected = false;
    double took_s = 0;
    bool is_signed = false;
};
asked ask(const std::string& ip, std::uint16_t port, const std::string& request,
          std::chrono::milliseconds limit);

/// @return whether TROUBLE=0 is not set.
bool has_trouble();

} // namespace review
