#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "camphorknot/rollout.hpp"

using namespace camphorknot;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};
constexpr unix_milliseconds wall_start = 1'000'000;

const service_object service{.name = "proofview", .routes = {}, .active_version = "v1"};
const auto service_name = make_id<service_id>("proofview");
const auto old_version = make_id<version_id>("v1");
const auto new_version = make_id<version_id>("v2");
const auto move_name = make_id<move_id>("to-v2");
const auto open_route = make_id<route_id>("open");

move_object make_rollout(std::int64_t seconds = 120)
{
    return {.name = "to-v2",
            .kind = move_kind::rollout,
            .service = "proofview",
            .version = "v2",
            .targets = {},
            .deadline = wall_start + seconds * 1000};
}

move_state at_share(std::uint32_t share, std::uint32_t step, std::uint64_t row,
                    move_stage stage = move_stage::running)
{
    return {.id = move_name, .stage = stage, .share_percent = share, .step = step, .row_version = row};
}

rollout_state make_state(int index)
{
    return make_rollout_state(make_id<instance_id>("i" + std::to_string(index)),
                              static_cast<std::uint64_t>(index));
}

std::vector<member_record> make_live(int count)
{
    std::vector<member_record> live(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        live[static_cast<std::size_t>(i)].instance = make_id<instance_id>("i" + std::to_string(i));
        live[static_cast<std::size_t>(i)].number = 1;
        live[static_cast<std::size_t>(i)].region = make_id<region_id>("r" + std::to_string(i % 3));
    }
    return live;
}

void count(rollout_state& state, version_id version, int requests, int failures, time_point now)
{
    for (int i = 0; i < requests; ++i) {
        count_outcome(state, service_name, open_route, version, i < failures, 10ms, 1, now);
    }
}

} // namespace

TEST_CASE("rollout: the share counter never gives the new version more than its share", "[rollout]")
{
    // Guards P5: new <= share * total + 1 at every moment; a share drawn by chance breaks it.
    const auto worst_excess = [](bool counter) {
        double worst = 0;
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            rollout_state state = make_rollout_state(make_id<instance_id>("i"), seed);
            state.enabled.share_counter = counter;
            set_move(state, make_rollout(), at_share(5, 2, 1), start);
            int chosen = 0;
            for (int total = 1; total <= 2000; ++total) {
                chosen += choose_version(state, service, start) == new_version ? 1 : 0;
                worst = std::max(worst, chosen - 0.05 * total);
            }
            CHECK(chosen > 40);
        }
        return worst;
    };
    CHECK(worst_excess(true) <= 1.0 + 1e-6);
    CHECK(worst_excess(false) > 1.5);
}

TEST_CASE("rollout: callers that already saw the new version use up its share", "[rollout]")
{
    // Guards P5: read-your-writes sends requests there that the counter did not choose.
    rollout_state state = make_state(0);
    set_move(state, make_rollout(), at_share(10, 3, 1), start);
    count(state, new_version, 30, 0, start);
    int chosen = 0;
    for (int i = 0; i < 300; ++i) {
        chosen += choose_version(state, service, start) == new_version ? 1 : 0;
    }
    CHECK(chosen <= 1);
}

TEST_CASE("rollout: a stopped version gets nothing, and the reason is written", "[rollout]")
{
    // Guards P5: after the fact is known, not one request more.
    rollout_state state = make_state(0);
    const auto live = make_live(1);
    outbox out;
    set_move(state, make_rollout(), at_share(50, 5, 1), start);
    time_point now = start;
    std::vector<fact> stops;
    for (int round = 0; round < 40 && stops.empty(); ++round, now += 250ms) {
        count(state, old_version, 50, 0, now);
        count(state, new_version, 50, 25, now);
        stops = tick(state, live, now, out);
    }
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].subject == new_version.value);
    CHECK(stops[0].detail == service_name.value);
    CHECK(now - start < 2s);
    for (int i = 0; i < 100; ++i) {
        CHECK(choose_version(state, service, now) == old_version);
    }
    const auto next = next_state(state, move_name, wall_start, now, std::nullopt);
    REQUIRE(next.has_value());
    CHECK(next->stage == move_stage::rolled_back);
    CHECK(next->reason == move_reason::version_failing);
    // Another instance that knows only the fact.
    rollout_state other = make_state(1);
    set_move(other, make_rollout(), at_share(50, 5, 1), start);
    on_version_stopped(other, service_name, new_version);
    CHECK(choose_version(other, service, now) == old_version);
    CHECK(next_state(other, move_name, wall_start, start + 3s, std::nullopt)->reason ==
          move_reason::operator_request);
}

TEST_CASE("rollout: lost, repeated and reordered counts do no harm", "[rollout]")
{
    // Guards against counts that are added twice or go backwards.
    const auto live = make_live(3);
    rollout_state sender = make_state(0);
    std::vector<rollout_state> receivers{make_state(1), make_state(1)};
    set_move(sender, make_rollout(), at_share(10, 3, 1), start);
    for (rollout_state& receiver : receivers) {
        set_move(receiver, make_rollout(), at_share(10, 3, 1), start);
    }
    outbox sent;
    for (int round = 0; round < 10; ++round) {
        count(sender, old_version, 20, 1, start);
        count(sender, new_version, 5, 1, start);
        tick(sender, live, start + round * 300ms, sent);
    }
    std::vector<envelope> to_receiver;
    for (const envelope& message : sent) {
        if (message.to == receivers[0].self) {
            to_receiver.push_back(message);
        }
    }
    REQUIRE(to_receiver.size() == 10);
    for (const envelope& message : to_receiver) {
        on_message(receivers[0], message, start);
    }
    for (std::size_t i : {9U, 3U, 9U, 0U}) {
        on_message(receivers[1], to_receiver[i], start);
    }
    for (rollout_state& receiver : receivers) {
        outbox ignored;
        tick(receiver, live, start + 5s, ignored);
        const auto& evidence = receiver.moves.at(move_name).pooled.at(open_route);
        CHECK(evidence.new_counted.requests == 50);
        CHECK(evidence.new_counted.failures == 10);
        CHECK(evidence.old_counted.requests == 200);
    }
}

TEST_CASE("rollout: an older durable state is ignored", "[rollout]")
{
    // Guards against a late table answer that gives a rolled-back version its share again.
    rollout_state state = make_state(0);
    set_move(state, make_rollout(), at_share(0, 1, 5, move_stage::rolled_back), start);
    set_move(state, make_rollout(), at_share(50, 5, 4), start);
    CHECK(choose_version(state, service, start) == old_version);
    CHECK_FALSE(next_state(state, move_name, wall_start, start, std::nullopt).has_value());
}

TEST_CASE("rollout: no step without evidence, and the deadline rolls back", "[rollout]")
{
    // Guards against a rollout that advances on time alone.
    rollout_state state = make_state(0);
    set_move(state, make_rollout(), at_share(0, 0, 1, move_stage::waiting), start);
    const auto first = next_state(state, move_name, wall_start, start, std::nullopt);
    REQUIRE(first.has_value());
    CHECK(first->share_percent == 1);
    set_move(state, make_rollout(), at_share(1, 0, 2), start);
    CHECK_FALSE(next_state(state, move_name, wall_start + 60'000, start + 60s, std::nullopt).has_value());
    const auto late = next_state(state, move_name, wall_start + 115'000, start + 115s, std::nullopt);
    REQUIRE(late.has_value());
    CHECK(late->stage == move_stage::rolled_back);
    CHECK(late->reason == move_reason::deadline);
    CHECK(late->share_percent == 0);
}

TEST_CASE("rollout: a drain ends when nothing is in flight or at its deadline", "[rollout]")
{
    // Guards P10: done is not written while requests run, unless the manifest says so.
    move_object drain{.name = "to-v2",
                      .kind = move_kind::drain,
                      .service = "proofview",
                      .version = {},
                      .targets = {},
                      .deadline = wall_start + 30'000};
    rollout_state state = make_state(0);
    set_move(state, drain, at_share(0, 0, 1, move_stage::waiting), start);
    const auto running = next_state(state, move_name, wall_start, start, std::nullopt);
    REQUIRE(running.has_value());
    CHECK(running->stage == move_stage::running);
    set_move(state, drain, *running, start);
    const std::optional<std::uint64_t> idle = 0;
    CHECK_FALSE(next_state(state, move_name, wall_start, start + 1s, idle).has_value());
    CHECK_FALSE(next_state(state, move_name, wall_start, start + 9s, std::nullopt).has_value());
    CHECK_FALSE(next_state(state, move_name, wall_start, start + 9s, std::uint64_t{2}).has_value());
    CHECK(next_state(state, move_name, wall_start, start + 9s, idle)->reason == move_reason::targets_idle);
    const auto late = next_state(state, move_name, wall_start + 31'000, start + 31s, std::nullopt);
    CHECK(late->stage == move_stage::rolled_back);
    drain.on_deadline = deadline_action::finish;
    set_move(state, drain, *running, start);
    CHECK(next_state(state, move_name, wall_start + 31'000, start + 31s, std::nullopt)->reason ==
          move_reason::cut_at_deadline);
}

TEST_CASE("rollout: counts of 2,400 instances go to few of them", "[rollout]")
{
    // Guards against counts from everyone to everyone: the bytes that a node may spend are bounded.
    std::vector<member_record> live = make_live(2400);
    for (std::size_t i = 0; i < live.size(); ++i) {
        live[i].region = make_id<region_id>("r" + std::to_string(i % 21));
    }
    std::size_t most = 0;
    std::map<instance_id, std::size_t> received;
    for (int i = 0; i < 2400; i += 1) {
        rollout_state state = make_state(i);
        set_move(state, make_rollout(), at_share(10, 3, 1), start);
        count(state, old_version, 2, 0, start);
        outbox out;
        tick(state, live, start, out);
        most = std::max(most, out.size());
        for (const envelope& message : out) {
            ++received[message.to];
        }
    }
    std::size_t most_received = 0;
    for (const auto& [instance, messages] : received) {
        most_received = std::max(most_received, messages);
    }
    CHECK(most <= 28);
    CHECK(most_received <= 140);
}
