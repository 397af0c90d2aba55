// Relay of one request: its state, its attempts at targets, and the functions that pass body and answer on.
#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <optional>

#include "heads.hpp"
#include "worker.hpp"

namespace camphorknot::daemon_internal {

using request_parser = http::request_parser<http::buffer_body>;
using response_parser = http::response_parser<http::buffer_body>;

/// The parser's body limit: none, as routes set their own limits. The limit must be set as a number, because
/// with an unset limit Beast 1.74 rejects every body that has a Content-Length.
inline constexpr std::uint64_t unlimited_body = std::numeric_limits<std::uint64_t>::max();

/// Request bodies up to this size (bytes) are buffered before the first attempt, so that they can be sent
/// again.
inline constexpr std::uint64_t buffered_body_limit = 65'536;

/// Size in bytes of the buffer through which longer bodies and answers are streamed.
inline constexpr std::size_t transfer_buffer_size = 32'768;

/// Answer bodies up to this size (bytes) are recorded for non-idempotent requests, to answer repetitions.
inline constexpr std::size_t recorded_body_limit = 16'384;

struct relay_state;
struct exchange;

/// Connection of one caller.
struct caller_connection {
    caller_connection(worker& owning_worker, tcp::socket connected_socket)
        : stream(owning_worker, std::move(connected_socket))
    {
    }
    timed_socket stream;
    boost::beast::flat_buffer buffer;
    bool closing = false; ///< The last answer was sent; input is read and dropped until the linger timeout.
    bool watch_pending = false;            ///< An asynchronous wait for readability is pending.
    relay_state* active_request = nullptr; ///< Request being relayed; notified when the caller disconnects.
};
using caller_handle = std::shared_ptr<caller_connection>;

/// How a request body reaches the target: sent with the head from memory, or streamed while it arrives.
enum class body_mode : std::uint8_t { none, buffered, streamed };

/// A request, from its head to the end of its answer. Used only in the thread of its worker.
struct relay_state {
    relay_state(worker& owning_worker, caller_handle request_caller)
        : owner(owning_worker), caller(std::move(request_caller)), wake(owning_worker.io)
    {
    }
    worker& owner;
    caller_handle caller;
    request_parser parser;
    asio::steady_timer wake; ///< Cancelled to resume relay_request after a change of state.
    time_point received{};

    std::string method;
    std::string path;
    std::string key;
    std::string ticket_text;
    std::string version_seen;
    head_only_request head; ///< Head for the target; the deadline is set per attempt.
    admitted_request admitted;

    body_mode body = body_mode::none;
    std::string buffered_body; ///< The whole body in body_mode::buffered, else empty.
    bool expects_continue = false;
    bool body_done = false;    ///< The body has been read to its end.
    bool body_started = false; ///< Part of a streamed body has been read, so the body cannot be resent.
    refusal_reason body_failure = refusal_reason::none;
    bool caller_disconnected = false;
    bool keep_alive = true;

    std::vector<target_id> tried_targets;
    bool may_have_run = false;              ///< Part of the request may have reached a target.
    exchange* answering_exchange = nullptr; ///< Exchange whose answer is being relayed.
};
using relay_handle = std::shared_ptr<relay_state>;

/// Progress of an exchange; answered means that the answer's head has been received.
enum class exchange_stage : std::uint8_t { connecting, sent, answered, failed };

/// One attempt: the request sent to one target, and its answer.
struct exchange {
    relay_handle request;
    attempt chosen;
    time_point started{};
    std::unique_ptr<target_connection> connection;
    std::optional<response_parser> answer;
    exchange_stage stage = exchange_stage::connecting;
    attempt_result failure = attempt_result::answered; ///< Valid in stage failed.
    bool bytes_sent = false;
    bool connection_reused = false; ///< The connection came from the idle connections.
    bool probe_started = false;     ///< probe_silent_target was called.
    bool end_reported = false;      ///< The decision function end_attempt was called.
    bool abandoned = false;         ///< The coroutine of this exchange must not access the request any more.
    std::uint64_t generation = 0;   ///< Generation of the connection to the target.
    time_point sent_at{};           ///< When the head and a buffered body had been written.
};
using exchange_handle = std::shared_ptr<exchange>;

/// Starts an attempt. Each change of its stage cancels relay_state::wake.
exchange_handle start_exchange(const relay_handle& request, const attempt& chosen);

/// Closes the attempt's connection and makes its coroutines end without accessing the request.
void abandon(exchange& attempt_state);

/// Opens a second connection to the target of an exchange that gets no answer, and reports whether that
/// succeeds: if it does, the path of the first connection may have lost its state. In that case the attempt
/// ends with timed_out if the request is idempotent and its body can be sent again.
awaitable<void> probe_silent_target(exchange_handle silent_exchange);

/// Forwards the request body to the target while it arrives, until its end. Stores a failure in
/// relay_state::body_failure.
awaitable<void> stream_body(exchange_handle destination);

/// Reads a short body into relay_state::buffered_body. @return the reason if that fails, else none.
awaitable<refusal_reason> read_buffered_body(relay_handle request);

/// Waits in the background for the caller to close its connection; then marks the request as disconnected,
/// cancels its wake timer and abandons the exchange that is answering.
void watch_for_disconnect(const caller_handle& caller);

/// Forwards the target's answer to the caller while it arrives. @return whether all of it was sent; if not,
/// the caller's connection has been reset.
awaitable<bool> relay_answer(relay_handle request, exchange_handle source);

/// Relays an admitted request: reads its body, makes attempts and forwards the answer.
/// @return the refusal if no answer was forwarded; with reason none otherwise.
awaitable<refusal> relay_request(relay_handle request);

/// Reports the end of the attempt to the decision function end_attempt, on the first call only.
/// @return whether to retry; a default value on later calls.
retry_answer finish_attempt(exchange& attempt_state, attempt_result result);

/// Serves the requests of one caller connection until it ends.
awaitable<void> serve_caller(caller_handle caller);

/// @return the record from which a repetition of the request is answered; empty unless @p complete.
std::string make_record(std::string_view content_type, std::string_view body, bool complete);

/// A recorded answer. Its members are views into the record.
struct recorded_answer {
    std::string_view content_type;
    std::string_view body;
};
/// @return the answer in @p record, or nothing if the record is empty or truncated.
std::optional<recorded_answer> parse_record(std::string_view record);

} // namespace camphorknot::daemon_internal
