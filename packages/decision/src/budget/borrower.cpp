// Borrowing: asks for what the demand calls for, renews at half of the term, returns what is not needed.
#include <algorithm>
#include <mutex>
#include <tuple>

#include "rounds.hpp"

namespace camphorknot::internal {
namespace {

// A request without an answer for this long does not count as capacity to come. It is above the longest round
// trip (110 ms) and the time between two rounds.
constexpr duration answer_time = std::chrono::milliseconds(300);
// A lender that does not answer is left alone for this long.
constexpr duration silent_backoff = std::chrono::seconds(1);
constexpr duration shortest_backoff = std::chrono::milliseconds(100);
constexpr duration longest_backoff = std::chrono::milliseconds(1600);
// How long the request of another borrower for a loan is remembered.
constexpr duration asked_back_time = std::chrono::seconds(1);
// A lender that asked for its loan back needs part of it for its own callers; it knows how much after a
// round.
constexpr duration recalled_backoff = std::chrono::milliseconds(300);
constexpr std::size_t requests_per_round = 16;
constexpr std::size_t loan_limit = 256; ///< Per budget, against many small loans.
// Loans are returned only if what remains is well above the demand, so that they do not come and go.
constexpr std::int64_t surplus_percent = 125;
constexpr duration shortest_loan = std::chrono::milliseconds(300);
constexpr std::int64_t percent = 100;

void back_off(owner_view& view, time_point now)
{
    view.backoff = std::clamp(view.backoff * 2, shortest_backoff, longest_backoff);
    view.not_before = now + view.backoff;
}

share own_free(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    return allowed_own(ledger, state, now) - state.lent;
}

bool renewal_is_overdue(const budget_ledger& ledger, const loan_taken& loan, time_point now)
{
    return loan.unanswered && now > loan.usable_until - ledger.settings.loan_term / 2 + answer_time;
}

// What will still be usable when the loans that are not renewed have ended.
share expected(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    share sum = own_free(ledger, state, now);
    for (const loan_taken& loan : state.taken) {
        const bool comes = !loan.active && now - loan.sent < answer_time;
        const bool stays =
            loan.active && !loan.returning && !loan.denied && !renewal_is_overdue(ledger, loan, now);
        if (comes || stays) {
            sum = sum + loan.amount;
        }
    }
    return sum;
}

share held_active(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    share sum = own_free(ledger, state, now);
    for (const loan_taken& loan : state.taken) {
        if (loan.active && !loan.returning) {
            sum = sum + loan.amount;
        }
    }
    return sum;
}

// Stops using the loan and returns it. Returns false if running work still needs it.
bool give_up(const budget_ledger& ledger, const budget_state& state, loan_taken& loan, time_point now,
             outbox& out)
{
    std::int64_t tokens = 0;
    {
        const std::lock_guard lock(state.account->mutex);
        tokens = remove_part(*state.account, loan.loan, now);
        // Only parts on which work may still start can carry running work for its longest use (P2).
        if (state.total.kind == budget_kind::in_flight && state.account->in_use > state.account->sum.burst) {
            loan.returning = true;
            return false;
        }
    }
    const budget_amount returned = {loan.amount.rate, loan.amount.burst, tokens};
    send(ledger, loan.lender, loan_return{loan.loan, state.total.id, returned}, out);
    return true;
}

// Returns true if the loan has ended. The account ended the use of an active one by itself.
bool has_ended(const budget_ledger& ledger, budget_state& state, loan_taken& loan, time_point now,
               outbox& out)
{
    if (!loan.active) {
        const bool lapsed = now >= loan.sent + ledger.settings.loan_term;
        if (lapsed) {
            state.owners[loan.lender].not_before = now + silent_backoff;
        }
        return lapsed;
    }
    if (state.total.kind == budget_kind::rate) {
        return now >= loan.usable_until;
    }
    if (now >= loan.held_until) {
        return true;
    }
    return (loan.returning || now >= loan.usable_until) && give_up(ledger, state, loan, now, out);
}

void end_loans(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    for (std::size_t i = 0; i < state.taken.size();) {
        if (has_ended(ledger, state, state.taken[i], now, out)) {
            state.taken.erase(state.taken.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            ++i;
        }
    }
}

// Returns loans that leave enough: by a margin, or, if another borrower asks for them, by the latest demand.
void return_surplus(const budget_ledger& ledger, budget_state& state, const share& wanted, time_point now,
                    outbox& out)
{
    const share kept = {wanted.rate * surplus_percent / percent, wanted.burst * surplus_percent / percent};
    const share latest = wanted_share(state, demand_view::latest);
    share held = held_active(ledger, state, now);
    for (std::size_t i = state.taken.size(); i > 0; --i) {
        loan_taken& loan = state.taken[i - 1];
        const share& limit = now < loan.asked_back_until ? latest : kept;
        const bool is_new = now - loan.taken < shortest_loan;
        if (!loan.active || loan.returning || is_new || !covers(held - loan.amount, limit)) {
            continue;
        }
        held = held - loan.amount;
        if (give_up(ledger, state, loan, now, out)) {
            state.taken.erase(state.taken.begin() + static_cast<std::ptrdiff_t>(i - 1));
        }
    }
}

void send_request(const budget_ledger& ledger, const budget_state& state, loan_taken& loan, time_point now,
                  outbox& out)
{
    loan.sent = now;
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
    for (loan_taken& loan : state.taken) {
        const bool is_due = now >= loan.usable_until - ledger.settings.loan_term / 2;
        const bool waits = loan.unanswered && now - loan.sent < answer_time;
        if (loan.active && !loan.returning && !loan.denied && is_due && !waits) {
            ++loan.round;
            send_request(ledger, state, loan, now, out);
        }
    }
}

struct candidate {
    instance_id instance;
    int scope = 0; ///< 0 failure domain, 1 region, 2 fleet.
    share spare;
    std::uint64_t rank = 0;
};

// Nearest scope first, then the most spare known.
std::vector<candidate> find_candidates(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    std::vector<candidate> found;
    for (const auto& [lender, slots] : ledger.lenders) {
        const auto member = ledger.live.members.find(lender);
        if (member == ledger.live.members.end()) {
            continue;
        }
        const auto view = state.owners.find(lender);
        const share spare = known_spare(ledger, state, lender, now);
        if (is_zero(spare) || (view != state.owners.end() && now < view->second.not_before)) {
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
    loan_taken loan;
    loan.lender = lender;
    loan.loan = mix_hash(mix_hash(ledger.settings.self.value, ledger.number), ++ledger.loans);
    loan.amount = amount;
    loan.taken = now;
    state.owners[lender].not_before = now + shortest_backoff;
    send_request(ledger, state, loan, now, out);
    state.taken.push_back(loan);
}

share ask_for(const budget_state& state, const share& shortfall, const share& spare)
{
    share ask = at_least_zero(at_most(shortfall, spare));
    if (state.total.kind == budget_kind::in_flight) {
        ask.burst = (ask.burst + one_request - 1) / one_request * one_request;
    }
    return ask;
}

void request_loans(budget_ledger& ledger, budget_state& state, share shortfall, time_point now, outbox& out)
{
    std::size_t requests = 0;
    for (const candidate& lender : find_candidates(ledger, state, now)) {
        const share ask = ask_for(state, shortfall, lender.spare);
        if (requests == requests_per_round || state.taken.size() >= loan_limit) {
            break;
        }
        if (is_zero(ask)) {
            continue;
        }
        request_loan(ledger, state, lender.instance, ask, now, out);
        shortfall = shortfall - ask;
        ++requests;
    }
    if (is_zero(shortfall) || ledger.lenders.size() <= requests_per_round ||
        state.taken.size() >= loan_limit) {
        return;
    }
    // There are more owners than one round can ask: a pool answers with those that have spare.
    for (const instance_id pool : pools_of(ledger, state.total.id)) {
        owner_view& view = state.owners[pool];
        if (now >= view.not_before) {
            back_off(view, now);
            request_loan(ledger, state, pool, at_least_zero(shortfall), now, out);
            return;
        }
    }
}

// Small shortfalls wait for the next round, unless the instance has no room for two requests.
bool is_worth_asking(const share& shortfall, const share& wanted, const share& have)
{
    const bool no_room = shortfall.burst > 0 && have.burst < 2 * one_request;
    return no_room || shortfall.rate * 10 > wanted.rate || shortfall.burst * 10 > wanted.burst;
}

loan_taken* find_taken(budget_state& state, instance_id lender, std::uint64_t loan)
{
    const auto found = std::find_if(state.taken.begin(), state.taken.end(), [&](const loan_taken& taken) {
        return taken.loan == loan && taken.lender == lender;
    });
    return found == state.taken.end() ? nullptr : &*found;
}

void erase_taken(budget_state& state, const loan_taken& loan)
{
    state.taken.erase(state.taken.begin() + (&loan - state.taken.data()));
}

void on_recall(const budget_ledger& ledger, budget_state& state, loan_taken& loan, loan_recall how,
               time_point now, outbox& out)
{
    if (how == loan_recall::if_unused) {
        loan.asked_back_until = now + asked_back_time;
        state.asked_back_until = loan.asked_back_until;
        return;
    }
    state.owners[loan.lender].not_before = now + recalled_backoff;
    if (give_up(ledger, state, loan, now, out)) {
        erase_taken(state, loan);
    }
}

void activate(const budget_ledger& ledger, budget_state& state, loan_taken& loan, const envelope& message,
              const loan_grant& body, time_point now)
{
    const share granted = {body.granted.rate_per_second, body.granted.burst};
    owner_view& view = state.owners[loan.lender];
    if (granted == loan.amount) {
        view.backoff = {};
        view.spare.reset();
    } else {
        back_off(view, now);
    }
    const time_point end = loan.sent + std::min(body.term, ledger.settings.loan_term);
    if (is_zero(granted) || now >= end) {
        erase_taken(state, loan);
        return;
    }
    check_invariant(covers(loan.amount, granted), promise::p4_customer_rate, "granted_is_wanted");
    loan.amount = granted;
    loan.lender_number = message.from_incarnation;
    loan.active = true;
    loan.usable_until = end;
    loan.held_until = end + state.total.max_use_duration;
    const std::lock_guard lock(state.account->mutex);
    add_part(*state.account, {loan.loan, granted, end}, body.granted.tokens, now);
}

// Returns false if the loan ended before the answer came.
bool extend(const budget_ledger& ledger, budget_state& state, loan_taken& loan, const envelope& message,
            const loan_grant& body, time_point now)
{
    const share granted = {body.granted.rate_per_second, body.granted.burst};
    if (message.from_incarnation != loan.lender_number || granted != loan.amount || loan.returning) {
        loan.denied = true;
        return true;
    }
    const std::lock_guard lock(state.account->mutex);
    advance(*state.account, now);
    const auto part = std::find_if(state.account->borrowed.begin(), state.account->borrowed.end(),
                                   [&](const borrowed_part& other) { return other.loan == loan.loan; });
    if (part == state.account->borrowed.end()) {
        return false;
    }
    part->usable_until =
        std::max(part->usable_until, loan.sent + std::min(body.term, ledger.settings.loan_term));
    loan.usable_until = part->usable_until;
    loan.held_until = loan.usable_until + state.total.max_use_duration;
    update_sum(*state.account);
    return true;
}

} // namespace

void run_borrower(budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    end_loans(ledger, state, now, out);
    if (ledger.leaving) {
        return_all(ledger, state, now, out);
        return;
    }
    const share wanted = wanted_share(state, demand_view::wanted);
    return_surplus(ledger, state, wanted, now, out);
    renew_loans(ledger, state, now, out);
    const share have = expected(ledger, state, now);
    const share shortfall = wanted - have;
    if (is_zero(shortfall) || !is_worth_asking(shortfall, wanted, have)) {
        return;
    }
    const share lacking = wanted_share(state, demand_view::kept) - have;
    recall_loans(ledger, state, lacking, {}, now, out);
    request_loans(ledger, state, shortfall, now, out);
}

void return_all(const budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    for (std::size_t i = state.taken.size(); i > 0; --i) {
        loan_taken& loan = state.taken[i - 1];
        if (!loan.active || give_up(ledger, state, loan, now, out)) {
            state.taken.erase(state.taken.begin() + static_cast<std::ptrdiff_t>(i - 1));
        }
    }
}

void drop_lender(budget_state& state, instance_id lender, incarnation number, time_point now)
{
    std::erase_if(state.taken, [&](loan_taken& loan) {
        if (loan.lender != lender || (loan.active && loan.lender_number > number)) {
            return false;
        }
        const std::lock_guard lock(state.account->mutex);
        remove_part(*state.account, loan.loan, now);
        loan.returning = true; // Work that runs on its permits holds them until held_until.
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
    loan_taken* loan = find_taken(state, message.from, body.loan);
    if (loan == nullptr) {
        if (body.recall == loan_recall::none && body.granted.burst + body.granted.rate_per_second > 0) {
            // Frees at the lender what was granted too late. No tokens go back: the loan may have been in use
            // here before, and its tokens with it.
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
                give_up(ledger, state, *loan, now, out)) {
                erase_taken(state, *loan);
            }
        } else {
            activate(ledger, state, *loan, message, body, now);
        }
    }
}

} // namespace camphorknot::internal
