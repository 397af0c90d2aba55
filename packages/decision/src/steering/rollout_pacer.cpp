#include "camphorknot/steering/rollout_pacer.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace camphorknot::steering {
namespace {

// Answers of one version on one route.
struct sample {
    double answers = 0;
    double failing_answers = 0;
};

double failing_fraction(const sample& counted)
{
    return counted.answers == 0 ? 0 : counted.failing_answers / counted.answers;
}

duration scaled(duration time, double fraction)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * fraction));
}

struct comparison_thresholds {
    std::uint64_t min_failing_answers = 0;
    double min_difference = 0;
    double min_standard_errors = 0;
};

bool is_worse(const sample& new_version, const sample& old_version, const comparison_thresholds& thresholds)
{
    if (new_version.failing_answers < static_cast<double>(thresholds.min_failing_answers)) {
        return false;
    }
    const double difference = failing_fraction(new_version) - failing_fraction(old_version);
    // One assumed answer of each kind keeps the standard error above zero for small samples.
    const double pooled = (new_version.failing_answers + old_version.failing_answers + 1) /
                          (new_version.answers + old_version.answers + 2);
    const double error =
        std::sqrt(pooled * (1 - pooled) * (1 / (new_version.answers + 1) + 1 / (old_version.answers + 1)));
    return difference >= thresholds.min_difference && difference >= thresholds.min_standard_errors * error;
}

// A sum that has become smaller lacks an instance that was counted before; what is left of it counts.
void subtract_earlier(version_counts& entry, std::span<const version_counts> earlier)
{
    const auto known = std::ranges::find_if(earlier, [&](const version_counts& other) {
        return other.version == entry.version && other.route == entry.route;
    });
    if (known == earlier.end() || known->sent > entry.sent) {
        return;
    }
    const auto subtract = [](std::uint64_t& value, std::uint64_t before) {
        value -= std::min(value, before);
    };
    subtract(entry.answers, known->answers);
    subtract(entry.failing_answers, known->failing_answers);
    subtract(entry.unanswered, known->unanswered);
    subtract(entry.sent, known->sent);
    subtract(entry.judged, known->judged);
    subtract(entry.judged_failing, known->judged_failing);
}

// Which requests are compared.
enum class compared_requests : std::uint8_t {
    answered,
    answered_or_left, // Those whose callers left count as failing.
    judged,
};

sample sample_of(const version_counts& entry, compared_requests compared)
{
    if (compared == compared_requests::judged) {
        judged_requests judged;
        add_judged(judged, entry);
        return {judged.judged, judged.failing};
    }
    const std::uint64_t left = compared == compared_requests::answered_or_left ? entry.unanswered : 0;
    return {static_cast<double>(entry.answers + left), static_cast<double>(entry.failing_answers + left)};
}

// Whether the new version is worse than the old one on any route.
bool is_worse_on_any_route(std::span<const version_counts> counts, const rollout_order& order,
                           const comparison_thresholds& thresholds, compared_requests compared)
{
    std::map<std::string_view, std::pair<sample, sample>> by_route; // New and old version.
    for (const version_counts& entry : counts) {
        if (entry.service != order.service) {
            continue;
        }
        auto& [new_version, old_version] = by_route[entry.route];
        sample& sum = entry.version == order.version ? new_version : old_version;
        const sample added = sample_of(entry, compared);
        sum.answers += added.answers;
        sum.failing_answers += added.failing_answers;
    }
    return std::ranges::any_of(by_route, [&](const auto& entry) {
        return is_worse(entry.second.first, entry.second.second, thresholds);
    });
}

// What is known of the new version on one route.
struct route_sums {
    judged_requests next;
    judged_requests current;
    double sent = 0;      // Requests for both versions.
    double sent_next = 0; // Requests for the new version.
    double unjudged = 0;  // Of these, not judged yet.
};

void add_counts(route_sums& sums, const version_counts& entry, const rollout_order& order)
{
    const bool is_next = entry.version == order.version;
    add_judged(is_next ? sums.next : sums.current, entry);
    sums.sent += static_cast<double>(entry.sent);
    if (is_next) {
        sums.sent_next += static_cast<double>(entry.sent);
        sums.unjudged += static_cast<double>(entry.unjudged);
    }
}

std::map<std::string, route_sums> sums_by_route(std::span<const version_counts> counts,
                                                const rollout_order& order)
{
    std::map<std::string, route_sums> by_route;
    for (const version_counts& entry : counts) {
        if (entry.service == order.service) {
            add_counts(by_route[entry.route], entry, order);
        }
    }
    return by_route;
}

route_sums sum_of(const std::map<std::string, route_sums>& by_route)
{
    route_sums sum;
    for (const auto& [route, sums] : by_route) {
        sum.next.judged += sums.next.judged;
        sum.next.failing += sums.next.failing;
        sum.current.judged += sums.current.judged;
        sum.current.failing += sums.current.failing;
        sum.sent += sums.sent;
        sum.sent_next += sums.sent_next;
        sum.unjudged += sums.unjudged;
    }
    return sum;
}

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

// Part of a route's requests that gives the new version, within the time for it, the requests that are still
// missing for its proof.
double share_for_proof(const route_sums& sums, double missing, const rollout_order& order,
                       const rollout_tuning& tuning, duration elapsed)
{
    if (missing <= 0 || sums.sent == 0) {
        return 0;
    }
    const double wanted = missing + tuning.spare_requests - sums.unjudged;
    const double per_s = sums.sent / seconds_of(elapsed);
    const duration left =
        std::max(scaled(order.time_limit, tuning.evidence_fraction) - elapsed, tuning.min_evidence_time);
    return std::min(tuning.max_canary_share, wanted / (per_s * seconds_of(left)));
}

// Whether the route's requests can prove the version by themselves until it has to be promoted.
bool is_provable(const route_sums& sums, const route_sums& all, const rollout_order& order,
                 const rollout_tuning& tuning, duration elapsed)
{
    const double per_s = sums.sent / seconds_of(elapsed);
    const double missing = requests_to_pass({}, sums.current, tuning.evidence);
    const duration usable = scaled(order.time_limit, tuning.trial_end_fraction);
    return sums.sent >= tuning.min_route_fraction * all.sent &&
           per_s * tuning.max_canary_share * seconds_of(usable) >= missing;
}

const evidence_score& score_of(const rollout_evidence& evidence, const std::string& route)
{
    static const evidence_score none;
    const auto found = evidence.by_route.find(route);
    return found == evidence.by_route.end() ? none : found->second;
}

} // namespace

bool is_same_order(const rollout_order& known, const rollout_order& incoming,
                   std::optional<duration> since_new_era)
{
    // The operator has written everything again by then.
    constexpr duration rewrite_time = std::chrono::seconds(10);
    if (known.service != incoming.service || known.version != incoming.version ||
        known.time_limit != incoming.time_limit) {
        return false;
    }
    const bool is_other_era = era_of(known.order_version) != era_of(incoming.order_version);
    return known.order_version == incoming.order_version || is_other_era ||
           (since_new_era && *since_new_era < rewrite_time);
}

std::vector<version_counts> counts_since_order(rollout_run& run, std::span<const version_counts> reported)
{
    std::vector<version_counts> since_order;
    std::vector<version_counts> since_start;
    for (const version_counts& entry : reported) {
        if (entry.service != run.order.service) {
            continue;
        }
        if (entry.order_version == 0) {
            since_start.push_back(entry);
        } else if (entry.order_version == run.order.order_version ||
                   era_of(entry.order_version) != era_of(run.order.order_version)) {
            since_order.push_back(entry); // An order of another era is the same one, written again.
        }
    }
    if (!run.counts_before) {
        run.counts_before = since_start;
    }
    for (version_counts& entry : since_start) {
        subtract_earlier(entry, *run.counts_before);
        since_order.push_back(std::move(entry));
    }
    return since_order;
}

duration elapsed_of(const rollout_run& run, time_point now)
{
    const duration own = now - run.first_seen;
    return run.peer_elapsed == duration{} ? own
                                          : std::max(own, run.peer_elapsed + (now - run.peer_elapsed_at));
}

void add_evidence(rollout_evidence& evidence, std::span<const version_counts> counts,
                  const rollout_order& order, const rollout_tuning& tuning)
{
    double change = 0;
    for (const auto& [route, sums] : sums_by_route(counts, order)) {
        const double change_on_route =
            take_evidence(evidence.counted[route], sums.next, sums.current, tuning.evidence);
        add_to_score(evidence.by_route[route], change_on_route, tuning.evidence);
        change += change_on_route;
    }
    add_to_score(evidence.all, change, tuning.evidence);
}

bool is_shown_worse(const rollout_evidence& evidence, const rollout_tuning& tuning)
{
    return std::ranges::any_of(evidence.by_route,
                               [&](const auto& item) { return has_failed(item.second, tuning.evidence); });
}

bool is_failing_version(std::span<const version_counts> counts, const rollout_order& order,
                        const rollout_tuning& tuning)
{
    const comparison_thresholds failing = {tuning.min_failing_answers, tuning.min_difference,
                                           tuning.min_standard_errors};
    return is_worse_on_any_route(counts, order, failing, compared_requests::answered) ||
           is_worse_on_any_route(counts, order, failing, compared_requests::judged);
}

bool may_promote(std::span<const version_counts> counts, const rollout_evidence& evidence,
                 const rollout_order& order, const rollout_tuning& tuning)
{
    const comparison_thresholds doubtful = {tuning.min_doubtful_answers, tuning.min_doubtful_difference,
                                            tuning.min_doubtful_standard_errors};
    const comparison_thresholds unanswered = {tuning.min_doubtful_answers, tuning.min_unanswered_difference,
                                              tuning.min_unanswered_standard_errors};
    if (is_worse_on_any_route(counts, order, doubtful, compared_requests::answered) ||
        is_worse_on_any_route(counts, order, doubtful, compared_requests::judged) ||
        is_worse_on_any_route(counts, order, unanswered, compared_requests::answered_or_left)) {
        return false;
    }
    return evidence.all.has_passed && std::ranges::none_of(evidence.by_route, [&](const auto& item) {
               return item.second.score >= tuning.min_doubtful_score;
           });
}

double canary_share_within(const exposure_limits& limits, const rollout_tuning& tuning)
{
    // The rest is for requests that are sent before other instances hear of them.
    constexpr double usable_part = 0.6;
    return std::min(tuning.trial_share, limits.share * usable_part);
}

std::map<std::string, double> find_route_shares(std::span<const version_counts> counts,
                                                const rollout_evidence& evidence, const rollout_order& order,
                                                const rollout_tuning& tuning, const exposure_limits& limits,
                                                duration elapsed)
{
    std::map<std::string, double> shares;
    const std::map<std::string, route_sums> by_route = sums_by_route(counts, order);
    const route_sums all = sum_of(by_route);
    const double usual_share = canary_share_within(limits, tuning);
    const double allowance = usual_share * all.sent + tuning.allowance_fraction * limits.slack;
    const double left = allowance - all.sent_next;
    if (elapsed < tuning.min_observation || all.sent == 0 || left <= 0) {
        return shares;
    }
    // What can be sent until the other instances know of it.
    const double sent_unknown = all.sent / seconds_of(elapsed) * seconds_of(tuning.count_delay);
    const double most = std::max(usual_share, left / std::max(sent_unknown, 1.0));
    for (const auto& [route, sums] : by_route) {
        const bool is_main = 2 * sums.sent >= all.sent;
        const double missing = requests_to_pass(score_of(evidence, route), sums.current, tuning.evidence);
        const double share = std::min(share_for_proof(sums, missing, order, tuning, elapsed), most);
        if (share > usual_share && (is_main || is_provable(sums, all, order, tuning, elapsed))) {
            shares[route] = share;
        }
    }
    return shares;
}

double mean_share(std::span<const version_counts> counts, const rollout_order& order,
                  const std::map<std::string, double>& route_shares, double other_share)
{
    double sent = 0;
    double sent_next = 0;
    for (const auto& [route, sums] : sums_by_route(counts, order)) {
        const auto found = route_shares.find(route);
        sent += sums.sent;
        sent_next += sums.sent * (found == route_shares.end() ? other_share : found->second);
    }
    return sent == 0 ? other_share : sent_next / sent;
}

double missing_for_proof(std::span<const version_counts> counts, const rollout_evidence& evidence,
                         const rollout_order& order, const rollout_tuning& tuning)
{
    return requests_to_pass(evidence.all, sum_of(sums_by_route(counts, order)).current, tuning.evidence);
}

bool is_hold_excluded(const rollout_run& run, const rollout_tuning& tuning, time_point now)
{
    const bool is_held = run.known_hold.held && run.known_hold.order_version == run.order.order_version;
    return run.hold_read_at && now - *run.hold_read_at <= tuning.max_hold_age && !is_held;
}

double limit_share(const rollout_run& run, const rollout_tuning& tuning, double scheduled, bool promoted,
                   time_point now)
{
    if (run.completed) {
        return scheduled;
    }
    const double allowed = promoted ? scheduled : std::min(scheduled, tuning.trial_share);
    const double start = std::max({run.share, run.peer_share, run.canary_share, tuning.trial_share});
    const duration ramp_time =
        scaled(run.order.time_limit, tuning.ramp_end_fraction - tuning.trial_end_fraction);
    const duration elapsed =
        run.share_at == time_point{} ? duration{} : std::min(now - run.share_at, tuning.max_update_gap);
    if (elapsed >= ramp_time) {
        return allowed;
    }
    const double increase = (1 - tuning.trial_share) * std::chrono::duration<double>(elapsed).count() /
                            std::chrono::duration<double>(ramp_time).count();
    return std::min(allowed, start + increase);
}

bool is_out_of_time(const rollout_run& run, const rollout_tuning& tuning, time_point now)
{
    return run.share < 1 && !run.completed && run.order.time_limit > duration{} &&
           elapsed_of(run, now) >= scaled(run.order.time_limit, tuning.abandon_fraction);
}

double new_version_share(const rollout_run& run, const rollout_tuning& tuning, bool has_new_targets,
                         time_point now)
{
    if (run.stopped || !has_new_targets) {
        return 0;
    }
    if (run.completed) {
        return 1;
    }
    const duration elapsed = elapsed_of(run, now);
    const duration ramp_start = scaled(run.order.time_limit, tuning.trial_end_fraction);
    const duration ramp_end = scaled(run.order.time_limit, tuning.ramp_end_fraction);
    if (elapsed <= ramp_start) {
        return tuning.trial_share;
    }
    const double ramp_progress = std::chrono::duration<double>(elapsed - ramp_start).count() /
                                 std::chrono::duration<double>(ramp_end - ramp_start).count();
    return std::min(1.0, tuning.trial_share + (1 - tuning.trial_share) * ramp_progress);
}

std::string longest_running_version(std::span<const target> targets, std::string_view service,
                                    std::string_view excluded)
{
    const target* longest_running = nullptr;
    for (const target& candidate : targets) {
        if (candidate.service != service || candidate.version == excluded) {
            continue;
        }
        const auto order_of = [](const target& entry) {
            return std::tuple(entry.draining, entry.born_ms, std::string_view(entry.version));
        };
        if (longest_running == nullptr || order_of(candidate) < order_of(*longest_running)) {
            longest_running = &candidate;
        }
    }
    return longest_running == nullptr ? std::string() : longest_running->version;
}

rollout_step next_step(const rollout_run& run, const rollout_tuning& tuning,
                       std::optional<rollout_state> recorded, std::uint64_t old_in_flight,
                       bool all_instances_moved, time_point now)
{
    if (recorded && *recorded != rollout_state::running) {
        return rollout_step::none;
    }
    if (run.stopped) {
        return rollout_step::record_rolled_back;
    }
    if (run.completed) {
        return rollout_step::record_completed;
    }
    const duration elapsed = elapsed_of(run, now);
    const bool is_observed = now - run.moved_at >= run.judgement_age ||
                             elapsed >= scaled(run.order.time_limit, tuning.observation_end_fraction);
    const bool moved = run.share >= 1 && all_instances_moved;
    const bool may_complete =
        !run.held_elsewhere && elapsed >= scaled(run.order.time_limit, tuning.completion_fraction);
    if (run.share >= 1 && is_observed &&
        ((moved && old_in_flight == 0) || (may_complete && old_in_flight == 0))) {
        return rollout_step::record_completed;
    }
    return recorded ? rollout_step::none : rollout_step::record_running;
}

} // namespace camphorknot::steering
