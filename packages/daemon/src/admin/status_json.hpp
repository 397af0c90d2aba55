// JSON encoding of the state that the admin server reports, and decoding of facts.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "camphorknot/daemon/control.hpp"

namespace camphorknot::daemon_internal {

/// @return the progress of a configuration change.
nlohmann::json to_json(const change_progress& progress);

/// @return the state of the instance and of the members of the fleet.
nlohmann::json to_json(const node_status& status);

/// @return the moves (drains, rollouts, withdrawals) with their stages.
nlohmann::json moves_json(const node_status& status);

/// @return the functions that the instance cannot perform, with the time since when in milliseconds before
/// @p now.
nlohmann::json to_json(const std::vector<inability>& list, time_point now);

/// @return the fact in the JSON object @p body, or nothing if it is malformed. The field "kind" selects the
/// other fields: key_revoked needs "key_hash" (64 hexadecimal digits), version_stopped needs "service" and
/// "version", target_leaving needs "target" and instance_leaving needs "instance" (addresses, "ip:port").
std::optional<fact> read_fact(std::string_view body);

} // namespace camphorknot::daemon_internal
