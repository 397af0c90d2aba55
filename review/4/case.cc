// The operator goes back to a version that the service ran before, and that version has become bad.
#include <cstdio>
#include <cstdlib>

#include "rollout.h"

namespace {

using namespace review;

const std::string service = "catalogue";
constexpr int server_count = 6;
constexpr int slots = 4;
constexpr int work_ms = 30;

std::string resources()
{
    return route_json("lookup", "/lookup/", "safe", service, true, 2.5, 0.6) + "," +
           route_json("seal", "/seal/", "unsafe", service, true, 2.5, 0.6) + "," + service_json(service) +
           "," + tenant_json("guild", "guild-key") + "," + limits_json();
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
    traffic callers(fleet, all, 6, 8, [](std::uint64_t number) {
        const std::string object = std::to_string(number % 24);
        return number % 3 == 0 ? client_request{"POST", "/seal/" + object, "guild-key", object, 4000}
                               : client_request{"GET", "/lookup/" + object, "guild-key", object, 4000};
    });
    sleep_until(start + 28);

    const std::vector<server*> second = start_version(fleet, service, "v2", server_count, slots, sound);
    const double second_ordered = order_rollout(fleet, service, "v2", 14);
    const std::string second_state = finish_rollout(fleet, service, "v2", first, second, second_ordered + 15);
    if (second_state != "completed") {
        return could_not_run;
    }
    sleep_until(second_ordered + 18);

    // Half of the answers are failures.
    std::atomic<unsigned> answers{0};
    const auto failing = [&](const message&) {
        const bool fails = is_trouble_on() && answers++ % 2 == 0;
        return server_reply{fails ? 500 : 200, work_ms, true, ""};
    };
    // With NEW_NAME=1 the same servers carry a version that never ran before.
    const std::string version = std::getenv("NEW_NAME") != nullptr ? "v3" : "v1";
    const std::vector<server*> third = start_version(fleet, service, version, server_count, slots, failing);
    const double ordered = order_rollout(fleet, service, version, 16);
    const std::string state = finish_rollout(fleet, service, version, second, third, ordered + 17);
    sleep_until(ordered + 26);
    callers.stop();
    const exposure found = measure_exposure(second, third, callers.results(), ordered, ordered + 16,
                                            [](const run_entry& run) { return run.status == 500; });
    const std::string text = "third rollout, to " + version + ": " +
                             (state.empty() ? "not finished" : state) + "; " + found.text();
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
