#include "callers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto caller_deadline = std::chrono::milliseconds(2500);
constexpr auto response_timeout = std::chrono::seconds(3);
constexpr auto connect_timeout = std::chrono::seconds(1);
constexpr int max_requests_per_connection = 12;

struct connection {
    explicit connection(asio::io_context& context) : stream(context) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

standins::caller_request make_request(const request_result& result, std::uint64_t object)
{
    standins::caller_request_spec spec;
    spec.attempt = result.attempt;
    spec.host = caller_host;
    spec.path = result.unsafe ? "/seal/1" : "/find/1";
    spec.key = result.key_number == 0 ? "free-key" : key_of(result.key_number);
    spec.object = std::to_string(object);
    spec.body = result.unsafe ? std::string(500, 'b') : std::string();
    spec.deadline = caller_deadline;
    return standins::make_caller_request(spec);
}

asio::awaitable<std::shared_ptr<connection>> connect_to(deployment& fleet, std::string ip,
                                                        boost::system::error_code& error)
{
    auto opened = std::make_shared<connection>(fleet.context);
    opened->stream.expires_after(connect_timeout);
    const tcp::endpoint front(asio::ip::make_address(ip), front_port);
    co_await opened->stream.async_connect(front, asio::redirect_error(asio::use_awaitable, error));
    co_return opened;
}

asio::awaitable<standins::caller_response> exchange(std::shared_ptr<connection> open_connection,
                                                    standins::caller_request request,
                                                    boost::system::error_code& error)
{
    open_connection->stream.expires_after(response_timeout);
    co_await http::async_write(open_connection->stream, request,
                               asio::redirect_error(asio::use_awaitable, error));
    standins::caller_response response;
    if (!error) {
        co_await http::async_read(open_connection->stream, open_connection->buffer, response,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    co_return response;
}

asio::awaitable<bool> send_request(std::shared_ptr<connection> open_connection, request_result& result,
                                   std::uint64_t object)
{
    boost::system::error_code error;
    result.sent = clock::now();
    const standins::caller_response response =
        co_await exchange(open_connection, make_request(result, object), error);
    result.ended = clock::now();
    if (error) {
        co_return false;
    }
    result.status = response.result_int();
    result.condemned = response.body().find("request_condemned") != std::string::npos;
    result.has_valid_signature = standins::is_signed_answer(response, result.attempt);
    if (result.status / 100 == 2 && !result.has_valid_signature) {
        constexpr std::size_t max_body = 40;
        result.unproved_answer =
            std::string(standins::signature_of(response)) + " \"" + response.body().substr(0, max_body) + '"';
    }
    co_return response.keep_alive();
}

asio::awaitable<void> run_caller(deployment& fleet, caller_log& log, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    asio::steady_timer pause_timer(fleet.context);
    while (log.running) {
        instance_process& instance = fleet.instances.at(random() % fleet.instances.size());
        boost::system::error_code error;
        auto open_connection = co_await connect_to(fleet, instance.ip, error);
        bool keep_open = !error;
        for (int count = 0; count < max_requests_per_connection && keep_open && log.running; ++count) {
            request_result result;
            result.attempt = "a" + std::to_string(log.next_attempt++);
            result.instance = instance.name;
            result.pid = instance.pid;
            result.unsafe = random() % 2 == 0;
            result.key_number = random() % 3 == 0 ? fleet.key_number : 0;
            result.connected = true;
            keep_open = co_await send_request(open_connection, result, random() % 30);
            log.results.push_back(result);
            pause_timer.expires_after(std::chrono::milliseconds(20 + random() % 120));
            co_await pause_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        pause_timer.expires_after(std::chrono::milliseconds(30));
        co_await pause_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<void> send_fatal_request(deployment& fleet, std::string attempt, std::string ip, bool unsafe)
{
    boost::system::error_code error;
    auto open_connection = co_await connect_to(fleet, ip, error);
    if (!error) {
        standins::caller_request_spec spec;
        spec.attempt = std::move(attempt);
        spec.host = caller_host;
        spec.path = (unsafe ? "/seal" : "/find") + std::string(fatal_path);
        spec.key = "free-key";
        spec.body = unsafe ? "b" : "";
        spec.deadline = caller_deadline;
        co_await exchange(open_connection, standins::make_caller_request(spec), error);
    }
}

// Single requests at short intervals, or copies at several instances at the same time and a longer pause.
asio::awaitable<void> run_fatal_caller(deployment& fleet, caller_log& log, std::uint64_t seed)
{
    constexpr std::size_t copies_of_batch = 4;
    std::mt19937_64 random(seed);
    const bool sends_batches = random() % 2 == 0;
    const bool unsafe = random() % 2 == 0;
    asio::steady_timer pause_timer(fleet.context);
    while (log.running) {
        for (std::size_t copy = 0; copy < (sends_batches ? copies_of_batch : 1); ++copy) {
            const instance_process& instance = fleet.instances.at(random() % fleet.instances.size());
            const std::string attempt = "fatal" + std::to_string(log.next_attempt++);
            asio::co_spawn(fleet.context, send_fatal_request(fleet, attempt, instance.ip, unsafe),
                           asio::detached);
        }
        const auto pause = sends_batches ? 1000 + random() % 3000 : 100 + random() % 300;
        pause_timer.expires_after(std::chrono::milliseconds(pause));
        boost::system::error_code error;
        co_await pause_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace

void start_fatal_caller(deployment& fleet, caller_log& log, std::uint64_t seed)
{
    asio::co_spawn(fleet.context, run_fatal_caller(fleet, log, seed), asio::detached);
}

void start_callers(deployment& fleet, caller_log& log, std::size_t count, std::mt19937_64& random)
{
    for (std::size_t index = 0; index < count; ++index) {
        asio::co_spawn(fleet.context, run_caller(fleet, log, random()), asio::detached);
    }
}

} // namespace soak
