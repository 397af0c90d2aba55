#include <catch2/catch.hpp>

#include "camphorknot/steering.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = 1024 * kb;
constexpr time_point start{std::chrono::hours(1)};

// A machine of 112 MB and the messages of a test.
struct memory_fixture {
    message_memory memory;
    time_point now = start;

    memory_fixture() { memory.budget = budget_of_machine(112); }

    std::uint64_t add(message_kind kind = message_kind::request) { return add_message(memory, kind, now); }

    bool resize(std::uint64_t id, std::size_t bytes)
    {
        return resize_message(memory, id, bytes, now).granted;
    }

    // Returns the id of a request with this reservation.
    std::uint64_t hold(std::size_t bytes)
    {
        const std::uint64_t id = add();
        REQUIRE(resize(id, bytes));
        return id;
    }

    std::size_t held_bytes() const { return memory.ordinary_bytes + memory.small_bytes + memory.large_bytes; }
};

} // namespace

TEST_CASE("message memory: the smallest machine holds one body of the largest legal size and small ones")
{
    memory_fixture fixture;
    fixture.hold(64 * mb);
    for (int number = 0; number < 500; ++number) {
        fixture.hold(16 * kb);
    }
    CHECK(fixture.held_bytes() <= 75 * mb);
}

// Guards against large bodies that take the part for small ones.
TEST_CASE("message memory: large bodies that make progress leave room for small ones")
{
    memory_fixture fixture;
    for (int number = 0; number < 100; ++number) {
        fixture.resize(fixture.add(), 8 * mb);
    }
    CHECK(fixture.memory.large_bytes == 64 * mb);
    CHECK(fixture.resize(fixture.add(), fixture.memory.budget.small_message));
    CHECK_FALSE(fixture.resize(fixture.add(), 2 * mb));
}

// Guards against a crowd of large heads, none of which is a large message, that leaves no room for others.
TEST_CASE("message memory: small messages leave room for ordinary ones")
{
    memory_fixture fixture;
    for (int number = 0; number < 2000; ++number) {
        const std::uint64_t id = fixture.add();
        fixture.resize(id, 170 * kb);
        complete_message(fixture.memory, id);
    }
    CHECK_FALSE(fixture.resize(fixture.add(), 170 * kb));
    for (int number = 0; number < 290; ++number) {
        CHECK(fixture.resize(fixture.add(), 16 * kb));
    }
}

TEST_CASE("message memory: the body without progress for longest is given up first")
{
    memory_fixture fixture;
    const std::uint64_t stalled_later = fixture.hold(30 * mb);
    const std::uint64_t stalled = fixture.hold(30 * mb);
    fixture.now += milliseconds(100);
    record_progress(fixture.memory, stalled_later, mb, fixture.now);
    record_progress(fixture.memory, stalled, 1, fixture.now); // Too little to count.
    fixture.now += milliseconds(950);
    const room_decision decision = resize_message(fixture.memory, fixture.add(), 30 * mb, fixture.now);
    CHECK(decision.granted);
    CHECK(decision.given_up == std::vector{stalled});
    CHECK(is_given_up(fixture.memory, stalled));
    CHECK_FALSE(is_given_up(fixture.memory, stalled_later));
    CHECK_FALSE(fixture.resize(stalled, 0)); // Its bytes belong to another.
}

TEST_CASE("message memory: nothing is given up for a message that does not fit afterwards")
{
    memory_fixture fixture;
    const std::uint64_t complete = fixture.hold(40 * mb);
    complete_message(fixture.memory, complete);
    const std::uint64_t stalled = fixture.hold(20 * mb);
    fixture.now += std::chrono::seconds(10);
    CHECK_FALSE(fixture.resize(fixture.add(), 60 * mb));
    CHECK_FALSE(is_given_up(fixture.memory, stalled));
    CHECK(fixture.resize(fixture.add(), 20 * mb));
    CHECK(is_given_up(fixture.memory, stalled));
}

// Guards against answers, for which a target has worked, that are dropped for requests that were not sent
// yet.
TEST_CASE("message memory: an answer takes the room of a request that is still read")
{
    memory_fixture fixture;
    const std::uint64_t reading = fixture.hold(60 * mb);
    CHECK(fixture.resize(fixture.add(message_kind::answer), 30 * mb));
    CHECK(is_given_up(fixture.memory, reading));
    CHECK_FALSE(fixture.resize(fixture.add(), 60 * mb));
}

namespace {

// Random arrivals, pieces, ends and stalls.
struct random_crowd : memory_fixture {
    random_source random;
    std::vector<std::uint64_t> open;

    std::size_t random_size()
    {
        const bool is_small = uniform_real(random) < 0.7;
        const double limit = is_small ? 100.0 * 1024 : 64.0 * mb;
        return static_cast<std::size_t>(uniform_real(random) * limit);
    }

    std::uint64_t& random_open()
    {
        return open.at(static_cast<std::size_t>(uniform_real(random) * static_cast<double>(open.size())));
    }

    void drop(std::uint64_t id)
    {
        remove_message(memory, id);
        std::erase(open, id);
    }

    void arrive()
    {
        const std::size_t size = random_size();
        const bool is_answer = uniform_real(random) < 0.2;
        const memory_budget& budget = memory.budget;
        const std::size_t after = memory.ordinary_bytes + memory.small_bytes + size;
        const bool is_ordinary = size <= budget.ordinary_message;
        const bool must_fit = is_ordinary ? after <= budget.kept_for_small
                                          : size <= budget.small_message &&
                                                after <= budget.kept_for_small - budget.kept_for_ordinary;
        const std::uint64_t id = add(is_answer ? message_kind::answer : message_kind::request);
        open.push_back(id);
        const bool granted = resize(id, size);
        CHECK((granted || !must_fit));
        if (!granted) {
            drop(id);
        }
    }

    void step()
    {
        now += milliseconds(static_cast<int>(uniform_real(random) * 40));
        const double kind = uniform_real(random);
        if (open.empty() || kind < 0.4) {
            arrive();
        } else if (kind < 0.6) {
            record_progress(memory, random_open(), random_size(), now);
        } else if (kind < 0.75) {
            resize(random_open(), random_size());
        } else if (kind < 0.85) {
            complete_message(memory, random_open());
        } else {
            drop(random_open());
        }
    }

    std::size_t sum_of_messages() const
    {
        std::size_t sum = 0;
        for (const auto& [id, message] : memory.messages) {
            sum += message.bytes;
        }
        return sum;
    }
};

} // namespace

TEST_CASE("message memory: random crowds never exceed the budget, and nothing leaks")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        random_crowd crowd;
        crowd.random.state = seed;
        for (int step = 0; step < 2000; ++step) {
            crowd.step();
            REQUIRE(crowd.held_bytes() <= crowd.memory.budget.total);
            REQUIRE(crowd.memory.large_bytes <=
                    crowd.memory.budget.total - crowd.memory.budget.kept_for_small);
            REQUIRE(crowd.memory.small_bytes + crowd.memory.large_bytes <=
                    crowd.memory.budget.total - crowd.memory.budget.kept_for_ordinary);
            REQUIRE(crowd.held_bytes() == crowd.sum_of_messages());
        }
        while (!crowd.open.empty()) {
            crowd.drop(crowd.open.back());
        }
        CHECK(crowd.held_bytes() == 0);
        CHECK(crowd.memory.messages.empty());
    }
}
