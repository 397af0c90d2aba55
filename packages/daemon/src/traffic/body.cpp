#include <array>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <sys/socket.h>

#include "relay.hpp"

namespace camphorknot::daemon_internal {
namespace {

refusal_reason read_failure_reason(const error_code& ec, const timed_socket& stream)
{
    if (stream.timed_out) {
        return refusal_reason::sender_too_slow;
    }
    if (ec == http::error::partial_message || ec.category() == asio::error::get_system_category() ||
        ec.category() == asio::error::get_misc_category()) {
        return refusal_reason::cancelled;
    }
    return refusal_reason::malformed_request;
}

void report_body_failure(exchange& destination, refusal_reason reason)
{
    destination.request->body_failure = reason;
    destination.request->wake.cancel();
    abandon(destination);
}

struct body_piece {
    std::size_t size = 0;
    refusal_reason failure = refusal_reason::none;
};

awaitable<body_piece> read_piece(relay_handle request, std::span<char> read_buffer)
{
    timed_socket& stream = request->caller->stream;
    auto& body = request->parser.get().body();
    body.data = read_buffer.data();
    body.size = read_buffer.size();
    const duration left = std::max<duration>(request->admitted.deadline - boot_now(), duration::zero());
    arm(stream, std::min(request->owner.shared.settings.limits.idle_timeout, left));
    error_code ec;
    co_await http::async_read_some(stream.socket, request->caller->buffer, request->parser,
                                   asio::redirect_error(asio::use_awaitable, ec));
    if (!request->caller->closing) {
        disarm(stream);
    }
    if (ec == http::error::need_buffer) {
        ec = {};
    }
    body_piece read;
    read.size = read_buffer.size() - body.size;
    if (ec) {
        read.failure = read_failure_reason(ec, stream);
    }
    co_return read;
}

awaitable<error_code> send_continue(relay_handle request)
{
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    request->expects_continue = false;
    timed_socket& stream = request->caller->stream;
    arm(stream, request->owner.shared.settings.limits.idle_timeout);
    error_code ec;
    co_await asio::async_write(stream.socket, asio::buffer(interim.data(), interim.size()),
                               asio::redirect_error(asio::use_awaitable, ec));
    disarm(stream);
    co_return ec;
}

awaitable<error_code> send_piece(exchange_handle destination, std::span<const char> data)
{
    timed_socket& stream = destination->connection->stream;
    const asio::const_buffer bytes(data.data(), data.size());
    error_code ec;
    arm(stream, destination->request->owner.shared.settings.limits.progress_timeout);
    if (destination->request->parser.chunked()) {
        const auto chunk = http::make_chunk(bytes);
        co_await asio::async_write(stream.socket, chunk, asio::redirect_error(asio::use_awaitable, ec));
    } else {
        co_await asio::async_write(stream.socket, bytes, asio::redirect_error(asio::use_awaitable, ec));
    }
    disarm(stream);
    co_return ec;
}

awaitable<void> send_end(exchange_handle destination)
{
    if (!destination->request->parser.chunked()) {
        co_return;
    }
    const auto last = http::make_chunk_last();
    error_code ec;
    co_await asio::async_write(destination->connection->stream.socket, last,
                               asio::redirect_error(asio::use_awaitable, ec));
}

bool is_too_large(const relay_state& request, std::uint64_t forwarded_bytes)
{
    const auto limit = static_cast<std::uint64_t>(request.admitted.body_limit_kb) * 1024U;
    return request.admitted.body_limit_kb > 0 && forwarded_bytes > limit;
}

// Whether the caller has closed its side or the connection failed. Bytes of a next request are ignored.
bool has_closed(tcp::socket& socket)
{
    char byte = 0;
    const ssize_t received_size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received_size == 0 || (received_size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

awaitable<void> stream_body(exchange_handle destination)
{
    const relay_handle request = destination->request;
    if (request->expects_continue) {
        const error_code ec = co_await send_continue(request);
        if (ec) {
            report_body_failure(*destination, refusal_reason::cancelled);
            co_return;
        }
    }
    const auto read_buffer = std::make_unique<std::array<char, transfer_buffer_size>>();
    std::uint64_t forwarded_bytes = 0;
    request->body_started = true;
    while (!request->parser.is_done()) {
        const body_piece next = co_await read_piece(request, *read_buffer);
        if (destination->abandoned) {
            co_return;
        }
        forwarded_bytes += next.size;
        if (next.failure != refusal_reason::none) {
            report_body_failure(*destination, next.failure);
            co_return;
        }
        if (is_too_large(*request, forwarded_bytes)) {
            report_body_failure(*destination, refusal_reason::body_too_large);
            co_return;
        }
        if (next.size == 0) {
            continue;
        }
        const error_code ec = co_await send_piece(destination, {read_buffer->data(), next.size});
        // A target that stops reading may already have answered; the coroutine that reads the answer handles
        // both cases.
        if (ec || destination->abandoned) {
            co_return;
        }
    }
    co_await send_end(destination);
    request->body_done = true;
    if (!destination->abandoned) {
        watch_for_disconnect(request->caller);
    }
}

awaitable<refusal_reason> read_buffered_body(relay_handle request)
{
    if (request->expects_continue) {
        const error_code ec = co_await send_continue(request);
        if (ec) {
            co_return refusal_reason::cancelled;
        }
    }
    const auto length = static_cast<std::size_t>(*request->parser.content_length());
    request->buffered_body.resize(length);
    std::size_t filled = 0;
    while (!request->parser.is_done()) {
        const body_piece next = co_await read_piece(
            request, std::span<char>(request->buffered_body).subspan(filled, length - filled));
        filled += next.size;
        if (next.failure != refusal_reason::none) {
            co_return next.failure;
        }
    }
    request->body_done = true;
    co_return refusal_reason::none;
}

void watch_for_disconnect(const caller_handle& caller)
{
    if (caller->watch_pending) {
        return;
    }
    caller->watch_pending = true;
    caller->stream.socket.async_wait(tcp::socket::wait_read, [caller](const error_code& ec) {
        caller->watch_pending = false;
        relay_state* active_request = caller->active_request;
        if (active_request == nullptr || !caller->stream.socket.is_open()) {
            return;
        }
        if (ec == asio::error::operation_aborted) {
            watch_for_disconnect(caller);
            return;
        }
        if (ec || has_closed(caller->stream.socket)) {
            active_request->caller_disconnected = true;
            active_request->wake.cancel();
            if (active_request->answering_exchange != nullptr) {
                abandon(*active_request->answering_exchange);
            }
        }
    });
}

} // namespace camphorknot::daemon_internal
