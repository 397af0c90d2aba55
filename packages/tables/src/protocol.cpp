#include <nlohmann/json.hpp>

#include "camphorknot/tables.hpp"

namespace camphorknot {
namespace {

using nlohmann::json;

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/";
    std::string encoded;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

std::string encode_transaction(const table_transaction& transaction)
{
    json body;
    // Sent as a string: JSON parsers may store numbers as doubles, which lose the low bits of a 64-bit id.
    body["operation"] = std::to_string(transaction.operation);
    body["conditions"] = json::array();
    for (const auto& condition : transaction.conditions) {
        body["conditions"].push_back({{"row", condition.row}, {"version", condition.version}});
    }
    body["writes"] = json::array();
    for (const auto& write : transaction.writes) {
        body["writes"].push_back({{"row", write.row}, {"value", write.value}});
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

platform_request build_request(const table_read& read)
{
    return {"GET", "/table/row?name=" + percent_encode(read.row), {}};
}

platform_request build_request(const table_transaction& transaction)
{
    return {"POST", "/table/transaction", encode_transaction(transaction)};
}

platform_request build_request(const operation_read& read)
{
    return {"GET", "/table/operation?id=" + std::to_string(read.operation), {}};
}

platform_request build_request(const object_read& read)
{
    return {"GET", "/objects/" + percent_encode(read.name), {}};
}

platform_request build_request(const object_write& write)
{
    return {"PUT", "/objects/" + percent_encode(write.name), write.value};
}

table_status to_table_status(const platform_response& response)
{
    if (!response.connected) {
        return table_status::unavailable;
    }
    switch (response.status) {
    case 200:
    case 201:
    case 204:
        return table_status::ok;
    case 404:
        return table_status::not_found;
    case 409:
        return table_status::conflict;
    case 503:
        return table_status::unavailable;
    default:
        return table_status::unknown;
    }
}

std::optional<table_row> parse_row(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    const auto name = parsed.find("row");
    const auto value = parsed.find("value");
    const auto version = parsed.find("version");
    const bool complete = name != parsed.end() && name->is_string() && value != parsed.end() &&
                          value->is_string() && version != parsed.end() && version->is_number_unsigned();
    if (!complete) {
        return std::nullopt;
    }
    return table_row{name->get<std::string>(), value->get<std::string>(), version->get<std::uint64_t>()};
}

std::optional<instance_contact> parse_contact(const json& entry)
{
    const auto text = [&entry](const char* field) {
        const auto found = entry.find(field);
        return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    const std::string address = text("peer_address");
    if (address.empty()) {
        return std::nullopt;
    }
    return instance_contact{make_id<instance_id>(address), make_id<region_id>(text("region")),
                            make_id<failure_domain_id>(text("failure_domain")), address};
}

} // namespace

platform_request make_request(const platform_call& call)
{
    return std::visit([](const auto& request) { return build_request(request); }, call.request);
}

table_answer decode_response(const platform_call& call, const platform_response& response)
{
    table_answer answer;
    answer.status = to_table_status(response);
    if (answer.status != table_status::ok) {
        return answer;
    }
    if (std::holds_alternative<table_read>(call.request)) {
        answer.row = parse_row(response.body);
        answer.status = answer.row ? table_status::ok : table_status::unknown;
    }
    if (const auto* object = std::get_if<object_read>(&call.request)) {
        answer.row = table_row{object->name, response.body, 0};
    }
    return answer;
}

std::optional<std::vector<instance_contact>> read_instance_list(std::string_view body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("instances") || !parsed["instances"].is_array()) {
        return std::nullopt;
    }
    std::vector<instance_contact> contacts;
    for (const json& entry : parsed["instances"]) {
        const std::optional<instance_contact> contact =
            entry.is_object() ? parse_contact(entry) : std::nullopt;
        const bool is_leaving = entry.is_object() && entry.value("state", "live") == "leaving";
        if (contact && !is_leaving) {
            contacts.push_back(*contact);
        }
    }
    return contacts;
}

} // namespace camphorknot
