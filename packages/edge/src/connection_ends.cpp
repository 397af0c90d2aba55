#include "connection_ends.hpp"

#include <array>
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <exception>
#include <utility>

#include "sockets.hpp"
#include "traffic.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::array<std::string_view, 6> phase_names = {"unread",  "head",      "body",
                                                         "waiting", "at_target", "answering"};
constexpr std::array<std::string_view, 13> end_names = {
    "caller_left",  "closing_answer", "stopping",    "closed_for_another", "too_many_connections",
    "idle_timeout", "read_timeout",   "read_failed", "write_timeout",      "write_failed",
    "task_failed",  "process_ended",  "unknown"};
static_assert(phase_names.size() == static_cast<std::size_t>(request_phase::answering) + 1);
static_assert(end_names.size() == static_cast<std::size_t>(connection_end::unknown) + 1);

bool is_reset(const boost::system::error_code& error)
{
    return error == asio::error::connection_reset || error == asio::error::broken_pipe;
}

} // namespace

std::string_view name_of(request_phase phase)
{
    return phase_names.at(static_cast<std::size_t>(phase));
}

std::string_view name_of(connection_end end)
{
    return end_names.at(static_cast<std::size_t>(end));
}

connection_end end_of_read(const boost::system::error_code& error)
{
    if (error == beast::error::timeout) {
        return connection_end::read_timeout;
    }
    const bool is_end = error == asio::error::eof || error == http::error::end_of_stream ||
                        error == http::error::partial_message;
    return is_end || is_reset(error) ? connection_end::caller_left : connection_end::read_failed;
}

connection_end end_of_write(const boost::system::error_code& error)
{
    if (error == beast::error::timeout) {
        return connection_end::write_timeout;
    }
    return is_reset(error) ? connection_end::caller_left : connection_end::write_failed;
}

request_watch::~request_watch()
{
    if (connection_ == nullptr) {
        return;
    }
    try {
        connection_->dropped_.push_back(describe());
    } catch (const std::exception&) {
        return; // Without memory the report is lost.
    }
}

void request_watch::begin(connection_watch& connection)
{
    if (connection.is_closed_) {
        return;
    }
    connection_ = &connection;
    connection.is_in_message_ = true;
    connection.requests_.push_back(*this);
}

void request_watch::set_phase(request_phase phase)
{
    if (!is_frozen_) {
        phase_ = phase;
    }
}

void request_watch::end_read()
{
    set_phase(request_phase::waiting);
    if (connection_ != nullptr) {
        connection_->is_in_message_ = false;
    }
}

void request_watch::note(connection_end end)
{
    if (connection_ != nullptr) {
        connection_->note(end);
    }
}

void request_watch::end()
{
    if (connection_ != nullptr) {
        detach();
    }
}

unanswered_request request_watch::describe() const
{
    const bool is_sent = phase_ == request_phase::waiting && owner_.active_exchange != nullptr;
    const request_phase phase = is_sent && !is_frozen_ ? request_phase::at_target : phase_;
    return {owner_.metadata.attempt, phase, sent_to_};
}

void request_watch::freeze()
{
    phase_ = describe().phase;
    is_frozen_ = true;
}

void request_watch::detach()
{
    unlink();
    connection_ = nullptr;
}

connection_watch::connection_watch(connection_ends& ends, asio::ip::tcp::socket& socket, session_kind kind)
    : ends_(ends), socket_(socket), kind_(kind)
{
    ends_.open.push_back(*this);
}

connection_watch::~connection_watch()
{
    try {
        close(connection_end::too_many_connections);
    } catch (const std::exception&) {
        return; // Without memory the report is lost.
    }
}

void connection_watch::note(connection_end end, const boost::system::error_code& error)
{
    if (end_ || is_closed_) {
        return;
    }
    end_ = end;
    error_ = error;
    for (request_watch& request : requests_) {
        request.freeze();
    }
}

void connection_watch::close(connection_end unread_end, bool has_input)
{
    if (std::exchange(is_closed_, true)) {
        return;
    }
    unlink();
    std::vector<unanswered_request> unanswered = std::move(dropped_);
    while (!requests_.empty()) {
        request_watch& request = requests_.front();
        unanswered.push_back(request.describe());
        request.detach();
    }
    for (const unanswered_request& request : unanswered) {
        report(request, end_.value_or(connection_end::unknown));
    }
    if (!is_in_message_ && (has_input || peek(socket_) == socket_state::readable)) {
        report({}, end_.value_or(unread_end));
    }
}

void connection_watch::report(const unanswered_request& request, connection_end end)
{
    const std::string reason(name_of(end));
    const std::string phase(name_of(request.phase));
    counter(*ends_.registry, "camphorknot_unanswered_requests_total",
            "reason=\"" + reason + "\",phase=\"" + phase + "\"")
        .fetch_add(1, std::memory_order_relaxed);
    std::vector<log_field> fields = {{"request", request.attempt},
                                     {"phase", phase},
                                     {"reason", reason},
                                     {"port", kind_ == session_kind::caller ? "front" : "relay"}};
    if (!request.sent_to.empty()) {
        fields.emplace_back("sent_to", request.sent_to);
    }
    if (error_) {
        fields.emplace_back("error", error_.message());
    }
    const log_severity severity =
        end == connection_end::caller_left ? log_severity::info : log_severity::warning;
    log_event_limited(ends_.log, severity, "connection_closed_unanswered", std::move(fields));
}

void report_open_connections(connection_ends& ends)
{
    while (!ends.open.empty()) {
        connection_watch& connection = ends.open.front();
        connection.note(connection_end::process_ended);
        connection.close(connection_end::process_ended);
    }
}

exception_note::exception_note(std::function<void()> on_exception)
    : on_exception_(std::move(on_exception)), exceptions_before_(std::uncaught_exceptions())
{
}

exception_note::~exception_note()
{
    if (std::uncaught_exceptions() > exceptions_before_) {
        on_exception_();
    }
}

} // namespace camphorknot::edge
