#include <array>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>

#include "relay.hpp"

namespace camphorknot::daemon_internal {
namespace {

// How the end of the answer body is marked for the caller.
enum class framing : std::uint8_t { none, length, chunks, close };

framing choose_framing(const relay_state& request, const response_parser& answer)
{
    const unsigned status = answer.get().result_int();
    if (request.method == "HEAD" || status == 204 || status == 304) {
        return framing::none;
    }
    if (!answer.chunked()) {
        return framing::length;
    }
    return request.parser.get().version() >= 11 ? framing::chunks : framing::close;
}

// Collects the answer of a non-idempotent request for its record, up to recorded_body_limit.
struct answer_recorder {
    bool enabled = false;
    bool complete = true;
    std::string content_type;
    std::string body;
};

void append_to_record(answer_recorder& record, std::span<const char> data)
{
    if (!record.enabled || !record.complete) {
        return;
    }
    if (record.body.size() + data.size() > recorded_body_limit) {
        record.complete = false;
        record.body.clear();
        return;
    }
    record.body.append(data.data(), data.size());
}

struct answer_piece {
    std::size_t size = 0;
    error_code ec;
};

awaitable<answer_piece> read_answer_piece(exchange_handle source, std::span<char> read_buffer)
{
    timed_socket& stream = source->connection->stream;
    auto& body = source->answer->get().body();
    body.data = read_buffer.data();
    body.size = read_buffer.size();
    answer_piece read;
    arm(stream, source->request->owner.shared.settings.limits.progress_timeout);
    co_await http::async_read_some(stream.socket, source->connection->buffer, *source->answer,
                                   asio::redirect_error(asio::use_awaitable, read.ec));
    disarm(stream);
    if (read.ec == http::error::need_buffer) {
        read.ec = {};
    }
    read.size = read_buffer.size() - body.size;
    co_return read;
}

template <typename Buffers>
awaitable<error_code> write_caller(relay_handle request, Buffers bytes)
{
    timed_socket& stream = request->caller->stream;
    arm(stream, request->owner.shared.settings.limits.idle_timeout);
    error_code ec;
    co_await asio::async_write(stream.socket, bytes, asio::redirect_error(asio::use_awaitable, ec));
    disarm(stream);
    co_return ec;
}

awaitable<error_code> write_piece(relay_handle request, framing frame, const std::string& head,
                                  std::span<const char> data)
{
    const asio::const_buffer head_bytes(head.data(), head.size());
    const asio::const_buffer data_bytes(data.data(), data.size());
    error_code ec;
    if (frame == framing::chunks && !data.empty()) {
        const auto chunk = http::make_chunk(data_bytes);
        const auto both = boost::beast::buffers_cat(head_bytes, chunk);
        ec = co_await write_caller(request, both);
    } else {
        const std::array<asio::const_buffer, 2> both{head_bytes, data_bytes};
        ec = co_await write_caller(request, both);
    }
    co_return ec;
}

// If the answer has neither a length nor chunks, only a reset shows the caller that it is incomplete.
void reset_connection(caller_connection& caller)
{
    error_code ignored;
    caller.stream.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close_socket(caller.stream.socket);
}

bool may_continue(const relay_state& request)
{
    const auto stop = request.owner.shared.decisions.abort_reason(request.admitted, boot_now());
    return stop == refusal_reason::none && !request.caller_disconnected;
}

std::string answer_head(relay_state& request, exchange& source, framing frame)
{
    // Moving the fields out is safe: the parser stores its state for reading the body separately.
    head_only_response head(std::move(source.answer->get().base()));
    prepare_answer_head(head, source.chosen.version_name, frame == framing::chunks, request.keep_alive);
    return serialize(head);
}

// Forwards head and body to the caller. Returns whether the whole answer was sent.
awaitable<bool> relay_answer_pieces(relay_handle request, exchange_handle source, framing frame,
                                    std::reference_wrapper<answer_recorder> record, std::string head)
{
    const auto read_buffer = std::make_unique<std::array<char, transfer_buffer_size>>();
    while (true) {
        // The head is sent together with the first body bytes only if some have already arrived.
        const bool read_first = head.empty() || source->connection->buffer.size() > 0;
        answer_piece next;
        if (read_first && !source->answer->is_done()) {
            next = co_await read_answer_piece(source, *read_buffer);
        }
        if (next.ec || source->abandoned || !may_continue(*request)) {
            co_return false;
        }
        const std::span<const char> data(read_buffer->data(), next.size);
        append_to_record(record, data);
        if (!head.empty() || !data.empty()) {
            const error_code ec = co_await write_piece(request, frame, head, data);
            if (ec) {
                request->caller_disconnected = true;
                co_return false;
            }
            head.clear();
        }
        if (source->answer->is_done()) {
            break;
        }
    }
    if (frame == framing::chunks) {
        const auto last = http::make_chunk_last();
        const error_code ec = co_await write_caller(request, last);
        co_return !ec;
    }
    co_return true;
}

void release_connection(relay_state& request, exchange& source)
{
    const bool clean =
        source.answer->keep_alive() && request.body_done && source.connection->buffer.size() == 0;
    if (!clean) {
        abandon(source);
        return;
    }
    source.abandoned = true;
    keep_idle_connection(request.owner, source.chosen.target.target, std::move(source.connection));
}

} // namespace

std::string make_record(std::string_view content_type, std::string_view body, bool complete)
{
    if (!complete) {
        return {};
    }
    std::string record = std::to_string(body.size()) + '\n';
    record += content_type;
    record += '\n';
    record += body;
    return record;
}

std::optional<recorded_answer> parse_record(std::string_view record)
{
    const std::size_t length_end = record.find('\n');
    const std::size_t type_end =
        length_end == std::string_view::npos ? length_end : record.find('\n', length_end + 1);
    if (type_end == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view body = record.substr(type_end + 1);
    // The ledger that stores the record may have truncated it to its own limit.
    if (std::to_string(body.size()) != record.substr(0, length_end)) {
        return std::nullopt;
    }
    return recorded_answer{record.substr(length_end + 1, type_end - length_end - 1), body};
}

awaitable<bool> relay_answer(relay_handle request, exchange_handle source)
{
    request->answering_exchange = source.get();
    const auto status = static_cast<std::uint16_t>(source->answer->get().result_int());
    const framing frame = choose_framing(*request, *source->answer);
    // If the answer comes before the end of the request body, the unread rest would be parsed as the next
    // request.
    request->keep_alive = request->keep_alive && request->body_done && frame != framing::close;
    answer_recorder record;
    record.enabled = !request->admitted.idempotent;
    record.content_type = std::string(source->answer->get()[http::field::content_type]);
    std::string head = answer_head(*request, *source, frame);
    const bool complete = co_await relay_answer_pieces(request, source, frame, record, std::move(head));
    request->answering_exchange = nullptr;
    const bool answered_by_target = source->answer->is_done();
    const bool failed = status >= 500;
    if (complete) {
        release_connection(*request, *source);
        finish_attempt(*source, failed ? attempt_result::server_error : attempt_result::answered);
    } else {
        const bool timed_out = source->connection->stream.timed_out;
        const attempt_result failure_result = timed_out ? attempt_result::timed_out : attempt_result::broken;
        abandon(*source);
        finish_attempt(*source, request->caller_disconnected || answered_by_target ? attempt_result::cancelled
                                                                                   : failure_result);
        request->owner.shared.counters.broken_answers->fetch_add(1, std::memory_order_relaxed);
        request->keep_alive = false;
        reset_connection(*request->caller);
    }
    const std::string recorded_answer_text =
        make_record(record.content_type, record.body, record.complete && answered_by_target);
    request->owner.shared.decisions.end_request(request->admitted, outcome::ran, status, recorded_answer_text,
                                                boot_now());
    co_return complete;
}

} // namespace camphorknot::daemon_internal
