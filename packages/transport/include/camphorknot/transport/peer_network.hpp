/// @file
/// Connections between daemons. Each side opens its own connection for what it sends, when it has something
/// to send.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "camphorknot/kernel/metrics.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

struct peer_network_settings {
    std::string address;      ///< Own peer address, "ip:port"; others know this instance by it.
    std::string bind_address; ///< Address to listen on; empty for @c address.
    std::string fleet_secret;
    std::uint64_t seed = 0;          ///< Of the jitter between attempts to connect.
    std::size_t queue_limit = 256;   ///< Messages that wait for one peer.
    std::size_t inbound_limit = 512; ///< Connections from peers.
    duration handshake_timeout = std::chrono::seconds(2);
    duration silence_limit = std::chrono::seconds(2); ///< Without acknowledgement, a connection is replaced.
    duration idle_limit = std::chrono::seconds(30);   ///< An unused connection is closed.
    duration message_lifetime = std::chrono::seconds(3); ///< Older messages are dropped instead of sent.
    duration first_backoff = std::chrono::milliseconds(100);
    duration longest_backoff = std::chrono::seconds(2);
};

/// Running network with its own thread.
struct peer_network;

/// Deleter for the incomplete type.
struct peer_network_deleter {
    void operator()(peer_network* network) const;
};
using peer_network_handle = std::unique_ptr<peer_network, peer_network_deleter>;

/// Starts to listen.
/// @param on_message called in the network's thread for each message of a peer that proved the secret.
/// @param page receives the counters and must outlive the network.
/// @return the network, or null if it cannot listen.
peer_network_handle start_peer_network(const peer_network_settings& settings,
                                       std::function<void(const envelope&)> on_message, metrics& page);

/// @return the port that the network listens on.
std::uint16_t port_of(const peer_network& network);

/// Learns the address of an instance; its id is the address's hash. Safe to call from any thread.
void note_peer(peer_network& network, const std::string& address);

/// Queues @p message for its receiver; a full queue drops its oldest gossip first. Messages to instances of
/// unknown address are dropped and counted. Safe to call from any thread.
void send(peer_network& network, const envelope& message);

/// Waits, up to @p limit, until everything queued was sent to peers that can be reached.
void flush(peer_network& network, duration limit);

} // namespace camphorknot
