// JSON of what operators ask for.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "camphorknot/daemon/control.hpp"

namespace camphorknot::daemon_internal {

nlohmann::json to_json(const change_progress& progress);
nlohmann::json to_json(const node_status& status);

/// @return the moves with their stages.
nlohmann::json moves_json(const node_status& status);

/// @return the inabilities with their ages at @p now.
nlohmann::json to_json(const std::vector<inability>& list, time_point now);

/// @return the fact that @p body states, or nothing if it is malformed.
/// key_revoked takes "key_hash" (64 hexadecimal digits), version_stopped "service" and "version",
/// target_leaving "target" and instance_leaving "instance" (addresses, "ip:port").
std::optional<fact> read_fact(std::string_view body);

} // namespace camphorknot::daemon_internal
