/// @file
/// Identity of a request beyond one attempt of a caller.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace camphorknot::steering {

/// Identifies a request by its method, host, path with query, customer and body. Other attempts of the same
/// request have the same identity.
struct request_identity {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::uint64_t outline = 0; ///< Hash of the same without the body, but with the body's size.
    bool operator==(const request_identity&) const = default;
};

inline bool operator<(const request_identity& a, const request_identity& b)
{
    return std::tie(a.high, a.low, a.outline) < std::tie(b.high, b.low, b.outline);
}

/// @return the identity as 16 hexadecimal digits, for log lines.
std::string format_identity(const request_identity& identity);

} // namespace camphorknot::steering
