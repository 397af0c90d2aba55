/// @file
/// The operators' manifest: YAML with readable names, and units in the names of all amounts.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/configuration.hpp"

namespace camphorknot::client {

/// One fault of a manifest.
struct manifest_problem {
    std::string file;
    int line = 0;        ///< Counted from 1; 0 if the fault has no line.
    std::string field;   ///< As in "targets[3].slots".
    std::string seen;    ///< Value seen.
    std::string allowed; ///< What is allowed.
};

/// The objects of a manifest. Keys, the progress of moves and owners of allocations are never part of it.
struct manifest {
    configuration_change objects;             ///< Upserts on top of an empty configuration.
    std::set<std::string> relative_deadlines; ///< Moves whose deadline was stated as "in 90s".
};

/// What was read, and every fault; the manifest is usable only without faults.
struct manifest_answer {
    manifest value;
    std::vector<manifest_problem> problems;
};

/// @param file name for the messages. @param now time that "in 90s" counts from.
///
/// @code
/// manifest_answer answer = read_manifest(text, "manifest.yaml", now);
/// @endcode
manifest_answer read_manifest(const std::string& text, const std::string& file, unix_milliseconds now);

/// @return the time in @p text, an RFC 3339 time or "in" with a number and s, m or h; or nothing.
std::optional<unix_milliseconds> parse_deadline(const std::string& text, unix_milliseconds now);

/// @return the change that makes the operators' part of @p base equal to @p wanted. Keys stay, as do the
/// progress of moves and the owners of allocations, unless their move or instance goes. A relative deadline
/// keeps the time that the same move already has.
configuration_change plan_change(const configuration& base, const manifest& wanted);

/// @return whether both have the same objects, apart from those that the instances write themselves.
bool same_operator_objects(const configuration& a, const configuration& b);

} // namespace camphorknot::client
