/// @file
/// Refusals and the retry budget; internal to routing.
#pragma once

#include "camphorknot/routing/router.hpp"

namespace camphorknot::internal {

/// @return the combined outcome of the attempts before the current one (P7: not_run only if certain).
outcome outcome_before(const routing_request& request);

/// @return a refusal that asks the caller to retry after @p wait and a random part of up to half of it, so
/// that refused callers do not all come back at the same time.
refusal make_refusal(router& state, refusal_reason reason, outcome run, duration wait);

/// Adds the fraction of a token that a new request earns to the retry budget.
void add_retry_tokens(router& state);

} // namespace camphorknot::internal
