#include "network_state.hpp"

namespace camphorknot::transport_internal {
namespace {

constexpr std::size_t max_handshake_frame_bytes = 1024;

// A peer closes an unused connection after its own idle_limit; one that sends nothing for longer than this
// has replaced the connection.
constexpr duration inbound_idle_limit = std::chrono::seconds(60);

struct authenticated_peer {
    bool is_authenticated = false;
    std::string address;
    frame_sealer sealer;
};

awaitable<authenticated_peer> accept_handshake(peer_network& network, socket_handle stream)
{
    authenticated_peer peer;
    const frame_read first = co_await read_frame(stream, max_handshake_frame_bytes);
    if (first.is_disconnected || first.error != transport_error::none) {
        count_error(network, first.error);
        co_return peer;
    }
    const auto hello = decode_hello(first.bytes);
    if (!hello) {
        count_error(network, hello.reason);
        co_return peer;
    }
    const std::string& secret = network.settings.fleet_secret;
    challenge_message challenge;
    challenge.nonce = make_nonce();
    const handshake_transcript transcript{hello->nonce, challenge.nonce, hello->peer_address};
    challenge.proof = make_proof(secret, transcript, handshake_side::accepting);
    std::string challenge_bytes = encode(challenge);
    const bool challenge_sent = co_await write_frame(stream, std::move(challenge_bytes));
    if (!challenge_sent) {
        co_return peer;
    }
    const frame_read second = co_await read_frame(stream, max_handshake_frame_bytes);
    if (second.is_disconnected || second.error != transport_error::none) {
        count_error(network, second.error);
        co_return peer;
    }
    const auto proof = decode_proof(second.bytes);
    if (!proof || !verify_proof(secret, transcript, handshake_side::connecting, proof->proof)) {
        count_error(network, proof ? transport_error::wrong_proof : proof.reason);
        co_return peer;
    }
    peer.is_authenticated = true;
    peer.address = hello->peer_address;
    peer.sealer = make_sealer(secret, transcript);
    co_return peer;
}

// Verifies, decodes and delivers one frame. Returns the error of a frame that was refused.
transport_error handle_frame(peer_network& network, authenticated_peer& peer, std::string_view frame)
{
    const auto payload = open_frame(peer.sealer, frame);
    if (!payload) {
        return payload.reason;
    }
    const auto message = decode(*payload);
    if (!message) {
        return message.reason;
    }
    if (message->from != make_id<instance_id>(peer.address)) {
        return transport_error::forged_sender;
    }
    network.counters.received->fetch_add(1, std::memory_order_relaxed);
    network.on_message(*message);
    return transport_error::none;
}

awaitable<void> receive_frames(peer_network& network, socket_handle stream, authenticated_peer peer)
{
    static constexpr std::array<char, 1> acknowledgement = {'a'};
    while (true) {
        stream->deadline = boot_now() + inbound_idle_limit;
        const frame_read frame = co_await read_frame(stream, max_frame_bytes);
        if (frame.is_disconnected) {
            co_return;
        }
        transport_error error = frame.error;
        if (error == transport_error::none) {
            error = handle_frame(network, peer, frame.bytes);
        }
        count_error(network, error);
        // Later versions may send messages that this one doesn't define; the connection remains valid.
        if (error != transport_error::none && error != transport_error::unknown_message) {
            co_return;
        }
        error_code ec;
        co_await asio::async_write(stream->socket, asio::buffer(acknowledgement),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return;
        }
    }
}

} // namespace

awaitable<void> serve_peer(peer_network& network, socket_handle stream)
{
    stream->deadline = boot_now() + network.settings.handshake_timeout;
    const authenticated_peer peer = co_await accept_handshake(network, stream);
    if (peer.is_authenticated) {
        network.peer_addresses[make_id<instance_id>(peer.address)] = peer.address;
        co_await receive_frames(network, stream, peer);
    }
    error_code ignored;
    stream->socket.close(ignored);
    --network.inbound_connections;
}

} // namespace camphorknot::transport_internal
