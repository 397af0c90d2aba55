// A new version of a fast service answers several times slower.
#include <cstdio>
#include <cstdlib>

#include "rollout.h"

namespace {

using namespace review;

const std::string service = "catalogue";
constexpr int server_count = 6;
constexpr int slots = 6;
constexpr int work_ms = 80;
constexpr int slow_factor = 8; // The largest that the page of disruptions names for a slow version.

std::string resources()
{
    // With STICKY=1 the route prefers the server that has handled the object recently.
    const bool is_sticky = std::getenv("STICKY") != nullptr;
    return route_json("lookup", "/lookup/", "safe", service, is_sticky, 2.5, 0.6) + "," +
           service_json(service) + "," + tenant_json("guild", "guild-key") + "," + limits_json();
}

int run(deployment& fleet, record& log)
{
    fleet.write_configuration(resources());
    for (const char* place : {"reykjavik-a", "akureyri-a", "egilsstadir-a"}) {
        fleet.add_instance(place);
    }
    const auto sound = [](const message&) { return server_reply{200, work_ms, true, ""}; };
    const std::vector<server*> first = start_version(fleet, service, "v1", server_count, slots, sound);
    if (!fleet.start_all(15)) {
        return could_not_run;
    }
    std::vector<const instance*> all;
    for (const auto& each : fleet.instances()) {
        all.push_back(each.get());
    }
    const double start = now_s() + 3;
    sleep_until(start);
    traffic callers(fleet, all, 8, 2.5, [](std::uint64_t number) {
        const std::string object = std::to_string(number % 40);
        return client_request{"GET", "/lookup/" + object, "guild-key", object, 4000};
    });
    sleep_until(start + 15);
    const auto slow = [](const message&) {
        return server_reply{200, is_trouble_on() ? slow_factor * work_ms : work_ms, true, ""};
    };
    const std::vector<server*> second = start_version(fleet, service, "v2", server_count, slots, slow);
    const double ordered = order_rollout(fleet, service, "v2", 16);
    const std::string state = finish_rollout(fleet, service, "v2", first, second, ordered + 17);
    sleep_until(ordered + 26);
    callers.stop();
    const exposure found =
        measure_exposure(first, second, callers.results(), ordered, ordered + 16, [](const run_entry& run) {
            return run.ended_s - run.arrived_s >= 4 * work_ms / 1000.0;
        });
    const std::string text =
        "rollout to v2: " + (state.empty() ? "not finished" : state) + "; " + found.text();
    log.line(text);
    std::puts(text.c_str());
    if (found.at_service < 200) {
        return could_not_run;
    }
    return is_trouble_on() && found.is_broken() ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
