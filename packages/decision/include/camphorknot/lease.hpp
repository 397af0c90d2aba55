/// @file
/// Leases with fencing tokens over the table, and writes whose lost answers are resolved by operation id
/// (section 2.3).
#pragma once

#include <cstdint>
#include <optional>

#include "camphorknot/core.hpp"
#include "camphorknot/lease/state.hpp"
#include "camphorknot/lease/table.hpp"

namespace camphorknot {

/// @return a lease that this instance does not hold.
lease make_lease(const lease_settings& settings, time_point now);

/// What to ask of the table next, if anything; at most one request is under way.
struct lease_request {
    std::optional<table_read> read;
    std::optional<table_transaction> transaction;
    std::optional<operation_read> resolve;
};
lease_request tick(lease& state, time_point now);

/// The answer to the request under way.
void on_table_answer(lease& state, const table_answer& answer, time_point now);

/// @return the fencing token if this instance holds the lease at @p now, to be checked at the act.
std::optional<std::uint64_t> holds(const lease& state, time_point now);

} // namespace camphorknot
