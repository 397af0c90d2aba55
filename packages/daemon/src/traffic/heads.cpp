#include "heads.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>
#include <vector>

namespace camphorknot::daemon_internal {
namespace {

constexpr std::array hop_by_hop = {http::field::connection,
                                   http::field::keep_alive,
                                   http::field::proxy_connection,
                                   http::field::te,
                                   http::field::proxy_authorization,
                                   http::field::proxy_authenticate,
                                   http::field::trailer,
                                   http::field::upgrade,
                                   http::field::http2_settings};

// Fields that only this system may set. They are removed from requests and answers, so that neither callers
// nor targets can forge them.
constexpr std::array system_fields = {header_customer, header_deadline, header_ticket,   header_version_seen,
                                      header_reason,   header_outcome,  header_repeated, header_retry_after};

void remove_fields_containing(http::fields& fields, std::string_view secret)
{
    std::vector<std::string> found;
    for (const auto& field : fields) {
        if (std_view(field.value()).find(secret) != std::string_view::npos) {
            found.emplace_back(field.name_string());
        }
    }
    for (const std::string& name : found) {
        fields.erase(name);
    }
}

template <bool IsRequest>
std::string serialize_head(const http::message<IsRequest, http::empty_body>& head)
{
    http::serializer<IsRequest, http::empty_body> serializer(head);
    serializer.split(true);
    boost::beast::error_code ec;
    std::string bytes;
    serializer.next(ec, [&](boost::beast::error_code&, const auto& buffers) {
        for (const auto part : boost::beast::buffers_range_ref(buffers)) {
            bytes.append(static_cast<const char*>(part.data()), part.size());
        }
    });
    return bytes;
}

std::int64_t round_up_to_milliseconds(duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(value).count();
}

} // namespace

void remove_hop_by_hop(http::fields& fields)
{
    std::vector<std::string> named_by_connection;
    const auto range = fields.equal_range(http::field::connection);
    for (auto field = range.first; field != range.second; ++field) {
        for (const auto& token : http::token_list(field->value())) {
            named_by_connection.emplace_back(token);
        }
    }
    for (const std::string& name : named_by_connection) {
        // A caller must not be able to remove the fields that delimit or route the message.
        const http::field standard_name = http::string_to_field(name);
        if (standard_name != http::field::content_length && standard_name != http::field::transfer_encoding &&
            standard_name != http::field::host) {
            fields.erase(name);
        }
    }
    for (const http::field name : hop_by_hop) {
        fields.erase(name);
    }
}

void prepare_request_head(head_only_request& head, std::string_view key, std::string_view customer,
                          bool chunked)
{
    remove_hop_by_hop(head);
    head.erase(http::field::authorization);
    head.erase(http::field::expect);
    for (const std::string_view name : system_fields) {
        head.erase(beast_view(name));
    }
    if (!key.empty()) {
        remove_fields_containing(head, key);
    }
    if (!customer.empty()) {
        head.set(beast_view(header_customer), beast_view(customer));
    }
    head.erase(http::field::transfer_encoding);
    if (chunked) {
        head.set(http::field::transfer_encoding, "chunked");
    }
    head.version(11);
}

void prepare_answer_head(head_only_response& head, std::string_view version_name, bool chunked,
                         bool keep_alive)
{
    remove_hop_by_hop(head);
    for (const std::string_view name : system_fields) {
        head.erase(beast_view(name));
    }
    if (!version_name.empty()) {
        head.set(beast_view(header_version_seen), beast_view(version_name));
    }
    head.erase(http::field::transfer_encoding);
    if (chunked) {
        head.set(http::field::transfer_encoding, "chunked");
    }
    if (!keep_alive) {
        head.set(http::field::connection, "close");
    }
    head.version(11);
}

std::string serialize(const head_only_request& head)
{
    return serialize_head<true>(head);
}

std::string serialize(const head_only_response& head)
{
    return serialize_head<false>(head);
}

unsigned status_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::malformed_request:
        return 400;
    case refusal_reason::key_missing:
    case refusal_reason::key_unknown:
        return 401;
    case refusal_reason::key_revoked:
    case refusal_reason::ticket_invalid:
        return 403;
    case refusal_reason::route_unknown:
        return 404;
    case refusal_reason::sender_too_slow:
        return 408;
    case refusal_reason::ticket_missing:
    case refusal_reason::ticket_expired:
    case refusal_reason::ticket_of_other_instance:
    case refusal_reason::outcome_unknown:
    case refusal_reason::none: // The operation ran, but its answer was not recorded.
        return 409;
    case refusal_reason::body_too_large:
        return 413;
    case refusal_reason::rate_exceeded:
        return 429;
    case refusal_reason::head_too_large:
        return 431;
    case refusal_reason::target_failed:
    case refusal_reason::retry_budget_empty:
        return 502;
    case refusal_reason::deadline_exceeded:
        return 504;
    default:
        return 503;
    }
}

std::string refusal_bytes(const refusal& why, bool keep_alive)
{
    const std::string reason(name_of(why.reason));
    const std::string run(name_of(why.run));
    const std::string retry = std::to_string(round_up_to_milliseconds(why.retry_after));
    const std::string body =
        R"({"reason":")" + reason + R"(","outcome":")" + run + R"(","retry_after_ms":)" + retry + "}";
    std::string fields = std::string(header_reason) + ": " + reason + "\r\n";
    fields += std::string(header_outcome) + ": " + run + "\r\n";
    fields += std::string(header_retry_after) + ": " + retry + "\r\n";
    if (why.retry_after > duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(why.retry_after).count();
        fields += "Retry-After: " + std::to_string(seconds) + "\r\n";
    }
    return answer_bytes(status_of(why.reason), "application/json", body, fields, keep_alive);
}

std::string answer_bytes(unsigned status, std::string_view content_type, std::string_view body,
                         std::string_view extra_fields, bool keep_alive)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + ' ';
    bytes += http::obsolete_reason(static_cast<http::status>(status));
    bytes += "\r\nContent-Type: ";
    bytes += content_type;
    bytes += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    bytes += extra_fields;
    if (!keep_alive) {
        bytes += "Connection: close\r\n";
    }
    bytes += "\r\n";
    bytes += body;
    return bytes;
}

} // namespace camphorknot::daemon_internal
