// Talks to the other instances: statuses within the failure domain, summaries between failure domains, and
// questions for records that another one knows better.
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Ticks between two summaries for failure domains of the same region and of other regions.
constexpr std::uint64_t near_summary_ticks = 2;
constexpr std::uint64_t far_summary_ticks = 4;
// Requests at targets are told to other regions only while they are few.
constexpr std::size_t most_far_in_flight = 64;
// Summaries go to this many members of another failure domain, one of which speaks for it.
constexpr std::size_t speaker_links = 2;
// Records are asked for if the other side knows them this much longer.
constexpr double worthwhile_s = 0.01;
// For this long after its start, an instance tells its seeds about itself.
constexpr std::uint64_t introduction_ticks = 25;
// A peer that has not answered in this time is passed over.
constexpr duration answer_limit = std::chrono::milliseconds(1200);
// Pause between attempts to register.
constexpr duration registration_retry = std::chrono::seconds(2);
// Pace at which a speaker reads the registered instances again while it does not hear a failure domain.
constexpr duration registered_period = std::chrono::seconds(10);
// Ticks for which a speaker introduces itself to the same instance of a failure domain that it does not hear:
// time to connect and to be answered by a summary.
constexpr std::uint64_t introduced_ticks = 15;

bool knows_better(const control& state, const steering::record_positions& positions)
{
    for (std::size_t index = 0; index < steering::collection_count; ++index) {
        if (positions.at(index).as_of_s > state.book.shelves.at(index).position.as_of_s + worthwhile_s) {
            return true;
        }
    }
    return false;
}

// One peer is asked at a time: several answers with a large configuration would fill a weak instance's link.
void ask_for_records(control& state, const std::string& address)
{
    const time_point now = boot_now();
    if (now - state.asked_at < answer_limit) {
        return;
    }
    records_question question;
    for (std::size_t index = 0; index < steering::collection_count; ++index) {
        question.known.at(index) = state.book.shelves.at(index).position;
    }
    if (send_to(*state.peers, address, encode_frame(question))) {
        state.asked_at = now;
    }
}

records_answer answer_question(const control& state, const records_question& question)
{
    records_answer answer;
    for (std::size_t index = 0; index < steering::collection_count; ++index) {
        const auto group = static_cast<steering::collection>(index);
        if (state.book.shelves.at(index).position.as_of_s > question.known.at(index).as_of_s) {
            answer.updates.push_back(steering::changes_since(state.book, group, question.known.at(index)));
        }
    }
    return answer;
}

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

// Tells a newcomer whom of its own failure domain and which speakers of the others this instance hears.
introduction introduce(const control& state, std::string_view domain, time_point now)
{
    introduction made;
    made.contacts.push_back(steering::contact_of(state.settings.identity));
    for (const steering::domain_summary* each : steering::live_summaries(state.fleet, now)) {
        std::vector<steering::instance_contact> told =
            each->failure_domain == domain ? each->members : steering::speakers_of(*each);
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

std::optional<peer_message> take_foreign_status(control& state, const steering::instance_status& status,
                                                time_point now)
{
    steering::domain_summary summary = summary_of_newcomer(state, status, now);
    summary.speaker = "seed/" + status.identity.name;
    summary.sequence = status.sequence;
    steering::note_summary(state.fleet, std::move(summary), now);
    return introduce(state, status.identity.failure_domain, now);
}

std::optional<peer_message> take_status(control& state, steering::instance_status status)
{
    const time_point now = boot_now();
    if (status.identity.name == state.settings.identity.name) {
        return std::nullopt;
    }
    if (!is_own_domain(state, status.identity.failure_domain)) {
        return take_foreign_status(state, status, now);
    }
    learn_contact(state, steering::contact_of(status.identity));
    for (const steering::instance_contact& each : status.contacts) {
        learn_contact(state, each);
    }
    merge_rollouts(state, status.load, status.identity.name, now);
    const std::string address = status.identity.peer_address;
    const steering::record_positions positions = status.positions;
    if (steering::note_status(state.fleet, std::move(status), now) && knows_better(state, positions)) {
        ask_for_records(state, address);
    }
    return std::nullopt;
}

std::vector<std::string> own_domain_links(const control& state)
{
    std::vector<std::string> addresses;
    addresses.reserve(state.contacts.size());
    for (const auto& [address, contact] : state.contacts) {
        addresses.push_back(address);
    }
    return addresses;
}

void take_summary(control& state, steering::domain_summary summary)
{
    const time_point now = boot_now();
    if (is_own_domain(state, summary.failure_domain)) {
        return;
    }
    merge_rollouts(state, summary.load, summary.failure_domain, now);
    const steering::record_positions positions = summary.positions;
    const auto speakers = steering::speakers_of(summary);
    const bool near = summary.region == state.settings.identity.region;
    const bool relay = !summary.relayed;
    steering::domain_summary copy = summary;
    if (!steering::note_summary(state.fleet, std::move(summary), now)) {
        return;
    }
    if (relay) {
        copy.relayed = true;
        send_to_all(*state.peers, own_domain_links(state), encode_frame(copy));
    }
    const bool asks = steering::is_speaker(state.fleet, now) && (near || records_are_stale(state, now));
    if (asks && !speakers.empty() && knows_better(state, positions)) {
        ask_for_records(state, speakers.front().peer_address);
    }
}

void answer_token_question(control& state, const token_question& question)
{
    state.take_kept_token(question.customer,
                          [&state, id = question.id, to = question.reply_to](duration wait) {
                              asio::post(state.context, [&state, id, to, wait] {
                                  send_to(*state.peers, to, encode_frame(token_answer{id, wait}));
                              });
                          });
}

std::optional<peer_message> take_message(control& state, peer_message message)
{
    if (auto* status = std::get_if<steering::instance_status>(&message)) {
        return take_status(state, std::move(*status));
    }
    if (const auto* question = std::get_if<records_question>(&message)) {
        return answer_question(state, *question);
    }
    if (auto* answer = std::get_if<records_answer>(&message)) {
        state.asked_at = {};
        std::size_t changed = 0;
        for (const steering::record_update& update : answer->updates) {
            changed += take_over(state, update, "peer");
        }
        publish_view(state, boot_now());
        if (changed > 0 && steering::is_speaker(state.fleet, boot_now())) {
            tell_peers(state, true, boot_now());
        }
    } else if (const auto* token = std::get_if<token_question>(&message)) {
        answer_token_question(state, *token);
    } else if (const auto* given = std::get_if<token_answer>(&message)) {
        state.on_token_answer(*given);
    } else if (auto* summary = std::get_if<steering::domain_summary>(&message)) {
        take_summary(state, std::move(*summary));
    } else {
        const introduction& made = std::get<introduction>(message);
        for (const steering::instance_contact& each : made.contacts) {
            learn_contact(state, each);
            learn_registered(state, each);
        }
        steering::note_registered(state.fleet, made.contacts, boot_now());
    }
    return std::nullopt;
}

steering::instance_status make_status(control& state, time_point now)
{
    steering::instance_status status;
    status.identity = state.settings.identity;
    status.sequence = ++state.status_sequence;
    status.leaving = state.stopping;
    status.reads_store = state.fleet.own_reads_store;
    for (std::size_t index = 0; index < steering::collection_count; ++index) {
        status.positions.at(index) = state.book.shelves.at(index).position;
    }
    status.load = state.report.load;
    status.load.rollouts = progress_of_rollouts(state, now);
    for (const auto& [address, contact] : state.contacts) {
        const auto member = state.fleet.members.find(contact.name);
        if (member != state.fleet.members.end() && steering::is_alive(state.fleet, member->second, now)) {
            status.contacts.push_back(contact);
        }
    }
    return status;
}

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

// Links to the members that speak, or will speak, for the other failure domains.
std::vector<std::string> speaker_addresses(const steering::domain_summary& summary)
{
    std::vector<std::string> addresses;
    for (const steering::instance_contact& each : steering::speakers_of(summary)) {
        if (addresses.size() < speaker_links) {
            addresses.push_back(each.peer_address);
        }
    }
    return addresses;
}

std::vector<std::string> unheard_addresses(const control& state, time_point now)
{
    std::vector<std::string> addresses;
    for (const steering::instance_contact& each : steering::contacts_of_unheard(
             state.fleet, state.registered, state.tick_count / introduced_ticks, now)) {
        addresses.push_back(each.peer_address);
    }
    return addresses;
}

void tell_domains(control& state, const steering::instance_status& status, bool urgent, time_point now)
{
    const bool near_due = urgent || state.tick_count % near_summary_ticks == 0;
    const bool far_due = !urgent && state.tick_count % far_summary_ticks == 0;
    if (!near_due || !steering::is_speaker(state.fleet, now)) {
        return;
    }
    steering::domain_summary summary =
        steering::make_summary(state.fleet, status, state.status_sequence, now);
    const std::string near = encode_frame(summary);
    if (summary.load.in_flight.size() > most_far_in_flight) {
        summary.load.in_flight.clear();
    }
    const std::string far = far_due ? encode_frame(summary) : std::string();
    for (const auto& [name, domain] : state.fleet.domains) {
        const bool is_near = domain.summary.region == state.settings.identity.region;
        if (is_near || far_due) {
            send_to_all(*state.peers, speaker_addresses(domain.summary), is_near ? near : far);
        }
    }
    if (far_due) {
        send_to_all(*state.peers, unheard_addresses(state, now), far);
    }
}

void adjust_links(control& state, time_point now)
{
    std::set<std::string> wanted;
    for (const auto& [address, contact] : state.contacts) {
        wanted.insert(address);
    }
    if (steering::is_speaker(state.fleet, now)) {
        for (const auto& [name, domain] : state.fleet.domains) {
            for (std::string& address : speaker_addresses(domain.summary)) {
                wanted.insert(std::move(address));
            }
        }
        for (std::string& address : unheard_addresses(state, now)) {
            wanted.insert(std::move(address));
        }
    }
    if (needs_seeds(state, now)) {
        for (std::string& address : seed_links(state)) {
            wanted.insert(std::move(address));
        }
    }
    for (const std::string& address : linked_peers(*state.peers)) {
        if (!wanted.contains(address)) {
            forget_peer(*state.peers, address);
        }
    }
    for (const std::string& address : wanted) {
        add_peer(*state.peers, address);
    }
}

} // namespace

namespace {

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
    steering::note_registered(state.fleet, *registered, boot_now());
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
        if (misses_domain(state, now) && steering::is_speaker(state.fleet, now)) {
            const bool answered = co_await read_registered(state);
            log_event_limited(state.log, log_severity::info, "registered_read_again",
                              {{"answered", answered ? "true" : "false"},
                               {"registered", std::to_string(state.registered.size())}});
        }
    }
}

void tell_peers(control& state, bool urgent, time_point now)
{
    const steering::instance_status status = make_status(state, now);
    const std::string frame = encode_frame(status);
    send_to_all(*state.peers, own_domain_links(state), frame);
    if (needs_seeds(state, now)) {
        steering::instance_status brief = status;
        brief.load = {};
        send_to_all(*state.peers, seed_links(state), encode_frame(brief));
    }
    tell_domains(state, status, urgent, now);
}

void note_members(control& state, time_point now)
{
    for (auto& [name, member] : state.fleet.members) {
        const bool alive = steering::is_alive(state.fleet, member, now);
        if (alive != member.was_alive) {
            member.was_alive = alive;
            log_event_limited(state.log, log_severity::info, alive ? "instance_heard" : "instance_away",
                              {{"instance", name},
                               {"incarnation", std::to_string(member.status.identity.incarnation)},
                               {"leaving", member.status.leaving ? "true" : "false"}});
        }
    }
    for (auto& [name, domain] : state.fleet.domains) {
        const bool alive = steering::is_alive(state.fleet, domain, now);
        if (alive != domain.was_alive) {
            domain.was_alive = alive;
            log_event_limited(
                state.log, log_severity::info, alive ? "domain_heard" : "domain_away",
                {{"domain", name},
                 {"speaker", domain.summary.speaker},
                 {"instances", std::to_string(domain.summary.members.size())},
                 {"customers_with_demand", std::to_string(domain.summary.load.demands.size())}});
        }
    }
    for (const std::string& address : steering::forget_silent(state.fleet, now)) {
        state.contacts.erase(address);
    }
    adjust_links(state, now);
}

bool open_peers(control& state)
{
    peer_handlers handlers;
    handlers.on_message = [&state](peer_message message) { return take_message(state, std::move(message)); };
    handlers.on_link_change = [&state](std::string_view event, std::string_view address) {
        log_event_limited(state.log, log_severity::info, event, {{"address", std::string(address)}});
    };
    state.peers = open_peer_network(state.context, state.settings.peers, std::move(handlers));
    return state.peers != nullptr;
}

} // namespace camphorknot::edge
