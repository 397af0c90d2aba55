/// @file
/// State of the budgets of one instance. Users go through the functions of budget.hpp.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "camphorknot/budget/account.hpp"

namespace camphorknot {
namespace internal {

/// A loan to another instance, deducted from the own allocation until it is returned or due.
struct granted_loan {
    instance_id borrower;
    incarnation borrower_incarnation = 0;
    std::uint64_t loan = 0; ///< Identifier chosen by the borrower.
    share amount;
    std::int64_t tokens = 0; ///< Tokens in thousandths, handed over with the first grant.
    time_point granted_at{};
    time_point due{};         ///< The amount is deducted until then, unless the loan is returned before.
    time_point recalled_at{}; ///< When a recall was last sent.
};

/// A loan from another instance, or a request for one. The amount of an active loan never changes: an
/// instance that needs more requests a further loan, and one that needs less returns whole loans. Duplicated
/// or delayed messages therefore can't leave borrower and lender with different amounts.
struct borrowed_loan {
    instance_id lender;
    incarnation lender_incarnation = 0;
    std::uint64_t loan = 0;    ///< Identifier chosen by this instance, unique per incarnation.
    std::uint32_t round = 0;   ///< Round of the last request.
    share amount;              ///< Requested amount until the loan is active, then the granted one.
    bool active = false;       ///< A grant was received.
    bool returning = false;    ///< To be returned as soon as no running work needs it.
    bool denied = false;       ///< The lender refused the renewal.
    bool unanswered = true;    ///< No answer to the last request was received.
    time_point requested_at{}; ///< Time of the first request.
    time_point request_sent{}; ///< Time of the last request.
    time_point usable_until{}; ///< End of the term.
    time_point conditional_recall_until{}; ///< Until then it is returned unless the latest demand needs it.
    time_point held_until{};               ///< Latest end of work that started on the loan.
};

/// What this instance has stored of another owner's spare (the share that it could lend).
struct owner_view {
    std::optional<share> spare; ///< Last reported; absent: the owner is assumed to be idle.
    time_point reported_at{};
    time_point not_before{}; ///< No request is sent to the owner before this time.
    duration backoff{};
};

/// Moving averages of the demand, in thousandths per second (rates) or thousandths of permits (in flight).
struct demand_estimate {
    double fast = 0;
    double slow = 0;
    bool is_short = false;  ///< The account refused, or came close to it, before the last update.
    bool was_short = false; ///< Short now or recently (until short_until).
    time_point short_until{};
    std::int64_t tokens = 0; ///< Tokens of the account at the last update.
    time_point updated{};
};

/// An increase of the own allocation that is not in force yet.
struct pending_increase {
    share amount; ///< Allocation from the due time on.
    time_point due{};
};

struct budget_state {
    budget_total total;
    std::shared_ptr<budget_account> account;
    share own; ///< Own allocation in force.
    std::optional<pending_increase> increase;
    time_point restart_wait_until{}; ///< Loans granted by the previous process may be active until then.
    bool had_allocation = false;     ///< Slots were set since the budget was added.
    share lent;                      ///< Sum of the granted loans.
    std::vector<granted_loan> granted_loans;
    std::vector<borrowed_loan> borrowed_loans;
    std::unordered_map<instance_id, owner_view> owner_views;
    demand_estimate demand;
    time_point next_round{};
    time_point conditional_recall_until{}; ///< Until then each tick runs a round, to return unused loans.
    std::vector<instance_id> waiting_borrowers; ///< Borrowers that got less than they requested.
    std::optional<share> reported_spare;        ///< Last spare reported to the pools, unless all of own.
};

/// Live members and pools, recomputed only when the live members change.
struct live_view {
    std::uint64_t digest = 0; ///< Hash of the live members.
    std::unordered_map<instance_id, member_record> members;
    std::vector<std::vector<instance_id>> pools; ///< Per shard: pools of failure domain, region, fleet.
};

} // namespace internal

/// All budgets of one instance: its own allocations, and the loans it granted and borrowed. When the ledger
/// is destroyed, its accounts stop admitting. All functions on a ledger belong to the control thread.
///
/// @code
/// budget_ledger ledger = make_ledger(settings, number, now);
/// set_owners(ledger, slots, {}, increase_delay, now);
/// set_total(ledger, {customer_budget, budget_kind::rate, {100'000, 200'000, 0}}, increase_delay, now);
/// allow_own_allocation(ledger, true, now);
/// admission answer = try_take(*find_account(ledger, customer_budget), 1000, now);
/// @endcode
struct budget_ledger {
    budget_ledger() = default;
    budget_ledger(budget_ledger&&) = default;
    budget_ledger& operator=(budget_ledger&&) = default;
    budget_ledger(const budget_ledger&) = delete;
    budget_ledger& operator=(const budget_ledger&) = delete;
    ~budget_ledger();

    ledger_settings settings;
    incarnation number = 0; ///< Incarnation of this process, the sender of all messages.
    time_point started{};
    bool own_allocation_allowed = false;
    bool leaving = false;              ///< A graceful stop is under way: no loans are requested or kept.
    std::uint64_t requested_loans = 0; ///< Number of loans requested so far, for unique loan identifiers.
    std::vector<allocation_slot> slots;
    std::vector<std::int64_t> slot_ranks; ///< Rank of each slot among those of its region.
    std::unordered_map<region_id, std::int64_t> region_slot_counts;
    std::unordered_map<instance_id, instance_id> slot_owners; ///< Only slots whose owner was changed.
    std::vector<std::size_t> own_slots; ///< Indices of the slots owned by this instance.
    std::unordered_map<instance_id, std::vector<std::size_t>> lenders; ///< Other owners and their slots.
    std::unordered_map<budget_id, internal::budget_state> budgets;
    std::unordered_set<budget_id> active;   ///< In use or with loans; a tick processes only these.
    std::unordered_set<budget_id> settling; ///< With a pending increase or in the wait after a restart.
    std::unordered_map<budget_id, time_point> removed_until; ///< Latest end of loans of removed budgets.
    internal::live_view live;
    time_point next_report{};
    std::shared_ptr<internal::shared_deadline> authority_until;
    std::shared_ptr<internal::activity_queue> activity;
};

} // namespace camphorknot
