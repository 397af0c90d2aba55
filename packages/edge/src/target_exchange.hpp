// Sends one request to one target and reads its answer, over pooled connections.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "camphorknot/platform/dialect.hpp"
#include "camphorknot/steering.hpp"
#include "held_messages.hpp"

namespace camphorknot::edge {

/// Limit for the head of an answer.
inline constexpr std::size_t max_answer_head_bytes = std::size_t{16} * 1024;
/// Limit for the bytes of an answer that cannot be parsed yet: a head, or a trailer of that size.
inline constexpr std::size_t max_unparsed_answer_bytes = max_answer_head_bytes + std::size_t{4} * 1024;

/// An open connection to a target.
struct target_connection {
    explicit target_connection(const boost::asio::any_io_executor& executor) : stream(executor) {}
    boost::beast::tcp_stream stream;
    /// Limited, since a part of an answer that does not end would fill it without end.
    boost::beast::flat_buffer buffer{max_unparsed_answer_bytes};
    std::string ip{};         ///< Of the target's incarnation to which it was opened.
    std::uint16_t port = 0;   ///< Likewise.
    std::int64_t born_ms = 0; ///< Likewise; steering::target::born_ms.
    time_point idle_since{};
    time_point idle_until{}; ///< Shortly before the target is expected to close it.
    bool was_used = false;
    std::uint64_t number = 0; ///< Unique in its pool.
    std::uint64_t uses = 0;   ///< Requests sent on it.
};
using target_connection_handle = std::shared_ptr<target_connection>;

/// Idle connections, by target id.
struct connection_pool {
    held_messages& messages; ///< Counts the answers.
    std::map<std::string, std::vector<target_connection_handle>> idle{};
    std::string egress_ip{};  ///< As in edge_settings.
    std::uint64_t opened = 0; ///< Number of connections opened so far.
};

/// Closes idle connections that have reached idle_until, and all connections to targets for which @p
/// is_current is false.
void sweep_connections(connection_pool& pool, const std::function<bool(const std::string&)>& is_current,
                       time_point now);

/// Outcome of an exchange.
enum class exchange_outcome : std::uint8_t {
    answered,      ///< A complete answer to this request.
    not_connected, ///< No connection: the request has not run.
    broken,        ///< It was sent, but no complete answer arrived: it may have run.
    timed_out,     ///< It was sent, but no complete answer arrived in time: it may have run.
    abandoned,     ///< The caller left, and the connection was closed to stop the target's work.
    ended,         ///< It was sent, but the instance stops before the answer: it may have run.
};

/// @return the stable name of @p outcome.
constexpr std::string_view name_of(exchange_outcome outcome)
{
    constexpr std::array<std::string_view, 6> names = {"answered",  "not_connected", "broken",
                                                       "timed_out", "abandoned",     "ended"};
    return names.at(static_cast<std::size_t>(outcome));
}

/// A complete answer to the request of the exchange.
struct target_answer {
    platform::http_response response;
    platform::answer_metadata metadata;
};

struct exchange_result {
    exchange_outcome outcome = exchange_outcome::not_connected;
    std::optional<target_answer> answer; ///< Present if and only if the outcome is `answered`.
    std::string error;                   ///< Why a `broken` exchange ended.
    bool connection_lost = false;        ///< It was closed or reset before the answer was complete.
    bool new_connection = false;
    duration connect_time{};
    std::uint64_t connection = 0;      ///< target_connection::number; 0 if nothing was sent.
    std::uint64_t earlier_uses = 0;    ///< Requests sent on the connection before.
    std::uint64_t skipped_answers = 0; ///< Answers to other requests that were read.
};

/// Why a send is known not to have led to an execution.
enum class not_run_proof : std::uint8_t {
    none,          ///< It may have run.
    not_connected, ///< Nothing was sent.
    rejected,      ///< The target states that it did not execute the request.
    replaced,      ///< Another server uses the target's address.
    peer_refusal,  ///< The instance that the request was passed on to promises it.
};

/// @return the stable name of @p proof.
constexpr std::string_view name_of(not_run_proof proof)
{
    constexpr std::array<std::string_view, 5> names = {"none", "not_connected", "rejected", "replaced",
                                                       "peer_refusal"};
    return names.at(static_cast<std::size_t>(proof));
}

/// @param result of an exchange with a target.
/// @return the proof that the request of the exchange has not run there.
not_run_proof find_proof(const exchange_result& result);

/// Result of opening a connection.
enum class connect_outcome : std::uint8_t {
    connected,
    refused, ///< The address answered that nothing listens there.
    failed,  ///< No answer in time, or no path.
};

/// Opens a connection to @p target for later requests, to find out whether it listens.
boost::asio::awaitable<connect_outcome> open_idle_connection(connection_pool& pool,
                                                             const steering::target& target, duration limit);

/// Allows an exchange to be abandoned or ended while it runs.
struct exchange_handle {
    target_connection_handle connection;
    bool abandoned = false;
    bool ended = false;                     ///< The instance stops; nothing is sent any more.
    time_point send_by = time_point::max(); ///< If it is not connected by then, nothing is sent.
};

/// Resets the exchange's connection, so that the target stops its work.
void abandon(exchange_handle& exchange);

/// Ends the exchange without an answer, because the instance stops.
void end_at_stop(exchange_handle& exchange);

/// Sends @p request to @p target, over an idle connection if there is a usable one, and reads the answer.
/// @param attempt id of the request; an answer with another id belongs to an earlier request.
/// @param at_most_once the request must not run twice. Reuses only a connection with a short idle time: an
/// older one is more likely to be reset, after which it is unknown whether the request ran.
/// @param limit maximum time for the whole exchange.
/// @param handle filled in for abandon.
boost::asio::awaitable<exchange_result> exchange(connection_pool& pool, const steering::target& target,
                                                 platform::http_request request, std::string attempt,
                                                 bool at_most_once, duration limit,
                                                 std::shared_ptr<exchange_handle> handle);

} // namespace camphorknot::edge
