/// @file
/// Mutual authentication of two daemons with the fleet secret, and the MAC of each frame after it.
///
/// The connecting side sends a hello (version, nonce, own address), the accepting side replies with its nonce
/// and its proof, and the connecting side sends its own proof. Proofs are HMAC-SHA256 over both nonces and
/// the address of the connecting side, so the secret is never sent and a recorded handshake can't be
/// replayed.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "camphorknot/transport/codec.hpp"

namespace camphorknot {

using handshake_nonce = std::array<std::uint8_t, 16>;
using handshake_proof = std::array<std::uint8_t, 32>;

/// Length of the MAC at the end of each frame, in bytes: a truncated HMAC-SHA256.
inline constexpr std::size_t frame_mac_bytes = 16;

/// First message of the handshake, sent by the connecting side.
struct hello_message {
    std::uint32_t version = protocol_version;
    handshake_nonce nonce{};
    std::string
        peer_address; ///< Address of the connecting instance; all its messages must name it as sender.
};

/// Reply of the accepting side to hello.
struct challenge_message {
    std::uint32_t version = protocol_version;
    handshake_nonce nonce{};
    handshake_proof proof{};
};

/// Last message of the handshake, sent by the connecting side.
struct proof_message {
    handshake_proof proof{};
};

std::string encode(const hello_message& message);
std::string encode(const challenge_message& message);
std::string encode(const proof_message& message);
result<hello_message, transport_error> decode_hello(std::string_view bytes);
result<challenge_message, transport_error> decode_challenge(std::string_view bytes);
result<proof_message, transport_error> decode_proof(std::string_view bytes);

/// @return a nonce from the system's random number generator.
/// @throws std::runtime_error if the generator fails.
handshake_nonce make_nonce();

/// Side of a connection that creates a proof.
enum class handshake_side : std::uint8_t { connecting, accepting };

/// Values that both sides share after hello and challenge; proofs and the frame key are derived from them.
struct handshake_transcript {
    handshake_nonce connecting_nonce{};
    handshake_nonce accepting_nonce{};
    std::string connecting_address;
};

/// @return the proof of @p secret that @p side sends.
handshake_proof make_proof(std::string_view secret, const handshake_transcript& transcript,
                           handshake_side side);

/// @return whether @p proof is the proof that @p side sends. The comparison takes constant time.
bool verify_proof(std::string_view secret, const handshake_transcript& transcript, handshake_side side,
                  const handshake_proof& proof);

/// Key and frame counter of one connection. The counter is included in each MAC but not sent, so a frame that
/// was replayed, dropped or reordered is detected.
///
/// @code
/// frame_sealer sealer = make_sealer(secret, transcript);
/// std::string frame = seal(sealer, encode(message));
/// @endcode
struct frame_sealer {
    handshake_proof key{};
    std::uint64_t counter = 0;
};

frame_sealer make_sealer(std::string_view secret, const handshake_transcript& transcript);

/// @return @p payload followed by its MAC, and advances the counter.
std::string seal(frame_sealer& sealer, std::string_view payload);

/// @return the payload of the next frame, or an error if it is too short or its MAC is wrong; advances the
/// counter on success. The payload is a view of @p frame.
result<std::string_view, transport_error> open_frame(frame_sealer& sealer, std::string_view frame);

} // namespace camphorknot
