#include "network_state.hpp"

namespace camphorknot::transport_internal {
namespace {

constexpr std::size_t max_handshake_frame_bytes = 1024;

// Frames are combined into one write until it has at least this size.
constexpr std::size_t batch_bytes = 65'536;

void drop_stale(peer_network& network, peer_link& link)
{
    const time_point now = boot_now();
    while (!link.queue.empty() && now - link.queue.front().queued_at > network.settings.message_lifetime) {
        link.queue.pop_front();
        network.counters.dropped_stale->fetch_add(1, std::memory_order_relaxed);
    }
}

struct opened_link {
    socket_handle stream;
    frame_sealer sealer;
};

// Connects and authenticates both sides. The returned stream is null if that fails.
awaitable<opened_link> open_link(peer_network& network, link_handle link)
{
    opened_link opened;
    const std::optional<tcp::endpoint> endpoint = parse_endpoint(link->address);
    if (!endpoint) {
        co_return opened;
    }
    const socket_handle stream = make_socket(network);
    stream->deadline = boot_now() + network.settings.handshake_timeout;
    network.counters.connects->fetch_add(1, std::memory_order_relaxed);
    error_code ec;
    co_await stream->socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return opened;
    }
    stream->socket.set_option(tcp::no_delay(true), ec);
    hello_message hello;
    hello.nonce = make_nonce();
    hello.peer_address = network.settings.address;
    std::string hello_bytes = encode(hello);
    const bool hello_sent = co_await write_frame(stream, std::move(hello_bytes));
    if (!hello_sent) {
        co_return opened;
    }
    const frame_read reply = co_await read_frame(stream, max_handshake_frame_bytes);
    if (reply.is_disconnected) {
        co_return opened;
    }
    const auto challenge = decode_challenge(reply.bytes);
    if (!challenge || reply.error != transport_error::none) {
        count_error(network, reply.error == transport_error::none ? challenge.reason : reply.error);
        co_return opened;
    }
    const handshake_transcript transcript{hello.nonce, challenge->nonce, hello.peer_address};
    const std::string& secret = network.settings.fleet_secret;
    if (!verify_proof(secret, transcript, handshake_side::accepting, challenge->proof)) {
        count_error(network, transport_error::wrong_proof);
        co_return opened;
    }
    const proof_message proof{make_proof(secret, transcript, handshake_side::connecting)};
    std::string proof_bytes = encode(proof);
    const bool proof_sent = co_await write_frame(stream, std::move(proof_bytes));
    if (proof_sent) {
        stream->deadline = time_point::max();
        opened.stream = stream;
        opened.sealer = make_sealer(secret, transcript);
    }
    co_return opened;
}

void mark_broken(peer_socket& stream, peer_link& link)
{
    stream.broken = true;
    error_code ignored;
    stream.socket.close(ignored);
    link.wake.cancel();
}

// Each received byte acknowledges one frame. Without acknowledgements, frames would be written indefinitely
// to a connection whose state was lost on the network path (a firewall or NAT entry, for example).
awaitable<void> read_acknowledgements(peer_network& network, link_handle link, socket_handle stream)
{
    std::array<char, 256> bytes{};
    error_code ec;
    while (!ec) {
        const std::size_t bytes_read = co_await stream->socket.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
        stream->acknowledged += bytes_read;
        const bool all_acknowledged = stream->acknowledged >= stream->sent;
        stream->deadline = all_acknowledged ? time_point::max() : boot_now() + network.settings.ack_timeout;
    }
    if (stream->acknowledged < stream->sent) {
        network.counters.silent_connections->fetch_add(1, std::memory_order_relaxed);
    }
    mark_broken(*stream, *link);
}

std::string seal_batch(peer_network& network, peer_link& link, opened_link& opened)
{
    std::string batch;
    while (!link.queue.empty() && batch.size() < batch_bytes) {
        const std::string frame = seal(opened.sealer, link.queue.front().payload);
        link.queue.pop_front();
        for (int shift = 24; shift >= 0; shift -= 8) {
            batch += static_cast<char>(frame.size() >> static_cast<unsigned>(shift));
        }
        batch += frame;
        ++opened.stream->sent;
        network.counters.sent->fetch_add(1, std::memory_order_relaxed);
    }
    network.counters.sent_bytes->fetch_add(batch.size(), std::memory_order_relaxed);
    return batch;
}

// Returns when the connection is broken or was unused for idle_limit.
awaitable<void> send_queued(peer_network& network, link_handle link, opened_link opened)
{
    const socket_handle stream = opened.stream;
    asio::co_spawn(network.io, read_acknowledgements(network, link, stream), asio::detached);
    while (!stream->broken) {
        drop_stale(network, *link);
        if (link->queue.empty()) {
            link->wake.expires_after(network.settings.idle_limit);
            error_code ec;
            co_await link->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            if (!ec && link->queue.empty()) {
                break;
            }
            continue;
        }
        if (stream->acknowledged >= stream->sent) {
            stream->deadline = boot_now() + network.settings.ack_timeout;
        }
        const std::string batch = seal_batch(network, *link, opened);
        error_code ec;
        co_await asio::async_write(stream->socket, asio::buffer(batch),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
    }
    error_code ignored;
    stream->socket.close(ignored);
}

duration add_jitter(peer_network& network, duration backoff)
{
    const auto half = static_cast<std::uint64_t>(backoff.count() / 2);
    return duration(static_cast<duration::rep>(half + uniform(network.random, half + 1)));
}

} // namespace

awaitable<void> run_link(peer_network& network, link_handle link)
{
    duration backoff = network.settings.initial_backoff;
    asio::steady_timer retry_timer(network.io);
    while (!link->queue.empty()) {
        const opened_link opened = co_await open_link(network, link);
        link->unreachable = opened.stream == nullptr;
        if (!link->unreachable) {
            backoff = network.settings.initial_backoff;
            co_await send_queued(network, link, opened);
        } else {
            network.counters.connect_failures->fetch_add(1, std::memory_order_relaxed);
            retry_timer.expires_after(add_jitter(network, backoff));
            error_code ec;
            co_await retry_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            backoff = std::min(backoff * 2, network.settings.max_backoff);
        }
        drop_stale(network, *link);
    }
    link->running = false;
}

} // namespace camphorknot::transport_internal
