#include <catch2/catch.hpp>

#include "camphorknot/steering.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct table_fixture {
    connection_table table{3};
    time_point now{std::chrono::hours(1)};

    std::uint64_t add()
    {
        const connection_admission admission = add_connection(table, now);
        REQUIRE(admission.id);
        return *admission.id;
    }

    // Returns the id of a connection that is idle after a request.
    std::uint64_t add_known()
    {
        const std::uint64_t id = add();
        set_phase(table, id, connection_phase::busy, now);
        set_phase(table, id, connection_phase::idle, now);
        return id;
    }
};

} // namespace

TEST_CASE("connection table: a silent connection is closed before one that is idle after a request")
{
    table_fixture fixture;
    const std::uint64_t known = fixture.add_known();
    fixture.now += milliseconds(10);
    const std::uint64_t silent = fixture.add();
    fixture.add();
    fixture.now += seconds(2);
    CHECK(add_connection(fixture.table, fixture.now).closed == silent);
    CHECK(add_connection(fixture.table, fixture.now).closed != known);
    CHECK(add_connection(fixture.table, fixture.now).closed == known);
}

TEST_CASE("connection table: a connection is not closed while its request is read and makes progress")
{
    table_fixture fixture;
    const std::uint64_t uploading = fixture.add();
    for (int number = 0; number < 2; ++number) {
        set_phase(fixture.table, fixture.add(), connection_phase::busy, fixture.now);
    }
    for (int step = 0; step < 10; ++step) {
        fixture.now += milliseconds(900);
        set_phase(fixture.table, uploading, connection_phase::reading, fixture.now);
        CHECK_FALSE(add_connection(fixture.table, fixture.now).id);
    }
    fixture.now += milliseconds(1100);
    CHECK(add_connection(fixture.table, fixture.now).closed == uploading);
}

TEST_CASE("connection table: a refused connection leaves no trace, and a closed one makes room once")
{
    table_fixture fixture;
    std::vector<std::uint64_t> busy;
    for (int number = 0; number < 3; ++number) {
        busy.push_back(fixture.add());
        set_phase(fixture.table, busy.back(), connection_phase::busy, fixture.now);
    }
    CHECK_FALSE(add_connection(fixture.table, fixture.now).id);
    set_phase(fixture.table, busy.front(), connection_phase::idle, fixture.now);
    CHECK(add_connection(fixture.table, fixture.now).closed == busy.front());
    CHECK_FALSE(add_connection(fixture.table, fixture.now).id);
    for (const std::uint64_t id : busy) {
        remove_connection(fixture.table, id);
    }
    CHECK(fixture.table.connections.size() == 1);
    CHECK(fixture.table.closing == 0);
}

// Guards against limits that together use up the descriptors.
TEST_CASE("connection table: the limits leave descriptors for files and for targets")
{
    for (const std::size_t descriptors : {300, 700, 1024, 4100, 1'000'000}) {
        const connection_limits limits = limits_of_machine(descriptors, 260);
        const std::size_t sum =
            limits.callers + limits.lookups + limits.readiness + limits.metrics + limits.peers;
        CAPTURE(descriptors, sum);
        CHECK(sum <= descriptors - descriptors / 8);
    }
    CHECK(limits_of_machine(4100, 112).callers == 2500);
    CHECK(limits_of_machine(4100, 32).callers < 1000);
}
