/// @file
/// Proof of the fleet secret between two daemons, and the keyed hash of each frame after it.
///
/// The connecting side sends hello (version, nonce, own address); the accepting side answers with its nonce
/// and its proof; the connecting side sends its own proof. Proofs are HMAC-SHA256 over both nonces and the
/// address, so the secret never crosses the wire and a recorded handshake is worthless.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "camphorknot/transport/codec.hpp"

namespace camphorknot {

using handshake_nonce = std::array<std::uint8_t, 16>;
using handshake_proof = std::array<std::uint8_t, 32>;

/// Bytes of the keyed hash at the end of each frame.
inline constexpr std::size_t frame_mac_bytes = 16;

struct hello_message {
    std::uint32_t version = protocol_version;
    handshake_nonce nonce{};
    std::string peer_address; ///< Of the connecting side; it sends only messages from this instance.
};

struct challenge_message {
    std::uint32_t version = protocol_version;
    handshake_nonce nonce{};
    handshake_proof proof{};
};

struct proof_message {
    handshake_proof proof{};
};

std::string encode(const hello_message& message);
std::string encode(const challenge_message& message);
std::string encode(const proof_message& message);
result<hello_message, transport_error> decode_hello(std::string_view bytes);
result<challenge_message, transport_error> decode_challenge(std::string_view bytes);
result<proof_message, transport_error> decode_proof(std::string_view bytes);

/// @return a nonce from the system's random source.
handshake_nonce make_nonce();

/// Which side a proof or a frame comes from.
enum class handshake_side : std::uint8_t { connecting, accepting };

/// What both sides know after hello and challenge.
struct handshake_transcript {
    handshake_nonce connecting_nonce{};
    handshake_nonce accepting_nonce{};
    std::string connecting_address;
};

/// @return the proof that @p side knows @p secret.
handshake_proof make_proof(std::string_view secret, const handshake_transcript& transcript,
                           handshake_side side);

/// @return whether @p proof is that of @p side. Takes constant time.
bool is_right_proof(std::string_view secret, const handshake_transcript& transcript, handshake_side side,
                    const handshake_proof& proof);

/// Key and counter of the frames of one connection. The counter is part of each keyed hash and does not
/// travel.
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

/// @return @p payload with the keyed hash of the next frame at its end.
std::string seal(frame_sealer& sealer, std::string_view payload);

/// @return the payload of the next frame, or an error if the hash is not right.
result<std::string_view, transport_error> open_frame(frame_sealer& sealer, std::string_view frame);

} // namespace camphorknot
