#include "target_exchange.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "camphorknot/kernel.hpp"
#include "sockets.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Longest answer that is held in memory; a longer one counts as broken.
constexpr std::size_t longest_answer = std::size_t{32} * 1024 * 1024;
// A target that does not accept in this time counts as away.
constexpr duration connect_timeout = std::chrono::milliseconds(500);
// Unacknowledged bytes end a connection after this time.
constexpr duration silence_limit = std::chrono::milliseconds(1500);
// Idle connections are closed this long before the target's own limit.
constexpr duration idle_margin = std::chrono::milliseconds(1500);
// Idle time after which a connection is no longer used if the target does not state its limit.
constexpr duration usual_idle = std::chrono::seconds(5);
// Idle time after which a connection is not used for a request that must not run twice.
constexpr duration fresh_idle = std::chrono::milliseconds(1500);
constexpr std::size_t most_idle = 16; // A target.
// Answers to earlier requests that are skipped before the connection is given up.
constexpr int most_stale_answers = 3;

void close_now(target_connection& connection)
{
    boost::system::error_code ignored; // Closing is all that can be done.
    connection.stream.socket().close(ignored);
}

bool is_usable(target_connection& connection, bool at_most_once, time_point now)
{
    const bool in_time = now < connection.idle_until;
    const bool fresh = !at_most_once || now - connection.idle_since < fresh_idle;
    return in_time && fresh && peek(connection.stream.socket()) == socket_state::quiet;
}

target_connection_handle take_idle(connection_pool& pool, const std::string& target, bool at_most_once)
{
    const auto found = pool.idle.find(target);
    if (found == pool.idle.end()) {
        return nullptr;
    }
    std::vector<target_connection_handle>& idle = found->second;
    const time_point now = boot_now();
    while (!idle.empty()) {
        target_connection_handle last = idle.back();
        if (is_usable(*last, at_most_once, now)) {
            idle.pop_back();
            return last;
        }
        if (at_most_once && now < last->idle_until && peek(last->stream.socket()) == socket_state::quiet) {
            return nullptr; // Good enough for a request that may be repeated; older ones are no better.
        }
        idle.pop_back();
        close_now(*last);
    }
    return nullptr;
}

void keep_idle(connection_pool& pool, const std::string& target, const target_connection_handle& connection,
               duration keep_alive)
{
    std::vector<target_connection_handle>& idle = pool.idle[target];
    if (idle.size() >= most_idle) {
        close_now(*connection);
        return;
    }
    connection->idle_since = boot_now();
    const duration limit = keep_alive > idle_margin ? keep_alive - idle_margin : usual_idle;
    connection->idle_until = connection->idle_since + std::min(limit, std::max(usual_idle, keep_alive));
    connection->was_used = true;
    connection->stream.expires_never();
    idle.push_back(connection);
}

asio::awaitable<target_connection_handle> open_connection(const steering::target& to, duration limit)
{
    const auto executor = co_await asio::this_coro::executor;
    auto made = std::make_shared<target_connection>(executor);
    const auto address = to_asio({to.ip, to.port});
    boost::system::error_code error;
    made->stream.expires_after(std::min(limit, connect_timeout));
    co_await made->stream.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return nullptr;
    }
    set_liveness(made->stream.socket(), silence_limit);
    co_return made;
}

// Sending goes on while the answer is read: a target may answer before it has read a long body.
struct sending {
    platform::http_request request;
    bool done = false;
};

void start_sending(const target_connection_handle& connection, const std::shared_ptr<sending>& sent)
{
    http::async_write(
        connection->stream, sent->request,
        [connection, sent](boost::system::error_code error, std::size_t) { sent->done = !error; });
}

struct read_outcome {
    boost::system::error_code error;
    bool own = false;  ///< The answer is to this request.
    bool clean = true; ///< The connection held no answer to another request.
};

asio::awaitable<read_outcome> read_answer(target_connection_handle connection, const std::string& attempt,
                                          bool without_body, exchange_result& into, bool& keep_alive)
{
    read_outcome outcome;
    for (int skipped = 0; skipped <= most_stale_answers; ++skipped) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(longest_answer);
        parser.skip(without_body);
        co_await http::async_read(connection->stream, connection->buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, outcome.error));
        if (outcome.error) {
            co_return outcome;
        }
        keep_alive = parser.keep_alive();
        into.response = parser.release();
        into.facts = platform::read_answer_metadata(into.response);
        const bool unnamed = into.facts.attempt.empty() && !connection->was_used && outcome.clean;
        const bool success = into.response.result_int() / 100 == 2;
        outcome.own = into.facts.attempt == attempt || (unnamed && !success);
        if (outcome.own || !keep_alive) {
            co_return outcome;
        }
        outcome.clean = false;
    }
    co_return outcome;
}

} // namespace

void sweep_connections(connection_pool& pool, const std::function<bool(const std::string&)>& is_known,
                       time_point now)
{
    for (auto& [target, idle] : pool.idle) {
        const bool known = is_known(target);
        std::erase_if(idle, [&](const target_connection_handle& each) {
            const bool ends = !known || now >= each->idle_until;
            if (ends) {
                close_now(*each);
            }
            return ends;
        });
    }
    std::erase_if(pool.idle, [](const auto& each) { return each.second.empty(); });
}

void abandon(exchange_handle& exchange)
{
    exchange.abandoned = true;
    if (exchange.connection != nullptr) {
        abort_connection(exchange.connection->stream.socket());
    }
}

asio::awaitable<exchange_result> exchange(connection_pool& pool, const steering::target& to,
                                          platform::http_request request, std::string attempt,
                                          bool at_most_once, duration limit,
                                          std::shared_ptr<exchange_handle> running)
{
    exchange_result result;
    const time_point start = boot_now();
    target_connection_handle connection = take_idle(pool, to.id, at_most_once);
    if (connection == nullptr) {
        connection = co_await open_connection(to, limit);
        result.new_connection = true;
        result.connect_time = boot_now() - start;
    }
    if (running->abandoned) {
        result.end = exchange_end::abandoned;
        co_return result;
    }
    const duration left = limit - (boot_now() - start);
    if (connection == nullptr || left <= duration{}) {
        co_return result;
    }
    running->connection = connection;
    const bool without_body = request.method() == http::verb::head;
    auto sent = std::make_shared<sending>();
    sent->request = std::move(request);
    connection->stream.expires_after(left);
    start_sending(connection, sent);
    bool keep_alive = false;
    const read_outcome outcome = co_await read_answer(connection, attempt, without_body, result, keep_alive);
    running->connection.reset();
    if (running->abandoned) {
        result.end = exchange_end::abandoned;
        co_return result;
    }
    if (outcome.error || !outcome.own) {
        result.end = outcome.error == beast::error::timeout ? exchange_end::timed_out : exchange_end::broken;
        close_now(*connection);
        co_return result;
    }
    result.end = exchange_end::answered;
    // Bytes after the answer belong to no request, and an unfinished body would be read as the next one.
    const bool reusable = keep_alive && sent->done && outcome.clean && connection->buffer.size() == 0;
    if (reusable) {
        keep_idle(pool, to.id, connection, result.facts.keep_alive);
    } else {
        close_now(*connection);
    }
    co_return result;
}

} // namespace camphorknot::edge
