// A zone is evacuated, taken back, and evacuated again; before the second order the store returns from an old
// copy.
#include <cstdio>

#include "harness.h"

namespace {

using namespace review;

constexpr double evacuation_s = 5;
constexpr double max_stretch_s = 5; // Granted in full, although the rule grants it only for an unstable core.
const std::string zone = "reykjavik-a";
const std::string order_key = "evacuate/" + zone;

std::string resources()
{
    return route_json("lookup", "/lookup/", "safe", "catalogue", false, 2.5, 0.6) + "," +
           service_json("catalogue") + "," + tenant_json("guild", "guild-key") + "," + limits_json();
}

void order(deployment& fleet, bool evacuate)
{
    if (evacuate) {
        standins::put_row(fleet.store(), "op", order_key, "{\"zone\":\"" + zone + "\"}");
    } else {
        standins::drop_row(fleet.store(), "op", order_key);
    }
    fleet.log().line(std::string("operator: evacuation of ") + zone +
                     (evacuate ? " ordered" : " taken back"));
}

std::size_t arrivals_in_zone(deployment& fleet, double from_s, double to_s)
{
    std::size_t count = 0;
    for (const auto& each : fleet.servers()) {
        if (each->about().zone == zone) {
            for (const run_entry& run : each->runs()) {
                count += run.arrived_s > from_s && run.arrived_s <= to_s && run.status != 421 ? 1 : 0;
            }
        }
    }
    return count;
}

int run(deployment& fleet, record& log)
{
    fleet.write_configuration(resources());
    int number = 0;
    for (const char* place : {"reykjavik-a", "akureyri-a", "egilsstadir-a"}) {
        for (int copy = 0; copy < 2; ++copy) {
            fleet.add_server({"i-" + std::to_string(++number), "catalogue", place, "v1", 4},
                             [](const message&) {
                                 return server_reply{200, 40, true, ""};
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
    const double start = now_s() + 4; // The instances have found each other by then.
    sleep_until(start);
    traffic callers(fleet, all, 3, 5, [](std::uint64_t number) {
        return client_request{"GET", "/lookup/" + std::to_string(number % 40), "guild-key", "", 4000};
    });
    sleep_until(start + 3);
    order(fleet, true);
    sleep_until(start + 13);
    const std::size_t in_first = arrivals_in_zone(fleet, start + 3 + evacuation_s, start + 13);
    order(fleet, false);
    sleep_until(start + 18);
    if (is_trouble_on()) {
        const standins::store_copy copy = standins::take_copy(fleet.store());
        sleep_until(start + 21);
        log.line("store: away");
        fleet.store().fault = standins::store_fault::busy;
        sleep_until(start + 22.5);
        standins::restore_copy(fleet.store(), copy);
        log.line("store: returns from a copy that is 4.5 s old");
        // The operator and the servers write again what they wrote; the operator's calls have waited for the
        // store.
        fleet.write_configuration(resources());
        order(fleet, true);
        for (const auto& each : fleet.servers()) {
            each->write_entry();
        }
        fleet.store().fault = standins::store_fault::none;
    } else {
        sleep_until(start + 22.5);
        order(fleet, true);
    }
    const double ordered = now_s();
    sleep_until(ordered + 30);
    callers.stop();
    const double bound = ordered + evacuation_s + max_stretch_s;
    const std::size_t late = arrivals_in_zone(fleet, bound, now_s());
    std::size_t served = 0;
    for (const client_result& each : callers.results()) {
        served += each.status == 200 && each.sent_s > bound ? 1 : 0;
    }
    char text[200];
    std::snprintf(
        text, sizeof text,
        "first evacuation: %zu requests reached the zone later than %.0f s after the order; second: %zu "
        "later than %.0f s after it, of %zu served",
        in_first, evacuation_s, late, evacuation_s + max_stretch_s, served);
    log.line(text);
    std::puts(text);
    if (served < 50 || in_first > 0) {
        return could_not_run; // The deployment did not work before the disruption, or without it.
    }
    return late > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
