/// @file
/// Measures the cost of the control plane: complete instances exchange messages over an in-memory queue in
/// simulated time. Reports CPU time, bytes and messages per second and heap per instance, for several fleet
/// sizes, and the time until a change is in force on the last instance. docs/CAPACITY.md derives the cost per
/// instance, customer, block and change from these results.
#include <malloc.h>

#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "camphorknot/node.hpp"
#include "camphorknot/transport/codec.hpp"

DEFINE_string(instances, "8,16,32,64,128", "Fleet sizes.");
DEFINE_int32(regions, 3, "Number of regions, each with two failure domains.");
DEFINE_int32(customers, 8, "Customers in the configuration.");
DEFINE_int32(blocks, 0, "Client blocks in the configuration.");
DEFINE_double(changes_per_second, 0, "Configuration changes per second during the measurement.");
DEFINE_int32(seconds, 10, "Length of the measurement in simulated seconds.");
DEFINE_int32(settle_seconds, 15, "Simulated seconds before the measurement.");
DEFINE_int32(tick_ms, 20, "Milliseconds between two ticks; the default is that of the daemon.");
DEFINE_uint64(seed, 1, "Seed.");
DEFINE_string(json, "", "File for the results as JSON.");

namespace {

using namespace camphorknot;
using namespace std::chrono_literals;

constexpr duration message_delay = 20ms;
/// Names of the messages in the order of the alternatives of peer_message.
const std::array<std::string, std::variant_size_v<peer_message>> message_names = {
    "ping",         "ping_ack",     "indirect_ping",  "gossip",      "change_request",
    "change_reply", "loan_request", "loan_grant",     "loan_return", "spare_report",
    "fence_notice", "fence_ack",    "rollout_counts", "leave",       "drain_report"};
constexpr duration store_delay = 3ms;

struct member {
    node_handle control;
    std::string address;
};

struct store {
    std::map<std::string, table_row> rows;
    std::map<std::string, std::string> objects;
    std::set<std::uint64_t> operations;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

struct event {
    enum class kind : std::uint8_t { tick, message, answer } type = kind::tick;
    std::size_t to = 0;
    envelope message;
    platform_answer answer;
};

struct simulation {
    std::vector<member> members;
    std::map<instance_id, std::size_t> indices;
    std::multimap<time_point, event> events;
    store table;
    time_point now{};
    bool is_measuring = false;
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    double cpu_seconds = 0;
    std::map<std::size_t, std::uint64_t> bytes_by_message;
};

double process_cpu_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

table_answer transact(store& table, const table_transaction& transaction)
{
    ++table.writes;
    for (const auto& condition : transaction.conditions) {
        const auto row = table.rows.find(condition.row);
        if ((row == table.rows.end() ? 0 : row->second.version) != condition.version) {
            return {table_status::conflict, std::nullopt};
        }
    }
    for (const auto& write : transaction.writes) {
        table_row& row = table.rows[write.row];
        row = {write.row, write.value, row.version + 1};
    }
    table.operations.insert(transaction.operation);
    return {table_status::ok, std::nullopt};
}

table_answer read_row(store& table, const std::string& name)
{
    ++table.reads;
    const auto row = table.rows.find(name);
    return row == table.rows.end() ? table_answer{table_status::not_found, std::nullopt}
                                   : table_answer{table_status::ok, row->second};
}

platform_answer execute_call(store& table, const platform_call& call)
{
    platform_answer answer{call.id, {table_status::ok, std::nullopt}};
    if (const auto* read = std::get_if<table_read>(&call.request)) {
        answer.answer = read_row(table, read->row);
    } else if (const auto* write = std::get_if<table_transaction>(&call.request)) {
        answer.answer = transact(table, *write);
    } else if (const auto* operation = std::get_if<operation_read>(&call.request)) {
        answer.answer.status =
            table.operations.contains(operation->operation) ? table_status::ok : table_status::not_found;
    } else if (const auto* object = std::get_if<object_write>(&call.request)) {
        table.objects[object->name] = object->value;
    } else if (const auto* name = std::get_if<object_read>(&call.request)) {
        const auto stored = table.objects.find(name->name);
        answer.answer.status = stored == table.objects.end() ? table_status::not_found : table_status::ok;
        if (stored != table.objects.end()) {
            answer.answer.row = table_row{name->name, stored->second, 1};
        }
    }
    return answer;
}

void send(simulation& sim, std::size_t from, node_output& out)
{
    for (envelope& message : out.messages) {
        const auto to = sim.indices.find(message.to);
        if (to == sim.indices.end()) {
            continue;
        }
        if (sim.is_measuring) {
            const std::size_t size = encode(message).size();
            sim.bytes += size;
            sim.bytes_by_message[message.body.index()] += size;
            ++sim.messages;
        }
        sim.events.emplace(sim.now + message_delay,
                           event{event::kind::message, to->second, std::move(message), {}});
    }
    for (const platform_call& call : out.calls) {
        sim.events.emplace(sim.now + store_delay,
                           event{event::kind::answer, from, {}, execute_call(sim.table, call)});
    }
}

std::string region_name(std::size_t instance)
{
    return "region-" + std::to_string(instance % static_cast<std::size_t>(FLAGS_regions));
}

std::string domain_name(std::size_t instance)
{
    return region_name(instance) +
           (instance / static_cast<std::size_t>(FLAGS_regions) % 2 == 0 ? "-a" : "-b");
}

std::string address_of(std::size_t instance)
{
    return "10.0." + std::to_string(instance / 250) + "." + std::to_string(instance % 250) + ":7100";
}

void start(simulation& sim, std::size_t count)
{
    std::vector<instance_contact> contacts;
    for (std::size_t i = 0; i < count; ++i) {
        contacts.push_back({make_id<instance_id>(address_of(i)), make_id<region_id>(region_name(i)),
                            make_id<failure_domain_id>(domain_name(i)), address_of(i)});
    }
    for (std::size_t i = 0; i < count; ++i) {
        node_settings settings;
        settings.peer_address = address_of(i);
        settings.traffic_address = address_of(i) + "1";
        settings.region = region_name(i);
        settings.failure_domain = domain_name(i);
        settings.process_nonce = mix_hash(FLAGS_seed, i);
        settings.number = 1;
        settings.seed = mix_hash(FLAGS_seed, i + 1);
        sim.members.push_back({make_node(settings, sim.now), settings.peer_address});
        sim.indices[make_id<instance_id>(settings.peer_address)] = i;
        add_contacts(*sim.members.back().control, contacts, sim.now);
        const auto offset =
            duration(1ms) * FLAGS_tick_ms * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(count);
        sim.events.emplace(sim.now + offset, event{event::kind::tick, i, {}, {}});
    }
}

void handle(simulation& sim, event& next)
{
    node& control = *sim.members[next.to].control;
    node_output out;
    const double before = sim.is_measuring ? process_cpu_seconds() : 0;
    if (next.type == event::kind::tick) {
        tick(control, sim.now, sim.now.time_since_epoch() / 1ms, out);
    } else if (next.type == event::kind::message) {
        on_message(control, next.message, sim.now, out);
    } else {
        on_platform_answer(control, next.answer, sim.now, out);
    }
    sim.cpu_seconds += sim.is_measuring ? process_cpu_seconds() - before : 0;
    send(sim, next.to, out);
    if (next.type == event::kind::tick) {
        sim.events.emplace(sim.now + 1ms * FLAGS_tick_ms, event{event::kind::tick, next.to, {}, {}});
    }
}

void run_until(simulation& sim, time_point end)
{
    while (!sim.events.empty() && sim.events.begin()->first <= end) {
        auto first = sim.events.extract(sim.events.begin());
        sim.now = first.key();
        handle(sim, first.mapped());
    }
    sim.now = end;
}

configuration_change make_initial_configuration(std::size_t count)
{
    configuration_change change;
    std::set<std::string> regions;
    std::set<std::string> domains;
    for (std::size_t i = 0; i < count; ++i) {
        if (regions.insert(region_name(i)).second) {
            change.upserts.emplace_back(region_object{region_name(i)});
        }
        if (domains.insert(domain_name(i)).second) {
            change.upserts.emplace_back(failure_domain_object{domain_name(i), region_name(i)});
        }
        change.upserts.emplace_back(instance_object{address_of(i), region_name(i), domain_name(i)});
    }
    for (int i = 0; i < FLAGS_customers; ++i) {
        change.upserts.emplace_back(customer_object{"customer-" + std::to_string(i), 100, 100});
    }
    if (FLAGS_blocks > 0) {
        change.upserts.emplace_back(site_set_object{"sites", {{domain_name(0), 1}}});
    }
    for (int i = 0; i < FLAGS_blocks; ++i) {
        change.upserts.emplace_back(
            block_object{0x0a000000U + (static_cast<std::uint32_t>(i) << 8U), 24, "sites"});
    }
    return change;
}

void propose(simulation& sim, configuration_change change)
{
    node_output out;
    node& control = *sim.members.front().control;
    const std::uint64_t expected = configuration_of(control).version;
    propose_change(control, std::move(change), expected, sim.now, out);
    send(sim, 0, out);
}

bool is_in_force_everywhere(const simulation& sim, std::uint64_t version)
{
    return std::ranges::all_of(sim.members, [&](const member& instance) {
        return configuration_of(*instance.control).version >= version;
    });
}

// Proposes one change and runs until it is in force on all instances, for at most 30 s. @return the simulated
// time that passed.
duration measure_change(simulation& sim, int number)
{
    const time_point begin = sim.now;
    const std::uint64_t version = configuration_of(*sim.members.front().control).version + 1;
    configuration_change change;
    change.upserts.emplace_back(customer_object{"changed", 100 + number, 100});
    propose(sim, change);
    while (!is_in_force_everywhere(sim, version) && sim.now - begin < 30s) {
        run_until(sim, sim.now + 10ms);
    }
    return sim.now - begin;
}

struct figures {
    std::size_t instances = 0;
    double cpu_percent = 0;
    double bytes_per_second = 0;
    double messages_per_second = 0;
    double heap_mb = 0;
    double table_reads_per_second = 0;
    double slowest_change_s = 0;
    double with_authority = 0;
    std::map<std::string, double> bytes_by_message; ///< Bytes per second and instance.
};

figures measure(std::size_t count)
{
    const std::size_t heap_before = mallinfo2().uordblks;
    simulation sim;
    sim.now = time_point(1s);
    start(sim, count);
    run_until(sim, sim.now + 3s);
    propose(sim, make_initial_configuration(count));
    run_until(sim, sim.now + 1s * FLAGS_settle_seconds);
    figures result;
    result.instances = count;
    result.heap_mb =
        static_cast<double>(mallinfo2().uordblks - heap_before) / static_cast<double>(count) / 1e6;
    const std::uint64_t reads = sim.table.reads;
    const time_point begin = sim.now;
    sim.is_measuring = true;
    int number = 0;
    while (sim.now - begin < 1s * FLAGS_seconds) {
        if (FLAGS_changes_per_second > 0) {
            const duration elapsed = measure_change(sim, number++);
            result.slowest_change_s =
                std::max(result.slowest_change_s, std::chrono::duration<double>(elapsed).count());
            run_until(sim,
                      begin + duration(static_cast<std::int64_t>(1e9 * number / FLAGS_changes_per_second)));
        } else {
            run_until(sim, sim.now + 1s);
        }
    }
    const double seconds = std::chrono::duration<double>(sim.now - begin).count();
    const double node_seconds = seconds * static_cast<double>(count);
    result.cpu_percent = 100 * sim.cpu_seconds / node_seconds;
    result.bytes_per_second = static_cast<double>(sim.bytes) / node_seconds;
    for (const auto& [kind, bytes] : sim.bytes_by_message) {
        result.bytes_by_message[message_names.at(kind)] = static_cast<double>(bytes) / node_seconds;
    }
    result.messages_per_second = static_cast<double>(sim.messages) / node_seconds;
    result.table_reads_per_second = static_cast<double>(sim.table.reads - reads) / seconds;
    std::size_t authority = 0;
    for (const member& instance : sim.members) {
        authority += status_of(*instance.control, sim.now).authority ? 1 : 0;
    }
    result.with_authority = static_cast<double>(authority) / static_cast<double>(count);
    return result;
}

nlohmann::json to_json(const figures& result)
{
    return {{"instances", result.instances},
            {"cpu_percent", result.cpu_percent},
            {"bytes_per_second", result.bytes_per_second},
            {"messages_per_second", result.messages_per_second},
            {"heap_mb", result.heap_mb},
            {"table_reads_per_second", result.table_reads_per_second},
            {"slowest_change_s", result.slowest_change_s},
            {"with_authority", result.with_authority},
            {"bytes_by_message", result.bytes_by_message}};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures the control plane cost of complete instances in one process.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    nlohmann::json all = nlohmann::json::array();
    std::cout << std::fixed << std::setprecision(3) << std::setw(10) << "instances" << std::setw(10)
              << "cpu_%" << std::setw(12) << "bytes/s" << std::setw(10) << "msg/s" << std::setw(10)
              << "heap_MB" << std::setw(12) << "reads/s" << std::setw(12) << "change_s" << std::setw(10)
              << "authority\n";
    std::istringstream sizes(FLAGS_instances);
    for (std::string size; std::getline(sizes, size, ',');) {
        const figures result = measure(std::stoul(size));
        std::cout << std::setw(10) << result.instances << std::setw(10) << result.cpu_percent << std::setw(12)
                  << result.bytes_per_second << std::setw(10) << result.messages_per_second << std::setw(10)
                  << result.heap_mb << std::setw(12) << result.table_reads_per_second << std::setw(12)
                  << result.slowest_change_s << std::setw(10) << result.with_authority << "\n"
                  << std::flush;
        for (const auto& [name, bytes] : result.bytes_by_message) {
            std::cout << "    " << name << " " << bytes << " bytes/s\n";
        }
        all.push_back(to_json(result));
    }
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << all.dump(1) << "\n";
    }
    return 0;
}
