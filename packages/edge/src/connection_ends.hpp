// Callers' connections that end without a complete answer to a request that was read wholly or in part: they
// are counted by reason and phase, and logged.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/kernel.hpp"

namespace camphorknot::edge {

struct caller_request;
enum class session_kind : std::uint8_t;

/// How far a request had come when its connection ended.
enum class request_phase : std::uint8_t {
    unread,    ///< Its bytes had arrived, and none was read.
    head,      ///< Its head was being read.
    body,      ///< Its body was being read.
    waiting,   ///< Read, and at no target.
    at_target, ///< At a target, or passed on to another instance.
    answering, ///< Its answer was being written, or waited for the answers to earlier requests.
};

/// Why a connection ended.
enum class connection_end : std::uint8_t {
    caller_left,          ///< The caller closed or reset it.
    closing_answer,       ///< An answer asked the caller to close it; the request came behind that answer.
    stopping,             ///< Likewise, since the instance stops.
    closed_for_another,   ///< It made room for another connection.
    too_many_connections, ///< It was not served.
    idle_timeout,         ///< It was closed as idle while the request arrived.
    read_timeout,         ///< The request was not received in time.
    read_failed,
    write_timeout, ///< The caller did not take the answer in time.
    write_failed,
    task_failed,   ///< An exception ended its task.
    process_ended, ///< It was open when the traffic thread ended.
    unknown,
};

/// @return the name in metrics and logs.
std::string_view name_of(request_phase phase);
std::string_view name_of(connection_end end);

/// @return what ended a connection whose read, or write, has failed.
connection_end end_of_read(const boost::system::error_code& error);
connection_end end_of_write(const boost::system::error_code& error);

using auto_unlink_hook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
template <class T>
using watched_list = boost::intrusive::list<T, boost::intrusive::constant_time_size<false>>;

class connection_watch;
struct connection_ends;

/// A request without a complete answer whose connection has not ended.
struct unanswered_request {
    std::string attempt; ///< Empty if the head was not read.
    request_phase phase = request_phase::unread;
    std::string sent_to; ///< Target or instance of the last send; empty without one.
};

/// Part of a request: from its first byte until its answer has been written, the request belongs to a
/// connection, which reports it otherwise. All functions do nothing before and after.
class request_watch : public auto_unlink_hook {
public:
    explicit request_watch(const caller_request& owner) : owner_(owner) {}
    ~request_watch();
    request_watch(const request_watch&) = delete;
    request_watch& operator=(const request_watch&) = delete;
    request_watch(request_watch&&) = delete;
    request_watch& operator=(request_watch&&) = delete;

    /// Begins to read the request.
    void begin(connection_watch& connection);
    void set_phase(request_phase phase);
    /// The request was read completely.
    void end_read();
    /// @param receiver id of the target, or name of the instance.
    void set_receiver(const std::string& receiver) { sent_to_ = receiver; }
    /// See connection_watch::note.
    void note(connection_end end);
    /// The answer was written completely, or no byte of a request has come.
    void end();

private:
    friend class connection_watch;
    unanswered_request describe() const;
    void freeze();
    void detach();

    const caller_request& owner_;
    connection_watch* connection_ = nullptr;
    request_phase phase_ = request_phase::head;
    bool is_frozen_ = false; ///< The connection is ending; the phase is final.
    std::string sent_to_;
};

/// Part of a connection of a caller, or of an instance that passes requests on. Reports, once the connection
/// has ended, the requests on it that have no complete answer.
class connection_watch : public auto_unlink_hook {
public:
    /// @param socket outlives this.
    connection_watch(connection_ends& ends, boost::asio::ip::tcp::socket& socket, session_kind kind);
    ~connection_watch();
    connection_watch(const connection_watch&) = delete;
    connection_watch& operator=(const connection_watch&) = delete;
    connection_watch(connection_watch&&) = delete;
    connection_watch& operator=(connection_watch&&) = delete;

    /// Notes why the connection ends, and the phases of its requests. Only the first reason counts.
    void note(connection_end end, const boost::system::error_code& error = {});

    /// Reports the requests without a complete answer, and one whose bytes were not read. Before the socket
    /// is closed; further calls have no effect.
    /// @param unread_end reason of the latter, unless one was noted.
    /// @param has_input whether bytes of a further request are in the connection's buffer.
    void close(connection_end unread_end, bool has_input = false);

private:
    friend class request_watch;
    void report(const unanswered_request& request, connection_end end);

    connection_ends& ends_;
    boost::asio::ip::tcp::socket& socket_;
    session_kind kind_;
    std::optional<connection_end> end_;
    boost::system::error_code error_;
    watched_list<request_watch> requests_;
    std::vector<unanswered_request> dropped_; ///< Requests that ended before the connection.
    bool is_in_message_ = false; ///< The bytes that come next belong to a request that was begun.
    bool is_closed_ = false;
};

/// What the connections of one thread share.
struct connection_ends {
    metrics* registry = nullptr; ///< Null before the start.
    log_limiter log;
    watched_list<connection_watch> open;
};

/// Reports all open connections, when the thread has ended.
void report_open_connections(connection_ends& ends);

/// Calls a function if an exception leaves the block.
class exception_note {
public:
    explicit exception_note(std::function<void()> on_exception);
    ~exception_note();
    exception_note(const exception_note&) = delete;
    exception_note& operator=(const exception_note&) = delete;
    exception_note(exception_note&&) = delete;
    exception_note& operator=(exception_note&&) = delete;

private:
    std::function<void()> on_exception_;
    int exceptions_before_;
};

} // namespace camphorknot::edge
