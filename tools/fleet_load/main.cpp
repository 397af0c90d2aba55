// Load on a fleet of separate processes under series of planned work, seeded; judges requests that ended
// without an answer.
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <gflags/gflags.h>
#include <sys/resource.h>
#include <unistd.h>

#include "report.hpp"
#include "storm.hpp"

DEFINE_string(program, "build/packages/daemon/camphorknotd", "The instances' program.");
DEFINE_string(directory, "/tmp/camphorknot-fleet-load",
              "Directory for settings and logs; kept for runs in which something broke.");
DEFINE_uint64(seed, 1, "Seed of all random choices.");
DEFINE_double(seconds, 40, "Time during which planned work and stalls begin, at least 8.");
DEFINE_uint64(instances, 8, "Number of instances, 3 to 240.");
DEFINE_uint64(callers, 40, "Number of callers, up to 1000.");
DEFINE_double(
    stalls, 0,
    "Stalls per instance and minute: SIGSTOP, and SIGCONT 50 to 600 ms later. They stand for a process "
    "that waits for its processor. Half of them fall on instances that are being stopped.");
DEFINE_bool(bounds_as_list, false, "Write `bounds` in the settings as a list instead of a map.");
DEFINE_bool(storms, false,
            "Play storms of configuration changes, and judge by which configuration callers are answered, in "
            "place of planned work and requests without an answer.");
DEFINE_uint64(domains, 1, "Failure domains of a region, 1 to 26.");
DEFINE_uint64(fast_machines, 0, "Machines of a failure domain with 200 Mbit/s and half of a core.");
DEFINE_uint64(bulk_routes, 0, "Further routes of the configuration; 1,900 make it 420 kB.");
DEFINE_bool(links, false, "Limit the links between instances to 20 Mbit/s, or 200 of a fast machine.");
DEFINE_bool(shares, false, "Limit each process to a tenth of a core in 100 ms, or half of a fast machine's.");
DEFINE_double(stops, 0, "With --storms: SIGTERM to random instances, per minute.");
DEFINE_double(suspensions, 0, "With --storms: fast machines suspended for 4 s, per minute.");

namespace {

using namespace fleet_load;
using namespace std::chrono_literals;

void set_up(run_state& run)
{
    fleet_state& fleet = run.fleet;
    // The addresses depend on the process id, so that several runs can execute at the same time.
    const auto process = static_cast<std::uint64_t>(getpid());
    fleet.network = "127." + std::to_string(10 + process % 200) + "." + std::to_string(process / 200 % 250);
    fleet.directory = FLAGS_directory + "/" + std::to_string(FLAGS_seed) + "-" + std::to_string(process);
    fleet.program = FLAGS_program;
    fleet.bounds_as_list = FLAGS_bounds_as_list;
    fleet.shape.domains_per_region = FLAGS_domains;
    fleet.shape.fast_machines_per_domain = FLAGS_fast_machines;
    fleet.shape.bulk_routes = FLAGS_bulk_routes;
    fleet.shape.limits_links = FLAGS_links;
    run.options = {FLAGS_seconds, FLAGS_stalls};
    std::filesystem::remove_all(fleet.directory);
    std::filesystem::create_directories(fleet.directory);
    fleet.store = standins::start_store(fleet.network + ".1", 0);
    if (FLAGS_storms) {
        // Answered at once, so that the answer shows the configuration of that moment.
        fleet.services = {{"catalogue", "safe", 0.005, 4.2, 0, 200}};
    } else {
        fleet.services = {{"catalogue", "safe", 0.88, 4.2, 0, 30'000},
                          {"sealdesk", "unsafe", 1.16, 6.2, 2'000, 2'000},
                          {"scanvault", "upload", 1.04, 5.4, 200'000, 500}};
    }
    write_configuration(fleet);
    // Twice as many slots as callers, and servers in each region.
    const std::size_t servers =
        std::max<std::size_t>(9, 2 * FLAGS_callers / static_cast<std::size_t>(slots_of_server));
    for (std::size_t index = 0; index < servers; ++index) {
        add_server(fleet, index % fleet.services.size(), run.random());
    }
    make_instances(fleet, FLAGS_instances);
}

void start_processes(fleet_state& fleet)
{
    for (instance_process& instance : fleet.instances) {
        start_process(fleet, instance);
    }
}

bool play_storms()
{
    boost::asio::io_context context;
    run_state run(context, FLAGS_seed);
    storm_state storm(run);
    storm.options = {FLAGS_callers, FLAGS_seconds, FLAGS_stops, FLAGS_suspensions, FLAGS_shares};
    run.started = clock::now();
    set_up(run);
    set_up_storms(storm);
    start_processes(run.fleet);
    schedule_storms(storm);
    // The last storm has ended by then, and its versions are due.
    const seconds end_time = seconds(FLAGS_seconds) + 15s;
    schedule_after(run, end_time, [&storm] { storm.asks = false; });
    schedule_after(run, end_time + 4s, [&run, &context] {
        run.running = false;
        context.stop();
    });
    context.run();
    end_storms(storm);
    end_processes(run.fleet);
    std::printf("seed %llu, %llu instances, %llu domains a region, %llu bulk routes, links %s, shares %s\n",
                static_cast<unsigned long long>(FLAGS_seed), static_cast<unsigned long long>(FLAGS_instances),
                static_cast<unsigned long long>(FLAGS_domains),
                static_cast<unsigned long long>(FLAGS_bulk_routes), FLAGS_links ? "limited" : "free",
                FLAGS_shares ? "limited" : "free");
    const bool passed = print_storm_report(storm);
    if (passed) {
        std::filesystem::remove_all(run.fleet.directory);
    } else {
        std::printf("logs: %s\n", run.fleet.directory.c_str());
    }
    return passed;
}

bool play()
{
    boost::asio::io_context context;
    run_state run(context, FLAGS_seed);
    run.started = clock::now();
    set_up(run);
    start_processes(run.fleet);
    watch_processes(run);
    schedule_planned_work(run);
    const auto callers_seed = run.random();
    schedule_after(run, 2s, [&run, callers_seed] {
        start_callers(run.fleet, run.callers, FLAGS_callers, callers_seed);
    });
    // Stops that began at the end are still under load, and the last requests reach their deadlines.
    const seconds load_time = seconds(FLAGS_seconds) + grace + 2s;
    schedule_after(run, load_time, [&run] { run.callers.running = false; });
    schedule_after(run, load_time + 7s, [&run, &context] {
        run.running = false;
        context.stop();
    });
    context.run();
    // Only what ended before this moment was seen by the callers.
    end_processes(run.fleet);
    std::printf("seed %llu, %llu instances, %llu callers, %.0f s, %.1f stalls a minute, bounds as a %s\n",
                static_cast<unsigned long long>(FLAGS_seed), static_cast<unsigned long long>(FLAGS_instances),
                static_cast<unsigned long long>(FLAGS_callers), FLAGS_seconds, FLAGS_stalls,
                FLAGS_bounds_as_list ? "list" : "map");
    const bool passed = print_report(run);
    if (passed) {
        std::filesystem::remove_all(run.fleet.directory);
    } else {
        std::printf("logs: %s\n", run.fleet.directory.c_str());
    }
    return passed;
}

// Each link between instances takes two sockets of its relay.
bool has_descriptors_for_relays()
{
    constexpr std::uint64_t other_descriptors = 2000;
    rlimit limit{};
    const std::uint64_t domains = FLAGS_domains * regions.size();
    const std::uint64_t links = FLAGS_instances * (FLAGS_instances / domains + domains);
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 && 2 * links + other_descriptors <= limit.rlim_cur;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage("fleet_load --seed=1 --instances=8 --callers=40 --seconds=40 [--stalls=12]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const bool is_valid = FLAGS_instances >= 3 && FLAGS_instances <= max_instances && FLAGS_callers <= 1000 &&
                          FLAGS_seconds >= 8 && FLAGS_stalls >= 0 && FLAGS_domains >= 1 &&
                          FLAGS_domains <= 26 && (FLAGS_storms || !FLAGS_links);
    if (!is_valid) {
        std::fprintf(stderr,
                     "instances must be 3 to 240, callers up to 1000, seconds at least 8, domains 1 to "
                     "26; --links goes with --storms\n");
        return 2;
    }
    if (FLAGS_links && !has_descriptors_for_relays()) {
        std::fprintf(stderr, "too many links for this process's descriptors; use more domains\n");
        return 2;
    }
    const bool passed = FLAGS_storms ? play_storms() : play();
    return passed ? 0 : 1;
}
