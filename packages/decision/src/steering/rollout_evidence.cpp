#include "camphorknot/steering/rollout_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace camphorknot::steering {
namespace {

// Contributions of one request to the log likelihood ratio.
struct evidence_weights {
    double failing = 0;
    double good = 0; ///< Negative.
};

evidence_weights find_weights(const judged_requests& current, const evidence_tuning& tuning)
{
    const double estimate =
        (current.failing + tuning.prior_failing) / (current.judged + tuning.prior_requests);
    const double usual = std::max(estimate, tuning.min_failing_fraction);
    const double worse = usual + (1 - usual) * tuning.detected_fraction;
    return {std::log(worse / usual), std::log((1 - worse) / (1 - usual))};
}

// Bounds of the sequential probability ratio test (Wald).
double lower_bound(const evidence_tuning& tuning)
{
    return std::log(tuning.max_false_pass / (1 - tuning.max_false_alarm));
}

double upper_bound(const evidence_tuning& tuning)
{
    return std::log((1 - tuning.max_false_pass) / tuning.max_false_alarm);
}

} // namespace

std::uint64_t watch_request(request_watch& watch, observed_request request)
{
    const std::uint64_t id = watch.next_id++;
    watch.open.emplace(id, std::move(request));
    return id;
}

void on_observed_end(request_watch& watch, std::uint64_t id, observed_end end, duration service_time)
{
    const auto found = watch.open.find(id);
    if (found == watch.open.end()) {
        return;
    }
    observed_request& request = found->second;
    const bool is_late = service_time > request.judged_after;
    if (end == observed_end::not_run || (end == observed_end::caller_left && !is_late)) {
        watch.open.erase(found);
    } else {
        request.is_good = end == observed_end::answered && !is_late;
    }
}

std::vector<judgement> judge_due(request_watch& watch, time_point now)
{
    std::vector<judgement> judged;
    std::erase_if(watch.open, [&](const auto& item) {
        const observed_request& request = item.second;
        const bool is_due = now - request.sent_at > request.judged_after;
        if (is_due) {
            judged.push_back({request.service, request.version, request.route, !request.is_good});
        }
        return is_due;
    });
    return judged;
}

void forget_service(request_watch& watch, std::string_view service)
{
    std::erase_if(watch.open, [&](const auto& item) { return item.second.service == service; });
}

void add_judged(judged_requests& sum, const version_counts& entry)
{
    sum.judged += static_cast<double>(entry.has_judged ? entry.judged : entry.answers);
    sum.failing += static_cast<double>(entry.has_judged ? entry.judged_failing : entry.failing_answers);
}

double take_evidence(judged_requests& counted, const judged_requests& next, const judged_requests& current,
                     const evidence_tuning& tuning)
{
    const double failing = next.failing - counted.failing;
    const double good = next.judged - counted.judged - failing;
    counted = next;
    if (failing < 0 || good < 0) {
        return 0;
    }
    const evidence_weights weights = find_weights(current, tuning);
    return failing * weights.failing + good * weights.good;
}

void add_to_score(evidence_score& evidence, double change, const evidence_tuning& tuning)
{
    const double lower = lower_bound(tuning);
    evidence.score = std::max(lower, evidence.score + change);
    evidence.has_passed =
        evidence.score <= (evidence.has_passed ? lower * (1 - tuning.doubt_fraction) : lower);
}

bool has_failed(const evidence_score& evidence, const evidence_tuning& tuning)
{
    return evidence.score >= upper_bound(tuning);
}

double requests_to_pass(const evidence_score& evidence, const judged_requests& current,
                        const evidence_tuning& tuning)
{
    if (evidence.has_passed) {
        return 0;
    }
    return std::ceil((lower_bound(tuning) - evidence.score) / find_weights(current, tuning).good);
}

} // namespace camphorknot::steering
