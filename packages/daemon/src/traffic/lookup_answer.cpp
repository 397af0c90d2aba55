#include "lookup_answer.hpp"

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

#include "../http_text.hpp"
#include "camphorknot/daemon/credentials.hpp"
#include "camphorknot/kernel/clock.hpp"

namespace camphorknot::daemon_internal {
namespace {

std::optional<std::uint32_t> parse_ipv4(const std::string& text)
{
    in_addr address{};
    if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
        return std::nullopt;
    }
    return ntohl(address.s_addr);
}

std::string encode(const lookup_answer& answer, std::string_view fleet_secret)
{
    nlohmann::json body;
    body["instances"] = nlohmann::json::array();
    for (const named_instance& instance : answer.instances) {
        body["instances"].push_back({{"address", instance.address}, {"weight", instance.weight}});
    }
    body["ttl_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(answer.time_to_live).count();
    if (answer.ticket_to_sign) {
        const ticket_mac mac = sign_ticket(fleet_secret, ticket_fields(*answer.ticket_to_sign));
        body["ticket"] = format_ticket(*answer.ticket_to_sign, mac);
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string lookup_body(const traffic_decisions& decisions, std::string_view fleet_secret,
                        std::string_view target, std::uint32_t caller_address, std::string_view key,
                        refusal& why)
{
    const std::optional<std::string> client = query_value(target, "client");
    const std::optional<std::uint32_t> address = client ? parse_ipv4(*client) : caller_address;
    const std::string service = query_value(target, "service").value_or("");
    const std::string route = query_value(target, "route").value_or("");
    if (!address || service.empty()) {
        why = {refusal_reason::malformed_request, outcome::not_run, duration::zero()};
        return {};
    }
    std::optional<key_hash> hash;
    if (!key.empty()) {
        hash = hash_key(fleet_secret, key);
    }
    const lookup_answer answer = decisions.look_up(service, route, *address, hash, boot_now());
    if (answer.instances.empty()) {
        why = answer.why;
        return {};
    }
    return encode(answer, fleet_secret);
}

} // namespace camphorknot::daemon_internal
