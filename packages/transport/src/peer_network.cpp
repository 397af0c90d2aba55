#include <algorithm>
#include <future>

#include "network_state.hpp"

namespace camphorknot {
namespace transport_internal {
namespace {

constexpr auto deadline_check_period = std::chrono::milliseconds(50);

network_counters make_counters(metrics& page)
{
    network_counters counters;
    for (std::size_t index = 1; index < transport_error_count; ++index) {
        const std::string name(name_of(static_cast<transport_error>(index)));
        counters.errors.at(index) =
            &counter(page, "camphorknot_peer_refusals_total", "reason=\"" + name + "\"");
    }
    counters.sent = &counter(page, "camphorknot_peer_messages_sent_total", "");
    counters.received = &counter(page, "camphorknot_peer_messages_received_total", "");
    counters.sent_bytes = &counter(page, "camphorknot_peer_bytes_sent_total", "");
    counters.dropped_gossip =
        &counter(page, "camphorknot_peer_messages_dropped_total", "cause=\"queue_gossip\"");
    counters.dropped_other =
        &counter(page, "camphorknot_peer_messages_dropped_total", "cause=\"queue_other\"");
    counters.dropped_stale = &counter(page, "camphorknot_peer_messages_dropped_total", "cause=\"too_old\"");
    counters.dropped_unknown =
        &counter(page, "camphorknot_peer_messages_dropped_total", "cause=\"address_unknown\"");
    counters.connects = &counter(page, "camphorknot_peer_connects_total", "");
    counters.connect_failures = &counter(page, "camphorknot_peer_connect_failures_total", "");
    counters.silent_connections = &counter(page, "camphorknot_peer_silent_connections_total", "");
    return counters;
}

awaitable<void> close_expired_sockets(peer_network& network)
{
    asio::steady_timer timer(network.io);
    while (true) {
        error_code ec;
        timer.expires_after(deadline_check_period);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const time_point now = boot_now();
        std::erase_if(network.sockets, [now](const std::weak_ptr<peer_socket>& registered) {
            const socket_handle stream = registered.lock();
            if (stream != nullptr && stream->deadline <= now) {
                error_code ignored;
                stream->socket.close(ignored);
                stream->deadline = time_point::max();
            }
            return stream == nullptr;
        });
    }
}

awaitable<void> accept_peers(peer_network& network)
{
    asio::steady_timer retry_timer(network.io);
    while (network.acceptor.is_open()) {
        const socket_handle stream = make_socket(network);
        error_code ec;
        co_await network.acceptor.async_accept(stream->socket, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && network.inbound_connections < network.settings.inbound_limit) {
            stream->socket.set_option(tcp::no_delay(true), ec);
            ++network.inbound_connections;
            asio::co_spawn(network.io, serve_peer(network, stream), asio::detached);
        } else if (ec) {
            retry_timer.expires_after(deadline_check_period);
            co_await retry_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }
}

bool open_acceptor(peer_network& network)
{
    const std::string& address =
        network.settings.bind_address.empty() ? network.settings.address : network.settings.bind_address;
    const std::optional<tcp::endpoint> endpoint = parse_endpoint(address);
    if (!endpoint) {
        return false;
    }
    error_code ec;
    network.acceptor.open(endpoint->protocol(), ec);
    if (!ec) {
        network.acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        network.acceptor.bind(*endpoint, ec);
    }
    if (!ec) {
        network.acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    return !ec;
}

// Drops a message if the queue is full: the oldest gossip, which the next gossip round repeats, or else the
// oldest message.
void make_room(peer_network& network, peer_link& link)
{
    if (link.queue.size() < network.settings.queue_limit) {
        return;
    }
    const auto oldest = std::ranges::find_if(link.queue, [](const auto& queued) { return queued.is_gossip; });
    if (oldest != link.queue.end()) {
        link.queue.erase(oldest);
        network.counters.dropped_gossip->fetch_add(1, std::memory_order_relaxed);
    } else {
        link.queue.pop_front();
        network.counters.dropped_other->fetch_add(1, std::memory_order_relaxed);
    }
}

void enqueue(peer_network& network, instance_id to, queued_message message)
{
    const auto peer_address = network.peer_addresses.find(to);
    if (peer_address == network.peer_addresses.end()) {
        network.counters.dropped_unknown->fetch_add(1, std::memory_order_relaxed);
        return;
    }
    link_handle& link = network.links[to];
    if (link == nullptr) {
        link = std::make_shared<peer_link>(network.io);
        link->address = peer_address->second;
    }
    make_room(network, *link);
    link->queue.push_back(std::move(message));
    if (link->running) {
        link->wake.cancel();
        return;
    }
    link->running = true;
    asio::co_spawn(network.io, run_link(network, link), asio::detached);
}

bool has_nothing_to_send(const peer_network& network)
{
    return std::ranges::all_of(network.links, [](const auto& entry) {
        return entry.second->queue.empty() || entry.second->unreachable;
    });
}

} // namespace
} // namespace transport_internal

void peer_network_deleter::operator()(peer_network* network) const
{
    if (network != nullptr && network->thread.joinable()) {
        network->io.stop();
        network->thread.join();
    }
    delete network;
}

peer_network_handle start_peer_network(const peer_network_settings& settings,
                                       std::function<void(const envelope&)> on_message, metrics& page)
{
    using namespace transport_internal;
    peer_network_handle network(new peer_network(settings));
    network->on_message = std::move(on_message);
    network->counters = make_counters(page);
    network->random.state = settings.seed;
    if (!open_acceptor(*network)) {
        return nullptr;
    }
    asio::co_spawn(network->io, close_expired_sockets(*network), asio::detached);
    asio::co_spawn(network->io, accept_peers(*network), asio::detached);
    network->thread = std::thread([state = network.get()] { state->io.run(); });
    return network;
}

std::uint16_t port_of(const peer_network& network)
{
    transport_internal::error_code ignored;
    return network.acceptor.local_endpoint(ignored).port();
}

void note_peer(peer_network& network, const std::string& address)
{
    transport_internal::asio::post(
        network.io, [&network, address] { network.peer_addresses[make_id<instance_id>(address)] = address; });
}

void send(peer_network& network, const envelope& message)
{
    transport_internal::queued_message queued;
    queued.is_gossip = std::holds_alternative<gossip>(message.body);
    queued.payload = encode(message);
    queued.queued_at = boot_now();
    if (queued.payload.size() + frame_mac_bytes > max_frame_bytes) {
        transport_internal::count_error(network, transport_error::oversize);
        return;
    }
    transport_internal::asio::post(network.io,
                                   [&network, to = message.to, queued = std::move(queued)]() mutable {
                                       transport_internal::enqueue(network, to, std::move(queued));
                                   });
}

void flush(peer_network& network, duration limit)
{
    const time_point flush_deadline = boot_now() + limit;
    bool is_drained = false;
    while (!is_drained && boot_now() < flush_deadline) {
        std::promise<bool> query;
        transport_internal::asio::post(network.io, [&network, &query] {
            query.set_value(transport_internal::has_nothing_to_send(network));
        });
        is_drained = query.get_future().get();
        std::this_thread::sleep_for(std::chrono::milliseconds(is_drained ? 0 : 5));
    }
}

} // namespace camphorknot
