/// @file
/// Which collections an instance requests from a peer that has newer copies.
///
/// Designed for a large configuration on the link of a small instance: the targets, which must be known
/// within seconds when they leave, do not wait behind it, it is not sent by several peers at once, and a peer
/// that does not answer is passed over.
#pragma once

#include <set>
#include <span>

#include "camphorknot/steering/record_replica.hpp"

namespace camphorknot::steering {

/// Requests for which no answer has arrived.
struct record_requests {
    /// When another peer may be asked for each collection; zero after an answer.
    std::array<time_point, collection_count> retry_at{};
    std::uint64_t announced_orders = 0; ///< Newest position of the orders that a peer has.
    time_point own_behind_since{};      ///< Since when the own copy is older; zero if it is not.
    /// Since when the copies of instances with faster links are older than those of others; zero if they are
    /// not.
    time_point faster_behind_since{};
    std::string orders_source{};       ///< Name of the instance that was asked last for the orders.
    time_point orders_requested_at{};  ///< When it was asked; zero if none was.
    unsigned orders_request_count = 0; ///< Requests for the orders since the own copy is older.
    /// A patch of the orders could not be applied, so that the next request asks for whole records.
    bool needs_whole_records = false;
    /// Names of the instances that did not answer in time since the own copy is older.
    std::set<std::string> unanswering{};
};

/// @return whether the instance @p name was asked for the orders and has not answered in time, so that others
/// are preferred.
bool is_unanswering(const record_requests& pending, const std::string& name, time_point now);

/// Time for which a newer copy of the orders has been known; zero if the own one is the newest.
duration orders_behind_for(const record_requests& pending, time_point now);

/// A live instance of the own failure domain as a source of the orders.
struct record_source {
    std::uint32_t link_mbps = 0;
    std::uint64_t rank = 0; ///< Order of instances with equal links; the highest comes first.
    record_position orders{};
    bool answers = true; ///< Not is_unanswering.
};

/// Whether the orders are to be requested from @p peer. Of the instances that have a newer copy and answer,
/// the one with the fastest link is asked. If a faster one lacks it too, that one asks first and is waited
/// for, for a limited time: it may be cut off.
/// @param others the other live instances, @p peer among them.
/// @param faster_behind_for time for which faster instances have been behind.
bool is_best_source(const record_source& peer, std::span<const record_source> others,
                    const record_source& own, duration faster_behind_for);

/// @return the time after which another peer is asked, from the size of the own copy; the longest without
/// one.
/// @param link_mbps of the peer that was asked; zero if unknown.
duration expected_answer_time(const record_replica& replica, collection group, std::uint32_t link_mbps);

/// Stores since when the own copy and those of faster instances are behind.
/// @param peer an instance whose status has arrived.
/// @param others the other live instances, @p peer among them.
void on_orders_announced(record_requests& pending, const record_source& own, const record_source& peer,
                         std::span<const record_source> others, time_point now);

/// Positions of the requester in one message to a peer.
using requested_positions = std::array<record_position, collection_count>;

/// @param peer positions of the peer's copies.
/// @param is_orders_source result of is_best_source: one weak instance that all others ask would send a large
/// configuration for seconds.
/// @return the messages to send, in order; empty if the peer has nothing newer or other peers were asked. A
/// collection that is not requested has a position that no copy exceeds.
std::vector<requested_positions> select_requests(const record_replica& replica,
                                                 const record_requests& pending,
                                                 const std::array<record_position, collection_count>& peer,
                                                 bool is_orders_source, time_point now);

/// Counts the collections of a message from select_requests as requested.
/// @param source name of the instance that is asked.
/// @param link_mbps of that instance; zero if unknown.
void on_requested(record_requests& pending, const record_replica& replica, const requested_positions& message,
                  const std::string& source, std::uint32_t link_mbps, time_point now);

/// Stores whether the patches in a peer's answer could be applied. After a failure the next request asks for
/// whole records: instances may have other contents under one version after the store returned from an old
/// copy.
void on_patches_resolved(record_requests& pending, collection group, patch_fault fault);

/// Counts the collections in a peer's answer as answered; an empty answer ends all requests.
void on_answered(record_requests& pending, std::span<const record_update> updates);

} // namespace camphorknot::steering
