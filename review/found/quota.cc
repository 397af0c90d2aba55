// All processes are killed three times within four seconds while a small customer sends many times its usual.
#include <algorithm>
#include <csignal>
#include <cstdio>

#include "harness.h"

namespace {

using namespace review;

constexpr double rate_per_s = 5;
constexpr double burst = 5;
constexpr double quota_window_s = 5;
constexpr double quota_overage = 0.1;
constexpr double quota_slack = 20;
constexpr double usual_per_s = 3; // The quota is 1.6 times the usual, as in the site files.
constexpr double hot_factor = 9;
constexpr double down_s = 0.5;
constexpr double up_s = 0.9;
constexpr int kills = 3;

std::string resources()
{
    return route_json("lookup", "/lookup/", "safe", "catalogue", false, 2.5, 0.6) + "," +
           service_json("catalogue") + "," + tenant_json("guild", "guild-key", rate_per_s, burst) + "," +
           tenant_json("authority", "authority-key") + "," + limits_json();
}

int run(deployment& fleet, record& log)
{
    fleet.write_configuration(resources());
    int number = 0;
    for (const char* place : {"reykjavik-a", "akureyri-a", "egilsstadir-a"}) {
        for (int copy = 0; copy < 2; ++copy) {
            fleet.add_server({"i-" + std::to_string(++number), "catalogue", place, "v1", 4},
                             [](const message&) {
                                 return server_reply{200, 30, true, ""};
                             });
        }
        fleet.add_instance(place);
    }
    if (!fleet.start_all(15)) {
        return could_not_run;
    }
    std::vector<const instance*> all;
    for (const auto& each : fleet.instances()) {
        all.push_back(each.get());
    }
    const double start = now_s() + 4;
    sleep_until(start);
    const auto by = [](const char* key) {
        return [key](std::uint64_t index) {
            return client_request{"GET", "/lookup/" + std::to_string(index % 40), key, "", 1500};
        };
    };
    traffic others(fleet, all, 2, 4, by("authority-key"));
    sleep_until(start + 8); // The buckets of the customer, which has sent nothing, are full.
    const double hot = now_s();
    traffic guild(fleet, all, 3, usual_per_s * hot_factor / 9, by("guild-key"));
    for (int index = 0; index < kills && is_trouble_on(); ++index) {
        sleep_until(hot + up_s + index * (up_s + down_s));
        for (const auto& each : fleet.instances()) {
            fleet.signal(*each, SIGKILL);
        }
        sleep_s(down_s);
        for (const auto& each : fleet.instances()) {
            fleet.start(*each);
        }
    }
    sleep_until(hot + 15);
    guild.stop();
    others.stop();

    std::map<std::string, double> sent_at;
    for (const client_result& each : guild.results()) {
        sent_at[each.attempt] = each.sent_s;
    }
    // Both sent and arrived in the window.
    std::vector<std::pair<double, double>> runs;
    for (const auto& each : fleet.servers()) {
        for (const run_entry& entry : each->runs()) {
            const auto sent = sent_at.find(entry.attempt);
            if (entry.executed && sent != sent_at.end()) {
                runs.emplace_back(entry.arrived_s, sent->second);
            }
        }
    }
    std::ranges::sort(runs);
    std::size_t most = 0;
    for (const auto& last : runs) {
        const double from = last.first - quota_window_s;
        most = std::max(most, static_cast<std::size_t>(std::ranges::count_if(runs, [&](const auto& entry) {
                            return entry.first > from && entry.second > from && entry.first <= last.first;
                        })));
    }
    const double allowed = (rate_per_s * quota_window_s + burst) * (1 + quota_overage) + quota_slack;
    char text[200];
    std::snprintf(text, sizeof text,
                  "%zu requests of the customer ran within %.0f s; allowed: %.1f; %zu ran in all", most,
                  quota_window_s, allowed, runs.size());
    log.line(text);
    std::puts(text);
    if (runs.size() < 30) {
        return could_not_run;
    }
    return static_cast<double>(most) > allowed ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
