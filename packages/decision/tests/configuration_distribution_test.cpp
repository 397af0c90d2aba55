#include "configuration_harness.hpp"

using namespace configuration_test;

namespace {

std::uint64_t lowest_version(const simulated_fleet& fleet)
{
    std::uint64_t lowest = fleet.head;
    for (std::size_t index = 0; index < fleet.instances.size(); ++index) {
        lowest = std::min(lowest, fleet.version_of(index));
    }
    return lowest;
}

std::uint64_t total(const simulated_fleet& fleet, std::uint64_t distribution_counts::*count)
{
    std::uint64_t sum = 0;
    for (const simulated_instance& instance : fleet.instances) {
        sum += instance.state->counts.*count;
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

TEST_CASE("distribution: two readers per region poll the table, the other instances ask peers",
          "[configuration]")
{
    // Guards against every instance polling the table: 2,400 instances would overload it.
    simulated_fleet fleet(1, 3, 6);
    fleet.run(seconds(2));
    const std::uint64_t before = total(fleet, &distribution_counts::table_reads);
    fleet.run(seconds(20));
    const std::uint64_t polls = total(fleet, &distribution_counts::table_reads) - before;
    CHECK(polls >= 6 * 20 * 2 - 12);
    CHECK(polls <= 6 * 20 * 2 + 12);
    fleet.commit_changes(1);
    fleet.run(seconds(5));
    CHECK(lowest_version(fleet) == 1);
    CHECK(total(fleet, &distribution_counts::peer_requests) >= 12);
}

TEST_CASE("distribution: an instance that is far behind asks peers and the object store, not the table",
          "[configuration]")
{
    // Guards against a table read for each missing version although a peer has the changes.
    simulated_fleet fleet(2);
    fleet.commit_changes(300);
    fleet.run(seconds(10));
    REQUIRE(lowest_version(fleet) == 300);
    fleet.stop(0);
    fleet.run(seconds(4));
    fleet.commit_changes(400);
    fleet.run(seconds(10));
    fleet.restart(0);
    fleet.run(seconds(10));
    CHECK(fleet.version_of(0) == 700);
    const distribution_counts& counts = fleet.instances[0].state->counts;
    CHECK(counts.object_reads == 1);
    CHECK(counts.table_reads <= 22);
    CHECK(in_force(*fleet.instances[0].state).objects == in_force(*fleet.instances[1].state).objects);
}

TEST_CASE("distribution: without the object store a peer sends the whole configuration", "[configuration]")
{
    // Guards against an instance that never receives a configuration because it starts during a store outage.
    simulated_fleet fleet(3);
    fleet.commit_changes(600);
    fleet.run(seconds(20));
    REQUIRE(lowest_version(fleet) == 600);
    fleet.faults.store_down = true;
    fleet.faults.objects_down = true;
    fleet.restart(4);
    fleet.run(seconds(10));
    CHECK(fleet.version_of(4) == 600);
    CHECK(may_serve(*fleet.instances[4].state, fleet.regions));
    CHECK(total(fleet, &distribution_counts::snapshots_sent) >= 1);
    CHECK(in_force(*fleet.instances[4].state).objects == in_force(*fleet.instances[1].state).objects);
}

TEST_CASE("distribution: a large configuration is sent in parts", "[configuration]")
{
    // Guards against frames above the limit of 256 KiB and against lost or repeated parts.
    simulated_fleet fleet(4);
    configuration_change change{1, {}, {}};
    for (std::size_t index = 0; index < 3000; ++index) {
        change.upserts.push_back(customer_object{"customer-" + std::to_string(index), 1, 1});
    }
    change.upserts.push_back(region_object{"region-0"});
    REQUIRE(fleet.store.transact(make_change_transaction(change, 0, 1)) == table_status::ok);
    fleet.head = 1;
    fleet.run(seconds(5));
    REQUIRE(lowest_version(fleet) == 1);
    fleet.faults.store_down = true;
    fleet.faults.duplicated_percent = 30;
    fleet.faults.lost_percent = 10;
    fleet.restart(5);
    fleet.run(seconds(60));
    CHECK(in_force(*fleet.instances[5].state).objects == in_force(*fleet.instances[1].state).objects);
    outbox out;
    const auto requester = make_id<instance_id>("asker");
    on_message(*fleet.instances[1].state, {requester, 0, {}, change_request{0}}, fleet.now, out);
    while (!fleet.instances[1].state->transfers.next_part.empty()) {
        tick(*fleet.instances[1].state, {}, fleet.now, out);
    }
    for (const envelope& message : out) {
        const auto* reply = std::get_if<change_reply>(&message.body);
        CHECK((reply == nullptr || reply->changes.front().text.size() < 200U << 10U));
    }
}

TEST_CASE("distribution: instances read the table themselves when the readers time out", "[configuration]")
{
    // Guards against a region that stays behind because its two readers are partitioned from the others.
    simulated_fleet fleet(5, 1, 5);
    fleet.commit_changes(1);
    fleet.run(seconds(5));
    REQUIRE(lowest_version(fleet) == 1);
    std::vector<std::size_t> readers;
    for (std::size_t index = 0; index < 5; ++index) {
        if (fleet.instances[index].state->counts.table_reads > 6) {
            readers.push_back(index);
        }
    }
    REQUIRE(readers.size() == 2);
    for (const std::size_t reader : readers) {
        // The reader no longer polls but is still listed as alive.
        fleet.instances[reader].state->settings.readers_per_region = 0;
        fleet.instances[reader].state->settings.reader_timeout = std::chrono::hours(1);
    }
    fleet.commit_changes(1);
    fleet.run(seconds(9));
    for (std::size_t index = 0; index < 5; ++index) {
        CHECK(fleet.version_of(index) == 2);
    }
    fleet.run(seconds(60));
    CHECK(total(fleet, &distribution_counts::table_reads) < 400);
}

TEST_CASE("distribution: the version in force never decreases", "[configuration]")
{
    // Guards against a return to an older version after late, repeated or reordered answers of peers and the
    // table.
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
        REQUIRE(state.outstanding_read);
        on_table_answer(state, {table_status::ok, table_row{"config/head", value, 1}}, now);
    };
    read_head("3");
    read_head("1");
    CHECK(state.head_version == 3);
    CHECK(take_applied(state).size() == 3);
    CHECK(take_applied(state).empty());
}

TEST_CASE("distribution: an instance that has just started serves only a version that can be trusted",
          "[configuration]")
{
    // Guards against a restarted instance that trusts the version of a single stale peer, or of peers that
    // have just started themselves.
    const auto self = make_id<instance_id>("self");
    const std::vector<region_id> regions{simulated_fleet::region(0), simulated_fleet::region(1),
                                         simulated_fleet::region(2)};
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
    on_version_reported(state, stale, regions[0], 1, reader_age_unknown, {});
    on_message(state, reply_from(stale, {{1, text}}), {}, out);
    on_version_reported(state, make_id<instance_id>("fresh"), regions[1], 0, reader_age_unknown, {});
    CHECK_FALSE(may_serve(state, regions));
    CHECK_FALSE(
        may_serve(state, std::span(regions).first(1))); // The configuration itself contains three regions.
    CHECK(reported_version(state, regions) == 0);
    on_version_reported(state, make_id<instance_id>("ahead"), regions[1], 2, reader_age_unknown, {});
    CHECK_FALSE(may_serve(state, regions));
    on_message(state, reply_from(stale, {change_for(2, 2)}), {}, out);
    CHECK(may_serve(state, regions));
    CHECK(reported_version(state, regions) == 2);
    on_version_reported(state, make_id<instance_id>("ahead"), regions[1], 3, reader_age_unknown, {});
    CHECK(may_serve(state, regions)); // Waiting for a newer version does not interrupt service.
}

TEST_CASE("distribution: a peer that does not provide the version it reports is skipped", "[configuration]")
{
    // Guards against waiting indefinitely for a stale peer or for one whose answers are lost.
    const auto self = make_id<instance_id>("self");
    distribution state = make_distribution({self, {}, 1}, time_point{});
    const auto silent = make_id<instance_id>("silent");
    const auto responsive = make_id<instance_id>("good");
    std::vector<member_record> live(2);
    live[0].instance = silent;
    live[1].instance = responsive;
    on_version_reported(state, silent, {}, 1, reader_age_unknown, {});
    outbox out;
    tick(state, live, time_point{}, out);
    on_version_reported(state, responsive, {}, 1, reader_age_unknown, {});
    time_point now{};
    for (; now < time_point{} + seconds(3); now += milliseconds(100)) {
        tick(state, live, now, out);
    }
    REQUIRE(out.size() >= 2);
    CHECK(out[0].to == silent);
    CHECK(out[1].to == responsive);
    CHECK(state.counts.peer_timeouts >= 1);
}

TEST_CASE("distribution: a snapshot is written every 256 versions and retried after a failure",
          "[configuration]")
{
    // Guards against instances that start and find no snapshot in the object store.
    simulated_fleet fleet(6);
    fleet.faults.objects_down = true;
    fleet.commit_changes(257);
    fleet.run(seconds(10));
    REQUIRE(lowest_version(fleet) == 257);
    CHECK(fleet.store.objects.empty());
    fleet.faults.objects_down = false;
    fleet.run(seconds(6));
    REQUIRE(fleet.store.objects.size() == 1);
    const auto snapshot = decode_snapshot(fleet.store.objects["configuration/256"]);
    REQUIRE(snapshot);
    CHECK(snapshot->version == 256);
}

TEST_CASE("distribution: a burst of changes is read by one reader at a time", "[configuration]")
{
    // Guards against the readers of all regions reading each change of a burst: 42 readers would overload the
    // table.
    simulated_fleet fleet(7, 7, 3);
    fleet.commit_changes(1);
    fleet.run(seconds(5));
    REQUIRE(lowest_version(fleet) == 1);
    const std::uint64_t before = total(fleet, &distribution_counts::table_reads);
    fleet.commit_changes(200);
    fleet.run(seconds(9));
    CHECK(lowest_version(fleet) == 201);
    // 14 readers poll 18 times each. Each change is read a few times, not 14 times.
    CHECK(total(fleet, &distribution_counts::table_reads) - before < 14 * 19 + 4 * 200);
}

TEST_CASE("distribution: changes are requested from peers before the table, from the own region first",
          "[configuration]")
{
    // Guards against table reads and cross-region traffic although a peer in the own region has the changes.
    const auto near_peer = make_id<instance_id>("near");
    const auto region = simulated_fleet::region(0);
    std::vector<member_record> live(9);
    live[8].instance = near_peer;
    for (std::uint64_t index = 0; index < 8; ++index) {
        live[index].instance = {index % 2 == 0 ? index + 1 : ~index};
    }
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        distribution state = make_distribution({make_id<instance_id>("self"), region, seed}, time_point{});
        state.head = table_row{"config/head", "1", 1};
        state.head_version = 1;
        for (const member_record& member : live) {
            const auto of = member.instance == near_peer ? region : simulated_fleet::region(1);
            on_version_reported(state, member.instance, of, 1, seconds(0), {});
        }
        outbox out;
        const distribution_read read = tick(state, live, time_point{}, out);
        REQUIRE(out.size() == 1);
        CHECK(out[0].to == near_peer);
        CHECK((!read.table || read.table->row == "config/head"));
        state.outstanding_read.reset();
        const distribution_read next = tick(state, live, time_point{} + milliseconds(10), out);
        CHECK((!next.table || next.table->row == "config/head"));
        // The instance does not wait for a version that only a stopped peer reported.
        state.head_version = 0;
        tick(state, {}, time_point{} + milliseconds(20), out);
        CHECK_FALSE(state.behind_since);
    }
}

TEST_CASE("distribution: instances spread their table reads over time when the readers time out",
          "[configuration]")
{
    // Guards against a fleet that overloads the table at the moment when its readers time out.
    simulated_fleet fleet(8, 1, 80);
    fleet.commit_changes(1);
    fleet.run(seconds(4));
    for (simulated_instance& instance : fleet.instances) {
        instance.state->settings.readers_per_region = 0;
    }
    std::uint64_t before = total(fleet, &distribution_counts::table_reads);
    std::uint64_t highest = 0;
    fleet.run(seconds(5), [&] {
        const std::uint64_t reads = total(fleet, &distribution_counts::table_reads);
        highest = std::max(highest, reads - before);
        before = reads;
    });
    CHECK(highest > 0);
    CHECK(highest < 8); // Reads within 10 ms; the reads of 80 instances are spread over 1.6 s.
}

TEST_CASE("distribution: an old snapshot is ignored", "[configuration]")
{
    // Guards against a snapshot that a slow object store returns after newer changes were applied.
    distribution state = make_distribution({make_id<instance_id>("self"), {}, 1}, time_point{});
    const auto peer = make_id<instance_id>("peer");
    outbox out;
    std::vector<member_record> live(1);
    live[0].instance = peer;
    on_version_reported(state, peer, {}, 256, reader_age_unknown, {});
    REQUIRE(tick(state, live, time_point{}, out).object == "configuration/256");
    std::vector<encoded_change> changes;
    for (std::uint64_t version = 1; version <= 257; ++version) {
        changes.push_back(change_for(version, static_cast<std::int64_t>(version)));
    }
    on_message(state, reply_from(peer, changes), {}, out);
    REQUIRE(in_force(state).version == 257);
    on_object_answer(state, encode_snapshot({256, {}}), {});
    CHECK(in_force(state).version == 257);
    CHECK(in_force(state).objects.size() == 1);
}
