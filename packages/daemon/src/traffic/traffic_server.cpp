#include "camphorknot/daemon/traffic_server.hpp"

#include <sys/socket.h>
#include <thread>

#include "relay.hpp"

namespace camphorknot {

struct traffic_server {
    daemon_internal::server_shared shared;
    std::vector<std::unique_ptr<daemon_internal::worker>> workers;
    std::vector<std::unique_ptr<daemon_internal::tcp::acceptor>> acceptors;
    std::vector<std::thread> threads;
    std::uint16_t port = 0;
};

namespace daemon_internal {
namespace {

// Pause after a failed accept: while no file descriptors are free, an immediate next accept would busy-loop.
constexpr auto accept_pause = std::chrono::milliseconds(50);

// Time for connections to end by themselves when the server stops.
constexpr auto stop_timeout = std::chrono::seconds(1);

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

traffic_counters make_counters(metrics& registry)
{
    traffic_counters server_counters;
    server_counters.refusals = make_refusal_counters(registry, "camphorknot_refusals_total");
    server_counters.requests = &counter(registry, "camphorknot_requests_total", "");
    server_counters.lookups = &counter(registry, "camphorknot_lookups_total", "");
    server_counters.connections = &counter(registry, "camphorknot_caller_connections_total", "");
    server_counters.connections_refused =
        &counter(registry, "camphorknot_caller_connections_refused_total", "");
    server_counters.retries = &counter(registry, "camphorknot_retries_total", "");
    server_counters.hedges = &counter(registry, "camphorknot_hedges_total", "");
    server_counters.broken_answers = &counter(registry, "camphorknot_broken_answers_total", "");
    server_counters.target_connects = &counter(registry, "camphorknot_target_connects_total", "");
    server_counters.silent_connections = &counter(registry, "camphorknot_silent_connections_total", "");
    server_counters.request_latency = &latency(registry, "camphorknot_request_seconds", "");
    return server_counters;
}

listen_error open_acceptor(worker& owner, const tcp::endpoint& endpoint, tcp::acceptor& acceptor)
{
    (void)owner;
    error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        // Each thread has its own listening socket; the kernel distributes new connections over them.
        acceptor.set_option(reuse_port(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec == asio::error::address_in_use) {
        return listen_error::address_in_use;
    }
    return ec ? listen_error::refused_by_system : listen_error::none;
}

// Answers a connection beyond the limit with instance_busy and closes it, without reading a request.
awaitable<void> refuse_connection(caller_handle caller)
{
    const std::string bytes =
        refusal_bytes({refusal_reason::instance_busy, outcome::not_run, std::chrono::seconds(1)}, false);
    arm(caller->stream, std::chrono::seconds(1));
    error_code ec;
    co_await asio::async_write(caller->stream.socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    close_socket(caller->stream.socket);
}

void start_connection(worker& owner, tcp::socket socket)
{
    server_shared& shared = owner.shared;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto caller = std::make_shared<caller_connection>(owner, std::move(socket));
    if (shared.connections.load() >= shared.settings.limits.connections) {
        shared.counters.connections_refused->fetch_add(1, std::memory_order_relaxed);
        count_refusal(shared.counters.refusals, refusal_reason::instance_busy);
        asio::co_spawn(owner.io, refuse_connection(std::move(caller)), asio::detached);
        return;
    }
    ++shared.connections;
    shared.counters.connections->fetch_add(1, std::memory_order_relaxed);
    asio::co_spawn(owner.io, serve_caller(std::move(caller)), asio::detached);
}

awaitable<void> accept_callers(worker& owner, tcp::acceptor& acceptor)
{
    asio::steady_timer pause(owner.io);
    while (acceptor.is_open()) {
        tcp::socket socket(owner.io);
        error_code ec;
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            start_connection(owner, std::move(socket));
            continue;
        }
        pause.expires_after(accept_pause);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

listen_error listen(traffic_server& server, tcp::endpoint endpoint)
{
    for (std::size_t index = 0; index < server.shared.settings.threads; ++index) {
        auto owner = std::make_unique<worker>(server.shared);
        auto acceptor = std::make_unique<tcp::acceptor>(owner->io);
        const listen_error error = open_acceptor(*owner, endpoint, *acceptor);
        server.workers.push_back(std::move(owner));
        if (error != listen_error::none) {
            return error;
        }
        error_code ignored;
        server.port = acceptor->local_endpoint(ignored).port();
        endpoint.port(server.port);
        server.acceptors.push_back(std::move(acceptor));
    }
    return listen_error::none;
}

void run_threads(traffic_server& server)
{
    for (std::size_t index = 0; index < server.workers.size(); ++index) {
        worker& owner = *server.workers[index];
        asio::co_spawn(owner.io, sweep(owner), asio::detached);
        asio::co_spawn(owner.io, accept_callers(owner, *server.acceptors[index]), asio::detached);
        server.threads.emplace_back([&owner] { owner.io.run(); });
    }
}

} // namespace
} // namespace daemon_internal

void traffic_server_deleter::operator()(traffic_server* server) const
{
    if (server != nullptr) {
        stop(*server);
    }
    delete server;
}

result<traffic_server_handle, listen_error>
start_traffic_server(const traffic_settings& settings, traffic_decisions decisions, metrics& registry)
{
    const auto endpoint = daemon_internal::parse_endpoint(settings.address);
    if (!endpoint) {
        return fail<traffic_server_handle>(listen_error::address_malformed);
    }
    traffic_server_handle server(new traffic_server);
    server->shared.settings = settings;
    server->shared.decisions = std::move(decisions);
    server->shared.counters = daemon_internal::make_counters(registry);
    const listen_error error = daemon_internal::listen(*server, *endpoint);
    if (error != listen_error::none) {
        return fail<traffic_server_handle>(error);
    }
    daemon_internal::run_threads(*server);
    return succeed<listen_error>(std::move(server));
}

std::uint16_t port_of(const traffic_server& server)
{
    return server.port;
}

std::size_t requests_in_flight(const traffic_server& server)
{
    return server.shared.in_flight.load();
}

void begin_drain(traffic_server& server)
{
    server.shared.draining = true;
}

void stop(traffic_server& server)
{
    if (server.shared.stopping.exchange(true)) {
        return;
    }
    for (std::size_t index = 0; index < server.threads.size(); ++index) {
        daemon_internal::worker& owner = *server.workers[index];
        daemon_internal::tcp::acceptor& acceptor = *server.acceptors[index];
        daemon_internal::asio::post(owner.io, [&owner, &acceptor] {
            daemon_internal::error_code ignored;
            acceptor.close(ignored);
            for (daemon_internal::timed_socket* stream : owner.sockets) {
                stream->deadline = time_point::min();
            }
        });
    }
    const time_point give_up_at = boot_now() + daemon_internal::stop_timeout;
    while (server.shared.connections.load() > 0 && boot_now() < give_up_at) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    for (const auto& owner : server.workers) {
        owner->io.stop();
    }
    for (std::thread& thread : server.threads) {
        thread.join();
    }
}

} // namespace camphorknot
