#include "limited_port.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/resource.h>

namespace camphorknot::edge {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Pause after a connection could not be accepted.
constexpr duration accept_retry_delay = std::chrono::milliseconds(50);

void show_open(const limited_port& port)
{
    port.open->store(static_cast<std::int64_t>(port.table.connections.size()), std::memory_order_relaxed);
}

// An exception ends the connection only, not the loop that accepts.
void accept_guarded(limited_port& port, const std::function<void(tcp::socket)>& on_accepted,
                    tcp::socket socket)
{
    try {
        on_accepted(std::move(socket));
    } catch (const std::exception& exception) {
        log_event_limited(port.log, log_severity::error, "accept_failed",
                          {{"port", port.name}, {"error", exception.what()}});
    }
}

} // namespace

steering::connection_limits find_connection_limits(std::size_t max_descriptors, double memory_mb)
{
    rlimit limit{};
    const bool is_known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
    const std::size_t own = is_known ? limit.rlim_cur : 1024;
    return steering::limits_of_machine(max_descriptors == 0 ? own : std::min(own, max_descriptors),
                                       memory_mb);
}

void open_limits(limited_port& port, std::string_view name, std::size_t limit, metrics& registry)
{
    port.name = name;
    port.table.limit = limit;
    const std::string label = "port=\"" + port.name + "\"";
    port.open = &gauge(registry, "camphorknot_open_connections", label);
    port.refused = &counter(registry, "camphorknot_refused_connections_total", label);
    port.closed = &counter(registry, "camphorknot_closed_connections_total", label);
}

counted_connection::~counted_connection()
{
    steering::remove_connection(port_.table, id_);
    port_.close_connection.erase(id_);
    show_open(port_);
}

void counted_connection::set_phase(steering::connection_phase phase, time_point now)
{
    steering::set_phase(port_.table, id_, phase, now);
}

bool counted_connection::is_closing() const
{
    return port_.table.connections.at(id_).is_closing;
}

counted_connection_handle admit_connection(limited_port& port, std::function<void()> close)
{
    const steering::connection_admission admission = steering::add_connection(port.table, boot_now());
    if (!admission.id) {
        port.refused->fetch_add(1, std::memory_order_relaxed);
        log_event_limited(port.log, log_severity::warning, "too_many_connections",
                          {{"port", port.name}, {"limit", std::to_string(port.table.limit)}});
        return nullptr;
    }
    if (admission.closed) {
        port.closed->fetch_add(1, std::memory_order_relaxed);
        log_event_limited(port.log, log_severity::info, "connection_closed_for_another",
                          {{"port", port.name}, {"limit", std::to_string(port.table.limit)}});
        const auto found = port.close_connection.find(*admission.closed);
        if (found != port.close_connection.end()) {
            found->second();
        }
    }
    port.close_connection.emplace(*admission.id, std::move(close));
    show_open(port);
    return std::make_shared<counted_connection>(port, *admission.id);
}

asio::awaitable<void> accept_connections(tcp::acceptor& acceptor, limited_port& port,
                                         std::function<void(tcp::socket)> on_accepted)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer pause(executor);
    while (acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket(executor);
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            accept_guarded(port, on_accepted, std::move(socket));
        } else if (error != asio::error::operation_aborted) {
            log_event_limited(port.log, log_severity::warning, "accept_failed",
                              {{"port", port.name}, {"error", error.message()}});
            pause.expires_after(accept_retry_delay);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }
}

void accept_last_connections(tcp::acceptor& acceptor, limited_port& port,
                             const std::function<void(tcp::socket)>& on_accepted)
{
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, error);
        if (!error) {
            accept_guarded(port, on_accepted, std::move(socket));
        }
    }
    if (error != asio::error::would_block) {
        log_event_limited(port.log, log_severity::warning, "accept_failed",
                          {{"port", port.name}, {"error", error.message()}});
        return;
    }
    acceptor.close(error);
}

} // namespace camphorknot::edge
