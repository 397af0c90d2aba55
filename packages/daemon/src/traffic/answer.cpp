#include <array>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>

#include "relay.hpp"

namespace camphorknot::daemon_internal {
namespace {

// How the answer's end is shown to the caller.
enum class framing : std::uint8_t { none, length, chunks, close };

framing framing_for(const relay_state& request, const response_parser& answer)
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

// Collects what the record of a non-idempotent request keeps of the answer.
struct answer_record {
    bool wanted = false;
    bool whole = true;
    std::string content_type;
    std::string body;
};

void add(answer_record& record, std::span<const char> data)
{
    if (!record.wanted || !record.whole) {
        return;
    }
    if (record.body.size() + data.size() > recorded_body_limit) {
        record.whole = false;
        record.body.clear();
        return;
    }
    record.body.append(data.data(), data.size());
}

struct piece_read {
    std::size_t size = 0;
    error_code ec;
};

awaitable<piece_read> read_answer_piece(exchange_handle from, std::span<char> space)
{
    timed_socket& stream = from->connection->stream;
    auto& body = from->answer->get().body();
    body.data = space.data();
    body.size = space.size();
    piece_read read;
    arm(stream, from->request->owner.shared.settings.limits.progress_timeout);
    co_await http::async_read_some(stream.socket, from->connection->buffer, *from->answer,
                                   asio::redirect_error(asio::use_awaitable, read.ec));
    disarm(stream);
    if (read.ec == http::error::need_buffer) {
        read.ec = {};
    }
    read.size = space.size() - body.size;
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

// Without a length or chunks, only a reset shows the caller that its answer is broken.
void reset_connection(caller_connection& caller)
{
    error_code ignored;
    caller.stream.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close_socket(caller.stream.socket);
}

bool may_go_on(const relay_state& request)
{
    const auto stop = request.owner.shared.decisions.abort_reason(request.admitted, boot_now());
    return stop == refusal_reason::none && !request.caller_gone;
}

std::string answer_head(relay_state& request, exchange& from, framing frame)
{
    // The parser keeps what it needs for the body apart from the fields.
    plain_response head(std::move(from.answer->get().base()));
    prepare_answer_head(head, from.chosen.version_name, frame == framing::chunks, request.keep_alive);
    return serialize(head);
}

// Passes the pieces on. Returns whether the caller got the whole answer.
awaitable<bool> relay_pieces(relay_handle request, exchange_handle from, framing frame,
                             std::reference_wrapper<answer_record> record, std::string head)
{
    const auto space = std::make_unique<std::array<char, piece_size>>();
    while (true) {
        // The head waits for body bytes only if some have already arrived.
        const bool read_first = head.empty() || from->connection->buffer.size() > 0;
        piece_read next;
        if (read_first && !from->answer->is_done()) {
            next = co_await read_answer_piece(from, *space);
        }
        if (next.ec || from->abandoned || !may_go_on(*request)) {
            co_return false;
        }
        const std::span<const char> data(space->data(), next.size);
        add(record, data);
        if (!head.empty() || !data.empty()) {
            const error_code ec = co_await write_piece(request, frame, head, data);
            if (ec) {
                request->caller_gone = true;
                co_return false;
            }
            head.clear();
        }
        if (from->answer->is_done()) {
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

void finish_connection(relay_state& request, exchange& from)
{
    const bool clean = from.answer->keep_alive() && request.body_done && from.connection->buffer.size() == 0;
    if (!clean) {
        abandon(from);
        return;
    }
    from.abandoned = true;
    keep_idle(request.owner, from.chosen.target.target, std::move(from.connection));
}

} // namespace

std::string make_record(std::string_view content_type, std::string_view body, bool whole)
{
    if (!whole) {
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
    // The record's keeper may have cut the body off at its own limit.
    if (std::to_string(body.size()) != record.substr(0, length_end)) {
        return std::nullopt;
    }
    return recorded_answer{record.substr(length_end + 1, type_end - length_end - 1), body};
}

awaitable<bool> relay_answer(relay_handle request, exchange_handle from)
{
    request->answering = from.get();
    const auto status = static_cast<std::uint16_t>(from->answer->get().result_int());
    const framing frame = framing_for(*request, *from->answer);
    // An answer before the end of the request's body leaves bytes that belong to no next request.
    request->keep_alive = request->keep_alive && request->body_done && frame != framing::close;
    answer_record record;
    record.wanted = !request->admitted.idempotent;
    record.content_type = std::string(from->answer->get()[http::field::content_type]);
    std::string head = answer_head(*request, *from, frame);
    const bool whole = co_await relay_pieces(request, from, frame, record, std::move(head));
    request->answering = nullptr;
    const bool answered_by_target = from->answer->is_done();
    const bool failed = status >= 500;
    if (whole) {
        finish_connection(*request, *from);
        finish_attempt(*from, failed ? attempt_result::server_error : attempt_result::answered);
    } else {
        const bool timed_out = from->connection->stream.timed_out;
        const attempt_result end = timed_out ? attempt_result::timed_out : attempt_result::broken;
        abandon(*from);
        finish_attempt(*from, request->caller_gone || answered_by_target ? attempt_result::cancelled : end);
        request->owner.shared.counters.broken_answers->fetch_add(1, std::memory_order_relaxed);
        request->keep_alive = false;
        reset_connection(*request->caller);
    }
    const std::string kept =
        make_record(record.content_type, record.body, record.whole && answered_by_target);
    request->owner.shared.decisions.end_request(request->admitted, outcome::ran, status, kept, boot_now());
    co_return whole;
}

} // namespace camphorknot::daemon_internal
