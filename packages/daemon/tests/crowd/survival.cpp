#include "survival.hpp"

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

namespace crowd_tests {
namespace {

// For the process to read what the kernel's buffers hold; only their sum shows the memory that is needed.
constexpr std::chrono::seconds read_time(1);

} // namespace

void check_bounds(const process_fixture& process, const survival_bounds& bounds)
{
    REQUIRE(process.is_alive());
    const process_usage seen = process.usage();
    WARN("VmHWM " << seen.peak_resident_kb << " kB, VmRSS " << seen.resident_kb << " kB, " << seen.descriptors
                  << " descriptors");
    CHECK(seen.resident_kb <= bounds.resident_kb);
    CHECK(seen.peak_resident_kb <= bounds.resident_kb);
    CHECK(seen.descriptors <= bounds.descriptors);
}

void check_survival(const process_fixture& process, const survival_bounds& bounds)
{
    std::this_thread::sleep_for(read_time);
    check_bounds(process, bounds);
    CHECK(process.serves_ordinary_request());
    check_bounds(process, bounds);
}

} // namespace crowd_tests
