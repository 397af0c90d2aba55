/// @file
/// Stand-in for targets: many targets in one process, each with slots, a short queue, random service times
/// and shedding. Counts violations of the guarantees to targets: requests that carry a key or a ticket, and
/// operations that ran more than once.
///
/// Control port: GET /report; GET /operations (ids of the operations that ran); POST /behave
/// {"version":"v2","route":"/catalogue/","fail_percent":N,"slow_ms":N}.
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "http_server.hpp"

DEFINE_string(targets, "",
              "Groups of service,version,first_port,count,slots,service_ms separated by semicolons.");
DEFINE_int32(control_port, 7399, "Port on 127.0.0.1 for reports and behaviour.");
DEFINE_uint64(seed, 1, "Seed of the service times.");

namespace {

using nlohmann::json;
using namespace standins;

constexpr std::size_t queue_per_slot = 4;

struct target_group {
    std::string service;
    std::string version;
    std::uint16_t first_port = 0;
    std::uint16_t count = 0;
    std::size_t slots = 1;
    double service_ms = 5;
};

struct behaviour {
    std::string version;
    std::string path_prefix;
    int fail_percent = 0;
    int slow_ms = 0;
};

struct target {
    const target_group* group = nullptr;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::uint64_t served = 0;
    std::uint64_t shed = 0;
    std::size_t max_running = 0;
};

struct target_fleet {
    std::vector<target_group> groups;
    std::vector<std::unique_ptr<target>> targets;
    std::vector<behaviour> behaviours;
    std::map<std::string, std::uint64_t> operations; ///< Number of executions by operation id.
    std::map<std::string, std::uint64_t> served_by_version;
    std::uint64_t keys_seen = 0;
    std::mt19937_64 random;
};

std::vector<target_group> parse_groups(const std::string& text)
{
    std::vector<target_group> groups;
    std::istringstream list(text);
    for (std::string item; std::getline(list, item, ';');) {
        std::replace(item.begin(), item.end(), ',', ' ');
        std::istringstream fields(item);
        target_group group;
        if (fields >> group.service >> group.version >> group.first_port >> group.count >> group.slots >>
            group.service_ms) {
            groups.push_back(group);
        }
    }
    return groups;
}

behaviour find_behaviour(const target_fleet& fleet, const target_group& group, std::string_view path)
{
    behaviour match;
    for (const behaviour& rule : fleet.behaviours) {
        if (rule.version == group.version && path.starts_with(rule.path_prefix)) {
            match = rule;
        }
    }
    return match;
}

bool sample_percent(target_fleet& fleet, int percent)
{
    return std::uniform_int_distribution<int>(0, 99)(fleet.random) < percent;
}

std::int64_t service_time_ms(target_fleet& fleet, const target_group& group)
{
    std::gamma_distribution<double> time(4.0, group.service_ms / 4.0);
    return static_cast<std::int64_t>(time(fleet.random));
}

// Waits for a slot. Returns false if the queue is full; the request is then shed before it runs.
boost::asio::awaitable<bool> acquire_slot(target& this_target)
{
    if (this_target.running >= this_target.group->slots &&
        this_target.waiting >= queue_per_slot * this_target.group->slots) {
        ++this_target.shed;
        co_return false;
    }
    ++this_target.waiting;
    while (this_target.running >= this_target.group->slots) {
        co_await sleep_ms(1);
    }
    --this_target.waiting;
    ++this_target.running;
    this_target.max_running = std::max(this_target.max_running, this_target.running);
    co_return true;
}

void record_request(target_fleet& fleet, const http_request& request)
{
    if (request.find(boost::beast::http::field::authorization) != request.end() ||
        request.find("Camphorknot-Ticket") != request.end()) {
        ++fleet.keys_seen;
    }
    if (const auto id = request.find("Operation-Id"); id != request.end()) {
        ++fleet.operations[std::string(id->value())];
    }
}

http_response answer(const target_group& group, const http_request& request)
{
    const auto id = request.find("Request-Id");
    const auto customer = request.find("Camphorknot-Customer");
    const json body{{"request_id", id == request.end() ? "" : std::string(id->value())},
                    {"customer", customer == request.end() ? "" : std::string(customer->value())},
                    {"received_bytes", request.body().size()},
                    {"received_hash", std::hash<std::string>{}(request.body())},
                    {"version", group.version}};
    return json_response(200, body.dump());
}

boost::asio::awaitable<http_reply> handle(target_fleet& fleet, target& this_target, http_request& request)
{
    const target_group& group = *this_target.group;
    const bool has_slot = co_await acquire_slot(this_target);
    if (!has_slot) {
        http_response response = json_response(503, R"({"error":"shed"})");
        response.set("Shed-Before-Run", "1");
        co_return http_reply{std::move(response)};
    }
    record_request(fleet, request);
    const behaviour rule =
        find_behaviour(fleet, group, std::string_view(request.target().data(), request.target().size()));
    const std::int64_t time_ms = service_time_ms(fleet, group) + rule.slow_ms;
    co_await sleep_ms(time_ms);
    --this_target.running;
    ++this_target.served;
    ++fleet.served_by_version[group.service + "/" + group.version];
    if (sample_percent(fleet, rule.fail_percent)) {
        co_return http_reply{json_response(500, R"({"error":"injected"})")};
    }
    co_return http_reply{answer(group, request)};
}

std::string report(const target_fleet& fleet)
{
    std::uint64_t repeated = 0;
    for (const auto& [id, count] : fleet.operations) {
        repeated += count > 1 ? 1 : 0;
    }
    std::uint64_t shed = 0;
    std::size_t over_slots = 0;
    for (const auto& entry : fleet.targets) {
        shed += entry->shed;
        over_slots += entry->max_running > entry->group->slots ? 1 : 0;
    }
    return json{{"keys_seen", fleet.keys_seen},
                {"operations", fleet.operations.size()},
                {"doubled_operations", repeated},
                {"shed", shed},
                {"served_by_version", fleet.served_by_version},
                {"targets_over_slots", over_slots}}
        .dump();
}

http_response control(target_fleet& fleet, const http_request& request)
{
    if (request.target() == "/report") {
        return json_response(200, report(fleet));
    }
    if (request.target() == "/operations") {
        json ids = json::array();
        for (const auto& [id, count] : fleet.operations) {
            ids.push_back(id);
        }
        return json_response(200, ids.dump());
    }
    const json body = json::parse(request.body(), nullptr, false);
    if (request.target() != "/behave" || !body.is_object()) {
        return json_response(400, R"({"error":"malformed"})");
    }
    fleet.behaviours.push_back({body.value("version", ""), body.value("route", "/"),
                                body.value("fail_percent", 0), body.value("slow_ms", 0)});
    return json_response(200, R"({"status":"ok"})");
}

bool start_targets(boost::asio::io_context& context, target_fleet& fleet)
{
    for (const target_group& group : fleet.groups) {
        for (std::uint16_t i = 0; i < group.count; ++i) {
            fleet.targets.push_back(std::make_unique<target>(target{.group = &group}));
            target* this_target = fleet.targets.back().get();
            const auto handler = [&fleet, this_target](http_request& request) {
                return handle(fleet, *this_target, request);
            };
            if (!serve_http(context, static_cast<std::uint16_t>(group.first_port + i), handler)) {
                return false;
            }
        }
    }
    return !fleet.targets.empty();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Stand-in for the targets of the example deployments.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    target_fleet fleet;
    fleet.random.seed(FLAGS_seed);
    fleet.groups = parse_groups(FLAGS_targets);
    const auto control_handler = [&fleet](http_request& request) -> boost::asio::awaitable<http_reply> {
        co_return http_reply{control(fleet, request)};
    };
    if (!start_targets(context, fleet) ||
        !serve_http(context, static_cast<std::uint16_t>(FLAGS_control_port), control_handler)) {
        std::cerr << R"({"event":"start_failed"})"
                  << "\n";
        return 1;
    }
    stop_at_signal(context);
    context.run();
    return 0;
}
