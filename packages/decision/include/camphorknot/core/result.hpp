/// @file
/// A value, or a typed reason for its absence.
#pragma once

#include <optional>
#include <utility>

namespace camphorknot {

/// An optional value with the reason for its absence.
/// @tparam T type of the value.
/// @tparam Reason an enumeration, or a struct with details such as the line of a settings error.
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

/// @return a result without a value, because of @p reason.
template <typename T, typename Reason>
result<T, Reason> fail(Reason reason)
{
    return {std::nullopt, std::move(reason)};
}

} // namespace camphorknot
