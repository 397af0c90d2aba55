// A listening port with a limit for its connections.
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "camphorknot/kernel.hpp"
#include "camphorknot/steering.hpp"
#include "guarded_run.hpp"

namespace camphorknot::edge {

/// The connections of one port, or of two that share a limit. Used in one thread.
struct limited_port {
    std::string name; ///< In metrics and logs.
    steering::connection_table table;
    std::map<std::uint64_t, std::function<void()>> close_connection; ///< By id.
    log_limiter log;
    std::atomic<std::int64_t>* open = nullptr;     ///< Gauge.
    std::atomic<std::uint64_t>* refused = nullptr; ///< Connections that were not accepted.
    std::atomic<std::uint64_t>* closed = nullptr;  ///< Connections that were closed for others.
};

/// @return limits for the descriptors and the memory of this process.
/// @param max_descriptors limit of the settings; 0 for that of the process only.
/// @param memory_mb memory of the machine in megabytes; 0 if it is unknown.
steering::connection_limits find_connection_limits(std::size_t max_descriptors, double memory_mb);

/// Sets the limit and registers the metrics.
void open_limits(limited_port& port, std::string_view name, std::size_t limit, metrics& registry);

/// A connection that counts toward its port's limit for as long as this exists.
class counted_connection {
public:
    counted_connection(limited_port& port, std::uint64_t id) : port_(port), id_(id) {}
    ~counted_connection();
    counted_connection(const counted_connection&) = delete;
    counted_connection& operator=(const counted_connection&) = delete;
    counted_connection(counted_connection&&) = delete;
    counted_connection& operator=(counted_connection&&) = delete;

    /// @param now start of the phase; the time of the last progress if the phase is unchanged.
    void set_phase(steering::connection_phase phase, time_point now);
    /// @return whether the connection is being closed for another one.
    bool is_closing() const;

private:
    limited_port& port_;
    std::uint64_t id_;
};
using counted_connection_handle = std::shared_ptr<counted_connection>;

/// Counts a new connection.
/// @param close ends the connection's reads; called if another connection takes its place.
/// @return null if there are too many connections, and none that can be closed.
counted_connection_handle admit_connection(limited_port& port, std::function<void()> close);

/// Accepts connections until the acceptor is closed. After an error, as when the process has no descriptor
/// left, it waits for a moment.
boost::asio::awaitable<void>
accept_connections(boost::asio::ip::tcp::acceptor& acceptor, limited_port& port,
                   std::function<void(boost::asio::ip::tcp::socket)> on_accepted);

/// Accepts the connections that wait in the acceptor's backlog, then closes it. Closing it alone would reset
/// connections whose callers have sent requests already. After an error, as when the process has no
/// descriptor left, the acceptor stays open.
void accept_last_connections(boost::asio::ip::tcp::acceptor& acceptor, limited_port& port,
                             const std::function<void(boost::asio::ip::tcp::socket)>& on_accepted);

} // namespace camphorknot::edge
