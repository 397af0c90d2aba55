// Discovery of the other instances: by the store's table of instances, by seeds and by contacts that peers
// send.
#pragma once

#include "control.hpp"

namespace camphorknot::edge {

bool is_own_domain(const control_state& state, std::string_view domain);

/// Adds an instance of the own failure domain and opens a link to it; other contacts are ignored.
void add_own_domain_contact(control_state& state, const steering::instance_contact& contact);

/// Stores the contact of an instance of any failure domain, so that the domain delegate can send summaries to
/// a failure domain from which it receives none.
void add_registered_instance(control_state& state, const steering::instance_contact& contact);

/// Handles the status of a new instance of another failure domain, to which this instance is a seed.
/// @return the contacts that the new instance may use.
std::optional<peer_message> handle_foreign_status(control_state& state,
                                                  const steering::instance_status& status, time_point now);

/// @return whether this instance has just started, or receives messages from no other instance.
bool needs_seeds(const control_state& state, time_point now);

/// @return whether this instance sends its status to its seeds in this tick.
bool is_seed_message_due(const control_state& state, time_point now);

/// @return the peer addresses of the seeds; without a message from another instance, also of one registered
/// instance of each other failure domain.
std::vector<std::string> seed_addresses(const control_state& state, time_point now);

/// @return the peer addresses of the current delegate of another failure domain and of its successor.
std::vector<std::string> delegate_addresses(const steering::domain_summary& summary);

/// @return the peer address of one registered instance of each failure domain from which no messages arrive.
std::vector<std::string> missing_domain_addresses(const control_state& state, time_point now);

} // namespace camphorknot::edge
