// Answers to GET /v1/lookup.
#pragma once

#include <string>
#include <string_view>

#include "camphorknot/daemon/traffic_server.hpp"

namespace camphorknot::daemon_internal {

inline constexpr std::string_view lookup_path = "/v1/lookup";

/// @param target request target with its query.
/// @param caller_address IPv4 address of the caller in host byte order; used if the query names no client.
/// @param key the caller's key, or empty.
/// @param why set to the refusal if there is no answer.
/// @return the JSON body, or an empty string if the look-up is refused.
std::string lookup_body(const traffic_decisions& decisions, std::string_view fleet_secret,
                        std::string_view target, std::uint32_t caller_address, std::string_view key,
                        refusal& why);

} // namespace camphorknot::daemon_internal
