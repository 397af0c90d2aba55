// camphorknotd: one instance of the traffic steering system.
#include <csignal>
#include <cstdio>
#include <ctime>
#include <gflags/gflags.h>
#include <sys/resource.h>

#include "camphorknot/daemon/runtime.hpp"
#include "camphorknot/edge/instance.hpp"
#include "camphorknot/kernel.hpp"

DEFINE_string(settings, "", "Path of the settings file (YAML).");
DEFINE_bool(check, false, "Check the settings file and exit.");

namespace {

using namespace camphorknot;

constexpr int exit_invalid_settings = 2;
constexpr int exit_start_failed = 3;
constexpr auto tick_period = std::chrono::milliseconds(50);

// Exceeds the sum of the maximum request duration, the time to live of look-ups and one round of quota loans.
constexpr duration graceful_stop_timeout = std::chrono::seconds(150);

void print_error(const std::string& line)
{
    std::fprintf(stderr, "%s\n", line.c_str());
}

std::optional<daemon_settings> load_settings()
{
    settings_result answer = read_settings(FLAGS_settings);
    for (const settings_error& error : answer.errors) {
        print_error(describe(error));
    }
    return std::move(answer.settings);
}

// Blocks the stop signals in all threads; the main thread receives them synchronously.
sigset_t block_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t blocked_signals{};
    sigemptyset(&blocked_signals);
    sigaddset(&blocked_signals, SIGTERM);
    sigaddset(&blocked_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &blocked_signals, nullptr);
    return blocked_signals;
}

bool wait_for_signal(const sigset_t& blocked_signals, duration limit)
{
    timespec time{};
    time.tv_nsec = limit.count();
    return sigtimedwait(&blocked_signals, nullptr, &time) > 0;
}

// Each caller and target connection needs a file descriptor.
void raise_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

// Continues to serve until nothing depends on this instance. A second signal or the timeout forces the stop.
void stop_gracefully(runtime& daemon, const sigset_t& blocked_signals)
{
    log_event(log_severity::info, "stop_began", {});
    begin_graceful_stop(daemon);
    const time_point give_up_at = boot_now() + graceful_stop_timeout;
    while (!may_stop_now(daemon)) {
        tick(daemon);
        if (wait_for_signal(blocked_signals, tick_period) || boot_now() >= give_up_at) {
            log_event(log_severity::warning, "stop_forced", {});
            break;
        }
    }
    finish_graceful_stop(daemon);
    log_event(log_severity::info, "stop_done", {});
}

int run(const daemon_settings& settings, const std::string& secret)
{
    const sigset_t blocked_signals = block_signals();
    raise_descriptor_limit();
    if (!open_log(settings.log_directory)) {
        print_error("the log directory " + settings.log_directory + " cannot be written");
        return exit_start_failed;
    }
    const auto daemon = start_runtime(settings, secret);
    if (!daemon) {
        log_event(log_severity::error, "start_failed", {{"service", daemon.reason}});
        close_log();
        return exit_start_failed;
    }
    log_event(log_severity::info, "started",
              {{"peer_address", settings.peer_address}, {"traffic_address", settings.traffic_address}});
    while (!wait_for_signal(blocked_signals, tick_period)) {
        tick(**daemon);
    }
    stop_gracefully(**daemon, blocked_signals);
    close_log();
    return 0;
}

std::optional<edge::edge_settings> load_edge_settings()
{
    auto answer = edge::read_edge_settings(FLAGS_settings);
    if (!answer) {
        print_error(FLAGS_settings + ": " + describe(answer.reason));
    }
    return std::move(answer.value);
}

sigset_t block_edge_signals()
{
    sigset_t blocked_signals = block_signals();
    sigaddset(&blocked_signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &blocked_signals, nullptr);
    return blocked_signals;
}

void reload_edge(edge::instance& running)
{
    const auto settings = load_edge_settings();
    log_event(log_severity::info, "reloaded", {{"accepted", settings ? "true" : "false"}});
    if (settings) {
        edge::reload(running, *settings);
    }
}

// Runs an instance of the edge package, which takes its configuration from the platform's store.
int run_edge(const edge::edge_settings& settings)
{
    const sigset_t blocked_signals = block_edge_signals();
    raise_descriptor_limit();
    open_log_on_stdout();
    auto running = edge::start_instance(settings);
    if (!running) {
        const edge::start_failure& failure = running.reason;
        log_event(log_severity::error, "start_failed",
                  {{"port", std::string(edge::name_of(failure.port))},
                   {"address", failure.address.ip + ":" + std::to_string(failure.address.port)},
                   {"error", failure.error.message()}});
        close_log();
        return exit_start_failed;
    }
    log_event(log_severity::info, "started",
              {{"instance", settings.identity.name}, {"front", settings.identity.front_address}});
    int signal = SIGHUP;
    while (signal == SIGHUP) {
        sigwait(&blocked_signals, &signal);
        if (signal == SIGHUP) {
            reload_edge(**running);
        }
    }
    log_event(log_severity::info, "stop_began", {{"signal", std::to_string(signal)}});
    edge::begin_stop(**running);
    edge::wait_until_stopped(**running, settings.bounds.stop_time);
    running->reset(); // Logs the requests that have no answer.
    log_event(log_severity::info, "stop_done", {});
    close_log();
    return 0;
}

int run_edge_from_settings()
{
    const auto settings = load_edge_settings();
    if (!settings) {
        return exit_invalid_settings;
    }
    return FLAGS_check ? 0 : run_edge(*settings);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetVersionString(CAMPHORKNOT_VERSION);
    gflags::SetUsageMessage("camphorknotd --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (edge::is_edge_settings(FLAGS_settings)) {
        return run_edge_from_settings();
    }
    const auto settings = load_settings();
    if (!settings) {
        return exit_invalid_settings;
    }
    const auto secret = read_secret(settings->fleet_secret_file);
    if (!secret) {
        print_error(FLAGS_settings + ": security.fleet_secret_file: seen " + settings->fleet_secret_file +
                    "; allowed: a readable file whose first line has at least 16 characters");
        return exit_invalid_settings;
    }
    return FLAGS_check ? 0 : run(*settings, *secret);
}
