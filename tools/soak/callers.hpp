/// @file
/// Callers of the soak, which send requests to the instances and record the results.
#pragma once

#include <map>
#include <random>

#include "fleet.hpp"

namespace soak {

/// One request of a caller and its result.
struct request_result {
    std::string attempt;
    std::string instance;
    pid_t pid = 0;
    bool unsafe = false;
    int key_number = 0; ///< Number of the limited customer's key; 0 for the key of the unlimited customer.
    clock::time_point sent{};
    clock::time_point ended{};
    unsigned status = 0; ///< HTTP status; 0 if no complete answer arrived.
    bool connected = false;
    bool condemned = false; ///< Refused as a request that ends its targets.
    bool has_valid_signature =
        false; ///< Success with a complete body and the server's signature for this attempt.
    std::string unproved_answer{}; ///< Signature and start of the body of a success without that.
};

struct caller_log {
    std::vector<request_result> results;
    bool running = true;
    std::uint64_t next_attempt = 1;
};

/// Starts @p count callers, which send requests until `running` is false. Each caller sends several requests
/// over one connection, unless the instance closes it or its process ends first.
void start_callers(deployment& fleet, caller_log& log, std::size_t count, std::mt19937_64& random);

/// Starts a caller that sends a request which ends the servers that run it, again and again until `running`
/// is false, at any instance. Its results are not recorded.
void start_fatal_caller(deployment& fleet, caller_log& log, std::uint64_t seed);

} // namespace soak
