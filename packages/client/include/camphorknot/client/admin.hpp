/// @file
/// Requests to the admin interface of the instances, over HTTP/1.1.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace camphorknot::client {

struct admin_request {
    std::string method;
    std::string target;
    std::string body;
};

/// What is known of a request after its end.
enum class delivery : std::uint8_t {
    answered,
    not_sent,  ///< No connection; the instance can't have acted on it.
    no_answer, ///< Sent, without a whole answer; the instance may have acted on it.
};

struct admin_answer {
    delivery state = delivery::not_sent;
    unsigned code = 0; ///< HTTP status.
    std::string body;
    std::string instance; ///< Admin address that answered, or was tried last.
};

/// Admin addresses of several instances, tried in turn.
struct admin_client {
    std::vector<std::string> instances; ///< "ip:port".
    std::string token;
    std::chrono::milliseconds timeout{3000}; ///< For one instance, connection and answer.
    std::size_t preferred = 0;               ///< Instance that answered last; tried first.
};

/// Sends @p request to one instance.
admin_answer send_to(const std::string& instance, const std::string& token, std::chrono::milliseconds timeout,
                     const admin_request& request);

/// Sends @p request to the first instance that answers, starting with the one that answered last. A request
/// that may have had an effect is not sent again, unless it is a GET; the caller resolves it.
admin_answer send(admin_client& client, const admin_request& request);

} // namespace camphorknot::client
