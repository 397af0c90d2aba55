// Test fixture: an instance with many services, each with targets and a route of its own, so that the faults
// of one service's targets do not change what another one shows.
#pragma once

#include "camphorknot/steering/answer_promise.hpp"
#include "edge_fixture.hpp"

namespace edge_tests {

/// The only service of its route, and its targets.
struct service_pair {
    std::string name;
    std::string route_type = "unsafe";
    int timeout_ms = 5000;
    std::size_t server_count = 1;
    std::vector<standins::server_standin*> servers{}; ///< Filled in by the fixture.
};

struct pair_fixture : edge_fixture {
    std::vector<service_pair> services;

    /// Starts the targets, and the instance with a route `/NAME/` for each service.
    explicit pair_fixture(std::vector<service_pair> wanted) : edge_fixture(0), services(std::move(wanted))
    {
        add_server("i-desk");
        std::string resources = one_customer;
        for (service_pair& service : services) {
            resources += R"({"resource_kind":"routes","metadata":{"name":")" + service.name +
                         R"("},"spec":{"host":"seals.example","prefix":"/)" + service.name +
                         R"(/","route_type":")" + service.route_type + R"(","timeout_s":)" +
                         std::to_string(static_cast<double>(service.timeout_ms) / 1000) +
                         R"(,"target_latency_s":4.0,"priority":1,"service":")" + service.name +
                         R"(","max_attempts":2}},{"resource_kind":"services","metadata":{"name":")" +
                         service.name + R"("},"spec":{"health_path":"/health","max_conns":100}},)";
            for (std::size_t number = 1; number <= service.server_count; ++number) {
                const std::string id = "i-" + service.name + "-" + std::to_string(number);
                servers.push_back(standins::start_server(local_ip(), id));
                service.servers.push_back(servers.back().get());
                standins::put_row(*store, "servers", id,
                                  standins::server_row(
                                      service.name, local_ip() + ":" + std::to_string(servers.back()->port),
                                      "rvk-a", "v1", "ready", 0, 100));
            }
        }
        standins::put_row(*store, "op", "config", configuration_row(2, resources));
        start();
    }

    /// @return the answer to a request of the service's route.
    caller_response ask_service(const service_pair& service, const std::string& attempt,
                                const std::string& body = "basket") const
    {
        const bool is_safe = service.route_type == "safe";
        caller_request request = make_request(is_safe ? http::verb::get : http::verb::post,
                                              "/" + service.name + "/1", attempt, body);
        request.set("Deadline-Ms", "20000");
        return ask(request);
    }

    /// @return how often the service's targets received the request with this id.
    static std::size_t sends_of(const service_pair& service, const std::string& attempt)
    {
        std::size_t count = 0;
        for (standins::server_standin* server : service.servers) {
            const auto received = standins::received_requests(*server);
            count += static_cast<std::size_t>(
                std::ranges::count(received, attempt, &standins::received_request::attempt));
        }
        return count;
    }

    /// @return the value of a metric without labels; 0 if it is not published.
    long metric(const std::string& name) const
    {
        const std::string page = get_from(settings.metrics.port, "/metrics").body();
        const std::size_t at = page.find("\n" + name + " ");
        return at == std::string::npos ? 0 : std::stol(page.substr(at + name.size() + 2));
    }
};

/// @return whether the answer promises that the request has not run.
inline bool promises_not_run(const caller_response& answer)
{
    return camphorknot::steering::promises_not_run(answer.result_int());
}

/// Runs @p task for each service of the fixture, in several threads.
inline void for_each_service(const pair_fixture& fixture, const std::function<void(std::size_t)>& task)
{
    constexpr std::size_t thread_count = 24;
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < thread_count; ++number) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < fixture.services.size(); index = next++) {
                task(index);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
}

} // namespace edge_tests
