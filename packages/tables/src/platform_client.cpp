#include "camphorknot/tables.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <thread>

#include "camphorknot/kernel/clock.hpp"

#include "http_client.hpp"

namespace camphorknot {

struct platform_client {
    platform_settings settings;
    tables_internal::server_address table;
    tables_internal::server_address object_store;
    tables_internal::server_address instance_list;
    std::array<std::atomic<std::uint64_t>*, 5> answer_counters{}; ///< Indexed by table_status.
    latency_histogram* latency = nullptr;
    // Accessed only by the client's thread.
    std::size_t running_requests = 0;
    std::deque<std::function<void()>> queued_requests;
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard{io.get_executor()};
    std::thread thread;
};

namespace {

using tables_internal::server_address;

// Beyond this length, requests would wait in the queue for longer than their answers are useful.
constexpr std::size_t max_queued_requests = 1024;

const server_address& select_server(const platform_client& client, const platform_call& call)
{
    const bool is_object_call = std::holds_alternative<object_read>(call.request) ||
                                std::holds_alternative<object_write>(call.request);
    return is_object_call ? client.object_store : client.table;
}

void start_queued_requests(platform_client& client)
{
    while (client.running_requests < client.settings.max_concurrent_requests &&
           !client.queued_requests.empty()) {
        const std::function<void()> next = std::move(client.queued_requests.front());
        client.queued_requests.pop_front();
        ++client.running_requests;
        next();
    }
}

// Sends a request as soon as fewer than max_concurrent_requests are running. If the queue is full, reports at
// once that nothing was sent.
void enqueue(platform_client& client, const server_address& server, const platform_request& request,
             const std::function<void(platform_response)>& on_response)
{
    boost::asio::post(client.io, [&client, server, request, on_response] {
        if (client.queued_requests.size() >= max_queued_requests) {
            on_response({});
            return;
        }
        client.queued_requests.emplace_back([&client, server, request, on_response] {
            const time_point started = boot_now();
            const auto done = [&client, on_response, started](platform_response response) {
                --client.running_requests;
                observe(*client.latency, boot_now() - started);
                on_response(std::move(response));
                start_queued_requests(client);
            };
            tables_internal::async_fetch(client.io, server, request, client.settings.timeout, done);
        });
        start_queued_requests(client);
    });
}

platform_error parse_addresses(platform_client& client)
{
    const auto table = tables_internal::parse_url(client.settings.table_url);
    const auto object_store = tables_internal::parse_url(client.settings.object_url);
    const auto instance_list = tables_internal::parse_url(client.settings.instance_list_url);
    if (!table) {
        return platform_error::table_url;
    }
    if (!object_store) {
        return platform_error::object_url;
    }
    if (!instance_list) {
        return platform_error::instance_list_url;
    }
    client.table = *table;
    client.object_store = *object_store;
    client.instance_list = *instance_list;
    return platform_error::none;
}

} // namespace

void platform_client_deleter::operator()(platform_client* client) const
{
    if (client != nullptr && client->thread.joinable()) {
        client->io.stop();
        client->thread.join();
    }
    delete client;
}

result<platform_client_handle, platform_error> start_platform_client(const platform_settings& settings,
                                                                     metrics& registry)
{
    platform_client_handle client(new platform_client);
    client->settings = settings;
    const platform_error error = parse_addresses(*client);
    if (error != platform_error::none) {
        return fail<platform_client_handle>(error);
    }
    constexpr std::array<std::string_view, 5> status_names = {"ok", "conflict", "not_found", "unavailable",
                                                              "unknown"};
    for (std::size_t index = 0; index < status_names.size(); ++index) {
        const std::string labels = "status=\"" + std::string(status_names.at(index)) + "\"";
        client->answer_counters.at(index) = &counter(registry, "camphorknot_platform_answers_total", labels);
    }
    client->latency = &latency(registry, "camphorknot_platform_seconds", "");
    client->thread = std::thread([state = client.get()] { state->io.run(); });
    return succeed<platform_error>(std::move(client));
}

void async_call(platform_client& client, const platform_call& call,
                std::function<void(const platform_answer&)> on_answer)
{
    const auto on_response = [&client, call,
                              on_answer = std::move(on_answer)](const platform_response& response) {
        const platform_answer answer{call.id, decode_response(call, response)};
        client.answer_counters.at(static_cast<std::size_t>(answer.answer.status))
            ->fetch_add(1, std::memory_order_relaxed);
        on_answer(answer);
    };
    enqueue(client, select_server(client, call), make_request(call), on_response);
}

void async_list_instances(platform_client& client,
                          std::function<void(std::optional<std::vector<instance_contact>>)> on_list)
{
    const auto on_response = [on_list = std::move(on_list)](const platform_response& response) {
        on_list(response.status == 200 ? read_instance_list(response.body) : std::nullopt);
    };
    enqueue(client, client.instance_list, {"GET", "/instances", {}}, on_response);
}

} // namespace camphorknot
