#include "target_exchange.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "camphorknot/kernel.hpp"
#include "camphorknot/platform/message_reader.hpp"
#include "sockets.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Maximum size of an answer's body, which is held in memory; a larger one counts as broken.
constexpr std::size_t max_answer_bytes = std::size_t{32} * 1024 * 1024;
// An answer of which less is held is not counted.
constexpr std::size_t min_counted_answer_bytes = std::size_t{4} * 1024;
// Interim answers (1xx) that are skipped before the connection is closed.
constexpr int max_interim_answers = 16;
// A target that does not accept a connection in this time counts as unreachable.
constexpr duration connect_timeout = std::chrono::milliseconds(500);
// A connection is closed when sent bytes stay unacknowledged for this long.
constexpr duration unacknowledged_limit = std::chrono::milliseconds(1500);
// Idle connections are closed this long before the target's keep-alive timeout.
constexpr duration idle_margin = std::chrono::milliseconds(1500);
// Maximum idle time of a connection whose target states no keep-alive timeout.
constexpr duration default_idle_limit = std::chrono::seconds(5);
// Maximum idle time of a connection that is reused for a request that must not run twice.
constexpr duration max_idle_at_most_once = std::chrono::milliseconds(1500);
constexpr std::size_t max_idle_per_target = 16;
// Answers to earlier requests that are skipped before the connection is closed.
constexpr int max_stale_answers = 3;

void close_connection(target_connection& connection)
{
    boost::system::error_code ignored; // A failure to close needs no handling.
    connection.stream.socket().close(ignored);
}

// A target that started again under its id knows nothing of the connections to its earlier incarnation.
bool leads_to(const target_connection& connection, const steering::target& target)
{
    return connection.ip == target.ip && connection.port == target.port &&
           connection.born_ms == target.born_ms;
}

bool is_usable(target_connection& connection, bool at_most_once, time_point now)
{
    const bool before_limit = now < connection.idle_until;
    const bool recently_used = !at_most_once || now - connection.idle_since < max_idle_at_most_once;
    return before_limit && recently_used && peek(connection.stream.socket()) == socket_state::quiet;
}

target_connection_handle take_idle_connection(connection_pool& pool, const steering::target& target,
                                              bool at_most_once)
{
    const auto found = pool.idle.find(target.id);
    if (found == pool.idle.end()) {
        return nullptr;
    }
    std::vector<target_connection_handle>& idle = found->second;
    const time_point now = boot_now();
    while (!idle.empty()) {
        target_connection_handle last = idle.back();
        if (!leads_to(*last, target)) {
            idle.pop_back();
            close_connection(*last);
            continue;
        }
        if (is_usable(*last, at_most_once, now)) {
            idle.pop_back();
            return last;
        }
        if (at_most_once && now < last->idle_until && peek(last->stream.socket()) == socket_state::quiet) {
            // Kept for requests that may be repeated; the other connections have been idle for longer.
            return nullptr;
        }
        idle.pop_back();
        close_connection(*last);
    }
    return nullptr;
}

void return_connection(connection_pool& pool, const std::string& target,
                       const target_connection_handle& connection, duration keep_alive)
{
    std::vector<target_connection_handle>& idle = pool.idle[target];
    if (idle.size() >= max_idle_per_target) {
        close_connection(*connection);
        return;
    }
    connection->idle_since = boot_now();
    const duration limit = keep_alive > idle_margin ? keep_alive - idle_margin : default_idle_limit;
    connection->idle_until =
        connection->idle_since + std::min(limit, std::max(default_idle_limit, keep_alive));
    connection->was_used = true;
    if (connection->buffer.capacity() > min_counted_answer_bytes) {
        connection->buffer.shrink_to_fit(); // It is empty, and not counted while the connection is idle.
    }
    connection->stream.expires_never();
    idle.push_back(connection);
}

// Returns null if the connection cannot be opened.
asio::awaitable<target_connection_handle> open_connection(connection_pool& pool,
                                                          const steering::target& target, duration limit,
                                                          boost::system::error_code& error)
{
    const auto executor = co_await asio::this_coro::executor;
    auto opened = std::make_shared<target_connection>(executor);
    const auto address = to_asio({pool.egress_ip.empty() ? target.ip : pool.egress_ip, target.port});
    opened->stream.expires_after(std::min(limit, connect_timeout));
    co_await opened->stream.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return nullptr;
    }
    set_tcp_options(opened->stream.socket(), unacknowledged_limit);
    opened->ip = target.ip;
    opened->port = target.port;
    opened->born_ms = target.born_ms;
    opened->number = ++pool.opened;
    co_return opened;
}

// A request whose write continues while the answer is read: a target may answer before it has read a long
// body.
struct pending_write {
    platform::http_request request;
    bool done = false; // Written completely.
};

void start_write(const target_connection_handle& connection, const std::shared_ptr<pending_write>& write)
{
    http::async_write(
        connection->stream, write->request,
        [connection, write](boost::system::error_code error, std::size_t) { write->done = !error; });
}

// Whether the peer or the network ended the connection, unlike an answer that cannot be parsed or is late.
bool is_connection_loss(const boost::system::error_code& error)
{
    return error == asio::error::eof || error == asio::error::connection_reset ||
           error == asio::error::broken_pipe || error == http::error::end_of_stream ||
           error == http::error::partial_message;
}

struct read_outcome {
    boost::system::error_code error;
    std::optional<target_answer> answer; ///< To this request; answers to others are not kept.
    bool keep_alive = false;
    bool ends_with_connection = false; ///< The answer has neither a length nor chunks.
    std::uint64_t skipped_answers = 0; ///< To other requests.
};

// Whether the answer is to the request with this id. An answer without an id on a new connection is, unless
// it is a success or comes after an answer to another request.
bool is_answer_to(const target_answer& answer, const std::string& attempt, bool is_first_on_connection)
{
    const std::string& answered = answer.metadata.attempt;
    const bool is_success = answer.response.result_int() / 100 == 2;
    return answered == attempt || (answered.empty() && is_first_on_connection && !is_success);
}

bool is_known_status(unsigned status)
{
    return status >= 100 && status < 600;
}

// Counts what the answer and the input of its connection have allocated, for as long as the answer is held.
// Returns whether there is room.
bool reserve_answer(connection_pool& pool, message_hold_handle& hold, platform::http_response& answer,
                    std::size_t input_bytes)
{
    const std::size_t bytes = answer.body().capacity() + answer.allocated_bytes() + input_bytes;
    if (hold == nullptr && bytes < min_counted_answer_bytes) {
        return true;
    }
    if (hold == nullptr) {
        hold = hold_message(pool.messages, steering::message_kind::answer, time_point{}, nullptr);
        answer.body().keep_with_bytes(hold);
    }
    return reserve(*hold, bytes);
}

// When and why a read ends before its message is complete.
struct read_limits {
    std::chrono::steady_clock::time_point deadline;
    std::shared_ptr<const exchange_handle> handle;
};

// Reads one message and counts it as held.
asio::awaitable<boost::system::error_code> read_counted(connection_pool& pool,
                                                        target_connection_handle connection,
                                                        platform::answer_parser& parser, read_limits limits)
{
    message_hold_handle hold;
    const auto has_room = [&] {
        return reserve_answer(pool, hold, parser.get(), connection->buffer.capacity());
    };
    parser.check_growth([&](std::size_t /*allocated_bytes*/) { return has_room(); });
    const auto check = [&]() -> boost::system::error_code {
        // A cancelled stream does not end a read whose bytes are there.
        if (limits.handle->ended || limits.handle->abandoned) {
            return asio::error::operation_aborted;
        }
        return has_room() ? boost::system::error_code() : asio::error::no_memory;
    };
    boost::system::error_code error = co_await platform::read_message(connection->stream, connection->buffer,
                                                                      parser, limits.deadline, check);
    parser.check_growth(nullptr);
    if (error == asio::error::no_memory) {
        pool.messages.metrics.dropped_answers->fetch_add(1, std::memory_order_relaxed);
        error = http::error::body_limit;
    }
    co_return error;
}

asio::awaitable<read_outcome> read_answer(connection_pool& pool, target_connection_handle connection,
                                          const std::string& attempt, bool without_body, read_limits limits)
{
    read_outcome outcome;
    int interim = 0;
    for (int skipped = 0; skipped <= max_stale_answers; ++skipped) {
        platform::answer_parser parser(max_answer_head_bytes, max_answer_bytes);
        parser.skip(without_body);
        outcome.error = co_await read_counted(pool, connection, parser, limits);
        if (outcome.error) {
            co_return outcome;
        }
        if (parser.get().result_int() / 100 == 1) {
            --skipped;
            if (++interim > max_interim_answers) {
                co_return outcome;
            }
            continue;
        }
        if (!is_known_status(parser.get().result_int())) {
            outcome.error = http::error::bad_status;
            co_return outcome;
        }
        outcome.keep_alive = parser.keep_alive();
        outcome.ends_with_connection = parser.need_eof();
        target_answer answer;
        answer.response = parser.release();
        answer.metadata = platform::read_answer_metadata(answer.response);
        const bool is_first = !connection->was_used && outcome.skipped_answers == 0;
        if (is_answer_to(answer, attempt, is_first)) {
            if (answer.metadata.attempt.empty()) {
                // It may have been written before the request was read, and names no request that it refuses.
                answer.metadata.not_run = false;
                answer.metadata.replaced = false;
            }
            outcome.answer = std::move(answer);
            co_return outcome;
        }
        ++outcome.skipped_answers;
        if (!outcome.keep_alive) {
            co_return outcome;
        }
    }
    co_return outcome;
}

} // namespace

not_run_proof find_proof(const exchange_result& result)
{
    if (result.outcome == exchange_outcome::not_connected) {
        return not_run_proof::not_connected;
    }
    if (!result.answer) {
        return not_run_proof::none;
    }
    if (result.answer->metadata.replaced) {
        return not_run_proof::replaced;
    }
    return result.answer->metadata.not_run ? not_run_proof::rejected : not_run_proof::none;
}

void sweep_connections(connection_pool& pool, const std::function<bool(const std::string&)>& is_current,
                       time_point now)
{
    for (auto& [target, idle] : pool.idle) {
        const bool current = is_current(target);
        std::erase_if(idle, [&](const target_connection_handle& connection) {
            const bool expired = !current || now >= connection->idle_until;
            if (expired) {
                close_connection(*connection);
            }
            return expired;
        });
    }
    std::erase_if(pool.idle, [](const auto& entry) { return entry.second.empty(); });
}

asio::awaitable<connect_outcome> open_idle_connection(connection_pool& pool, const steering::target& target,
                                                      duration limit)
{
    boost::system::error_code error;
    const target_connection_handle connection = co_await open_connection(pool, target, limit, error);
    if (connection != nullptr) {
        return_connection(pool, target.id, connection, duration{});
        co_return connect_outcome::connected;
    }
    const bool is_refused =
        error == asio::error::connection_refused || error == asio::error::connection_reset;
    co_return is_refused ? connect_outcome::refused : connect_outcome::failed;
}

void abandon(exchange_handle& exchange)
{
    exchange.abandoned = true;
    if (exchange.connection != nullptr) {
        abort_connection(exchange.connection->stream.socket());
    }
}

void end_at_stop(exchange_handle& exchange)
{
    exchange.ended = true;
    if (exchange.connection != nullptr) {
        exchange.connection->stream.cancel();
    }
}

asio::awaitable<exchange_result> exchange(connection_pool& pool, const steering::target& target,
                                          platform::http_request request, std::string attempt,
                                          bool at_most_once, duration limit,
                                          std::shared_ptr<exchange_handle> handle)
{
    exchange_result result;
    const time_point start = boot_now();
    // Without an id, a late answer to an earlier request on the connection could not be told from its own.
    target_connection_handle connection =
        attempt.empty() ? nullptr : take_idle_connection(pool, target, at_most_once);
    if (connection == nullptr) {
        boost::system::error_code error;
        connection = co_await open_connection(pool, target, limit, error);
        result.new_connection = true;
        result.connect_time = boot_now() - start;
    }
    if (handle->abandoned) {
        result.outcome = exchange_outcome::abandoned;
        co_return result;
    }
    const duration time_left = limit - (boot_now() - start);
    if (connection == nullptr || time_left <= duration{}) {
        co_return result;
    }
    if (handle->ended || boot_now() > handle->send_by) {
        return_connection(pool, target.id, connection, duration{});
        co_return result;
    }
    handle->connection = connection;
    result.connection = connection->number;
    result.earlier_uses = connection->uses++;
    const bool without_body = request.method() == http::verb::head;
    auto write = std::make_shared<pending_write>();
    write->request = std::move(request);
    connection->stream.expires_after(time_left);
    const read_limits limits{std::chrono::steady_clock::now() + time_left, handle};
    start_write(connection, write);
    read_outcome outcome = co_await read_answer(pool, connection, attempt, without_body, limits);
    handle->connection.reset();
    result.skipped_answers = outcome.skipped_answers;
    if (outcome.answer && outcome.ends_with_connection && !write->done) {
        // A reset is reported to the write, and the read sees a plain end of the connection after it.
        outcome.answer.reset();
        outcome.error = http::error::partial_message;
    }
    if (handle->abandoned) {
        result.outcome = exchange_outcome::abandoned;
        co_return result;
    }
    if (!outcome.answer && handle->ended) {
        result.outcome = exchange_outcome::ended;
        close_connection(*connection);
        co_return result;
    }
    if (!outcome.answer) {
        result.outcome =
            outcome.error == beast::error::timeout ? exchange_outcome::timed_out : exchange_outcome::broken;
        result.connection_lost = is_connection_loss(outcome.error);
        result.error = outcome.error ? outcome.error.message() : "answer to another request";
        close_connection(*connection);
        co_return result;
    }
    result.outcome = exchange_outcome::answered;
    result.answer = std::move(outcome.answer);
    // Not reused with bytes after the answer, which belong to no request, nor with an unfinished request
    // body, which the target would take for the next request.
    const bool reusable =
        outcome.keep_alive && write->done && outcome.skipped_answers == 0 && connection->buffer.size() == 0;
    if (reusable) {
        return_connection(pool, target.id, connection, result.answer->metadata.keep_alive);
    } else {
        close_connection(*connection);
    }
    co_return result;
}

} // namespace camphorknot::edge
