#include "announcements.hpp"

#include <algorithm>

#include "checks.hpp"
#include "faults.hpp"

namespace soak {
namespace {

using standins::server_behavior;

constexpr auto quiet_time = 2s;
constexpr std::ptrdiff_t max_requests_in_quiet_time = 2;
// Time after which an instance sends nothing more to a server whose answer said that it leaves.
constexpr auto leaving_time = 2500ms;

server_process* pick_staying_server(run_state& run)
{
    server_process& server = run.fleet.servers.at(run.random() % run.fleet.servers.size());
    return server.leaving_since == clock::time_point{} ? &server : nullptr;
}

// The server rejects each request, and asks for quiet.
void inject_quiet(run_state& run)
{
    server_process* server = pick_staying_server(run);
    if (server == nullptr) {
        return;
    }
    ++run.faults["server asks for quiet"];
    standins::announce_quiet(*server->server, quiet_time);
    const auto set_behavior = [server](server_behavior behavior) {
        const std::lock_guard lock(server->server->guard);
        server->server->default_behavior = behavior;
    };
    set_behavior(server_behavior::shed);
    const auto now = clock::now();
    // The last requests of this time are answered after it, without the announcement.
    run.quiet.push_back({server->id, now, now + 2800ms, server->born_ms});
    schedule_after(run, 3s, [server, set_behavior] {
        set_behavior(server_behavior::serve);
        standins::set_announcements(*server->server, "");
    });
}

// The server says in its answers that it leaves; its row does not.
void inject_leaving(run_state& run)
{
    server_process* server = pick_staying_server(run);
    if (server == nullptr) {
        return;
    }
    ++run.faults["server says that it leaves"];
    server->leaving_since = clock::now();
    standins::announce_leaving(*server->server);
    run.leaving.push_back({server->id, server->leaving_since, clock::time_point::max(), server->born_ms});
    add_server(run.fleet);
}

// The store returns from a copy some seconds old; then the operator and the servers write again.
void inject_store_return(run_state& run, double copy_age)
{
    ++run.faults["store from an old copy"];
    auto copy = std::make_shared<const standins::store_copy>(standins::take_copy(*run.fleet.store));
    schedule_after(run, seconds(copy_age), [&run, copy] {
        constexpr double away_s = 1;
        const auto now = clock::now();
        run.unstable.emplace_back(now, now + 1s);
        for (const instance_process& instance : run.fleet.instances) {
            run.without_store.push_back({instance.name, now, now + 1s + stabilization_time});
        }
        standins::restore_copy(*run.fleet.store, *copy);
        schedule_after(run, seconds(away_s), [&run] {
            write_configuration(run.fleet);
            for (const server_process& server : run.fleet.servers) {
                const bool leaves = server.leaving_since != clock::time_point{};
                register_server(run.fleet, server, leaves ? "draining" : "ready");
            }
        });
    });
}

struct arrival {
    clock::time_point at;
    const request_result* request = nullptr;
    bool ran = false;
};

// The requests that arrived at the server, of callers whose instance is known.
std::vector<arrival> arrivals_at(run_state& run, const std::string& server_id)
{
    std::map<std::string, const request_result*> results;
    for (const request_result& result : run.callers.results) {
        results[result.attempt] = &result;
    }
    std::vector<arrival> arrivals;
    for (server_process& server : run.fleet.servers) {
        if (server.id != server_id) {
            continue;
        }
        for (const standins::received_request& request : standins::received_requests(*server.server)) {
            const auto found = results.find(request.attempt);
            if (found != results.end()) {
                arrivals.push_back({request.at, found->second, request.ran});
            }
        }
    }
    std::ranges::sort(arrivals, {}, &arrival::at);
    return arrivals;
}

// A server that has ended meanwhile is another one to the instances.
bool has_ended(const run_state& run, const run_state::announcement& announced)
{
    return std::ranges::none_of(run.fleet.servers, [&](const server_process& server) {
        return server.id == announced.server && server.born_ms == announced.born_ms;
    });
}

// Requests of a cut instance arrive by way of another one.
bool is_excused(const run_state& run, const std::string& instance, clock::time_point from,
                clock::time_point to)
{
    return is_at(run.disturbed, instance, from, to) || is_at(run.cuts, instance, from - 1s, to);
}

void check_quiet(run_state& run, const run_state::announcement& announced)
{
    const std::vector<arrival> arrivals = arrivals_at(run, announced.server);
    for (const arrival& rejected : arrivals) {
        const bool asked = !rejected.ran && rejected.at >= announced.from && rejected.at < announced.to;
        const std::string& instance = rejected.request->instance;
        if (!asked || is_excused(run, instance, rejected.at, rejected.at + quiet_time)) {
            continue;
        }
        const auto count = std::ranges::count_if(arrivals, [&](const arrival& later) {
            return later.request->instance == instance && later.at > rejected.at + 500ms &&
                   later.at < rejected.at + quiet_time;
        });
        if (count > max_requests_in_quiet_time) {
            report_violation(run, "quiet server",
                             announced.server + " got " + std::to_string(count) + " from " + instance);
            return;
        }
    }
}

void check_leaving(run_state& run, const run_state::announcement& announced)
{
    std::map<std::string, clock::time_point> notified; // End of the first answer that said so, by instance.
    const std::vector<arrival> arrivals = arrivals_at(run, announced.server);
    for (const arrival& answered : arrivals) {
        const bool was_passed_on = answered.at >= announced.from && answered.request->has_valid_signature;
        if (was_passed_on) {
            const auto [place, is_new] =
                notified.try_emplace(answered.request->instance, answered.request->ended);
            place->second = std::min(place->second, answered.request->ended);
        }
    }
    for (const arrival& late : arrivals) {
        const auto since = notified.find(late.request->instance);
        if (since != notified.end() && late.request->sent > since->second + leaving_time &&
            !is_excused(run, since->first, since->second, late.at)) {
            report_violation(run, "leaving server",
                             late.request->attempt + " at " + announced.server + " from " + since->first);
            return;
        }
    }
}

} // namespace

void schedule_announcements(run_state& run, double fault_seconds)
{
    const auto schedule = [&](std::function<void()> inject) {
        const bool is_played = run.random() % 3 == 0;
        const double at = std::uniform_real_distribution<double>(3, fault_seconds)(run.random);
        if (is_played) {
            schedule_after(run, seconds(at), std::move(inject));
        }
    };
    schedule([&run] { inject_quiet(run); });
    schedule([&run] { inject_leaving(run); });
    const double copy_age = std::uniform_real_distribution<double>(0.5, 4)(run.random);
    schedule([&run, copy_age] { inject_store_return(run, copy_age); });
}

void check_announcements(run_state& run)
{
    for (const run_state::announcement& announced : run.quiet) {
        if (!has_ended(run, announced)) {
            check_quiet(run, announced);
        }
    }
    for (const run_state::announcement& announced : run.leaving) {
        if (!has_ended(run, announced)) {
            check_leaving(run, announced);
        }
    }
}

} // namespace soak
