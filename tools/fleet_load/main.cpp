// Load on a fleet of separate processes under series of planned work, seeded; judges requests that ended
// without an answer.
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <gflags/gflags.h>
#include <unistd.h>

#include "report.hpp"

DEFINE_string(program, "build/packages/daemon/camphorknotd", "The instances' program.");
DEFINE_string(directory, "/tmp/camphorknot-fleet-load",
              "Directory for settings and logs; kept for runs in which something broke.");
DEFINE_uint64(seed, 1, "Seed of all random choices.");
DEFINE_double(seconds, 40, "Time during which planned work and stalls begin, at least 8.");
DEFINE_uint64(instances, 8, "Number of instances, 3 to 150.");
DEFINE_uint64(callers, 40, "Number of callers, up to 1000.");
DEFINE_double(
    stalls, 0,
    "Stalls per instance and minute: SIGSTOP, and SIGCONT 50 to 600 ms later. They stand for a process "
    "that waits for its processor. Half of them fall on instances that are being stopped.");
DEFINE_bool(bounds_as_list, false, "Write `bounds` in the settings as a list instead of a map.");

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
    run.options = {FLAGS_seconds, FLAGS_stalls};
    std::filesystem::remove_all(fleet.directory);
    std::filesystem::create_directories(fleet.directory);
    fleet.store = standins::start_store(fleet.network + ".1", 0);
    fleet.services = {{"catalogue", "safe", 0.88, 4.2, 0, 30'000},
                      {"sealdesk", "unsafe", 1.16, 6.2, 2'000, 2'000},
                      {"scanvault", "upload", 1.04, 5.4, 200'000, 500}};
    write_configuration(fleet);
    // Twice as many slots as callers, and servers in each region.
    const std::size_t servers =
        std::max<std::size_t>(9, 2 * FLAGS_callers / static_cast<std::size_t>(slots_of_server));
    for (std::size_t index = 0; index < servers; ++index) {
        add_server(fleet, index % fleet.services.size(), run.random());
    }
    make_instances(fleet, FLAGS_instances);
    for (instance_process& instance : fleet.instances) {
        start_process(fleet, instance);
    }
}

bool play()
{
    boost::asio::io_context context;
    run_state run(context, FLAGS_seed);
    run.started = clock::now();
    set_up(run);
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

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage("fleet_load --seed=1 --instances=8 --callers=40 --seconds=40 [--stalls=12]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const bool is_valid = FLAGS_instances >= 3 && FLAGS_instances <= 150 && FLAGS_callers <= 1000 &&
                          FLAGS_seconds >= 8 && FLAGS_stalls >= 0;
    if (!is_valid) {
        std::fprintf(stderr, "instances must be 3 to 150, callers up to 1000, seconds at least 8\n");
        return 2;
    }
    return play() ? 0 : 1;
}
