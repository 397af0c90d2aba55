#include "camphorknot/transport/handshake.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace camphorknot {
namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

// Limits the memory that a peer can occupy before it is authenticated.
constexpr std::size_t max_handshake_bytes = 512;
constexpr std::size_t max_address_bytes = 64;

const unsigned char* bytes_of(std::string_view text)
{
    return static_cast<const unsigned char*>(static_cast<const void*>(text.data()));
}

template <std::size_t Size>
std::string_view view_of(const std::array<std::uint8_t, Size>& bytes)
{
    return {static_cast<const char*>(static_cast<const void*>(bytes.data())), Size};
}

handshake_proof hmac(std::string_view key, std::string_view text)
{
    handshake_proof mac{};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes_of(text), text.size(), mac.data(),
         &length);
    return mac;
}

std::string transcript_text(std::string_view purpose, const handshake_transcript& transcript)
{
    std::string text(purpose);
    text += view_of(transcript.connecting_nonce);
    text += view_of(transcript.accepting_nonce);
    text += transcript.connecting_address;
    return text;
}

void pack_bytes(packer& out, std::string_view bytes)
{
    out.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    out.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

template <std::size_t Size>
bool read_bytes(const msgpack::object& in, std::array<std::uint8_t, Size>& bytes)
{
    if (in.type != msgpack::type::BIN || in.via.bin.size != Size) {
        return false;
    }
    std::copy_n(in.via.bin.ptr, Size, bytes.begin());
    return true;
}

// Decodes an array of at least @p fields elements and passes it to @p read, which fills the message and
// returns an error or none.
template <typename Message, typename Read>
result<Message, transport_error> decode_array(std::string_view bytes, std::uint32_t fields, Read read)
{
    if (bytes.size() > max_handshake_bytes) {
        return fail<Message>(transport_error::oversize);
    }
    const msgpack::unpack_limit limit(bytes.size(), 0, bytes.size(), bytes.size(), 0, 2);
    try {
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        const msgpack::object& in = handle.get();
        if (in.type != msgpack::type::ARRAY || in.via.array.size < fields) {
            return fail<Message>(transport_error::malformed);
        }
        Message message;
        const transport_error error = read(in.via.array.ptr, message);
        if (error != transport_error::none) {
            return fail<Message>(error);
        }
        return succeed<transport_error>(std::move(message));
    } catch (const msgpack::unpack_error&) {
        return fail<Message>(transport_error::malformed);
    }
}

transport_error check_version(const msgpack::object& in)
{
    if (in.type != msgpack::type::POSITIVE_INTEGER) {
        return transport_error::malformed;
    }
    return in.via.u64 == protocol_version ? transport_error::none : transport_error::foreign_version;
}

std::string to_string(const msgpack::sbuffer& buffer)
{
    return {buffer.data(), buffer.size()};
}

handshake_proof frame_mac(const frame_sealer& sealer, std::string_view payload)
{
    std::string text;
    text.reserve(sizeof sealer.counter + payload.size());
    for (unsigned shift = 0; shift < 64; shift += 8) {
        text += static_cast<char>(sealer.counter >> shift);
    }
    text += payload;
    return hmac(view_of(sealer.key), text);
}

} // namespace

std::string encode(const hello_message& message)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(3);
    out.pack_uint32(message.version);
    pack_bytes(out, view_of(message.nonce));
    out.pack(message.peer_address);
    return to_string(buffer);
}

std::string encode(const challenge_message& message)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(3);
    out.pack_uint32(message.version);
    pack_bytes(out, view_of(message.nonce));
    pack_bytes(out, view_of(message.proof));
    return to_string(buffer);
}

std::string encode(const proof_message& message)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(1);
    pack_bytes(out, view_of(message.proof));
    return to_string(buffer);
}

result<hello_message, transport_error> decode_hello(std::string_view bytes)
{
    return decode_array<hello_message>(bytes, 3, [](const msgpack::object* fields, hello_message& message) {
        const transport_error version = check_version(fields[0]);
        if (version != transport_error::none) {
            return version;
        }
        const msgpack::object& address = fields[2];
        if (!read_bytes(fields[1], message.nonce) || address.type != msgpack::type::STR ||
            address.via.str.size > max_address_bytes) {
            return transport_error::malformed;
        }
        message.peer_address.assign(address.via.str.ptr, address.via.str.size);
        return transport_error::none;
    });
}

result<challenge_message, transport_error> decode_challenge(std::string_view bytes)
{
    return decode_array<challenge_message>(
        bytes, 3, [](const msgpack::object* fields, challenge_message& message) {
            const transport_error version = check_version(fields[0]);
            if (version != transport_error::none) {
                return version;
            }
            const bool is_complete =
                read_bytes(fields[1], message.nonce) && read_bytes(fields[2], message.proof);
            return is_complete ? transport_error::none : transport_error::malformed;
        });
}

result<proof_message, transport_error> decode_proof(std::string_view bytes)
{
    return decode_array<proof_message>(bytes, 1, [](const msgpack::object* fields, proof_message& message) {
        return read_bytes(fields[0], message.proof) ? transport_error::none : transport_error::malformed;
    });
}

handshake_nonce make_nonce()
{
    handshake_nonce nonce{};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        throw std::runtime_error("the system's random number generator failed");
    }
    return nonce;
}

handshake_proof make_proof(std::string_view secret, const handshake_transcript& transcript,
                           handshake_side side)
{
    const bool connecting = side == handshake_side::connecting;
    return hmac(secret, transcript_text(connecting ? "peer-connecting\n" : "peer-accepting\n", transcript));
}

bool verify_proof(std::string_view secret, const handshake_transcript& transcript, handshake_side side,
                  const handshake_proof& proof)
{
    const handshake_proof expected = make_proof(secret, transcript, side);
    return CRYPTO_memcmp(expected.data(), proof.data(), proof.size()) == 0;
}

frame_sealer make_sealer(std::string_view secret, const handshake_transcript& transcript)
{
    return {hmac(secret, transcript_text("peer-frames\n", transcript)), 0};
}

std::string seal(frame_sealer& sealer, std::string_view payload)
{
    const handshake_proof mac = frame_mac(sealer, payload);
    ++sealer.counter;
    std::string frame(payload);
    frame += view_of(mac).substr(0, frame_mac_bytes);
    return frame;
}

result<std::string_view, transport_error> open_frame(frame_sealer& sealer, std::string_view frame)
{
    if (frame.size() < frame_mac_bytes) {
        return fail<std::string_view>(transport_error::malformed);
    }
    const std::string_view payload = frame.substr(0, frame.size() - frame_mac_bytes);
    const handshake_proof mac = frame_mac(sealer, payload);
    if (CRYPTO_memcmp(mac.data(), frame.data() + payload.size(), frame_mac_bytes) != 0) {
        return fail<std::string_view>(transport_error::wrong_mac);
    }
    ++sealer.counter;
    return succeed<transport_error>(payload);
}

} // namespace camphorknot
