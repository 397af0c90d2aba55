/// @file
/// Final answers and the retry budget; internal to routing.
#pragma once

#include "camphorknot/routing/router.hpp"

namespace camphorknot::internal {

/// @return what is known of the attempts before the present one (P7: not_run only if certain).
outcome outcome_before(const routing_request& request);

/// @return a refusal with @p wait spread by up to half, so refused callers do not come back together.
refusal make_refusal(router& state, refusal_reason reason, outcome run, duration wait);

/// Adds a new request's part to the retry budget.
void add_retry_tokens(router& state);

} // namespace camphorknot::internal
