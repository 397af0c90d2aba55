// Parsing of HTTP request targets and numbers that Boost.Beast does not cover.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorknot::daemon_internal {

/// @return the path of a request target, without its query.
std::string_view path_of(std::string_view target);

/// @return the decoded value of @p name in the target's query, or nothing if it is absent or malformed.
std::optional<std::string> query_value(std::string_view target, std::string_view name);

/// @return @p text as a decimal number, or nothing unless all of it is one that fits.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace camphorknot::daemon_internal
