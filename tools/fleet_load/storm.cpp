#include "storm.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <csignal>
#include <limits>
#include <span>
#include <sys/wait.h>

#include "standins/caller_standin.hpp"

namespace fleet_load {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

// The fleet has found itself by then.
constexpr double first_storm_s = 8;
// A machine without disturbance for this long is judged.
constexpr auto contact_time = 4s;
constexpr auto suspension = 4s;
constexpr auto request_timeout = 3s;
// Changes up to this age are asked for most.
constexpr auto recent = 10s;

double uniform_between(std::mt19937_64& random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

// Writes the configuration; the subject has, or lacks, its name from this version on.
void write_change(storm_state& storm, std::size_t index, bool present)
{
    subject_change change{present, clock::now(), {}};
    write_configuration(storm.run.fleet);
    change.acknowledged = clock::now();
    storm.subjects.at(index).changes.push_back(change);
    ++storm.changes;
}

void add_subject(storm_state& storm, subject_kind kind)
{
    fleet_state& fleet = storm.run.fleet;
    subject added;
    added.kind = kind;
    if (kind == subject_kind::route) {
        const int number = static_cast<int>(fleet.configuration_version);
        fleet.added_routes.insert(number);
        added.name = prefix_of_added(number);
    } else {
        added.name = "key-" + std::to_string(storm.next_key++);
        fleet.added_keys.insert(added.name);
    }
    storm.subjects.push_back(added);
    write_change(storm, storm.subjects.size() - 1, true);
}

void drop_subject(storm_state& storm, std::size_t index)
{
    fleet_state& fleet = storm.run.fleet;
    const subject& dropped = storm.subjects.at(index);
    fleet.added_keys.erase(dropped.name);
    std::erase_if(fleet.added_routes, [&](int number) { return prefix_of_added(number) == dropped.name; });
    write_change(storm, index, false);
}

// Returns a subject that was added some seconds ago and not dropped since; the number of subjects if there is
// none.
std::size_t find_droppable(const storm_state& storm)
{
    static constexpr auto min_age = 6s;
    const auto found = std::ranges::find_if(storm.subjects, [](const subject& each) {
        return !each.is_lasting && each.changes.size() == 1 &&
               clock::now() - each.changes.front().acknowledged > min_age;
    });
    return static_cast<std::size_t>(found - storm.subjects.begin());
}

void change_something(storm_state& storm)
{
    const std::uint64_t kind = storm.random() % 8;
    const std::size_t droppable = find_droppable(storm);
    if (kind < 2 && droppable < storm.subjects.size()) {
        drop_subject(storm, droppable);
    } else {
        add_subject(storm, kind == 2 ? subject_kind::key : subject_kind::route);
    }
}

void write_malformed(storm_state& storm)
{
    subject malformed;
    malformed.name = "/malformed-" + std::to_string(storm.subjects.size()) + "/";
    storm.subjects.push_back(malformed);
    write_malformed_configuration(storm.run.fleet, malformed.name);
    ++storm.run.events["malformed configuration"];
}

// Returns when the storm ends. A malformed version comes last, after the ones before it have been read.
double schedule_storm(storm_state& storm, double at_s)
{
    constexpr std::uint64_t max_changes = 14;
    constexpr double pause_before_malformed_s = 2;
    const std::uint64_t count = 1 + storm.random() % max_changes;
    ++storm.run.events["storm"];
    for (std::uint64_t number = 0; number < count; ++number) {
        schedule_after(storm.run, seconds(at_s), [&storm] { change_something(storm); });
        at_s += uniform_between(storm.random, 0.2, 0.5);
    }
    if (storm.random() % 4 == 0) {
        at_s += pause_before_malformed_s;
        schedule_after(storm.run, seconds(at_s), [&storm] { write_malformed(storm); });
    }
    return at_s;
}

void stop_one(storm_state& storm, std::uint64_t choice)
{
    instance_process& instance = storm.run.fleet.instances.at(choice % storm.run.fleet.instances.size());
    const process_life* life = running_life(instance);
    if (life != nullptr && life->stop_sent == clock::time_point{} && !instance.is_stalled) {
        ++storm.run.events["stop"];
        signal_process(instance, SIGTERM);
    }
}

void suspend_fast_machine(storm_state& storm, std::uint64_t choice)
{
    std::vector<instance_process*> fast;
    for (instance_process& instance : storm.run.fleet.instances) {
        const process_life* life = running_life(instance);
        const bool is_free =
            life != nullptr && life->stop_sent == clock::time_point{} && !instance.is_stalled;
        if (instance.is_fast && is_free) {
            fast.push_back(&instance);
        }
    }
    if (fast.empty()) {
        return;
    }
    instance_process& instance = *fast.at(choice % fast.size());
    ++storm.run.events["suspension"];
    instance.is_stalled = true;
    instance.stalls.push_back({clock::now(), clock::now() + suspension});
    const pid_t pid = instance.lives.back().pid;
    hold_process(storm.limiter, pid, true);
    schedule_after(storm.run, suspension, [&storm, &instance, pid] {
        hold_process(storm.limiter, pid, false);
        instance.is_stalled = false;
    });
}

void schedule_at_rate(storm_state& storm, double per_minute, void (*action)(storm_state&, std::uint64_t))
{
    constexpr double seconds_per_minute = 60;
    if (per_minute <= 0) {
        return;
    }
    std::exponential_distribution<double> interval(per_minute / seconds_per_minute);
    for (double at_s = first_storm_s; at_s < storm.options.seconds; at_s += interval(storm.random)) {
        const std::uint64_t choice = storm.random();
        schedule_after(storm.run, seconds(at_s), [&storm, action, choice] { action(storm, choice); });
    }
}

// Hands the running process to the limiter, which also holds those that are suspended.
void limit_processor(storm_state& storm, const instance_process& instance)
{
    const double share = storm.options.limits_processors
                             ? profile_of(storm.run.fleet, instance).processor_share
                             : std::numeric_limits<double>::infinity();
    add_process(storm.limiter, instance.lives.back().pid, share);
}

// Reaps and restarts processes, and hands new ones to the limiter.
void watch(storm_state& storm)
{
    constexpr auto check_interval = 20ms;
    for (instance_process& instance : storm.run.fleet.instances) {
        process_life* life = running_life(instance);
        if (life == nullptr) {
            continue;
        }
        const double used_s = processor_time_s(life->pid);
        siginfo_t state{};
        const bool has_ended =
            waitid(P_PID, static_cast<id_t>(life->pid), &state, WEXITED | WNOHANG | WNOWAIT) == 0 &&
            state.si_pid == life->pid;
        if (has_ended) {
            remove_process(storm.limiter, life->pid);
            storm.processor_time_s += used_s;
            reap(instance);
            if (storm.run.running) {
                start_process(storm.run.fleet, instance);
                limit_processor(storm, instance);
            }
        }
    }
    const auto due = clock::now() + check_interval;
    schedule_after(storm.run, check_interval, [&storm, due] {
        constexpr auto max_delay = 50ms;
        if (clock::now() - due > max_delay) {
            storm.run.observer_delays.push_back({due, clock::now()});
        }
        watch(storm);
    });
}

bool overlaps(const observation& seen, clock::time_point from, clock::time_point to)
{
    return seen.sent < to + contact_time && seen.ended > from;
}

bool is_disturbed(const instance_process& instance, const observation& seen)
{
    const bool is_life_new = std::ranges::any_of(instance.lives, [&](const process_life& life) {
        const bool is_stopped = life.stop_sent != clock::time_point{} && life.stop_sent < seen.ended;
        const bool has_ended = life.ended != clock::time_point{} && overlaps(seen, life.ended, life.ended);
        return has_ended || overlaps(seen, life.started, life.started) ||
               (is_stopped && life.ended == clock::time_point{});
    });
    return is_life_new || std::ranges::any_of(instance.stalls, [&](const stall& each) {
               return overlaps(seen, each.from, each.to);
           });
}

std::size_t choose_subject(storm_state& storm)
{
    std::vector<std::size_t> recently_changed;
    for (std::size_t index = 0; index < storm.subjects.size(); ++index) {
        const subject& each = storm.subjects.at(index);
        const bool is_recent = !each.is_lasting && !each.changes.empty() &&
                               clock::now() - each.changes.back().acknowledged < recent;
        if (is_recent) {
            recently_changed.push_back(index);
        }
    }
    if (recently_changed.empty() || storm.random() % 4 == 0) {
        return storm.random() % 2 == 0 ? 0 : storm.random() % storm.subjects.size();
    }
    return recently_changed.at(storm.random() % recently_changed.size());
}

asio::awaitable<void> ask_once(storm_state& storm)
{
    fleet_state& fleet = storm.run.fleet;
    observation seen;
    seen.subject = choose_subject(storm);
    seen.instance = storm.random() % fleet.instances.size();
    const subject about = storm.subjects.at(seen.subject);
    const instance_process& instance = fleet.instances.at(seen.instance);
    seen.life = instance.lives.size();
    const std::string attempt = "p" + std::to_string(storm.random());
    const bool is_route = about.kind == subject_kind::route;
    const auto request = standins::make_caller_request(
        {attempt, caller_host, (is_route ? about.name : "/" + fleet.services.front().name + "/") + "o",
         is_route ? caller_key : about.name, "", "", request_timeout});
    beast::tcp_stream stream(fleet.context);
    beast::flat_buffer buffer;
    standins::caller_response response;
    boost::system::error_code error;
    stream.expires_after(request_timeout);
    const tcp::endpoint front(asio::ip::make_address(instance.ip), front_port);
    co_await stream.async_connect(front, asio::redirect_error(asio::use_awaitable, error));
    seen.sent = clock::now();
    if (!error) {
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
        co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    }
    seen.ended = clock::now();
    seen.status = error ? 0 : response.result_int();
    seen.is_signed = !error && standins::is_signed_answer(response, attempt);
    seen.is_disturbed = seen.life != instance.lives.size() || is_disturbed(instance, seen);
    storm.observations.push_back(seen);
}

asio::awaitable<void> run_asker(storm_state& storm, std::uint64_t delay_ms)
{
    asio::steady_timer timer(storm.run.fleet.context);
    boost::system::error_code ignored; // A cancelled wait only ends earlier.
    timer.expires_after(std::chrono::milliseconds(delay_ms));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    while (storm.asks) {
        co_await ask_once(storm);
        timer.expires_after(std::chrono::milliseconds(5 + storm.random() % 30));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

double running_processor_time_s(const storm_state& storm)
{
    double total_s = storm.processor_time_s;
    for (const instance_process& instance : storm.run.fleet.instances) {
        if (!instance.lives.empty() && instance.lives.back().ended == clock::time_point{}) {
            total_s += processor_time_s(instance.lives.back().pid);
        }
    }
    return total_s;
}

std::uint64_t peer_bytes(const storm_state& storm)
{
    std::uint64_t total = 0;
    for (const auto& relay : storm.relays) {
        total += relay->inward.bytes + relay->outward.bytes;
    }
    return total;
}

// Measures how late the thread of the relays runs.
asio::awaitable<void> watch_relays(storm_state& storm)
{
    asio::steady_timer timer(storm.relay_context);
    while (true) {
        constexpr auto check_interval = 20ms;
        boost::system::error_code ignored; // A cancelled wait only ends earlier.
        timer.expires_after(check_interval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        storm.longest_relay_delay =
            std::max(storm.longest_relay_delay, seconds(clock::now() - timer.expiry()));
    }
}

void print_figures(const storm_state& storm, std::span<const double> ages)
{
    std::map<unsigned, int> statuses;
    for (const observation& seen : storm.observations) {
        ++statuses[seen.status];
    }
    std::printf("%zu requests:", storm.observations.size());
    for (const auto& [status, count] : statuses) {
        std::printf(" %u %d,", status, count);
    }
    std::printf("\n%d changes;", storm.changes);
    for (const auto& [name, count] : storm.run.events) {
        std::printf(" %s %d,", name.c_str(), count);
    }
    const auto at_share = [&](double share) {
        return ages.empty() ? 0.0
                            : ages[static_cast<std::size_t>(share * static_cast<double>(ages.size() - 1))];
    };
    std::printf(
        "\nolder answers %zu, asked after the acknowledgement by: half %.2f s, 99%% %.2f s, all %.2f s\n",
        ages.size(), at_share(0.5), at_share(0.99), at_share(1));
    const auto instances = static_cast<double>(storm.run.fleet.instances.size());
    const auto changes = static_cast<double>(std::max(storm.changes, 1));
    std::printf(
        "from the first storm on: processor time %.2f s an instance (%.1f ms a change), between instances "
        "%.1f MB\n",
        storm.processor_time_s / instances, 1000 * storm.processor_time_s / instances / changes,
        static_cast<double>(peer_bytes(storm) - storm.warm_peer_bytes) / 1e6);
    double longest_delay_s = 0;
    for (const stall& delay : storm.run.observer_delays) {
        longest_delay_s = std::max(longest_delay_s, seconds(delay.to - delay.from).count());
    }
    std::printf("this program ran late %zu times, at most %.3f s; its relays at most %.3f s\n",
                storm.run.observer_delays.size(), longest_delay_s, storm.longest_relay_delay.count());
}

void print_findings(const storm_state& storm, std::span<const configuration_finding> findings)
{
    std::map<std::string, std::pair<int, double>> faults;
    for (const configuration_finding& found : findings) {
        auto& [count, worst_s] = faults[std::string(name_of(found.fault))];
        ++count;
        worst_s = std::max(worst_s, found.age_s);
    }
    for (const auto& [name, figures] : faults) {
        std::printf("broken: %s %d, worst %.2f s\n", name.c_str(), figures.first, figures.second);
    }
    constexpr std::size_t max_printed = 20;
    for (std::size_t index = 0; index < std::min(findings.size(), max_printed); ++index) {
        const configuration_finding& found = findings[index];
        if (found.seen != nullptr) {
            std::printf(
                "  %s %s %s at %.2f s, age %.2f s, status %u\n", std::string(name_of(found.fault)).c_str(),
                storm.run.fleet.instances.at(found.seen->instance).name.c_str(),
                storm.subjects.at(found.seen->subject).name.c_str(),
                seconds(found.seen->sent - storm.run.started).count(), found.age_s, found.seen->status);
        }
    }
}

} // namespace

void set_up_storms(storm_state& storm)
{
    fleet_state& fleet = storm.run.fleet;
    subject lasting;
    lasting.name = "/" + fleet.services.front().name + "/";
    lasting.is_lasting = true;
    lasting.changes = {{true, {}, {}}};
    storm.subjects.push_back(lasting);
    if (!fleet.shape.limits_links) {
        return;
    }
    for (const instance_process& instance : fleet.instances) {
        const auto ip = asio::ip::make_address(instance.ip);
        storm.relays.push_back(std::make_unique<link_relay>(
            storm.relay_context, tcp::endpoint(ip, peers_port), tcp::endpoint(ip, relayed_peers_port),
            profile_of(fleet, instance).link_mbps));
        start(*storm.relays.back());
    }
    asio::co_spawn(storm.relay_context, watch_relays(storm), asio::detached);
    storm.relay_thread = std::thread([&storm] { storm.relay_context.run(); });
}

void schedule_storms(storm_state& storm)
{
    for (const instance_process& instance : storm.run.fleet.instances) {
        limit_processor(storm, instance);
    }
    start(storm.limiter);
    watch(storm);
    schedule_after(storm.run, seconds(first_storm_s), [&storm] {
        storm.warm_processor_time_s = running_processor_time_s(storm);
        storm.warm_peer_bytes = peer_bytes(storm);
    });
    for (double at_s = first_storm_s; at_s < storm.options.seconds;) {
        at_s = schedule_storm(storm, at_s) + uniform_between(storm.random, 2.5, 5);
    }
    schedule_at_rate(storm, storm.options.stops_per_minute, stop_one);
    schedule_at_rate(storm, storm.options.stalls_per_minute, suspend_fast_machine);
    for (std::size_t number = 0; number < storm.options.callers; ++number) {
        const auto delay_ms = static_cast<std::uint64_t>(first_storm_s * 1000) + storm.random() % 200;
        asio::co_spawn(storm.run.fleet.context, run_asker(storm, delay_ms), asio::detached);
    }
}

void end_storms(storm_state& storm)
{
    storm.processor_time_s = running_processor_time_s(storm) - storm.warm_processor_time_s;
    stop(storm.limiter);
    storm.relay_context.stop();
    if (storm.relay_thread.joinable()) {
        storm.relay_thread.join();
    }
}

bool print_storm_report(const storm_state& storm)
{
    const configuration_bounds bounds{seconds(config_apply).count(), 0.25};
    const auto findings = judge_observations(storm.subjects, storm.observations, bounds);
    const auto ages = ages_of_older_answers(storm.subjects, storm.observations);
    print_figures(storm, ages);
    print_findings(storm, findings);
    return findings.empty();
}

} // namespace fleet_load
