// How an instance finds the others: the store's table of instances, seeds, and what peers say of each other.
#pragma once

#include "control.hpp"

namespace camphorknot::edge {

bool is_own_domain(const control& state, std::string_view domain);

/// Keeps a link to an instance of the own failure domain; others are ignored.
void learn_contact(control& state, const steering::instance_contact& contact);

/// Keeps the contact of an instance of any failure domain, so that a speaker can introduce itself there.
void learn_registered(control& state, const steering::instance_contact& contact);

/// Takes the status with which an instance of another failure domain introduces itself.
/// @return whom it may turn to.
std::optional<peer_message> take_foreign_status(control& state, const steering::instance_status& status,
                                                time_point now);

/// @return whether this instance has just started, or hears nobody.
bool needs_seeds(const control& state, time_point now);

/// @return the seeds, and one registered instance of each other failure domain.
std::vector<std::string> seed_links(const control& state);

/// @return the members that speak, or will speak, for another failure domain.
std::vector<std::string> speaker_addresses(const steering::domain_summary& summary);

/// @return one registered instance of each failure domain that is not heard.
std::vector<std::string> unheard_addresses(const control& state, time_point now);

} // namespace camphorknot::edge
