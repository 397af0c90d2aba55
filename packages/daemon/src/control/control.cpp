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

// Status costs a pass over all members, so it is read less often than the node is ticked.
constexpr auto status_period = std::chrono::milliseconds(200);

// A step this long delays the answers to pings; it is logged.
constexpr auto long_step = std::chrono::milliseconds(200);

struct node_gauges {
    std::atomic<std::int64_t>* authority = nullptr;
    std::atomic<std::int64_t>* trusted = nullptr;
    std::atomic<std::int64_t>* store = nullptr;
    std::atomic<std::int64_t>* version = nullptr;
    std::atomic<std::int64_t>* members = nullptr;
};

node_gauges make_gauges(metrics& page)
{
    return {&gauge(page, "camphorknot_authority", ""), &gauge(page, "camphorknot_configuration_trusted", ""),
            &gauge(page, "camphorknot_store_reachable", ""),
            &gauge(page, "camphorknot_configuration_version", ""), &gauge(page, "camphorknot_members", "")};
}

} // namespace

struct control {
    node_handle state;
    control_outputs outputs;
    node_gauges gauges;
    latency_histogram* step_latency = nullptr;
    std::unordered_set<std::string> known_addresses;
    time_point next_tick{};
    time_point next_status{};

    std::atomic<std::shared_ptr<const traffic_snapshot>> published;
    std::shared_ptr<traffic_state> shared;

    mutable std::mutex guard; ///< Of the members below.
    std::condition_variable wake;
    std::deque<control_task> tasks;
    std::vector<inability> inabilities;
    bool stopping = false;
    std::thread thread;
};

namespace {

void note_address(control& owner, const std::string& address)
{
    if (!address.empty() && owner.known_addresses.insert(address).second) {
        owner.outputs.note_peer(address);
    }
}

void dispatch(control& owner, node_output& out)
{
    for (const node_event& event : out.events) {
        std::vector<log_field> fields;
        for (const auto& [name, value] : event.fields) {
            fields.emplace_back(name, value);
        }
        log_event(log_severity::info, event.name, fields);
    }
    for (const platform_call& call : out.calls) {
        owner.outputs.call(call);
    }
    for (const envelope& message : out.messages) {
        owner.outputs.send(message);
    }
    out = {};
}

void set_inability(std::vector<inability>& list, const std::string& what, bool present, time_point now)
{
    const auto found = std::find_if(list.begin(), list.end(),
                                    [&what](const inability& known) { return known.what == what; });
    if (present && found == list.end()) {
        list.push_back({what, now});
        log_event(log_severity::warning, "inability_began", {{"what", what}});
    }
    if (!present && found != list.end()) {
        log_event(log_severity::info, "inability_ended", {{"what", what}});
        list.erase(found);
    }
}

void read_status(control& owner, time_point now)
{
    const node_status status = status_of(*owner.state, now);
    for (const member_record& member : status.members) {
        note_address(owner, member.peer_address);
    }
    owner.gauges.authority->store(status.authority ? 1 : 0);
    owner.gauges.trusted->store(status.configuration_trusted ? 1 : 0);
    owner.gauges.store->store(status.store_reachable ? 1 : 0);
    owner.gauges.version->store(static_cast<std::int64_t>(status.configuration_version));
    owner.gauges.members->store(static_cast<std::int64_t>(status.members.size()));
    const std::lock_guard lock(owner.guard);
    set_inability(owner.inabilities, "all_requests", !status.configuration_trusted, now);
    set_inability(owner.inabilities, "keyed_requests", !status.authority, now);
    set_inability(owner.inabilities, "configuration_changes", !status.store_reachable, now);
}

void step(control& owner, std::deque<control_task>& tasks)
{
    node_output out;
    const time_point started = boot_now();
    for (const control_task& task : tasks) {
        task(*owner.state, boot_now(), out);
    }
    const time_point now = boot_now();
    if (now >= owner.next_tick) {
        owner.next_tick = now + tick_period;
        tick(*owner.state, now, wall_now(), out);
    }
    // Traffic threads see the new state before peers and operators hear of it.
    owner.published.store(snapshot(*owner.state));
    if (now >= owner.next_status) {
        owner.next_status = now + status_period;
        read_status(owner, now);
    }
    dispatch(owner, out);
    const duration taken = boot_now() - started;
    observe(*owner.step_latency, taken);
    if (taken > long_step) {
        const auto taken_ms = std::chrono::duration_cast<std::chrono::milliseconds>(taken).count();
        log_event(log_severity::warning, "long_control_step", {{"taken_ms", std::to_string(taken_ms)}});
    }
}

void run(control& owner)
{
    std::deque<control_task> tasks;
    std::unique_lock lock(owner.guard);
    while (true) {
        const duration left = owner.next_tick - boot_now();
        if (left > duration::zero()) {
            owner.wake.wait_for(lock, left, [&owner] { return owner.stopping || !owner.tasks.empty(); });
        }
        const bool last = owner.stopping;
        tasks.swap(owner.tasks);
        lock.unlock();
        step(owner, tasks);
        tasks.clear();
        if (last) {
            return;
        }
        lock.lock();
    }
}

} // namespace

void control_deleter::operator()(control* owner) const
{
    if (owner != nullptr) {
        stop(*owner);
    }
    delete owner;
}

void stop(control& owner)
{
    if (!owner.thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(owner.guard);
        owner.stopping = true;
    }
    owner.wake.notify_one();
    owner.thread.join();
}

control_handle start_control(const node_settings& settings, control_outputs outputs, metrics& page)
{
    control_handle owner(new control);
    owner->outputs = std::move(outputs);
    owner->gauges = make_gauges(page);
    owner->step_latency = &latency(page, "camphorknot_control_step_seconds", "");
    owner->state = make_node(settings, boot_now());
    owner->published.store(snapshot(*owner->state));
    owner->shared = shared_traffic(*owner->state);
    owner->thread = std::thread([state = owner.get()] { run(*state); });
    return owner;
}

void post(control& owner, control_task task)
{
    {
        const std::lock_guard lock(owner.guard);
        owner.tasks.push_back(std::move(task));
    }
    owner.wake.notify_one();
}

std::shared_ptr<const traffic_snapshot> published_snapshot(const control& owner)
{
    return owner.published.load();
}

std::shared_ptr<traffic_state> traffic_of(const control& owner)
{
    return owner.shared;
}

std::vector<inability> inabilities_of(const control& owner)
{
    const std::lock_guard lock(owner.guard);
    return owner.inabilities;
}

} // namespace camphorknot
