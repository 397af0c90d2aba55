/// @file
/// A value, or the typed reason why there is none.
#pragma once

#include <optional>
#include <utility>

namespace camphorknot {

/// Optional value with the last reason for its absence.
/// @tparam T the value. @tparam Reason an enumeration, or a struct that says more (a settings error has a
/// line).
///
/// @code
/// result<budget_ledger, budget_error> ledger = make_ledger(settings, now);
/// if (!ledger)
///     return ledger.reason;
/// @endcode
template <typename T, typename Reason>
struct result {
    std::optional<T> value;
    Reason reason{};

    explicit operator bool() const { return value.has_value(); }
    T& operator*() { return *value; }
    const T& operator*() const { return *value; }
    T* operator->() { return &*value; }
    const T* operator->() const { return &*value; }
};

/// @return a result that holds @p value.
template <typename Reason, typename T>
result<T, Reason> succeed(T value)
{
    return {std::optional<T>(std::move(value)), Reason{}};
}

/// @return a result without a value, for @p reason.
template <typename T, typename Reason>
result<T, Reason> fail(Reason reason)
{
    return {std::nullopt, std::move(reason)};
}

} // namespace camphorknot
