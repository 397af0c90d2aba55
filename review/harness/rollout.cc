#include "rollout.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace review {
namespace {

using nlohmann::json;

// The platform drains the servers of a version that was rolled back after this time.
constexpr double drain_delay_s = 3;

std::string recorded_state(deployment& fleet, const std::string& service, const std::string& version)
{
    const json row =
        json::parse(standins::row_value(fleet.store(), "status", "rollout/" + service), nullptr, false);
    return row.is_object() && row.value("target", "") == version ? row.value("state", "") : std::string();
}

} // namespace

std::vector<server*> start_version(deployment& fleet, const std::string& service, const std::string& version,
                                   int count, int slots, const server::behavior& decide)
{
    static int number = 0;
    std::vector<server*> started;
    for (int index = 0; index < count; ++index) {
        const std::string& zone =
            fleet.instances().at(static_cast<std::size_t>(index) % fleet.instances().size())->zone;
        started.push_back(
            &fleet.add_server({"i-" + std::to_string(++number), service, zone, version, slots}, decide));
    }
    return started;
}

double order_rollout(deployment& fleet, const std::string& service, const std::string& version,
                     double duration_s)
{
    // The state of an earlier rollout of the same service stays in the store, as the system wrote it.
    standins::put_row(fleet.store(), "op", "rollout/" + service,
                      json{{"service", service}, {"target", version}, {"duration_s", duration_s}}.dump());
    fleet.log().line("operator: rollout of " + service + " to " + version + " ordered, " +
                     std::to_string(static_cast<int>(duration_s)) + " s");
    return now_s();
}

std::string finish_rollout(deployment& fleet, const std::string& service, const std::string& version,
                           const std::vector<server*>& old_servers, const std::vector<server*>& new_servers,
                           double limit_s)
{
    std::string state;
    while (now_s() < limit_s) {
        state = recorded_state(fleet, service, version);
        if (state == "completed" || state == "rolled_back") {
            break;
        }
        sleep_s(0.05);
    }
    fleet.log().line("status of the rollout to " + version + ": " + (state.empty() ? "none" : state));
    if (state == "completed") {
        for (server* each : old_servers) {
            each->end();
            each->remove_entry();
        }
        return state;
    }
    if (state == "rolled_back") {
        sleep_s(drain_delay_s);
        for (server* each : new_servers) {
            each->set_state("draining");
            each->write_entry();
        }
        return state;
    }
    return {};
}

bool exposure::is_broken() const
{
    return static_cast<double>(at_bad_version) >
               exposure_share * static_cast<double>(at_service) + exposure_slack ||
           late > 0;
}

std::string exposure::text() const
{
    char text[300];
    std::snprintf(
        text, sizeof text,
        "%zu of %zu requests reached the bad version between the order and its deadline (allowed: %.0f); it "
        "gave %zu bad answers, the 50th at %.1f s; %zu requests sent more than %.0f s after that reached it",
        at_bad_version, at_service, exposure_share * static_cast<double>(at_service) + exposure_slack,
        bad_answers, fiftieth_bad_at, late, rollback_s);
    return text;
}

exposure measure_exposure(const std::vector<server*>& old_servers, const std::vector<server*>& bad_servers,
                          const std::vector<client_result>& sent, double ordered_s, double deadline_s,
                          const std::function<bool(const run_entry&)>& is_bad)
{
    exposure found;
    const auto is_counted = [&](const run_entry& run) {
        return run.arrived_s >= ordered_s && run.arrived_s <= deadline_s;
    };
    std::vector<double> bad_at;
    std::map<std::string, double> sent_at;
    for (const client_result& each : sent) {
        sent_at[each.attempt] = each.sent_s;
    }
    for (server* each : old_servers) {
        const std::vector<run_entry> runs = each->runs();
        found.at_service += static_cast<std::size_t>(std::ranges::count_if(runs, is_counted));
    }
    std::vector<run_entry> at_bad;
    for (server* each : bad_servers) {
        for (const run_entry& run : each->runs()) {
            at_bad.push_back(run);
            found.at_service += is_counted(run) ? 1 : 0;
            found.at_bad_version += is_counted(run) ? 1 : 0;
            if (is_bad(run)) {
                bad_at.push_back(run.ended_s);
            }
        }
    }
    std::ranges::sort(bad_at);
    found.bad_answers = bad_at.size();
    if (bad_at.size() >= bad_answers_to_roll_back) {
        found.fiftieth_bad_at = bad_at[bad_answers_to_roll_back - 1];
        found.late = static_cast<std::size_t>(std::ranges::count_if(at_bad, [&](const run_entry& run) {
            const auto at = sent_at.find(run.attempt);
            return at != sent_at.end() && at->second > found.fiftieth_bad_at + rollback_s;
        }));
    }
    return found;
}

} // namespace review
