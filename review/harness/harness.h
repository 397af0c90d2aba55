/// @file
/// A small deployment on loopback addresses for the cases of the review: the platform's store (the project's
/// own stand-in), servers, clients, and instances of camphorknotd as separate processes.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

#include "standins/store_standin.hpp"

namespace review {

/// A server that a request has ended is back after this time.
inline constexpr double restart_s = 2;

/// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// @return seconds since the start of the program.
double now_s();
void sleep_s(double seconds);
void sleep_until(double at_s);
std::int64_t unix_ms();
/// @return whether the disruption is to be injected: TROUBLE is not "0".
bool is_trouble_on();

/// The file record.txt: what was sent, answered and run.
class record {
public:
    explicit record(const std::string& path) : file_(path) {}
    void line(const std::string& text);

private:
    std::mutex guard_;
    std::ofstream file_;
};

/// A request or an answer.
struct message {
    std::string start_line;
    std::map<std::string, std::string> fields; ///< By lower-case name.
    std::string body;
    int status = 0; ///< Of an answer.
    bool keep_alive = true;
    std::string field(const std::string& name) const;
    std::string path() const; ///< Of a request.
};

/// Reads one message with a length. @return false if the connection ended first.
bool read_message(int socket, std::string& buffer, message& read);
bool write_all(int socket, const std::string& bytes);

/// One run of a request at a server.
struct run_entry {
    double arrived_s = 0;
    double ended_s = 0;
    std::string attempt;
    bool executed = false;
    int status = 0;
};

/// How a server answers one request.
struct server_reply {
    int status = 200;
    int work_ms = 50;
    bool executed = true;
    std::string fields;   ///< Further header lines, each with its line end.
    bool crashes = false; ///< The server ends while it runs the request, and is back after restart_s.
};

/// A server of the platform. It runs `slots` requests at a time, queues the others, and registers itself in
/// the store with a heartbeat.
class server {
public:
    struct description {
        std::string id;
        std::string service;
        std::string zone;
        std::string version;
        int slots = 4;
    };
    using behavior = std::function<server_reply(const message&)>;
    server(standins::store_standin& store, record& log, std::string ip, description about, behavior decide);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Starts or stops the heartbeats; the entry stays as it is until somebody removes it.
    void set_heartbeats(bool on);
    void set_state(const std::string& state);
    /// Writes the entry now.
    void write_entry();
    /// Removes the entry, and stops the heartbeats.
    void remove_entry();
    /// Ends the server: closes its port and all connections.
    void end();
    std::vector<run_entry> runs();
    std::vector<double> crashes(); ///< When it ended by a request.
    const description& about() const { return about_; }

private:
    void accept_loop();
    void serve(int socket);
    void heartbeat_loop();
    server_reply run(const message& request);
    void crash();

    standins::store_standin& store_;
    record& log_;
    std::string ip_;
    description about_;
    behavior decide_;
    std::uint16_t port_ = 0;
    std::atomic<int> listener_{-1};
    std::atomic<bool> ended_{false};
    std::atomic<bool> beats_{true};
    std::mutex guard_;
    std::string state_ = "ready";
    std::int64_t born_ms_ = 0;
    std::uint64_t sequence_ = 0;
    std::vector<run_entry> runs_;
    std::vector<double> crashes_;
    std::atomic<double> restart_at_{-1}; ///< Negative while the server runs.
    std::vector<int> sockets_;
    std::mutex slots_guard_;
    int running_ = 0;
    int waiting_ = 0;
    std::condition_variable_any slot_free_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
    std::thread beater_;
};

/// One process of camphorknotd.
struct instance {
    std::string name;
    std::string ip;
    std::string zone;
    std::uint16_t front = 0;
    std::uint16_t readiness = 0;
    std::string settings_path;
    std::string log_path;
    pid_t pid = 0;
    std::string cut_store_address; ///< Address of the store in its settings, if not the store's own.
};

/// What a client sends.
struct client_request {
    std::string method = "GET";
    std::string path;
    std::string key;
    std::string affinity; ///< Empty for none.
    int deadline_ms = 4000;
};

/// What became of it. Status 0: the connection ended without an answer.
struct client_result {
    std::string attempt;
    std::string instance;
    double sent_s = 0;
    double ended_s = 0;
    int status = 0;
    std::string retry_after;
};

/// The whole deployment.
class deployment {
public:
    deployment(const std::string& program, const std::string& directory, record& log);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Adds an instance in the zone; start_all starts it.
    instance& add_instance(const std::string& zone);
    /// Starts all instances and waits until they are ready. @return false if one is not ready in time.
    bool start_all(double limit_s);
    void start(instance& which);
    server& add_server(server::description about, server::behavior decide);
    /// Writes op/config.
    void write_configuration(const std::string& resources_json);
    void signal(instance& which, int number);
    bool is_running(const instance& which);
    /// Ends all processes that the deployment started.
    void end_all();

    standins::store_standin& store() { return *store_; }
    std::vector<std::unique_ptr<instance>>& instances() { return instances_; }
    std::vector<std::unique_ptr<server>>& servers() { return servers_; }
    record& log() { return log_; }
    std::string server_ip() const { return network_ + ".3"; }

private:
    void write_settings(const instance& which);

    std::string program_;
    std::string directory_;
    record& log_;
    std::string network_;
    standins::store_standin_handle store_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<std::unique_ptr<server>> servers_;
    std::map<std::string, std::vector<std::uint16_t>> ports_; ///< Of each instance, by name.
    unsigned configuration_version_ = 0;
};

/// A connection of a client to one instance; reconnects when it has to.
class client {
public:
    client(record& log, const instance& to) : log_(log), to_(to) {}
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    client_result send(const client_request& request);

private:
    record& log_;
    const instance& to_;
    int socket_ = -1;
    std::string buffer_;
};

/// Clients that send requests at a steady rate until stopped, spread over some instances.
class traffic {
public:
    /// @param threads number of connections of each instance.
    traffic(deployment& fleet, std::vector<const instance*> to, int threads, double per_s_each,
            std::function<client_request(std::uint64_t)> next);
    ~traffic() { stop(); }
    traffic(const traffic&) = delete;
    traffic& operator=(const traffic&) = delete;
    void stop();
    std::vector<client_result> results();

private:
    std::atomic<bool> stopped_{false};
    std::mutex guard_;
    std::vector<client_result> results_;
    std::vector<std::thread> threads_;
};

/// Resources of a configuration.
std::string route_json(const std::string& name, const std::string& prefix, const std::string& kind,
                       const std::string& service, bool sticky, double timeout_s, double objective_s,
                       int max_attempts = 2);
std::string service_json(const std::string& name, double warmup_s = 0, double warmup_per_s = 0);
std::string tenant_json(const std::string& name, const std::string& key, double rate_per_s = 0,
                        double burst = 0);
std::string limits_json();

inline constexpr const char* host = "desk.example";

/// Runs a case: sets up the record and the folder for temporary files.
/// Arguments: path of camphorknotd, folder of the case, temporary folder.
int run_case(int argc, char** argv, const std::function<int(deployment&, record&)>& body);

} // namespace review
