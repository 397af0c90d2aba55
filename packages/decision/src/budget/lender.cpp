// Lending: the amount of a loan is deducted before the grant is sent, and added back when the loan is
// returned or due.
#include <algorithm>
#include <mutex>
#include <utility>

#include "rounds.hpp"

namespace camphorknot::internal {
namespace {

// A recall is repeated after this time, in case the message was lost.
constexpr duration recall_period = std::chrono::milliseconds(250);

constexpr std::size_t max_waiting_borrowers = 16;
// Waiting borrowers are notified when the spare is at least a tenth of the own allocation.
constexpr std::int64_t min_lendable_divisor = 10;

bool is_worth_lending(const budget_state& state, const share& spare)
{
    const bool rate = spare.rate > 0 && spare.rate * min_lendable_divisor >= state.own.rate;
    return rate || (spare.burst > 0 && spare.burst * min_lendable_divisor >= state.own.burst);
}

granted_loan* find_granted(budget_state& state, const envelope& message, std::uint64_t loan)
{
    const auto found =
        std::find_if(state.granted_loans.begin(), state.granted_loans.end(), [&](const granted_loan& given) {
            return given.loan == loan && given.borrower == message.from &&
                   given.borrower_incarnation == message.from_incarnation;
        });
    return found == state.granted_loans.end() ? nullptr : &*found;
}

void send_grant(const budget_ledger& ledger, const envelope& message, const loan_request& request,
                const budget_amount& granted, outbox& out)
{
    const duration term = std::min(request.term, ledger.settings.loan_term);
    send(ledger, message.from, loan_grant{request.loan, request.budget, granted, term, request.round}, out);
}

budget_amount amount_of(const granted_loan& loan)
{
    return {loan.amount.rate, loan.amount.burst, loan.tokens};
}

// Takes the amount and its tokens out of the account. Asserts that the rest is the own allocation less all
// loans, so that no part counts twice (P4, P2). The amount is reduced by permits that traffic threads took
// since the spare was computed.
std::int64_t deduct(const budget_ledger& ledger, budget_state& state, share& amount, time_point now)
{
    const std::lock_guard lock(state.account->mutex);
    advance(*state.account, now);
    if (state.total.kind == budget_kind::in_flight) {
        const std::int64_t free =
            std::max<std::int64_t>(state.account->base.burst - state.account->in_use, 0);
        amount.burst = std::min(amount.burst, free - free % one_request);
    }
    state.lent = state.lent + amount;
    const bool rate_covered = amount.rate == 0 || state.lent.rate <= state.own.rate;
    const bool burst_covered = amount.burst == 0 || state.lent.burst <= state.own.burst;
    check_invariant(rate_covered && burst_covered, promise::p4_customer_rate, "lent_is_owned");
    const std::int64_t tokens = split_tokens(*state.account, amount.burst);
    set_base(*state.account, state.account->base - amount, now);
    check_invariant(state.account->base == usable_own(ledger, state, now) - state.lent,
                    promise::p4_customer_rate, "base_is_own_less_lent");
    check_invariant(state.account->tokens <= state.account->usable.burst, promise::p4_customer_rate,
                    "tokens_within_burst");
    const bool permits_free = state.total.kind != budget_kind::in_flight || amount.burst == 0 ||
                              state.account->in_use <= state.account->base.burst;
    check_invariant(permits_free, promise::p2_region_load, "lent_permits_are_free");
    return tokens;
}

// Bounds the returned tokens, whatever the message contains, by the tokens handed over plus the refill since
// the grant by the lender's clock. A duplicated return therefore creates no tokens.
std::int64_t limit_returned_tokens(const budget_ledger& ledger, const granted_loan& loan,
                                   std::int64_t returned, time_point now)
{
    const double seconds = std::chrono::duration<double>(now - loan.granted_at).count();
    const double clock_factor = 1.0 - 1e-3 * static_cast<double>(ledger.settings.clock_error_permille);
    const auto refilled = static_cast<std::int64_t>(
        std::min(1e15, seconds * clock_factor * static_cast<double>(loan.amount.rate)));
    return std::clamp<std::int64_t>(returned, 0, std::min(loan.amount.burst, loan.tokens + refilled));
}

void reclaim(const budget_ledger& ledger, budget_state& state, const granted_loan& loan, std::int64_t tokens,
             time_point now)
{
    state.lent = state.lent - loan.amount;
    check_invariant(state.lent.rate >= 0 && state.lent.burst >= 0, promise::p4_customer_rate,
                    "lent_is_not_negative");
    update_base(ledger, state, now);
    const std::lock_guard lock(state.account->mutex);
    state.account->tokens = std::min(state.account->tokens + tokens, state.account->usable.burst);
}

bool needs_own_allocation(const budget_ledger& ledger, const budget_state& state)
{
    return !ledger.leaving && !covers(state.own - state.lent,
                                      component_min(wanted_share(state, demand_view::reserved), state.own));
}

void renew(budget_ledger& ledger, budget_state& state, granted_loan& loan, const envelope& message,
           const loan_request& request, time_point now, outbox& out)
{
    if (needs_own_allocation(ledger, state) || !ledger.own_allocation_allowed ||
        !has_authority(ledger, now)) {
        send_grant(ledger, message, request, {}, out);
        return;
    }
    loan.due = std::max(loan.due, now + loan_hold_duration(ledger, state));
    send_grant(ledger, message, request, amount_of(loan), out);
}

void grant(budget_ledger& ledger, budget_state& state, const envelope& message, const loan_request& request,
           const share& amount, time_point now, outbox& out)
{
    granted_loan loan;
    loan.borrower = message.from;
    loan.borrower_incarnation = message.from_incarnation;
    loan.loan = request.loan;
    loan.amount = amount;
    update_base(ledger, state, now);
    loan.tokens = deduct(ledger, state, loan.amount, now);
    if (is_zero(loan.amount)) {
        send_grant(ledger, message, request, {}, out);
        return;
    }
    loan.granted_at = now;
    loan.due = now + loan_hold_duration(ledger, state);
    state.granted_loans.push_back(loan);
    ledger.active.insert(state.total.id);
    send_grant(ledger, message, request, amount_of(loan), out);
}

void add_waiting(budget_ledger& ledger, budget_state& state, instance_id borrower)
{
    const bool is_new = std::find(state.waiting_borrowers.begin(), state.waiting_borrowers.end(), borrower) ==
                        state.waiting_borrowers.end();
    if (is_new && state.waiting_borrowers.size() < max_waiting_borrowers) {
        state.waiting_borrowers.push_back(borrower);
        ledger.active.insert(state.total.id);
    }
}

} // namespace

void notify_waiting(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    if (state.waiting_borrowers.empty()) {
        return;
    }
    const share spare = compute_spare(ledger, state, now);
    if (!is_worth_lending(state, spare)) {
        return;
    }
    for (const instance_id borrower : std::exchange(state.waiting_borrowers, {})) {
        spare_report report;
        report.entries.push_back({state.total.id, ledger.settings.self, spare.rate, spare.burst});
        send(ledger, borrower, std::move(report), out);
    }
}

void expire_granted(const budget_ledger& ledger, budget_state& state, time_point now)
{
    const auto due = std::partition(state.granted_loans.begin(), state.granted_loans.end(),
                                    [&](const granted_loan& loan) { return loan.due > now; });
    for (auto loan = due; loan != state.granted_loans.end(); ++loan) {
        reclaim(ledger, state, *loan, 0, now);
    }
    state.granted_loans.erase(due, state.granted_loans.end());
}

void recall_loans(const budget_ledger& ledger, budget_state& state, share needed,
                  const recall_options& options, time_point now, outbox& out)
{
    for (granted_loan& loan : state.granted_loans) {
        if (is_zero(needed)) {
            return;
        }
        if (loan.borrower == options.requester) {
            continue;
        }
        needed = needed - loan.amount;
        if (now - loan.recalled_at < recall_period) {
            continue;
        }
        loan.recalled_at = now;
        loan_grant recall;
        recall.loan = loan.loan;
        recall.budget = state.total.id;
        recall.recall = options.kind;
        send(ledger, loan.borrower, recall, out);
    }
}

void on_loan_request(budget_ledger& ledger, const envelope& message, const loan_request& body, time_point now,
                     outbox& out)
{
    const auto found = ledger.budgets.find(body.budget);
    if (found == ledger.budgets.end()) {
        send_grant(ledger, message, body, {}, out);
        return;
    }
    budget_state& state = found->second;
    expire_granted(ledger, state, now);
    if (granted_loan* loan = find_granted(state, message, body.loan)) {
        renew(ledger, state, *loan, message, body, now, out);
        return;
    }
    const share wanted = clamp_at_zero({body.wanted.rate_per_second, body.wanted.burst});
    const share amount = component_min(wanted, compute_spare(ledger, state, now));
    if (is_zero(amount) || body.round > 0) {
        // A renewal of a loan that is not on record came too late: its amount is no longer deducted.
        send_grant(ledger, message, body, {}, out);
    } else {
        grant(ledger, state, message, body, amount, now, out);
    }
    if (amount != wanted) {
        add_waiting(ledger, state, message.from);
    }
    if (amount.rate * 2 < wanted.rate || amount.burst * 2 < wanted.burst) {
        recall_loans(ledger, state, wanted - amount, {loan_recall::if_unused, message.from}, now, out);
        send_owners_with_spare(ledger, state, message.from, now, out);
    }
}

void on_loan_return(budget_ledger& ledger, const envelope& message, const loan_return& body, time_point now)
{
    const auto found = ledger.budgets.find(body.budget);
    if (found == ledger.budgets.end()) {
        return;
    }
    budget_state& state = found->second;
    const granted_loan* loan = find_granted(state, message, body.loan);
    if (loan == nullptr) {
        return;
    }
    const granted_loan ended = *loan;
    state.granted_loans.erase(state.granted_loans.begin() + (loan - state.granted_loans.data()));
    reclaim(ledger, state, ended, limit_returned_tokens(ledger, ended, body.returned.tokens, now), now);
}

} // namespace camphorknot::internal
