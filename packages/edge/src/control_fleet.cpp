// Messages between instances: statuses within a failure domain, summaries between failure domains, and
// requests for records of which another instance has a newer copy.
#include <boost/asio/post.hpp>

#include "control_discovery.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Period in ticks of the summaries for failure domains of the same region, and for those of other regions.
constexpr std::uint64_t same_region_summary_ticks = 2;
constexpr std::uint64_t cross_region_summary_ticks = 4;
// Period in ticks of the status of an instance without requests: three statuses within the status timeout.
constexpr std::uint64_t idle_status_ticks = 2;
constexpr float max_idle_requests_per_s = 0.5F;
// Number of ticks after the start in which a fleet that starts at once finds itself.
constexpr std::uint64_t startup_ticks = 25;
// Periods in ticks of the statuses that list the contacts of the failure domain, during the start and later.
constexpr std::uint64_t startup_contact_exchange_ticks = 3;
constexpr std::uint64_t contact_exchange_ticks = 10;
// A newer configuration that has been known for longer without arriving is logged.
constexpr duration configuration_wait_log_delay = std::chrono::milliseconds(1500);
constexpr duration configuration_wait_log_period = std::chrono::seconds(1);
// Period in ticks of the messages with all suspects, so that an instance that starts or was cut off learns
// them; a multiple of the periods of the summaries.
constexpr std::uint64_t crash_exchange_ticks = 12;
// For this long a change of a suspect is in every message: longer than two periods of the summaries.
constexpr duration crash_news_time = std::chrono::milliseconds(2000);
constexpr std::size_t max_crash_news = 32;
constexpr std::size_t max_crash_reports = 128;
// Summaries to other regions leave out the requests in flight if these are at more targets than this.
constexpr std::size_t max_cross_region_in_flight = 512;

// Logs a request for orders of which the peer has a newer version.
void log_configuration_request(control_state& state, const steering::instance_contact& peer,
                               const steering::record_positions& positions,
                               const steering::requested_positions& message)
{
    constexpr auto orders = static_cast<std::size_t>(steering::collection::orders);
    const std::uint64_t own_version = state.replica.collections.at(orders).position.version;
    if (message.at(orders).version != own_version || positions.at(orders).version <= own_version) {
        return;
    }
    log_event_limited(state.log, log_severity::info, "configuration_requested",
                      {{"from", peer.name},
                       {"record_version", std::to_string(positions.at(orders).version)},
                       {"own_record_version", std::to_string(own_version)},
                       {"request", std::to_string(state.pending_requests.orders_request_count)}});
}

// Requests the collections of which the peer has newer copies.
void request_records(control_state& state, const steering::instance_contact& peer,
                     const steering::record_positions& positions, bool is_orders_source)
{
    const time_point now = boot_now();
    const std::vector<steering::held_record> held = state.pending_requests.needs_whole_records
                                                        ? std::vector<steering::held_record>()
                                                        : steering::large_records(state.replica);
    for (const steering::requested_positions& message :
         steering::select_requests(state.replica, state.pending_requests, positions, is_orders_source, now)) {
        if (send_to(*state.peers, peer.peer_address, encode_frame(records_request{message, held}))) {
            steering::on_requested(state.pending_requests, state.replica, message, peer.name, peer.link_mbps,
                                   now);
            log_configuration_request(state, peer, positions, message);
        }
    }
}

steering::record_positions own_positions(const control_state& state)
{
    steering::record_positions positions;
    for (std::size_t index = 0; index < steering::collection_count; ++index) {
        positions.at(index) = state.replica.collections.at(index).position;
    }
    return positions;
}

// Whether to request the orders from an instance of the own failure domain.
bool is_orders_source(control_state& state, const steering::instance_contact& peer,
                      const steering::record_positions& positions, time_point now)
{
    const steering::record_source own = steering::source_of(state.settings.identity, own_positions(state));
    steering::instance_identity identity;
    identity.name = peer.name;
    identity.link_mbps = peer.link_mbps;
    steering::record_requests& pending = state.pending_requests;
    steering::record_source source = steering::source_of(identity, positions);
    source.answers = !steering::is_unanswering(pending, peer.name, now);
    const std::vector<steering::record_source> others = steering::live_sources(state.fleet, pending, now);
    steering::on_orders_announced(pending, own, source, others, now);
    const auto time_since = [now](time_point since) {
        return since == time_point{} ? duration{} : now - since;
    };
    const duration own_behind_for = steering::orders_behind_for(pending, now);
    if (own_behind_for > configuration_wait_log_delay &&
        now - state.configuration_wait_logged_at >= configuration_wait_log_period) {
        state.configuration_wait_logged_at = now;
        const auto to_ms = [](duration time) { return std::to_string(time / std::chrono::milliseconds(1)); };
        log_event_limited(state.log, log_severity::warning, "configuration_awaited",
                          {{"record_version", std::to_string(pending.announced_orders)},
                           {"own_record_version", std::to_string(own.orders.version)},
                           {"asked", pending.orders_source},
                           {"asked_ms_ago", to_ms(time_since(pending.orders_requested_at))},
                           {"requests", std::to_string(pending.orders_request_count)},
                           {"for_ms", to_ms(own_behind_for)}});
    }
    return steering::is_best_source(source, others, own, time_since(pending.faster_behind_since));
}

records_answer make_records_answer(const control_state& state, const records_request& request)
{
    records_answer answer;
    for (std::size_t index = 0; index < steering::collection_count; ++index) {
        const auto group = static_cast<steering::collection>(index);
        if (state.replica.collections.at(index).position.as_of_s > request.positions.at(index).as_of_s) {
            answer.updates.push_back(
                steering::changes_since(state.replica, group, request.positions.at(index), request.held));
        }
    }
    return answer;
}

// Returns whether the update can be applied.
bool resolve_patches(control_state& state, steering::record_update& update, const frame_arrival& arrival)
{
    const steering::patch_fault fault = steering::resolve_patches(state.replica, update);
    steering::on_patches_resolved(state.pending_requests, update.group, fault);
    if (fault != steering::patch_fault::none) {
        counter(state.metric_registry, "camphorknot_refused_patches_total", "")
            .fetch_add(1, std::memory_order_relaxed);
        log_event_limited(state.log, log_severity::warning, "record_patch_refused",
                          {{"reason", std::string(steering::name_of(fault))},
                           {"peer", std::string(arrival.peer)},
                           {"record_version", std::to_string(update.position.version)}});
    }
    return fault == steering::patch_fault::none;
}

std::optional<peer_message> handle_status(control_state& state, steering::instance_status status)
{
    const time_point now = boot_now();
    if (status.identity.name == state.settings.identity.name) {
        return std::nullopt;
    }
    if (!is_own_domain(state, status.identity.failure_domain)) {
        return handle_foreign_status(state, status, now);
    }
    if (!status.crashes.empty()) {
        state.on_crash_reports(std::move(status.crashes));
    }
    add_own_domain_contact(state, steering::contact_of(status.identity));
    for (const steering::instance_contact& contact : status.contacts) {
        add_own_domain_contact(state, contact);
    }
    take_usage(state, status, now);
    merge_rollout_progress(state, status.load, status.identity.name, now);
    steering::on_notices_received(state.notices, status.load.notices, now);
    const steering::instance_contact peer = steering::contact_of(status.identity);
    const steering::record_positions positions = status.positions;
    if (steering::on_status_received(state.fleet, std::move(status), now)) {
        request_records(state, peer, positions, is_orders_source(state, peer, positions, now));
    }
    return std::nullopt;
}

std::vector<std::string> own_domain_addresses(const control_state& state)
{
    std::vector<std::string> addresses;
    addresses.reserve(state.own_domain_contacts.size());
    for (const auto& [address, contact] : state.own_domain_contacts) {
        addresses.push_back(address);
    }
    return addresses;
}

void handle_summary(control_state& state, steering::domain_summary summary)
{
    const time_point now = boot_now();
    if (is_own_domain(state, summary.failure_domain)) {
        return;
    }
    merge_rollout_progress(state, summary.load, summary.failure_domain, now);
    steering::on_notices_received(state.notices, summary.load.notices, now);
    const steering::record_positions positions = summary.positions;
    const auto delegates = steering::ranked_delegates(summary);
    const bool same_region = summary.region == state.settings.identity.region;
    const bool should_forward = !summary.relayed;
    steering::domain_summary forwarded = summary;
    summary.crashes.clear();
    take_usage(state, summary, now);
    if (!steering::on_summary_received(state.fleet, std::move(summary), now)) {
        return;
    }
    if (!forwarded.crashes.empty()) {
        state.on_crash_reports(forwarded.crashes);
    }
    if (should_forward) {
        forwarded.relayed = true;
        send_to_all(*state.peers, own_domain_addresses(state), encode_frame(forwarded));
    }
    const bool should_request =
        steering::is_domain_delegate(state.fleet, now) && (same_region || records_are_stale(state, now));
    if (should_request && !delegates.empty()) {
        const auto answering = std::ranges::find_if(delegates, [&](const auto& delegate) {
            return !steering::is_unanswering(state.pending_requests, delegate.name, now);
        });
        request_records(state, answering == delegates.end() ? delegates.front() : *answering, positions,
                        true);
    }
}

void answer_token_request(control_state& state, const token_request& request)
{
    state.take_token_for_peer(request.customer,
                              [&state, id = request.id, to = request.reply_to](duration wait) {
                                  asio::post(state.context, [&state, id, to, wait] {
                                      send_to(*state.peers, to, encode_frame(token_answer{id, wait}));
                                  });
                              });
}

std::optional<peer_message> handle_message(control_state& state, peer_message&& message,
                                           const frame_arrival& arrival)
{
    if (auto* status = std::get_if<steering::instance_status>(&message)) {
        return handle_status(state, std::move(*status));
    }
    if (const auto* request = std::get_if<records_request>(&message)) {
        return make_records_answer(state, *request);
    }
    if (auto* answer = std::get_if<records_answer>(&message)) {
        steering::on_answered(state.pending_requests, answer->updates);
        const record_delivery delivery = {"peer", arrival.peer, arrival.bytes, arrival.receive_time};
        std::size_t changed = 0;
        for (steering::record_update& update : answer->updates) {
            if (resolve_patches(state, update, arrival)) {
                changed += apply_record_update(state, update, delivery);
            }
        }
        publish_view(state, boot_now());
        if (changed > 0 && steering::is_domain_delegate(state.fleet, boot_now())) {
            send_peer_updates(state, true, boot_now());
        }
    } else if (const auto* token = std::get_if<token_request>(&message)) {
        answer_token_request(state, *token);
    } else if (const auto* granted = std::get_if<token_answer>(&message)) {
        state.on_token_answer(*granted);
    } else if (auto* summary = std::get_if<steering::domain_summary>(&message)) {
        handle_summary(state, std::move(*summary));
    } else {
        const contact_announcement& announcement = std::get<contact_announcement>(message);
        for (const steering::instance_contact& contact : announcement.contacts) {
            add_own_domain_contact(state, contact);
            add_registered_instance(state, contact);
        }
        steering::on_contacts_registered(state.fleet, announcement.contacts, boot_now());
    }
    return std::nullopt;
}

// Contacts are most of a status in a large failure domain, and seldom new.
bool are_contacts_due(const control_state& state)
{
    const std::uint64_t period =
        state.tick_count < startup_ticks ? startup_contact_exchange_ticks : contact_exchange_ticks;
    return state.tick_count % period == 0;
}

// Whether this instance has nothing to report that others act on.
bool is_idle(const control_state& state)
{
    return !state.stopping && state.tick_count >= startup_ticks && state.report.running_requests == 0 &&
           state.report.load.requests_per_s < max_idle_requests_per_s;
}

std::vector<steering::crash_report> collect_crash_reports(const control_state& state, time_point now)
{
    if (state.report.crashes == nullptr) {
        return {};
    }
    const bool is_exchange = state.tick_count % crash_exchange_ticks == 0;
    return steering::crash_reports(*state.report.crashes,
                                   is_exchange ? time_point::min() : now - crash_news_time,
                                   is_exchange ? max_crash_reports : max_crash_news, now);
}

steering::instance_status make_status(control_state& state, time_point now)
{
    steering::instance_status status;
    status.identity = state.settings.identity;
    status.sequence = ++state.status_sequence;
    status.leaving = state.stopping;
    status.reads_store = state.fleet.own_reads_store;
    status.positions = own_positions(state);
    status.load = state.report.load;
    add_own_usage(state, status.load, now);
    status.load.rollouts = collect_rollout_progress(state, now);
    status.crashes = collect_crash_reports(state, now);
    status.access = state.report.access;
    if (!are_contacts_due(state)) {
        return status;
    }
    for (const auto& [address, contact] : state.own_domain_contacts) {
        const auto member = state.fleet.members.find(contact.name);
        if (member != state.fleet.members.end() && steering::is_alive(state.fleet, member->second, now)) {
            status.contacts.push_back(contact);
        }
    }
    return status;
}

void send_domain_summaries(control_state& state, const steering::instance_status& status, bool urgent,
                           time_point now)
{
    const bool same_region_due = urgent || state.tick_count % same_region_summary_ticks == 0;
    const bool cross_region_due = !urgent && state.tick_count % cross_region_summary_ticks == 0;
    if (!same_region_due || !steering::is_domain_delegate(state.fleet, now)) {
        return;
    }
    steering::domain_summary summary =
        steering::make_summary(state.fleet, status, state.status_sequence, now);
    if (cross_region_due) {
        add_domain_usage(state, summary.load, now);
    }
    const std::string same_region_frame = encode_frame(summary);
    if (summary.load.in_flight.size() > max_cross_region_in_flight) {
        summary.load.in_flight.clear();
    }
    const std::string cross_region_frame = cross_region_due ? encode_frame(summary) : std::string();
    for (const auto& [name, domain] : state.fleet.domains) {
        const bool same_region = domain.summary.region == state.settings.identity.region;
        if (same_region || cross_region_due) {
            send_to_all(*state.peers, delegate_addresses(domain.summary),
                        same_region ? same_region_frame : cross_region_frame);
        }
    }
    if (cross_region_due) {
        send_to_all(*state.peers, missing_domain_addresses(state, now), cross_region_frame);
    }
}

void adjust_links(control_state& state, time_point now)
{
    std::set<std::string> wanted;
    for (const auto& [address, contact] : state.own_domain_contacts) {
        wanted.insert(address);
    }
    if (steering::is_domain_delegate(state.fleet, now)) {
        for (const auto& [name, domain] : state.fleet.domains) {
            for (std::string& address : delegate_addresses(domain.summary)) {
                wanted.insert(std::move(address));
            }
        }
        for (std::string& address : missing_domain_addresses(state, now)) {
            wanted.insert(std::move(address));
        }
    }
    if (needs_seeds(state, now)) {
        for (std::string& address : seed_addresses(state, now)) {
            wanted.insert(std::move(address));
        }
    }
    for (const std::string& address : linked_peers(*state.peers)) {
        if (!wanted.contains(address)) {
            remove_peer(*state.peers, address);
        }
    }
    for (const std::string& address : wanted) {
        add_peer(*state.peers, address);
    }
}

} // namespace

void send_peer_updates(control_state& state, bool urgent, time_point now)
{
    const steering::instance_status status = make_status(state, now);
    if (urgent || !is_idle(state) || state.tick_count % idle_status_ticks == 0) {
        send_to_all(*state.peers, own_domain_addresses(state), encode_frame(status));
    }
    if (!urgent && is_seed_message_due(state, now)) {
        steering::instance_status contact_only = status;
        contact_only.load = {};
        contact_only.contacts.clear();
        contact_only.crashes.clear();
        send_to_all(*state.peers, seed_addresses(state, now), encode_frame(contact_only));
    }
    send_domain_summaries(state, status, urgent, now);
}

void update_membership(control_state& state, time_point now)
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
        state.own_domain_contacts.erase(address);
    }
    adjust_links(state, now);
}

boost::system::error_code start_peer_network(control_state& state)
{
    peer_handlers handlers;
    handlers.on_message = [&state](peer_message&& message, const frame_arrival& arrival) {
        return handle_message(state, std::move(message), arrival);
    };
    handlers.on_link_change = [&state](std::string_view event, std::string_view address,
                                       std::string_view reason) {
        log_event_limited(state.log, log_severity::info, event,
                          {{"address", std::string(address)}, {"reason", std::string(reason)}});
    };
    const steering::connection_limits limits =
        find_connection_limits(state.settings.descriptors, state.settings.memory_mb);
    open_intake(state.intake, limits.peers, state.settings.memory_mb, state.metric_registry);
    auto network = open_peer_network(state.context, state.settings.peers, state.intake, std::move(handlers));
    state.peers = network.value.value_or(nullptr);
    return network.reason;
}

} // namespace camphorknot::edge
