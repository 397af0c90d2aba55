/// @file
/// Budgets: totals that all instances together never exceed. Each total is split into allocations, one per
/// owning instance, and instances lend each other what they don't need (docs/design.md, section 2.4).
/// Amounts are in thousandths. All functions but try_take and give_back belong to the control thread.
#pragma once

#include <memory>
#include <span>

#include "camphorknot/budget/account.hpp"
#include "camphorknot/budget/ledger.hpp"
#include "camphorknot/budget/settings.hpp"

namespace camphorknot {

/// @return a ledger without budgets.
budget_ledger make_ledger(const ledger_settings& settings, incarnation number, time_point now);

/// Sets the instances that own allocations (equal shares), and the slots whose owner changed. Decreases of
/// this instance's own allocation apply at once, increases after @p increase_delay.
void set_owners(budget_ledger& ledger, std::span<const allocation_slot> slots,
                std::span<const allocation_owner> owners, duration increase_delay, time_point now);

/// Adds the budget or changes its total; a decrease applies at once, an increase after @p increase_delay.
void set_total(budget_ledger& ledger, const budget_total& total, duration increase_delay, time_point now);

/// Removes the budget and closes its account; loans of it end with their terms.
void remove_total(budget_ledger& ledger, budget_id budget);

/// Allows or forbids the use of own allocations (see owns_allocation_without_table). Forbidden initially.
void allow_own_allocation(budget_ledger& ledger, bool allowed, time_point now);

/// Sets until when this instance has authority. From then on its accounts admit nothing and it lends nothing,
/// even if the control thread has not run since. Unlimited initially.
void set_authority_until(budget_ledger& ledger, time_point until);

/// Ends the loans from and to an incarnation that was proved stopped, and those of its predecessors. Permits
/// lent to it stay deducted until their loan is due, since its requests may still run.
void on_proved_stopped(budget_ledger& ledger, instance_id instance, incarnation number, time_point now);

/// Runs due lending rounds: renews, requests and returns loans, and reports spare. Only budgets in use cost
/// work. A shortage is handled by the next call, so calls should come about every 20 ms.
/// @param live live members; lenders and pool instances are chosen among them.
void tick(budget_ledger& ledger, std::span<const member_record> live, time_point now, outbox& out);

/// Handles loan_request, loan_grant, loan_return and spare_report; ignores other messages.
void on_message(budget_ledger& ledger, const envelope& message, time_point now, outbox& out);

/// Starts a graceful stop: returns all loans that no running work needs and reports the own allocation as
/// spare. Later ticks return the remaining loans.
void hand_over(budget_ledger& ledger, std::span<const member_record> live, time_point now, outbox& out);

/// @return the account of @p budget, or null if there is none. It stays valid while the pointer is held.
std::shared_ptr<budget_account> find_account(const budget_ledger& ledger, budget_id budget);

/// @return what this instance may use of @p budget now: own allocation plus borrowed less lent.
budget_amount usable_amount(const budget_ledger& ledger, budget_id budget, time_point now);

/// Takes @p amount (thousandths) from the account if it has enough. Loans whose term has ended at @p now
/// don't count, even if the control thread has not run since. Safe to call from any thread.
admission try_take(budget_account& account, std::int64_t amount, time_point now);

/// Gives back @p amount (thousandths) of permits of an in-flight budget, at most max_use_duration after they
/// were taken. Safe to call from any thread.
void give_back(budget_account& account, std::int64_t amount);

} // namespace camphorknot
