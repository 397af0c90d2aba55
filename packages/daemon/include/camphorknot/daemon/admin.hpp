/// @file
/// HTTP server for the operator API, the metrics endpoint and the health check.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "camphorknot/daemon/control.hpp"
#include "camphorknot/daemon/traffic_server.hpp"

namespace camphorknot {

/// One HTTP request to the admin server.
struct admin_request {
    std::string method;
    std::string target;        ///< Request target: path with query.
    std::string authorization; ///< Value of the Authorization header field; empty if absent.
    std::string body;
};

/// The HTTP response to an admin_request.
struct admin_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields; ///< Additional header fields, as (name, value).
};

/// Produces the response to one request. Called in the thread of the admin server.
using admin_handler = std::function<admin_response(const admin_request&)>;

/// Running admin server. One thread of its own serves all connections, so requests are handled one at a time.
struct admin_server;

/// Deleter for the incomplete type; stops the server's thread.
struct admin_server_deleter {
    void operator()(admin_server* server) const;
};
using admin_server_handle = std::unique_ptr<admin_server, admin_server_deleter>;

/// Starts to listen on @p address and to serve requests in a new thread.
/// @param address "ip:port"; with port 0 the system chooses a free port.
/// @return the server, or the reason why it cannot listen.
result<admin_server_handle, listen_error> start_admin_server(const std::string& address,
                                                             admin_handler handler);

/// @return the port that the server listens on.
std::uint16_t port_of(const admin_server& server);

/// Dependencies of the admin request handler. The pointers must stay valid as long as the handler is used.
struct admin_context {
    control* controller = nullptr;
    metrics* registry = nullptr;
    std::string operator_token_sha256; ///< SHA-256 of the operator token, lower-case hexadecimal.
    std::string fleet_secret;          ///< Key of the hashes of customer keys.
};

/// @return the handler for all paths of the admin server. /metrics and /healthz need no operator token.
/// Requests that read or change the node's state block until the control thread has processed them.
///
/// @code
/// auto server = start_admin_server("127.0.0.1:7301", make_admin_handler(context));
/// @endcode
admin_handler make_admin_handler(const admin_context& context);

} // namespace camphorknot
