#include <array>

#include "../http_text.hpp"
#include "camphorknot/daemon/credentials.hpp"
#include "lookup_answer.hpp"
#include "relay.hpp"

namespace camphorknot::daemon_internal {
namespace {

// Time for a caller that is still sending to read the answer before its connection is closed.
constexpr duration linger_timeout = std::chrono::seconds(1);
constexpr auto join_poll_period = std::chrono::milliseconds(50);
constexpr std::size_t first_read_size = 4096;

using connection_reusable = bool; // Whether the connection can serve another request.

awaitable<bool> write_bytes(caller_handle caller, std::string bytes)
{
    timed_socket& stream = caller->stream;
    arm(stream, stream.owner.shared.settings.limits.idle_timeout);
    error_code ec;
    co_await asio::async_write(stream.socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    disarm(stream);
    co_return !ec;
}

// Closes the connection after the caller had time to read the answer: a close while unread bytes arrive would
// reset the connection, and the caller could lose the answer.
awaitable<void> close_after_answer(caller_handle caller)
{
    timed_socket& stream = caller->stream;
    error_code ec;
    caller->closing = true;
    stream.socket.shutdown(tcp::socket::shutdown_send, ec);
    arm(stream, linger_timeout);
    std::array<char, first_read_size> dropped{};
    while (!ec && !stream.timed_out) {
        co_await stream.socket.async_read_some(asio::buffer(dropped),
                                               asio::redirect_error(asio::use_awaitable, ec));
        if (boot_now() >= stream.deadline) {
            break;
        }
    }
    close_socket(stream.socket);
}

// Reads and drops the rest of a short body, so that the connection can serve the next request.
awaitable<bool> discard_body(relay_handle request)
{
    std::array<char, first_read_size> dropped{};
    timed_socket& stream = request->caller->stream;
    arm(stream, linger_timeout);
    error_code ec;
    while (!request->parser.is_done() && !ec) {
        request->parser.get().body().data = dropped.data();
        request->parser.get().body().size = dropped.size();
        co_await http::async_read_some(stream.socket, request->caller->buffer, request->parser,
                                       asio::redirect_error(asio::use_awaitable, ec));
        if (ec == http::error::need_buffer) {
            ec = {};
        }
    }
    disarm(stream);
    co_return !ec;
}

awaitable<connection_reusable> refuse(relay_handle request, refusal why)
{
    count_refusal(request->owner.shared.counters.refusals, why.reason);
    const bool body_unread = request->parser.is_header_done() && !request->parser.is_done();
    const auto length = request->parser.is_header_done() ? request->parser.content_length() : boost::none;
    const bool can_discard = !request->body_started && !request->expects_continue &&
                             request->body_failure == refusal_reason::none && length &&
                             *length <= buffered_body_limit;
    const bool clean = request->parser.is_header_done() && (!body_unread || can_discard);
    const bool keep_open = request->keep_alive && clean;
    std::string bytes = refusal_bytes(why, keep_open);
    const bool written = co_await write_bytes(request->caller, std::move(bytes));
    if (!written || !keep_open) {
        if (written) {
            co_await close_after_answer(request->caller);
        }
        co_return false;
    }
    const bool discarded = co_await discard_body(request);
    co_return discarded;
}

refusal not_run_refusal(refusal_reason reason)
{
    return {reason, outcome::not_run, duration::zero()};
}

// Copies the fields needed later out of the head, before it is changed for the target. Returns the reason if
// the head is refused, else none.
refusal_reason extract_head_fields(relay_state& request)
{
    const auto& head = request.parser.get();
    const auto target = std_view(head.target());
    request.method = std::string(head.method_string());
    request.path = std::string(path_of(target));
    request.ticket_text = std::string(head[beast_view(header_ticket)]);
    request.version_seen = std::string(head[beast_view(header_version_seen)]);
    request.expects_continue = boost::beast::iequals(head[http::field::expect], "100-continue");
    request.keep_alive = request.parser.keep_alive() && head.version() >= 11 &&
                         !request.owner.shared.draining.load(std::memory_order_relaxed);
    if (target.empty() || target.front() != '/' || head.method() == http::verb::connect) {
        return refusal_reason::malformed_request;
    }
    if (head.count(http::field::authorization) > 1 || head.count(beast_view(header_ticket)) > 1) {
        return refusal_reason::malformed_request;
    }
    const auto token = bearer_token(std_view(head[http::field::authorization]));
    request.key = std::string(token.value_or(""));
    // A key in the request target would reach the log of the target server.
    const bool key_in_target = !request.key.empty() && target.find(request.key) != std::string_view::npos;
    return key_in_target ? refusal_reason::malformed_request : refusal_reason::none;
}

std::optional<duration> read_deadline(const relay_state& request)
{
    const auto& head = request.parser.get();
    const auto found = head.find(beast_view(header_deadline));
    if (found == head.end()) {
        return duration::zero();
    }
    constexpr std::uint64_t max_deadline_ms = 24ULL * 3600 * 1000;
    const auto requested_ms = parse_number(std_view(found->value()));
    if (!requested_ms || *requested_ms > max_deadline_ms) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*requested_ms);
}

std::uint64_t body_kb(const relay_state& request)
{
    const auto length = request.parser.content_length();
    return length ? (*length + 1023U) / 1024U : 0;
}

request_head make_request_head(const relay_state& request, duration caller_deadline)
{
    const std::string& secret = request.owner.shared.settings.fleet_secret;
    request_head head;
    head.method = request.method;
    head.path = request.path;
    if (!request.key.empty()) {
        head.key = hash_key(secret, request.key);
    }
    head.ticket = request.ticket_text;
    head.ticket_mac_valid = !request.ticket_text.empty() && has_valid_mac(secret, request.ticket_text);
    head.body_kb = body_kb(request);
    head.caller_deadline = caller_deadline;
    head.version_seen = request.version_seen;
    return head;
}

// Requests admission. A repetition of a request that is still running polls until that one has ended, up to
// the caller's deadline.
awaitable<admission_answer> admit_or_wait_for_earlier(relay_handle request, request_head head)
{
    auto& decisions = request->owner.shared.decisions;
    const time_point give_up_at =
        boot_now() +
        (head.caller_deadline > duration::zero() ? head.caller_deadline : std::chrono::seconds(30));
    asio::steady_timer timer(request->owner.io);
    while (true) {
        admission_answer answer = decisions.admit(head, boot_now());
        const bool waits_for_earlier =
            answer.prior_operation && answer.prior_operation->step == operation_step::join;
        if (!waits_for_earlier) {
            co_return answer;
        }
        if (boot_now() >= give_up_at) {
            answer.prior_operation.reset();
            answer.why = {refusal_reason::deadline_exceeded, outcome::unknown, duration::zero()};
            co_return answer;
        }
        error_code ec;
        timer.expires_after(join_poll_period);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

// Answers a repetition of an earlier request from its record.
awaitable<connection_reusable> replay_recorded_answer(relay_handle request, operation_begin prior_operation)
{
    const auto recorded = parse_record(prior_operation.answer_body);
    if (prior_operation.ended != outcome::ran || !recorded) {
        const bool ran = prior_operation.ended == outcome::ran;
        const refusal_reason reason = ran ? refusal_reason::none : refusal_reason::outcome_unknown;
        const connection_reusable result =
            co_await refuse(request, {reason, prior_operation.ended, duration::zero()});
        co_return result;
    }
    const std::string field = std::string(header_repeated) + ": 1\r\n";
    const bool body_unread = !request->parser.is_done();
    const bool keep_open = request->keep_alive && !body_unread;
    std::string bytes =
        answer_bytes(prior_operation.answer_status, recorded->content_type, recorded->body, field, keep_open);
    const bool written = co_await write_bytes(request->caller, std::move(bytes));
    if (written && !keep_open) {
        co_await close_after_answer(request->caller);
    }
    co_return written&& keep_open;
}

void choose_body_mode(relay_state& request)
{
    const auto length = request.parser.content_length();
    if (request.parser.is_done() || (length && *length == 0)) {
        request.body = body_mode::none;
        request.body_done = true;
    } else if (length && *length <= buffered_body_limit) {
        request.body = body_mode::buffered;
    } else {
        request.body = body_mode::streamed;
    }
}

bool body_too_large(const relay_state& request)
{
    const std::int64_t limit_kb = request.admitted.body_limit_kb;
    return limit_kb > 0 && body_kb(request) > static_cast<std::uint64_t>(limit_kb);
}

awaitable<connection_reusable> handle_relay(relay_handle request)
{
    const std::optional<duration> deadline = read_deadline(*request);
    if (!deadline) {
        const connection_reusable result =
            co_await refuse(request, not_run_refusal(refusal_reason::malformed_request));
        co_return result;
    }
    const admission_answer answer =
        co_await admit_or_wait_for_earlier(request, make_request_head(*request, *deadline));
    if (answer.prior_operation && answer.prior_operation->step == operation_step::repeat) {
        const connection_reusable result = co_await replay_recorded_answer(request, *answer.prior_operation);
        co_return result;
    }
    if (!answer.request) {
        const connection_reusable result = co_await refuse(request, answer.why);
        co_return result;
    }
    request->admitted = *answer.request;
    refusal why;
    if (body_too_large(*request)) {
        why = not_run_refusal(refusal_reason::body_too_large);
        request->owner.shared.decisions.end_request(request->admitted, outcome::not_run, 413, {}, boot_now());
    } else {
        choose_body_mode(*request);
        request->head.base() = request->parser.get().base();
        prepare_request_head(request->head, request->key, request->admitted.customer,
                             request->parser.chunked());
        why = co_await relay_request(request);
    }
    if (why.reason == refusal_reason::none) {
        if (!request->keep_alive && request->caller->stream.socket.is_open()) {
            co_await close_after_answer(request->caller);
        }
        co_return request->keep_alive;
    }
    const connection_reusable result = co_await refuse(request, why);
    co_return result;
}

awaitable<connection_reusable> handle_lookup(relay_handle request)
{
    auto& shared = request->owner.shared;
    shared.counters.lookups->fetch_add(1, std::memory_order_relaxed);
    error_code ignored;
    const auto remote = request->caller->stream.socket.remote_endpoint(ignored).address();
    const std::uint32_t address = remote.is_v4() ? remote.to_v4().to_uint() : 0;
    refusal why;
    std::string body = lookup_body(shared.decisions, shared.settings.fleet_secret,
                                   std_view(request->parser.get().target()), address, request->key, why);
    if (body.empty() || !request->parser.is_done()) {
        const refusal reason = body.empty() ? why : not_run_refusal(refusal_reason::malformed_request);
        const connection_reusable result = co_await refuse(request, reason);
        co_return result;
    }
    std::string bytes = answer_bytes(200, "application/json", body, "", request->keep_alive);
    const bool written = co_await write_bytes(request->caller, std::move(bytes));
    if (written && !request->keep_alive) {
        co_await close_after_answer(request->caller);
    }
    co_return written && request->keep_alive;
}

awaitable<connection_reusable> handle_request(relay_handle request)
{
    auto& shared = request->owner.shared;
    const refusal_reason malformed = extract_head_fields(*request);
    connection_reusable result = false;
    if (malformed != refusal_reason::none) {
        result = co_await refuse(request, not_run_refusal(malformed));
    } else if (request->path == lookup_path && request->method == "GET") {
        result = co_await handle_lookup(request);
    } else {
        shared.counters.requests->fetch_add(1, std::memory_order_relaxed);
        result = co_await handle_relay(request);
    }
    observe(*shared.counters.request_latency, boot_now() - request->received);
    co_return result;
}

// Waits for the first byte of a head. Returns false if the connection ends or no byte arrives within the
// limit.
awaitable<bool> wait_for_first_byte(caller_handle caller, duration limit)
{
    if (caller->buffer.size() > 0) {
        co_return true;
    }
    timed_socket& stream = caller->stream;
    arm(stream, limit);
    error_code ec;
    const std::size_t received_size = co_await stream.socket.async_read_some(
        caller->buffer.prepare(first_read_size), asio::redirect_error(asio::use_awaitable, ec));
    disarm(stream);
    caller->buffer.commit(received_size);
    co_return !ec;
}

refusal_reason head_failure_reason(const error_code& ec, const timed_socket& stream)
{
    if (stream.timed_out) {
        return refusal_reason::sender_too_slow;
    }
    if (ec == http::error::header_limit) {
        return refusal_reason::head_too_large;
    }
    if (ec == http::error::end_of_stream || ec == http::error::partial_message ||
        ec.category() == asio::error::get_system_category()) {
        return refusal_reason::cancelled;
    }
    return refusal_reason::malformed_request;
}

// Counts the request as in flight for its lifetime; the count is also right if the coroutine is destroyed
// early.
struct in_flight_guard {
    explicit in_flight_guard(std::atomic<std::size_t>& counted) : count(counted) { ++count; }
    ~in_flight_guard() { --count; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;
    std::atomic<std::size_t>& count;
};

awaitable<connection_reusable> serve_request(caller_handle caller)
{
    timed_socket& stream = caller->stream;
    auto& shared = stream.owner.shared;
    const auto request = std::make_shared<relay_state>(stream.owner, caller);
    request->parser.header_limit(shared.settings.limits.head_bytes);
    request->parser.body_limit(unlimited_body);
    arm(stream, shared.settings.limits.head_timeout);
    error_code ec;
    co_await http::async_read_header(stream.socket, caller->buffer, request->parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    disarm(stream);
    connection_reusable result = false;
    if (ec) {
        const refusal_reason reason = head_failure_reason(ec, stream);
        request->keep_alive = false;
        if (reason != refusal_reason::cancelled) {
            result = co_await refuse(request, not_run_refusal(reason));
        }
        co_return result;
    }
    const in_flight_guard guard(shared.in_flight);
    request->received = boot_now();
    result = co_await handle_request(request);
    co_return result;
}

} // namespace

awaitable<void> serve_caller(caller_handle caller)
{
    auto& shared = caller->stream.owner.shared;
    // A new connection must send its first byte within the head timeout; later requests may take the idle
    // timeout.
    duration limit = shared.settings.limits.head_timeout;
    while (!shared.stopping) {
        const bool got_byte = co_await wait_for_first_byte(caller, limit);
        if (!got_byte) {
            break;
        }
        const connection_reusable next = co_await serve_request(caller);
        if (!next) {
            break;
        }
        limit = shared.settings.limits.idle_timeout;
    }
    close_socket(caller->stream.socket);
    --shared.connections;
}

} // namespace camphorknot::daemon_internal
