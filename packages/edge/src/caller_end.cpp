#include "caller_end.hpp"

#include <poll.h>
#include <string_view>
#include <sys/socket.h>

#include "sockets.hpp"

namespace camphorknot::edge {

namespace {

constexpr std::string_view interim_answer = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned first_version_with_interim_answers = 11;

} // namespace

caller_state find_caller_state(session& connection)
{
    const int descriptor = connection.stream.socket().native_handle();
    pollfd entry{descriptor, POLLRDHUP, 0};
    if (descriptor < 0 || ::poll(&entry, 1, 0) < 0) {
        return caller_state::gone;
    }
    const auto events = static_cast<unsigned>(entry.revents);
    if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
        return caller_state::gone;
    }
    return (events & POLLRDHUP) != 0 ? caller_state::finished : caller_state::present;
}

caller_state ask_caller(session& connection, const caller_request& first)
{
    const bool takes_interim = connection.kind == session_kind::caller &&
                               first.message.version() >= first_version_with_interim_answers;
    if (!takes_interim || find_caller_state(connection) == caller_state::gone) {
        return caller_state::gone;
    }
    if (connection.is_writing) {
        return caller_state::finished; // The answer itself leads to a reset.
    }
    const auto sent = ::send(connection.stream.socket().native_handle(), interim_answer.data(),
                             interim_answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0 && static_cast<std::size_t>(sent) < interim_answer.size()) {
        abort_connection(connection.stream.socket()); // Nothing else can be written after a part.
        return caller_state::gone;
    }
    const bool is_full = sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return sent > 0 || is_full ? caller_state::finished : caller_state::gone;
}

} // namespace camphorknot::edge
