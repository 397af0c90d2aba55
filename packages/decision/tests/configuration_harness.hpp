/// @file
/// A fleet of instances that distribute a configuration through simulated versions of the table, the object
/// store and the network, in simulated time. Runs with the same seed are identical.
#pragma once

#include <functional>

#include <catch2/catch.hpp>

#include "camphorknot/configuration.hpp"

namespace configuration_test {

using namespace camphorknot;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Table and object store in memory, without faults or delays.
struct fake_store {
    std::map<std::string, table_row> rows;
    std::set<std::uint64_t> operations;
    std::map<std::string, std::string> objects;

    table_answer read(const std::string& row) const
    {
        const auto entry = rows.find(row);
        return entry == rows.end() ? table_answer{table_status::not_found, {}}
                                   : table_answer{table_status::ok, entry->second};
    }

    table_status transact(const table_transaction& transaction)
    {
        for (const auto& condition : transaction.conditions) {
            const auto entry = rows.find(condition.row);
            if ((entry == rows.end() ? 0 : entry->second.version) != condition.version) {
                return table_status::conflict;
            }
        }
        for (const auto& write : transaction.writes) {
            rows[write.row] = {write.row, write.value, rows[write.row].version + 1};
        }
        operations.insert(transaction.operation);
        return table_status::ok;
    }
};

struct simulated_instance {
    member_record record;
    bool running = true;
    std::uint64_t process_number = 0; ///< Counts restarts; answers for an earlier process are dropped.
    time_point started_at{};
    time_point stopped_at{};
    std::uint64_t last_version = 0;
    std::optional<distribution> state;
    time_point next_regional_gossip{};
    time_point next_cross_region_gossip{};
};

struct fault_settings {
    bool store_down = false;
    bool objects_down = false;
    duration store_delay = milliseconds(5);
    unsigned lost_percent = 0;       ///< Percentage of the messages between instances.
    unsigned duplicated_percent = 0; ///< Percentage of the messages between instances.
    duration jitter{};               ///< Maximum random extra delay of a message; reorders messages.
    std::optional<std::size_t> isolated_region;
    bool isolated_from_store = false; ///< The store is unreachable for the isolated region too.
    std::optional<std::size_t> stale; ///< Instance that receives no messages but still sends.
};

struct simulated_fleet {
    explicit simulated_fleet(std::uint64_t seed, std::size_t number_of_regions = 3,
                             std::size_t instances_per_region = 3)
        : random{seed}, region_count(number_of_regions)
    {
        for (std::size_t index = 0; index < number_of_regions * instances_per_region; ++index) {
            const std::string address = "10.0.0." + std::to_string(index) + ":7101";
            simulated_instance& instance = instances.emplace_back();
            instance.record.instance = make_id<instance_id>(address);
            instance.record.peer_address = address;
            instance.record.region = region(index % number_of_regions);
            restart(index);
        }
        for (std::size_t index = 0; index < number_of_regions; ++index) {
            regions.push_back(region(index));
        }
    }

    static region_id region(std::size_t index)
    {
        return make_id<region_id>("region-" + std::to_string(index));
    }

    void restart(std::size_t index)
    {
        simulated_instance& instance = instances[index];
        ++instance.process_number;
        instance.running = true;
        instance.started_at = now;
        instance.last_version = 0;
        distribution_settings settings;
        settings.self = instance.record.instance;
        settings.region = instance.record.region;
        settings.seed = random();
        instance.state.emplace(make_distribution(settings, now));
    }

    void stop(std::size_t index)
    {
        instances[index].running = false;
        instances[index].stopped_at = now;
    }

    /// Whether membership lists the instance; it detects a stopped one after a suspicion timeout of 2 s.
    bool is_listed(const simulated_instance& instance) const
    {
        return instance.running || now - instance.stopped_at < seconds(2);
    }

    bool connected(std::size_t a, std::size_t b) const
    {
        const auto isolated = faults.isolated_region;
        return !isolated || ((a % region_count == *isolated) == (b % region_count == *isolated));
    }

    /// Whether the instance is running, receives messages and can reach the others.
    bool is_healthy(std::size_t index) const
    {
        return instances[index].running && faults.stale != index &&
               faults.isolated_region != index % region_count;
    }

    void after(duration delay, std::function<void()> action)
    {
        events.emplace(now + delay, std::move(action));
    }

    void send(std::size_t from, std::size_t to, const std::function<void()>& action)
    {
        const unsigned copies = uniform(random, 100) < faults.duplicated_percent ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy) {
            if (!connected(from, to) || uniform(random, 100) < faults.lost_percent) {
                continue;
            }
            const bool same_region = from % region_count == to % region_count;
            const duration jitter(static_cast<std::int64_t>(uniform(random, faults.jitter.count() + 1)));
            after((same_region ? milliseconds(1) : milliseconds(55)) + jitter, [this, to, action] {
                if (instances[to].running && faults.stale != to) {
                    action();
                }
            });
        }
    }

    void gossip_to(std::size_t from, std::size_t to)
    {
        const simulated_instance& sender = instances[from];
        const std::uint64_t version = reported_version(*sender.state, regions);
        const duration age = reader_age(*sender.state, now);
        send(from, to, [this, from, to, version, age] {
            const member_record& record = instances[from].record;
            on_version_reported(*instances[to].state, record.instance, record.region, version, age, now);
        });
    }

    void gossip(std::size_t index)
    {
        simulated_instance& instance = instances[index];
        const std::size_t other = uniform(random, instances.size());
        const bool same_region = other % region_count == index % region_count;
        if (now >= (same_region ? instance.next_regional_gossip : instance.next_cross_region_gossip) &&
            other != index) {
            (same_region ? instance.next_regional_gossip : instance.next_cross_region_gossip) =
                now + (same_region ? milliseconds(200) : seconds(1));
            gossip_to(index, other);
            gossip_to(other, index);
        }
    }

    void answer_read(std::size_t index, const distribution_read& read)
    {
        ++table_reads_by_second[now.time_since_epoch() / seconds(1)];
        const std::uint64_t process_number = instances[index].process_number;
        const bool store_unreachable =
            faults.isolated_from_store && faults.isolated_region == index % region_count;
        const bool down = faults.store_down || store_unreachable || (read.object && faults.objects_down);
        after(faults.store_delay, [this, index, read, process_number, down] {
            if (instances[index].process_number != process_number || !instances[index].running) {
                return;
            }
            distribution& state = *instances[index].state;
            if (read.table) {
                const table_answer lost{table_status::unavailable, {}};
                on_table_answer(state, down ? lost : store.read(read.table->row), now);
                return;
            }
            const auto object = store.objects.find(*read.object);
            const bool found = !down && object != store.objects.end();
            on_object_answer(state, found ? std::optional<std::string_view>(object->second) : std::nullopt,
                             now);
        });
    }

    void deliver(std::size_t from, const outbox& messages)
    {
        for (const envelope& message : messages) {
            for (std::size_t to = 0; to < instances.size(); ++to) {
                if (instances[to].record.instance == message.to) {
                    send(from, to, [this, to, message] {
                        outbox replies;
                        on_message(*instances[to].state, message, now, replies);
                        deliver(to, replies);
                    });
                }
            }
        }
    }

    void tick_instance(std::size_t index)
    {
        std::vector<member_record> live;
        for (const simulated_instance& instance : instances) {
            if (is_listed(instance)) {
                live.push_back(instance.record);
            }
        }
        distribution& state = *instances[index].state;
        outbox out;
        const distribution_read read = tick(state, live, now, out);
        if (read.table || read.object) {
            answer_read(index, read);
        }
        deliver(index, out);
        if (const auto write = take_snapshot_write(state, now)) {
            const bool written = !faults.store_down && !faults.objects_down;
            if (written) {
                store.objects[write->name] = write->text;
            }
            on_snapshot_written(state, written, now);
        }
        gossip(index);
    }

    /// Runs for @p span in steps of 10 ms and calls @p check after each step.
    void run(
        duration span, const std::function<void()>& check = [] {})
    {
        for (const time_point end = now + span; now < end; now += milliseconds(10)) {
            while (!events.empty() && events.begin()->first <= now) {
                const auto action = std::move(events.begin()->second);
                events.erase(events.begin());
                action();
            }
            for (std::size_t index = 0; index < instances.size(); ++index) {
                if (instances[index].running) {
                    tick_instance(index);
                }
            }
            check();
        }
    }

    /// Commits a change that sets the rate of @p customer, on condition of the head row's version; no fault
    /// applies.
    table_status commit(const std::string& customer, std::int64_t rate, std::uint64_t expected_version,
                        std::uint64_t expected_row_version)
    {
        configuration_change change{expected_version + 1, {customer_object{customer, rate, rate}}, {}};
        if (change.version == 1) {
            for (std::size_t index = 0; index < region_count; ++index) {
                change.upserts.push_back(region_object{"region-" + std::to_string(index)});
            }
        }
        return store.transact(make_change_transaction(change, expected_row_version, random()));
    }

    /// Commits @p count changes to the table at once.
    void commit_changes(std::uint64_t count)
    {
        for (std::uint64_t change = 0; change < count; ++change, ++head) {
            const std::string customer = "customer-" + std::to_string(head % 7);
            REQUIRE(commit(customer, static_cast<std::int64_t>(head), head, head) == table_status::ok);
        }
    }

    std::uint64_t version_of(std::size_t index) const { return in_force(*instances[index].state).version; }

    random_source random;
    std::size_t region_count;
    time_point now{};
    std::uint64_t head = 0;
    fault_settings faults;
    fake_store store;
    std::vector<region_id> regions;
    std::vector<simulated_instance> instances;
    std::multimap<time_point, std::function<void()>> events;
    std::map<std::int64_t, std::uint64_t> table_reads_by_second;
};

} // namespace configuration_test
