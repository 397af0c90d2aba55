/// @file
/// HTTP/1.1 client for the admin interface of the instances.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace camphorknot::client {

struct admin_request {
    std::string method;
    std::string target; ///< Path and query.
    std::string body;
};

/// How far a request got.
enum class delivery : std::uint8_t {
    answered,
    not_sent,  ///< No connection was made; the instance cannot have executed the request.
    no_answer, ///< No complete answer after the connect; the request may have been executed.
};

struct admin_answer {
    delivery state = delivery::not_sent;
    unsigned code = 0; ///< HTTP status.
    std::string body;
    std::string instance; ///< Admin address that answered, or the last one tried.
};

/// Admin addresses of one or more instances, tried in turn. Not thread-safe.
struct admin_client {
    std::vector<std::string> instances;      ///< "ip:port".
    std::string token;                       ///< Operator's bearer token.
    std::chrono::milliseconds timeout{3000}; ///< Per instance, for connect and answer together.
    std::size_t preferred = 0; ///< Index of the instance to try first: the last one that answered.
};

/// Sends @p request to one instance and blocks until the answer or the timeout.
admin_answer send_to(const std::string& instance, const std::string& token, std::chrono::milliseconds timeout,
                     const admin_request& request);

/// Sends @p request to the first instance that answers, starting with the preferred one. Unless it is a GET,
/// a request that may have been executed is not sent again: the result is delivery::no_answer, and the caller
/// has to find out whether the request took effect.
admin_answer send(admin_client& client, const admin_request& request);

} // namespace camphorknot::client
