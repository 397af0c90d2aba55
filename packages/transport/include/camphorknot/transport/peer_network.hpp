/// @file
/// Connections between daemons. A connection carries messages in one direction: each instance connects to a
/// peer when it has a message for it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "camphorknot/kernel/metrics.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

/// Settings of a peer network.
struct peer_network_settings {
    std::string address;             ///< Own peer address, "ip:port"; its hash is this instance's id.
    std::string bind_address;        ///< Address to listen on; @c address if empty.
    std::string fleet_secret;        ///< Shared by all instances; authenticates peers.
    std::uint64_t seed = 0;          ///< Seed of the jitter between connection attempts.
    std::size_t queue_limit = 256;   ///< Maximum number of queued messages for one peer.
    std::size_t inbound_limit = 512; ///< Maximum number of connections from peers.
    duration handshake_timeout = std::chrono::seconds(2);
    /// A connection without acknowledgement of its frames for this time is replaced.
    duration ack_timeout = std::chrono::seconds(2);
    duration idle_limit = std::chrono::seconds(30);      ///< A connection unused for this time is closed.
    duration message_lifetime = std::chrono::seconds(3); ///< Messages queued for longer are dropped.
    /// Delays between attempts to connect; each failure doubles the delay.
    duration initial_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::seconds(2);
};

/// Running peer network with its own thread.
struct peer_network;

/// Stops the thread and deletes the network.
struct peer_network_deleter {
    void operator()(peer_network* network) const;
};
using peer_network_handle = std::unique_ptr<peer_network, peer_network_deleter>;

/// Starts the network's thread and listens for peers.
/// @param on_message called in the network's thread for each message from an authenticated peer.
/// @param page holds the counters and must outlive the network.
/// @return the network, or null if it can't listen on the address.
peer_network_handle start_peer_network(const peer_network_settings& settings,
                                       std::function<void(const envelope&)> on_message, metrics& page);

/// @return the TCP port on which the network listens.
std::uint16_t port_of(const peer_network& network);

/// Stores the address of an instance, whose id is the hash of the address. Safe to call from any thread.
void note_peer(peer_network& network, const std::string& address);

/// Queues @p message for its receiver. A full queue drops its oldest gossip message, or its oldest message if
/// it holds no gossip. Messages to instances whose address isn't stored are dropped and counted. Safe to call
/// from any thread.
void send(peer_network& network, const envelope& message);

/// Blocks until the queues of all reachable peers are empty, for at most @p limit. Must not be called from
/// the network's thread.
void flush(peer_network& network, duration limit);

} // namespace camphorknot
