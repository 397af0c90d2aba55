/// @file
/// Steps of the lending rounds, shared by the files of this folder. All run on the control thread.
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

inline share component_min(const share& a, const share& b)
{
    return {std::min(a.rate, b.rate), std::min(a.burst, b.burst)};
}

inline share clamp_at_zero(const share& a)
{
    return {std::max<std::int64_t>(a.rate, 0), std::max<std::int64_t>(a.burst, 0)};
}

/// @return whether @p a is at least @p b in both rate and burst.
inline bool covers(const share& a, const share& b)
{
    return a.rate >= b.rate && a.burst >= b.burst;
}

/// @return how long the lender deducts a loan after a grant, unless it is returned before.
duration loan_hold_duration(const budget_ledger& ledger, const budget_state& state);

bool has_authority(const budget_ledger& ledger, time_point now);

/// @return own allocation that may be used now: none while not allowed, and without the lendable part while
/// loans of the previous process may be active.
share usable_own(const budget_ledger& ledger, const budget_state& state, time_point now);

/// Sets the account's base to the usable own allocation less what is lent.
void update_base(const budget_ledger& ledger, budget_state& state, time_point now);

/// Updates the demand estimate from the account's counters and resets them.
/// @param is_short whether the account refused or came close to it since the last lending round.
void update_demand(budget_state& state, bool is_short, time_point now);

enum class demand_view : std::uint8_t {
    wanted,   ///< With a margin; loans are requested up to it.
    reserved, ///< Minimum that is not lent, and for which loans are recalled.
    latest,   ///< As reserved, by the fast average alone, to detect that the callers have gone.
};

/// @return the share that the demand requires, at most the total.
share wanted_share(const budget_state& state, demand_view view);

/// @return the spare: what could be lent now.
share compute_spare(const budget_ledger& ledger, const budget_state& state, time_point now);

/// Ends granted loans that are due.
void expire_granted(const budget_ledger& ledger, budget_state& state, time_point now);

struct recall_options {
    loan_recall kind = loan_recall::always;
    instance_id requester; ///< The borrower that is short; its own loans are not recalled.
};

/// Recalls granted loans, up to the amount @p needed.
void recall_loans(const budget_ledger& ledger, budget_state& state, share needed,
                  const recall_options& options, time_point now, outbox& out);

/// Sends the spare to borrowers that got less than they requested, once there is enough again.
void notify_waiting(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out);

/// Renews, returns and requests loans.
void run_borrower(budget_ledger& ledger, budget_state& state, time_point now, outbox& out);

/// Returns all loans that no running work needs and marks the others to be returned after that work.
void return_all_loans(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out);

/// Ends loans from the incarnation @p number of a lender and earlier ones, which were proved stopped.
void end_loans_from(budget_state& state, instance_id lender, incarnation number, time_point now);

void on_loan_request(budget_ledger& ledger, const envelope& message, const loan_request& body, time_point now,
                     outbox& out);
void on_loan_grant(budget_ledger& ledger, const envelope& message, const loan_grant& body, time_point now,
                   outbox& out);
void on_loan_return(budget_ledger& ledger, const envelope& message, const loan_return& body, time_point now);
void on_spare_report(budget_ledger& ledger, const envelope& message, const spare_report& body,
                     time_point now);

/// Recomputes the live view if the live members changed.
void update_live_members(budget_ledger& ledger, std::span<const member_record> live);

/// @return the pool instances of the budget other than this instance.
std::vector<instance_id> pools_for(const budget_ledger& ledger, budget_id budget);

/// Reports changed spare to the pools, in one message per pool instance.
void report_spare(budget_ledger& ledger, time_point now, outbox& out);

/// Sends a borrower the other owners that recently reported spare.
void send_owners_with_spare(const budget_ledger& ledger, const budget_state& state, instance_id borrower,
                            time_point now, outbox& out);

/// @return the spare that the owner recently reported, or else its whole allocation.
share estimate_spare(const budget_ledger& ledger, const budget_state& state, instance_id owner,
                     time_point now);

/// @return the part of the total that belongs to the slot at the index @p slot.
share slot_share(const budget_ledger& ledger, const budget_state& state, std::size_t slot);

inline void send(const budget_ledger& ledger, instance_id to, peer_message body, outbox& out)
{
    out.push_back({ledger.settings.self, ledger.number, to, std::move(body)});
}

} // namespace camphorknot::internal
