#include "servers.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace fleet_load {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using request_type = http::request<http::string_body>;

constexpr std::size_t max_queue = 6;
constexpr std::size_t max_body = std::size_t{4} * 1024 * 1024;

double draw_service_s(load_server& server)
{
    constexpr double tail_share = 0.04;
    constexpr double max_tail_s = 5;
    constexpr double mean_of_factor = 0.87; // With the tail, the mean is that of the profile.
    std::uniform_real_distribution<double> share(0, 1);
    if (share(server.random) < tail_share) {
        return std::uniform_real_distribution<double>(2.5 * server.profile.mean_s, max_tail_s)(server.random);
    }
    return server.profile.mean_s * mean_of_factor *
           std::uniform_real_distribution<double>(0.4, 1.6)(server.random);
}

// Ends a wait when the caller closes the connection during it.
struct connection_watch {
    explicit connection_watch(const asio::any_io_executor& executor)
        : timer(std::make_shared<asio::steady_timer>(executor))
    {
    }
    std::shared_ptr<asio::steady_timer> timer;
    bool left = false;
};

void watch_connection(const std::shared_ptr<tcp::socket>& socket,
                      const std::shared_ptr<connection_watch>& watch)
{
    socket->async_wait(tcp::socket::wait_read, [socket, watch](boost::system::error_code error) {
        char byte = 0;
        if (!error && recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) {
            watch->left = true;
            watch->timer->cancel();
        }
    });
}

std::string format_answer(const load_server& server, unsigned status, const std::string& fields,
                          const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Server-Load: " + std::to_string(server.running) + "," + std::to_string(server.queue.size()) +
           "," + std::to_string(slots_of_server) + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string signed_answer(const load_server& server, unsigned status, const std::string& attempt)
{
    std::string body = "answer of " + server.id;
    body.resize(std::max(body.size(), server.profile.answer_bytes), 'a');
    return format_answer(server, status,
                         "Attempt-Id: " + attempt + "\r\nServer-Signature: s-" + attempt + "\r\n", body);
}

std::string refusal(const load_server& server, unsigned status, const std::string& attempt)
{
    return format_answer(server, status, "Attempt-Id: " + attempt + "\r\nNot-Executed: 1\r\n", "");
}

clock::time_point deadline_of(const request_type& request)
{
    constexpr std::chrono::seconds without_deadline{30};
    const std::string text(request["Deadline-Ms"]);
    return clock::now() + (text.empty() ? std::chrono::milliseconds(without_deadline)
                                        : std::chrono::milliseconds(std::stoll(text)));
}

// Returns whether the request holds a slot; it doesn't after its deadline, or when the caller has left.
asio::awaitable<bool> wait_for_slot(load_server& server, connection_watch& watch, clock::time_point deadline)
{
    if (server.running < slots_of_server) {
        ++server.running;
        co_return true;
    }
    boost::system::error_code cancelled; // A slot, or the end of the connection.
    server.queue.push_back(watch.timer);
    watch.timer->expires_at(deadline);
    co_await watch.timer->async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    co_return std::erase(server.queue, watch.timer) == 0;
}

// Frees the slot, or hands it over to the next request that waits.
void release_slot(load_server& server)
{
    --server.running;
    if (!server.queue.empty()) {
        const auto next = server.queue.front();
        server.queue.pop_front();
        ++server.running;
        next->cancel();
    }
}

server_run& find_run(load_server& server, const std::string& attempt, std::size_t index)
{
    return server.log.at(attempt).at(index);
}

// Runs the request. Returns its answer; empty if the caller has left.
asio::awaitable<std::string> run_request(load_server& server, std::shared_ptr<connection_watch> watch,
                                         std::string attempt, clock::time_point deadline,
                                         std::size_t& run_index)
{
    boost::system::error_code cancelled;
    auto& runs = server.log[attempt];
    run_index = runs.size();
    runs.push_back({server.id, clock::now()});
    const auto service = std::chrono::duration<double>(draw_service_s(server));
    const auto done = clock::now() + std::chrono::duration_cast<clock::duration>(service);
    watch->timer->expires_at(std::min(done, deadline));
    co_await watch->timer->async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    release_slot(server);
    if (watch->left) {
        server_run& run = find_run(server, attempt, run_index);
        run.end = run_end::left;
        run.ended = clock::now();
        co_return std::string();
    }
    co_return signed_answer(server, done <= deadline ? 200 : 504, attempt);
}

// Returns whether the connection stays open.
asio::awaitable<bool> answer_request(load_server& server, std::shared_ptr<tcp::socket> socket,
                                     const request_type& request)
{
    constexpr std::size_t no_run = ~std::size_t{0};
    const std::string attempt(request["Attempt-Id"]);
    const std::string expected(request["Expect-Instance"]);
    const auto deadline = deadline_of(request);
    std::size_t run_index = no_run;
    std::string text;
    auto watch = std::make_shared<connection_watch>(socket->get_executor());
    if (request.target() == "/health") {
        text = format_answer(server, server.leaving ? 503 : 200, "Instance-Id: " + server.id + "\r\n", "");
    } else if (!expected.empty() && expected != server.id) {
        text = refusal(server, 421, attempt);
    } else if (server.running >= slots_of_server && server.queue.size() >= max_queue) {
        text = refusal(server, 503, attempt);
    } else {
        watch_connection(socket, watch);
        const bool has_slot = co_await wait_for_slot(server, *watch, deadline);
        if (has_slot && !watch->left) {
            text = co_await run_request(server, watch, attempt, deadline, run_index);
        } else {
            if (has_slot) {
                release_slot(server);
            }
            text = watch->left ? std::string() : refusal(server, 503, attempt);
        }
        boost::system::error_code ignored; // The socket may be closed.
        socket->cancel(ignored);
    }
    if (text.empty()) {
        co_return false;
    }
    boost::system::error_code error;
    co_await asio::async_write(*socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    if (run_index != no_run) {
        server_run& run = find_run(server, attempt, run_index);
        run.end = error ? run_end::left : run_end::answered;
        run.ended = clock::now();
    }
    co_return !error;
}

asio::awaitable<void> serve(load_server& server, std::shared_ptr<tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    bool keep_open = true;
    while (keep_open && !server.ended) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body);
        server.idle.push_back(socket);
        co_await http::async_read_header(*socket, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        std::erase_if(server.idle, [&](const auto& open) { return open.expired() || open.lock() == socket; });
        if (error) {
            break;
        }
        co_await http::async_read(*socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        const request_type request = parser.release();
        keep_open = co_await answer_request(server, socket, request);
    }
}

asio::awaitable<void> accept(load_server& server)
{
    boost::system::error_code error;
    while (!error) {
        auto socket = std::make_shared<tcp::socket>(server.acceptor.get_executor());
        co_await server.acceptor.async_accept(*socket, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            boost::system::error_code ignored; // The caller may have gone already.
            socket->set_option(tcp::no_delay(true), ignored);
            asio::co_spawn(server.acceptor.get_executor(), serve(server, std::move(socket)), asio::detached);
        }
    }
}

} // namespace

load_server::load_server(boost::asio::io_context& context, run_log& runs, const service_profile& service,
                         std::string name, const std::string& ip, std::uint64_t seed)
    : log(runs), profile(service), id(std::move(name)), random(seed),
      acceptor(context, tcp::endpoint(asio::ip::make_address(ip), 0))
{
    address = ip + ":" + std::to_string(acceptor.local_endpoint().port());
}

void start(load_server& server)
{
    asio::co_spawn(server.acceptor.get_executor(), accept(server), asio::detached);
}

void end(load_server& server)
{
    boost::system::error_code ignored; // The sockets may be closed already.
    server.ended = true;
    server.acceptor.close(ignored);
    for (const auto& open : server.idle) {
        if (const auto socket = open.lock()) {
            socket->close(ignored);
        }
    }
}

} // namespace fleet_load
