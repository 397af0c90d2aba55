/// @file
/// Settings and events of membership.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

struct membership_settings {
    member_record self;             ///< Initial record of this instance.
    std::vector<region_id> regions; ///< All regions of the configuration; authority needs a majority of them.
    std::uint64_t seed = 0;         ///< Of the random choice of peers and times.
    /// How long an acknowledged ping counts towards authority, from the time it was sent.
    duration authority_term = std::chrono::seconds(3);
    /// How long a suspected peer may leave probes unanswered before it is fenced.
    duration suspicion_term = std::chrono::seconds(2);
    duration gossip_period = std::chrono::milliseconds(200);
    /// Timeout of a ping. Each region is pinged about every two periods, a suspected peer every period.
    duration ping_period = std::chrono::milliseconds(500);
    /// Length of one ticket epoch. A peer's epoch is extrapolated by it until the peer reports a newer one.
    duration ticket_epoch_length = std::chrono::seconds(30);
};

enum class membership_error : std::uint8_t { none, no_regions, self_region_unknown, term_not_positive };

/// Address of an instance to contact, from the settings or from the platform's list of instances, which may
/// be out of date.
struct instance_contact {
    instance_id instance;
    region_id region;
    failure_domain_id failure_domain;
    std::string peer_address;
};

/// The first record of a member, or of a newer incarnation of it, was received.
struct member_joined {
    member_record record;
};
/// The incarnation can no longer act with authority: it left, was fenced long enough, or was replaced by a
/// newer one at its address.
struct proved_stopped {
    instance_id instance;
    incarnation number = 0;
    bool replaced = false; ///< A newer process is bound to the same address.
};
/// A fact was added that was received from a peer or resulted from this instance's suspicion of a peer.
struct fact_added {
    fact added;
};
/// This instance took the new incarnation @c number, since it was fenced or a peer reported its incarnation,
/// or a higher one, for another process.
struct self_renumbered {
    incarnation number = 0;
};
/// A peer has a higher configuration version than this instance.
struct newer_configuration_seen {
    instance_id peer;
    std::uint64_t version = 0;
};
using membership_event =
    std::variant<member_joined, proved_stopped, fact_added, self_renumbered, newer_configuration_seen>;

} // namespace camphorknot
