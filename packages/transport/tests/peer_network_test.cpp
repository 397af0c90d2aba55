#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "camphorknot/transport.hpp"

using namespace camphorknot;

namespace {

struct test_peer {
    explicit test_peer(const std::string& secret, const std::string& address = "127.0.0.1:1")
        : page(make_metrics())
    {
        peer_network_settings settings;
        settings.address = address;
        settings.bind_address = "127.0.0.1:0";
        settings.fleet_secret = secret;
        network = start_peer_network(
            settings,
            [this](const envelope& message) {
                const auto* received = std::get_if<ping>(&message.body);
                if (received != nullptr && received->sequence == 3) {
                    last_ping.set_value();
                }
            },
            *page);
        REQUIRE(network != nullptr);
    }
    [[nodiscard]] std::string listen_address() const
    {
        return "127.0.0.1:" + std::to_string(port_of(*network));
    }
    [[nodiscard]] std::uint64_t refusal_count(const std::string& reason) const
    {
        return counter(*page, "camphorknot_peer_refusals_total", "reason=\"" + reason + "\"").load();
    }
    // Waits until a refusal is counted. If that never happens, CTest's time limit ends the test.
    void wait_for_refusal(const std::string& reason) const
    {
        while (refusal_count(reason) == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }
    metrics_handle page;
    std::promise<void> last_ping;
    peer_network_handle network;
};

envelope make_ping(const std::string& from, const std::string& to, std::uint64_t sequence)
{
    return {make_id<instance_id>(from), 1, make_id<instance_id>(to), ping{sequence}};
}

// Sends raw bytes to the network on @p port and waits until it closes the connection.
void send_raw(std::uint16_t port, const std::string& bytes)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const void* generic = &address;
    REQUIRE(::connect(descriptor, static_cast<const sockaddr*>(generic), sizeof address) == 0);
    CHECK(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    std::array<char, 256> discarded{};
    while (::recv(descriptor, discarded.data(), discarded.size(), 0) > 0) {
    }
    ::close(descriptor);
}

} // namespace

TEST_CASE("transport: messages reach a peer with the same secret", "[transport]")
{
    // Checks the path from send() to on_message, and that the first message opens the only connection.
    test_peer receiver("fleet");
    test_peer sender("fleet", "127.0.0.1:2");
    const std::string to = receiver.listen_address();
    note_peer(*sender.network, to);
    for (const std::uint64_t sequence : {1, 2, 3}) {
        send(*sender.network, make_ping("127.0.0.1:2", to, sequence));
    }
    receiver.last_ping.get_future().wait();
    CHECK(counter(*receiver.page, "camphorknot_peer_messages_received_total", "").load() == 3);
    CHECK(counter(*sender.page, "camphorknot_peer_connects_total", "").load() == 1);
}

TEST_CASE("transport: a peer without the secret is refused", "[transport]")
{
    // The connecting side checks the proof first and refuses it, so the accepting side receives no message.
    test_peer receiver("fleet");
    test_peer unauthenticated("another secret", "127.0.0.1:2");
    const std::string to = receiver.listen_address();
    note_peer(*unauthenticated.network, to);
    send(*unauthenticated.network, make_ping("127.0.0.1:2", to, 3));
    unauthenticated.wait_for_refusal("wrong_proof");
    CHECK(counter(*receiver.page, "camphorknot_peer_messages_received_total", "").load() == 0);
}

TEST_CASE("transport: a message with another instance as sender is refused", "[transport]")
{
    // Guards against an instance that returns the loans of another one or fences on its behalf.
    test_peer receiver("fleet");
    test_peer sender("fleet", "127.0.0.1:2");
    const std::string to = receiver.listen_address();
    note_peer(*sender.network, to);
    send(*sender.network, make_ping("127.0.0.1:9", to, 3));
    receiver.wait_for_refusal("forged_sender");
    CHECK(counter(*receiver.page, "camphorknot_peer_messages_received_total", "").load() == 0);
}

TEST_CASE("transport: malformed, oversize and foreign hellos are refused and counted", "[transport]")
{
    // Guards against buffering as many bytes as the length prefix of an unauthenticated peer announces.
    const test_peer receiver("fleet");
    send_raw(port_of(*receiver.network), std::string("\x00\x00\x00\x02zz", 6));
    CHECK(receiver.refusal_count("malformed") == 1);
    send_raw(port_of(*receiver.network), std::string("\x7f\x00\x00\x00", 4));
    CHECK(receiver.refusal_count("oversize") == 1);
    hello_message foreign;
    foreign.version = protocol_version + 1;
    const std::string bytes = encode(foreign);
    send_raw(port_of(*receiver.network),
             std::string("\x00\x00\x00", 3) + static_cast<char>(bytes.size()) + bytes);
    CHECK(receiver.refusal_count("foreign_version") == 1);
}
