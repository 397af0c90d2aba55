// Test fixture: the program as a process of its own, with stand-ins for the store and for one server.
#pragma once

#include <string>
#include <sys/types.h>

#include "plain_server.hpp"
#include "standins/server_standin.hpp"
#include "standins/store_standin.hpp"

namespace crowd_tests {

/// What /proc states about a process.
struct process_usage {
    std::size_t resident_kb = 0;      ///< VmRSS.
    std::size_t peak_resident_kb = 0; ///< VmHWM.
    std::size_t descriptors = 0;
};

/// Limits of a test's own process.
struct process_limits {
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024; ///< In the operator's configuration.
    std::size_t max_head_bytes = 16'384;                       ///< Likewise.
    std::size_t descriptors = 0; ///< Limit of the process (RLIMIT_NOFILE); 0 to leave it as it is.
    std::string bounds;          ///< Value of `bounds` in the settings; empty to leave it out.
};

/// A running process, killed at the end of the test.
struct process_fixture {
    std::string network; ///< First three octets of the addresses, which depend on the id of the test process.
    std::string instance_ip;
    std::string directory;
    standins::store_standin_handle store;
    standins::server_standin_handle server;
    plain_server_handle archive; ///< Server of the service "archive"; silent until told otherwise.
    pid_t pid = 0;

    /// Starts the process and waits until it serves requests.
    /// @param max_body_bytes limit for a body in the operator's configuration.
    explicit process_fixture(std::size_t max_body_bytes);
    explicit process_fixture(const process_limits& limits);
    ~process_fixture();
    process_fixture(const process_fixture&) = delete;
    process_fixture& operator=(const process_fixture&) = delete;
    process_fixture(process_fixture&&) = delete;
    process_fixture& operator=(process_fixture&&) = delete;

    bool is_alive() const;
    process_usage usage() const;

    /// Waits for up to a minute. @return whether the process exited without an error.
    bool ends_by_itself() const;

    /// Sends ordinary requests until one is answered with 200 or ten seconds have passed.
    bool serves_ordinary_request() const;
};

} // namespace crowd_tests
