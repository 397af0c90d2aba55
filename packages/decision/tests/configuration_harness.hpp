/// @file
/// Instances that share a configuration through stand-ins of the table, the object store and the network, in
/// simulated time. One seed replays one run.
#pragma once

#include <functional>

#include <catch2/catch.hpp>

#include "camphorknot/configuration.hpp"

namespace configuration_test {

using namespace camphorknot;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Table and object store as one process would see them.
struct store_fake {
    std::map<std::string, table_row> rows;
    std::set<std::uint64_t> operations;
    std::map<std::string, std::string> objects;

    table_answer read(const std::string& row) const
    {
        const auto place = rows.find(row);
        return place == rows.end() ? table_answer{table_status::not_found, {}}
                                   : table_answer{table_status::ok, place->second};
    }

    table_status transact(const table_transaction& transaction)
    {
        for (const auto& condition : transaction.conditions) {
            const auto place = rows.find(condition.row);
            if ((place == rows.end() ? 0 : place->second.version) != condition.version) {
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
    bool up = true;
    std::uint64_t process = 0; ///< Answers to an earlier process are dropped.
    time_point up_since{};
    time_point down_since{};
    std::uint64_t highest_version = 0;
    std::optional<distribution> state;
    time_point next_near_gossip{};
    time_point next_far_gossip{};
};

struct faults {
    bool store_down = false;
    bool objects_down = false;
    duration store_delay = milliseconds(5);
    unsigned lost_percent = 0;       ///< Of messages between instances.
    unsigned duplicated_percent = 0; ///< Of messages between instances.
    duration jitter{};               ///< Reorders messages.
    std::optional<std::size_t> isolated_region;
    bool isolated_from_store = false; ///< The isolated region does not reach the store either.
    std::optional<std::size_t> stale; ///< Instance that takes in nothing but still sends.
};

struct fleet {
    explicit fleet(std::uint64_t seed, std::size_t regions_wanted = 3, std::size_t per_region = 3)
        : random{seed}, region_count(regions_wanted)
    {
        for (std::size_t index = 0; index < regions_wanted * per_region; ++index) {
            const std::string address = "10.0.0." + std::to_string(index) + ":7101";
            simulated_instance& one = instances.emplace_back();
            one.record.instance = make_id<instance_id>(address);
            one.record.peer_address = address;
            one.record.region = region(index % regions_wanted);
            restart(index);
        }
        for (std::size_t index = 0; index < regions_wanted; ++index) {
            regions.push_back(region(index));
        }
    }

    static region_id region(std::size_t index)
    {
        return make_id<region_id>("region-" + std::to_string(index));
    }

    void restart(std::size_t index)
    {
        simulated_instance& one = instances[index];
        ++one.process;
        one.up = true;
        one.up_since = now;
        one.highest_version = 0;
        distribution_settings settings;
        settings.self = one.record.instance;
        settings.region = one.record.region;
        settings.seed = random();
        one.state.emplace(make_distribution(settings, now));
    }

    void stop(std::size_t index)
    {
        instances[index].up = false;
        instances[index].down_since = now;
    }

    /// Membership notices a death after the suspicion term.
    bool listed(const simulated_instance& one) const { return one.up || now - one.down_since < seconds(2); }

    bool connected(std::size_t a, std::size_t b) const
    {
        const auto isolated = fault.isolated_region;
        return !isolated || ((a % region_count == *isolated) == (b % region_count == *isolated));
    }

    /// Whether the instance is up, takes in messages and reaches the others.
    bool healthy(std::size_t index) const
    {
        return instances[index].up && fault.stale != index && fault.isolated_region != index % region_count;
    }

    void after(duration delay, std::function<void()> action)
    {
        events.emplace(now + delay, std::move(action));
    }

    void send(std::size_t from, std::size_t to, const std::function<void()>& action)
    {
        const unsigned copies = uniform(random, 100) < fault.duplicated_percent ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy) {
            if (!connected(from, to) || uniform(random, 100) < fault.lost_percent) {
                continue;
            }
            const bool near = from % region_count == to % region_count;
            const duration jitter(static_cast<std::int64_t>(uniform(random, fault.jitter.count() + 1)));
            after((near ? milliseconds(1) : milliseconds(55)) + jitter, [this, to, action] {
                if (instances[to].up && fault.stale != to) {
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
            on_version_seen(*instances[to].state, record.instance, record.region, version, age, now);
        });
    }

    void gossip(std::size_t index)
    {
        simulated_instance& one = instances[index];
        const std::size_t other = uniform(random, instances.size());
        const bool near = other % region_count == index % region_count;
        if (now >= (near ? one.next_near_gossip : one.next_far_gossip) && other != index) {
            (near ? one.next_near_gossip : one.next_far_gossip) =
                now + (near ? milliseconds(200) : seconds(1));
            gossip_to(index, other);
            gossip_to(other, index);
        }
    }

    void answer_read(std::size_t index, const distribution_read& wanted)
    {
        ++table_reads_by_second[now.time_since_epoch() / seconds(1)];
        const std::uint64_t process = instances[index].process;
        const bool cut_off = fault.isolated_from_store && fault.isolated_region == index % region_count;
        const bool down = fault.store_down || cut_off || (wanted.object && fault.objects_down);
        after(fault.store_delay, [this, index, wanted, process, down] {
            if (instances[index].process != process || !instances[index].up) {
                return;
            }
            distribution& state = *instances[index].state;
            if (wanted.table) {
                const table_answer lost{table_status::unavailable, {}};
                on_table_answer(state, down ? lost : store.read(wanted.table->row), now);
                return;
            }
            const auto place = store.objects.find(*wanted.object);
            const bool found = !down && place != store.objects.end();
            on_object_answer(state, found ? std::optional<std::string_view>(place->second) : std::nullopt,
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
        for (const simulated_instance& one : instances) {
            if (listed(one)) {
                live.push_back(one.record);
            }
        }
        distribution& state = *instances[index].state;
        outbox out;
        const distribution_read wanted = tick(state, live, now, out);
        if (wanted.table || wanted.object) {
            answer_read(index, wanted);
        }
        deliver(index, out);
        if (const auto write = take_snapshot_write(state, now)) {
            const bool written = !fault.store_down && !fault.objects_down;
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
                if (instances[index].up) {
                    tick_instance(index);
                }
            }
            check();
        }
    }

    /// Writes a change that sets the rate of @p customer, conditional on the head; no fault applies.
    table_status commit(const std::string& customer, std::int64_t rate, std::uint64_t expected_version,
                        std::uint64_t expected_row)
    {
        configuration_change change{expected_version + 1, {customer_object{customer, rate, rate}}, {}};
        if (change.version == 1) {
            for (std::size_t index = 0; index < region_count; ++index) {
                change.upserts.push_back(region_object{"region-" + std::to_string(index)});
            }
        }
        return store.transact(make_change_transaction(change, expected_row, random()));
    }

    /// Makes @p count changes in the table at once.
    void commit_many(std::uint64_t count)
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
    faults fault;
    store_fake store;
    std::vector<region_id> regions;
    std::vector<simulated_instance> instances;
    std::multimap<time_point, std::function<void()>> events;
    std::map<std::int64_t, std::uint64_t> table_reads_by_second;
};

} // namespace configuration_test
