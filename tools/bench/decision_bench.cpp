/// @file
/// Measures the cost of single decisions for several table sizes, up to those of the target scale.
/// --benchmark_format=json prints the results as JSON.
#include <algorithm>

#include <benchmark/benchmark.h>

#include "camphorknot/budget.hpp"
#include "camphorknot/configuration.hpp"
#include "camphorknot/keys.hpp"
#include "camphorknot/lookup.hpp"
#include "camphorknot/operations.hpp"
#include "camphorknot/routing.hpp"

namespace {

using namespace camphorknot;

constexpr std::uint64_t seed = 11;
constexpr std::size_t target_blocks = 140'000;
constexpr std::size_t target_sites = 1'400;

time_point time_at_ms(std::int64_t milliseconds)
{
    return time_point(std::chrono::milliseconds(milliseconds));
}

// Random blocks with prefix lengths of 20 to 24 bits, as in allocations of address space.
std::vector<client_block> make_blocks(std::size_t count)
{
    random_source random{seed};
    std::vector<client_block> blocks;
    while (blocks.size() < count) {
        const auto length = static_cast<std::uint8_t>(20 + uniform(random, 5));
        const auto network = static_cast<std::uint32_t>(random()) & (~std::uint32_t{0} << (32U - length));
        blocks.push_back({network, length, static_cast<site_set_index>(uniform(random, target_sites))});
    }
    return blocks;
}

lookup_table make_table(std::size_t count)
{
    lookup_error error{};
    const auto blocks = make_blocks(count);
    return *make_lookup_table(blocks, error);
}

void find_site_set_of_client(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const lookup_table table = make_table(count);
    const auto blocks = make_blocks(count);
    random_source random{seed};
    for (auto _ : state) {
        const client_block& block = blocks[uniform(random, blocks.size())];
        benchmark::DoNotOptimize(find_site_set(table, block.network + 1));
    }
    state.counters["bytes"] = static_cast<double>(memory_bytes(table));
}
BENCHMARK(find_site_set_of_client)->Arg(1'000)->Arg(14'000)->Arg(target_blocks);

void change_one_block(benchmark::State& state)
{
    lookup_table table = make_table(static_cast<std::size_t>(state.range(0)));
    const auto blocks = make_blocks(static_cast<std::size_t>(state.range(0)));
    random_source random{seed};
    for (auto _ : state) {
        const lookup_table published = table; // Readers may still use the table from before the change.
        client_block block = blocks[uniform(random, blocks.size())];
        block.site_set = static_cast<site_set_index>(uniform(random, target_sites));
        benchmark::DoNotOptimize(change_block(table, block));
    }
}
BENCHMARK(change_one_block)->Arg(1'000)->Arg(14'000)->Arg(target_blocks);

void find_customer_of_key(benchmark::State& state)
{
    random_source random{seed};
    std::vector<key_object> keys(static_cast<std::size_t>(state.range(0)));
    for (key_object& key : keys) {
        std::ranges::generate(key.hash, [&] { return static_cast<std::uint8_t>(random()); });
        key.customer = "customer";
    }
    const key_table table = make_key_table(keys);
    for (auto _ : state) {
        benchmark::DoNotOptimize(find_customer(table, keys[uniform(random, keys.size())].hash));
    }
}
BENCHMARK(find_customer_of_key)->Arg(8)->Arg(1'000)->Arg(100'000);

void run_operation_once(benchmark::State& state)
{
    operation_settings settings;
    settings.self = make_id<instance_id>("127.0.0.1:7101");
    settings.process_nonce = 1;
    operation_ledger ledger = make_operation_ledger(settings, time_at_ms(0));
    const customer_id customer{1};
    const route_id route{2};
    for (auto _ : state) {
        state.PauseTiming();
        if (ledger.records.size() > 100'000) {
            ledger = make_operation_ledger(settings, time_at_ms(0));
        }
        state.ResumeTiming();
        const ticket issued =
            issue_ticket(ledger, settings.self, 1, current_epoch(ledger, time_at_ms(1)), customer, route);
        benchmark::DoNotOptimize(begin_operation(ledger, issued, customer, route, time_at_ms(1)));
        finish_operation(ledger, issued, outcome::ran, 200, "ok", time_at_ms(2));
    }
}
BENCHMARK(run_operation_once);

void take_from_budget(benchmark::State& state)
{
    ledger_settings settings;
    settings.self = make_id<instance_id>("127.0.0.1:7101");
    budget_ledger ledger = make_ledger(settings, 1, time_at_ms(0));
    const std::array<allocation_slot, 1> slots = {allocation_slot{settings.self, settings.region}};
    set_owners(ledger, slots, {}, duration::zero(), time_at_ms(0));
    const budget_id budget{1};
    budget_total total{.id = budget};
    total.total = {1'000'000'000, 1'000'000'000, 0};
    total.is_new = true;
    set_total(ledger, total, duration::zero(), time_at_ms(0));
    allow_own_allocation(ledger, true, time_at_ms(0));
    outbox out;
    tick(ledger, {}, time_at_ms(1), out);
    const auto account = find_account(ledger, budget);
    std::int64_t now_us = 2'000'000;
    std::uint64_t refused = 0;
    for (auto _ : state) {
        now_us += 10;
        refused += try_take(*account, 1000, time_point(std::chrono::microseconds{now_us})).admitted ? 0 : 1;
    }
    state.counters["refused"] = static_cast<double>(refused);
}
BENCHMARK(take_from_budget);

std::vector<target_object> make_targets(std::size_t count)
{
    std::vector<target_object> targets;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string region = "region-" + std::to_string(i % 3);
        targets.push_back({"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80",
                           "service", "v1", region, region + "-a", 3});
    }
    return targets;
}

void choose_and_end(benchmark::State& state)
{
    router_settings settings;
    settings.region = make_id<region_id>("region-0");
    settings.seed = seed;
    router routes = make_router(settings, time_at_ms(0));
    service_object service;
    service.name = "service";
    service.active_version = "v1";
    service.routes = {{"get", "GET", "/service/"}};
    const auto targets = make_targets(static_cast<std::size_t>(state.range(0)));
    set_targets(routes, std::span(&service, 1), targets, time_at_ms(0));
    routing_request request;
    request.service = make_id<service_id>("service");
    request.route = route_id_of("service", "get");
    std::int64_t now_us = 60'000'000;
    std::uint64_t refused = 0;
    for (auto _ : state) {
        now_us += 250;
        const time_point now(std::chrono::microseconds{now_us});
        request.deadline = now + std::chrono::seconds(10);
        request.timeout = std::chrono::seconds(10);
        const routing_answer answer = choose_target(routes, request, {}, now);
        if (!answer.choice) {
            ++refused;
            continue;
        }
        attempt_report report;
        report.target = answer.choice->target;
        report.service = request.service;
        report.route = request.route;
        report.version = answer.choice->version;
        report.latency = std::chrono::milliseconds(5);
        on_attempt_end(routes, report, now + std::chrono::milliseconds(5));
    }
    state.counters["refused"] = static_cast<double>(refused);
}
BENCHMARK(choose_and_end)->Arg(12)->Arg(48)->Arg(350)->Arg(1'400);

} // namespace

BENCHMARK_MAIN();
