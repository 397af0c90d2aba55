#include <algorithm>
#include <mutex>

#include "camphorknot/budget.hpp"

namespace camphorknot {

using internal::borrowed_share;

namespace {

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
// Keeps the product of rate and time below 2^63 for the chunks of at most one second in refill().
constexpr std::int64_t max_rate = 8'000'000'000;
constexpr std::int64_t permille = 1000;
// Returned to a refused caller when the time until the budget has room can't be computed.
constexpr duration default_retry_after = std::chrono::milliseconds(200);
// With less than 1/4 of its burst left, an account is short: the instance borrows before it has to refuse.
constexpr std::int64_t low_tokens_divisor = 4;

std::int64_t refill_rate(const budget_account& account)
{
    const std::int64_t rate = std::min(account.usable.rate, max_rate);
    return rate * permille / (permille + account.clock_error_permille);
}

// Refills tokens up to the given time. No borrowed share may end before that time.
void refill(budget_account& account, time_point until)
{
    const std::int64_t rate = refill_rate(account);
    while (account.updated < until && account.tokens < account.usable.burst && rate > 0) {
        const duration chunk = std::min<duration>(until - account.updated, std::chrono::seconds(1));
        const std::int64_t produced = account.remainder + rate * chunk.count();
        account.tokens += produced / nanoseconds_per_second;
        account.remainder = produced % nanoseconds_per_second;
        account.updated += chunk;
    }
    if (account.tokens >= account.usable.burst) {
        account.tokens = account.usable.burst;
        account.remainder = 0;
    }
    account.updated = std::max(account.updated, until);
}

duration compute_retry_after(const budget_account& account, std::int64_t amount)
{
    const std::int64_t rate = refill_rate(account);
    if (account.kind == budget_kind::in_flight || rate == 0 || amount > account.usable.burst) {
        return default_retry_after;
    }
    const double seconds = static_cast<double>(amount - account.tokens) / static_cast<double>(rate);
    return duration(static_cast<std::int64_t>(seconds * static_cast<double>(nanoseconds_per_second)) + 1);
}

bool take_tokens(budget_account& account, std::int64_t amount)
{
    if (account.tokens < amount) {
        return false;
    }
    account.tokens -= amount;
    if (account.tokens < account.usable.burst / low_tokens_divisor) {
        account.is_short.store(true, std::memory_order_relaxed);
    }
    return true;
}

bool acquire_permits(budget_account& account, std::int64_t amount)
{
    if (account.in_use + amount > account.usable.burst) {
        return false;
    }
    account.in_use += amount;
    account.peak_in_use = std::max(account.peak_in_use, account.in_use);
    if (account.usable.burst - account.in_use < account.usable.burst / low_tokens_divisor) {
        account.is_short.store(true, std::memory_order_relaxed);
    }
    return true;
}

void enqueue_activity(budget_account& account)
{
    if (!account.in_activity_queue) {
        account.in_activity_queue = true;
        const std::lock_guard lock(account.activity->mutex);
        account.activity->budgets.push_back(account.id);
    }
}

} // namespace

void internal::update_usable(budget_account& account)
{
    share sum = account.base;
    account.next_expiry = time_point::max();
    for (const borrowed_share& part : account.borrowed) {
        sum.rate += part.amount.rate;
        sum.burst += part.amount.burst;
        account.next_expiry = std::min(account.next_expiry, part.usable_until);
    }
    account.usable = {std::max<std::int64_t>(sum.rate, 0), std::max<std::int64_t>(sum.burst, 0)};
    account.tokens = std::min(account.tokens, account.usable.burst);
}

void internal::advance(budget_account& account, time_point now)
{
    while (account.next_expiry <= now) {
        refill(account, account.next_expiry);
        const time_point end = account.next_expiry;
        std::erase_if(account.borrowed, [&](const borrowed_share& part) { return part.usable_until <= end; });
        update_usable(account);
    }
    // Clock readings of several threads may arrive out of order; the account's time never goes back.
    refill(account, std::max(now, account.updated));
}

void internal::set_base(budget_account& account, const share& base, time_point now)
{
    advance(account, now);
    account.base = base;
    update_usable(account);
}

void internal::add_borrowed(budget_account& account, const borrowed_share& part, std::int64_t tokens,
                            time_point now)
{
    advance(account, now);
    account.borrowed.push_back(part);
    update_usable(account);
    account.tokens = std::min(account.tokens + tokens, account.usable.burst);
}

std::int64_t internal::split_tokens(budget_account& account, std::int64_t burst)
{
    if (account.usable.burst == 0) {
        return 0;
    }
    const double part = static_cast<double>(burst) / static_cast<double>(account.usable.burst);
    const auto with_part = static_cast<std::int64_t>(part * static_cast<double>(account.tokens));
    const std::int64_t above = account.tokens - (account.usable.burst - burst);
    const std::int64_t split =
        std::clamp<std::int64_t>(std::max(with_part, above), 0, std::min(burst, account.tokens));
    account.tokens -= split;
    return split;
}

std::int64_t internal::remove_borrowed(budget_account& account, std::uint64_t loan, time_point now)
{
    advance(account, now);
    const auto found = std::find_if(account.borrowed.begin(), account.borrowed.end(),
                                    [&](const borrowed_share& part) { return part.loan == loan; });
    if (found == account.borrowed.end()) {
        return 0;
    }
    const std::int64_t split = split_tokens(account, found->amount.burst);
    account.borrowed.erase(found);
    update_usable(account);
    return split;
}

admission try_take(budget_account& account, std::int64_t amount, time_point now)
{
    const std::lock_guard lock(account.mutex);
    if (account.closed || now.time_since_epoch().count() >= account.authority_until->load()) {
        return {false, default_retry_after};
    }
    enqueue_activity(account);
    internal::advance(account, now);
    account.requested += amount;
    const bool taken =
        account.kind == budget_kind::rate ? take_tokens(account, amount) : acquire_permits(account, amount);
    if (taken) {
        return {true, {}};
    }
    account.refused += amount;
    account.is_short.store(true, std::memory_order_relaxed);
    return {false, compute_retry_after(account, amount)};
}

void give_back(budget_account& account, std::int64_t amount)
{
    const std::lock_guard lock(account.mutex);
    check_invariant(account.kind == budget_kind::in_flight && account.in_use >= amount,
                    promise::p2_region_load, "given_back_permit_was_taken");
    account.in_use -= amount;
}

} // namespace camphorknot
