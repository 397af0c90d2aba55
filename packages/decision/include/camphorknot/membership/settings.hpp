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
    member_record self;
    std::vector<region_id> regions; ///< All regions of the configuration; authority needs a majority of them.
    std::uint64_t seed = 0;
    duration authority_term = std::chrono::seconds(3);
    duration suspicion_term = std::chrono::seconds(2);
    duration gossip_period = std::chrono::milliseconds(200);
    duration ping_period = std::chrono::milliseconds(500);
    duration ticket_epoch_length = std::chrono::seconds(30); ///< Peers' epochs are advanced between contacts.
};

enum class membership_error : std::uint8_t { none, no_regions, self_region_unknown, term_not_positive };

/// An instance that the platform's lagging list or the settings name; a hint on whom to contact.
struct instance_contact {
    instance_id instance;
    region_id region;
    failure_domain_id failure_domain;
    std::string peer_address;
};

struct member_joined {
    member_record record;
};
/// The incarnation can no longer act with authority: it left, was fenced long enough, or was replaced at its
/// address.
struct proved_stopped {
    instance_id instance;
    incarnation number = 0;
    bool replaced = false; ///< A newer process is bound to the same address.
};
struct fact_learned {
    fact learned;
};
/// This process was fenced and took the incarnation @c number.
struct self_renumbered {
    incarnation number = 0;
};
/// A peer has a higher configuration version than this instance.
struct newer_configuration_seen {
    instance_id peer;
    std::uint64_t version = 0;
};
using membership_event =
    std::variant<member_joined, proved_stopped, fact_learned, self_renumbered, newer_configuration_seen>;

} // namespace camphorknot
