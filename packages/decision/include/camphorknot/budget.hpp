/// @file
/// Budgets: totals that all instances together never exceed, split into allocations that are lent
/// (docs/design.md, section 2.4).
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"

namespace camphorknot {

enum class budget_kind : std::uint8_t {
    rate,      ///< Tokens that refill: customer rate, link bytes, shift cap.
    in_flight, ///< Permits that are given back: region load.
};

/// A total that all instances together never exceed.
struct budget_total {
    budget_id id;
    budget_kind kind = budget_kind::rate;
    budget_amount total;
};

struct ledger_settings {
    instance_id self;
    region_id region;
    failure_domain_id failure_domain;
    std::uint64_t seed = 0;
    duration loan_term = std::chrono::seconds(2);
    duration round_period = std::chrono::milliseconds(200);
};

/// Owner of an instance slot's allocation. Without a change of owner a slot belongs to the instance listed
/// for it.
struct allocation_owner {
    instance_id slot;
    instance_id owner;
};

/// Result of asking a budget for an amount.
struct admission {
    bool admitted = false;
    duration retry_after{}; ///< When an equal request could be admitted, if refused.
};

/// What one instance may use of one budget. try_take and give_back may be called from any thread; all else
/// belongs to the control thread.
struct budget_account;

/// All budgets of one instance: own allocations, loans given and taken.
struct budget_ledger;

/// @return a ledger without budgets.
budget_ledger make_ledger(const ledger_settings& settings, incarnation number, time_point now);

/// Sets the instances that own allocations (equal shares) and changes of owner. Decreases of this instance's
/// own allocation apply at once, increases after @p rise_delay.
void set_owners(budget_ledger& ledger, std::span<const instance_id> slots,
                std::span<const allocation_owner> owners, duration rise_delay, time_point now);

/// Adds the budget or changes its total; a decrease applies at once, an increase after @p rise_delay.
void set_total(budget_ledger& ledger, const budget_total& total, duration rise_delay, time_point now);

/// Removes the budget; loans of it end with their terms.
void remove_total(budget_ledger& ledger, budget_id budget);

/// Allows or forbids the use of own allocations (see owns_allocation_without_table). Forbidden at the start.
void allow_own_allocation(budget_ledger& ledger, bool allowed, time_point now);

/// Ends loans from the incarnation that was proved stopped, and loans to it.
void on_proved_stopped(budget_ledger& ledger, instance_id instance, incarnation number, time_point now);

/// Runs due lending rounds: renews, asks for more, returns what is not needed, reports spare.
/// @param live live members, among them the pool instances to ask.
void tick(budget_ledger& ledger, std::span<const member_record> live, time_point now, outbox& out);

/// Handles loan_request, loan_grant, loan_return and spare_report; ignores other messages.
void on_message(budget_ledger& ledger, const envelope& message, time_point now, outbox& out);

/// Returns every loan and offers the own allocation to live members, before a graceful stop.
void hand_over(budget_ledger& ledger, std::span<const member_record> live, time_point now, outbox& out);

/// @return the account of @p budget, which stays valid for as long as the pointer is held, or null.
std::shared_ptr<budget_account> find_account(const budget_ledger& ledger, budget_id budget);

/// @return what this instance may use of @p budget now: own and borrowed less lent.
budget_amount usable(const budget_ledger& ledger, budget_id budget, time_point now);

/// Takes @p amount (thousandths) from the account if it can. Loans whose term has ended at @p now do not
/// count, also when the control thread has not run since. Safe to call from any thread.
admission try_take(budget_account& account, std::int64_t amount, time_point now);

/// Gives back permits of an in-flight budget. Safe to call from any thread.
void give_back(budget_account& account, std::int64_t amount);

} // namespace camphorknot
