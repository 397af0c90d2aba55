#include <catch2/catch.hpp>

#include "camphorknot/operations.hpp"

using namespace camphorknot;
using namespace std::chrono_literals;

namespace {

const instance_id self = make_id<instance_id>("127.0.0.1:7101");
const auto customer = make_id<customer_id>("gullfoss-weavers");
const auto route = make_id<route_id>("seal");
constexpr std::uint64_t nonce = 77;

operation_settings settings_of_test()
{
    operation_settings settings;
    settings.self = self;
    settings.process_nonce = nonce;
    return settings;
}

struct fixture {
    time_point now{1000s};
    operation_ledger ledger = make_operation_ledger(settings_of_test(), now);
    ticket issue() { return issue_ticket(ledger, self, nonce, current_epoch(ledger, now), customer, route); }
    operation_begin begin(const ticket& presented)
    {
        return begin_operation(ledger, presented, customer, route, now);
    }
    void pass(duration time)
    {
        now += time;
        tick(ledger, now);
    }
};

} // namespace

TEST_CASE("operations: a ticket survives its text form and no other text is accepted", "[operations]")
{
    fixture f;
    const ticket issued = f.issue();
    ticket_mac mac{};
    mac[0] = 0xab;
    mac[15] = 0x01;
    const std::string text = format_ticket(issued, mac);
    const auto parsed = parse_ticket(text);
    REQUIRE(parsed.has_value());
    CHECK(ticket_fields(parsed->value) == ticket_fields(issued));
    CHECK(parsed->mac == mac);
    CHECK(text.starts_with(ticket_fields(issued)));
    // Guards against two texts for one ticket, and against reading past a short text.
    random_source random{3};
    for (int step = 0; step < 2000; ++step) {
        std::string changed = text;
        changed[uniform(random, changed.size())] = static_cast<char>(uniform(random, 256));
        const auto other = parse_ticket(changed);
        CHECK((!other || format_ticket(other->value, other->mac) == changed));
        CHECK(!parse_ticket(text.substr(0, uniform(random, text.size()))));
    }
}

TEST_CASE("operations: a repeated ticket joins or gets the record and never runs twice", "[operations]")
{
    fixture f;
    const ticket issued = f.issue();
    CHECK(f.begin(issued).step == operation_step::run);
    CHECK(f.begin(issued).step == operation_step::join);
    SECTION("ran")
    {
        finish_operation(f.ledger, issued, outcome::ran, 201, "sealed", f.now);
        const operation_begin again = f.begin(issued);
        CHECK(again.step == operation_step::repeat);
        CHECK(again.ended == outcome::ran);
        CHECK(again.answer_status == 201);
        CHECK(again.answer_body == "sealed");
        CHECK(again.body_complete);
    }
    SECTION("unknown")
    {
        finish_operation(f.ledger, issued, outcome::unknown, 0, "", f.now);
        CHECK(f.begin(issued).step == operation_step::repeat);
        CHECK(f.begin(issued).ended == outcome::unknown);
    }
    SECTION("not run")
    {
        finish_operation(f.ledger, issued, outcome::not_run, 0, "", f.now);
        CHECK(f.begin(issued).step == operation_step::run);
        CHECK(f.begin(issued).step == operation_step::join);
    }
}

TEST_CASE("operations: only the named process runs a ticket, and only for its customer", "[operations]")
{
    // Guards against a not_run from a process that cannot know (P7, P8).
    fixture f;
    const ticket issued = f.issue();
    operation_settings other = settings_of_test();
    other.process_nonce = nonce + 1;
    operation_ledger later = make_operation_ledger(other, f.now);
    const operation_begin by_later = begin_operation(later, issued, customer, route, f.now);
    CHECK(by_later.why.reason == refusal_reason::outcome_unknown);
    CHECK(by_later.why.run == outcome::unknown);
    other.self = make_id<instance_id>("127.0.0.1:7102");
    operation_ledger neighbour = make_operation_ledger(other, f.now);
    const operation_begin by_neighbour = begin_operation(neighbour, issued, customer, route, f.now);
    CHECK(by_neighbour.why.reason == refusal_reason::ticket_of_other_instance);
    CHECK(by_neighbour.why.run == outcome::unknown);

    const auto stranger = make_id<customer_id>("stranger");
    CHECK(begin_operation(f.ledger, issued, stranger, route, f.now).why.run == outcome::not_run);
    CHECK(f.begin(issued).step == operation_step::run);
    const operation_begin by_stranger = begin_operation(f.ledger, issued, stranger, route, f.now);
    CHECK(by_stranger.why.reason == refusal_reason::ticket_invalid);
    CHECK(by_stranger.why.run == outcome::unknown);

    ticket from_future = issued;
    ++from_future.epoch;
    CHECK(f.begin(from_future).why.reason == refusal_reason::ticket_invalid);
}

TEST_CASE("operations: an expired ticket says not_run only while a record would still exist", "[operations]")
{
    fixture f;
    const ticket unused = f.issue();
    const ticket used = f.issue();
    f.pass(85s);
    CHECK(f.begin(used).step == operation_step::run);
    finish_operation(f.ledger, used, outcome::ran, 200, "", f.now);
    f.pass(10s);
    CHECK(f.begin(unused).why.reason == refusal_reason::ticket_expired);
    CHECK(f.begin(unused).why.run == outcome::not_run);
    CHECK(f.begin(used).step == operation_step::repeat);
    f.pass(150s);
    CHECK(f.begin(used).step == operation_step::repeat);
    CHECK(f.begin(unused).why.run == outcome::unknown);
    f.pass(60s);
    CHECK(f.ledger.records.empty());
    CHECK(f.begin(used).why.reason == refusal_reason::ticket_expired);
    CHECK(f.begin(used).why.run == outcome::unknown);
}

TEST_CASE("operations: a running operation keeps its record beyond the longest request", "[operations]")
{
    // Guards against a second run after the record of a request that hangs was dropped.
    fixture f;
    const ticket issued = f.issue();
    f.begin(issued);
    f.pass(1000s);
    CHECK(f.begin(issued).step == operation_step::join);
    finish_operation(f.ledger, issued, outcome::ran, 200, "late", f.now);
    CHECK(f.begin(issued).answer_body == "late");
    f.pass(1000s);
    CHECK(f.ledger.records.empty());
    CHECK(f.ledger.body_bytes == 0);
}

TEST_CASE("operations: records and recorded bodies are bounded", "[operations]")
{
    operation_settings settings = settings_of_test();
    settings.record_limit = 2;
    settings.body_limit = 4;
    settings.body_memory_limit = 6;
    fixture f;
    f.ledger = make_operation_ledger(settings, f.now);
    const ticket first = f.issue();
    const ticket second = f.issue();
    f.begin(first);
    f.begin(second);
    const operation_begin third = f.begin(f.issue());
    CHECK(third.why.reason == refusal_reason::instance_busy);
    CHECK(third.why.run == outcome::not_run);
    finish_operation(f.ledger, first, outcome::ran, 200, "longer", f.now);
    CHECK(f.begin(first).answer_body == "long");
    CHECK(!f.begin(first).body_complete);
    finish_operation(f.ledger, second, outcome::ran, 200, "body", f.now);
    CHECK(f.begin(second).ended == outcome::ran);
    CHECK(!f.begin(second).body_complete);
}
