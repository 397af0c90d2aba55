#include "../http_text.hpp"
#include "camphorknot/daemon/admin.hpp"
#include "camphorknot/daemon/credentials.hpp"
#include "camphorknot/kernel.hpp"
#include "status_json.hpp"

namespace camphorknot {
namespace {

using namespace daemon_internal;
using nlohmann::json;

constexpr std::string_view version_field = "Camphorknot-Configuration-Version";
constexpr std::string_view progress_prefix = "/v1/changes/";

std::string dump(const json& body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

admin_response answer(unsigned status, const json& body)
{
    admin_response response;
    response.status = status;
    response.body = dump(body);
    return response;
}

admin_response error(unsigned status, std::string_view reason)
{
    return answer(status, {{"error", reason}});
}

admin_response get_configuration(const admin_context& context)
{
    struct encoded {
        std::uint64_t version = 0;
        std::string text;
    };
    const auto read = run_and_wait<encoded>(*context.controller, [](node& state, time_point, node_output&) {
        const configuration& current = configuration_of(state);
        return encoded{current.version, encode_snapshot(current)};
    });
    admin_response response;
    response.body = read.text;
    response.fields = {{std::string(version_field), std::to_string(read.version)}};
    return response;
}

admin_response post_change(const admin_context& context, const admin_request& request)
{
    const auto text = query_value(request.target, "expected_version");
    const auto expected = text ? parse_number(*text) : std::nullopt;
    if (!expected) {
        return error(400, "expected_version_missing");
    }
    const auto change = decode_change(request.body);
    if (!change) {
        return error(400, "malformed_change");
    }
    const auto number = run_and_wait<std::uint64_t>(
        *context.controller, [change, expected](node& state, time_point now, node_output& out) {
            return propose_change(state, *change, *expected, now, out);
        });
    log_event(log_severity::info, "change_proposed",
              {{"change", std::to_string(number)}, {"expected_version", std::to_string(*expected)}});
    return answer(202, {{"change", number}});
}

admin_response get_progress(const admin_context& context, std::string_view number_text)
{
    const auto number = parse_number(number_text);
    if (!number) {
        return error(404, "unknown_change");
    }
    const auto progress =
        run_and_wait<change_progress>(*context.controller, [number](node& state, time_point, node_output&) {
            return progress_of(state, *number);
        });
    return answer(200, to_json(progress));
}

admin_response post_fact(const admin_context& context, const admin_request& request)
{
    const auto value = read_fact(request.body);
    if (!value) {
        return error(400, "malformed_fact");
    }
    // Waits for the control thread, so that this instance already applies the fact when the answer is sent.
    run_and_wait<bool>(*context.controller, [value](node& state, time_point now, node_output&) {
        raise_fact(state, *value, now);
        return true;
    });
    log_event(log_severity::info, "fact_raised", {{"kind", std::to_string(static_cast<int>(value->kind))}});
    return answer(202, {{"raised", true}});
}

admin_response post_key_hash(const admin_context& context, const admin_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("key") || !body["key"].is_string()) {
        return error(400, "key_missing");
    }
    const key_hash hash = hash_key(context.fleet_secret, body["key"].get<std::string>());
    return answer(
        200,
        {{"hash", to_hex({static_cast<const char*>(static_cast<const void*>(hash.data())), hash.size()})}});
}

node_status read_status(const admin_context& context)
{
    return run_and_wait<node_status>(
        *context.controller, [](node& state, time_point now, node_output&) { return status_of(state, now); });
}

admin_response get_health(const admin_context& context)
{
    const std::vector<inability> list = inabilities_of(*context.controller);
    const bool refuses_all_requests = std::any_of(
        list.begin(), list.end(), [](const inability& entry) { return entry.what == "all_requests"; });
    return answer(refuses_all_requests ? 503 : 200, to_json(list, boot_now()));
}

bool is_operator(const admin_context& context, const admin_request& request)
{
    const auto token = bearer_token(request.authorization);
    return token && equal_in_constant_time(sha256_hex(*token), context.operator_token_sha256);
}

admin_response handle_operator(const admin_context& context, const admin_request& request)
{
    const std::string_view path = path_of(request.target);
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    if (get && path == "/v1/configuration") {
        return get_configuration(context);
    }
    if (post && path == "/v1/changes") {
        return post_change(context, request);
    }
    if (get && path.starts_with(progress_prefix)) {
        return get_progress(context, path.substr(progress_prefix.size()));
    }
    if (post && path == "/v1/facts") {
        return post_fact(context, request);
    }
    if (post && path == "/v1/key-hash") {
        return post_key_hash(context, request);
    }
    if (get && path == "/v1/status") {
        return answer(200, to_json(read_status(context)));
    }
    if (get && path == "/v1/moves") {
        return answer(200, moves_json(read_status(context)));
    }
    return error(404, "unknown_path");
}

} // namespace

admin_handler make_admin_handler(const admin_context& context)
{
    return [context](const admin_request& request) {
        const std::string_view path = path_of(request.target);
        if (request.method == "GET" && path == "/metrics") {
            admin_response response;
            response.content_type = "text/plain; version=0.0.4";
            response.body = metrics_page(*context.registry);
            return response;
        }
        if (request.method == "GET" && path == "/healthz") {
            return get_health(context);
        }
        if (!is_operator(context, request)) {
            log_event(log_severity::warning, "operator_refused", {{"path", std::string(path)}});
            return error(401, "operator_token_wrong");
        }
        return handle_operator(context, request);
    };
}

} // namespace camphorknot
