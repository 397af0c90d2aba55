// Small text rules of HTTP that the libraries in use do not cover.
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

/// @return the whole of @p text as a number, or nothing.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace camphorknot::daemon_internal
