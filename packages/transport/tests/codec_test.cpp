#include <catch2/catch.hpp>

#include "camphorknot/core/random.hpp"
#include "camphorknot/transport.hpp"

using namespace camphorknot;

namespace {

std::vector<envelope> make_sample_messages()
{
    member_record record;
    record.instance = make_id<instance_id>("127.0.0.1:7101");
    record.number = 1'700'000'000'000;
    record.state = member_state::leaving;
    record.peer_address = "127.0.0.1:7101";
    record.has_authority = true;
    fact revoked{fact_kind::key_revoked, 0, 0, {}};
    revoked.key.fill(0xa5);
    const budget_amount amount{-5, 6'000, 7};
    std::vector<peer_message> bodies;
    bodies.emplace_back(ping{7});
    bodies.emplace_back(ping_ack{7, make_id<region_id>("reykjavik"), 3, 12, 5});
    bodies.emplace_back(indirect_ping{8, record.instance});
    bodies.emplace_back(
        gossip{{record}, {revoked}, 1, 2, 3, std::chrono::milliseconds(250), true, false, true});
    bodies.emplace_back(change_request{41});
    bodies.emplace_back(change_reply{{{42, "{\"a\":1}"}}});
    bodies.emplace_back(loan_request{1, make_id<budget_id>("b"), amount, std::chrono::seconds(2), 4});
    bodies.emplace_back(
        loan_grant{1, make_id<budget_id>("b"), amount, std::chrono::seconds(2), 4, loan_recall::if_unused});
    bodies.emplace_back(loan_return{1, make_id<budget_id>("b"), amount});
    bodies.emplace_back(spare_report{{{make_id<budget_id>("b"), record.instance, -1, 2}}});
    bodies.emplace_back(fence_notice{record.instance, 9});
    bodies.emplace_back(fence_ack{record.instance, 9, make_id<region_id>("luzon"), 10});
    bodies.emplace_back(rollout_counts{
        count_scope::region,
        make_id<region_id>("luzon"),
        {{make_id<move_id>("m"), make_id<route_id>("r"), make_id<version_id>("v"), 1, 2, 3, 4, 5}}});
    bodies.emplace_back(leave{});
    bodies.emplace_back(
        drain_report{make_id<move_id>("m"), count_scope::fleet, make_id<region_id>("luzon"), 6});
    std::vector<envelope> messages;
    messages.reserve(bodies.size());
    for (peer_message& body : bodies) {
        messages.push_back({record.instance, record.number, make_id<instance_id>("b:1"), std::move(body)});
    }
    return messages;
}

} // namespace

TEST_CASE("transport: decoding an encoded message gives the same message", "[transport]")
{
    // Guards against fields that are left out of the encoding or the decoding: encoding a decoded message
    // again must give the same bytes, and fields of some messages are compared directly.
    const std::vector<envelope> messages = make_sample_messages();
    REQUIRE(messages.size() == std::variant_size_v<peer_message>);
    for (const envelope& message : messages) {
        const std::string bytes = encode(message);
        const auto decoded = decode(bytes);
        REQUIRE(decoded);
        CHECK(decoded->body.index() == message.body.index());
        CHECK(encode(*decoded) == bytes);
    }
    const auto decoded = decode(encode(messages[3]));
    const auto& decoded_gossip = std::get<gossip>(decoded->body);
    CHECK(decoded_gossip.records.at(0).peer_address == "127.0.0.1:7101");
    CHECK(decoded_gossip.records.at(0).has_authority);
    CHECK(decoded_gossip.facts.at(0) == std::get<gossip>(messages[3].body).facts.at(0));
    CHECK(decoded_gossip.reader_age == std::chrono::milliseconds(250));
    CHECK(std::get<loan_grant>(decode(encode(messages[7]))->body).granted.rate_per_second == -5);
}

TEST_CASE("transport: truncated and mutated messages are refused or decoded without errors in memory access",
          "[transport]")
{
    // Guards against reads beyond the end of a frame and against forged counts that allocate too much memory.
    // The sanitizer build detects the first kind.
    random_source random{20'261'204};
    for (const envelope& message : make_sample_messages()) {
        const std::string bytes = encode(message);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            CHECK_FALSE(decode(std::string_view(bytes).substr(0, length)));
        }
        for (int round = 0; round < 2'000; ++round) {
            std::string mutated = bytes;
            const std::uint64_t changes = 1 + uniform(random, 4);
            for (std::uint64_t change = 0; change < changes; ++change) {
                mutated[uniform(random, mutated.size())] = static_cast<char>(uniform(random, 256));
            }
            const auto decoded = decode(mutated);
            REQUIRE((decoded || decoded.reason != transport_error::none));
        }
    }
}

TEST_CASE("transport: each kind of invalid message is refused with its own error", "[transport]")
{
    // Guards the counters by error: another protocol version or an unknown message must not count as
    // malformed.
    const std::string ping_bytes = encode(envelope{{}, 0, {}, ping{1}});
    std::string other_version = ping_bytes;
    other_version[1] = 2; // The version follows the array header.
    CHECK(decode(other_version).reason == transport_error::foreign_version);
    CHECK(decode(std::string(max_frame_bytes + 1, ' ')).reason == transport_error::oversize);
    CHECK(decode(ping_bytes + "x").reason == transport_error::malformed);
    CHECK(decode("").reason == transport_error::malformed);
    std::string unknown_number = ping_bytes;
    unknown_number[unknown_number.size() - 3] = 99; // The message number, before the array with one field.
    CHECK(decode(unknown_number).reason == transport_error::unknown_message);
}

TEST_CASE("transport: a proof is invalid for another handshake, side or secret", "[transport]")
{
    // Guards against replayed and reflected proofs.
    const handshake_transcript transcript{make_nonce(), make_nonce(), "127.0.0.1:7101"};
    const handshake_proof proof = make_proof("fleet", transcript, handshake_side::connecting);
    CHECK(verify_proof("fleet", transcript, handshake_side::connecting, proof));
    CHECK_FALSE(verify_proof("fleet", transcript, handshake_side::accepting, proof));
    CHECK_FALSE(verify_proof("other", transcript, handshake_side::connecting, proof));
    handshake_transcript renewed = transcript;
    renewed.accepting_nonce = make_nonce();
    CHECK_FALSE(verify_proof("fleet", renewed, handshake_side::connecting, proof));
    renewed = transcript;
    renewed.connecting_address = "127.0.0.1:7102";
    CHECK_FALSE(verify_proof("fleet", renewed, handshake_side::connecting, proof));
}

TEST_CASE("transport: a replayed, reordered or modified frame is refused", "[transport]")
{
    // Guards against a man in the middle who replays a loan grant or drops a key revocation.
    const handshake_transcript transcript{make_nonce(), make_nonce(), "127.0.0.1:7101"};
    frame_sealer sender = make_sealer("fleet", transcript);
    frame_sealer receiver = make_sealer("fleet", transcript);
    const std::string first = seal(sender, "first");
    const std::string second = seal(sender, "second");
    CHECK(open_frame(receiver, second).reason == transport_error::wrong_mac);
    CHECK(*open_frame(receiver, first) == "first");
    CHECK(open_frame(receiver, first).reason == transport_error::wrong_mac);
    std::string changed = second;
    changed[0] = 'S';
    CHECK(open_frame(receiver, changed).reason == transport_error::wrong_mac);
    CHECK(*open_frame(receiver, second) == "second");
}
