/// @file
/// HTTP interface for operators, metrics and health.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "camphorknot/daemon/control.hpp"
#include "camphorknot/daemon/traffic_server.hpp"

namespace camphorknot {

struct admin_request {
    std::string method;
    std::string target;        ///< Path with query.
    std::string authorization; ///< Value of the Authorization field.
    std::string body;
};

struct admin_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields; ///< Further header fields.
};

using admin_handler = std::function<admin_response(const admin_request&)>;

/// Running server with its own thread. Requests are handled one at a time.
struct admin_server;

/// Deleter for the incomplete type; stops the thread.
struct admin_server_deleter {
    void operator()(admin_server* server) const;
};
using admin_server_handle = std::unique_ptr<admin_server, admin_server_deleter>;

/// @param address "ip:port"; port 0 lets the system choose.
result<admin_server_handle, listen_error> start_admin_server(const std::string& address,
                                                             admin_handler handler);

std::uint16_t port_of(const admin_server& server);

/// What the handler of operators' requests needs.
struct admin_context {
    control* owner = nullptr;
    metrics* page = nullptr;
    std::string operator_token_sha256;
    std::string fleet_secret;
};

/// @return the handler of all paths. It waits for the control thread where it must.
///
/// @code
/// auto server = start_admin_server("127.0.0.1:7301", make_admin_handler(context));
/// @endcode
admin_handler make_admin_handler(const admin_context& context);

} // namespace camphorknot
