// Lending: deducts before a grant is sent, and takes back when a loan is returned or due.
#include <algorithm>
#include <mutex>
#include <utility>

#include "rounds.hpp"

namespace camphorknot::internal {
namespace {

// A borrower that was asked for a return is asked again only after this time, in case the message was lost.
constexpr duration recall_period = std::chrono::milliseconds(250);

constexpr std::size_t waiting_limit = 16;
// Waiting borrowers are told of spare from a tenth of the own allocation on.
constexpr std::int64_t worth_divisor = 10;

bool is_worth_lending(const budget_state& state, const share& spare)
{
    const bool rate = spare.rate > 0 && spare.rate * worth_divisor >= state.own.rate;
    return rate || (spare.burst > 0 && spare.burst * worth_divisor >= state.own.burst);
}

loan_given* find_given(budget_state& state, const envelope& message, std::uint64_t loan)
{
    const auto found = std::find_if(state.given.begin(), state.given.end(), [&](const loan_given& given) {
        return given.loan == loan && given.borrower == message.from &&
               given.number == message.from_incarnation;
    });
    return found == state.given.end() ? nullptr : &*found;
}

void send_grant(const budget_ledger& ledger, const envelope& message, const loan_request& request,
                const budget_amount& granted, outbox& out)
{
    const duration term = std::min(request.term, ledger.settings.loan_term);
    send(ledger, message.from, loan_grant{request.loan, request.budget, granted, term, request.round}, out);
}

budget_amount amount_of(const loan_given& loan)
{
    return {loan.amount.rate, loan.amount.burst, loan.tokens};
}

// Takes the amount and its tokens out of the account. What remains is asserted to be the own allocation less
// all loans, so that no part of it counts twice (P4, P2). Permits that traffic threads took since the spare
// was computed are left out of the amount.
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
    const bool rate_owned = amount.rate == 0 || state.lent.rate <= state.own.rate;
    const bool burst_owned = amount.burst == 0 || state.lent.burst <= state.own.burst;
    check_invariant(rate_owned && burst_owned, promise::p4_customer_rate, "lent_is_owned");
    const std::int64_t tokens = split_tokens(*state.account, amount.burst);
    set_base(*state.account, state.account->base - amount, now);
    check_invariant(state.account->base == allowed_own(ledger, state, now) - state.lent,
                    promise::p4_customer_rate, "base_is_own_less_lent");
    check_invariant(state.account->tokens <= state.account->sum.burst, promise::p4_customer_rate,
                    "tokens_within_burst");
    const bool permits_free = state.total.kind != budget_kind::in_flight || amount.burst == 0 ||
                              state.account->in_use <= state.account->base.burst;
    check_invariant(permits_free, promise::p2_region_load, "lent_permits_are_free");
    return tokens;
}

// The lender's own rate over the time of the loan bounds the tokens that may come back, whatever the message
// says: a return that arrives twice cannot create any.
std::int64_t tokens_back(const budget_ledger& ledger, const loan_given& loan, std::int64_t said,
                         time_point now)
{
    const double seconds = std::chrono::duration<double>(now - loan.granted).count();
    const double slowed = 1.0 - 1e-3 * static_cast<double>(ledger.settings.clock_error_permille);
    const auto refilled =
        static_cast<std::int64_t>(std::min(1e15, seconds * slowed * static_cast<double>(loan.amount.rate)));
    return std::clamp<std::int64_t>(said, 0, std::min(loan.amount.burst, loan.tokens + refilled));
}

void take_back(const budget_ledger& ledger, budget_state& state, const loan_given& loan, std::int64_t tokens,
               time_point now)
{
    state.lent = state.lent - loan.amount;
    check_invariant(state.lent.rate >= 0 && state.lent.burst >= 0, promise::p4_customer_rate,
                    "lent_is_not_negative");
    rebase(ledger, state, now);
    const std::lock_guard lock(state.account->mutex);
    state.account->tokens = std::min(state.account->tokens + tokens, state.account->sum.burst);
}

bool needs_own(const budget_ledger& ledger, const budget_state& state)
{
    return !ledger.leaving &&
           !covers(state.own - state.lent, at_most(wanted_share(state, demand_view::kept), state.own));
}

void renew(budget_ledger& ledger, budget_state& state, loan_given& loan, const envelope& message,
           const loan_request& request, time_point now, outbox& out)
{
    if (needs_own(ledger, state) || !ledger.own_allowed || !has_authority(ledger, now)) {
        send_grant(ledger, message, request, {}, out);
        return;
    }
    loan.due = std::max(loan.due, now + hold_time(ledger, state));
    send_grant(ledger, message, request, amount_of(loan), out);
}

void grant(budget_ledger& ledger, budget_state& state, const envelope& message, const loan_request& request,
           const share& amount, time_point now, outbox& out)
{
    loan_given loan;
    loan.borrower = message.from;
    loan.number = message.from_incarnation;
    loan.loan = request.loan;
    loan.amount = amount;
    rebase(ledger, state, now);
    loan.tokens = deduct(ledger, state, loan.amount, now);
    if (is_zero(loan.amount)) {
        send_grant(ledger, message, request, {}, out);
        return;
    }
    loan.granted = now;
    loan.due = now + hold_time(ledger, state);
    state.given.push_back(loan);
    ledger.active.insert(state.total.id);
    send_grant(ledger, message, request, amount_of(loan), out);
}

void add_waiting(budget_ledger& ledger, budget_state& state, instance_id borrower)
{
    const bool is_new =
        std::find(state.waiting.begin(), state.waiting.end(), borrower) == state.waiting.end();
    if (is_new && state.waiting.size() < waiting_limit) {
        state.waiting.push_back(borrower);
        ledger.active.insert(state.total.id);
    }
}

} // namespace

void notify_waiting(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    if (state.waiting.empty()) {
        return;
    }
    const share spare = spare_of(ledger, state, now);
    if (!is_worth_lending(state, spare)) {
        return;
    }
    for (const instance_id borrower : std::exchange(state.waiting, {})) {
        spare_report report;
        report.entries.push_back({state.total.id, ledger.settings.self, spare.rate, spare.burst});
        send(ledger, borrower, std::move(report), out);
    }
}

void expire_given(const budget_ledger& ledger, budget_state& state, time_point now)
{
    const auto due = std::partition(state.given.begin(), state.given.end(),
                                    [&](const loan_given& loan) { return loan.due > now; });
    for (auto loan = due; loan != state.given.end(); ++loan) {
        take_back(ledger, state, *loan, 0, now);
    }
    state.given.erase(due, state.given.end());
}

void recall_loans(const budget_ledger& ledger, budget_state& state, share needed, const recall_for& why,
                  time_point now, outbox& out)
{
    for (loan_given& loan : state.given) {
        if (is_zero(needed)) {
            return;
        }
        if (loan.borrower == why.asking) {
            continue;
        }
        needed = needed - loan.amount;
        if (now - loan.recalled < recall_period) {
            continue;
        }
        loan.recalled = now;
        loan_grant recall;
        recall.loan = loan.loan;
        recall.budget = state.total.id;
        recall.recall = why.how;
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
    expire_given(ledger, state, now);
    if (loan_given* loan = find_given(state, message, body.loan)) {
        renew(ledger, state, *loan, message, body, now, out);
        return;
    }
    const share wanted = at_least_zero({body.wanted.rate_per_second, body.wanted.burst});
    const share amount = at_most(wanted, spare_of(ledger, state, now));
    if (is_zero(amount) || body.round > 0) {
        // A renewal of a loan that is not known here comes too late: its amount is no longer set aside.
        send_grant(ledger, message, body, {}, out);
    } else {
        grant(ledger, state, message, body, amount, now, out);
    }
    if (amount != wanted) {
        add_waiting(ledger, state, message.from);
    }
    if (amount.rate * 2 < wanted.rate || amount.burst * 2 < wanted.burst) {
        recall_loans(ledger, state, wanted - amount, {loan_recall::if_unused, message.from}, now, out);
        send_known_owners(ledger, state, message.from, now, out);
    }
}

void on_loan_return(budget_ledger& ledger, const envelope& message, const loan_return& body, time_point now)
{
    const auto found = ledger.budgets.find(body.budget);
    if (found == ledger.budgets.end()) {
        return;
    }
    budget_state& state = found->second;
    const loan_given* loan = find_given(state, message, body.loan);
    if (loan == nullptr) {
        return;
    }
    const loan_given ended = *loan;
    state.given.erase(state.given.begin() + (loan - state.given.data()));
    take_back(ledger, state, ended, tokens_back(ledger, ended, body.returned.tokens, now), now);
}

} // namespace camphorknot::internal
