/// @file
/// The operators' manifest: the desired configuration as YAML. Field names of quantities include the unit.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/configuration.hpp"

namespace camphorknot::client {

/// One error in a manifest.
struct manifest_problem {
    std::string file;
    int line = 0;        ///< 1-based; 0 if the error has no line.
    std::string field;   ///< Path such as "targets[3].slots".
    std::string seen;    ///< The value found.
    std::string allowed; ///< Description of the allowed values.
};

/// A parsed manifest. It never contains keys, the progress of moves or the owners of allocations.
struct manifest {
    configuration_change objects;             ///< Upserts on top of an empty configuration.
    std::set<std::string> relative_deadlines; ///< Names of moves with a deadline such as "in 90s".
};

/// Result of reading a manifest. The value is usable only if there are no problems.
struct manifest_result {
    manifest value;
    std::vector<manifest_problem> problems;
};

/// Parses and validates a manifest; reports all errors, not only the first.
/// @param text the YAML document.
/// @param file name used in the problems.
/// @param now start of relative deadlines such as "in 90s".
///
/// @code
/// manifest_result result = read_manifest(text, "manifest.yaml", now);
/// @endcode
manifest_result read_manifest(const std::string& text, const std::string& file, unix_milliseconds now);

/// @return the time in @p text: an RFC 3339 time, or "in" and a number with the unit s, m or h, relative to
/// @p now. std::nullopt if @p text is neither.
std::optional<unix_milliseconds> parse_deadline(const std::string& text, unix_milliseconds now);

/// @return the change that makes the operator-managed objects of @p base equal to @p desired. Keys are kept.
/// The progress of a move and the owner of an allocation are kept unless their move or instance is removed.
/// If a move differs only in its relative deadline, it keeps the deadline that it has in @p base.
configuration_change plan_change(const configuration& base, const manifest& desired);

/// @return whether both have the same objects, ignoring those that the instances write themselves (progress
/// of moves, owners of allocations).
bool same_operator_objects(const configuration& a, const configuration& b);

} // namespace camphorknot::client
