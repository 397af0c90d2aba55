// One HTTP request over a new connection. Forward-declares the event loop instead of including Asio, which
// is slow to compile.
#pragma once

#include <functional>
#include <string>

#include "camphorknot/tables.hpp"

namespace boost::asio {
class io_context;
}

namespace camphorknot::tables_internal {

struct server_address {
    std::string ip;
    std::uint16_t port = 0;
};

/// @return the address in "http://ip:port", or std::nullopt if @p url has another form.
std::optional<server_address> parse_url(std::string_view url);

/// Sends @p request. @param timeout for connect, request and response together.
/// @param on_response called once, on the thread that runs @p io.
void async_fetch(boost::asio::io_context& io, const server_address& server, const platform_request& request,
                 duration timeout, std::function<void(platform_response)> on_response);

} // namespace camphorknot::tables_internal
