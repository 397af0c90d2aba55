#include <array>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <sys/socket.h>

#include "relay.hpp"

namespace camphorknot::daemon_internal {
namespace {

refusal_reason reason_of(const error_code& ec, const timed_socket& stream)
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

void report_body_failure(exchange& to, refusal_reason reason)
{
    to.request->body_failure = reason;
    to.request->wake.cancel();
    abandon(to);
}

struct piece {
    std::size_t size = 0;
    refusal_reason failure = refusal_reason::none;
};

awaitable<piece> read_piece(relay_handle request, std::span<char> space)
{
    timed_socket& stream = request->caller->stream;
    auto& body = request->parser.get().body();
    body.data = space.data();
    body.size = space.size();
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
    piece read;
    read.size = space.size() - body.size;
    if (ec) {
        read.failure = reason_of(ec, stream);
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

awaitable<error_code> send_piece(exchange_handle to, std::span<const char> data)
{
    timed_socket& stream = to->connection->stream;
    const asio::const_buffer bytes(data.data(), data.size());
    error_code ec;
    arm(stream, to->request->owner.shared.settings.limits.progress_timeout);
    if (to->request->parser.chunked()) {
        const auto chunk = http::make_chunk(bytes);
        co_await asio::async_write(stream.socket, chunk, asio::redirect_error(asio::use_awaitable, ec));
    } else {
        co_await asio::async_write(stream.socket, bytes, asio::redirect_error(asio::use_awaitable, ec));
    }
    disarm(stream);
    co_return ec;
}

awaitable<void> send_end(exchange_handle to)
{
    if (!to->request->parser.chunked()) {
        co_return;
    }
    const auto last = http::make_chunk_last();
    error_code ec;
    co_await asio::async_write(to->connection->stream.socket, last,
                               asio::redirect_error(asio::use_awaitable, ec));
}

bool is_too_large(const relay_state& request, std::uint64_t passed)
{
    const auto limit = static_cast<std::uint64_t>(request.admitted.body_limit_kb) * 1024U;
    return request.admitted.body_limit_kb > 0 && passed > limit;
}

// Whether the caller closed its side; bytes of a next request are no news.
bool has_closed(tcp::socket& socket)
{
    char byte = 0;
    const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

awaitable<void> pump_body(exchange_handle to)
{
    const relay_handle request = to->request;
    if (request->expects_continue) {
        const error_code ec = co_await send_continue(request);
        if (ec) {
            report_body_failure(*to, refusal_reason::cancelled);
            co_return;
        }
    }
    const auto space = std::make_unique<std::array<char, piece_size>>();
    std::uint64_t passed = 0;
    request->body_started = true;
    while (!request->parser.is_done()) {
        const piece next = co_await read_piece(request, *space);
        if (to->abandoned) {
            co_return;
        }
        passed += next.size;
        if (next.failure != refusal_reason::none) {
            report_body_failure(*to, next.failure);
            co_return;
        }
        if (is_too_large(*request, passed)) {
            report_body_failure(*to, refusal_reason::body_too_large);
            co_return;
        }
        if (next.size == 0) {
            continue;
        }
        const error_code ec = co_await send_piece(to, {space->data(), next.size});
        // A target that stops reading may have answered already; the answer's reader finds out.
        if (ec || to->abandoned) {
            co_return;
        }
    }
    co_await send_end(to);
    request->body_done = true;
    if (!to->abandoned) {
        watch_caller(request->caller);
    }
}

awaitable<refusal_reason> read_kept_body(relay_handle request)
{
    if (request->expects_continue) {
        const error_code ec = co_await send_continue(request);
        if (ec) {
            co_return refusal_reason::cancelled;
        }
    }
    const auto length = static_cast<std::size_t>(*request->parser.content_length());
    request->kept.resize(length);
    std::size_t filled = 0;
    while (!request->parser.is_done()) {
        const piece next =
            co_await read_piece(request, std::span<char>(request->kept).subspan(filled, length - filled));
        filled += next.size;
        if (next.failure != refusal_reason::none) {
            co_return next.failure;
        }
    }
    request->body_done = true;
    co_return refusal_reason::none;
}

void watch_caller(const caller_handle& caller)
{
    if (caller->watched) {
        return;
    }
    caller->watched = true;
    caller->stream.socket.async_wait(tcp::socket::wait_read, [caller](const error_code& ec) {
        caller->watched = false;
        relay_state* active = caller->active;
        if (active == nullptr || !caller->stream.socket.is_open()) {
            return;
        }
        if (ec == asio::error::operation_aborted) {
            watch_caller(caller);
            return;
        }
        if (ec || has_closed(caller->stream.socket)) {
            active->caller_gone = true;
            active->wake.cancel();
            if (active->answering != nullptr) {
                abandon(*active->answering);
            }
        }
    });
}

} // namespace camphorknot::daemon_internal
