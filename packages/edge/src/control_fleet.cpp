// Talks to the other instances: statuses within the failure domain, summaries between failure domains, and
// questions for records that another one knows better.
#include <boost/asio/post.hpp>

#include "control_discovery.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Ticks between two summaries for failure domains of the same region and of other regions.
constexpr std::uint64_t near_summary_ticks = 2;
constexpr std::uint64_t far_summary_ticks = 4;
// Requests at targets are told to other regions only while they are few.
constexpr std::size_t most_far_in_flight = 64;
// Records are asked for if the other side knows them this much longer.
constexpr double worthwhile_s = 0.01;
// A peer that has not answered in this time is passed over.
constexpr duration answer_limit = std::chrono::milliseconds(1200);

bool knows_better(const control& state, const steering::record_positions& positions)
{
    for (std::size_t index = 0; index < steering::collection_count; ++index) {
        if (positions.at(index).as_of_s > state.book.collections.at(index).position.as_of_s + worthwhile_s) {
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
        question.known.at(index) = state.book.collections.at(index).position;
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
        if (state.book.collections.at(index).position.as_of_s > question.known.at(index).as_of_s) {
            answer.updates.push_back(steering::changes_since(state.book, group, question.known.at(index)));
        }
    }
    return answer;
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
    if (steering::on_status_received(state.fleet, std::move(status), now) && knows_better(state, positions)) {
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
    const auto speakers = steering::ranked_delegates(summary);
    const bool near = summary.region == state.settings.identity.region;
    const bool relay = !summary.relayed;
    steering::domain_summary copy = summary;
    if (!steering::on_summary_received(state.fleet, std::move(summary), now)) {
        return;
    }
    if (relay) {
        copy.relayed = true;
        send_to_all(*state.peers, own_domain_links(state), encode_frame(copy));
    }
    const bool asks =
        steering::is_domain_delegate(state.fleet, now) && (near || records_are_stale(state, now));
    if (asks && !speakers.empty() && knows_better(state, positions)) {
        ask_for_records(state, speakers.front().peer_address);
    }
}

void answer_token_question(control& state, const token_question& question)
{
    state.take_token_for_peer(question.customer,
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
        if (changed > 0 && steering::is_domain_delegate(state.fleet, boot_now())) {
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
        steering::on_contacts_registered(state.fleet, made.contacts, boot_now());
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
        status.positions.at(index) = state.book.collections.at(index).position;
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

void tell_domains(control& state, const steering::instance_status& status, bool urgent, time_point now)
{
    const bool near_due = urgent || state.tick_count % near_summary_ticks == 0;
    const bool far_due = !urgent && state.tick_count % far_summary_ticks == 0;
    if (!near_due || !steering::is_domain_delegate(state.fleet, now)) {
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
    if (steering::is_domain_delegate(state.fleet, now)) {
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
                 {"speaker", domain.summary.delegate},
                 {"instances", std::to_string(domain.summary.members.size())},
                 {"customers_with_demand", std::to_string(domain.summary.load.demands.size())}});
        }
    }
    for (const std::string& address : steering::remove_silent(state.fleet, now)) {
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
