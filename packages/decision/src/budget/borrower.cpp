// Borrowing: requests loans according to the demand, renews them at half of their term, and returns those
// that are not needed.
#include <algorithm>
#include <mutex>
#include <tuple>

#include "rounds.hpp"

namespace camphorknot::internal {
namespace {

// A request that is unanswered for this long no longer counts as expected capacity. It is above the longest
// round trip (110 ms) and the time between two rounds.
constexpr duration answer_timeout = std::chrono::milliseconds(300);
// A lender that did not answer gets no request for this long.
constexpr duration unanswered_backoff = std::chrono::seconds(1);
constexpr duration min_backoff = std::chrono::milliseconds(100);
constexpr duration max_backoff = std::chrono::milliseconds(1600);
// How long a conditional recall (another borrower needs the loan) stays in effect.
constexpr duration conditional_recall_duration = std::chrono::seconds(1);
// A lender that recalled a loan needs part of it for its own callers. How much is computed in its next round,
// so it gets no request before.
constexpr duration recalled_backoff = std::chrono::milliseconds(300);
constexpr std::size_t max_requests_per_round = 16;
constexpr std::size_t max_loans = 256; ///< Per budget; bounds the number of small loans.
// A loan is returned only if the rest is well above the demand, so that loans are not returned and requested
// again in turn.
constexpr std::int64_t min_remaining_percent = 125;
constexpr duration min_loan_duration = std::chrono::milliseconds(300);
constexpr std::int64_t percent = 100;

void increase_backoff(owner_view& view, time_point now)
{
    view.backoff = std::clamp(view.backoff * 2, min_backoff, max_backoff);
    view.not_before = now + view.backoff;
}

share unlent_own(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    return usable_own(ledger, state, now) - state.lent;
}

bool renewal_is_overdue(const budget_ledger& ledger, const borrowed_loan& loan, time_point now)
{
    return loan.unanswered && now > loan.usable_until - ledger.settings.loan_term / 2 + answer_timeout;
}

// The share that remains when the loans that are not renewed have ended, plus requests still within the
// answer timeout.
share expected_share(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    share sum = unlent_own(ledger, state, now);
    for (const borrowed_loan& loan : state.borrowed_loans) {
        const bool arriving = !loan.active && now - loan.request_sent < answer_timeout;
        const bool staying =
            loan.active && !loan.returning && !loan.denied && !renewal_is_overdue(ledger, loan, now);
        if (arriving || staying) {
            sum = sum + loan.amount;
        }
    }
    return sum;
}

share held_share(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    share sum = unlent_own(ledger, state, now);
    for (const borrowed_loan& loan : state.borrowed_loans) {
        if (loan.active && !loan.returning) {
            sum = sum + loan.amount;
        }
    }
    return sum;
}

// Stops using the loan and returns it to the lender. Returns false if running work still needs it.
bool return_loan(const budget_ledger& ledger, const budget_state& state, borrowed_loan& loan, time_point now,
                 outbox& out)
{
    std::int64_t tokens = 0;
    {
        const std::lock_guard lock(state.account->mutex);
        tokens = remove_borrowed(*state.account, loan.loan, now);
        // Running work must fit into the shares on which work may still start: only those are held for
        // max_use_duration from now on (P2).
        if (state.total.kind == budget_kind::in_flight &&
            state.account->in_use > state.account->usable.burst) {
            loan.returning = true;
            return false;
        }
    }
    const budget_amount returned = {loan.amount.rate, loan.amount.burst, tokens};
    send(ledger, loan.lender, loan_return{loan.loan, state.total.id, returned}, out);
    return true;
}

// Returns true if the loan has ended. The account already stopped using an active one at the end of its term.
bool finish_if_ended(const budget_ledger& ledger, budget_state& state, borrowed_loan& loan, time_point now,
                     outbox& out)
{
    if (!loan.active) {
        const bool timed_out = now >= loan.request_sent + ledger.settings.loan_term;
        if (timed_out) {
            state.owner_views[loan.lender].not_before = now + unanswered_backoff;
        }
        return timed_out;
    }
    if (state.total.kind == budget_kind::rate) {
        return now >= loan.usable_until;
    }
    if (now >= loan.held_until) {
        return true;
    }
    return (loan.returning || now >= loan.usable_until) && return_loan(ledger, state, loan, now, out);
}

void finish_ended_loans(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    for (std::size_t i = 0; i < state.borrowed_loans.size();) {
        if (finish_if_ended(ledger, state, state.borrowed_loans[i], now, out)) {
            state.borrowed_loans.erase(state.borrowed_loans.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            ++i;
        }
    }
}

// Returns loans whose amount is not needed: the rest must cover the wanted share by a margin, or, after a
// conditional recall, only the latest demand.
void return_surplus(const budget_ledger& ledger, budget_state& state, const share& wanted, time_point now,
                    outbox& out)
{
    const share limit_with_margin = {wanted.rate * min_remaining_percent / percent,
                                     wanted.burst * min_remaining_percent / percent};
    const share latest = wanted_share(state, demand_view::latest);
    share held = held_share(ledger, state, now);
    for (std::size_t i = state.borrowed_loans.size(); i > 0; --i) {
        borrowed_loan& loan = state.borrowed_loans[i - 1];
        const share& limit = now < loan.conditional_recall_until ? latest : limit_with_margin;
        const bool is_recent = now - loan.requested_at < min_loan_duration;
        if (!loan.active || loan.returning || is_recent || !covers(held - loan.amount, limit)) {
            continue;
        }
        held = held - loan.amount;
        if (return_loan(ledger, state, loan, now, out)) {
            state.borrowed_loans.erase(state.borrowed_loans.begin() + static_cast<std::ptrdiff_t>(i - 1));
        }
    }
}

void send_request(const budget_ledger& ledger, const budget_state& state, borrowed_loan& loan, time_point now,
                  outbox& out)
{
    loan.request_sent = now;
    loan.unanswered = true;
    loan_request request;
    request.loan = loan.loan;
    request.budget = state.total.id;
    request.wanted = {loan.amount.rate, loan.amount.burst, 0};
    request.term = ledger.settings.loan_term;
    request.round = loan.round;
    send(ledger, loan.lender, request, out);
}

void renew_loans(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    for (borrowed_loan& loan : state.borrowed_loans) {
        const bool is_due = now >= loan.usable_until - ledger.settings.loan_term / 2;
        const bool awaiting_answer = loan.unanswered && now - loan.request_sent < answer_timeout;
        if (loan.active && !loan.returning && !loan.denied && is_due && !awaiting_answer) {
            ++loan.round;
            send_request(ledger, state, loan, now, out);
        }
    }
}

struct candidate {
    instance_id instance;
    int scope = 0; ///< Smallest one shared with this instance: 0 failure domain, 1 region, 2 fleet.
    share spare;
    std::uint64_t rank = 0;
};

// Sorted by the nearest scope, then by the largest estimated spare.
std::vector<candidate> find_candidates(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    std::vector<candidate> found;
    for (const auto& [lender, slots] : ledger.lenders) {
        const auto member = ledger.live.members.find(lender);
        if (member == ledger.live.members.end()) {
            continue;
        }
        const auto view = state.owner_views.find(lender);
        const share spare = estimate_spare(ledger, state, lender, now);
        if (is_zero(spare) || (view != state.owner_views.end() && now < view->second.not_before)) {
            continue;
        }
        const int scope = member->second.failure_domain == ledger.settings.failure_domain ? 0
                          : member->second.region == ledger.settings.region               ? 1
                                                                                          : 2;
        const std::uint64_t rank =
            mix_hash(mix_hash(ledger.settings.self.value, state.total.id.value), lender.value);
        found.push_back({lender, scope, spare, rank});
    }
    std::sort(found.begin(), found.end(), [](const candidate& a, const candidate& b) {
        return std::tuple(a.scope, -a.spare.burst, a.rank) < std::tuple(b.scope, -b.spare.burst, b.rank);
    });
    return found;
}

void request_loan(budget_ledger& ledger, budget_state& state, instance_id lender, const share& amount,
                  time_point now, outbox& out)
{
    borrowed_loan loan;
    loan.lender = lender;
    loan.loan = mix_hash(mix_hash(ledger.settings.self.value, ledger.number), ++ledger.requested_loans);
    loan.amount = amount;
    loan.requested_at = now;
    state.owner_views[lender].not_before = now + min_backoff;
    send_request(ledger, state, loan, now, out);
    state.borrowed_loans.push_back(loan);
}

share request_amount(const budget_state& state, const share& shortfall, const share& spare)
{
    share amount = clamp_at_zero(component_min(shortfall, spare));
    if (state.total.kind == budget_kind::in_flight) {
        amount.burst = (amount.burst + one_request - 1) / one_request * one_request;
    }
    return amount;
}

void request_loans(budget_ledger& ledger, budget_state& state, share shortfall, time_point now, outbox& out)
{
    std::size_t requests = 0;
    for (const candidate& lender : find_candidates(ledger, state, now)) {
        const share amount = request_amount(state, shortfall, lender.spare);
        if (requests == max_requests_per_round || state.borrowed_loans.size() >= max_loans) {
            break;
        }
        if (is_zero(amount)) {
            continue;
        }
        request_loan(ledger, state, lender.instance, amount, now, out);
        shortfall = shortfall - amount;
        ++requests;
    }
    if (is_zero(shortfall) || ledger.lenders.size() <= max_requests_per_round ||
        state.borrowed_loans.size() >= max_loans) {
        return;
    }
    // One round can't send a request to every owner; a pool instance answers with the owners that have spare.
    for (const instance_id pool : pools_for(ledger, state.total.id)) {
        owner_view& view = state.owner_views[pool];
        if (now >= view.not_before) {
            increase_backoff(view, now);
            request_loan(ledger, state, pool, clamp_at_zero(shortfall), now, out);
            return;
        }
    }
}

// Small shortfalls are left to the next round, unless the available burst is below two requests.
bool is_worth_requesting(const share& shortfall, const share& wanted, const share& available)
{
    const bool has_no_room = shortfall.burst > 0 && available.burst < 2 * one_request;
    return has_no_room || shortfall.rate * 10 > wanted.rate || shortfall.burst * 10 > wanted.burst;
}

borrowed_loan* find_borrowed(budget_state& state, instance_id lender, std::uint64_t loan)
{
    const auto found = std::find_if(
        state.borrowed_loans.begin(), state.borrowed_loans.end(),
        [&](const borrowed_loan& taken) { return taken.loan == loan && taken.lender == lender; });
    return found == state.borrowed_loans.end() ? nullptr : &*found;
}

void erase_borrowed(budget_state& state, const borrowed_loan& loan)
{
    state.borrowed_loans.erase(state.borrowed_loans.begin() + (&loan - state.borrowed_loans.data()));
}

void on_recall(const budget_ledger& ledger, budget_state& state, borrowed_loan& loan, loan_recall kind,
               time_point now, outbox& out)
{
    if (kind == loan_recall::if_unused) {
        loan.conditional_recall_until = now + conditional_recall_duration;
        state.conditional_recall_until = loan.conditional_recall_until;
        return;
    }
    state.owner_views[loan.lender].not_before = now + recalled_backoff;
    if (return_loan(ledger, state, loan, now, out)) {
        erase_borrowed(state, loan);
    }
}

void activate(const budget_ledger& ledger, budget_state& state, borrowed_loan& loan, const envelope& message,
              const loan_grant& body, time_point now)
{
    const share granted = {body.granted.rate_per_second, body.granted.burst};
    owner_view& view = state.owner_views[loan.lender];
    if (granted == loan.amount) {
        view.backoff = {};
        view.spare.reset();
    } else {
        increase_backoff(view, now);
    }
    const time_point end = loan.request_sent + std::min(body.term, ledger.settings.loan_term);
    if (is_zero(granted) || now >= end) {
        erase_borrowed(state, loan);
        return;
    }
    check_invariant(covers(loan.amount, granted), promise::p4_customer_rate, "granted_is_wanted");
    loan.amount = granted;
    loan.lender_incarnation = message.from_incarnation;
    loan.active = true;
    loan.usable_until = end;
    loan.held_until = end + state.total.max_use_duration;
    const std::lock_guard lock(state.account->mutex);
    add_borrowed(*state.account, {loan.loan, granted, end}, body.granted.tokens, now);
}

// Returns false if the loan ended before the answer was received.
bool extend(const budget_ledger& ledger, budget_state& state, borrowed_loan& loan, const envelope& message,
            const loan_grant& body, time_point now)
{
    const share granted = {body.granted.rate_per_second, body.granted.burst};
    if (message.from_incarnation != loan.lender_incarnation || granted != loan.amount || loan.returning) {
        loan.denied = true;
        return true;
    }
    const std::lock_guard lock(state.account->mutex);
    advance(*state.account, now);
    const auto part = std::find_if(state.account->borrowed.begin(), state.account->borrowed.end(),
                                   [&](const borrowed_share& other) { return other.loan == loan.loan; });
    if (part == state.account->borrowed.end()) {
        return false;
    }
    part->usable_until =
        std::max(part->usable_until, loan.request_sent + std::min(body.term, ledger.settings.loan_term));
    loan.usable_until = part->usable_until;
    loan.held_until = loan.usable_until + state.total.max_use_duration;
    update_usable(*state.account);
    return true;
}

} // namespace

void run_borrower(budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    finish_ended_loans(ledger, state, now, out);
    if (ledger.leaving) {
        return_all_loans(ledger, state, now, out);
        return;
    }
    const share wanted = wanted_share(state, demand_view::wanted);
    return_surplus(ledger, state, wanted, now, out);
    renew_loans(ledger, state, now, out);
    const share available = expected_share(ledger, state, now);
    const share shortfall = wanted - available;
    if (is_zero(shortfall) || !is_worth_requesting(shortfall, wanted, available)) {
        return;
    }
    const share reserved_shortfall = wanted_share(state, demand_view::reserved) - available;
    recall_loans(ledger, state, reserved_shortfall, {}, now, out);
    request_loans(ledger, state, shortfall, now, out);
}

void return_all_loans(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    for (std::size_t i = state.borrowed_loans.size(); i > 0; --i) {
        borrowed_loan& loan = state.borrowed_loans[i - 1];
        if (!loan.active || return_loan(ledger, state, loan, now, out)) {
            state.borrowed_loans.erase(state.borrowed_loans.begin() + static_cast<std::ptrdiff_t>(i - 1));
        }
    }
}

void end_loans_from(budget_state& state, instance_id lender, incarnation number, time_point now)
{
    std::erase_if(state.borrowed_loans, [&](borrowed_loan& loan) {
        if (loan.lender != lender || (loan.active && loan.lender_incarnation > number)) {
            return false;
        }
        const std::lock_guard lock(state.account->mutex);
        remove_borrowed(*state.account, loan.loan, now);
        loan.returning = true; // Running work may hold its permits until held_until.
        return state.total.kind == budget_kind::rate || !loan.active;
    });
}

void on_loan_grant(budget_ledger& ledger, const envelope& message, const loan_grant& body, time_point now,
                   outbox& out)
{
    const auto found = ledger.budgets.find(body.budget);
    if (found == ledger.budgets.end()) {
        return;
    }
    budget_state& state = found->second;
    borrowed_loan* loan = find_borrowed(state, message.from, body.loan);
    if (loan == nullptr) {
        if (body.recall == loan_recall::none && body.granted.burst + body.granted.rate_per_second > 0) {
            // The grant arrived too late; the return frees its amount at the lender. No tokens are returned:
            // the loan may have been active here before and its tokens spent.
            const budget_amount returned = {body.granted.rate_per_second, body.granted.burst, 0};
            send(ledger, message.from, loan_return{body.loan, body.budget, returned}, out);
        }
    } else if (body.recall != loan_recall::none) {
        if (loan->active && !loan->returning) {
            on_recall(ledger, state, *loan, body.recall, now, out);
        }
    } else if (body.round == loan->round && loan->unanswered) {
        loan->unanswered = false;
        if (loan->active) {
            if (!extend(ledger, state, *loan, message, body, now) &&
                return_loan(ledger, state, *loan, now, out)) {
                erase_borrowed(state, *loan);
            }
        } else {
            activate(ledger, state, *loan, message, body, now);
        }
    }
}

} // namespace camphorknot::internal
