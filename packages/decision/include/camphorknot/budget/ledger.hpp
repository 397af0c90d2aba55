/// @file
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
struct loan_given {
    instance_id borrower;
    incarnation number = 0;
    std::uint64_t loan = 0;
    share amount;
    std::int64_t tokens = 0; ///< Handed over at the first grant.
    time_point granted{};
    time_point due{};
    time_point recalled{}; ///< When its return was last asked for.
};

/// A loan from another instance, or a request for one. Its amount never changes: to hold more, the borrower
/// takes a further loan, and to hold less it returns whole ones. So messages that arrive twice or late cannot
/// leave borrower and lender with different amounts.
struct loan_taken {
    instance_id lender;
    incarnation lender_number = 0;
    std::uint64_t loan = 0;
    std::uint32_t round = 0; ///< Of the last request.
    share amount;            ///< Wanted, until it is active.
    bool active = false;
    bool returning = false; ///< Waits for running work to end before it is returned.
    bool denied = false;    ///< The lender does not renew it.
    bool unanswered = true; ///< The last request is.
    time_point taken{};     ///< When it was first asked for.
    time_point sent{};      ///< When the last request was sent.
    time_point usable_until{};
    time_point asked_back_until{}; ///< Until then the lender has another borrower for it.
    time_point held_until{};       ///< End of all work that may have started on it.
};

/// What is known of an owner's spare.
struct owner_view {
    std::optional<share> spare; ///< Absent: the owner is assumed to be idle.
    time_point reported{};
    time_point not_before{}; ///< It is not asked before this time.
    duration backoff{};
};

struct demand_estimate {
    double fast = 0; ///< Thousandths per second, or permits in thousandths.
    double slow = 0;
    bool is_short = false;  ///< Refused, or close to it, before the last look.
    bool was_short = false; ///< The same, or not long ago.
    time_point short_until{};
    std::int64_t tokens = 0; ///< At the last look.
    time_point updated{};
};

struct pending_rise {
    share amount;
    time_point due{};
};

struct budget_state {
    budget_total total;
    std::shared_ptr<budget_account> account;
    share own; ///< Allocation in force.
    std::optional<pending_rise> rise;
    time_point restart_until{}; ///< Loans of the process before may be out until then.
    bool had_own = false;
    share lent;
    std::vector<loan_given> given;
    std::vector<loan_taken> taken;
    std::unordered_map<instance_id, owner_view> owners;
    demand_estimate demand;
    time_point next_round{};
    time_point asked_back_until{};    ///< Loans that were asked back are looked at in each tick until then.
    std::vector<instance_id> waiting; ///< Borrowers that got less than they asked for.
    std::optional<share> reported;    ///< Spare that the pools were last told, if not the whole allocation.
};

/// Who can be asked, computed again only when the live members change.
struct live_view {
    std::uint64_t digest = 0;
    std::unordered_map<instance_id, member_record> members;
    std::vector<std::vector<instance_id>> pools; ///< Per shard: pools of failure domain, region, fleet.
};

} // namespace internal

/// All budgets of one instance: own allocations, loans given and taken. Accounts of a destroyed ledger admit
/// nothing more.
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
    incarnation number = 0;
    time_point started{};
    bool own_allowed = false;
    bool leaving = false;
    std::uint64_t loans = 0; ///< Requested so far.
    std::vector<allocation_slot> slots;
    std::vector<std::int64_t> home_ranks; ///< Of each slot among those of its region.
    std::unordered_map<region_id, std::int64_t> home_counts;
    std::unordered_map<instance_id, instance_id> slot_owners; ///< Where changed.
    std::vector<std::size_t> own_slots; ///< Indices of the slots owned by this instance.
    std::unordered_map<instance_id, std::vector<std::size_t>> lenders; ///< Other owners and their slots.
    std::unordered_map<budget_id, internal::budget_state> budgets;
    std::unordered_set<budget_id> active;   ///< In use or with loans; the only ones that cost work.
    std::unordered_set<budget_id> settling; ///< With a pending rise or in the time after a restart.
    std::unordered_map<budget_id, time_point> removed; ///< Until when loans of removed budgets may be out.
    internal::live_view live;
    time_point next_report{};
    std::shared_ptr<internal::shared_deadline> authority_until;
    std::shared_ptr<internal::activity_queue> activity;
};

} // namespace camphorknot
