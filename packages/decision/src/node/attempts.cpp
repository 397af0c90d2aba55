#include <algorithm>
#include <array>

#include "camphorknot/node/views.hpp"

namespace camphorknot {
namespace {

constexpr std::int64_t one_permit = 1000;   ///< Budgets count thousandths.
constexpr std::int64_t one_kilobyte = 1000; ///< Budgets count thousandths.

std::shared_ptr<budget_account> account_of(const traffic_snapshot& view, budget_id budget)
{
    const auto found = view.configured->accounts.find(budget);
    return found == view.configured->accounts.end() ? nullptr : found->second;
}

// Takes a permit for one request in a region, and tokens of the link to it. Routing tries one region after
// the other, so the permit held at the end belongs to the chosen region.
struct permit_holder {
    const traffic_snapshot& view;
    std::uint64_t body_kb;
    time_point now;
    std::shared_ptr<budget_account> acquired;

    bool take(service_id service, region_id region)
    {
        release();
        auto account = account_of(view, region_budget(service, region));
        if (!account || !try_take(*account, one_permit, now).admitted) {
            return false;
        }
        if (!take_link(region)) {
            give_back(*account, one_permit);
            return false;
        }
        acquired = std::move(account);
        return true;
    }

    bool take_link(region_id region) const
    {
        if (region == view.region) {
            return true;
        }
        const auto link = account_of(view, link_budget(view.region, region));
        const auto amount = static_cast<std::int64_t>(body_kb + 1) * one_kilobyte;
        return !link || try_take(*link, amount, now).admitted;
    }

    void release()
    {
        if (acquired) {
            give_back(*acquired, one_permit);
            acquired = nullptr;
        }
    }
};

routing_request make_routing_request(const admitted_request& request, std::span<const target_id> tried)
{
    routing_request target_request;
    target_request.service = request.service;
    target_request.route = request.route;
    target_request.idempotent = request.idempotent;
    target_request.can_wait = request.can_wait;
    target_request.deadline = request.deadline;
    target_request.timeout = request.timeout;
    target_request.min_version = request.min_version;
    target_request.tried = tried;
    target_request.prior_outcome = request.prior_outcome;
    // A retry may use any version in service, as the rollout's version may be the cause of the failure.
    target_request.version = tried.empty() ? request.version : std::nullopt;
    return target_request;
}

routing_answer choose(traffic_state& shared, routing_request& target_request, permit_holder& permits,
                      time_point now)
{
    const region_permit permit = [&](service_id service, region_id region) {
        return permits.take(service, region);
    };
    routing_answer answer = choose_target(shared.routing, target_request, permit, now);
    if (!answer.choice && target_request.version && answer.why.reason == refusal_reason::no_target) {
        // No target of the rollout's version has a free slot, so any version in service may be used.
        permits.release();
        target_request.version = std::nullopt;
        answer = choose_target(shared.routing, target_request, permit, now);
    }
    if (!answer.choice) {
        permits.release();
    }
    return answer;
}

attempt make_attempt(traffic_state& shared, const traffic_snapshot& view,
                     const routing_request& target_request, const target_choice& choice, time_point now)
{
    attempt next;
    next.target = choice;
    if (const auto target = view.configured->targets.find(choice.target);
        target != view.configured->targets.end()) {
        next.address = target->second.address;
        next.version_name = target->second.version_name;
    }
    next.connection_generation = connection_generation(shared.routing, choice.target);
    next.oldest_trusted_generation = oldest_trusted_generation(shared.routing, choice.target);
    next.hedge_after = hedge_delay(shared.routing, target_request, now);
    return next;
}

bool counts_as_failure(attempt_result result)
{
    return result == attempt_result::server_error || result == attempt_result::broken ||
           result == attempt_result::timed_out;
}

// Orders outcomes by the evidence that a request ran: not_run, then unknown, then ran.
bool less_evidence_of_run(outcome a, outcome b)
{
    constexpr std::array<int, 3> rank = {0, 2, 1}; // not_run, ran, unknown
    return rank[static_cast<std::size_t>(a)] < rank[static_cast<std::size_t>(b)];
}

} // namespace

attempt_answer begin_attempt(traffic_state& shared, const traffic_snapshot& view,
                             const admitted_request& request, std::span<const target_id> tried,
                             time_point now)
{
    routing_request target_request = make_routing_request(request, tried);
    permit_holder permits{view, request.body_kb, now, nullptr};
    const std::lock_guard lock(shared.routing_mutex);
    const routing_answer answer = choose(shared, target_request, permits, now);
    if (!answer.choice) {
        return {std::nullopt, answer.why};
    }
    shared.permits.emplace(answer.choice->target, std::move(permits.acquired));
    return {make_attempt(shared, view, target_request, *answer.choice, now), {}};
}

retry_answer end_attempt(traffic_state& shared, const traffic_snapshot&, admitted_request& request,
                         const attempt_report& report, time_point now)
{
    if (report.result != attempt_result::cancelled && report.result != attempt_result::shed_before_run) {
        const std::lock_guard lock(shared.rollout_mutex);
        count_outcome(shared.rollout, report.service, report.route, report.version,
                      counts_as_failure(report.result), report.latency, report.request_kb, now);
    }
    const std::lock_guard lock(shared.routing_mutex);
    on_attempt_end(shared.routing, report, now);
    if (const auto permit = shared.permits.find(report.target); permit != shared.permits.end()) {
        if (permit->second) {
            give_back(*permit->second, one_permit);
        }
        shared.permits.erase(permit);
    }
    const retry_answer answer = decide_retry(shared.routing, make_routing_request(request, {}), report, now);
    request.prior_outcome = std::max(request.prior_outcome, outcome_of(report.result), less_evidence_of_run);
    return answer;
}

void report_silent_connection(traffic_state& shared, target_id target, std::uint64_t generation,
                              bool fresh_connection_works)
{
    const std::lock_guard lock(shared.routing_mutex);
    on_silent_connection(shared.routing, target, generation, fresh_connection_works);
}

} // namespace camphorknot
