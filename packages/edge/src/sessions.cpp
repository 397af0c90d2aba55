// Callers' connections: serves their requests, one at a time unless a caller sends more, and writes the
// answers.
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "caller_end.hpp"
#include "pipeline.hpp"
#include "request_reader.hpp"
#include "sockets.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Period at which an idle connection checks whether the instance is stopping.
constexpr duration stop_check_period = std::chrono::milliseconds(500);

// Waits for the first byte of a request. Returns false if the connection is to be closed.
asio::awaitable<bool> wait_for_request(traffic_state& state, session_handle connection, duration idle_limit)
{
    const time_point idle_since = boot_now();
    connection->counted->set_phase(steering::connection_phase::idle, idle_since);
    while (connection->buffer.size() == 0) {
        asio::steady_timer stop_check_timer(state.context, stop_check_period);
        const auto waiting = std::make_shared<bool>(true);
        stop_check_timer.async_wait([connection, waiting](boost::system::error_code cancelled) {
            boost::system::error_code ignored; // There may be nothing to cancel.
            if (!cancelled && *waiting) {
                connection->stream.socket().cancel(ignored);
            }
        });
        boost::system::error_code error;
        co_await connection->stream.socket().async_wait(tcp::socket::wait_read,
                                                        asio::redirect_error(asio::use_awaitable, error));
        *waiting = false;
        stop_check_timer.cancel();
        if (!error) {
            co_return peek(connection->stream.socket()) == socket_state::readable;
        }
        const time_point now = boot_now();
        const bool stop_due = state.stop && now > state.stop->close_idle_at;
        const bool is_idle = now - idle_since > idle_limit;
        if ((stop_due || is_idle) && peek(connection->stream.socket()) == socket_state::readable) {
            co_return true; // A request came in the meantime.
        }
        const bool is_over = stop_due || connection->counted->is_closing() || is_idle;
        if (error != asio::error::operation_aborted || is_over) {
            if (is_idle && !stop_due) {
                connection->watch.note(connection_end::idle_timeout);
            }
            co_return false;
        }
    }
    co_return true;
}

// Calls on_caller_left if the caller closes the connection.
void on_caller_finished(traffic_state& state, const session_handle& connection,
                        const std::shared_ptr<caller_request>& request)
{
    if (ask_caller(*connection, *request) == caller_state::gone) {
        on_caller_left(state, *request);
        return;
    }
    connection->stream.socket().async_wait(tcp::socket::wait_error,
                                           [&state, connection, request](boost::system::error_code error) {
                                               if (!error && state.active_requests.contains(request->id)) {
                                                   on_caller_left(state, *request);
                                               }
                                           });
}

// Watches the connection while its only request runs: the caller may send further ones, or leave.
void watch_caller(traffic_state& state, const session_handle& connection,
                  const std::shared_ptr<caller_request>& request)
{
    connection->stream.socket().async_wait(
        tcp::socket::wait_read, [&state, connection, request](boost::system::error_code error) {
            if (error || !state.active_requests.contains(request->id)) {
                return;
            }
            const socket_state input = peek(connection->stream.socket());
            if (input == socket_state::closed) {
                on_caller_finished(state, connection, request);
            } else if (input == socket_state::readable && connection->kind == session_kind::caller) {
                begin_pipeline(state, connection, request);
            }
        });
}

asio::awaitable<bool> serve_next_request(traffic_state& state, session_handle connection)
{
    const unfinished_request counted(state);
    std::shared_ptr<caller_request> request = co_await read_request(state, connection);
    if (request == nullptr) {
        co_return false;
    }
    connection->counted->set_phase(steering::connection_phase::busy, request->arrived_at);
    begin_request(state, request);
    if (connection->buffer.size() > 0 && connection->kind == session_kind::caller) {
        begin_pipeline(state, connection, request);
    } else {
        watch_caller(state, connection, request);
    }
    platform::http_response answer = co_await handle_request(state, request);
    answer = finish_request(state, *request, std::move(answer));
    if (connection->ahead != nullptr) {
        const bool keep_open = co_await write_in_order(state, connection, request, std::move(answer));
        co_return keep_open;
    }
    boost::system::error_code ignored; // The watch may have ended already.
    connection->stream.socket().cancel(ignored);
    if (request->caller_left) {
        co_return false;
    }
    const bool keep_alive = request->message.keep_alive() && !state.stop;
    const auto error = co_await write_answer(connection, request, std::move(answer), keep_alive);
    co_return !error && keep_alive;
}

asio::awaitable<void> run_session(traffic_state& state, session_handle connection)
{
    const exception_note failing([&] {
        connection->watch.note(connection_end::task_failed);
        connection->watch.close(connection_end::task_failed);
    });
    const duration idle_limit = current_limits(state).idle_timeout;
    bool keep_open = true;
    while (keep_open) {
        keep_open = co_await wait_for_request(state, connection, idle_limit);
        if (keep_open) {
            keep_open = co_await serve_next_request(state, connection);
        }
    }
    connection->watch.close(state.stop ? connection_end::stopping : connection_end::closing_answer,
                            connection->buffer.size() > 0);
    const bool is_closing = connection->counted->is_closing();
    const socket_state input = peek(connection->stream.socket());
    const bool is_read = input == socket_state::readable ||
                         (input == socket_state::quiet && has_unacknowledged(connection->stream.socket()));
    if (!is_closing && is_read) {
        const unfinished_request counted(state); // The last answer has not arrived.
        co_await discard_input(state, connection);
    }
    boost::system::error_code ignored; // The caller may have closed it already.
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection->stream.socket().close(ignored);
}

void start_session(traffic_state& state, tcp::socket socket, session_kind kind)
{
    auto accepted = std::make_shared<session>(state.ends, std::move(socket), kind);
    // The connection is owned by its coroutine, which ends when its read is cancelled.
    accepted->counted = admit_connection(state.sessions, [weak = std::weak_ptr(accepted)] {
        if (const session_handle open = weak.lock()) {
            open->watch.note(connection_end::closed_for_another);
            open->stream.cancel();
        }
    });
    if (accepted->counted == nullptr) {
        return;
    }
    boost::system::error_code ignored; // Without the option small answers are sent later.
    accepted->stream.socket().set_option(tcp::no_delay(true), ignored);
    spawn_task(state.context, run_session(state, std::move(accepted)), "session");
}

} // namespace

void accept_sessions(traffic_state& state, tcp::acceptor& acceptor, session_kind kind)
{
    spawn_task(state.context,
               accept_connections(
                   acceptor, state.sessions,
                   [&state, kind](tcp::socket socket) { start_session(state, std::move(socket), kind); }),
               "accept_sessions");
}

void accept_last_sessions(traffic_state& state, tcp::acceptor& acceptor, session_kind kind)
{
    if (acceptor.is_open()) {
        accept_last_connections(acceptor, state.sessions, [&state, kind](tcp::socket socket) {
            start_session(state, std::move(socket), kind);
        });
    }
}

} // namespace camphorknot::edge
