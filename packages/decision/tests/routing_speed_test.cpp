#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>

#include "camphorknot/routing.hpp"

namespace {
std::size_t allocation_count = 0; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)
} // namespace

// Counts the allocations of the whole test program. The count is only read around choices.
void* operator new(std::size_t size)
{
    ++allocation_count;
    if (void* memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc{};
}
void* operator new(std::size_t size, const std::nothrow_t&) noexcept
{
    ++allocation_count;
    return std::malloc(size);
}
void operator delete(void* memory) noexcept
{
    std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

using namespace camphorknot;
using namespace std::chrono_literals;

namespace {

struct speed {
    double median_ns = 0;
    double p95_ns = 0;
    std::size_t allocations = 0;
};

// Keeps part of the slots in use, so that some choices have to skip full targets.
speed measure(int target_count, int region_count, int choices)
{
    const service_object service{.name = "catalogue", .routes = {}, .active_version = "v1"};
    std::vector<target_object> targets;
    targets.reserve(static_cast<std::size_t>(target_count));
    for (int i = 0; i < target_count; ++i) {
        targets.push_back({"t" + std::to_string(i), "catalogue", "v1", "r" + std::to_string(i % region_count),
                           "d" + std::to_string(i % (2 * region_count)), 3});
    }
    time_point now{1000s};
    router state = make_router({.region = make_id<region_id>("r0"), .seed = 3}, now);
    set_targets(state, std::span(&service, 1), targets, now);
    routing_request request{.service = make_id<service_id>("catalogue"), .timeout = 10s};
    const region_permit permit = [](service_id, region_id) { return true; };
    std::vector<target_choice> taken;
    taken.reserve(static_cast<std::size_t>(choices));
    const std::size_t max_held = static_cast<std::size_t>(target_count / region_count) / 2 + 1;
    std::size_t released = 0;
    const std::size_t before = allocation_count;
    std::vector<duration> times(static_cast<std::size_t>(choices));
    const std::size_t allocated_here = allocation_count - before;
    for (int i = 0; i < choices; ++i) {
        now += 100us;
        request.deadline = now + 10s;
        const auto begin = std::chrono::steady_clock::now();
        const routing_answer answer = choose_target(state, request, permit, now);
        times[static_cast<std::size_t>(i)] = std::chrono::steady_clock::now() - begin;
        if (answer.choice) {
            taken.push_back(*answer.choice);
        }
        if (taken.size() - released > max_held) {
            on_attempt_end(
                state, {.target = taken[released].target, .service = request.service, .latency = 20ms}, now);
            ++released;
        }
    }
    const std::size_t allocations = allocation_count - before - allocated_here;
    // Quantiles, since a choice that the scheduler interrupted is no measure of the code. The 95th percentile
    // covers a slower path that only some choices take.
    std::sort(times.begin(), times.end());
    const auto at = [&](std::size_t percent) {
        return static_cast<double>(times[times.size() * percent / 100].count());
    };
    return {at(50), at(95), allocations};
}

} // namespace

TEST_CASE("routing: a choice does not allocate and its time does not grow with the targets",
          "[routing][speed]")
{
    // Guards against a scan of all targets, or an allocation, on the request path. The bound is generous,
    // since other programs may share the machine; the printed figures are more precise.
    for (const auto& [targets, regions] :
         {std::pair{12, 1}, {48, 3}, {48, 1}, {350, 21}, {1400, 1}, {1400, 21}}) {
        const speed measured = measure(targets, regions, 50'000);
        std::printf("choice: %4d targets in %2d regions: median %.0f ns, p95 %.0f ns\n", targets, regions,
                    measured.median_ns, measured.p95_ns);
        CHECK(measured.allocations == 0);
        CHECK(measured.p95_ns < 2000);
    }
}
