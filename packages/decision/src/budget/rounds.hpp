/// @file
/// Steps of the lending rounds, shared by the files of this module.
#pragma once

#include <algorithm>

#include "camphorknot/budget.hpp"

namespace camphorknot::internal {

inline constexpr std::int64_t one_request = 1000; ///< Thousandths.

inline bool is_zero(const share& amount)
{
    return amount.rate <= 0 && amount.burst <= 0;
}

inline share operator+(const share& a, const share& b)
{
    return {a.rate + b.rate, a.burst + b.burst};
}

inline share operator-(const share& a, const share& b)
{
    return {a.rate - b.rate, a.burst - b.burst};
}

inline share at_most(const share& a, const share& b)
{
    return {std::min(a.rate, b.rate), std::min(a.burst, b.burst)};
}

inline share at_least_zero(const share& a)
{
    return {std::max<std::int64_t>(a.rate, 0), std::max<std::int64_t>(a.burst, 0)};
}

/// @return whether @p a is at least @p b in both parts.
inline bool covers(const share& a, const share& b)
{
    return a.rate >= b.rate && a.burst >= b.burst;
}

/// @return how long the lender counts a loan after a grant, unless it is returned before.
duration hold_time(const budget_ledger& ledger, const budget_state& state);

bool has_authority(const budget_ledger& ledger, time_point now);

/// @return own allocation that may be used now: less while not allowed or after a restart.
share allowed_own(const budget_ledger& ledger, const budget_state& state, time_point now);

/// Gives the account its own allocation less what is lent.
void rebase(const budget_ledger& ledger, budget_state& state, time_point now);

/// Reads the account's counters into the estimate.
/// @param is_short whether the account refused or came close to it since the last look.
void update_demand(budget_state& state, bool is_short, time_point now);

enum class demand_view : std::uint8_t {
    wanted, ///< With a margin, to borrow for.
    kept,   ///< The least that is kept from lending, and that loans are recalled for.
    latest, ///< Kept, by the fast average alone: whether the callers have gone.
};

/// @return what the demand calls for, at most the total.
share wanted_share(const budget_state& state, demand_view view);

/// @return what could be lent now.
share spare_of(const budget_ledger& ledger, const budget_state& state, time_point now);

/// Ends given loans that are due.
void expire_given(const budget_ledger& ledger, budget_state& state, time_point now);

struct recall_for {
    loan_recall how = loan_recall::always;
    instance_id asking; ///< The borrower that is short; its own loans are left.
};

/// Asks for given loans to be returned, up to @p needed.
void recall_loans(const budget_ledger& ledger, budget_state& state, share needed, const recall_for& why,
                  time_point now, outbox& out);

/// Tells borrowers that were refused a loan once there is spare again.
void notify_waiting(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out);

/// Renews, returns and requests loans.
void run_borrower(budget_ledger& ledger, budget_state& state, time_point now, outbox& out);

/// Returns all loans that no running work needs, and the others as soon as it has ended.
void return_all(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out);

/// Ends loans from a lender that was proved stopped.
void drop_lender(budget_state& state, instance_id lender, incarnation number, time_point now);

void on_loan_request(budget_ledger& ledger, const envelope& message, const loan_request& body, time_point now,
                     outbox& out);
void on_loan_grant(budget_ledger& ledger, const envelope& message, const loan_grant& body, time_point now,
                   outbox& out);
void on_loan_return(budget_ledger& ledger, const envelope& message, const loan_return& body, time_point now);
void on_spare_report(budget_ledger& ledger, const envelope& message, const spare_report& body,
                     time_point now);

/// Finds members and pool instances again if the live members changed.
void update_live(budget_ledger& ledger, std::span<const member_record> live);

/// @return the pool instances of the budget, without this instance.
std::vector<instance_id> pools_of(const budget_ledger& ledger, budget_id budget);

/// Reports changed spare to the pools, in one message for each pool instance.
void report_spare(budget_ledger& ledger, time_point now, outbox& out);

/// Tells a borrower which other owners are known to have spare.
void send_known_owners(const budget_ledger& ledger, const budget_state& state, instance_id borrower,
                       time_point now, outbox& out);

/// @return spare that the owner is known or assumed to have.
share known_spare(const budget_ledger& ledger, const budget_state& state, instance_id owner, time_point now);

/// @return the part of the total that belongs to the slot with the index.
share slot_share(const budget_ledger& ledger, const budget_state& state, std::size_t slot);

inline void send(const budget_ledger& ledger, instance_id to, peer_message body, outbox& out)
{
    out.push_back({ledger.settings.self, ledger.number, to, std::move(body)});
}

} // namespace camphorknot::internal
