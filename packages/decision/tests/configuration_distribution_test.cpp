#include "configuration_harness.hpp"

using namespace configuration_test;

namespace {

std::uint64_t lowest_version(const fleet& all)
{
    std::uint64_t lowest = all.head;
    for (std::size_t index = 0; index < all.instances.size(); ++index) {
        lowest = std::min(lowest, all.version_of(index));
    }
    return lowest;
}

std::uint64_t total(const fleet& all, std::uint64_t distribution_counts::*count)
{
    std::uint64_t sum = 0;
    for (const simulated_instance& one : all.instances) {
        sum += one.state->counts.*count;
    }
    return sum;
}

encoded_change change_for(std::uint64_t version, std::int64_t rate)
{
    return {version, encode_change({version, {customer_object{"a", rate, 1}}, {}})};
}

envelope reply_from(instance_id from, std::vector<encoded_change> changes)
{
    return {from, 0, {}, change_reply{std::move(changes)}};
}

} // namespace

TEST_CASE("distribution: two readers per region poll, and the others only ask peers", "[configuration]")
{
    // Guards against every instance polling the table, which 2,400 of them would overload.
    fleet all(1, 3, 6);
    all.run(seconds(2));
    const std::uint64_t before = total(all, &distribution_counts::table_reads);
    all.run(seconds(20));
    const std::uint64_t polls = total(all, &distribution_counts::table_reads) - before;
    CHECK(polls >= 6 * 20 * 2 - 12);
    CHECK(polls <= 6 * 20 * 2 + 12);
    all.commit_many(1);
    all.run(seconds(5));
    CHECK(lowest_version(all) == 1);
    CHECK(total(all, &distribution_counts::peer_requests) >= 12);
}

TEST_CASE("distribution: an instance that is far behind asks peers and the object store, not the table",
          "[configuration]")
{
    // Guards against one table read per version while a peer has the changes.
    fleet all(2);
    all.commit_many(300);
    all.run(seconds(10));
    REQUIRE(lowest_version(all) == 300);
    all.stop(0);
    all.run(seconds(4));
    all.commit_many(400);
    all.run(seconds(10));
    all.restart(0);
    all.run(seconds(10));
    CHECK(all.version_of(0) == 700);
    const distribution_counts& counts = all.instances[0].state->counts;
    CHECK(counts.object_reads == 1);
    CHECK(counts.table_reads <= 22);
    CHECK(in_force(*all.instances[0].state).objects == in_force(*all.instances[1].state).objects);
}

TEST_CASE("distribution: without the object store a peer sends the whole configuration", "[configuration]")
{
    // Guards against a restart during an outage that never gets a configuration.
    fleet all(3);
    all.commit_many(600);
    all.run(seconds(20));
    REQUIRE(lowest_version(all) == 600);
    all.fault.store_down = true;
    all.fault.objects_down = true;
    all.restart(4);
    all.run(seconds(10));
    CHECK(all.version_of(4) == 600);
    CHECK(may_serve(*all.instances[4].state, all.regions));
    CHECK(total(all, &distribution_counts::snapshots_sent) >= 1);
    CHECK(in_force(*all.instances[4].state).objects == in_force(*all.instances[1].state).objects);
}

TEST_CASE("distribution: a large configuration comes in parts", "[configuration]")
{
    // Guards against a frame above 256 KiB, and against a part that is lost or repeated.
    fleet all(4);
    configuration_change change{1, {}, {}};
    for (std::size_t index = 0; index < 3000; ++index) {
        change.upserts.push_back(customer_object{"customer-" + std::to_string(index), 1, 1});
    }
    change.upserts.push_back(region_object{"region-0"});
    REQUIRE(all.store.transact(make_change_transaction(change, 0, 1)) == table_status::ok);
    all.head = 1;
    all.run(seconds(5));
    REQUIRE(lowest_version(all) == 1);
    all.fault.store_down = true;
    all.fault.duplicated_percent = 30;
    all.fault.lost_percent = 10;
    all.restart(5);
    all.run(seconds(60));
    CHECK(in_force(*all.instances[5].state).objects == in_force(*all.instances[1].state).objects);
    outbox out;
    const auto asker = make_id<instance_id>("asker");
    on_message(*all.instances[1].state, {asker, 0, {}, change_request{0}}, all.now, out);
    while (!all.instances[1].state->transfers.next_part.empty()) {
        tick(*all.instances[1].state, {}, all.now, out);
    }
    for (const envelope& message : out) {
        const auto* reply = std::get_if<change_reply>(&message.body);
        CHECK((reply == nullptr || reply->changes.front().text.size() < 200U << 10U));
    }
}

TEST_CASE("distribution: instances read the table themselves when the readers are silent", "[configuration]")
{
    // Guards against a region that stays behind because its two readers are cut off from the rest.
    fleet all(5, 1, 5);
    all.commit_many(1);
    all.run(seconds(5));
    REQUIRE(lowest_version(all) == 1);
    std::vector<std::size_t> readers;
    for (std::size_t index = 0; index < 5; ++index) {
        if (all.instances[index].state->counts.table_reads > 6) {
            readers.push_back(index);
        }
    }
    REQUIRE(readers.size() == 2);
    for (const std::size_t reader : readers) {
        // Frozen, but still listed as alive.
        all.instances[reader].state->settings.readers_per_region = 0;
        all.instances[reader].state->settings.silent_readers_term = std::chrono::hours(1);
    }
    all.commit_many(1);
    all.run(seconds(9));
    for (std::size_t index = 0; index < 5; ++index) {
        CHECK(all.version_of(index) == 2);
    }
    all.run(seconds(60));
    CHECK(total(all, &distribution_counts::table_reads) < 400);
}

TEST_CASE("distribution: a version never goes back", "[configuration]")
{
    // Guards against late, repeated and reordered answers of peers and of the table.
    const auto self = make_id<instance_id>("self");
    const auto peer = make_id<instance_id>("peer");
    distribution state = make_distribution({self, {}, 1}, time_point{});
    outbox out;
    on_message(state, reply_from(peer, {change_for(1, 1), change_for(2, 2), change_for(3, 3)}), {}, out);
    REQUIRE(in_force(state).version == 3);
    on_message(state, reply_from(peer, {change_for(2, 2), change_for(1, 1), change_for(6, 6)}), {}, out);
    CHECK(in_force(state).version == 3);
    CHECK(state.counts.older_ignored == 2);
    CHECK(state.counts.gaps_ignored == 1);
    on_message(state, reply_from(peer, {change_for(3, 99), {4, "{\"version\":4"}}), {}, out);
    CHECK(state.counts.conflicting == 1);
    CHECK(state.counts.malformed == 1);
    CHECK(in_force(state).version == 3);
    const auto read_head = [&](const std::string& value) {
        time_point now = state.next_head_read + seconds(1);
        tick(state, {}, now, out);
        on_table_answer(state, {table_status::ok, table_row{"config/change/9", "1", 1}}, now);
        REQUIRE(state.read);
        on_table_answer(state, {table_status::ok, table_row{"config/head", value, 1}}, now);
    };
    read_head("3");
    read_head("1");
    CHECK(state.head_version == 3);
    CHECK(take_applied(state).size() == 3);
    CHECK(take_applied(state).empty());
}

TEST_CASE("distribution: a fresh instance serves only a version that can be trusted", "[configuration]")
{
    // Guards against a restarted instance that takes the word of one stale peer, or of other fresh ones.
    const auto self = make_id<instance_id>("self");
    const std::vector<region_id> regions{fleet::region(0), fleet::region(1), fleet::region(2)};
    distribution state = make_distribution({self, regions[0], 1}, time_point{});
    const auto stale = make_id<instance_id>("stale");
    outbox out;
    change_reply first;
    configuration_change change{1, {}, {}};
    for (std::size_t index = 0; index < 3; ++index) {
        change.upserts.push_back(region_object{"region-" + std::to_string(index)});
    }
    const std::string text = encode_change(change);
    CHECK_FALSE(may_serve(state, regions));
    on_version_seen(state, stale, regions[0], 1, reader_age_unknown, {});
    on_message(state, reply_from(stale, {{1, text}}), {}, out);
    on_version_seen(state, make_id<instance_id>("fresh"), regions[1], 0, reader_age_unknown, {});
    CHECK_FALSE(may_serve(state, regions));
    CHECK_FALSE(may_serve(state, std::span(regions).first(1))); // Its configuration names three regions.
    CHECK(reported_version(state, regions) == 0);
    on_version_seen(state, make_id<instance_id>("ahead"), regions[1], 2, reader_age_unknown, {});
    CHECK_FALSE(may_serve(state, regions));
    on_message(state, reply_from(stale, {change_for(2, 2)}), {}, out);
    CHECK(may_serve(state, regions));
    CHECK(reported_version(state, regions) == 2);
    on_version_seen(state, make_id<instance_id>("ahead"), regions[1], 3, reader_age_unknown, {});
    CHECK(may_serve(state, regions)); // A new version on its way does not interrupt service.
}

TEST_CASE("distribution: a peer that does not give what it reports is left for others", "[configuration]")
{
    // Guards against waiting for ever for a stale peer or one whose answers are lost.
    const auto self = make_id<instance_id>("self");
    distribution state = make_distribution({self, {}, 1}, time_point{});
    const auto silent = make_id<instance_id>("silent");
    const auto good = make_id<instance_id>("good");
    std::vector<member_record> live(2);
    live[0].instance = silent;
    live[1].instance = good;
    on_version_seen(state, silent, {}, 1, reader_age_unknown, {});
    outbox out;
    tick(state, live, time_point{}, out);
    on_version_seen(state, good, {}, 1, reader_age_unknown, {});
    time_point now{};
    for (; now < time_point{} + seconds(3); now += milliseconds(100)) {
        tick(state, live, now, out);
    }
    REQUIRE(out.size() >= 2);
    CHECK(out[0].to == silent);
    CHECK(out[1].to == good);
    CHECK(state.counts.peer_timeouts >= 1);
}

TEST_CASE("distribution: a snapshot is written every 256 versions, again after a failure", "[configuration]")
{
    // Guards against an object store that has no snapshot for instances that start.
    fleet all(6);
    all.fault.objects_down = true;
    all.commit_many(257);
    all.run(seconds(10));
    REQUIRE(lowest_version(all) == 257);
    CHECK(all.store.objects.empty());
    all.fault.objects_down = false;
    all.run(seconds(6));
    REQUIRE(all.store.objects.size() == 1);
    const auto snapshot = decode_snapshot(all.store.objects["configuration/256"]);
    REQUIRE(snapshot);
    CHECK(snapshot->version == 256);
}
