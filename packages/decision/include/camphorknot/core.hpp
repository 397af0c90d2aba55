/// @file
/// Types that every module uses: identifiers, time, results with typed failures, refusals, invariants.
#pragma once

#include "camphorknot/core/ids.hpp"
#include "camphorknot/core/invariant.hpp"
#include "camphorknot/core/random.hpp"
#include "camphorknot/core/refusal.hpp"
#include "camphorknot/core/result.hpp"
#include "camphorknot/core/time.hpp"
