#include <algorithm>
#include <mutex>

#include "rounds.hpp"

namespace camphorknot {

using internal::budget_state;
using internal::share;

namespace {

constexpr std::int64_t percent = 100;
// Burst that an idle owner keeps for the first requests of callers that come to it, and at most this part of
// its own burst.
constexpr std::int64_t first_requests = 2;
constexpr std::int64_t first_part = 4;

// The part of the own allocation that may be lent; permits are rounded up to whole ones.
share lendable_own(const budget_ledger& ledger, const budget_state& state)
{
    if (state.total.kind == budget_kind::rate) {
        const std::int64_t part = ledger.settings.lendable_rate_percent;
        return {state.own.rate * part / percent, state.own.burst * part / percent};
    }
    const std::int64_t permits = state.own.burst / internal::one_request;
    const std::int64_t part = ledger.settings.lendable_in_flight_percent;
    return {0, (permits * part + percent - 1) / percent * internal::one_request};
}

share total_own(const budget_ledger& ledger, const budget_state& state)
{
    share own;
    for (const std::size_t slot : ledger.own_slots) {
        own = own + internal::slot_share(ledger, state, slot);
    }
    return own;
}

struct slot_place {
    std::int64_t rank = 0;  ///< Among the slots that own the budget.
    std::int64_t count = 0; ///< Of those slots; 0 if this slot is not one of them.
};

slot_place place_of(const budget_ledger& ledger, const budget_state& state, std::size_t slot)
{
    const auto home_region = state.total.home_region ? ledger.home_counts.find(*state.total.home_region)
                                                     : ledger.home_counts.end();
    // A region without instances of its own leaves its permits to all.
    if (home_region == ledger.home_counts.end()) {
        return {static_cast<std::int64_t>(slot), static_cast<std::int64_t>(ledger.slots.size())};
    }
    if (ledger.slots[slot].region != home_region->first) {
        return {};
    }
    return {ledger.home_ranks[slot], home_region->second};
}

// Changes the own allocation: decreases at once, increases when due.
void set_own(budget_ledger& ledger, budget_state& state, duration increase_delay, time_point now)
{
    const share target = total_own(ledger, state);
    const duration delay = state.total.kind == budget_kind::in_flight && state.had_own
                               ? std::max(increase_delay, internal::hold_time(ledger, state))
                               : increase_delay;
    state.had_own = state.had_own || !ledger.slots.empty();
    state.own = internal::at_most(state.own, target);
    if (target == state.own) {
        state.rise.reset();
    } else if (!state.rise || state.rise->amount != target) {
        state.rise = internal::pending_rise{target, now + delay};
    }
    ledger.settling.insert(state.total.id);
    internal::rebase(ledger, state, now);
}

// Applies due rises and the end of the time after a restart. Returns whether nothing is left to come.
bool settle(const budget_ledger& ledger, budget_state& state, time_point now)
{
    if (state.rise && state.rise->due <= now) {
        state.own = state.rise->amount;
        state.rise.reset();
    }
    internal::rebase(ledger, state, now);
    return !state.rise && now >= state.restart_until;
}

std::shared_ptr<budget_account> make_account(const budget_ledger& ledger, const budget_total& total,
                                             time_point now)
{
    auto account = std::make_shared<budget_account>();
    account->id = total.id;
    account->kind = total.kind;
    account->updated = now;
    account->clock_error_permille = ledger.settings.clock_error_permille;
    account->authority_until = ledger.authority_until;
    account->activity = ledger.activity;
    return account;
}

void close_account(budget_account& account)
{
    const std::lock_guard lock(account.mutex);
    account.closed = true;
}

void collect_activity(budget_ledger& ledger)
{
    const std::lock_guard lock(ledger.activity->mutex);
    ledger.active.insert(ledger.activity->budgets.begin(), ledger.activity->budgets.end());
    ledger.activity->budgets.clear();
}

bool is_idle(const budget_state& state)
{
    return state.given.empty() && state.taken.empty() && !state.reported &&
           internal::is_zero(internal::wanted_share(state, internal::demand_view::wanted));
}

// Lets the traffic threads list the budget again. Returns false if they used it meanwhile.
bool deactivate(budget_state& state)
{
    const std::lock_guard lock(state.account->mutex);
    if (state.account->asked > 0 || state.account->in_use > 0) {
        return false;
    }
    state.account->touched = false;
    state.demand = {};
    return true;
}

void run_round(budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    internal::notify_waiting(ledger, state, now, out);
    const bool is_short = state.account->is_short.exchange(false);
    const bool is_asked_back = now < state.asked_back_until;
    if (!is_short && !is_asked_back && now < state.next_round) {
        return;
    }
    state.next_round = now + ledger.settings.round_period;
    internal::update_demand(state, is_short, now);
    internal::expire_given(ledger, state, now);
    internal::run_borrower(ledger, state, now, out);
}

} // namespace

budget_ledger::~budget_ledger()
{
    for (auto& [id, state] : budgets) {
        close_account(*state.account);
    }
}

budget_ledger make_ledger(const ledger_settings& settings, incarnation number, time_point now)
{
    budget_ledger ledger;
    ledger.settings = settings;
    ledger.number = number;
    ledger.started = now;
    ledger.authority_until =
        std::make_shared<internal::shared_deadline>(time_point::max().time_since_epoch().count());
    ledger.activity = std::make_shared<internal::activity_queue>();
    return ledger;
}

duration internal::hold_time(const budget_ledger& ledger, const budget_state& state)
{
    const duration use =
        state.total.kind == budget_kind::in_flight ? state.total.max_use_duration : duration::zero();
    return with_drift(ledger.settings.loan_term + use);
}

bool internal::has_authority(const budget_ledger& ledger, time_point now)
{
    return now.time_since_epoch().count() < ledger.authority_until->load();
}

share internal::slot_share(const budget_ledger& ledger, const budget_state& state, std::size_t slot)
{
    const slot_place found = place_of(ledger, state, slot);
    if (found.count == 0) {
        return {};
    }
    const std::int64_t count = found.count;
    // The remainder goes to other slots for each budget, so that no instance owns most of the small ones.
    const auto offset = static_cast<std::int64_t>(state.total.id.value % static_cast<std::uint64_t>(count));
    const std::int64_t place = (found.rank + offset) % count;

    const auto part = [&](std::int64_t total) { return total / count + (place < total % count ? 1 : 0); };
    const budget_amount& total = state.total.total;
    if (state.total.kind == budget_kind::in_flight) {
        return {0, part(total.burst / one_request) * one_request};
    }
    return {part(total.rate_per_second), part(total.burst)};
}

share internal::allowed_own(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    if (!ledger.own_allowed) {
        return {};
    }
    if (now >= state.restart_until) {
        return state.own;
    }
    return state.own - lendable_own(ledger, state);
}

void internal::rebase(const budget_ledger& ledger, budget_state& state, time_point now)
{
    const share base = allowed_own(ledger, state, now) - state.lent;
    const std::lock_guard lock(state.account->mutex);
    if (state.account->base != base) {
        set_base(*state.account, base, now);
    }
}

share internal::spare_of(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    if (now < state.restart_until || !ledger.own_allowed || !has_authority(ledger, now)) {
        return {};
    }
    // The own allocation shrank below what is lent; nothing more is lent until loans have ended.
    if (!covers(state.own, state.lent)) {
        return {};
    }
    const share needed = ledger.leaving ? share{} : wanted_share(state, demand_view::kept);
    share spare = at_most(lendable_own(ledger, state), state.own - needed);
    if (state.total.kind == budget_kind::rate && !ledger.leaving) {
        const std::int64_t first = std::min(first_requests * one_request, state.own.burst / first_part);
        spare.burst = std::min(spare.burst, state.own.burst - first);
    }
    spare = spare - state.lent;
    if (state.total.kind == budget_kind::in_flight) {
        const std::lock_guard lock(state.account->mutex);
        spare.burst = std::min(spare.burst, state.account->base.burst - state.account->in_use);
        spare.burst -= std::max<std::int64_t>(spare.burst, 0) % one_request;
    }
    return at_least_zero(spare);
}

void set_owners(budget_ledger& ledger, std::span<const allocation_slot> slots,
                std::span<const allocation_owner> owners, duration increase_delay, time_point now)
{
    ledger.slots.assign(slots.begin(), slots.end());
    ledger.home_counts.clear();
    ledger.home_ranks.clear();
    for (const allocation_slot& slot : slots) {
        ledger.home_ranks.push_back(ledger.home_counts[slot.region]++);
    }
    ledger.slot_owners.clear();
    for (const allocation_owner& change : owners) {
        ledger.slot_owners[change.slot] = change.owner;
    }
    ledger.own_slots.clear();
    ledger.lenders.clear();
    for (std::size_t slot = 0; slot < slots.size(); ++slot) {
        const auto changed = ledger.slot_owners.find(slots[slot].instance);
        const instance_id owner =
            changed == ledger.slot_owners.end() ? slots[slot].instance : changed->second;
        if (owner == ledger.settings.self) {
            ledger.own_slots.push_back(slot);
        } else {
            ledger.lenders[owner].push_back(slot);
        }
    }
    // A loan that the owner before granted last must have ended when its allocation is used here.
    const duration delay = std::max(increase_delay, with_drift(ledger.settings.loan_term));
    for (auto& [id, state] : ledger.budgets) {
        set_own(ledger, state, state.had_own ? delay : increase_delay, now);
    }
}

void set_total(budget_ledger& ledger, const budget_total& total, duration increase_delay, time_point now)
{
    auto [place, added] = ledger.budgets.try_emplace(total.id);
    budget_state& state = place->second;
    state.total = total;
    if (added) {
        state.account = make_account(ledger, total, now);
        state.restart_until = total.is_new ? now : ledger.started + internal::hold_time(ledger, state);
        const auto removed = ledger.removed.find(total.id);
        if (removed != ledger.removed.end()) {
            increase_delay = std::max(increase_delay, removed->second - now);
        }
    }
    set_own(ledger, state, increase_delay, now);
}

void remove_total(budget_ledger& ledger, budget_id budget)
{
    const auto found = ledger.budgets.find(budget);
    if (found == ledger.budgets.end()) {
        return;
    }
    // The latest end of a loan that is out; there is no reading of the clock here.
    time_point until = found->second.account->updated + internal::hold_time(ledger, found->second);
    for (const internal::loan_given& loan : found->second.given) {
        until = std::max(until, loan.due);
    }
    ledger.removed[budget] = until;
    close_account(*found->second.account);
    ledger.budgets.erase(found);
    ledger.active.erase(budget);
    ledger.settling.erase(budget);
}

void allow_own_allocation(budget_ledger& ledger, bool allowed, time_point now)
{
    if (ledger.own_allowed == allowed) {
        return;
    }
    ledger.own_allowed = allowed;
    for (auto& [id, state] : ledger.budgets) {
        internal::rebase(ledger, state, now);
    }
}

void set_authority_until(budget_ledger& ledger, time_point until)
{
    ledger.authority_until->store(until.time_since_epoch().count());
}

void on_proved_stopped(budget_ledger& ledger, instance_id instance, incarnation number, time_point now)
{
    for (auto& [id, state] : ledger.budgets) {
        internal::drop_lender(state, instance, number, now);
        if (state.total.kind == budget_kind::in_flight) {
            continue; // Requests of a stopped borrower may still run at their targets; its loans end when
                      // due.
        }
        for (internal::loan_given& loan : state.given) {
            if (loan.borrower == instance && loan.number <= number) {
                loan.due = now;
            }
        }
        internal::expire_given(ledger, state, now);
    }
}

void tick(budget_ledger& ledger, std::span<const member_record> live, time_point now, outbox& out)
{
    internal::update_live(ledger, live);
    collect_activity(ledger);
    std::erase_if(ledger.settling, [&](budget_id id) {
        const auto found = ledger.budgets.find(id);
        return found == ledger.budgets.end() || settle(ledger, found->second, now);
    });
    std::erase_if(ledger.removed, [&](const auto& entry) { return entry.second <= now; });
    std::erase_if(ledger.active, [&](budget_id id) {
        const auto found = ledger.budgets.find(id);
        if (found == ledger.budgets.end()) {
            return true;
        }
        run_round(ledger, found->second, now, out);
        return is_idle(found->second) && deactivate(found->second);
    });
    if (now >= ledger.next_report) {
        internal::report_spare(ledger, now, out);
    }
}

void on_message(budget_ledger& ledger, const envelope& message, time_point now, outbox& out)
{
    if (const auto* request = std::get_if<loan_request>(&message.body)) {
        internal::on_loan_request(ledger, message, *request, now, out);
    } else if (const auto* grant = std::get_if<loan_grant>(&message.body)) {
        internal::on_loan_grant(ledger, message, *grant, now, out);
    } else if (const auto* returned = std::get_if<loan_return>(&message.body)) {
        internal::on_loan_return(ledger, message, *returned, now);
    } else if (const auto* report = std::get_if<spare_report>(&message.body)) {
        internal::on_spare_report(ledger, message, *report, now);
    }
}

void hand_over(budget_ledger& ledger, std::span<const member_record> live, time_point now, outbox& out)
{
    ledger.leaving = true;
    internal::update_live(ledger, live);
    for (auto& [id, state] : ledger.budgets) {
        internal::return_all(ledger, state, now, out);
    }
    internal::report_spare(ledger, now, out);
}

std::shared_ptr<budget_account> find_account(const budget_ledger& ledger, budget_id budget)
{
    const auto found = ledger.budgets.find(budget);
    return found == ledger.budgets.end() ? nullptr : found->second.account;
}

budget_amount usable(const budget_ledger& ledger, budget_id budget, time_point now)
{
    const auto account = find_account(ledger, budget);
    if (!account || !internal::has_authority(ledger, now)) {
        return {};
    }
    const std::lock_guard lock(account->mutex);
    internal::advance(*account, now);
    return {account->sum.rate, account->sum.burst, account->tokens};
}

} // namespace camphorknot
