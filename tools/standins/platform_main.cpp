/// @file
/// Stand-in for the platform: transactional table service, object store and instance list over HTTP, with
/// faults on request: POST /faults {"mode":"ok"|"down"|"lose_answers","delay_ms":N}.
#include <iostream>
#include <map>
#include <optional>
#include <set>

#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "http_server.hpp"

DEFINE_int32(port, 7000, "Port on 127.0.0.1.");

namespace {

using nlohmann::json;
using namespace standins;
namespace http = boost::beast::http;

struct table_row {
    std::string value;
    std::uint64_t version = 0;
};

struct platform {
    std::map<std::string, table_row> rows;
    std::set<std::string> operations; ///< Ids of the committed transactions.
    std::map<std::string, std::string> objects;
    std::string instances = R"({"instances":[]})";
    std::string fault = "ok";
    std::int64_t delay_ms = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

http_response read_row(platform& state, std::string_view target)
{
    ++state.reads;
    const std::string name = query_value(target, "name");
    const auto row = state.rows.find(name);
    if (row == state.rows.end()) {
        return json_response(404, R"({"status":"not_found"})");
    }
    return json_response(
        200, json{{"row", name}, {"value", row->second.value}, {"version", row->second.version}}.dump());
}

bool conditions_hold(const platform& state, const json& conditions)
{
    for (const json& condition : conditions) {
        const auto row = state.rows.find(condition.at("row").get<std::string>());
        const std::uint64_t version = row == state.rows.end() ? 0 : row->second.version;
        if (version != condition.at("version").get<std::uint64_t>()) {
            return false;
        }
    }
    return true;
}

http_response transact(platform& state, const std::string& body)
{
    const json request = json::parse(body, nullptr, false);
    if (!request.is_object() || !request.contains("operation") || !request.contains("writes")) {
        return json_response(400, R"({"status":"malformed"})");
    }
    ++state.writes;
    const std::string operation = request.at("operation").get<std::string>();
    if (state.operations.contains(operation)) {
        return json_response(200, R"({"status":"ok"})");
    }
    if (!conditions_hold(state, request.value("conditions", json::array()))) {
        return json_response(409, R"({"status":"conflict"})");
    }
    for (const json& write : request.at("writes")) {
        table_row& row = state.rows[write.at("row").get<std::string>()];
        row.value = write.at("value").get<std::string>();
        ++row.version;
    }
    state.operations.insert(operation);
    return json_response(200, R"({"status":"ok"})");
}

http_response read_operation(platform& state, std::string_view target)
{
    ++state.reads;
    const bool committed = state.operations.contains(query_value(target, "id"));
    return committed ? json_response(200, R"({"status":"ok"})")
                     : json_response(404, R"({"status":"not_found"})");
}

http_response handle_object(platform& state, const http_request& request)
{
    const std::string name(request.target().substr(std::string_view("/objects/").size()));
    if (request.method() == http::verb::put) {
        ++state.writes;
        state.objects[name] = request.body();
        return json_response(200, R"({"status":"ok"})");
    }
    ++state.reads;
    const auto object = state.objects.find(name);
    return object == state.objects.end() ? json_response(404, R"({"status":"not_found"})")
                                         : json_response(200, object->second);
}

http_response set_faults(platform& state, const std::string& body)
{
    const json request = json::parse(body, nullptr, false);
    if (!request.is_object()) {
        return json_response(400, R"({"status":"malformed"})");
    }
    state.fault = request.value("mode", state.fault);
    state.delay_ms = request.value("delay_ms", state.delay_ms);
    return json_response(200, R"({"status":"ok"})");
}

http_response route_request(platform& state, const http_request& request)
{
    const std::string_view target(request.target().data(), request.target().size());
    if (target.starts_with("/table/row")) {
        return read_row(state, target);
    }
    if (target.starts_with("/table/transaction")) {
        return transact(state, request.body());
    }
    if (target.starts_with("/table/operation")) {
        return read_operation(state, target);
    }
    if (target.starts_with("/objects/")) {
        return handle_object(state, request);
    }
    if (target == "/instances") {
        if (request.method() == http::verb::put) {
            state.instances = request.body();
        }
        return json_response(200, state.instances);
    }
    return json_response(404, R"({"status":"not_found"})");
}

boost::asio::awaitable<http_reply> handle(platform& state, http_request& request)
{
    if (request.target() == "/faults") {
        co_return http_reply{set_faults(state, request.body())};
    }
    if (request.target() == "/counts") {
        co_return http_reply{
            json_response(200, json{{"reads", state.reads}, {"writes", state.writes}}.dump())};
    }
    if (state.fault == "down") {
        co_return http_reply{json_response(503, R"({"status":"unavailable"})")};
    }
    if (state.delay_ms > 0) {
        co_await sleep_ms(state.delay_ms);
    }
    http_reply reply{route_request(state, request)};
    // The request was executed; only its answer is lost.
    reply.drop_connection = state.fault == "lose_answers" && request.method() != http::verb::get;
    co_return reply;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Stand-in for the platform's table service, object store and instance list.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    platform state;
    const auto handler = [&state](http_request& request) { return handle(state, request); };
    if (!standins::serve_http(context, static_cast<std::uint16_t>(FLAGS_port), handler)) {
        std::cerr << R"({"event":"bind_failed","port":)" << FLAGS_port << "}\n";
        return 1;
    }
    standins::stop_at_signal(context);
    context.run();
    return 0;
}
