#include <catch2/catch.hpp>

#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "camphorknot/tables.hpp"

using namespace camphorknot;

namespace {

const platform_call transaction_call{
    7, table_transaction{18'446'744'073'709'551'615ULL, {{"config/head", 3}}, {{"config/head", "4"}}}};

// Listens on 127.0.0.1 and sends @c answer to the first connection, then closes it.
struct single_answer_server {
    explicit single_answer_server(std::string answer)
        : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        void* generic = &address;
        socklen_t length = sizeof address;
        REQUIRE(::bind(listener, static_cast<sockaddr*>(generic), length) == 0);
        REQUIRE(::listen(listener, 1) == 0);
        ::getsockname(listener, static_cast<sockaddr*>(generic), &length);
        url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread = std::thread([this, answer = std::move(answer)] {
            const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            std::array<char, 4096> buffer{};
            const ssize_t received_bytes = ::recv(accepted, buffer.data(), buffer.size(), 0);
            request.assign(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(received_bytes, 0)));
            ::send(accepted, answer.data(), answer.size(), MSG_NOSIGNAL);
            ::close(accepted);
        });
    }
    ~single_answer_server()
    {
        ::shutdown(listener, SHUT_RDWR);
        thread.join();
        ::close(listener);
    }
    single_answer_server(const single_answer_server&) = delete;
    single_answer_server& operator=(const single_answer_server&) = delete;

    int listener;
    std::string url;
    std::string request;
    std::thread thread;
};

table_status call_status(const std::string& url)
{
    const metrics_handle registry = make_metrics();
    const auto client = start_platform_client({url, url, url}, *registry);
    REQUIRE(client);
    std::promise<table_status> status_promise;
    async_call(**client, transaction_call, [&status_promise](const platform_answer& answer) {
        status_promise.set_value(answer.answer.status);
    });
    return status_promise.get_future().get();
}

} // namespace

TEST_CASE("platform: a lost answer is unknown, a failed connect is unavailable", "[platform]")
{
    // Guards against reporting a write as not executed when it may have been, and the reverse.
    {
        const single_answer_server closing("");
        CHECK(call_status(closing.url) == table_status::unknown);
    }
    {
        const single_answer_server truncating("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"status\"");
        CHECK(call_status(truncating.url) == table_status::unknown);
    }
    {
        const single_answer_server complete(
            "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"status\":\"ok\"}");
        CHECK(call_status(complete.url) == table_status::ok);
    }
    CHECK(call_status("http://127.0.0.1:1") == table_status::unavailable);
}

TEST_CASE("platform: HTTP status codes map to table statuses", "[platform]")
{
    // Guards against treating a server error as proof that nothing was written.
    const auto status = [](unsigned code) {
        return decode_response(transaction_call, {true, code, "{}"}).status;
    };
    CHECK(status(200) == table_status::ok);
    CHECK(status(409) == table_status::conflict);
    CHECK(status(503) == table_status::unavailable);
    CHECK(status(500) == table_status::unknown);
    CHECK(status(0) == table_status::unknown);
    const platform_call read{8, table_read{"config/head"}};
    CHECK(decode_response(read, {true, 404, ""}).status == table_status::not_found);
    CHECK(decode_response(read, {true, 200, "{\"row\":1}"}).status == table_status::unknown);
    const auto row =
        decode_response(read, {true, 200, R"({"row":"config/head","value":"v","version":9})"}).row;
    REQUIRE(row);
    CHECK(row->version == 9);
}

TEST_CASE("platform: operation ids keep their precision and row names are escaped", "[platform]")
{
    // Guards against rounded operation ids and against row names that break out of the query parameter.
    const platform_request transaction = make_request(transaction_call);
    CHECK(transaction.body.find(R"("operation":"18446744073709551615")") != std::string::npos);
    CHECK(make_request({1, table_read{"move/a&b=c"}}).target == "/table/row?name=move/a%26b%3Dc");
    const auto list = read_instance_list(R"({"instances":[{"peer_address":"127.0.0.1:1","region":"luzon",
        "failure_domain":"luzon-a","state":"live"},{"peer_address":"127.0.0.1:2","state":"leaving"},{}]})");
    REQUIRE(list);
    REQUIRE(list->size() == 1);
    CHECK(list->front().region == make_id<region_id>("luzon"));
    CHECK_FALSE(read_instance_list("{}"));
}
