// Test fixture: several instances with one store and shared servers.
#pragma once

#include <atomic>

#include "edge_fixture.hpp"

namespace edge_tests {

struct fleet_fixture : edge_fixture {
    std::vector<camphorknot::edge::edge_settings> all_settings;
    std::vector<camphorknot::edge::instance_handle> instances;
    /// Failure domains, to which the instances belong in turn; the part before the dash is the region.
    std::vector<std::string> domains = {"rvk-a", "rvk-b"};

    fleet_fixture(int server_count, int instance_count,
                  const std::vector<std::string>& target_domains = {"rvk-a"})
        : edge_fixture(0)
    {
        server_domains = target_domains;
        for (int number = 1; number <= server_count; ++number) {
            add_server("i-" + std::to_string(number));
        }
        for (int number = 0; number < instance_count; ++number) {
            start_member(number);
        }
        // Each instance has received the statuses of the others by then.
        std::this_thread::sleep_for(3s);
        for (auto& server : servers) {
            const std::lock_guard lock(server->guard);
            server->received.clear();
        }
    }

    void start_member(int number)
    {
        settings.identity.name = "edge-" + std::to_string(number);
        const auto region_of = [](const std::string& domain) { return domain.substr(0, domain.find('-')); };
        settings.identity.failure_domain = domains.at(static_cast<std::size_t>(number) % domains.size());
        settings.identity.region = region_of(settings.identity.failure_domain);
        settings.identity.incarnation = static_cast<std::uint64_t>(number) + 1;
        settings.failure_domains.clear();
        for (const std::string& domain : domains) {
            settings.failure_domains[domain] = region_of(domain);
        }
        settings.seeds.clear();
        for (const auto& earlier : all_settings) {
            settings.seeds.push_back(earlier.identity.peer_address);
        }
        running.reset();
        start();
        all_settings.push_back(settings);
        instances.push_back(std::move(running));
    }
};

/// Sends requests one after the other in each of @p callers threads, for @p time, each to the next instance.
inline void press(const fleet_fixture& fixture, int callers, std::chrono::milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    std::atomic<int> next{0};
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(callers));
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&] {
            while (std::chrono::steady_clock::now() < end) {
                const int id = ++next;
                const auto& instance =
                    fixture.all_settings.at(static_cast<std::size_t>(id) % fixture.all_settings.size());
                caller connection(instance.front.port);
                connection.ask(
                    make_request(http::verb::get, "/find/" + std::to_string(id), "p" + std::to_string(id)));
                std::this_thread::sleep_for(10ms);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
}

} // namespace edge_tests
