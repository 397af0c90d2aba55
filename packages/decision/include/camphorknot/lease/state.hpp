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
    std::string row; ///< "lease/<name>".
    std::string owner;
    duration term = std::chrono::seconds(10);
    duration margin = std::chrono::seconds(2); ///< The holder stops this much before its term ends.
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
    std::uint64_t operation = 0; ///< Of the write that made this version.
    time_point first_seen{};     ///< When an answer first showed this version.
};

enum class lease_step : std::uint8_t { none, reading, writing, resolving };

} // namespace internal

/// One lease as one instance sees it.
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
    time_point next_step{};
    bool must_resolve = false;                 ///< The answer to the newest write is lost.
    std::optional<internal::lease_view> view;  ///< Empty: the row must be read before a write.
    std::vector<internal::lease_write> writes; ///< Own writes of the last term, the newest last.
    std::optional<internal::lease_write> held; ///< The write that the present term counts from.
};

} // namespace camphorknot
