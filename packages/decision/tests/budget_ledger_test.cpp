#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>

#include "camphorknot/budget.hpp"

using namespace camphorknot;
using namespace std::chrono_literals;

namespace {

constexpr budget_id customer{4};
constexpr budget_id region_load{5};
constexpr duration increase_delay = 5s;
const time_point start{1000s};
const time_point ready = start + 20s; ///< After the wait that follows a start.

instance_id id_of(std::uint64_t number)
{
    return instance_id{number};
}

budget_ledger make_owner(std::uint64_t number, std::uint64_t owners, time_point now)
{
    ledger_settings settings;
    settings.self = id_of(number);
    settings.region = region_id{1};
    settings.failure_domain = failure_domain_id{1};
    settings.clock_error_permille = 0;
    settings.loan_term = 2s;
    budget_ledger ledger = make_ledger(settings, 1, now);
    std::vector<allocation_slot> slots;
    for (std::uint64_t i = 1; i <= owners; ++i) {
        slots.push_back({id_of(i), region_id{1}});
    }
    set_owners(ledger, slots, {}, 0s, now);
    const std::int64_t share = 100'000;
    const auto total = share * static_cast<std::int64_t>(owners);
    set_total(ledger, {customer, budget_kind::rate, {total, total, 0}}, 0s, now);
    set_total(ledger, {region_load, budget_kind::in_flight, {0, total / 10, 0}}, 0s, now);
    allow_own_allocation(ledger, true, now);
    return ledger;
}

std::vector<member_record> live_members(std::uint64_t count)
{
    std::vector<member_record> live(count);
    for (std::uint64_t i = 0; i < count; ++i) {
        live[i].instance = id_of(i + 1);
        live[i].number = 1;
        live[i].region = region_id{i % 21 + 1};
        live[i].failure_domain = failure_domain_id{i % 61 + 1};
    }
    return live;
}

/// Two owners; the first has callers and borrows from the second.
struct pair_of_ledgers {
    std::vector<member_record> live = live_members(2);
    budget_ledger borrower = make_owner(1, 2, start);
    budget_ledger lender = make_owner(2, 2, start);
    pair_of_ledgers()
    {
        outbox ignored;
        tick(borrower, live, ready - 5s, ignored);
        tick(lender, live, ready - 5s, ignored);
    }
    /// Callers ask for more than the own allocation. @return the loan requests.
    outbox ask(time_point now, budget_id budget = customer)
    {
        for (int i = 0; i < 150; ++i) {
            try_take(*find_account(borrower, budget), 1000, now);
        }
        outbox out;
        tick(borrower, live, now, out);
        return out;
    }
    outbox deliver(budget_ledger& to, const outbox& messages, time_point now)
    {
        outbox out;
        for (const envelope& message : messages) {
            if (message.to == to.settings.self) {
                on_message(to, message, now, out);
            }
        }
        return out;
    }
    void lend(time_point now, budget_id budget = customer)
    {
        deliver(borrower, deliver(lender, ask(now, budget), now), now);
    }
    std::int64_t usable_sum(time_point borrower_now, time_point lender_now)
    {
        return usable(borrower, customer, borrower_now).rate_per_second +
               usable(lender, customer, lender_now).rate_per_second;
    }
};

std::int64_t take_all(budget_account& account, time_point now)
{
    std::int64_t taken = 0;
    while (try_take(account, 1000, now).admitted) {
        ++taken;
    }
    return taken;
}

} // namespace

TEST_CASE("budget: the lender deducts before the grant leaves it", "[budget]")
{
    // Guards against double use while a grant is on its way or lost.
    pair_of_ledgers two;
    const auto before = usable(two.lender, customer, ready);
    const outbox grants = two.deliver(two.lender, two.ask(ready), ready);
    REQUIRE(!grants.empty());
    const auto& granted = std::get<loan_grant>(grants.front().body).granted;
    CHECK(granted.rate_per_second > 0);
    CHECK(granted.tokens > 0);
    const auto after = usable(two.lender, customer, ready);
    CHECK(after.rate_per_second == before.rate_per_second - granted.rate_per_second);
    CHECK(after.burst == before.burst - granted.burst);
    CHECK(after.tokens == before.tokens - granted.tokens);
}

TEST_CASE("budget: the term counts from the request, by each clock", "[budget]")
{
    // Guards against a borrower that uses a loan after its lender took it back. The borrower's clock is 5%
    // slow and the lender's 5% fast, and the grant arrives late.
    pair_of_ledgers two;
    const duration grant_delay = GENERATE(0ms, 1500ms);
    const outbox grants = two.deliver(two.lender, two.ask(ready), ready);
    const auto slow = [](duration real) { return ready + real * 95 / 100; };
    const auto fast = [](duration real) { return ready + real * 105 / 100; };
    two.deliver(two.borrower, grants, slow(grant_delay));
    CHECK(usable(two.borrower, customer, slow(grant_delay)).rate_per_second > 100'000);
    bool ended = false;
    for (duration real = grant_delay; real < 4s; real += 1ms) {
        outbox ignored;
        tick(two.lender, two.live, fast(real), ignored);
        REQUIRE(two.usable_sum(slow(real), fast(real)) <= 200'000);
        ended = ended || two.usable_sum(slow(real), fast(real)) == 200'000;
    }
    CHECK(ended);
    CHECK(usable(two.borrower, customer, slow(2200ms)).rate_per_second == 100'000);
}

TEST_CASE("budget: a loan ends at its term without the control thread", "[budget]")
{
    // Guards against a stalled control thread while traffic threads go on.
    pair_of_ledgers two;
    two.lend(ready);
    const auto account = find_account(two.borrower, customer);
    CHECK(take_all(*account, ready + 1999ms) > 100);
    CHECK(take_all(*account, ready + 2000ms) == 0);
    CHECK(take_all(*account, ready + 12s) == 100);
}

TEST_CASE("budget: a repeated, late or foreign grant extends no loan", "[budget]")
{
    // Guards against an old answer that is taken for the answer to a newer request.
    pair_of_ledgers two;
    const outbox grants = two.deliver(two.lender, two.ask(ready), ready);
    two.deliver(two.borrower, grants, ready);
    const outbox renewals = two.ask(ready + 1100ms);
    REQUIRE(std::any_of(renewals.begin(), renewals.end(), [](const envelope& message) {
        const auto* request = std::get_if<loan_request>(&message.body);
        return request != nullptr && request->round == 1;
    }));
    two.deliver(two.borrower, grants, ready + 1200ms);
    CHECK(usable(two.borrower, customer, ready + 2000ms).rate_per_second == 100'000);
}

TEST_CASE("budget: a return that arrives twice creates no tokens", "[budget]")
{
    pair_of_ledgers two;
    const outbox requests = two.ask(ready);
    const outbox grants = two.deliver(two.lender, requests, ready);
    two.deliver(two.borrower, grants, ready);
    outbox returns;
    hand_over(two.borrower, two.live, ready, returns);
    REQUIRE(std::holds_alternative<loan_return>(returns.front().body));
    two.deliver(two.lender, returns, ready);
    CHECK(usable(two.lender, customer, ready).rate_per_second == 100'000);
    take_all(*find_account(two.lender, customer), ready);
    // The request comes again and opens the loan once more; the old return ends it.
    two.deliver(two.lender, requests, ready);
    two.deliver(two.lender, returns, ready);
    two.deliver(two.lender, returns, ready);
    CHECK(usable(two.lender, customer, ready).tokens < 1000);
    CHECK(usable(two.lender, customer, ready).rate_per_second <= 100'000);
}

TEST_CASE("budget: a grant that comes after its loan ended brings no tokens back", "[budget]")
{
    // Guards against tokens that are spent by the borrower and then returned once more.
    pair_of_ledgers two;
    const outbox grants = two.deliver(two.lender, two.ask(ready), ready);
    two.deliver(two.borrower, grants, ready);
    take_all(*find_account(two.borrower, customer), ready);
    outbox out;
    tick(two.borrower, two.live, ready + 2010ms, out);
    const std::int64_t before = usable(two.lender, customer, ready + 2100ms).tokens;
    two.deliver(two.lender, two.deliver(two.borrower, grants, ready + 2100ms), ready + 2100ms);
    CHECK(usable(two.lender, customer, ready + 2100ms).rate_per_second == 100'000);
    CHECK(usable(two.lender, customer, ready + 2100ms).tokens == before);
}

TEST_CASE("budget: a new process starts empty and without what it could have lent", "[budget]")
{
    // Guards against use of an allocation that the process before has lent.
    budget_ledger ledger = make_owner(2, 2, start);
    const auto live = live_members(2);
    outbox out;
    for (duration since = 0ms; since < 2220ms; since += 20ms) {
        tick(ledger, live, start + since, out);
        REQUIRE(usable(ledger, customer, start + since).rate_per_second == 0);
        REQUIRE(usable(ledger, region_load, start + since).burst <= 3'000);
    }
    tick(ledger, live, start + 2220ms, out);
    CHECK(usable(ledger, customer, start + 2220ms).rate_per_second == 100'000);
    CHECK(usable(ledger, customer, start + 2220ms).tokens == 0);
    tick(ledger, live, start + 14s, out);
    CHECK(usable(ledger, region_load, start + 14s).burst == 10'000);
}

TEST_CASE("budget: a lent permit in use beyond its term is not used twice", "[budget]")
{
    // Guards against more running requests than the region's limit when a borrower falls silent (P2).
    pair_of_ledgers two;
    two.lend(ready, region_load);
    const auto account = find_account(two.borrower, region_load);
    const std::int64_t running = 10 + take_all(*account, ready + 1s); // 10 run since before the loan.
    CHECK(running > 10);
    const auto lender_account = find_account(two.lender, region_load);
    std::int64_t by_lender = 0;
    for (duration later = 1s; later < 10s; later += 100ms) {
        outbox ignored;
        tick(two.lender, two.live, ready + later, ignored);
        by_lender += take_all(*lender_account, ready + later);
        REQUIRE(running + by_lender <= 20);
    }
    CHECK(take_all(*account, ready + 3s) == 0);
    outbox ignored;
    tick(two.lender, two.live, ready + 14s, ignored);
    CHECK(by_lender + take_all(*lender_account, ready + 14s) == 10);
}

TEST_CASE("budget: lent permits are returned only when the running work fits without them", "[budget]")
{
    // Guards against a lender that uses permits again that are still in use at the borrower (P2).
    pair_of_ledgers two;
    const outbox grants = two.deliver(two.lender, two.ask(ready, region_load), ready);
    two.deliver(two.borrower, grants, ready);
    const auto account = find_account(two.borrower, region_load);
    const std::int64_t running = 10 + take_all(*account, ready);
    outbox recall = grants;
    std::get<loan_grant>(recall.front().body).recall = loan_recall::always;
    const auto returned = [](const outbox& messages) {
        return std::any_of(messages.begin(), messages.end(), [](const envelope& message) {
            return std::holds_alternative<loan_return>(message.body);
        });
    };
    CHECK(!returned(two.deliver(two.borrower, recall, ready + 1s)));
    CHECK(!try_take(*account, 1000, ready + 1s).admitted);
    outbox out;
    tick(two.borrower, two.live, ready + 3s, out);
    CHECK(!returned(out));
    for (std::int64_t i = 10; i < running; ++i) {
        give_back(*account, 1000);
    }
    tick(two.borrower, two.live, ready + 4s, out);
    CHECK(returned(out));
}

TEST_CASE("budget: totals and owners shrink at once and grow after the delay", "[budget]")
{
    budget_ledger ledger = make_owner(1, 2, start);
    const auto live = live_members(2);
    outbox out;
    tick(ledger, live, ready, out);
    set_total(ledger, {customer, budget_kind::rate, {100'000, 100'000, 0}}, increase_delay, ready);
    CHECK(usable(ledger, customer, ready).rate_per_second == 50'000);
    set_total(ledger, {customer, budget_kind::rate, {400'000, 400'000, 0}}, increase_delay, ready);
    tick(ledger, live, ready + 4900ms, out);
    CHECK(usable(ledger, customer, ready + 4900ms).rate_per_second == 50'000);
    tick(ledger, live, ready + 5s, out);
    CHECK(usable(ledger, customer, ready + 5s).rate_per_second == 200'000);

    const std::vector<allocation_slot> slots = {{id_of(1), region_id{1}}, {id_of(2), region_id{1}}};
    const std::vector<allocation_owner> taken_over = {{id_of(2), id_of(1)}};
    set_owners(ledger, slots, taken_over, increase_delay, ready + 5s);
    tick(ledger, live, ready + 9900ms, out);
    CHECK(usable(ledger, customer, ready + 9900ms).rate_per_second == 200'000);
    tick(ledger, live, ready + 10s, out);
    CHECK(usable(ledger, customer, ready + 10s).rate_per_second == 400'000);
    set_owners(ledger, slots, {}, increase_delay, ready + 11s);
    CHECK(usable(ledger, customer, ready + 11s).rate_per_second == 200'000);
}

TEST_CASE("budget: nothing is admitted or lent without authority or permission", "[budget]")
{
    // Guards against a paused process that wakes after its allocation went to another owner.
    pair_of_ledgers two;
    set_authority_until(two.lender, ready + 1s);
    CHECK(try_take(*find_account(two.lender, customer), 1000, ready + 999ms).admitted);
    CHECK(!try_take(*find_account(two.lender, customer), 1000, ready + 1s).admitted);
    const outbox grants = two.deliver(two.lender, two.ask(ready + 1s), ready + 1s);
    CHECK(std::get<loan_grant>(grants.front().body).granted == budget_amount{});
    allow_own_allocation(two.borrower, false, ready + 1s);
    CHECK(take_all(*find_account(two.borrower, customer), ready + 9s) == 0);
}

TEST_CASE("budget: loans of a process that was proved stopped end on both sides", "[budget]")
{
    pair_of_ledgers two;
    two.lend(ready);
    on_proved_stopped(two.borrower, id_of(2), 1, ready + 1s);
    CHECK(usable(two.borrower, customer, ready + 1s).rate_per_second == 100'000);
    on_proved_stopped(two.lender, id_of(1), 1, ready + 1s);
    CHECK(usable(two.lender, customer, ready + 1s).rate_per_second == 100'000);
}

TEST_CASE("budget: traffic threads together take no more than the account has", "[budget]")
{
    budget_ledger ledger = make_owner(1, 1, start);
    outbox out;
    tick(ledger, live_members(1), ready, out);
    const auto account = find_account(ledger, customer);
    std::atomic<std::int64_t> admitted = 0;
    std::array<std::thread, 4> threads;
    for (std::thread& thread : threads) {
        thread = std::thread([&] { admitted += take_all(*account, ready + 1s); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    CHECK(admitted == 100);
}

TEST_CASE("budget: idle budgets send nothing, and one round trip serves callers at one instance", "[budget]")
{
    // Guards against work or messages that grow with the number of budgets or instances (2,400 of them).
    constexpr std::uint64_t owners = 8;
    std::vector<budget_ledger> fleet;
    const auto live = live_members(2400);
    outbox out;
    for (std::uint64_t i = 1; i <= owners; ++i) {
        fleet.push_back(make_owner(i, owners, start));
        for (std::uint64_t budget = 100; budget < 3100; ++budget) {
            set_total(fleet.back(), {budget_id{budget}, budget_kind::rate, {100'000, 100'000, 0}}, 0s, start);
        }
        tick(fleet.back(), live, ready, out);
        tick(fleet.back(), live, ready + 2s, out);
    }
    CHECK(out.empty());
    for (int i = 0; i < 500; ++i) {
        try_take(*find_account(fleet[0], customer), 1000, ready + 2s);
    }
    tick(fleet[0], live, ready + 2s, out);
    outbox grants;
    for (const envelope& request : std::exchange(out, {})) {
        on_message(fleet[request.to.value - 1], request, ready + 2s, grants);
    }
    for (const envelope& grant : grants) {
        on_message(fleet[0], grant, ready + 2s, out);
    }
    CHECK(grants.size() == owners - 1);
    CHECK(usable(fleet[0], customer, ready + 2s).rate_per_second == 800'000);
}
