/// @file
/// Control cost of whole instances over an in-memory message queue: processor time, bytes and messages a
/// second, and heap for each instance, at several fleet sizes, and the time until a change is in force on the
/// last instance. The slopes over instances, customers, blocks and changes are those of docs/CAPACITY.md.
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
DEFINE_int32(regions, 3, "Regions; two failure domains each.");
DEFINE_int32(customers, 8, "Customers in the configuration.");
DEFINE_int32(blocks, 0, "Client blocks in the configuration.");
DEFINE_double(changes_per_second, 0, "Configuration changes during the measured time.");
DEFINE_int32(seconds, 10, "Measured time, simulated.");
DEFINE_int32(settle_seconds, 15, "Time before the measurement, simulated.");
DEFINE_int32(tick_ms, 20, "Time between two ticks, as in the daemon.");
DEFINE_uint64(seed, 1, "Seed.");
DEFINE_string(json, "", "File for the figures as JSON.");

namespace {

using namespace camphorknot;
using namespace std::chrono_literals;

constexpr duration message_delay = 20ms;
/// In the order of peer_message.
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
    enum class kind : std::uint8_t { tick, message, answer } what = kind::tick;
    std::size_t to = 0;
    envelope message;
    platform_answer answer;
};

struct simulation {
    std::vector<member> members;
    std::map<instance_id, std::size_t> places;
    std::multimap<time_point, event> events;
    store table;
    time_point now{};
    bool counting = false;
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    double busy_seconds = 0;
    std::map<std::size_t, std::uint64_t> bytes_by_kind;
};

double processor_seconds()
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

platform_answer answer_call(store& table, const platform_call& call)
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
        const auto found = table.objects.find(name->name);
        answer.answer.status = found == table.objects.end() ? table_status::not_found : table_status::ok;
        if (found != table.objects.end()) {
            answer.answer.row = table_row{name->name, found->second, 1};
        }
    }
    return answer;
}

void send(simulation& run, std::size_t from, node_output& out)
{
    for (envelope& message : out.messages) {
        const auto to = run.places.find(message.to);
        if (to == run.places.end()) {
            continue;
        }
        if (run.counting) {
            const std::size_t size = encode(message).size();
            run.bytes += size;
            run.bytes_by_kind[message.body.index()] += size;
            ++run.messages;
        }
        run.events.emplace(run.now + message_delay,
                           event{event::kind::message, to->second, std::move(message), {}});
    }
    for (const platform_call& call : out.calls) {
        run.events.emplace(run.now + store_delay,
                           event{event::kind::answer, from, {}, answer_call(run.table, call)});
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

void start(simulation& run, std::size_t count)
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
        run.members.push_back({make_node(settings, run.now), settings.peer_address});
        run.places[make_id<instance_id>(settings.peer_address)] = i;
        add_contacts(*run.members.back().control, contacts, run.now);
        const auto offset =
            duration(1ms) * FLAGS_tick_ms * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(count);
        run.events.emplace(run.now + offset, event{event::kind::tick, i, {}, {}});
    }
}

void handle(simulation& run, event& next)
{
    node& control = *run.members[next.to].control;
    node_output out;
    const double before = run.counting ? processor_seconds() : 0;
    if (next.what == event::kind::tick) {
        tick(control, run.now, run.now.time_since_epoch() / 1ms, out);
    } else if (next.what == event::kind::message) {
        on_message(control, next.message, run.now, out);
    } else {
        on_platform_answer(control, next.answer, run.now, out);
    }
    run.busy_seconds += run.counting ? processor_seconds() - before : 0;
    send(run, next.to, out);
    if (next.what == event::kind::tick) {
        run.events.emplace(run.now + 1ms * FLAGS_tick_ms, event{event::kind::tick, next.to, {}, {}});
    }
}

void run_until(simulation& run, time_point end)
{
    while (!run.events.empty() && run.events.begin()->first <= end) {
        auto first = run.events.extract(run.events.begin());
        run.now = first.key();
        handle(run, first.mapped());
    }
    run.now = end;
}

configuration_change first_change(std::size_t count)
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

void propose(simulation& run, configuration_change change)
{
    node_output out;
    node& control = *run.members.front().control;
    const std::uint64_t expected = configuration_of(control).version;
    propose_change(control, std::move(change), expected, run.now, out);
    send(run, 0, out);
}

bool in_force_everywhere(const simulation& run, std::uint64_t version)
{
    return std::ranges::all_of(
        run.members, [&](const member& one) { return configuration_of(*one.control).version >= version; });
}

// Makes one change and runs until it is in force on the last instance.
duration time_of_change(simulation& run, int number)
{
    const time_point begin = run.now;
    const std::uint64_t version = configuration_of(*run.members.front().control).version + 1;
    configuration_change change;
    change.upserts.emplace_back(customer_object{"changed", 100 + number, 100});
    propose(run, change);
    while (!in_force_everywhere(run, version) && run.now - begin < 30s) {
        run_until(run, run.now + 10ms);
    }
    return run.now - begin;
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
    std::map<std::string, double> bytes_by_message; ///< Bytes a second for each instance.
};

figures measure(std::size_t count)
{
    const std::size_t heap_before = mallinfo2().uordblks;
    simulation run;
    run.now = time_point(1s);
    start(run, count);
    run_until(run, run.now + 3s);
    propose(run, first_change(count));
    run_until(run, run.now + 1s * FLAGS_settle_seconds);
    figures found;
    found.instances = count;
    found.heap_mb =
        static_cast<double>(mallinfo2().uordblks - heap_before) / static_cast<double>(count) / 1e6;
    const std::uint64_t reads = run.table.reads;
    const time_point begin = run.now;
    run.counting = true;
    int number = 0;
    while (run.now - begin < 1s * FLAGS_seconds) {
        if (FLAGS_changes_per_second > 0) {
            const duration taken = time_of_change(run, number++);
            found.slowest_change_s =
                std::max(found.slowest_change_s, std::chrono::duration<double>(taken).count());
            run_until(run,
                      begin + duration(static_cast<std::int64_t>(1e9 * number / FLAGS_changes_per_second)));
        } else {
            run_until(run, run.now + 1s);
        }
    }
    const double seconds = std::chrono::duration<double>(run.now - begin).count();
    const double node_seconds = seconds * static_cast<double>(count);
    found.cpu_percent = 100 * run.busy_seconds / node_seconds;
    found.bytes_per_second = static_cast<double>(run.bytes) / node_seconds;
    for (const auto& [kind, bytes] : run.bytes_by_kind) {
        found.bytes_by_message[message_names.at(kind)] = static_cast<double>(bytes) / node_seconds;
    }
    found.messages_per_second = static_cast<double>(run.messages) / node_seconds;
    found.table_reads_per_second = static_cast<double>(run.table.reads - reads) / seconds;
    std::size_t authority = 0;
    for (const member& one : run.members) {
        authority += status_of(*one.control, run.now).authority ? 1 : 0;
    }
    found.with_authority = static_cast<double>(authority) / static_cast<double>(count);
    return found;
}

nlohmann::json to_json(const figures& one)
{
    return {{"instances", one.instances},
            {"cpu_percent", one.cpu_percent},
            {"bytes_per_second", one.bytes_per_second},
            {"messages_per_second", one.messages_per_second},
            {"heap_mb", one.heap_mb},
            {"table_reads_per_second", one.table_reads_per_second},
            {"slowest_change_s", one.slowest_change_s},
            {"with_authority", one.with_authority},
            {"bytes_by_message", one.bytes_by_message}};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Control cost of whole instances in one process.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    nlohmann::json all = nlohmann::json::array();
    std::cout << std::fixed << std::setprecision(3) << std::setw(10) << "instances" << std::setw(10)
              << "cpu_%" << std::setw(12) << "bytes/s" << std::setw(10) << "msg/s" << std::setw(10)
              << "heap_MB" << std::setw(12) << "reads/s" << std::setw(12) << "change_s" << std::setw(10)
              << "authority\n";
    std::istringstream sizes(FLAGS_instances);
    for (std::string size; std::getline(sizes, size, ',');) {
        const figures one = measure(std::stoul(size));
        std::cout << std::setw(10) << one.instances << std::setw(10) << one.cpu_percent << std::setw(12)
                  << one.bytes_per_second << std::setw(10) << one.messages_per_second << std::setw(10)
                  << one.heap_mb << std::setw(12) << one.table_reads_per_second << std::setw(12)
                  << one.slowest_change_s << std::setw(10) << one.with_authority << "\n"
                  << std::flush;
        for (const auto& [name, bytes] : one.bytes_by_message) {
            std::cout << "    " << name << " " << bytes << " bytes/s\n";
        }
        all.push_back(to_json(one));
    }
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << all.dump(1) << "\n";
    }
    return 0;
}
