/// @file
/// Reasons for refusing a request, whether it ran, and when the caller may retry.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "camphorknot/core/time.hpp"

namespace camphorknot {

/// Whether a request was executed at a target.
enum class outcome : std::uint8_t {
    not_run, ///< It certainly was not executed, not even in part.
    ran,     ///< A target answered it.
    unknown, ///< It may have run; a non-idempotent request must not be repeated.
};

/// Reasons for a refusal. Each has its own metric, and its name is part of the HTTP interface.
enum class refusal_reason : std::uint8_t {
    none,
    key_missing,
    key_unknown,
    key_revoked,
    authority_lost,
    configuration_missing,
    route_unknown,
    rate_exceeded,
    region_full,
    link_full,
    no_target,
    retry_budget_empty,
    deadline_exceeded,
    cancelled,
    ticket_missing,
    ticket_invalid,
    ticket_expired,
    ticket_of_other_instance,
    outcome_unknown,
    target_failed,
    target_shed,
    instance_leaving,
    instance_busy,
    malformed_request,
    head_too_large,
    body_too_large,
    sender_too_slow,
    count, ///< Number of reasons; not a reason itself.
};

inline constexpr std::size_t refusal_reason_count = static_cast<std::size_t>(refusal_reason::count);

inline constexpr std::array<std::string_view, refusal_reason_count> refusal_reason_names = {
    "none",
    "key_missing",
    "key_unknown",
    "key_revoked",
    "authority_lost",
    "configuration_missing",
    "route_unknown",
    "rate_exceeded",
    "region_full",
    "link_full",
    "no_target",
    "retry_budget_empty",
    "deadline_exceeded",
    "cancelled",
    "ticket_missing",
    "ticket_invalid",
    "ticket_expired",
    "ticket_of_other_instance",
    "outcome_unknown",
    "target_failed",
    "target_shed",
    "instance_leaving",
    "instance_busy",
    "malformed_request",
    "head_too_large",
    "body_too_large",
    "sender_too_slow",
};

/// @return the stable name of @p reason, as used in metrics and HTTP headers.
constexpr std::string_view name_of(refusal_reason reason)
{
    return refusal_reason_names[static_cast<std::size_t>(reason)];
}

/// @return the stable name of @p value.
constexpr std::string_view name_of(outcome value)
{
    constexpr std::array<std::string_view, 3> names = {"not_run", "ran", "unknown"};
    return names[static_cast<std::size_t>(value)];
}

/// The answer to a request that is refused or given up.
struct refusal {
    refusal_reason reason = refusal_reason::none;
    outcome run = outcome::not_run;
    duration retry_after{}; ///< Delay after which the caller may retry; zero if a retry does not help.
};

} // namespace camphorknot
