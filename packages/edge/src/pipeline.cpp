#include "pipeline.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "caller_end.hpp"
#include "sockets.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Requests that all connections together may have read ahead; with more, a connection has one at a time.
constexpr std::size_t max_requests_ahead = 1000;
// Answers that all connections together may hold before each runs one request at a time: a sixth of the limit
// for answers in memory, so that callers that read slowly leave room for the answers of others.
constexpr std::int64_t max_held_answer_bytes = std::int64_t{8} * 1024 * 1024;
// Period of the check for callers that left while their connection is not read: a fifth of the half second
// after which no target may work for such a caller.
constexpr duration caller_check_period = std::chrono::milliseconds(100);

using pipeline_handle = std::shared_ptr<pipeline>;
using entry_handle = std::shared_ptr<pipelined_entry>;

// Counts the answers that are held, or released if the number is negative, with those that are being read.
void count_held_answer(traffic_state& state, std::ptrdiff_t bytes)
{
    state.counters.pipelined_answer_bytes->fetch_add(bytes, std::memory_order_relaxed);
}

// Holds an answer until it has been written.
void hold_answer(traffic_state& state, pipeline& ahead, pipelined_entry& entry,
                 platform::http_response answer)
{
    entry.held_bytes = answer.body().size();
    count_held_answer(state, static_cast<std::ptrdiff_t>(entry.held_bytes));
    entry.answer = std::move(answer);
    entry.request->watch.set_phase(request_phase::answering);
    steering::on_answered(ahead.order, entry.request->id, entry.held_bytes);
}

// A request without a route is refused and reaches no target.
bool is_idempotent(const traffic_state& state, const caller_request& request)
{
    if (state.view.routes == nullptr) {
        return true;
    }
    const steering::route* route =
        steering::find_route(*state.view.routes, request.metadata.host, request.message.target());
    return route == nullptr || route->repeats == steering::repeat_policy::idempotent;
}

std::size_t size_of(const caller_request& request)
{
    return request.message.body().size() + request.message.allocated_bytes();
}

void wake_all(pipeline& ahead)
{
    ahead.written.cancel();
    ahead.answered.cancel();
}

// Ends the requests without a written answer: a write failed, an answer closed the connection, or the caller
// left.
void drop_rest(traffic_state& state, pipeline& ahead, std::string_view reason)
{
    ahead.is_ending = true;
    for (const auto& [number, entry] : ahead.entries) {
        entry->request->watch.note(connection_end::caller_left); // Unless another reason was noted.
    }
    const steering::dropped_requests dropped = steering::close_order(ahead.order);
    for (const std::uint64_t number : dropped.not_started) {
        end_request(state, *ahead.entries.at(number)->request);
    }
    for (const std::uint64_t number : dropped.running) {
        on_caller_left(state, *ahead.entries.at(number)->request);
    }
    const std::size_t count = ahead.entries.size();
    ahead.entries.clear();
    wake_all(ahead);
    if (count > 0) {
        state.counters.pipelined_dropped->fetch_add(count, std::memory_order_relaxed);
        log_event_limited(state.log, log_severity::info, "pipeline_dropped",
                          {{"reason", std::string(reason)},
                           {"requests", std::to_string(count)},
                           {"running", std::to_string(dropped.running.size())},
                           {"not_started", std::to_string(dropped.not_started.size())}});
    }
}

void start_requests(traffic_state& state, const pipeline_handle& ahead);

asio::awaitable<void> run_follower(traffic_state& state, pipeline_handle ahead, entry_handle entry)
{
    const std::uint64_t number = entry->request->id;
    const exception_note failing([&] { entry->request->watch.note(connection_end::task_failed); });
    if (ahead->order.is_closed) {
        end_request(state, *entry->request);
        co_return;
    }
    if (!steering::confirm_start(ahead->order, number, is_idempotent(state, *entry->request))) {
        co_return; // Started when all answers before it have been written.
    }
    platform::http_response answer = co_await handle_request(state, entry->request);
    answer = finish_request(state, *entry->request, std::move(answer));
    if (ahead->order.is_closed) {
        co_return;
    }
    hold_answer(state, *ahead, *entry, std::move(answer));
    start_requests(state, ahead);
    ahead->answered.cancel();
}

steering::pipeline_limits find_limits(const traffic_state& state)
{
    steering::pipeline_limits limits;
    if (state.counters.pipelined_answer_bytes->load(std::memory_order_relaxed) > max_held_answer_bytes) {
        limits.max_held_bytes = 0;
    }
    return limits;
}

// Starts the requests that may start now.
void start_requests(traffic_state& state, const pipeline_handle& ahead)
{
    const steering::pipeline_limits limits = find_limits(state);
    while (const auto number = steering::next_to_start(ahead->order, limits)) {
        steering::on_started(ahead->order, *number);
        spawn_task(state.context, run_follower(state, ahead, ahead->entries.at(*number)), "follower");
    }
}

// Asks a caller that sends no more, once, whether it still reads; see ask_caller. A reset is the answer of
// one that does not.
caller_state ask_once(traffic_state& state, const session_handle& connection, const pipeline_handle& ahead)
{
    if (ahead->caller_asked) {
        return caller_state::finished;
    }
    ahead->caller_asked = true;
    connection->stream.socket().async_wait(tcp::socket::wait_error,
                                           [&state, ahead](boost::system::error_code error) {
                                               if (!error && !ahead->order.is_closed) {
                                                   drop_rest(state, *ahead, "caller_left");
                                               }
                                           });
    const std::uint64_t first = ahead->order.requests.front().number;
    return ask_caller(*connection, *ahead->entries.at(first)->request);
}

// Detects callers that left while the connection is not read.
void check_caller(traffic_state& state, const session_handle& connection, const pipeline_handle& ahead)
{
    if (ahead->order.requests.empty()) {
        return;
    }
    caller_state caller = find_caller_state(*connection);
    if (caller == caller_state::finished) {
        caller = ask_once(state, connection, ahead);
    }
    if (caller == caller_state::gone) {
        drop_rest(state, *ahead, "caller_left");
    }
}

// Lets the reader wait for a written answer.
asio::awaitable<void> pause_reader(traffic_state& state, session_handle connection, pipeline_handle ahead)
{
    ahead->written.expires_after(caller_check_period);
    boost::system::error_code cancelled;
    co_await ahead->written.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    if (!cancelled) {
        check_caller(state, connection, ahead);
    }
}

// Waits for the first byte of a request. Returns false if none is to be read.
asio::awaitable<bool> wait_for_input(traffic_state& state, session_handle connection, pipeline_handle ahead)
{
    while (!ahead->is_ending && !steering::may_read_ahead(ahead->order, find_limits(state),
                                                          state.requests_ahead < max_requests_ahead)) {
        co_await pause_reader(state, connection, ahead);
    }
    if (!ahead->is_ending && connection->buffer.size() == 0) {
        boost::system::error_code error;
        co_await connection->stream.socket().async_wait(tcp::socket::wait_read,
                                                        asio::redirect_error(asio::use_awaitable, error));
        if (error || ahead->is_ending) {
            co_return false;
        }
        if (peek(connection->stream.socket()) != socket_state::readable) {
            ahead->input_ended = true;
            check_caller(state, connection, ahead);
            co_return false;
        }
    }
    // What a stopping instance has not begun to read is sent again by the caller.
    co_return !ahead->is_ending && !state.stop;
}

// Returns whether a further request may follow.
asio::awaitable<bool> read_follower(traffic_state& state, session_handle connection, pipeline_handle ahead)
{
    const bool has_input = co_await wait_for_input(state, connection, ahead);
    if (!has_input) {
        co_return false;
    }
    ahead->is_reading = true;
    const unfinished_request counted(state);
    std::shared_ptr<caller_request> request = co_await read_request(state, connection);
    ahead->is_reading = false;
    ahead->slow.cancel();
    if (request == nullptr) {
        ahead->input_ended = true;
        check_caller(state, connection, ahead);
        co_return false;
    }
    if (ahead->order.is_closed) {
        co_return false;
    }
    begin_request(state, request);
    state.counters.pipelined_requests->fetch_add(1, std::memory_order_relaxed);
    ahead->entries[request->id] = std::make_shared<pipelined_entry>(state, request);
    steering::add_read(ahead->order, request->id, is_idempotent(state, *request), size_of(*request));
    start_requests(state, ahead);
    co_return request->message.keep_alive();
}

asio::awaitable<void> read_ahead(traffic_state& state, session_handle connection, pipeline_handle ahead,
                                 bool may_follow)
{
    const exception_note failing([&] { connection->watch.note(connection_end::task_failed); });
    while (may_follow) {
        may_follow = co_await read_follower(state, connection, ahead);
        ahead->answered.cancel();
    }
    while (!ahead->is_ending && !ahead->order.requests.empty()) {
        co_await pause_reader(state, connection, ahead);
    }
    ahead->reader_done = true;
    ahead->answered.cancel();
}

// Begins the time limit of a read that nothing else waits for.
void start_read_limit(const session_handle& connection, const pipeline_handle& ahead)
{
    ahead->slow.expires_after(ahead->read_limit);
    ahead->slow.async_wait([connection, ahead](boost::system::error_code cancelled) {
        if (!cancelled && ahead->is_reading && ahead->order.requests.empty() && !connection->is_writing) {
            connection->watch.note(connection_end::read_timeout);
            connection->stream.cancel();
        }
    });
}

// Returns whether the connection stays open.
asio::awaitable<bool> write_first(traffic_state& state, session_handle connection, pipeline_handle ahead,
                                  std::uint64_t number)
{
    const entry_handle entry = ahead->entries.at(number);
    const bool is_last = ahead->order.requests.size() == 1 && !ahead->is_reading;
    const bool ends_here = is_last && (state.stop || ahead->input_ended);
    const bool keep_alive = entry->request->message.keep_alive() && !ends_here;
    ahead->is_ending = ahead->is_ending || !keep_alive;
    const auto error =
        co_await write_answer(connection, entry->request, std::move(*entry->answer), keep_alive);
    if (ahead->order.is_closed) {
        co_return false;
    }
    steering::on_written(ahead->order);
    ahead->entries.erase(number);
    if (error || !keep_alive) {
        connection->watch.note(state.stop ? connection_end::stopping : connection_end::closing_answer);
        drop_rest(state, *ahead, error ? "write_failed" : "closing_answer");
        co_return false;
    }
    start_requests(state, ahead);
    ahead->written.cancel();
    if (ahead->is_reading && ahead->order.requests.empty()) {
        start_read_limit(connection, ahead);
    }
    co_return true;
}

asio::awaitable<void> wait_until_woken(asio::steady_timer& timer)
{
    boost::system::error_code cancelled;
    timer.expires_at(asio::steady_timer::time_point::max());
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

// Waits until the reader has ended. It reads a request only if the connection is to be closed.
asio::awaitable<void> end_reader(session_handle connection, pipeline_handle ahead)
{
    ahead->is_ending = true;
    boost::system::error_code ignored; // The caller may have closed it already.
    if (ahead->is_reading) {
        connection->stream.socket().close(ignored);
    } else {
        connection->stream.socket().cancel(ignored);
    }
    ahead->written.cancel();
    while (!ahead->reader_done) {
        co_await wait_until_woken(ahead->answered);
    }
}

} // namespace

pipelined_entry::pipelined_entry(traffic_state& traffic, std::shared_ptr<caller_request> read)
    : state(traffic), counted(traffic), request(std::move(read))
{
    ++state.requests_ahead;
    state.counters.requests_ahead->fetch_add(1, std::memory_order_relaxed);
}

pipelined_entry::~pipelined_entry()
{
    --state.requests_ahead;
    state.counters.requests_ahead->fetch_sub(1, std::memory_order_relaxed);
    if (held_bytes > 0) {
        count_held_answer(state, -static_cast<std::ptrdiff_t>(held_bytes));
    }
}

void begin_pipeline(traffic_state& state, const session_handle& connection,
                    const std::shared_ptr<caller_request>& first)
{
    auto ahead = std::make_shared<pipeline>(state.context);
    connection->ahead = ahead;
    ahead->entries[first->id] = std::make_shared<pipelined_entry>(state, first);
    steering::add_read(ahead->order, first->id, is_idempotent(state, *first), size_of(*first));
    steering::on_started(ahead->order, first->id);
    spawn_task(state.context, read_ahead(state, connection, ahead, first->message.keep_alive()),
               "read_ahead");
}

asio::awaitable<bool> write_in_order(traffic_state& state, session_handle connection,
                                     std::shared_ptr<caller_request> first, platform::http_response answer)
{
    const pipeline_handle ahead = connection->ahead;
    if (!ahead->order.is_closed) {
        hold_answer(state, *ahead, *ahead->entries.at(first->id), std::move(answer));
        start_requests(state, ahead);
    }
    bool keep_open = !ahead->order.is_closed;
    while (keep_open && (ahead->is_reading || !ahead->order.requests.empty())) {
        const auto next = steering::next_to_write(ahead->order);
        if (next) {
            keep_open = co_await write_first(state, connection, ahead, *next);
        } else {
            co_await wait_until_woken(ahead->answered);
            keep_open = !ahead->order.is_closed;
        }
    }
    co_await end_reader(connection, ahead);
    keep_open = keep_open && !ahead->input_ended;
    connection->ahead.reset();
    co_return keep_open;
}

asio::awaitable<bool> wait_for_turn(traffic_state& state, session_handle connection)
{
    const pipeline_handle ahead = connection->ahead;
    if (ahead == nullptr) {
        co_return true;
    }
    while (!ahead->is_ending && !ahead->order.requests.empty()) {
        co_await pause_reader(state, connection, ahead);
    }
    co_return !ahead->is_ending;
}

void limit_read(const session_handle& connection, duration limit)
{
    const pipeline_handle ahead = connection->ahead;
    if (ahead == nullptr) {
        connection->stream.expires_after(limit);
        return;
    }
    connection->stream.expires_never();
    ahead->read_limit = limit;
    if (ahead->order.requests.empty()) {
        start_read_limit(connection, ahead);
    }
}

} // namespace camphorknot::edge
