#include "peer_network.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <deque>
#include <map>

#include "sockets.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr duration connect_timeout = std::chrono::milliseconds(700);
constexpr duration min_reconnect_delay = std::chrono::milliseconds(250);
constexpr duration max_reconnect_delay = std::chrono::seconds(2);
// A link is closed when sent bytes stay unacknowledged for this long; statuses are sent several times a
// second.
constexpr duration unacknowledged_limit = std::chrono::milliseconds(1000);
// Queued frames per link. More are dropped: a later status supersedes the dropped ones.
constexpr std::size_t max_queued_frames = 8;

struct peer_connection {
    explicit peer_connection(tcp::socket connected) : socket(std::move(connected)) {}
    tcp::socket socket;
    std::deque<std::shared_ptr<const std::string>> queue;
    bool writing = false;
};
using peer_connection_handle = std::shared_ptr<peer_connection>;

struct link {
    std::string address;
    peer_connection_handle connection; // Null while the link is closed.
    bool wanted = true;                // False after remove_peer.
    std::unique_ptr<asio::steady_timer> reconnect_timer;
};

std::optional<tcp::endpoint> parse_endpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    unsigned port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error || port == 0 || port > 65'535) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

} // namespace

struct peer_network : std::enable_shared_from_this<peer_network> {
    peer_network(asio::io_context& io_context, peer_handlers callbacks)
        : context(io_context), acceptor(io_context), handlers(std::move(callbacks))
    {
    }
    asio::io_context& context;
    tcp::acceptor acceptor;
    peer_handlers handlers;
    std::map<std::string, std::shared_ptr<link>> links;
    bool closed = false;
};

namespace {

using network_handle = std::shared_ptr<peer_network>;

void write_next(const peer_connection_handle& connection)
{
    connection->writing = !connection->queue.empty();
    if (!connection->writing) {
        return;
    }
    const auto frame = connection->queue.front();
    asio::async_write(connection->socket, asio::buffer(*frame),
                      [connection, frame](boost::system::error_code error, std::size_t) {
                          connection->queue.pop_front();
                          if (error) {
                              boost::system::error_code ignored; // read_frames reports the end of the link.
                              connection->socket.close(ignored);
                              return;
                          }
                          write_next(connection);
                      });
}

bool enqueue(const peer_connection_handle& connection, std::shared_ptr<const std::string> frame)
{
    if (!connection->socket.is_open() || connection->queue.size() >= max_queued_frames) {
        return false;
    }
    connection->queue.push_back(std::move(frame));
    if (!connection->writing) {
        write_next(connection);
    }
    return true;
}

void handle_message(peer_network& network, const peer_connection_handle& connection, peer_message&& message)
{
    const std::optional<peer_message> reply = network.handlers.on_message(std::move(message));
    if (reply) {
        enqueue(connection, std::make_shared<const std::string>(encode_frame(*reply)));
    }
}

asio::awaitable<void> read_frames(network_handle network, peer_connection_handle connection)
{
    std::string buffer;
    boost::system::error_code error;
    while (!network->closed) {
        buffer.resize(frame_header_bytes);
        co_await asio::async_read(connection->socket, asio::buffer(buffer),
                                  asio::redirect_error(asio::use_awaitable, error));
        const std::uint32_t length = error ? 0 : decode_content_length(buffer);
        if (error || length > max_frame_bytes) {
            break;
        }
        buffer.resize(length);
        co_await asio::async_read(connection->socket, asio::buffer(buffer),
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        auto message = decode_frame(buffer);
        if (!message) {
            break;
        }
        handle_message(*network, connection, std::move(*message));
    }
    connection->socket.close(error);
}

asio::awaitable<void> accept_links(network_handle network)
{
    while (!network->closed) {
        boost::system::error_code error;
        tcp::socket socket(network->context);
        co_await network->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            continue;
        }
        set_tcp_options(socket, unacknowledged_limit);
        auto accepted = std::make_shared<peer_connection>(std::move(socket));
        asio::co_spawn(network->context, read_frames(network, std::move(accepted)), asio::detached);
    }
}

// Returns null on failure. The timer closes the socket if the peer's machine does not answer.
asio::awaitable<peer_connection_handle> connect_to(network_handle network, tcp::endpoint address)
{
    auto opened = std::make_shared<peer_connection>(tcp::socket(network->context));
    asio::steady_timer timeout(network->context, connect_timeout);
    timeout.async_wait([opened](boost::system::error_code cancelled) {
        boost::system::error_code ignored; // A failure to close needs no handling.
        if (!cancelled) {
            opened->socket.close(ignored);
        }
    });
    boost::system::error_code error;
    co_await opened->socket.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    timeout.cancel();
    if (error || !opened->socket.is_open()) {
        co_return nullptr;
    }
    set_tcp_options(opened->socket, unacknowledged_limit);
    co_return opened;
}

asio::awaitable<void> maintain_link(network_handle network, std::shared_ptr<link> entry)
{
    const auto endpoint = parse_endpoint(entry->address);
    duration delay = min_reconnect_delay;
    while (endpoint && entry->wanted && !network->closed) {
        peer_connection_handle opened = co_await connect_to(network, *endpoint);
        if (opened != nullptr) {
            delay = min_reconnect_delay;
            entry->connection = opened;
            network->handlers.on_link_change("peer_link_up", entry->address);
            co_await read_frames(network, opened);
            entry->connection.reset();
            network->handlers.on_link_change("peer_link_down", entry->address);
        }
        boost::system::error_code ignored; // A cancelled wait only ends earlier.
        entry->reconnect_timer->expires_after(delay);
        co_await entry->reconnect_timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        delay = std::min(delay * 2, max_reconnect_delay);
    }
}

} // namespace

std::shared_ptr<peer_network> open_peer_network(asio::io_context& context, const endpoint& listen,
                                                peer_handlers handlers)
{
    auto network = std::make_shared<peer_network>(context, std::move(handlers));
    if (!open_acceptor(network->acceptor, listen)) {
        return nullptr;
    }
    asio::co_spawn(context, accept_links(network), asio::detached);
    return network;
}

void add_peer(peer_network& network, const std::string& address)
{
    std::shared_ptr<link>& entry = network.links[address];
    if (entry != nullptr || network.closed) {
        return;
    }
    entry = std::make_shared<link>();
    entry->address = address;
    entry->reconnect_timer = std::make_unique<asio::steady_timer>(network.context);
    asio::co_spawn(network.context, maintain_link(network.shared_from_this(), entry), asio::detached);
}

void remove_peer(peer_network& network, const std::string& address)
{
    const auto found = network.links.find(address);
    if (found == network.links.end()) {
        return;
    }
    found->second->wanted = false;
    found->second->reconnect_timer->cancel();
    if (found->second->connection != nullptr) {
        boost::system::error_code ignored; // A failure to close needs no handling.
        found->second->connection->socket.close(ignored);
    }
    network.links.erase(found);
}

void send_to_all(peer_network& network, std::span<const std::string> addresses, const std::string& frame)
{
    const auto shared = std::make_shared<const std::string>(frame);
    for (const std::string& address : addresses) {
        const auto found = network.links.find(address);
        if (found != network.links.end() && found->second->connection != nullptr) {
            enqueue(found->second->connection, shared);
        }
    }
}

std::vector<std::string> linked_peers(const peer_network& network)
{
    std::vector<std::string> addresses;
    for (const auto& [address, entry] : network.links) {
        addresses.push_back(address);
    }
    return addresses;
}

bool send_to(peer_network& network, const std::string& address, const std::string& frame)
{
    const auto found = network.links.find(address);
    return found != network.links.end() && found->second->connection != nullptr &&
           enqueue(found->second->connection, std::make_shared<const std::string>(frame));
}

void close_peer_network(peer_network& network)
{
    network.closed = true;
    boost::system::error_code ignored; // A failure to close needs no handling.
    network.acceptor.close(ignored);
    for (const auto& [address, entry] : network.links) {
        entry->reconnect_timer->cancel();
        if (entry->connection != nullptr) {
            entry->connection->socket.close(ignored);
        }
    }
}

} // namespace camphorknot::edge
