/// @file
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
    std::int64_t burst = 0;
    friend bool operator==(const share&, const share&) = default;
};

/// A loan as the traffic threads see it.
struct borrowed_part {
    std::uint64_t loan = 0;
    share amount;
    time_point usable_until{}; ///< No token refills, and no work starts, on it from here on.
};

/// Budgets that traffic threads used since the control thread last looked.
struct activity_queue {
    std::mutex mutex;
    std::vector<budget_id> budgets;
};

/// Time in nanoseconds until which an instance has authority.
using shared_deadline = std::atomic<std::int64_t>;

} // namespace internal

/// What one instance may use of one budget. try_take and give_back may be called from any thread; all else
/// belongs to the control thread.
struct budget_account {
    std::mutex mutex;     ///< Guards all that follows up to the atomics.
    internal::share base; ///< Own less lent. Negative for a while if the own allocation shrinks below lent.
    std::vector<internal::borrowed_part> borrowed;
    internal::share sum;                     ///< Base and borrowed, at least zero.
    time_point next_end = time_point::max(); ///< First end of a borrowed part.
    time_point updated{};
    std::int64_t tokens = 0;
    std::int64_t remainder = 0; ///< Fraction of a token's thousandth, in units of 1/1e9.
    std::int64_t in_use = 0;    ///< Permits out.
    std::int64_t asked = 0;     ///< Amounts asked for since the last look, refused ones included.
    std::int64_t refused = 0;
    std::int64_t peak_in_use = 0;
    bool touched = false; ///< Listed in the activity queue.
    bool closed = false;

    std::atomic<bool> is_short = false; ///< Refused since the last look, or close to it.

    budget_id id;
    budget_kind kind = budget_kind::rate;
    std::int64_t clock_error_permille = 0;
    std::shared_ptr<const internal::shared_deadline> authority_until;
    std::shared_ptr<internal::activity_queue> activity;
};

namespace internal {

/// Refills tokens up to @p now and ends borrowed parts. The caller holds the mutex, here and below.
void advance(budget_account& account, time_point now);

/// Recomputes the sum after a change of parts and discards tokens above the burst.
void update_sum(budget_account& account);

void set_base(budget_account& account, const share& base, time_point now);
void add_part(budget_account& account, const borrowed_part& part, std::int64_t tokens, time_point now);

/// Removes a borrowed part. @return the tokens that go with it.
std::int64_t remove_part(budget_account& account, std::uint64_t loan, time_point now);

/// Takes the tokens that go with @p burst out of the account, before that burst is lent.
std::int64_t split_tokens(budget_account& account, std::int64_t burst);

} // namespace internal
} // namespace camphorknot
