/// @file
/// Budgets: totals that all instances together never exceed, split into allocations that are lent
/// (docs/design.md, section 2.4).
#pragma once

#include <memory>
#include <span>

#include "camphorknot/budget/account.hpp"
#include "camphorknot/budget/ledger.hpp"
#include "camphorknot/budget/settings.hpp"

namespace camphorknot {

/// @return a ledger without budgets.
budget_ledger make_ledger(const ledger_settings& settings, incarnation number, time_point now);

/// Sets the instances that own allocations (equal shares) and changes of owner. Decreases of this instance's
/// own allocation apply at once, increases after @p increase_delay.
void set_owners(budget_ledger& ledger, std::span<const allocation_slot> slots,
                std::span<const allocation_owner> owners, duration increase_delay, time_point now);

/// Adds the budget or changes its total; a decrease applies at once, an increase after @p increase_delay.
void set_total(budget_ledger& ledger, const budget_total& total, duration increase_delay, time_point now);

/// Removes the budget; loans of it end with their terms.
void remove_total(budget_ledger& ledger, budget_id budget);

/// Allows or forbids the use of own allocations (see owns_allocation_without_table). Forbidden at the start.
void allow_own_allocation(budget_ledger& ledger, bool allowed, time_point now);

/// Sets until when this instance has authority. From then on its accounts admit nothing and it lends nothing,
/// also when the control thread has not run since. Unlimited at the start.
void set_authority_until(budget_ledger& ledger, time_point until);

/// Ends loans from the incarnation that was proved stopped, and loans to it.
void on_proved_stopped(budget_ledger& ledger, instance_id instance, incarnation number, time_point now);

/// Runs due lending rounds: renews, asks for more, returns what is not needed, reports spare. A call costs
/// work only for budgets in use; shortages are met by the next call, so it should come each 20 ms or so.
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

/// Gives back permits of an in-flight budget, at most max_use_duration after they were taken. Safe to call
/// from any thread.
void give_back(budget_account& account, std::int64_t amount);

} // namespace camphorknot
