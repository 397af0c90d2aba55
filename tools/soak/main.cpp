// Randomized soak test: runs instances as separate processes under injected faults and checks the results
// that callers and servers recorded.
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <gflags/gflags.h>
#include <unistd.h>

#include "announcements.hpp"
#include "checks.hpp"
#include "faults.hpp"

DEFINE_string(program, "build/packages/daemon/camphorknotd", "The instances' program.");
DEFINE_string(old_program, "",
              "Program of an earlier build. The instances start with it and are replaced by --program one "
              "after another.");
DEFINE_string(directory, "/tmp/camphorknot-soak",
              "Directory for settings and logs; kept for seeds that fail.");
DEFINE_uint64(first_seed, 1, "First seed.");
DEFINE_uint64(seeds, 1, "Number of seeds, one after another.");
DEFINE_uint64(instances, 6, "Instances of a run, 2 to 100.");
DEFINE_double(seconds, 14, "Time during which faults are injected in a run.");
DEFINE_string(known_red, "", "A rule of KNOWN-RED.txt; its violations are printed and don't fail the run.");

namespace {

using namespace soak;

constexpr std::size_t caller_count = 24;
constexpr std::size_t server_count = 6;

bool run_seed(std::uint64_t seed)
{
    boost::asio::io_context context;
    run_state run(context, seed);
    // The addresses depend on the process id, so that several runs can execute at the same time.
    const auto process = static_cast<std::uint64_t>(getpid());
    run.fleet.network =
        "127." + std::to_string(10 + process % 200) + "." + std::to_string(process / 200 % 250);
    run.fleet.directory = FLAGS_directory + "/" + std::to_string(seed) + "-" + std::to_string(process);
    run.fleet.program = FLAGS_program;
    run.fleet.old_program = FLAGS_old_program;
    run.known_red = FLAGS_known_red;
    std::filesystem::remove_all(run.fleet.directory);
    std::filesystem::create_directories(run.fleet.directory);
    run.fleet.store = standins::start_store(run.fleet.network + ".1", 0);
    // Scheduled faults hold references to servers: the vector must not reallocate.
    run.fleet.servers.reserve(200);
    write_configuration(run.fleet);
    for (std::size_t index = 0; index < server_count; ++index) {
        add_server(run.fleet);
    }
    make_instances(run.fleet, FLAGS_instances);
    for (instance_process& instance : run.fleet.instances) {
        start_process(instance);
    }
    const auto start_time = clock::now();
    schedule_faults(run, FLAGS_seconds);
    schedule_announcements(run, FLAGS_seconds);
    schedule_after(run, 1.5s, [&run] { start_callers(run.fleet, run.callers, caller_count, run.random); });
    const seconds total_time = seconds(FLAGS_seconds) + 5s + recovery_time + 3s;
    schedule_after(run, total_time, [&run] { run.callers.running = false; });
    schedule_after(run, total_time + 4s, [&context] { context.stop(); });
    context.run();
    end_processes(run.fleet);
    for (const server_process& server : run.fleet.servers) {
        run.faults["answer repeated"] += server.server->repeated_answers;
    }
    check_run(run, start_time + std::chrono::duration_cast<clock::duration>(seconds(FLAGS_seconds) + 5s));
    std::printf("seed %llu: %zu requests, %zu broken; faults:", static_cast<unsigned long long>(seed),
                run.callers.results.size(), run.violations.size());
    for (const auto& [name, count] : run.faults) {
        std::printf(" %s %d,", name.c_str(), count);
    }
    std::printf("\n");
    for (std::size_t index = 0; index < std::min<std::size_t>(run.violations.size(), 10); ++index) {
        std::printf("  %s\n", run.violations.at(index).c_str());
    }
    std::fflush(stdout);
    if (run.violations.empty()) {
        std::filesystem::remove_all(run.fleet.directory);
    }
    return run.violations.empty();
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage("soak --first_seed=1 --seeds=50");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_instances < 2 || FLAGS_instances > 100 || FLAGS_seconds < 4) {
        std::fprintf(stderr, "instances must be 2 to 100, seconds at least 4\n");
        return 2;
    }
    std::uint64_t failed = 0;
    for (std::uint64_t index = 0; index < FLAGS_seeds; ++index) {
        failed += run_seed(FLAGS_first_seed + index) ? 0 : 1;
    }
    std::printf("%llu seeds, %llu failed\n", static_cast<unsigned long long>(FLAGS_seeds),
                static_cast<unsigned long long>(failed));
    return failed == 0 ? 0 : 1;
}
