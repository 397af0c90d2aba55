// State of one relayed request and of its attempts.
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

/// Routes limit bodies. Without a number here, Beast 1.74 refuses every body that states its length.
inline constexpr std::uint64_t unlimited_body = std::numeric_limits<std::uint64_t>::max();

/// Bodies up to this size are read whole before the first attempt, so that an attempt can be repeated.
inline constexpr std::uint64_t kept_body_limit = 65'536;

/// Size of the pieces in which longer bodies and answers pass.
inline constexpr std::size_t piece_size = 32'768;

/// Answers up to this size are kept in the record of a non-idempotent request.
inline constexpr std::size_t recorded_body_limit = 16'384;

struct relay_state;
struct exchange;

/// One caller's connection.
struct caller_connection {
    caller_connection(worker& thread, tcp::socket from) : stream(thread, std::move(from)) {}
    timed_socket stream;
    boost::beast::flat_buffer buffer;
    bool closing = false;          ///< Only what still arrives is read, under its own time limit.
    bool watched = false;          ///< A wait for readability is pending.
    relay_state* active = nullptr; ///< Told when the caller goes away.
};
using caller_handle = std::shared_ptr<caller_connection>;

enum class body_mode : std::uint8_t { none, kept, streamed };

/// A request between its head and the end of its answer.
struct relay_state {
    relay_state(worker& thread, caller_handle from) : owner(thread), caller(std::move(from)), wake(thread.io)
    {
    }
    worker& owner;
    caller_handle caller;
    request_parser parser;
    asio::steady_timer wake; ///< Its wait is cancelled when an exchange or the caller has news.
    time_point received{};

    std::string method;
    std::string path;
    std::string key;
    std::string ticket_text;
    std::string version_seen;
    plain_request head; ///< As the target sees it, but for the deadline.
    admitted_request admitted;

    body_mode body = body_mode::none;
    std::string kept;
    bool expects_continue = false;
    bool body_done = false;    ///< Nothing of the body is left to read.
    bool body_started = false; ///< A piece of a streamed body was read; it cannot be sent again.
    refusal_reason body_failure = refusal_reason::none;
    bool caller_gone = false;
    bool keep_alive = true;

    std::vector<target_id> tried;
    bool may_have_run = false; ///< A byte of the request may have reached a target.
    exchange* answering = nullptr;
};
using relay_handle = std::shared_ptr<relay_state>;

enum class exchange_stage : std::uint8_t { connecting, sent, answered, failed };

/// One attempt at one target.
struct exchange {
    relay_handle request;
    attempt chosen;
    time_point started{};
    std::unique_ptr<target_connection> connection;
    std::optional<response_parser> answer;
    exchange_stage stage = exchange_stage::connecting;
    attempt_result failure = attempt_result::answered; ///< Set if failed.
    bool bytes_sent = false;
    bool reused = false;
    bool probed = false;
    bool ended = false;     ///< end_attempt was called.
    bool abandoned = false; ///< Its coroutine must not touch the request any more.
    std::uint64_t generation = 0;
    time_point sent_at{};
};
using exchange_handle = std::shared_ptr<exchange>;

/// Begins an attempt; its news wake the request.
exchange_handle start_exchange(const relay_handle& request, const attempt& chosen);

/// Closes the attempt's connection; nothing of it is used any more.
void abandon(exchange& attempt_state);

/// Tests with a fresh connection whether a silent connection's target can be reached at all.
awaitable<void> probe_silent(exchange_handle silent);

/// Passes a long body on in pieces until its end; reports failures in the request.
awaitable<void> pump_body(exchange_handle to);

/// Reads a short body whole. @return the reason if that failed.
awaitable<refusal_reason> read_kept_body(relay_handle request);

/// Calls the request's wake when the caller closes its connection.
void watch_caller(const caller_handle& caller);

/// Passes the answer on in pieces. @return whether the caller got all of it.
awaitable<bool> relay_answer(relay_handle request, exchange_handle from);

/// Relays an admitted request: body, attempts, answer. @return the refusal if no answer was passed on.
awaitable<refusal> relay_request(relay_handle request);

/// Ends the attempt at the decisions, once.
retry_answer finish_attempt(exchange& attempt_state, attempt_result result);

/// Serves one caller connection until it ends.
awaitable<void> serve_caller(caller_handle caller);

/// @return the body of the record that a repeated request is answered from.
std::string make_record(std::string_view content_type, std::string_view body, bool whole);

/// A recorded answer; views into the record.
struct recorded_answer {
    std::string_view content_type;
    std::string_view body;
};
/// @return the answer in @p record, or nothing if it was not kept whole.
std::optional<recorded_answer> parse_record(std::string_view record);

} // namespace camphorknot::daemon_internal
