/// @file
#pragma once

#include <cstdint>
#include <optional>

#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

enum class budget_kind : std::uint8_t {
    rate,      ///< Tokens that refill: customer rate, link bytes, shift cap.
    in_flight, ///< Permits that are given back: region load.
};

/// A total that all instances together never exceed.
struct budget_total {
    budget_id id{};
    budget_kind kind = budget_kind::rate;
    budget_amount total{};
    /// Longest time between try_take and give_back, for budgets in flight. A lent permit may be in use this
    /// long after the end of its loan's term, so the lender counts it for the term plus this time unless the
    /// borrower returns it before.
    duration max_use_duration = std::chrono::seconds(10);
    /// Region whose slots own the budget; absent if all slots do. A region's permits belong to its own
    /// instances: split over the whole fleet, 14 permits leave most instances with one.
    std::optional<region_id> home_region{};
    /// The budget came into being while this process ran, so no process before it can have lent from it.
    bool is_new = false;
};

struct ledger_settings {
    instance_id self;
    region_id region;
    failure_domain_id failure_domain;
    std::uint64_t seed = 0;
    /// What a dead borrower holds is lost for up to this time plus drift, so it is as short as renewals at
    /// half of it allow: one repetition of a lost message across the longest round trip (110 ms).
    duration loan_term = std::chrono::seconds(1);
    duration round_period = std::chrono::milliseconds(200);
    /// Highest assumed error of this clock's speed. Tokens refill slower by it, so that a fast clock creates
    /// none above the rate. 1 covers the kernel's slewing (0.5) and a free oscillator (0.1).
    std::int64_t clock_error_permille = 1;
    /// Part of an own allocation that may be lent. A restarted process uses only the rest until the loans of
    /// the process before it must have ended. For rates that is one loan term, which is short enough to lend
    /// all; permits in flight are counted for max_use_duration more.
    std::int64_t lendable_rate_percent = 100;
    std::int64_t lendable_in_flight_percent = 75;
};

/// Owner of an instance slot's allocation. Without a change of owner a slot belongs to the instance listed
/// for it.
struct allocation_owner {
    instance_id slot;
    instance_id owner;
};

/// An instance that owns an allocation of every budget, or of those of its region.
struct allocation_slot {
    instance_id instance;
    region_id region;
};

/// Result of asking a budget for an amount.
struct admission {
    bool admitted = false;
    duration retry_after{}; ///< When an equal request could be admitted, if refused.
};

} // namespace camphorknot
