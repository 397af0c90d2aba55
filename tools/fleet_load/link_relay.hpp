/// @file
/// Links of limited rate: a relay in front of the peers' port of an instance.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace fleet_load {

/// One direction of a machine's link. Bytes leave in the order in which they arrive, at a constant rate.
struct link_direction {
    double bytes_per_s = 0;
    std::chrono::steady_clock::time_point free_at{}; ///< When all bytes so far have left.
    std::atomic<std::uint64_t> bytes{0};             ///< Passed on so far.
};

/// The link of one machine, shared by all connections to its peers' port. Used in the thread of its context.
struct link_relay {
    link_relay(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
               boost::asio::ip::tcp::endpoint forward_to, double mbps);
    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::endpoint target;
    link_direction inward;  ///< To the machine.
    link_direction outward; ///< From the machine; the answers to requests over its peers' links.
};

/// Starts accepting connections; the relay must outlive the run of its context.
void start(link_relay& relay);

} // namespace fleet_load
