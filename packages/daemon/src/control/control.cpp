#include "camphorknot/daemon/control.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_set>

#include "camphorknot/kernel.hpp"

namespace camphorknot {
namespace {

constexpr auto tick_period = std::chrono::milliseconds(20);

// Reading the status iterates over all members, so it happens less often than the node's tick.
constexpr auto status_period = std::chrono::milliseconds(200);

// Longer steps are logged: they delay the answers to membership pings.
constexpr auto long_step_threshold = std::chrono::milliseconds(200);

struct node_gauges {
    std::atomic<std::int64_t>* authority = nullptr;
    std::atomic<std::int64_t>* trusted = nullptr;
    std::atomic<std::int64_t>* store = nullptr;
    std::atomic<std::int64_t>* version = nullptr;
    std::atomic<std::int64_t>* members = nullptr;
};

node_gauges make_gauges(metrics& registry)
{
    return {&gauge(registry, "camphorknot_authority", ""),
            &gauge(registry, "camphorknot_configuration_trusted", ""),
            &gauge(registry, "camphorknot_store_reachable", ""),
            &gauge(registry, "camphorknot_configuration_version", ""),
            &gauge(registry, "camphorknot_members", "")};
}

} // namespace

struct control {
    node_handle state;
    control_outputs outputs;
    node_gauges gauges;
    latency_histogram* step_latency = nullptr;
    std::unordered_set<std::string> reported_addresses;
    time_point next_tick{};
    time_point next_status{};

    std::atomic<std::shared_ptr<const traffic_snapshot>> published;
    std::shared_ptr<traffic_state> shared;

    mutable std::mutex guard; ///< Protects tasks, inabilities and stopping.
    std::condition_variable wake;
    std::deque<control_task> tasks;
    std::vector<inability> inabilities;
    bool stopping = false;
    std::thread thread;
};

namespace {

void report_new_address(control& controller, const std::string& address)
{
    if (!address.empty() && controller.reported_addresses.insert(address).second) {
        controller.outputs.on_peer_address(address);
    }
}

void dispatch(control& controller, node_output& out)
{
    for (const node_event& event : out.events) {
        std::vector<log_field> fields;
        for (const auto& [name, value] : event.fields) {
            fields.emplace_back(name, value);
        }
        log_event(log_severity::info, event.name, fields);
    }
    for (const platform_call& call : out.calls) {
        controller.outputs.call(call);
    }
    for (const envelope& message : out.messages) {
        controller.outputs.send(message);
    }
    out = {};
}

void set_inability(std::vector<inability>& list, const std::string& what, bool present, time_point now)
{
    const auto found = std::find_if(list.begin(), list.end(),
                                    [&what](const inability& entry) { return entry.what == what; });
    if (present && found == list.end()) {
        list.push_back({what, now});
        log_event(log_severity::warning, "inability_began", {{"what", what}});
    }
    if (!present && found != list.end()) {
        log_event(log_severity::info, "inability_ended", {{"what", what}});
        list.erase(found);
    }
}

void read_status(control& controller, time_point now)
{
    const node_status status = status_of(*controller.state, now);
    for (const member_record& member : status.members) {
        report_new_address(controller, member.peer_address);
    }
    controller.gauges.authority->store(status.authority ? 1 : 0);
    controller.gauges.trusted->store(status.configuration_trusted ? 1 : 0);
    controller.gauges.store->store(status.store_reachable ? 1 : 0);
    controller.gauges.version->store(static_cast<std::int64_t>(status.configuration_version));
    controller.gauges.members->store(static_cast<std::int64_t>(status.members.size()));
    const std::lock_guard lock(controller.guard);
    set_inability(controller.inabilities, "all_requests", !status.configuration_trusted, now);
    set_inability(controller.inabilities, "keyed_requests", !status.authority, now);
    set_inability(controller.inabilities, "configuration_changes", !status.store_reachable, now);
}

void step(control& controller, std::deque<control_task>& tasks)
{
    node_output out;
    const time_point started = boot_now();
    for (const control_task& task : tasks) {
        task(*controller.state, boot_now(), out);
    }
    const time_point now = boot_now();
    if (now >= controller.next_tick) {
        controller.next_tick = now + tick_period;
        tick(*controller.state, now, wall_now(), out);
    }
    // The new state is published to the traffic threads before messages and log lines about it go out.
    controller.published.store(snapshot(*controller.state));
    if (now >= controller.next_status) {
        controller.next_status = now + status_period;
        read_status(controller, now);
    }
    dispatch(controller, out);
    const duration elapsed = boot_now() - started;
    observe(*controller.step_latency, elapsed);
    if (elapsed > long_step_threshold) {
        const auto elapsed_ms = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
        log_event(log_severity::warning, "long_control_step", {{"taken_ms", std::to_string(elapsed_ms)}});
    }
}

void run(control& controller)
{
    std::deque<control_task> tasks;
    std::unique_lock lock(controller.guard);
    while (true) {
        const duration time_to_tick = controller.next_tick - boot_now();
        if (time_to_tick > duration::zero()) {
            controller.wake.wait_for(lock, time_to_tick, [&controller] {
                return controller.stopping || !controller.tasks.empty();
            });
        }
        const bool is_last_step = controller.stopping;
        tasks.swap(controller.tasks);
        lock.unlock();
        step(controller, tasks);
        tasks.clear();
        if (is_last_step) {
            return;
        }
        lock.lock();
    }
}

} // namespace

void control_deleter::operator()(control* controller) const
{
    if (controller != nullptr) {
        stop(*controller);
    }
    delete controller;
}

void stop(control& controller)
{
    if (!controller.thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(controller.guard);
        controller.stopping = true;
    }
    controller.wake.notify_one();
    controller.thread.join();
}

control_handle start_control(const node_settings& settings, control_outputs outputs, metrics& registry)
{
    control_handle controller(new control);
    controller->outputs = std::move(outputs);
    controller->gauges = make_gauges(registry);
    controller->step_latency = &latency(registry, "camphorknot_control_step_seconds", "");
    controller->state = make_node(settings, boot_now());
    controller->published.store(snapshot(*controller->state));
    controller->shared = shared_traffic(*controller->state);
    controller->thread = std::thread([state = controller.get()] { run(*state); });
    return controller;
}

void post(control& controller, control_task task)
{
    {
        const std::lock_guard lock(controller.guard);
        controller.tasks.push_back(std::move(task));
    }
    controller.wake.notify_one();
}

std::shared_ptr<const traffic_snapshot> published_snapshot(const control& controller)
{
    return controller.published.load();
}

std::shared_ptr<traffic_state> shared_traffic_state(const control& controller)
{
    return controller.shared;
}

std::vector<inability> inabilities_of(const control& controller)
{
    const std::lock_guard lock(controller.guard);
    return controller.inabilities;
}

} // namespace camphorknot
