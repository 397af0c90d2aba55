// A machine stands still for four seconds while a bad version is held back, and completes its rollout as it
// wakes.
#include <csignal>
#include <cstdio>

#include "rollout.h"

namespace {

using namespace review;

const std::string service = "catalogue";
constexpr int server_count = 6;
constexpr int slots = 6;
constexpr int work_ms = 40;
constexpr double duration_s = 16;
constexpr double freeze_s = 4;         // As the site file has it.
constexpr double woken_after_s = 13.8; // Since the order.
constexpr unsigned failing_of = 10;    // One answer of so many is a failure.

std::string resources()
{
    return route_json("seal", "/seal/", "unsafe", service, true, 2.5, 0.6) + "," + service_json(service) +
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
    instance& frozen = *fleet.instances()[2];
    const std::vector<const instance*> busy = {fleet.instances()[0].get(), fleet.instances()[1].get()};
    const double start = now_s() + 3;
    sleep_until(start);
    const auto next = [](std::uint64_t number) {
        const std::string object = std::to_string(number % 24);
        return client_request{"POST", "/seal/" + object, "guild-key", object, 4000};
    };
    traffic callers(fleet, busy, 8, 7, next);
    traffic few(fleet, {&frozen}, 1, 0.5, next);
    sleep_until(start + 10);
    std::atomic<unsigned> answers{0};
    const auto failing = [&](const message&) {
        return server_reply{++answers % failing_of == 0 ? 500 : 200, work_ms, true, ""};
    };
    const std::vector<server*> second = start_version(fleet, service, "v2", server_count, slots, failing);
    const double ordered = order_rollout(fleet, service, "v2", duration_s);
    std::thread freezer([&] {
        sleep_until(ordered + woken_after_s - freeze_s);
        if (is_trouble_on()) {
            fleet.signal(frozen, SIGSTOP);
            sleep_until(ordered + woken_after_s);
            fleet.signal(frozen, SIGCONT);
        }
    });
    const std::string state = finish_rollout(fleet, service, "v2", first, second, ordered + duration_s + 1);
    freezer.join();
    sleep_until(ordered + duration_s + 14);
    callers.stop();
    few.stop();
    std::vector<client_result> sent = callers.results();
    const std::vector<client_result> sent_few = few.results();
    sent.insert(sent.end(), sent_few.begin(), sent_few.end());
    const exposure found = measure_exposure(first, second, sent, ordered, ordered + duration_s,
                                            [](const run_entry& run) { return run.status == 500; });
    const std::string text =
        "rollout to v2: " + (state.empty() ? "not finished" : state) + "; " + found.text();
    log.line(text);
    std::puts(text.c_str());
    if (found.at_service < 500) {
        return could_not_run;
    }
    return found.is_broken() ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
