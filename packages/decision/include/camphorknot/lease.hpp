/// @file
/// Leases with fencing tokens, stored in rows of the platform's table. The outcome of a write whose answer is
/// lost is looked up by its operation id (docs/design.md, section 2.3). A lease is used from one thread.
#pragma once

#include <cstdint>
#include <optional>

#include "camphorknot/core.hpp"
#include "camphorknot/lease/state.hpp"
#include "camphorknot/lease/table.hpp"

namespace camphorknot {

/// @return a lease that this instance does not hold.
lease make_lease(const lease_settings& settings, time_point now);

/// The next request to the table; at most one member is set.
struct lease_request {
    std::optional<table_read> read;
    std::optional<table_transaction> transaction;
    std::optional<operation_read> resolve;
};

/// @return the next request, if one is due. None while the answer to the previous one is missing; a caller
/// reports a timeout as table_status::unknown.
lease_request tick(lease& state, time_point now);

/// Handles the answer to the request under way.
void on_table_answer(lease& state, const table_answer& answer, time_point now);

/// @return the fencing token if this instance holds the lease at @p now. To be called right before each
/// action that requires the lease.
std::optional<std::uint64_t> holds(const lease& state, time_point now);

} // namespace camphorknot
