// Test fixture: instances that reach the servers through links of their own, which can be cut.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>

#include "fleet_fixture.hpp"
#include "standins/link_proxy.hpp"

namespace edge_tests {

using standins::link_fault;

struct cut_fixture : fleet_fixture {
    boost::asio::io_context link_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> link_work{
        link_context.get_executor()};
    std::thread link_thread;
    std::vector<std::vector<std::unique_ptr<standins::proxy>>> links; ///< By instance, then by server.

    cut_fixture(int server_count, int instance_count,
                const std::vector<std::string>& failure_domains = {"rvk-a", "rvk-b"})
        : fleet_fixture(server_count, 0)
    {
        domains = failure_domains;
        for (int number = 0; number < instance_count; ++number) {
            settings.egress_ip = local_ip();
            settings.egress_ip.replace(settings.egress_ip.find(".0."), 3,
                                       "." + std::to_string(number + 1) + ".");
            links.emplace_back();
            for (auto& server : servers) {
                const tcp::endpoint address(boost::asio::ip::make_address(local_ip()), server->port);
                links.back().push_back(std::make_unique<standins::proxy>(link_context, settings.egress_ip,
                                                                         address, server->port));
                standins::start(*links.back().back());
            }
            if (number == 0) {
                link_thread = std::thread([this] { link_context.run(); });
            }
            start_member(number);
        }
        std::this_thread::sleep_for(3s);
    }

    ~cut_fixture()
    {
        instances.clear();
        link_context.stop();
        link_thread.join();
    }
    cut_fixture(const cut_fixture&) = delete;
    cut_fixture& operator=(const cut_fixture&) = delete;
    cut_fixture(cut_fixture&&) = delete;
    cut_fixture& operator=(cut_fixture&&) = delete;

    /// Sets the fault of the instance's links to all servers.
    void set_links(std::size_t instance, link_fault fault)
    {
        std::promise<void> done;
        boost::asio::post(link_context, [&] {
            for (auto& link : links.at(instance)) {
                standins::set_fault(*link, fault);
            }
            done.set_value();
        });
        done.get_future().wait();
    }

    /// @return the requests that the instance has received, its own callers' and those passed on to it.
    long requests_at(std::size_t instance) const
    {
        const std::string page = get_from(all_settings.at(instance).metrics.port, "/metrics").body();
        const std::string name = "\ncamphorknot_requests_total ";
        const std::size_t at = page.find(name);
        return at == std::string::npos ? -1 : std::stol(page.substr(at + name.size()));
    }

    caller_response ask_at(std::size_t instance, const caller_request& request) const
    {
        return caller(all_settings.at(instance).front.port).ask(request);
    }
};

} // namespace edge_tests
