// Test fixture: an instance with stand-ins for the store and for the servers, and a simple caller.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <stdexcept>
#include <thread>
#include <unistd.h>

#include "camphorknot/edge/instance.hpp"
#include "standins/server_standin.hpp"
#include "standins/store_standin.hpp"

namespace edge_tests {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;
using caller_request = http::request<http::string_body>;
using caller_response = http::response<http::string_body>;

/// @return a loopback address that depends on the process id, so that tests that run in parallel use
/// different ports.
inline const std::string& local_ip()
{
    static const std::string ip =
        "127." + std::to_string(20 + ::getpid() / 250 % 200) + ".0." + std::to_string(1 + ::getpid() % 250);
    return ip;
}

/// @return a free port. It is not reserved, so another socket may bind it first.
inline std::uint16_t free_port()
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address(local_ip()), 0));
    return acceptor.local_endpoint().port();
}

/// A caller's connection.
struct caller {
    boost::asio::io_context context;
    beast::tcp_stream stream{context};
    beast::flat_buffer buffer;

    explicit caller(std::uint16_t port)
    {
        stream.connect(tcp::endpoint(boost::asio::ip::make_address(local_ip()), port));
    }

    caller_response ask(const caller_request& request)
    {
        http::write(stream, request);
        caller_response response;
        http::read(stream, buffer, response);
        return response;
    }
};

inline caller_request make_request(http::verb method, const std::string& target, const std::string& attempt,
                                   const std::string& body = "")
{
    caller_request request(method, target, 11);
    request.set(http::field::host, "seals.example");
    request.set("Attempt-Id", attempt);
    request.set("Deadline-Ms", "3000");
    request.set(http::field::authorization, "Token key-one");
    if (method == http::verb::post) {
        request.body() = body;
    }
    request.prepare_payload();
    return request;
}

/// @return the fixture's configuration with @p version and with the customers in @p customers.
inline std::string configuration_row(int version, const std::string& customers)
{
    const std::string number = std::to_string(version);
    return R"({"config_version":"0000000)" + number + R"(","resources":[
      {"resource_kind":"routes","metadata":{"name":"find"},"spec":{"host":"seals.example","prefix":"/find/",
        "route_type":"safe","timeout_s":1.0,"target_latency_s":0.6,"priority":2,"service":"desk","max_attempts":2}},
      {"resource_kind":"routes","metadata":{"name":"seal"},"spec":{"host":"seals.example","prefix":"/seal/",
        "route_type":"unsafe","timeout_s":1.0,"target_latency_s":0.8,"priority":1,"service":"desk","max_attempts":2}},
      {"resource_kind":"routes","metadata":{"name":"manual"},"spec":{"host":"seals.example","prefix":"/manual/",
        "route_type":"download","timeout_s":1.0,"target_latency_s":0.8,"priority":2,"service":"desk","max_attempts":2}},
      {"resource_kind":"routes","metadata":{"name":"basket"},"spec":{"host":"seals.example","prefix":"/basket/",
        "route_type":"unsafe","target_latency_s":0.8,"priority":1,"service":"desk","max_attempts":2}},
      {"resource_kind":"routes","metadata":{"name":"odd"},"spec":{"host":"seals.example","prefix":"/odd/",
        "route_type":"teleport","timeout_s":1.0,"target_latency_s":0.8,"priority":2,"service":"desk","max_attempts":2}},
      {"resource_kind":"services","metadata":{"name":"desk"},"spec":{"health_path":"/health","max_conns":100}},)" +
           customers + R"({"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":4096,
        "max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}]})";
}

inline const std::string one_customer =
    R"({"resource_kind":"tenants","metadata":{"name":"gullfoss"},"spec":{"api_keys":["key-one"],"rate_per_s":0,
       "burst":0}},)";

/// Waits until @p condition is true or ten seconds have passed. @return whether it became true.
inline bool eventually(const std::function<bool()>& condition)
{
    for (int step = 0; step < 500; ++step) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

struct edge_fixture {
    standins::store_standin_handle store = standins::start_store(local_ip(), 0);
    std::vector<standins::server_standin_handle> servers;
    /// Failure domains of the servers, to which they belong in turn.
    std::vector<std::string> server_domains = {"rvk-a"};
    camphorknot::edge::edge_settings settings;
    camphorknot::edge::instance_handle running;

    /// Starts the instance, unless there is no server yet.
    explicit edge_fixture(int server_count = 1)
    {
        standins::put_row(*store, "op", "config", configuration_row(1, one_customer));
        for (int number = 1; number <= server_count; ++number) {
            add_server("i-" + std::to_string(number));
        }
        settings.store = {local_ip(), store->port};
        settings.bounds.retry_allowance = 50;
        if (server_count > 0) {
            start();
        }
    }

    void choose_ports()
    {
        const auto local = [] { return camphorknot::edge::endpoint{local_ip(), free_port()}; };
        settings.front = local();
        settings.readiness = local();
        settings.directory = local();
        settings.peers = local();
        settings.metrics = local();
        settings.relay = local();
        settings.identity.relay_address = local_ip() + ":" + std::to_string(settings.relay.port);
        settings.identity.front_address = local_ip() + ":" + std::to_string(settings.front.port);
        settings.identity.peer_address = local_ip() + ":" + std::to_string(settings.peers.port);
    }

    // Retries with other ports, since an outgoing connection may take a free port before it is bound.
    void start()
    {
        for (int attempt = 0; attempt < 10 && running == nullptr; ++attempt) {
            choose_ports();
            auto started = camphorknot::edge::start_instance(settings);
            if (started) {
                running = std::move(*started);
            }
        }
        if (running == nullptr) {
            throw std::runtime_error("cannot start an instance on free ports");
        }
        eventually(
            [&] { return ask(make_request(http::verb::get, "/find/0", "warm-up")).result_int() == 200; });
        for (auto& server : servers) {
            const std::lock_guard lock(server->guard);
            server->received.clear();
        }
    }

    void add_server(const std::string& id)
    {
        servers.push_back(standins::start_server(local_ip(), id));
        register_server(id, servers.back()->port, "ready", 100);
    }

    void register_server(const std::string& id, std::uint16_t port, const std::string& state,
                         std::int64_t born_ms)
    {
        const auto server = std::ranges::find_if(servers, [&](const auto& entry) { return entry->id == id; });
        const auto number = static_cast<std::size_t>(server - servers.begin());
        const std::string& domain = server_domains.at(number % server_domains.size());
        standins::put_row(*store, "servers", id,
                          standins::server_row("desk", local_ip() + ":" + std::to_string(port), domain, "v1",
                                               state, 0, born_ms));
    }

    caller_response ask(const caller_request& request) const
    {
        return caller(settings.front.port).ask(request);
    }

    caller_response get_from(std::uint16_t port, const std::string& target) const
    {
        return caller(port).ask(make_request(http::verb::get, target, ""));
    }

    /// @return how often servers ran the request with this id.
    std::size_t runs_of(const std::string& attempt)
    {
        std::size_t count = 0;
        for (auto& server : servers) {
            for (const standins::received_request& request : standins::received_requests(*server)) {
                count += request.attempt == attempt && request.ran ? 1 : 0;
            }
        }
        return count;
    }
};

} // namespace edge_tests
