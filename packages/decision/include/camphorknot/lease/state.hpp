/// @file
/// State of one lease. Users go through the functions of lease.hpp.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/lease/table.hpp"

namespace camphorknot {

struct lease_settings {
    std::string row;   ///< "lease/<name>".
    std::string owner; ///< Name of this instance, written to the row; must be unique.
    duration term = std::chrono::seconds(10);
    duration margin = std::chrono::seconds(2); ///< The holder stops acting this long before its term ends.
    std::uint64_t seed = 0;
};

namespace internal {

/// A write of this instance that took effect or may have.
struct lease_write {
    std::uint64_t operation = 0;
    std::uint64_t token = 0;
    time_point sent{};
};

/// The lease's row as it was last read.
struct lease_view {
    std::uint64_t version = 0; ///< 0: the row does not exist.
    std::uint64_t token = 0;
    std::uint64_t operation = 0; ///< Operation id of the write that created this version.
    time_point first_seen{};     ///< When this version was first received.
};

enum class lease_step : std::uint8_t { none, reading, writing, resolving };

} // namespace internal

/// State of one lease on one instance.
///
/// @code
/// lease mine = make_lease({"lease/move-7", "10.0.0.1:7400"}, now);
/// lease_request next = tick(mine, now);
/// if (const auto token = holds(mine, now)) { ... }
/// @endcode
struct lease {
    lease_settings settings;
    random_source random;
    internal::lease_step under_way = internal::lease_step::none;
    time_point next_request_at{};
    bool must_resolve = false;                 ///< The outcome of the newest write is unknown.
    std::optional<internal::lease_view> view;  ///< Empty: the row must be read before a write.
    std::vector<internal::lease_write> writes; ///< Own writes of the last term, oldest first.
    std::optional<internal::lease_write> held; ///< The write from which the current term counts.
};

} // namespace camphorknot
