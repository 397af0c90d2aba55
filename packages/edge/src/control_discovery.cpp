// Discovery of the other instances: by the store's table, by seeds and by contacts that peers send.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control_discovery.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Summaries go to this many members of another failure domain: its delegate and the delegate's successors.
constexpr std::size_t summary_receivers_per_domain = 2;
// Number of ticks after the start in which an instance holds links to its seeds, and the ticks in which it
// sends them its status. Each status is answered with contacts, which in a large fleet are many.
constexpr std::uint64_t seed_contact_ticks = 25;
constexpr std::array<std::uint64_t, 3> seed_message_ticks = {3, 8, 20};
// Period in ticks of the statuses to the seeds while no other instance is received.
constexpr std::uint64_t alone_seed_message_period = 3;
// Delay between attempts to register.
constexpr duration registration_retry_period = std::chrono::seconds(2);
// Period at which a delegate reads the registered instances again while it receives nothing from a failure
// domain.
constexpr duration registry_read_period = std::chrono::seconds(10);
// Number of ticks for which a delegate sends summaries to the same instance of a failure domain from which it
// receives none: time to connect and to receive a summary in return.
constexpr std::uint64_t contact_attempt_ticks = 15;

// Peer addresses of one registered instance of each other failure domain, for an instance whose seeds do not
// answer.
std::vector<std::string> registered_addresses(const control_state& state)
{
    std::map<std::string, std::string> by_domain;
    for (const steering::instance_contact& contact : state.registered_instances) {
        if (!is_own_domain(state, contact.failure_domain)) {
            by_domain.emplace(contact.failure_domain, contact.peer_address);
        }
    }
    std::vector<std::string> addresses;
    addresses.reserve(by_domain.size());
    for (const auto& [domain, address] : by_domain) {
        addresses.push_back(address);
    }
    return addresses;
}

// Contacts for a new instance of @p domain: this instance, the live members of the new instance's failure
// domain, and the delegates of the others.
contact_announcement make_contact_announcement(const control_state& state, std::string_view domain,
                                               time_point now)
{
    contact_announcement announcement;
    announcement.contacts.push_back(steering::contact_of(state.settings.identity));
    for (const steering::domain_summary* summary : steering::live_summaries(state.fleet, now)) {
        std::vector<steering::instance_contact> announced =
            summary->failure_domain == domain ? summary->members : steering::ranked_delegates(*summary);
        if (summary->failure_domain != domain) {
            announced.resize(std::min(announced.size(), summary_receivers_per_domain));
        }
        announcement.contacts.insert(announcement.contacts.end(), announced.begin(), announced.end());
    }
    return announcement;
}

// Turns the status that a new instance of another failure domain sends to its seeds into a summary of that
// domain, so that it can be handled and forwarded like one.
steering::domain_summary make_newcomer_summary(const control_state& state,
                                               const steering::instance_status& status, time_point now)
{
    steering::domain_summary summary;
    const auto found = state.fleet.domains.find(status.identity.failure_domain);
    if (found != state.fleet.domains.end() && steering::is_alive(state.fleet, found->second, now)) {
        summary = found->second.summary;
    }
    summary.failure_domain = status.identity.failure_domain;
    summary.region = status.identity.region;
    const bool is_member = std::ranges::any_of(
        summary.members, [&](const auto& member) { return member.name == status.identity.name; });
    if (!is_member && !status.leaving) {
        summary.members.push_back(steering::contact_of(status.identity));
    }
    return summary;
}

// Returns whether the store answered.
asio::awaitable<bool> read_registered_instances(control_state& state)
{
    const auto registered = co_await platform::read_contacts(state.write_client);
    if (!registered) {
        co_return false;
    }
    for (const steering::instance_contact& contact : *registered) {
        add_own_domain_contact(state, contact);
        add_registered_instance(state, contact);
    }
    steering::on_contacts_registered(state.fleet, *registered, boot_now());
    co_return true;
}

bool has_missing_domain(const control_state& state, time_point now)
{
    return std::ranges::any_of(state.settings.failure_domains, [&](const auto& domain) {
        const auto found = state.fleet.domains.find(domain.first);
        return !is_own_domain(state, domain.first) &&
               (found == state.fleet.domains.end() || !steering::is_alive(state.fleet, found->second, now));
    });
}

asio::awaitable<void> wait(control_state& state, duration length)
{
    asio::steady_timer timer(state.context);
    boost::system::error_code ignored; // A cancelled wait only ends earlier.
    timer.expires_after(length);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

bool is_own_domain(const control_state& state, std::string_view domain)
{
    return domain == state.settings.identity.failure_domain;
}

void add_own_domain_contact(control_state& state, const steering::instance_contact& contact)
{
    if (is_own_domain(state, contact.failure_domain) && contact.name != state.settings.identity.name) {
        state.own_domain_contacts[contact.peer_address] = contact;
        add_peer(*state.peers, contact.peer_address);
    }
}

void add_registered_instance(control_state& state, const steering::instance_contact& contact)
{
    const auto existing =
        std::ranges::find(state.registered_instances, contact.name, &steering::instance_contact::name);
    if (existing == state.registered_instances.end()) {
        state.registered_instances.push_back(contact);
    } else {
        *existing = contact;
    }
}

std::vector<std::string> delegate_addresses(const steering::domain_summary& summary)
{
    std::vector<std::string> addresses;
    for (const steering::instance_contact& contact : steering::ranked_delegates(summary)) {
        if (addresses.size() < summary_receivers_per_domain) {
            addresses.push_back(contact.peer_address);
        }
    }
    return addresses;
}

std::optional<peer_message> handle_foreign_status(control_state& state,
                                                  const steering::instance_status& status, time_point now)
{
    steering::domain_summary summary = make_newcomer_summary(state, status, now);
    summary.delegate = "seed/" + status.identity.name;
    summary.sequence = status.sequence;
    steering::on_summary_received(state.fleet, std::move(summary), now);
    return make_contact_announcement(state, status.identity.failure_domain, now);
}

bool is_seed_message_due(const control_state& state, time_point now)
{
    const bool is_alone = steering::live_instances(state.fleet, now) == 1;
    return std::ranges::find(seed_message_ticks, state.tick_count) != seed_message_ticks.end() ||
           (is_alone && state.tick_count % alone_seed_message_period == 0);
}

std::vector<std::string> seed_addresses(const control_state& state, time_point now)
{
    std::vector<std::string> addresses;
    for (const std::string& address : state.settings.seeds) {
        if (address != state.settings.identity.peer_address) {
            addresses.push_back(address);
        }
    }
    if (steering::live_instances(state.fleet, now) == 1) {
        const std::vector<std::string> registered = registered_addresses(state);
        addresses.insert(addresses.end(), registered.begin(), registered.end());
    }
    return addresses;
}

bool needs_seeds(const control_state& state, time_point now)
{
    return state.tick_count < seed_contact_ticks || steering::live_instances(state.fleet, now) == 1;
}

std::vector<std::string> missing_domain_addresses(const control_state& state, time_point now)
{
    std::vector<std::string> addresses;
    for (const steering::instance_contact& contact : steering::unreachable_domain_contacts(
             state.fleet, state.registered_instances, state.tick_count / contact_attempt_ticks, now)) {
        addresses.push_back(contact.peer_address);
    }
    return addresses;
}

asio::awaitable<void> register_instance(control_state& state)
{
    const steering::instance_contact contact = steering::contact_of(state.settings.identity);
    // Each instance writes before it reads, so of two instances that start together at least one finds the
    // other.
    bool written = false;
    bool read = false;
    while (!read) {
        if (!written) {
            const platform::store_answer answer =
                co_await platform::write_contact(state.write_client, contact);
            written = answer.status == platform::store_status::ok;
        }
        if (written) {
            read = co_await read_registered_instances(state);
        }
        if (!read) {
            co_await wait(state, registration_retry_period);
        }
    }
    log_event(log_severity::info, "instance_registered",
              {{"registered", std::to_string(state.registered_instances.size())}});
    while (true) {
        co_await wait(state, registry_read_period);
        const time_point now = boot_now();
        if (has_missing_domain(state, now) && steering::is_domain_delegate(state.fleet, now)) {
            const bool answered = co_await read_registered_instances(state);
            log_event_limited(state.log, log_severity::info, "registered_read_again",
                              {{"answered", answered ? "true" : "false"},
                               {"registered", std::to_string(state.registered_instances.size())}});
        }
    }
}

asio::awaitable<void> register_again(control_state& state)
{
    const steering::instance_contact contact = steering::contact_of(state.settings.identity);
    random_source random{hash_name(contact.name) ^ state.store_era};
    const double delay_s =
        uniform_real(random) * std::chrono::duration<double>(registration_retry_period).count();
    co_await wait(state, std::chrono::duration_cast<duration>(std::chrono::duration<double>(delay_s)));
    bool written = false;
    while (!written) {
        const platform::store_answer answer = co_await platform::write_contact(state.write_client, contact);
        written = answer.status == platform::store_status::ok;
        if (!written) {
            co_await wait(state, registration_retry_period);
        }
    }
    log_event(log_severity::info, "instance_registered",
              {{"registered", std::to_string(state.registered_instances.size())},
               {"era", std::to_string(state.store_era)}});
}

} // namespace camphorknot::edge
