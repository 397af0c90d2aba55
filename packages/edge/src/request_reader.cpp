#include "request_reader.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "camphorknot/platform/message_parser.hpp"
#include "pipeline.hpp"
#include "relay.hpp"
#include "send_record.hpp"
#include "sockets.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Time in which a caller must receive a further part of an answer.
constexpr duration write_timeout = std::chrono::seconds(10);
// Minimum rate at which a body must arrive, or be received, in addition to the time for the head; the slowest
// callers have 1 Mbit/s.
constexpr double min_bytes_per_s = 64 * 1024;
// A caller that sends the rest of a refused request gets the answer only if its bytes are read.
constexpr duration max_discard_time = std::chrono::seconds(30);
// A caller that sends nothing for so long, and has received the answer, sends no more.
constexpr duration max_discard_pause = std::chrono::seconds(1);
constexpr std::size_t max_discarded_bytes = std::size_t{4} * 1024 * 1024;
// Input buffer of a connection; a head, a trailer or a chunk extension may need more, up to the limit for
// heads.
constexpr std::size_t input_bytes = std::size_t{4} * 1024;
// Input buffer for a large body, of which few are read at the same time.
constexpr std::size_t large_input_bytes = std::size_t{16} * 1024;
// Counted for each request: its connection's buffer, its state and the parser.
constexpr std::size_t request_overhead_bytes = std::size_t{8} * 1024;
// A connection whose request grows by this much makes progress.
constexpr std::size_t progress_bytes = std::size_t{32} * 1024;
// A head is held by the request and, while a target handles it, by its copy for the target.
constexpr std::size_t head_copies = 2;

using platform::request_parser;

unsigned status_for_error(const boost::system::error_code& error)
{
    // A trailer or a chunk extension that does not end fills the input buffer.
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return 431;
    }
    if (error == http::error::body_limit) {
        return 413;
    }
    return 400;
}

bool is_protocol_fault(const boost::system::error_code& error)
{
    return error.category() == make_error_code(http::error::end_of_stream).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

// Answers a request that is not complete when a stopping instance could not send it any more.
asio::awaitable<void> refuse_incomplete(traffic_state& state, session_handle connection,
                                        std::shared_ptr<caller_request> request)
{
    const bool has_turn = co_await wait_for_turn(state, connection);
    if (!has_turn) {
        co_return;
    }
    platform::http_response answer = refuse_stopping(state, *request);
    const auto error = co_await write_answer(connection, request, std::move(answer), false);
    if (error) {
        co_return;
    }
    co_await discard_input(state, connection);
}

// Cancelling a stream ends its writes as well. The stop cancels again until the read has ended.
void cancel_read(session& connection)
{
    if (!connection.is_writing) {
        connection.stream.cancel();
    }
}

asio::awaitable<boost::system::error_code> write_continue(session_handle connection)
{
    http::response<http::empty_body> continue_response(http::status::continue_, 11);
    boost::system::error_code error;
    connection->is_writing = true;
    co_await http::async_write(connection->stream, continue_response,
                               asio::redirect_error(asio::use_awaitable, error));
    connection->is_writing = false;
    co_return error;
}

// Lists a request as incoming while it is read, so that a stop can refuse it.
class registered_read {
public:
    registered_read(traffic_state& state, const session_handle& connection,
                    std::shared_ptr<caller_request> request)
        : state_(state)
    {
        entry_ = state_.incoming.insert(
            state_.incoming.end(),
            {std::move(request), std::nullopt, [connection] { cancel_read(*connection); }, false});
    }
    ~registered_read() { finish(); }
    registered_read(const registered_read&) = delete;
    registered_read& operator=(const registered_read&) = delete;
    registered_read(registered_read&&) = delete;
    registered_read& operator=(registered_read&&) = delete;

    // The head is complete. Returns whether the rest is not worth reading.
    bool refuse_now(std::string target)
    {
        entry_->target = std::move(target);
        entry_->is_refused = entry_->is_refused || is_refused_by_stop(state_, *entry_, boot_now());
        return entry_->is_refused;
    }

    // Returns whether the request was refused.
    bool finish()
    {
        if (is_listed_) {
            is_listed_ = false;
            is_refused_ = entry_->is_refused;
            state_.incoming.erase(entry_);
        }
        return is_refused_;
    }

private:
    traffic_state& state_;
    std::list<incoming_request>::iterator entry_;
    bool is_listed_ = true;
    bool is_refused_ = false;
};

} // namespace

steering::caller_limits current_limits(const traffic_state& state)
{
    return state.view.routes == nullptr ? steering::caller_limits{} : state.view.routes->source->limits;
}

asio::awaitable<void> discard_input(traffic_state& state, session_handle connection)
{
    tcp::socket& socket = connection->stream.socket();
    boost::system::error_code error;
    socket.shutdown(tcp::socket::shutdown_send, error);
    connection->stream.expires_never();
    connection->counted->set_phase(steering::connection_phase::reading, boot_now());
    const time_point latest_end = boot_now() + max_discard_time;
    asio::steady_timer pause(state.context);
    std::size_t discarded = 0;
    while (!error && discarded < max_discarded_bytes) {
        const time_point end_at = state.stop ? std::min(latest_end, state.stop->end_at) : latest_end;
        pause.expires_after(std::clamp(end_at - boot_now(), duration{}, max_discard_pause));
        pause.async_wait([connection](boost::system::error_code cancelled) {
            boost::system::error_code ignored; // There may be nothing to cancel.
            if (!cancelled) {
                connection->stream.socket().cancel(ignored);
            }
        });
        connection->buffer.clear();
        const std::size_t count = co_await socket.async_read_some(
            connection->buffer.prepare(input_bytes), asio::redirect_error(asio::use_awaitable, error));
        pause.cancel();
        discarded += count;
        const bool may_go_on = boot_now() < end_at && !connection->counted->is_closing();
        if (error == asio::error::operation_aborted && may_go_on && has_unacknowledged(socket)) {
            error = {};
        } else if (!error && !may_go_on) {
            error = asio::error::timed_out;
        }
    }
}

asio::awaitable<boost::system::error_code> write_answer(session_handle connection,
                                                        std::shared_ptr<caller_request> request,
                                                        platform::http_response answer, bool keep_alive)
{
    request->watch.set_phase(request_phase::answering);
    answer.keep_alive(keep_alive);
    if (!keep_alive) {
        answer.set(http::field::connection, "close");
    }
    boost::system::error_code error;
    connection->is_writing = true;
    const auto transfer = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(static_cast<double>(answer.body().size()) / min_bytes_per_s));
    const time_point latest_end = boot_now() + write_timeout + transfer;
    http::response_serializer<platform::shared_body, platform::message_fields> serializer(answer);
    while (!error && !serializer.is_done()) {
        connection->stream.expires_after(std::clamp(latest_end - boot_now(), duration{}, write_timeout));
        co_await http::async_write_some(connection->stream, serializer,
                                        asio::redirect_error(asio::use_awaitable, error));
    }
    connection->is_writing = false;
    if (std::exchange(connection->is_cancel_due, false)) {
        connection->stream.cancel();
    }
    connection->stream.expires_never();
    if (error) {
        connection->watch.note(end_of_write(error), error);
    } else {
        request->watch.end();
    }
    co_return error;
}

namespace {

// Why there is no room for a request.
enum class room_refusal : std::uint8_t { none, at_head, growth, no_progress };

struct input_outcome {
    boost::system::error_code error;
    room_refusal refusal = room_refusal::none;
};

message_hold_handle hold_request(traffic_state& state, const session_handle& connection, time_point now)
{
    return hold_message(state.messages, steering::message_kind::request, now, [connection] {
        connection->is_cancel_due = connection->is_writing;
        cancel_read(*connection);
    });
}

// A request that is being read.
struct incoming_message {
    request_parser parser;
    message_hold_handle hold; // Its reservation; null while little of its head has come.
};

std::size_t count_head_bytes(const platform::http_request& head)
{
    return request_overhead_bytes + head_copies * head.allocated_bytes();
}

// The input buffer is full. Reserves a larger one, in addition to the other bytes that are held for the
// request, and lets the read go on if there is room.
void grow_input(session& connection, const message_hold& hold, std::size_t other_bytes,
                const steering::caller_limits& limits, input_outcome& outcome)
{
    const std::size_t limit = limits.head_bytes + input_bytes;
    if (connection.buffer.max_size() >= limit) {
        return; // Longer than any legal head.
    }
    outcome.error = {};
    if (reserve(hold, other_bytes + limit)) {
        connection.buffer.max_size(limit);
    } else {
        outcome.refusal = room_refusal::at_head;
    }
}

// Reads the head. It is counted as held once it does not fit into a small buffer, or its fields have taken
// some kilobytes.
asio::awaitable<input_outcome> read_head(traffic_state& state, session_handle connection,
                                         incoming_message& message, time_point started_at,
                                         steering::caller_limits limits)
{
    input_outcome outcome;
    // Beast completes a read that starts with a full buffer inside its initiation, which a coroutine does not
    // survive.
    connection->buffer.max_size(connection->buffer.size() + input_bytes);
    limit_read(connection, limits.head_timeout);
    const auto hold_once = [&]() -> const message_hold& {
        if (message.hold == nullptr) {
            message.hold = hold_request(state, connection, started_at);
        }
        return *message.hold;
    };
    message.parser.check_growth([&](std::size_t allocated_bytes) {
        return reserve(hold_once(), request_overhead_bytes + connection->buffer.max_size() + allocated_bytes);
    });
    const auto is_lost = [&] { return message.hold != nullptr && is_given_up(*message.hold); };
    while (!outcome.error && !message.parser.is_header_done() && outcome.refusal == room_refusal::none &&
           !is_lost()) {
        co_await http::async_read_header(connection->stream, connection->buffer, message.parser,
                                         asio::redirect_error(asio::use_awaitable, outcome.error));
        if (outcome.error == http::error::buffer_overflow) {
            grow_input(*connection, hold_once(),
                       request_overhead_bytes + message.parser.get().allocated_bytes(), limits, outcome);
        } else if (outcome.error == asio::error::no_memory) {
            outcome.refusal = room_refusal::at_head;
        }
    }
    message.parser.check_growth(nullptr);
    if (is_lost()) {
        outcome.refusal = room_refusal::no_progress;
    }
    co_return outcome;
}

// Counts a request without a body as held, until it has been answered.
room_refusal hold_head(traffic_state& state, incoming_message& message, time_point started_at)
{
    if (message.hold == nullptr) {
        message.hold = hold_message(state.messages, steering::message_kind::request, started_at, nullptr);
    }
    if (!reserve(*message.hold, count_head_bytes(message.parser.get()))) {
        return room_refusal::at_head;
    }
    complete(*message.hold);
    message.parser.get().body().keep_with_bytes(message.hold);
    return room_refusal::none;
}

// Limits the time for the body, and asks for it if the caller waits for that.
asio::awaitable<boost::system::error_code> start_body(traffic_state& state, session_handle connection,
                                                      const request_parser& parser,
                                                      steering::caller_limits limits,
                                                      registered_read& reading, const message_hold& hold)
{
    const double length = static_cast<double>(parser.content_length().value_or(limits.body_bytes));
    const auto transfer =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(length / min_bytes_per_s));
    limit_read(connection, limits.head_timeout + transfer);
    const std::string expect(parser.get()[http::field::expect]);
    if (!beast::iequals(expect, "100-continue")) {
        co_return boost::system::error_code();
    }
    const bool has_turn = co_await wait_for_turn(state, connection);
    // The body may have been given up for another one in the meantime.
    if (!has_turn || is_given_up(hold) || reading.refuse_now(std::string(parser.get().target()))) {
        co_return asio::error::operation_aborted;
    }
    const boost::system::error_code error = co_await write_continue(connection);
    co_return error;
}

// Reads the body piece by piece and counts it as held, until it is complete or has to be refused.
asio::awaitable<input_outcome> read_body(traffic_state& state, session_handle connection,
                                         incoming_message& message, steering::caller_limits limits,
                                         registered_read& reading)
{
    input_outcome outcome;
    request_parser& parser = message.parser;
    const std::size_t head_bytes = count_head_bytes(parser.get());
    const std::size_t length = static_cast<std::size_t>(parser.content_length().value_or(0));
    std::size_t counted_progress = 0;
    if (message.hold == nullptr) {
        message.hold = hold_request(state, connection, boot_now());
    }
    const message_hold_handle hold = message.hold;
    if (!reserve(*hold, head_bytes + length)) {
        outcome.refusal = room_refusal::at_head;
        co_return outcome;
    }
    platform::message_body& body = parser.get().body();
    body.keep_with_bytes(hold);
    outcome.error = co_await start_body(state, connection, parser, limits, reading, *hold);
    parser.eager(true);
    while (!outcome.error && !parser.is_done() && outcome.refusal == room_refusal::none &&
           !is_given_up(*hold)) {
        const bool is_large = std::max(length, body.size()) > state.messages.ledger.budget.small_message;
        connection->buffer.reserve(is_large ? large_input_bytes : input_bytes);
        co_await http::async_read_some(connection->stream, connection->buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, outcome.error));
        record_progress(*hold, body.size());
        if (connection->ahead == nullptr && body.size() >= counted_progress + progress_bytes) {
            counted_progress = body.size();
            connection->counted->set_phase(steering::connection_phase::reading, boot_now());
        }
        const std::size_t body_bytes = std::max(length, body.capacity());
        const std::size_t input_limit = connection->buffer.max_size();
        if (outcome.error == http::error::buffer_overflow) {
            grow_input(*connection, *hold, head_bytes + body_bytes, limits, outcome);
        } else if (body.capacity() > length && !reserve(*hold, head_bytes + input_limit + body_bytes)) {
            outcome.refusal = room_refusal::growth;
        }
    }
    if (is_given_up(*hold)) {
        outcome.refusal = room_refusal::no_progress;
    }
    complete(*hold);
    co_return outcome;
}

void count_refusal(const held_message_metrics& metrics, room_refusal refusal)
{
    std::atomic<std::uint64_t>& refused = refusal == room_refusal::at_head  ? *metrics.refused_at_head
                                          : refusal == room_refusal::growth ? *metrics.refused_growth
                                                                            : *metrics.given_up;
    refused.fetch_add(1, std::memory_order_relaxed);
}

// Answers a request for which there is no room. The request has not been sent to any target.
asio::awaitable<void> refuse_for_room(traffic_state& state, session_handle connection,
                                      std::shared_ptr<caller_request> request, room_refusal refusal)
{
    constexpr std::array<std::string_view, 4> causes = {"", "no_room", "no_room_to_grow", "no_progress"};
    const std::string cause(causes.at(static_cast<std::size_t>(refusal)));
    count_refusal(state.messages.metrics, refusal);
    const bool has_turn = co_await wait_for_turn(state, connection);
    if (!has_turn) {
        co_return;
    }
    const duration retry_after = jittered_pause(state, short_retry_after);
    platform::http_response answer =
        refuse(state, *request, unavailable, "memory_full", retry_after, {{"cause", cause}});
    log_promise(state, *request, unavailable);
    const auto error = co_await write_answer(connection, request, std::move(answer), false);
    if (error || refusal == room_refusal::no_progress) {
        co_return;
    }
    co_await discard_input(state, connection);
}

// A read that ends before the first byte, as on an idle connection, leaves no request without an answer.
void note_failed_read(session& connection, caller_request& request, const request_parser& parser,
                      const boost::system::error_code& error)
{
    if (parser.got_some() || connection.buffer.size() > 0) {
        connection.watch.note(end_of_read(error), error);
    } else {
        request.watch.end();
    }
}

// An idle connection keeps no more than a small buffer.
void shrink_input(session& connection)
{
    if (connection.buffer.size() == 0 && connection.buffer.capacity() > input_bytes) {
        connection.buffer.shrink_to_fit();
    }
}

} // namespace

asio::awaitable<std::shared_ptr<caller_request>> read_request(traffic_state& state, session_handle connection)
{
    const steering::caller_limits limits = current_limits(state);
    auto request = std::make_shared<caller_request>();
    request->arrived_at = boot_now();
    registered_read reading(state, connection, request);
    request->watch.begin(connection->watch);
    if (connection->ahead == nullptr) {
        connection->counted->set_phase(steering::connection_phase::reading, request->arrived_at);
    }
    incoming_message message{request_parser(limits.head_bytes, limits.body_bytes), nullptr};
    request_parser& parser = message.parser;
    input_outcome input = co_await read_head(state, connection, message, request->arrived_at, limits);
    const bool has_head = !input.error && input.refusal == room_refusal::none;
    if (has_head && parser.is_done()) {
        input.refusal = hold_head(state, message, request->arrived_at);
        if (input.refusal != room_refusal::none) {
            request->metadata = platform::read_request(parser.get());
        }
    } else if (has_head) {
        request->metadata = platform::read_request(parser.get());
        request->watch.set_phase(request_phase::body);
        if (reading.refuse_now(std::string(parser.get().target()))) {
            input.error = asio::error::operation_aborted;
        } else {
            input = co_await read_body(state, connection, message, limits, reading);
        }
    }
    const boost::system::error_code error = input.error;
    connection->stream.expires_never();
    connection->is_cancel_due = false;
    const bool is_refused = reading.finish();
    shrink_input(*connection);
    if (input.refusal != room_refusal::none) {
        parser.get().body().clear(); // Held no longer while the refusal is written.
        message.hold.reset();
        co_await refuse_for_room(state, connection, request, input.refusal);
        co_return nullptr;
    }
    if (error) {
        if (is_refused && error == asio::error::operation_aborted) {
            co_await refuse_incomplete(state, connection, request);
            co_return nullptr;
        }
        if (is_protocol_fault(error)) {
            const bool has_turn = co_await wait_for_turn(state, connection);
            if (!has_turn) {
                co_return nullptr;
            }
            const std::string fault = error.message();
            platform::http_response answer = refuse(state, *request, status_for_error(error),
                                                    "malformed_request", duration{}, {{"fault", fault}});
            const auto write_error = co_await write_answer(connection, request, std::move(answer), false);
            if (!write_error) {
                co_await discard_input(state, connection);
            }
            co_return nullptr;
        }
        note_failed_read(*connection, *request, parser, error);
        co_return nullptr;
    }
    request->watch.end_read();
    request->id = state.next_request_id++;
    request->message = parser.release();
    request->metadata = platform::read_request(request->message);
    request->from_peer = connection->kind == session_kind::peer;
    if (request->from_peer) {
        request->sends_before = platform::read_sends_before(request->message);
    }
    co_return request;
}

} // namespace camphorknot::edge
