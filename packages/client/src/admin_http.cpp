// The only file of the client that includes Beast, which is slow to compile.
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "camphorknot/client/admin.hpp"

namespace camphorknot::client {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::uint64_t max_answer_bytes = 64U << 20U;

std::optional<tcp::endpoint> parse_endpoint(const std::string& instance)
{
    const std::size_t colon = instance.rfind(':');
    boost::system::error_code error;
    const auto address = asio::ip::make_address(instance.substr(0, colon), error);
    const unsigned long port =
        colon == std::string::npos ? 0 : std::strtoul(instance.c_str() + colon + 1, nullptr, 10);
    if (error || port == 0 || port > 65'535) {
        return std::nullopt;
    }
    return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

http::request<http::string_body> make_request(const std::string& instance, const std::string& token,
                                              const admin_request& request)
{
    constexpr unsigned http_1_1 = 11;
    http::request<http::string_body> message{http::string_to_verb(request.method), request.target, http_1_1};
    message.set(http::field::host, instance);
    message.set(http::field::authorization, "Bearer " + token);
    message.set(http::field::connection, "close");
    if (!request.body.empty()) {
        message.set(http::field::content_type, "application/json");
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

asio::awaitable<void> exchange(tcp::endpoint endpoint, http::request<http::string_body> message,
                               std::chrono::milliseconds timeout, admin_answer& answer)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    co_await stream.async_connect(endpoint, asio::use_awaitable);
    answer.state = delivery::no_answer;
    co_await http::async_write(stream, message, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    answer.state = delivery::answered;
    answer.code = parser.get().result_int();
    answer.body = parser.get().body();
}

} // namespace

admin_answer send_to(const std::string& instance, const std::string& token, std::chrono::milliseconds timeout,
                     const admin_request& request)
{
    admin_answer answer;
    answer.instance = instance;
    const auto endpoint = parse_endpoint(instance);
    if (!endpoint) {
        return answer;
    }
    asio::io_context context;
    // answer.state already shows how far the request got.
    const auto ignore_error = [](const std::exception_ptr&) {};
    asio::co_spawn(context, exchange(*endpoint, make_request(instance, token, request), timeout, answer),
                   ignore_error);
    context.run();
    return answer;
}

admin_answer send(admin_client& client, const admin_request& request)
{
    admin_answer answer;
    for (std::size_t attempts = 0; attempts < client.instances.size(); ++attempts) {
        const std::size_t index = (client.preferred + attempts) % client.instances.size();
        answer = send_to(client.instances[index], client.token, client.timeout, request);
        const bool may_have_acted = answer.state == delivery::no_answer && request.method != "GET";
        if (answer.state == delivery::answered || may_have_acted) {
            client.preferred = index;
            return answer;
        }
    }
    return answer;
}

} // namespace camphorknot::client
