#include "fake_admin.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace client_test {

using namespace camphorknot;
using nlohmann::json;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

fake_answer fake_admin::handle_change(const std::string& target, const std::string& body)
{
    ++change_requests;
    if (lose_change) {
        return {0, "", true};
    }
    if (before_change) {
        before_change();
    }
    const auto change = decode_change(body);
    const std::uint64_t expected = std::stoull(target.substr(target.find('=') + 1));
    if (!change) {
        return {400, R"({"error":"malformed_change"})"};
    }
    json state{{"status", "accepted"}, {"version", expected + 1}, {"problems", json::array()}};
    const auto problems = validate(current_configuration, *change);
    if (!forced_status.empty()) {
        state["status"] = forced_status;
    } else if (expected != current_configuration.version) {
        state["status"] = "version_conflict";
        state["version"] = current_configuration.version;
    } else if (!problems.empty()) {
        state["status"] = "invalid";
        state["problems"].push_back({{"error", name_of(problems[0].error)},
                                     {"kind", name_of(problems[0].object.kind)},
                                     {"name", problems[0].object.name},
                                     {"field", problems[0].field},
                                     {"seen", problems[0].seen},
                                     {"allowed", problems[0].allowed}});
    } else {
        apply_change(current_configuration, *change);
    }
    changes.push_back(state);
    return {202, json{{"change", changes.size()}}.dump(), lose_change_answer};
}

fake_answer fake_admin::change_progress(std::size_t number)
{
    json state = changes.at(number - 1);
    state["lagging_instances"] = json::array();
    if (state["status"] == "accepted" && lagging_polls > 0) {
        --lagging_polls;
        state["lagging_instances"].push_back("10.0.0.2:7101");
    }
    return {200, state.dump()};
}

fake_answer fake_admin::handle(const std::string& method, const std::string& target, const std::string& body,
                               const std::string& authorization)
{
    if (authorization != "Bearer " + token) {
        return {401, R"({"error":"operator_token_wrong"})"};
    }
    if (target == "/v1/configuration") {
        return {200, encode_snapshot(current_configuration)};
    }
    if (method == "POST" && target.starts_with("/v1/changes?")) {
        return handle_change(target, body);
    }
    if (target.starts_with("/v1/changes/")) {
        return change_progress(std::stoull(target.substr(12)));
    }
    if (target == "/v1/moves") {
        const json first = moves.front();
        if (moves.size() > 1) {
            moves.erase(moves.begin());
        }
        return {200, json{{"moves", first}}.dump()};
    }
    if (target == "/v1/status") {
        const json status{{"authority", true},
                          {"configuration_trusted", true},
                          {"store_reachable", true},
                          {"configuration_version", current_configuration.version},
                          {"members", members}};
        return {200, status.dump()};
    }
    if (target == "/v1/key-hash") {
        const std::uint64_t hash = hash_name(json::parse(body)["key"].get<std::string>());
        key_hash wide_hash{};
        for (std::size_t index = 0; index < wide_hash.size(); ++index) {
            wide_hash[index] = static_cast<std::uint8_t>(hash >> (8 * (index % 8)));
        }
        return {200, json{{"hash", hex_of(wide_hash)}}.dump()};
    }
    if (target == "/v1/facts") {
        facts.push_back(body);
        return {202, R"({"raised":true})"};
    }
    return {404, R"({"error":"unknown_path"})"};
}

struct fake_server::listener {
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
    std::atomic<bool> stopping = false;

    void serve_one(fake_admin& fake)
    {
        tcp::socket connection(context);
        acceptor.accept(connection);
        if (stopping) {
            return;
        }
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::read(connection, buffer, request);
        const fake_answer answer =
            fake.handle(std::string(request.method_string()), std::string(request.target()), request.body(),
                        std::string(request[http::field::authorization]));
        if (answer.lost) {
            return;
        }
        http::response<http::string_body> response{http::int_to_status(answer.code), 11};
        response.body() = answer.body;
        response.prepare_payload();
        http::write(connection, response);
    }
};

fake_server::fake_server(fake_admin& fake) : socket(std::make_unique<listener>())
{
    address = "127.0.0.1:" + std::to_string(socket->acceptor.local_endpoint().port());
    thread = std::thread([this, &fake] {
        while (!socket->stopping) {
            socket->serve_one(fake);
        }
    });
}

fake_server::~fake_server()
{
    socket->stopping = true;
    boost::asio::io_context context;
    tcp::socket wakeup_connection(context);
    boost::system::error_code ignored;
    wakeup_connection.connect(socket->acceptor.local_endpoint(), ignored);
    thread.join();
}

} // namespace client_test
