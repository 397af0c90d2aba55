/// @file
/// Which collections an instance requests from a peer that has newer copies.
///
/// Designed for a large configuration on the link of a small instance: the targets, which must be known
/// within seconds when they leave, do not wait behind it, and it is not sent by several peers at once.
#pragma once

#include <span>

#include "camphorknot/steering/record_replica.hpp"

namespace camphorknot::steering {

/// Requests for which no answer has arrived.
struct record_requests {
    /// When each collection was last requested; zero after its answer.
    std::array<time_point, collection_count> requested_at{};
};

/// Positions of the requester in one message to a peer.
using requested_positions = std::array<record_position, collection_count>;

/// @param peer positions of the peer's copies.
/// @param has_fast_link whether no live peer has a faster link than this one. The orders are requested only
/// from such peers: one weak instance that all others ask would send a large configuration for seconds.
/// @return the messages to send, in order; empty if the peer has nothing newer or other peers were asked. A
/// collection that is not requested has a position that no copy exceeds.
std::vector<requested_positions> select_requests(const record_replica& replica,
                                                 const record_requests& pending,
                                                 const std::array<record_position, collection_count>& peer,
                                                 bool has_fast_link, time_point now);

/// Counts the collections of a message from select_requests as requested.
void on_requested(record_requests& pending, const requested_positions& message, time_point now);

/// Counts the collections in a peer's answer as answered; an empty answer ends all requests.
void on_answered(record_requests& pending, std::span<const record_update> updates);

} // namespace camphorknot::steering
