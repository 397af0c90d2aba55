#include <algorithm>
#include <mutex>

#include "camphorknot/budget.hpp"

namespace camphorknot {

using internal::borrowed_part;

namespace {

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
// Keeps the product of rate and time below 2^63 for the chunks of time below.
constexpr std::int64_t highest_rate = 8'000'000'000;
constexpr std::int64_t permille = 1000;
// Proposed to a caller when nothing says when the budget will have room.
constexpr duration default_retry = std::chrono::milliseconds(200);
// An account with less than this part of its burst left asks for more before it has to refuse.
constexpr std::int64_t low_tokens_divisor = 4;

std::int64_t refill_rate(const budget_account& account)
{
    const std::int64_t rate = std::min(account.sum.rate, highest_rate);
    return rate * permille / (permille + account.clock_error_permille);
}

// Refills up to the time, before which no part ends.
void refill(budget_account& account, time_point until)
{
    const std::int64_t rate = refill_rate(account);
    while (account.updated < until && account.tokens < account.sum.burst && rate > 0) {
        const duration chunk = std::min<duration>(until - account.updated, std::chrono::seconds(1));
        const std::int64_t made = account.remainder + rate * chunk.count();
        account.tokens += made / nanoseconds_per_second;
        account.remainder = made % nanoseconds_per_second;
        account.updated += chunk;
    }
    if (account.tokens >= account.sum.burst) {
        account.tokens = account.sum.burst;
        account.remainder = 0;
    }
    account.updated = std::max(account.updated, until);
}

duration retry_time(const budget_account& account, std::int64_t amount)
{
    const std::int64_t rate = refill_rate(account);
    if (account.kind == budget_kind::in_flight || rate == 0 || amount > account.sum.burst) {
        return default_retry;
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
    if (account.tokens < account.sum.burst / low_tokens_divisor) {
        account.is_short.store(true, std::memory_order_relaxed);
    }
    return true;
}

bool take_permits(budget_account& account, std::int64_t amount)
{
    if (account.in_use + amount > account.sum.burst) {
        return false;
    }
    account.in_use += amount;
    account.peak_in_use = std::max(account.peak_in_use, account.in_use);
    if (account.sum.burst - account.in_use < account.sum.burst / low_tokens_divisor) {
        account.is_short.store(true, std::memory_order_relaxed);
    }
    return true;
}

void note_activity(budget_account& account)
{
    if (!account.touched) {
        account.touched = true;
        const std::lock_guard lock(account.activity->mutex);
        account.activity->budgets.push_back(account.id);
    }
}

} // namespace

void internal::update_sum(budget_account& account)
{
    share sum = account.base;
    account.next_end = time_point::max();
    for (const borrowed_part& part : account.borrowed) {
        sum.rate += part.amount.rate;
        sum.burst += part.amount.burst;
        account.next_end = std::min(account.next_end, part.usable_until);
    }
    account.sum = {std::max<std::int64_t>(sum.rate, 0), std::max<std::int64_t>(sum.burst, 0)};
    account.tokens = std::min(account.tokens, account.sum.burst);
}

void internal::advance(budget_account& account, time_point now)
{
    while (account.next_end <= now) {
        refill(account, account.next_end);
        const time_point end = account.next_end;
        std::erase_if(account.borrowed, [&](const borrowed_part& part) { return part.usable_until <= end; });
        update_sum(account);
    }
    // Readings of several threads may arrive out of order; time never goes back here.
    refill(account, std::max(now, account.updated));
}

void internal::set_base(budget_account& account, const share& base, time_point now)
{
    advance(account, now);
    account.base = base;
    update_sum(account);
}

void internal::add_part(budget_account& account, const borrowed_part& part, std::int64_t tokens,
                        time_point now)
{
    advance(account, now);
    account.borrowed.push_back(part);
    update_sum(account);
    account.tokens = std::min(account.tokens + tokens, account.sum.burst);
}

std::int64_t internal::split_tokens(budget_account& account, std::int64_t burst)
{
    if (account.sum.burst == 0) {
        return 0;
    }
    const double part = static_cast<double>(burst) / static_cast<double>(account.sum.burst);
    const auto with_part = static_cast<std::int64_t>(part * static_cast<double>(account.tokens));
    const std::int64_t above = account.tokens - (account.sum.burst - burst);
    const std::int64_t split =
        std::clamp<std::int64_t>(std::max(with_part, above), 0, std::min(burst, account.tokens));
    account.tokens -= split;
    return split;
}

std::int64_t internal::remove_part(budget_account& account, std::uint64_t loan, time_point now)
{
    advance(account, now);
    const auto found = std::find_if(account.borrowed.begin(), account.borrowed.end(),
                                    [&](const borrowed_part& part) { return part.loan == loan; });
    if (found == account.borrowed.end()) {
        return 0;
    }
    const std::int64_t split = split_tokens(account, found->amount.burst);
    account.borrowed.erase(found);
    update_sum(account);
    return split;
}

admission try_take(budget_account& account, std::int64_t amount, time_point now)
{
    const std::lock_guard lock(account.mutex);
    if (account.closed || now.time_since_epoch().count() >= account.authority_until->load()) {
        return {false, default_retry};
    }
    note_activity(account);
    internal::advance(account, now);
    account.asked += amount;
    const bool taken =
        account.kind == budget_kind::rate ? take_tokens(account, amount) : take_permits(account, amount);
    if (taken) {
        return {true, {}};
    }
    account.refused += amount;
    account.is_short.store(true, std::memory_order_relaxed);
    return {false, retry_time(account, amount)};
}

void give_back(budget_account& account, std::int64_t amount)
{
    const std::lock_guard lock(account.mutex);
    check_invariant(account.kind == budget_kind::in_flight && account.in_use >= amount,
                    promise::p2_region_load, "given_back_permit_was_taken");
    account.in_use -= amount;
}

} // namespace camphorknot
