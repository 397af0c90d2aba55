/// @file
/// Deterministic scheduler for randomised runs of several instances: an in-memory message queue with delay,
/// loss, duplication and reordering, and instances with pauses, kills and restarts, clock drift and region
/// cuts. Everything is derived from one seed.
#pragma once

#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/messages.hpp"
#include "fault_plan.hpp"

namespace camphorknot::test_support {

/// Functions that drive one instance. Times are readings of the instance's own drifting clock.
/// @tparam Node state of one instance; it must be movable.
template <typename Node>
struct node_functions {
    std::function<Node(std::size_t index, incarnation number, time_point now)> make;
    std::function<void(Node&, time_point now, outbox& out)> tick;
    std::function<void(Node&, const envelope& message, time_point now, outbox& out)> on_message;
    /// Names the mechanisms that are active in the instance, for the counts of faults by mechanism. Optional.
    std::function<std::vector<std::string_view>(const Node&)> mechanisms;
};

/// Runs instances on a schedule that is determined by a seed.
///
/// @code
/// scheduler<membership> fleet(settings, functions);
/// fleet.at(time_point(5s), [&] { fleet.kill(2, 3s); });
/// fleet.run_until(time_point(30s), [&] { return all_is_well(fleet); });
/// @endcode
template <typename Node>
class scheduler {
public:
    struct instance_state {
        std::optional<Node> node; ///< Empty while the process is dead.
        incarnation number = 0;
        std::int64_t speed_permille = 1000; ///< Speed of the instance's clock relative to real time.
        duration clock_offset{};
        time_point paused_until{};
        std::vector<envelope> queued_messages; ///< Messages that arrived during a pause.
    };

    scheduler(schedule_settings settings, node_functions<Node> functions)
        : settings_(std::move(settings)), functions_(std::move(functions)), random_{settings_.seed},
          instances_(settings_.placements.size())
    {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            by_id_[settings_.placements[i].instance] = i;
            set_clock(instances_[i]);
            start(i);
            at(time_point(settings_.tick_period * (i + 1) / (instances_.size() + 1)), [this, i] { tick(i); });
        }
        const fault_plan& plan = settings_.faults;
        plan_instance_faults(fault_kind::pause, plan.mean_between_pauses, plan.max_pause,
                             [this](std::size_t index, duration length) { pause(index, length); });
        plan_instance_faults(fault_kind::kill, plan.mean_between_kills, plan.max_downtime,
                             [this](std::size_t index, duration length) { kill(index, length); });
        plan_instance_faults(
            fault_kind::cut, plan.mean_between_cuts, plan.max_cut,
            [this](std::size_t index, duration length) { cut(settings_.placements[index].region, length); });
    }
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// Runs @p action at @p when of real time, after the actions that are already planned for that time.
    void at(time_point when, std::function<void()> action)
    {
        events_.push({when, ++sequence_, std::move(action)});
    }

    /// Runs until @p end, or until @p check, called after each step, returns false.
    /// @return whether the check held throughout.
    template <typename Check>
    bool run_until(time_point end, Check check)
    {
        while (!events_.empty() && events_.top().when <= end) {
            event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
            if (!check()) {
                return false;
            }
        }
        now_ = end;
        return true;
    }

    /// @return simulated real time, which no instance can read.
    time_point now() const { return now_; }
    /// @return the reading of the instance's clock.
    time_point local_time(std::size_t index) const
    {
        const instance_state& state = instances_[index];
        return time_point(state.clock_offset + now_.time_since_epoch() / 1000 * state.speed_permille);
    }
    std::size_t size() const { return instances_.size(); }
    /// @return whether the process exists and is not paused.
    bool runs(std::size_t index) const
    {
        return instances_[index].node.has_value() && now_ >= instances_[index].paused_until;
    }
    /// @return whether the process exists; it may be paused.
    bool alive(std::size_t index) const { return instances_[index].node.has_value(); }
    Node& node(std::size_t index) { return *instances_[index].node; }
    const Node& node(std::size_t index) const { return *instances_[index].node; }
    const instance_state& state(std::size_t index) const { return instances_[index]; }
    const schedule_settings& settings() const { return settings_; }
    bool is_cut(region_id region) const
    {
        const auto found = cut_until_.find(region);
        return found != cut_until_.end() && now_ < found->second;
    }
    std::size_t messages_sent() const { return messages_sent_; }

    /// Kills the process at once; a new incarnation with empty state starts after @p down.
    void kill(std::size_t index, duration down)
    {
        instances_[index].node.reset();
        instances_[index].queued_messages.clear();
        instances_[index].paused_until = {};
        at(now_ + down, [this, index] { start(index); });
    }
    /// Pauses the process; its clock keeps running and its messages are queued.
    void pause(std::size_t index, duration length)
    {
        instances_[index].paused_until = now_ + length;
        at(now_ + length, [this, index] { deliver_held(index); });
    }
    /// Drops all messages between the region and the others.
    void cut(region_id region, duration length) { cut_until_[region] = now_ + length; }
    /// Sends messages on behalf of the instance that they name as sender.
    void send(outbox& out)
    {
        for (envelope& message : out) {
            enqueue(std::move(message));
        }
        out.clear();
    }

    const fault_count& faults() const { return faults_; }

private:
    struct event {
        time_point when;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    bool inject(fault_kind kind, std::string_view mechanism)
    {
        const bool is_injected = faults_.injected < settings_.fault_limit && now_ < settings_.faults_until;
        if (is_injected) {
            ++faults_.injected;
            faults_.count_fault(kind, mechanism);
        }
        return is_injected;
    }
    // Counts one fault, also for each mechanism that is active in the instance.
    bool inject_into_instance(fault_kind kind, std::size_t index)
    {
        const bool is_injected = inject(kind, "instance");
        if (is_injected && functions_.mechanisms) {
            for (const std::string_view mechanism : functions_.mechanisms(node(index))) {
                faults_.count_fault(kind, mechanism);
            }
        }
        return is_injected;
    }
    void set_clock(instance_state& state)
    {
        // Clocks have different offsets even without drift, as machines boot at different times.
        state.clock_offset =
            std::chrono::seconds(1000) + uniform_duration(random_, std::chrono::seconds(1000));
        const std::uint32_t drift = settings_.faults.drift_permille;
        const auto shift = static_cast<std::int64_t>(uniform(random_, 2 * drift + 1)) - drift;
        if (shift != 0 && inject(fault_kind::drift, "instance")) {
            state.speed_permille += shift;
        }
    }
    void plan_fault(duration mean, std::function<void()> action)
    {
        if (mean > duration::zero()) {
            at(now_ + exponential(random_, mean), [this, mean, action] {
                action();
                plan_fault(mean, action);
            });
        }
    }
    // Plans faults of random instances. The random draws are made even if the fault is not injected, so that
    // the schedule stays the same.
    template <typename Action>
    void plan_instance_faults(fault_kind kind, duration mean, duration longest, Action action)
    {
        plan_fault(mean, [this, kind, longest, action] {
            const std::size_t index = uniform(random_, size());
            const duration length = uniform_duration(random_, longest);
            if (alive(index) && inject_into_instance(kind, index)) {
                action(index, length);
            }
        });
    }
    void start(std::size_t index)
    {
        instance_state& state = instances_[index];
        if (!state.node) {
            state.node = functions_.make(index, ++state.number, local_time(index));
        }
    }
    void tick(std::size_t index)
    {
        if (runs(index)) {
            outbox out;
            functions_.tick(node(index), local_time(index), out);
            send(out);
        }
        at(now_ + settings_.tick_period, [this, index] { tick(index); });
    }
    void enqueue(envelope message)
    {
        const auto from = by_id_.find(message.from);
        const auto to = by_id_.find(message.to);
        if (from == by_id_.end() || to == by_id_.end()) {
            return;
        }
        ++messages_sent_;
        const std::string_view name = message_names[message.body.index()];
        const placement& sender = settings_.placements[from->second];
        const placement& receiver = settings_.placements[to->second];
        const bool crosses_cut =
            sender.region != receiver.region && (is_cut(sender.region) || is_cut(receiver.region));
        // All draws are made for every message, so that a fault limit does not change the remaining schedule.
        const duration base = base_delay(settings_, sender, receiver);
        const duration delay = base + uniform_duration(random_, base / 5);
        const duration second_delay = delay + uniform_duration(random_, settings_.faults.reordering_delay);
        const bool lost = chance(random_, settings_.faults.loss_permille);
        const bool duplicated = chance(random_, settings_.faults.duplication_permille);
        const bool late = chance(random_, settings_.faults.reordering_permille);
        if (crosses_cut) {
            faults_.count_fault(fault_kind::cut, name);
            return;
        }
        if (lost && inject(fault_kind::loss, name)) {
            return;
        }
        if (duplicated && inject(fault_kind::duplication, name)) {
            at(now_ + second_delay, [this, index = to->second, message] { deliver(index, message); });
        }
        const bool is_late = late && inject(fault_kind::reordering, name);
        at(now_ + (is_late ? second_delay : delay),
           [this, index = to->second, message = std::move(message)] { deliver(index, message); });
    }
    void deliver(std::size_t index, const envelope& message)
    {
        if (!alive(index)) {
            return;
        }
        if (!runs(index)) {
            instances_[index].queued_messages.push_back(message);
            return;
        }
        outbox out;
        functions_.on_message(node(index), message, local_time(index), out);
        send(out);
    }
    void deliver_held(std::size_t index)
    {
        if (!runs(index)) {
            return;
        }
        for (const envelope& message : std::exchange(instances_[index].queued_messages, {})) {
            deliver(index, message);
        }
    }

    schedule_settings settings_;
    node_functions<Node> functions_;
    random_source random_;
    std::vector<instance_state> instances_;
    std::unordered_map<instance_id, std::size_t> by_id_;
    std::unordered_map<region_id, time_point> cut_until_;
    std::priority_queue<event> events_;
    time_point now_{};
    std::uint64_t sequence_ = 0;
    fault_count faults_;
    std::size_t messages_sent_ = 0;
};

} // namespace camphorknot::test_support
