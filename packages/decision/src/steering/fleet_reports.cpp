// Sums of the load reports of several instances, and the summary of a failure domain.
#include <tuple>

#include "camphorknot/steering/rollout_evidence.hpp"

namespace camphorknot::steering {
namespace {

// Adds each item to the sum of its key; the sums are in the order of the keys.
template <typename Item, typename Key, typename Add>
void add_all(std::map<Key, Item>& sums, std::span<const Item> items, auto key_of, Add add)
{
    for (const Item& item : items) {
        const auto [place, is_new] = sums.emplace(key_of(item), item);
        if (!is_new) {
            add(place->second, item);
        }
    }
}

template <typename Key, typename Item>
std::vector<Item> values_of(const std::map<Key, Item>& sums)
{
    std::vector<Item> values;
    values.reserve(sums.size());
    for (const auto& [key, value] : sums) {
        values.push_back(value);
    }
    return values;
}

struct report_sums {
    std::map<std::string, customer_demand> demands;
    std::map<std::string, target_in_flight> in_flight;
    std::map<std::pair<std::string, std::uint64_t>, rollout_progress> rollouts;
    std::map<std::tuple<std::string, std::string, std::string, std::uint64_t>, version_counts> counts;
    std::map<std::string, target_notice> notices;
    float requests_per_s = 0;
};

void add_rollout(rollout_progress& sum, const rollout_progress& progress)
{
    sum.elapsed = std::max(sum.elapsed, progress.elapsed);
    sum.share = std::min(sum.share, progress.share);
    sum.stopped = sum.stopped || progress.stopped;
    sum.old_in_flight += progress.old_in_flight;
}

void add_report(report_sums& sums, const load_report& report)
{
    sums.requests_per_s += report.requests_per_s;
    add_all(
        sums.demands, std::span(report.demands), [](const auto& demand) { return demand.customer; },
        [](auto& sum, const auto& demand) { sum.per_s += demand.per_s; });
    add_all(
        sums.in_flight, std::span(report.in_flight), [](const auto& load) { return load.target; },
        [](auto& sum, const auto& load) { sum.requests += load.requests; });
    add_all(
        sums.rollouts, std::span(report.rollouts),
        [](const auto& progress) { return std::pair(progress.service, progress.order_version); },
        add_rollout);
    add_all(
        sums.counts, std::span(report.counts),
        [](const auto& counts) {
            return std::tuple(counts.service, counts.version, counts.route, counts.order_version);
        },
        [](auto& sum, const auto& counts) {
            // Those of earlier builds count by their answers.
            const bool has_judged = sum.has_judged || counts.has_judged;
            judged_requests judged;
            add_judged(judged, sum);
            add_judged(judged, counts);
            sum.has_judged = has_judged;
            sum.judged = has_judged ? static_cast<std::uint64_t>(judged.judged) : 0;
            sum.judged_failing = has_judged ? static_cast<std::uint64_t>(judged.failing) : 0;
            sum.unjudged += counts.unjudged;
            sum.answers += counts.answers;
            sum.failing_answers += counts.failing_answers;
            sum.unanswered += counts.unanswered;
            sum.sent += counts.sent;
        });
    add_all(
        sums.notices, std::span(report.notices), [](const auto& notice) { return notice.target; },
        [](auto& newest, const auto& notice) {
            const bool is_newer =
                notice.born_ms != newest.born_ms ? notice.born_ms > newest.born_ms : notice.age < newest.age;
            const bool leaving = newest.born_ms == notice.born_ms && (newest.leaving || notice.leaving);
            newest = is_newer ? notice : newest;
            newest.leaving = newest.leaving || leaving;
        });
}

load_report to_report(const report_sums& sums)
{
    return {values_of(sums.demands),
            values_of(sums.in_flight),
            values_of(sums.rollouts),
            values_of(sums.counts),
            sums.requests_per_s,
            values_of(sums.notices),
            {}};
}

} // namespace

domain_summary make_summary(const fleet& peers, const instance_status& own, std::uint64_t sequence,
                            time_point now)
{
    domain_summary summary;
    summary.failure_domain = peers.own.failure_domain;
    summary.region = peers.own.region;
    summary.delegate = peers.own.name + "/" + std::to_string(peers.own.incarnation);
    summary.sequence = sequence;
    summary.positions = own.positions;
    summary.reads_store = own.reads_store;
    report_sums sums;
    add_report(sums, own.load);
    if (!own.leaving) {
        summary.members.push_back(contact_of(own));
    }
    for (const instance_status* status : live_statuses(peers, now)) {
        add_report(sums, status->load);
        summary.members.push_back(contact_of(*status));
    }
    summary.load = to_report(sums);
    summary.crashes = own.crashes;
    return summary;
}

load_report sum_of_peer_reports(const fleet& peers, time_point now)
{
    report_sums sums;
    for (const instance_status* status : live_statuses(peers, now)) {
        add_report(sums, status->load);
    }
    for (const domain_summary* summary : live_summaries(peers, now)) {
        add_report(sums, summary->load);
    }
    return to_report(sums);
}

} // namespace camphorknot::steering
