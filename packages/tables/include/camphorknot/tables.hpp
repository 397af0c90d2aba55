/// @file
/// Client of the platform services: table service, object store and instance list, over HTTP with JSON.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/kernel/metrics.hpp"
#include "camphorknot/node/control.hpp"

namespace camphorknot {

struct platform_settings {
    std::string table_url; ///< "http://ip:port", like the two below.
    std::string object_url;
    std::string instance_list_url;
    duration timeout = std::chrono::seconds(2); ///< Per request, including its connect.
    std::size_t max_concurrent_requests = 16;   ///< Further requests are queued.
};

/// A running client with a thread of its own. Its functions are safe to call from any thread.
struct platform_client;

/// Deleter for the incomplete type. Joins the thread; callbacks of unfinished requests are never called.
struct platform_client_deleter {
    void operator()(platform_client* client) const;
};
using platform_client_handle = std::unique_ptr<platform_client, platform_client_deleter>;

enum class platform_error : std::uint8_t { none, table_url, object_url, instance_list_url };

/// @return the client, or which of the addresses is malformed.
///
/// @code
/// auto platform = start_platform_client(settings, *registry);
/// async_call(**platform, call, [](const platform_answer& answer) { post_to_control(answer); });
/// @endcode
result<platform_client_handle, platform_error> start_platform_client(const platform_settings& settings,
                                                                     metrics& registry);

/// Carries out @p call. Each request uses a new connection, so a failed connect proves that the request had
/// no effect: the answer is `unavailable`. After a timeout or connection error past that point the answer is
/// `unknown`.
/// @param on_answer called once, on the client's thread.
void async_call(platform_client& client, const platform_call& call,
                std::function<void(const platform_answer&)> on_answer);

/// Reads the list of live instances.
/// @param on_list called once, on the client's thread; gets std::nullopt if the list cannot be read.
void async_list_instances(platform_client& client,
                          std::function<void(std::optional<std::vector<instance_contact>>)> on_list);

/// An HTTP request to a platform service.
struct platform_request {
    std::string method;
    std::string target; ///< Path and query.
    std::string body;
};

/// Result of an HTTP request to a platform service.
struct platform_response {
    bool connected = false; ///< False if the connect failed: no byte was sent.
    unsigned status = 0;    ///< HTTP status; 0 without a complete response.
    std::string body;
};

/// @return the HTTP request that carries out @p call.
platform_request make_request(const platform_call& call);

/// @return the answer to @p call that @p response carries.
table_answer decode_response(const platform_call& call, const platform_response& response);

/// @return the instances in the JSON @p body that are not leaving, or std::nullopt if it is malformed.
std::optional<std::vector<instance_contact>> read_instance_list(std::string_view body);

} // namespace camphorknot
