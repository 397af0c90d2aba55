// A server asks for quiet, its entry lapses and comes back, and the request for quiet is forgotten.
#include <algorithm>
#include <cstdio>

#include "harness.h"

namespace {

using namespace review;

constexpr double quiet_s = 20;
constexpr double need_s = 6;          // The server turns requests away for this long.
constexpr double lapse_after_s = 4.5; // Three heartbeats of 1.5 s.
constexpr std::size_t allowed = 2;

std::string resources()
{
    return route_json("lookup", "/lookup/", "safe", "catalogue", false, 2.5, 0.6) + "," +
           service_json("catalogue") + "," + tenant_json("guild", "guild-key") + "," + limits_json();
}

int run(deployment& fleet, record& log)
{
    fleet.write_configuration(resources());
    std::atomic<double> need_from{1e9};
    const auto sound = [](const message&) { return server_reply{200, 40, true, ""}; };
    const auto needy = [&](const message&) {
        const double in_need = now_s() - need_from;
        return in_need >= 0 && in_need < need_s
                   ? server_reply{503, 5, false, "Not-Executed: 1\r\nRetry-After: 20\r\n"}
                   : server_reply{200, 40, true, ""};
    };
    int number = 0;
    for (const char* place : {"reykjavik-a", "akureyri-a", "egilsstadir-a"}) {
        for (int copy = 0; copy < 2; ++copy) {
            ++number;
            fleet.add_server({"i-" + std::to_string(number), "catalogue", place, "v1", 4},
                             number == 1 ? server::behavior(needy) : server::behavior(sound));
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
    traffic callers(fleet, all, 6, 6, [](std::uint64_t index) {
        return client_request{"GET", "/lookup/" + std::to_string(index % 40), "guild-key", "", 4000};
    });
    sleep_until(start + 4);
    need_from = now_s();
    const double asked_at = need_from;
    server& in_need = *fleet.servers().front();
    if (is_trouble_on()) {
        sleep_until(asked_at + need_s);
        in_need.set_heartbeats(false);
        sleep_until(asked_at + need_s + lapse_after_s);
        standins::drop_row(fleet.store(), "servers", in_need.about().id);
        log.line("the entry has lapsed after three heartbeat intervals of silence");
        sleep_until(asked_at + need_s + lapse_after_s + 1.5);
        in_need.set_heartbeats(true);
    }
    sleep_until(asked_at + need_s + quiet_s);
    callers.stop();
    std::map<std::string, std::string> sent_to;
    for (const client_result& each : callers.results()) {
        sent_to[each.attempt] = each.instance;
    }
    std::map<std::string, double> asked;
    std::map<std::string, std::size_t> arrivals;
    for (const run_entry& entry : in_need.runs()) {
        const std::string& machine = sent_to[entry.attempt];
        const auto found = asked.find(machine);
        if (found != asked.end() && entry.arrived_s > found->second + 0.5 &&
            entry.arrived_s < found->second + quiet_s && entry.status != 421) {
            ++arrivals[machine];
        } else if (entry.status == 503 && found == asked.end()) {
            asked[machine] = entry.ended_s;
        }
    }
    std::size_t most = 0;
    for (const auto& [machine, count] : arrivals) {
        most = std::max(most, count);
    }
    char text[160];
    std::snprintf(text, sizeof text,
                  "%zu machines were asked for quiet; %zu requests came from one of them meanwhile "
                  "(allowed: %zu)",
                  asked.size(), most, allowed);
    log.line(text);
    std::puts(text);
    return asked.empty() ? could_not_run : most > allowed ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
