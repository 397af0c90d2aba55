// Finds the other instances, by the store's table and by what peers say.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control_discovery.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Summaries go to this many members of another failure domain, one of which speaks for it.
constexpr std::size_t speaker_links = 2;
// For this long after its start, an instance tells its seeds about itself.
constexpr std::uint64_t introduction_ticks = 25;
// Pause between attempts to register.
constexpr duration registration_retry = std::chrono::seconds(2);
// Pace at which a speaker reads the registered instances again while it does not hear a failure domain.
constexpr duration registered_period = std::chrono::seconds(10);
// Ticks for which a speaker introduces itself to the same instance of a failure domain that it does not hear:
// time to connect and to be answered by a summary.
constexpr std::uint64_t introduced_ticks = 15;

// One registered instance of each other failure domain, for an instance whose seeds do not answer.
std::vector<std::string> registered_links(const control& state)
{
    std::map<std::string, std::string> by_domain;
    for (const steering::instance_contact& each : state.registered) {
        if (!is_own_domain(state, each.failure_domain)) {
            by_domain.emplace(each.failure_domain, each.peer_address);
        }
    }
    std::vector<std::string> addresses;
    addresses.reserve(by_domain.size());
    for (const auto& [domain, address] : by_domain) {
        addresses.push_back(address);
    }
    return addresses;
}

// Tells a newcomer whom of its own failure domain and which speakers of the others this instance hears.
introduction introduce(const control& state, std::string_view domain, time_point now)
{
    introduction made;
    made.contacts.push_back(steering::contact_of(state.settings.identity));
    for (const steering::domain_summary* each : steering::live_summaries(state.fleet, now)) {
        std::vector<steering::instance_contact> told =
            each->failure_domain == domain ? each->members : steering::ranked_delegates(*each);
        if (each->failure_domain != domain) {
            told.resize(std::min(told.size(), speaker_links));
        }
        made.contacts.insert(made.contacts.end(), told.begin(), told.end());
    }
    return made;
}

// A newcomer of another failure domain tells its seeds its status; it is passed on as if it were a summary.
steering::domain_summary summary_of_newcomer(const control& state, const steering::instance_status& status,
                                             time_point now)
{
    steering::domain_summary summary;
    const auto known = state.fleet.domains.find(status.identity.failure_domain);
    if (known != state.fleet.domains.end() && steering::is_alive(state.fleet, known->second, now)) {
        summary = known->second.summary;
    }
    summary.failure_domain = status.identity.failure_domain;
    summary.region = status.identity.region;
    const bool is_known = std::ranges::any_of(
        summary.members, [&](const auto& each) { return each.name == status.identity.name; });
    if (!is_known && !status.leaving) {
        summary.members.push_back(steering::contact_of(status.identity));
    }
    return summary;
}

// Returns whether the store answered.
asio::awaitable<bool> read_registered(control& state)
{
    const auto registered = co_await platform::read_contacts(state.writer);
    if (!registered) {
        co_return false;
    }
    for (const steering::instance_contact& each : *registered) {
        learn_contact(state, each);
        learn_registered(state, each);
    }
    steering::on_contacts_registered(state.fleet, *registered, boot_now());
    co_return true;
}

bool misses_domain(const control& state, time_point now)
{
    return std::ranges::any_of(state.settings.failure_domains, [&](const auto& each) {
        const auto known = state.fleet.domains.find(each.first);
        return !is_own_domain(state, each.first) &&
               (known == state.fleet.domains.end() || !steering::is_alive(state.fleet, known->second, now));
    });
}

asio::awaitable<void> wait(control& state, duration length)
{
    asio::steady_timer pause(state.context);
    boost::system::error_code ignored; // A cancelled pause only ends sooner.
    pause.expires_after(length);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

bool is_own_domain(const control& state, std::string_view domain)
{
    return domain == state.settings.identity.failure_domain;
}

void learn_contact(control& state, const steering::instance_contact& contact)
{
    if (is_own_domain(state, contact.failure_domain) && contact.name != state.settings.identity.name) {
        state.contacts[contact.peer_address] = contact;
        add_peer(*state.peers, contact.peer_address);
    }
}

// Keeps contacts of other failure domains, so that a speaker can introduce itself there.
void learn_registered(control& state, const steering::instance_contact& contact)
{
    const auto known = std::ranges::find(state.registered, contact.name, &steering::instance_contact::name);
    if (known == state.registered.end()) {
        state.registered.push_back(contact);
    } else {
        *known = contact;
    }
}

// Links to the members that speak, or will speak, for the other failure domains.
std::vector<std::string> speaker_addresses(const steering::domain_summary& summary)
{
    std::vector<std::string> addresses;
    for (const steering::instance_contact& each : steering::ranked_delegates(summary)) {
        if (addresses.size() < speaker_links) {
            addresses.push_back(each.peer_address);
        }
    }
    return addresses;
}

std::optional<peer_message> take_foreign_status(control& state, const steering::instance_status& status,
                                                time_point now)
{
    steering::domain_summary summary = summary_of_newcomer(state, status, now);
    summary.delegate = "seed/" + status.identity.name;
    summary.sequence = status.sequence;
    steering::on_summary_received(state.fleet, std::move(summary), now);
    return introduce(state, status.identity.failure_domain, now);
}

std::vector<std::string> seed_links(const control& state)
{
    std::vector<std::string> addresses;
    for (const std::string& address : state.settings.seeds) {
        if (address != state.settings.identity.peer_address) {
            addresses.push_back(address);
        }
    }
    const std::vector<std::string> registered = registered_links(state);
    addresses.insert(addresses.end(), registered.begin(), registered.end());
    return addresses;
}

bool needs_seeds(const control& state, time_point now)
{
    return state.tick_count < introduction_ticks || steering::live_instances(state.fleet, now) == 1;
}

std::vector<std::string> unheard_addresses(const control& state, time_point now)
{
    std::vector<std::string> addresses;
    for (const steering::instance_contact& each : steering::unreachable_domain_contacts(
             state.fleet, state.registered, state.tick_count / introduced_ticks, now)) {
        addresses.push_back(each.peer_address);
    }
    return addresses;
}

asio::awaitable<void> register_instance(control& state)
{
    const steering::instance_contact contact = steering::contact_of(state.settings.identity);
    // Each writes before it reads, so of two instances that start together at least one finds the other.
    bool written = false;
    bool read = false;
    while (!read) {
        if (!written) {
            const platform::store_answer answer = co_await platform::write_contact(state.writer, contact);
            written = answer.status == platform::store_status::ok;
        }
        if (written) {
            read = co_await read_registered(state);
        }
        if (!read) {
            co_await wait(state, registration_retry);
        }
    }
    log_event(log_severity::info, "instance_registered",
              {{"registered", std::to_string(state.registered.size())}});
    while (true) {
        co_await wait(state, registered_period);
        const time_point now = boot_now();
        if (misses_domain(state, now) && steering::is_domain_delegate(state.fleet, now)) {
            const bool answered = co_await read_registered(state);
            log_event_limited(state.log, log_severity::info, "registered_read_again",
                              {{"answered", answered ? "true" : "false"},
                               {"registered", std::to_string(state.registered.size())}});
        }
    }
}

} // namespace camphorknot::edge
