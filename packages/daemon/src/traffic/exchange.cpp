#include <boost/beast/http/read.hpp>

#include "relay.hpp"

namespace camphorknot::daemon_internal {
namespace {

// Maximum idle time of a connection for reuse. A non-idempotent request cannot be repeated if its connection
// turns out to be dead, so it only uses connections that were idle for a short time.
constexpr duration max_idle_non_idempotent = std::chrono::seconds(2);
constexpr duration max_idle_idempotent = std::chrono::seconds(15);

void enter_stage(exchange& state, exchange_stage stage)
{
    state.stage = stage;
    state.request->wake.cancel();
}

void report_failure(exchange& state, attempt_result failure)
{
    state.failure = failure;
    enter_stage(state, exchange_stage::failed);
}

attempt_result io_failure_result(const exchange& state)
{
    return state.connection->stream.timed_out ? attempt_result::timed_out : attempt_result::broken;
}

awaitable<bool> connect(exchange_handle state)
{
    worker& owner = state->request->owner;
    const bool idempotent = state->request->admitted.idempotent;
    state->connection = take_idle_connection(owner, state->chosen,
                                             idempotent ? max_idle_idempotent : max_idle_non_idempotent);
    if (state->connection != nullptr) {
        state->connection_reused = true;
        state->generation = state->connection->generation;
        co_return true;
    }
    state->generation = state->chosen.connection_generation;
    const std::optional<tcp::endpoint> endpoint = parse_endpoint(state->chosen.address);
    if (!endpoint) {
        co_return false;
    }
    owner.shared.counters.target_connects->fetch_add(1, std::memory_order_relaxed);
    state->connection = std::make_unique<target_connection>(owner, tcp::socket(owner.io));
    state->connection->generation = state->generation;
    timed_socket& stream = state->connection->stream;
    arm(stream, owner.shared.settings.limits.progress_timeout);
    error_code ec;
    co_await stream.socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
    disarm(stream);
    if (ec) {
        co_return false;
    }
    stream.socket.set_option(tcp::no_delay(true), ec);
    co_return true;
}

std::string request_bytes(const exchange& state)
{
    relay_state& request = *state.request;
    const duration left = request.admitted.deadline - boot_now();
    const auto left_ms = std::chrono::floor<std::chrono::milliseconds>(left).count();
    request.head.set(beast_view(header_deadline), std::to_string(std::max<std::int64_t>(left_ms, 1)));
    std::string bytes = serialize(request.head);
    bytes += request.buffered_body;
    return bytes;
}

// Reads the answer's head. Drops interim answers (1xx), because the relay answers "Expect: 100-continue"
// itself.
awaitable<error_code> read_answer_head(exchange_handle state)
{
    error_code ec;
    while (true) {
        state->answer.emplace();
        state->answer->header_limit(state->request->owner.shared.settings.limits.head_bytes);
        state->answer->body_limit(unlimited_body);
        if (state->request->method == "HEAD") {
            state->answer->skip(true);
        }
        co_await http::async_read_header(state->connection->stream.socket, state->connection->buffer,
                                         *state->answer, asio::redirect_error(asio::use_awaitable, ec));
        const unsigned status = ec ? 0 : state->answer->get().result_int();
        if (!ec && (status < 100 || status >= 600)) {
            co_return http::error::bad_status;
        }
        const bool interim = !ec && status < 200;
        if (!interim || state->answer->get().result() == http::status::switching_protocols) {
            co_return ec;
        }
    }
}

// Whether the answer is delimited by its length or by chunks. If it ends with its connection, its end cannot
// be distinguished from a broken connection.
bool has_explicit_end(const exchange& state)
{
    return state.answer->get().result_int() >= 200 && !state.answer->need_eof();
}

awaitable<void> run(exchange_handle state)
{
    const bool connected = co_await connect(state);
    if (state->abandoned) {
        co_return;
    }
    if (!connected) {
        report_failure(*state, attempt_result::connect_failed);
        co_return;
    }
    relay_state& request = *state->request;
    timed_socket& stream = state->connection->stream;
    const std::string bytes = request_bytes(*state);
    state->bytes_sent = true;
    request.may_have_run = true;
    arm(stream, request.owner.shared.settings.limits.progress_timeout);
    error_code ec;
    co_await asio::async_write(stream.socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (state->abandoned) {
        co_return;
    }
    disarm(stream);
    if (ec) {
        report_failure(*state, io_failure_result(*state));
        co_return;
    }
    state->sent_at = boot_now();
    enter_stage(*state, exchange_stage::sent);
    if (request.body == body_mode::streamed) {
        asio::co_spawn(request.owner.io, stream_body(state), asio::detached);
    }
    ec = co_await read_answer_head(state);
    if (state->abandoned) {
        co_return;
    }
    if (ec || !has_explicit_end(*state)) {
        report_failure(*state, ec ? io_failure_result(*state) : attempt_result::broken);
        co_return;
    }
    enter_stage(*state, exchange_stage::answered);
}

} // namespace

exchange_handle start_exchange(const relay_handle& request, const attempt& chosen)
{
    auto state = std::make_shared<exchange>();
    state->request = request;
    state->chosen = chosen;
    state->started = boot_now();
    request->tried_targets.push_back(chosen.target.target);
    asio::co_spawn(request->owner.io, run(state), asio::detached);
    return state;
}

void abandon(exchange& attempt_state)
{
    attempt_state.abandoned = true;
    if (attempt_state.connection != nullptr) {
        close_socket(attempt_state.connection->stream.socket);
    }
}

retry_answer finish_attempt(exchange& attempt_state, attempt_result result)
{
    if (attempt_state.end_reported) {
        return {};
    }
    attempt_state.end_reported = true;
    relay_state& request = *attempt_state.request;
    const time_point now = boot_now();
    attempt_report report;
    report.target = attempt_state.chosen.target.target;
    report.version = attempt_state.chosen.target.version;
    report.service = request.admitted.service;
    report.route = request.admitted.route;
    report.result = result;
    report.latency = now - attempt_state.started;
    report.request_kb = request.buffered_body.size() / 1024U;
    report.connection_generation = attempt_state.generation;
    if (request.body == body_mode::streamed) {
        const auto length = request.parser.content_length();
        report.request_kb = length ? *length / 1024U : 0;
    }
    return request.owner.shared.decisions.end_attempt(request.admitted, report, now);
}

awaitable<void> probe_silent_target(exchange_handle silent_exchange)
{
    worker& owner = silent_exchange->request->owner;
    const std::optional<tcp::endpoint> endpoint = parse_endpoint(silent_exchange->chosen.address);
    if (!endpoint) {
        co_return;
    }
    timed_socket probe_socket(owner, tcp::socket(owner.io));
    arm(probe_socket, owner.shared.settings.limits.progress_timeout);
    error_code ec;
    co_await probe_socket.socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (silent_exchange->abandoned || silent_exchange->stage != exchange_stage::sent) {
        co_return;
    }
    const bool target_reachable = !ec;
    owner.shared.counters.silent_connections->fetch_add(1, std::memory_order_relaxed);
    owner.shared.decisions.report_silent_connection(silent_exchange->chosen.target.target,
                                                    silent_exchange->generation, target_reachable);
    // Only a request that may be repeated is aborted: the target may also just be slow.
    if (target_reachable && silent_exchange->request->admitted.idempotent &&
        silent_exchange->request->body != body_mode::streamed) {
        report_failure(*silent_exchange, attempt_result::timed_out);
        abandon(*silent_exchange);
    }
}

} // namespace camphorknot::daemon_internal
