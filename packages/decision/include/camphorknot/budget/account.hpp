/// @file
/// Account of one budget on one instance, shared by the control thread and the traffic threads.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

#include "camphorknot/budget/settings.hpp"

namespace camphorknot {
namespace internal {

/// Part of a budget in thousandths: rate per second, and burst or permits.
struct share {
    std::int64_t rate = 0;
    std::int64_t burst = 0; ///< Permits for a budget in flight.
    friend bool operator==(const share&, const share&) = default;
};

/// The part of an account that one borrowed loan contributes.
struct borrowed_share {
    std::uint64_t loan = 0;
    share amount;
    time_point usable_until{}; ///< From then on no token refills, and no work starts, on it.
};

/// Budgets that traffic threads used since the control thread last emptied the queue.
struct activity_queue {
    std::mutex mutex;
    std::vector<budget_id> budgets;
};

/// Time in nanoseconds until which an instance has authority.
using shared_deadline = std::atomic<std::int64_t>;

} // namespace internal

/// What one instance may use of one budget. try_take and give_back may be called from any thread; all other
/// functions belong to the control thread. Amounts are in thousandths.
struct budget_account {
    std::mutex mutex;     ///< Guards all members up to the atomics.
    internal::share base; ///< Own allocation less lent. Negative for a while if it shrinks below lent.
    std::vector<internal::borrowed_share> borrowed;
    internal::share usable;                     ///< Base plus borrowed shares, at least zero.
    time_point next_expiry = time_point::max(); ///< Earliest end of a borrowed share.
    time_point updated{};
    std::int64_t tokens = 0;
    std::int64_t remainder = 0; ///< Fraction of a token's thousandth, in units of 1/1e9.
    std::int64_t in_use = 0;    ///< Permits taken and not given back yet.
    std::int64_t requested = 0; ///< Sum of requested amounts since the last demand update, with refused ones.
    std::int64_t refused = 0;   ///< Sum of refused amounts since the last demand update.
    std::int64_t peak_in_use = 0;
    bool in_activity_queue = false;
    bool closed = false; ///< The budget or its ledger was removed; nothing is admitted.

    std::atomic<bool> is_short = false; ///< Refused, or close to it, since the last lending round.

    budget_id id;
    budget_kind kind = budget_kind::rate;
    std::int64_t clock_error_permille = 0;
    std::shared_ptr<const internal::shared_deadline> authority_until;
    std::shared_ptr<internal::activity_queue> activity;
};

namespace internal {

/// Refills tokens up to @p now and removes expired borrowed shares. The caller holds the mutex, here and in
/// the functions below.
void advance(budget_account& account, time_point now);

/// Recomputes the usable share after a change of its parts and discards tokens above the burst.
void update_usable(budget_account& account);

void set_base(budget_account& account, const share& base, time_point now);
void add_borrowed(budget_account& account, const borrowed_share& part, std::int64_t tokens, time_point now);

/// Removes a borrowed share. @return the tokens that go with it.
std::int64_t remove_borrowed(budget_account& account, std::uint64_t loan, time_point now);

/// Takes the tokens that go with @p burst out of the account, before that burst is lent.
std::int64_t split_tokens(budget_account& account, std::int64_t burst);

} // namespace internal
} // namespace camphorknot
