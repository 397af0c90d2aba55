// Contacts of the live instances: the answers of the directory, and the next hops of requests.
#include <algorithm>
#include <functional>

#include "camphorknot/steering/fleet.hpp"
#include "camphorknot/steering/front_selection.hpp"

namespace camphorknot::steering {
namespace {

std::vector<instance_contact> live_contacts(const fleet& peers, bool own_is_ready, time_point now)
{
    std::vector<instance_contact> contacts;
    if (own_is_ready) {
        contacts.push_back(contact_of(peers.own));
        contacts.back().access = peers.own_access;
    }
    for (const instance_status* status : live_statuses(peers, now)) {
        contacts.push_back(contact_of(*status));
    }
    for (const domain_summary* summary : live_summaries(peers, now)) {
        contacts.insert(contacts.end(), summary->members.begin(), summary->members.end());
    }
    return contacts;
}

} // namespace

instance_contact contact_of(const instance_identity& identity)
{
    return {identity.name,           identity.failure_domain, identity.region,
            identity.front_address,  identity.peer_address,   identity.link_mbps,
            identity.cpu_millicores, identity.relay_address,  {}};
}

instance_contact contact_of(const instance_status& status)
{
    instance_contact contact = contact_of(status.identity);
    contact.access = status.access;
    return contact;
}

std::vector<next_hop> live_next_hops(const fleet& peers, time_point now)
{
    std::vector<next_hop> hops;
    for (instance_contact& contact : live_contacts(peers, false, now)) {
        if (!contact.relay_address.empty()) {
            hops.push_back({std::move(contact.name), std::move(contact.failure_domain),
                            std::move(contact.region), std::move(contact.relay_address),
                            std::move(contact.access.unreachable_services)});
        }
    }
    return hops;
}

std::vector<std::string> front_addresses_for(const fleet& peers, std::string_view region,
                                             std::string_view domain, bool own_is_ready, time_point now)
{
    std::vector<instance_contact> live = live_contacts(peers, own_is_ready, now);
    const auto reaches_any = [](const instance_contact& contact) { return contact.access.reaches_any; };
    if (std::ranges::any_of(live, reaches_any)) {
        std::erase_if(live, std::not_fn(reaches_any));
    }
    const auto contacts_if = [&](auto matches) {
        std::vector<instance_contact> contacts;
        std::ranges::copy_if(live, std::back_inserter(contacts), matches);
        return contacts;
    };
    auto contacts =
        contacts_if([&](const instance_contact& contact) { return contact.failure_domain == domain; });
    if (contacts.empty()) {
        contacts = contacts_if([&](const instance_contact& contact) { return contact.region == region; });
    }
    if (contacts.empty()) {
        contacts = live;
    }
    std::set<std::string_view> domains = {domain};
    for (const instance_contact& contact : contacts) {
        domains.insert(contact.failure_domain);
    }
    double requests_per_s = 0;
    for (const auto& [name, rate] : peers.request_rates) {
        requests_per_s += domains.contains(name) ? peak_rate_at(rate, now) : 0;
    }
    std::vector<std::string> addresses;
    for (instance_contact& contact : select_fronts(std::move(contacts), requests_per_s, {})) {
        addresses.push_back(std::move(contact.front_address));
    }
    return addresses;
}

} // namespace camphorknot::steering
