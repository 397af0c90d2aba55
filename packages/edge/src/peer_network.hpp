// Connections to the other instances: one outgoing link to each peer, and the links that peers open to this
// one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "camphorknot/edge/settings.hpp"
#include "held_messages.hpp"
#include "limited_port.hpp"
#include "peer_codec.hpp"

namespace camphorknot::edge {

/// How a frame arrived.
struct frame_arrival {
    std::string_view peer;   ///< Remote address of its connection.
    std::size_t bytes = 0;   ///< Of the content.
    duration receive_time{}; ///< From the header to the last byte.
};

/// Callbacks; they run in the thread of the network's io_context.
struct peer_handlers {
    /// Handles a message. @return the reply to send over the same connection, if any.
    std::function<std::optional<peer_message>(peer_message&&, const frame_arrival&)> on_message;
    /// Reports that a link was opened or closed; @p event is the name of the log event.
    /// @param reason what closed the link; empty if it was opened.
    std::function<void(std::string_view event, std::string_view address, std::string_view reason)>
        on_link_change;
};

/// Bytes of frames by message type; the last one counts unknown types. Null until the metrics are registered.
using frame_byte_counters = std::array<std::atomic<std::uint64_t>*, message_type_count + 1>;

/// What the links take of this instance. Outlives the io_context of its network.
struct peer_intake {
    limited_port links; ///< Those that other instances open.
    /// Frames that are being received, but for small ones.
    held_messages frames;
    std::size_t max_queued_bytes =
        std::size_t{16} * 1024 * 1024; ///< Frames that wait to be sent, on all links.
    std::size_t queued_bytes = 0;
    std::atomic<std::uint64_t>* refused_frames = nullptr; ///< Not received, without room, or not valid.
    frame_byte_counters sent_bytes{};                     ///< Of frames that were queued.
    frame_byte_counters received_bytes{};
};

/// Sets the limits and registers the metrics.
/// @param memory_mb memory of the machine in megabytes; 0 if it is unknown.
void open_intake(peer_intake& intake, std::size_t max_links, double memory_mb, metrics& registry);

/// The links of this instance. All functions must be called in the thread of its io_context.
struct peer_network;

/// Listens at @p listen. @return the links, or the error of the system if the address cannot be listened at.
result<std::shared_ptr<peer_network>, boost::system::error_code>
open_peer_network(boost::asio::io_context& context, const endpoint& listen, peer_intake& intake,
                  peer_handlers handlers);

/// Opens a link to @p address ("ip:port") and reopens it after failures until remove_peer. Does nothing if
/// the link exists.
void add_peer(peer_network& network, const std::string& address);
/// Closes the link to @p address.
void remove_peer(peer_network& network, const std::string& address);

/// Sends one frame over the open links among @p addresses. Skips a link whose queue is full because its
/// receiver does not read.
void send_to_all(peer_network& network, std::span<const std::string> addresses, const std::string& frame);

/// @return whether the frame was queued: the link to @p address is open and its queue is not full.
bool send_to(peer_network& network, const std::string& address, const std::string& frame);

/// @return the addresses added by add_peer, whether their links are open or not.
std::vector<std::string> linked_peers(const peer_network& network);

/// Closes all links and stops listening.
void close_peer_network(peer_network& network);

} // namespace camphorknot::edge
