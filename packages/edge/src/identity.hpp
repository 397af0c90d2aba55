// Computes the identity of a request.
#pragma once

#include <string_view>

#include "camphorknot/platform/dialect.hpp"
#include "camphorknot/steering.hpp"

namespace camphorknot::edge {

/// @return request_identity::outline.
/// @param host in lower case.
/// @param customer name; empty on routes that are open to all.
std::uint64_t compute_outline(const platform::http_request& request, std::string_view host,
                              std::string_view customer);

/// @return the identity. It is derived from a cryptographic hash, so that no caller can make its request look
/// like that of another.
/// @param host in lower case.
/// @param customer name; empty on routes that are open to all.
steering::request_identity compute_identity(const platform::http_request& request, std::string_view host,
                                            std::string_view customer);

} // namespace camphorknot::edge
