#include <algorithm>
#include <mutex>

#include "rounds.hpp"

namespace camphorknot {

using internal::budget_state;
using internal::share;

namespace {

constexpr std::int64_t percent = 100;
// Burst that an idle owner does not lend, so that the first requests of new callers are admitted: this many
// requests, at most 1/4 of its own burst.
constexpr std::int64_t idle_reserve_requests = 2;
constexpr std::int64_t idle_reserve_divisor = 4;

// The part of the own allocation that may be lent, rounded up to whole permits.
share lendable_allocation(const budget_ledger& ledger, const budget_state& state)
{
    if (state.total.kind == budget_kind::rate) {
        const std::int64_t part = ledger.settings.lendable_rate_percent;
        return {state.own.rate * part / percent, state.own.burst * part / percent};
    }
    const std::int64_t permits = state.own.burst / internal::one_request;
    const std::int64_t part = ledger.settings.lendable_in_flight_percent;
    return {0, (permits * part + percent - 1) / percent * internal::one_request};
}

share compute_own_allocation(const budget_ledger& ledger, const budget_state& state)
{
    share own;
    for (const std::size_t slot : ledger.own_slots) {
        own = own + internal::slot_share(ledger, state, slot);
    }
    return own;
}

struct slot_position {
    std::int64_t rank = 0;  ///< Rank among the slots that own the budget.
    std::int64_t count = 0; ///< Number of those slots; 0 if this slot is not one of them.
};

slot_position find_slot_position(const budget_ledger& ledger, const budget_state& state, std::size_t slot)
{
    const auto home_slots = state.total.home_region ? ledger.region_slot_counts.find(*state.total.home_region)
                                                    : ledger.region_slot_counts.end();
    // The permits of a region without own instances are split over all slots.
    if (home_slots == ledger.region_slot_counts.end()) {
        return {static_cast<std::int64_t>(slot), static_cast<std::int64_t>(ledger.slots.size())};
    }
    if (ledger.slots[slot].region != home_slots->first) {
        return {};
    }
    return {ledger.slot_ranks[slot], home_slots->second};
}

// Recomputes the own allocation: a decrease applies at once, an increase is scheduled.
void update_own_allocation(budget_ledger& ledger, budget_state& state, duration increase_delay,
                           time_point now)
{
    const share target = compute_own_allocation(ledger, state);
    const duration delay = state.total.kind == budget_kind::in_flight && state.had_allocation
                               ? std::max(increase_delay, internal::loan_hold_duration(ledger, state))
                               : increase_delay;
    state.had_allocation = state.had_allocation || !ledger.slots.empty();
    state.own = internal::component_min(state.own, target);
    if (target == state.own) {
        state.increase.reset();
    } else if (!state.increase || state.increase->amount != target) {
        state.increase = internal::pending_increase{target, now + delay};
    }
    ledger.settling.insert(state.total.id);
    internal::update_base(ledger, state, now);
}

// Applies a due increase and the end of the wait after a restart. Returns whether nothing is pending any
// more.
bool apply_due_changes(const budget_ledger& ledger, budget_state& state, time_point now)
{
    if (state.increase && state.increase->due <= now) {
        state.own = state.increase->amount;
        state.increase.reset();
    }
    internal::update_base(ledger, state, now);
    return !state.increase && now >= state.restart_wait_until;
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
    return state.granted_loans.empty() && state.borrowed_loans.empty() && !state.reported_spare &&
           internal::is_zero(internal::wanted_share(state, internal::demand_view::wanted));
}

// Lets the traffic threads queue the budget again. Returns false if they used it meanwhile.
bool deactivate(budget_state& state)
{
    const std::lock_guard lock(state.account->mutex);
    if (state.account->requested > 0 || state.account->in_use > 0) {
        return false;
    }
    state.account->in_activity_queue = false;
    state.demand = {};
    return true;
}

void run_round(budget_ledger& ledger, budget_state& state, time_point now, outbox& out)
{
    internal::notify_waiting(ledger, state, now, out);
    const bool is_short = state.account->is_short.exchange(false);
    const bool is_asked_back = now < state.conditional_recall_until;
    if (!is_short && !is_asked_back && now < state.next_round) {
        return;
    }
    state.next_round = now + ledger.settings.round_period;
    internal::update_demand(state, is_short, now);
    internal::expire_granted(ledger, state, now);
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

duration internal::loan_hold_duration(const budget_ledger& ledger, const budget_state& state)
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
    const slot_position position = find_slot_position(ledger, state, slot);
    if (position.count == 0) {
        return {};
    }
    const std::int64_t count = position.count;
    // The slots that get the remainder differ between budgets, so that no instance owns most of the small
    // ones.
    const auto offset = static_cast<std::int64_t>(state.total.id.value % static_cast<std::uint64_t>(count));
    const std::int64_t index = (position.rank + offset) % count;

    const auto part = [&](std::int64_t total) { return total / count + (index < total % count ? 1 : 0); };
    const budget_amount& total = state.total.total;
    if (state.total.kind == budget_kind::in_flight) {
        return {0, part(total.burst / one_request) * one_request};
    }
    return {part(total.rate_per_second), part(total.burst)};
}

share internal::usable_own(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    if (!ledger.own_allocation_allowed) {
        return {};
    }
    if (now >= state.restart_wait_until) {
        return state.own;
    }
    return state.own - lendable_allocation(ledger, state);
}

void internal::update_base(const budget_ledger& ledger, budget_state& state, time_point now)
{
    const share base = usable_own(ledger, state, now) - state.lent;
    const std::lock_guard lock(state.account->mutex);
    if (state.account->base != base) {
        set_base(*state.account, base, now);
    }
}

share internal::compute_spare(const budget_ledger& ledger, const budget_state& state, time_point now)
{
    if (now < state.restart_wait_until || !ledger.own_allocation_allowed || !has_authority(ledger, now)) {
        return {};
    }
    // If the own allocation shrank below what is lent, nothing more is lent until loans have ended.
    if (!covers(state.own, state.lent)) {
        return {};
    }
    const share needed = ledger.leaving ? share{} : wanted_share(state, demand_view::reserved);
    share spare = component_min(lendable_allocation(ledger, state), state.own - needed);
    if (state.total.kind == budget_kind::rate && !ledger.leaving) {
        const std::int64_t reserve =
            std::min(idle_reserve_requests * one_request, state.own.burst / idle_reserve_divisor);
        spare.burst = std::min(spare.burst, state.own.burst - reserve);
    }
    spare = spare - state.lent;
    if (state.total.kind == budget_kind::in_flight) {
        const std::lock_guard lock(state.account->mutex);
        spare.burst = std::min(spare.burst, state.account->base.burst - state.account->in_use);
        spare.burst -= std::max<std::int64_t>(spare.burst, 0) % one_request;
    }
    return clamp_at_zero(spare);
}

void set_owners(budget_ledger& ledger, std::span<const allocation_slot> slots,
                std::span<const allocation_owner> owners, duration increase_delay, time_point now)
{
    ledger.slots.assign(slots.begin(), slots.end());
    ledger.region_slot_counts.clear();
    ledger.slot_ranks.clear();
    for (const allocation_slot& slot : slots) {
        ledger.slot_ranks.push_back(ledger.region_slot_counts[slot.region]++);
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
    // Loans that the previous owner of a slot granted must have ended before its allocation is used here.
    const duration delay = std::max(increase_delay, with_drift(ledger.settings.loan_term));
    for (auto& [id, state] : ledger.budgets) {
        update_own_allocation(ledger, state, state.had_allocation ? delay : increase_delay, now);
    }
}

void set_total(budget_ledger& ledger, const budget_total& total, duration increase_delay, time_point now)
{
    auto [entry, added] = ledger.budgets.try_emplace(total.id);
    budget_state& state = entry->second;
    state.total = total;
    if (added) {
        state.account = make_account(ledger, total, now);
        state.restart_wait_until =
            total.is_new ? now : ledger.started + internal::loan_hold_duration(ledger, state);
        const auto removed = ledger.removed_until.find(total.id);
        if (removed != ledger.removed_until.end()) {
            increase_delay = std::max(increase_delay, removed->second - now);
        }
    }
    update_own_allocation(ledger, state, increase_delay, now);
}

void remove_total(budget_ledger& ledger, budget_id budget)
{
    const auto found = ledger.budgets.find(budget);
    if (found == ledger.budgets.end()) {
        return;
    }
    // Latest end of an active loan, computed from the account's last update since this call has no clock
    // reading.
    time_point until = found->second.account->updated + internal::loan_hold_duration(ledger, found->second);
    for (const internal::granted_loan& loan : found->second.granted_loans) {
        until = std::max(until, loan.due);
    }
    ledger.removed_until[budget] = until;
    close_account(*found->second.account);
    ledger.budgets.erase(found);
    ledger.active.erase(budget);
    ledger.settling.erase(budget);
}

void allow_own_allocation(budget_ledger& ledger, bool allowed, time_point now)
{
    if (ledger.own_allocation_allowed == allowed) {
        return;
    }
    ledger.own_allocation_allowed = allowed;
    for (auto& [id, state] : ledger.budgets) {
        internal::update_base(ledger, state, now);
    }
}

void set_authority_until(budget_ledger& ledger, time_point until)
{
    ledger.authority_until->store(until.time_since_epoch().count());
}

void on_proved_stopped(budget_ledger& ledger, instance_id instance, incarnation number, time_point now)
{
    for (auto& [id, state] : ledger.budgets) {
        internal::end_loans_from(state, instance, number, now);
        if (state.total.kind == budget_kind::in_flight) {
            // Requests of a stopped borrower may still run at their targets; its loans end when due.
            continue;
        }
        for (internal::granted_loan& loan : state.granted_loans) {
            if (loan.borrower == instance && loan.borrower_incarnation <= number) {
                loan.due = now;
            }
        }
        internal::expire_granted(ledger, state, now);
    }
}

void tick(budget_ledger& ledger, std::span<const member_record> live, time_point now, outbox& out)
{
    internal::update_live_members(ledger, live);
    collect_activity(ledger);
    std::erase_if(ledger.settling, [&](budget_id id) {
        const auto found = ledger.budgets.find(id);
        return found == ledger.budgets.end() || apply_due_changes(ledger, found->second, now);
    });
    std::erase_if(ledger.removed_until, [&](const auto& entry) { return entry.second <= now; });
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
    internal::update_live_members(ledger, live);
    for (auto& [id, state] : ledger.budgets) {
        internal::return_all_loans(ledger, state, now, out);
    }
    internal::report_spare(ledger, now, out);
}

std::shared_ptr<budget_account> find_account(const budget_ledger& ledger, budget_id budget)
{
    const auto found = ledger.budgets.find(budget);
    return found == ledger.budgets.end() ? nullptr : found->second.account;
}

budget_amount usable_amount(const budget_ledger& ledger, budget_id budget, time_point now)
{
    const auto account = find_account(ledger, budget);
    if (!account || !internal::has_authority(ledger, now)) {
        return {};
    }
    const std::lock_guard lock(account->mutex);
    internal::advance(*account, now);
    return {account->usable.rate, account->usable.burst, account->tokens};
}

} // namespace camphorknot
