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
constexpr auto answer_limit = std::chrono::seconds(3);
constexpr auto connect_limit = std::chrono::seconds(1);
constexpr int requests_on_connection = 12;

struct connection {
    explicit connection(asio::io_context& context) : stream(context) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

standins::caller_request make_request(const told_answer& asked, std::uint64_t object)
{
    standins::caller_request_spec question;
    question.attempt = asked.attempt;
    question.host = caller_host;
    question.path = asked.unsafe ? "/seal/1" : "/find/1";
    question.key = asked.key_number == 0 ? "free-key" : key_of(asked.key_number);
    question.object = std::to_string(object);
    question.body = asked.unsafe ? std::string(500, 'b') : std::string();
    question.deadline = caller_deadline;
    return standins::make_caller_request(question);
}

asio::awaitable<bool> ask(std::shared_ptr<connection> over, told_answer& asked, std::uint64_t object)
{
    const auto request = make_request(asked, object);
    boost::system::error_code error;
    over->stream.expires_after(answer_limit);
    asked.sent = clock::now();
    co_await http::async_write(over->stream, request, asio::redirect_error(asio::use_awaitable, error));
    http::response<http::string_body> response;
    if (!error) {
        co_await http::async_read(over->stream, over->buffer, response,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    asked.ended = clock::now();
    if (error) {
        co_return false;
    }
    asked.status = response.result_int();
    asked.signed_rightly = standins::is_signed_answer(response, asked.attempt);
    co_return response.keep_alive();
}

asio::awaitable<void> run_caller(deployment& fleet, caller_log& log, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    asio::steady_timer pause(fleet.context);
    while (log.running) {
        instance_process& instance = fleet.instances.at(random() % fleet.instances.size());
        auto over = std::make_shared<connection>(fleet.context);
        boost::system::error_code error;
        over->stream.expires_after(connect_limit);
        const tcp::endpoint front(asio::ip::make_address(instance.ip), front_port);
        co_await over->stream.async_connect(front, asio::redirect_error(asio::use_awaitable, error));
        bool goes_on = !error;
        for (int count = 0; count < requests_on_connection && goes_on && log.running; ++count) {
            told_answer asked;
            asked.attempt = "a" + std::to_string(log.next_attempt++);
            asked.instance = instance.name;
            asked.pid = instance.pid;
            asked.unsafe = random() % 2 == 0;
            asked.key_number = random() % 3 == 0 ? fleet.key_number : 0;
            asked.connected = true;
            goes_on = co_await ask(over, asked, random() % 30);
            log.answers.push_back(asked);
            pause.expires_after(std::chrono::milliseconds(20 + random() % 120));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        pause.expires_after(std::chrono::milliseconds(30));
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace

void start_callers(deployment& fleet, caller_log& log, std::size_t count, std::mt19937_64& random)
{
    for (std::size_t index = 0; index < count; ++index) {
        asio::co_spawn(fleet.context, run_caller(fleet, log, random()), asio::detached);
    }
}

} // namespace soak
