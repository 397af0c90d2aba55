/// @file
/// Decisions of an instance that replicates its configuration, targets and operator orders from a record
/// store: routing, placement, queueing, customers' rate limits, retries, fleet membership and rollouts.
#pragma once

#include "camphorknot/steering/answer_promise.hpp"
#include "camphorknot/steering/answer_speed.hpp"
#include "camphorknot/steering/crash_verdicts.hpp"
#include "camphorknot/steering/fleet.hpp"
#include "camphorknot/steering/front_selection.hpp"
#include "camphorknot/steering/model.hpp"
#include "camphorknot/steering/rate_shares.hpp"
#include "camphorknot/steering/record_replica.hpp"
#include "camphorknot/steering/record_requests.hpp"
#include "camphorknot/steering/request_identity.hpp"
#include "camphorknot/steering/retry_budget.hpp"
#include "camphorknot/steering/rollout_pacer.hpp"
#include "camphorknot/steering/route_table.hpp"
#include "camphorknot/steering/stop_plan.hpp"
#include "camphorknot/steering/target_notices.hpp"
#include "camphorknot/steering/target_pool.hpp"
#include "camphorknot/steering/target_reach.hpp"
#include "camphorknot/steering/usage_counts.hpp"
#include "camphorknot/steering/usage_duty.hpp"
#include "camphorknot/steering/version_history.hpp"
#include "camphorknot/steering/version_split.hpp"
#include "camphorknot/steering/wait_queue.hpp"
