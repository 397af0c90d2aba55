// A request ends each server that runs it and comes again, in a zone whose callers send the service nothing
// else.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "harness.h"

namespace {

using namespace review;

constexpr double contact_s = 3;
constexpr std::size_t allowed_retries = 3;
constexpr double repeat_s = 3; // The pause between the client's tries.
const std::string fatal_path = "/scan/17";

std::string resources()
{
    return route_json("scan", "/scan/", "safe", "scanvault", true, 2.5, 0.8) + "," +
           route_json("intake", "/intake/", "unsafe", "scanvault", true, 2.5, 0.8) + "," +
           service_json("scanvault") + "," +
           route_json("lookup", "/lookup/", "safe", "catalogue", true, 2.5, 0.6) + "," +
           service_json("catalogue") + "," + tenant_json("guild", "guild-key") + "," + limits_json();
}

int run(deployment& fleet, record& log)
{
    fleet.write_configuration(resources());
    int number = 0;
    const auto decide = [](const message& request) {
        server_reply reply{200, 200, true, ""};
        reply.crashes = is_trouble_on() && request.path() == fatal_path;
        return reply;
    };
    std::vector<server*> scanvault;
    for (const char* place : {"reykjavik-a", "akureyri-a", "egilsstadir-a"}) {
        // The third zone has no servers of the service; requests from there go to those of the others.
        for (int copy = 0; copy < 2 && scanvault.size() < 4; ++copy) {
            scanvault.push_back(
                &fleet.add_server({"i-" + std::to_string(++number), "scanvault", place, "v1", 3}, decide));
        }
        fleet.add_server({"i-" + std::to_string(++number), "catalogue", place, "v1", 4}, decide);
        fleet.add_instance(place);
    }
    if (!fleet.start_all(15)) {
        return could_not_run;
    }
    const std::vector<const instance*> all = {fleet.instances()[0].get(), fleet.instances()[1].get(),
                                              fleet.instances()[2].get()};
    const double start = now_s() + 4;
    sleep_until(start);
    // Callers of the first two zones use both services all the time, those of the third one the other
    // service.
    traffic lookups(fleet, all, 2, 5, [](std::uint64_t index) {
        return client_request{"GET", "/lookup/" + std::to_string(index % 24), "guild-key",
                              std::to_string(index % 24), 4000};
    });
    std::vector<const instance*> scanning(all.begin(),
                                          all.begin() + (std::getenv("WITH_TRAFFIC") != nullptr ? 3 : 2));
    traffic scans(fleet, scanning, 4, 3, [](std::uint64_t index) {
        const std::string object = std::to_string(100 + index % 24);
        return index % 2 == 0 ? client_request{"GET", "/scan/" + object, "guild-key", object, 4000}
                              : client_request{"POST", "/intake/" + object, "guild-key", object, 4000};
    });
    sleep_until(start + 5);
    std::vector<client_result> tries;
    client sender(log, *all[2]);
    while (now_s() < start + 60) {
        tries.push_back(sender.send({"GET", fatal_path, "guild-key", "17", 4000}));
        sleep_s(repeat_s);
    }
    lookups.stop();
    scans.stop();

    std::vector<double> crashes;
    for (server* each : scanvault) {
        const std::vector<double> own = each->crashes();
        crashes.insert(crashes.end(), own.begin(), own.end());
    }
    std::ranges::sort(crashes);
    std::size_t late = 0;
    std::size_t arrivals = 0;
    for (server* each : scanvault) {
        for (const run_entry& entry : each->runs()) {
            const bool is_fatal = std::ranges::any_of(
                tries, [&](const client_result& sent) { return sent.attempt == entry.attempt; });
            arrivals += is_fatal ? 1 : 0;
            late += is_fatal && crashes.size() >= 3 && entry.arrived_s > crashes[2] + contact_s ? 1 : 0;
        }
    }
    std::size_t lost = 0;
    const std::vector<client_result> others = scans.results();
    for (const client_result& each : others) {
        lost += each.status != 200 ? 1 : 0;
    }
    char text[240];
    std::snprintf(
        text, sizeof text,
        "%zu tries, %zu arrivals, %zu servers ended; %zu arrivals later than %.0f s after the third end "
        "(allowed: %zu); of %zu other requests for the service %zu were not served",
        tries.size(), arrivals, crashes.size(), late, contact_s, allowed_retries, others.size(), lost);
    log.line(text);
    std::puts(text);
    if (others.size() < 100 || arrivals == 0) {
        return could_not_run;
    }
    return late > allowed_retries ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
