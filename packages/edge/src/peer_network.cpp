#include "peer_network.hpp"

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
// The limit while a large frame is on its way: it may wait behind others in a slow link, or for a receiver
// that gets little processor time, and would start from zero on a new link.
constexpr duration large_unacknowledged_limit = std::chrono::milliseconds(4000);
// Queued frames per link. More are dropped: a later status supersedes the dropped ones.
constexpr std::size_t max_queued_frames = 8;
// A frame up to this size is not counted while it is received.
constexpr std::size_t small_frame_bytes = std::size_t{64} * 1024;
// Part of the machine's memory for frames that are received, and for those that wait to be sent.
constexpr double frame_memory_fraction = 1.0 / 8;

struct peer_connection {
    explicit peer_connection(tcp::socket connected) : socket(std::move(connected)) {}
    tcp::socket socket;
    std::deque<std::shared_ptr<const std::string>> queue;
    bool writing = false;
    bool has_large_limit = false;      // large_unacknowledged_limit is set.
    std::string peer;                  // Remote address.
    boost::system::error_code failure; // The first error that ended it.
    counted_connection_handle counted; // Null on links that this instance opened.
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

std::string remote_address(const tcp::socket& socket)
{
    boost::system::error_code error;
    const tcp::endpoint remote = socket.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string() + ":" + std::to_string(remote.port());
}

// Registers a counter of bytes for each message type.
frame_byte_counters count_by_message(metrics& registry, std::string_view direction)
{
    frame_byte_counters counters{};
    for (std::size_t type = 0; type < counters.size(); ++type) {
        const std::string_view name = type < message_type_count ? message_names.at(type) : "unknown";
        counters.at(type) =
            &counter(registry, "camphorknot_peer_bytes_total",
                     "direction=\"" + std::string(direction) + "\",message=\"" + std::string(name) + "\"");
    }
    return counters;
}

} // namespace

struct peer_network : std::enable_shared_from_this<peer_network> {
    peer_network(asio::io_context& io_context, peer_intake& limits, peer_handlers callbacks)
        : context(io_context), intake(limits), acceptor(io_context), handlers(std::move(callbacks))
    {
    }
    asio::io_context& context;
    peer_intake& intake;
    tcp::acceptor acceptor;
    peer_handlers handlers;
    std::map<std::string, std::shared_ptr<link>> links;
    bool closed = false;
};

namespace {

using network_handle = std::shared_ptr<peer_network>;

// A frame in the queue of a link. Counts toward the limit for all links.
std::shared_ptr<const std::string> count_queued(peer_intake& intake, std::shared_ptr<const std::string> frame)
{
    intake.queued_bytes += frame->size();
    const std::string* const text = frame.get();
    return {text, [&intake, frame = std::move(frame)](const std::string*) {
                intake.queued_bytes -= frame->size();
            }};
}

void count_bytes(const frame_byte_counters& counters, std::string_view content, std::size_t bytes)
{
    if (auto* const bytes_total = counters.at(message_type_of(content))) {
        bytes_total->fetch_add(bytes, std::memory_order_relaxed);
    }
}

void set_failure(const peer_connection_handle& connection, boost::system::error_code error)
{
    if (!connection->failure) {
        connection->failure = error;
    }
}

void adjust_unacknowledged_limit(peer_connection& connection, std::size_t next_bytes)
{
    const bool is_large = next_bytes + unacknowledged_bytes(connection.socket) > small_frame_bytes;
    if (is_large != connection.has_large_limit) {
        connection.has_large_limit = is_large;
        set_unacknowledged_limit(connection.socket,
                                 is_large ? large_unacknowledged_limit : unacknowledged_limit);
    }
}

void write_next(const peer_connection_handle& connection)
{
    connection->writing = !connection->queue.empty();
    if (!connection->writing) {
        return;
    }
    const auto frame = connection->queue.front();
    adjust_unacknowledged_limit(*connection, frame->size());
    asio::async_write(connection->socket, asio::buffer(*frame),
                      [connection, frame](boost::system::error_code error, std::size_t) {
                          connection->queue.pop_front();
                          if (error) {
                              set_failure(connection, error);
                              boost::system::error_code ignored; // read_frames reports the end of the link.
                              connection->socket.close(ignored);
                              return;
                          }
                          write_next(connection);
                      });
}

bool enqueue(peer_intake& intake, const peer_connection_handle& connection,
             std::shared_ptr<const std::string> frame)
{
    if (!connection->socket.is_open() || connection->queue.size() >= max_queued_frames ||
        intake.queued_bytes + frame->size() > intake.max_queued_bytes) {
        return false;
    }
    count_bytes(intake.sent_bytes, std::string_view(*frame).substr(frame_header_bytes), frame->size());
    connection->queue.push_back(count_queued(intake, std::move(frame)));
    if (!connection->writing) {
        write_next(connection);
    }
    return true;
}

void handle_message(peer_network& network, const peer_connection_handle& connection, peer_message&& message,
                    const frame_arrival& arrival)
{
    const std::optional<peer_message> reply = network.handlers.on_message(std::move(message), arrival);
    if (reply) {
        enqueue(network.intake, connection, std::make_shared<const std::string>(encode_frame(*reply)));
    }
}

// Returns whether there is room for @p bytes of a frame. Small frames need none.
bool has_room(peer_network& network, const peer_connection_handle& connection, message_hold_handle& hold,
              std::size_t bytes)
{
    if (bytes <= small_frame_bytes) {
        return true;
    }
    if (hold == nullptr) {
        hold = hold_message(network.intake.frames, steering::message_kind::request, boot_now(), [connection] {
            boost::system::error_code ignored; // A failure to close needs no handling.
            connection->socket.close(ignored);
        });
    }
    return reserve(*hold, bytes);
}

// Result of reading the content of a frame.
enum class read_end : std::uint8_t { complete, no_room, link_closed };

// Reads the content of a frame piece by piece, so that only what has come takes memory.
asio::awaitable<read_end> read_content(network_handle network, peer_connection_handle connection,
                                       std::size_t length, std::shared_ptr<std::string> content)
{
    message_hold_handle hold;
    content->clear();
    while (content->size() < length) {
        const std::size_t received = content->size();
        const std::size_t piece = std::min(length - received, std::max(small_frame_bytes, received));
        // A string that grows is copied.
        if (!has_room(*network, connection, hold, received == 0 ? piece : 2 * received + piece)) {
            co_return read_end::no_room;
        }
        content->resize(received + piece);
        boost::system::error_code error;
        const std::size_t count =
            co_await asio::async_read(connection->socket, asio::buffer(*content) + received,
                                      asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            set_failure(connection, error);
            content->resize(received + count);
            co_return read_end::link_closed;
        }
        if (hold != nullptr) {
            record_progress(*hold, content->size());
        }
    }
    co_return read_end::complete;
}

void set_phase(const peer_connection_handle& connection, steering::connection_phase phase)
{
    if (connection->counted != nullptr) {
        connection->counted->set_phase(phase, boot_now());
    }
}

std::string to_milliseconds(duration time)
{
    return std::to_string(time / std::chrono::milliseconds(1));
}

// Logs a frame of which the content was received in part or was not valid.
void refuse_frame(peer_network& network, const peer_connection& connection, std::string_view content,
                  std::size_t length, std::string_view reason, duration receive_time)
{
    network.intake.refused_frames->fetch_add(1, std::memory_order_relaxed);
    const std::size_t type = message_type_of(content);
    log_event_limited(
        network.intake.links.log, log_severity::warning, "frame_refused",
        {{"bytes", std::to_string(length)},
         {"received", std::to_string(content.size())},
         {"message", type < message_type_count ? std::string(message_names.at(type)) : "unknown"},
         {"peer", connection.peer},
         {"reason", std::string(reason)},
         {"error", connection.failure ? connection.failure.message() : std::string()},
         {"after_ms", to_milliseconds(receive_time)}});
}

// Returns whether a further frame may follow.
asio::awaitable<bool> read_frame(network_handle network, peer_connection_handle connection,
                                 std::shared_ptr<std::string> content)
{
    boost::system::error_code error;
    content->resize(frame_header_bytes);
    co_await asio::async_read(connection->socket, asio::buffer(*content),
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        set_failure(connection, error);
        co_return false;
    }
    const time_point begun = boot_now();
    const std::uint32_t length = decode_content_length(*content);
    if (length > max_frame_bytes) {
        refuse_frame(*network, *connection, {}, length, "too_large", {});
        co_return false;
    }
    set_phase(connection, steering::connection_phase::reading);
    const read_end end = co_await read_content(network, connection, length, content);
    const duration receive_time = boot_now() - begun;
    count_bytes(network->intake.received_bytes, *content, frame_header_bytes + content->size());
    if (end != read_end::complete) {
        refuse_frame(*network, *connection, *content, length,
                     end == read_end::no_room ? "no_room" : "link_closed", receive_time);
        co_return false;
    }
    auto message = decode_frame(*content);
    if (!message) {
        refuse_frame(*network, *connection, *content, length, "malformed", receive_time);
        co_return false;
    }
    if (content->capacity() > small_frame_bytes) {
        std::string().swap(*content);
    }
    set_phase(connection, steering::connection_phase::busy);
    handle_message(*network, connection, std::move(*message), {connection->peer, length, receive_time});
    set_phase(connection, steering::connection_phase::idle);
    co_return true;
}

asio::awaitable<void> read_frames(network_handle network, peer_connection_handle connection)
{
    const auto content = std::make_shared<std::string>();
    bool keep_open = true;
    while (keep_open && !network->closed) {
        keep_open = co_await read_frame(network, connection, content);
    }
    boost::system::error_code ignored; // A failure to close needs no handling.
    connection->socket.close(ignored);
}

void start_accepted_link(const network_handle& network, tcp::socket socket)
{
    set_tcp_options(socket, unacknowledged_limit);
    auto accepted = std::make_shared<peer_connection>(std::move(socket));
    accepted->peer = remote_address(accepted->socket);
    accepted->counted = admit_connection(network->intake.links, [weak = std::weak_ptr(accepted)] {
        if (const auto open = weak.lock()) {
            boost::system::error_code ignored; // A failure to close needs no handling.
            open->socket.close(ignored);
        }
    });
    if (accepted->counted != nullptr) {
        spawn_task(network->context, read_frames(network, std::move(accepted)), "peer_link");
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
    opened->peer = remote_address(opened->socket);
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
            network->handlers.on_link_change("peer_link_up", entry->address, "");
            co_await read_frames(network, opened);
            entry->connection.reset();
            const std::string reason = !entry->wanted    ? "not_wanted"
                                       : opened->failure ? opened->failure.message()
                                                         : "closed";
            network->handlers.on_link_change("peer_link_down", entry->address, reason);
        }
        boost::system::error_code ignored; // A cancelled wait only ends earlier.
        entry->reconnect_timer->expires_after(delay);
        co_await entry->reconnect_timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        delay = std::min(delay * 2, max_reconnect_delay);
    }
}

} // namespace

void open_intake(peer_intake& intake, std::size_t max_links, double memory_mb, metrics& registry)
{
    open_limits(intake.links, "peers", max_links, registry);
    intake.refused_frames = &counter(registry, "camphorknot_refused_frames_total", "");
    intake.sent_bytes = count_by_message(registry, "sent");
    intake.received_bytes = count_by_message(registry, "received");
    if (memory_mb > 0) {
        const auto part = static_cast<std::size_t>(memory_mb * 1024 * 1024 * frame_memory_fraction);
        intake.max_queued_bytes = std::max(part, std::size_t{max_frame_bytes});
    }
    // Frames of all sizes share the room; one of the largest size fits.
    intake.frames.ledger.budget.total = std::max(intake.max_queued_bytes, 2 * std::size_t{max_frame_bytes});
    intake.frames.ledger.budget.kept_for_small = 0;
    intake.frames.ledger.budget.kept_for_ordinary = 0;
}

result<std::shared_ptr<peer_network>, boost::system::error_code> open_peer_network(asio::io_context& context,
                                                                                   const endpoint& listen,
                                                                                   peer_intake& intake,
                                                                                   peer_handlers handlers)
{
    auto network = std::make_shared<peer_network>(context, intake, std::move(handlers));
    if (const auto error = open_acceptor(network->acceptor, listen)) {
        return fail<std::shared_ptr<peer_network>>(error);
    }
    const auto on_accepted = [network](tcp::socket socket) {
        start_accepted_link(network, std::move(socket));
    };
    spawn_task(context, accept_connections(network->acceptor, intake.links, on_accepted), "accept_links");
    return succeed<boost::system::error_code>(std::move(network));
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
    spawn_task(network.context, maintain_link(network.shared_from_this(), entry), "maintain_link");
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
            enqueue(network.intake, found->second->connection, shared);
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
           enqueue(network.intake, found->second->connection, std::make_shared<const std::string>(frame));
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
