/// @file
/// Sequential test of the version under rollout against the current one, by the requests that are old enough
/// to be judged.
///
/// A request is judged at a fixed age, whether its target has answered or not: it counts as failing if it has
/// failed, was answered later, or is still without an answer. Both versions are judged by the same ages, so
/// the test needs no assumption on the distribution of service times, and a slow version is known before its
/// requests run into their deadlines. A request whose caller leaves before that age says nothing.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "camphorknot/steering/fleet.hpp"

namespace camphorknot::steering {

/// How a request that is not judged yet ended.
enum class observed_end : std::uint8_t {
    answered,
    failed,
    caller_left,
    not_run, ///< Rejected by the target, or by another one at its address.
};

/// A request whose age of judgement has not been reached.
struct observed_request {
    std::string service{};
    std::string version{};
    std::string route{};
    time_point sent_at{};
    duration judged_after{}; ///< Age of the judgement.
    bool is_good = false;    ///< It was answered in time.
};

/// The outcome of a judged request.
struct judgement {
    std::string service{};
    std::string version{};
    std::string route{};
    bool is_failing = false;
};

/// Requests of one instance that are not judged yet.
struct request_watch {
    std::map<std::uint64_t, observed_request> open; ///< By id.
    std::uint64_t next_id = 1;
};

/// @return the id of the request.
std::uint64_t watch_request(request_watch& watch, observed_request request);

/// Stores how a request ended. Has no effect on one that has been judged. Failures are judged at the same age
/// as good answers, since whichever were counted earlier would decide.
/// @param service_time time that the request took at its target.
void on_observed_end(request_watch& watch, std::uint64_t id, observed_end end, duration service_time);

/// Removes the requests that have reached their age of judgement.
/// @return their judgements.
std::vector<judgement> judge_due(request_watch& watch, time_point now);

/// Removes all requests of a service.
void forget_service(request_watch& watch, std::string_view service);

/// Judged requests of one version, summed over the fleet.
struct judged_requests {
    double judged = 0;
    double failing = 0;
};

/// Adds the counts of @p entry. Those of builds that judge no requests count by their answers.
void add_judged(judged_requests& sum, const version_counts& entry);

/// Errors of the test, and the difference that it detects.
struct evidence_tuning {
    /// A version is to be detected if it fails on this fraction of the requests that the current version
    /// serves.
    double detected_fraction = 0.5;
    /// Probability that such a version passes the test.
    double max_false_pass = 0.0001;
    /// Probability that a version like the current one fails it.
    double max_false_alarm = 0.0001;
    /// Smallest fraction of failing requests that is assumed of the current version.
    double min_failing_fraction = 0.02;
    /// Weight, in requests, of the fraction that is assumed of a current version without judged requests.
    double prior_requests = 10;
    double prior_failing = 0.5;
    /// Part of the way back from the lower bound that a version which has passed may go until it is doubtful
    /// again.
    double doubt_fraction = 0.5;
};

/// Log likelihood ratio of "a version to be detected" to "like the current version". It does not fall below
/// the lower bound, at which the test is passed, so that a fault that appears later is still found soon.
struct evidence_score {
    double score = 0;
    bool has_passed = false; ///< The lower bound was reached, and no doubt has come since.
};

/// The requests of the new version that were judged since the last call, as a change of the log likelihood
/// ratio. A sum that has become smaller lacks an instance that was counted before; what is left of it changes
/// nothing.
/// @param counted updated to @p next.
/// @param next all judged requests of the new version.
/// @param current all judged requests of the current version.
double take_evidence(judged_requests& counted, const judged_requests& next, const judged_requests& current,
                     const evidence_tuning& tuning);

/// Adds a change of the log likelihood ratio.
void add_to_score(evidence_score& evidence, double change, const evidence_tuning& tuning);

/// @return whether the new version is found to be worse.
bool has_failed(const evidence_score& evidence, const evidence_tuning& tuning);

/// @return how many further requests have to be judged, none of them failing, before the version passes.
double requests_to_pass(const evidence_score& evidence, const judged_requests& current,
                        const evidence_tuning& tuning);

} // namespace camphorknot::steering
