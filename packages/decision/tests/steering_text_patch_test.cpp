#include <catch2/catch.hpp>

#include "camphorknot/steering.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;

namespace {

std::string make_item(std::size_t number, std::uint64_t salt = 0)
{
    return R"({"metadata":{"name":"route-)" + std::to_string(number) + R"("},"spec":{"host":"h)" +
           std::to_string(mix_hash(number, salt) % 1000) + R"(.example","priority":1}})";
}

std::string make_text(const std::vector<std::string>& items, int version)
{
    std::string text = R"({"version":")" + std::to_string(version) + R"(","items":[)";
    for (const std::string& item : items) {
        text += (&item == &items.front() ? "" : ",") + item;
    }
    return text + "]}";
}

std::vector<std::string> make_items(std::size_t count)
{
    std::vector<std::string> items;
    for (std::size_t number = 0; number < count; ++number) {
        items.push_back(make_item(number));
    }
    return items;
}

// A replica with a large record in @p version.
record_update large_update(const std::string& value, std::uint64_t version)
{
    return {collection::orders,
            false,
            {{collection::orders, "config", value, version, false}},
            {version, static_cast<double>(version)}};
}

const std::string& value_of(const record_replica& replica)
{
    return find_record(replica, collection::orders, "config")->value;
}

} // namespace

TEST_CASE("text patch: one item that is added, removed, changed or moved costs its size")
{
    const std::vector<std::string> items = make_items(2000);
    const std::string base = make_text(items, 7);
    std::vector<std::vector<std::string>> variants(5, items);
    variants.at(0).push_back(make_item(5000));
    variants.at(1).erase(variants.at(1).begin() + 900);
    variants.at(2).at(1300) = make_item(1300, 1);
    std::rotate(variants.at(3).begin() + 100, variants.at(3).begin() + 101, variants.at(3).begin() + 1500);
    variants.at(4).insert(variants.at(4).begin(), make_item(5001));
    for (const auto& variant : variants) {
        const std::string text = make_text(variant, 8);
        const text_patch patch = make_patch(base, text);
        CHECK(size_of(patch) < 1000);
        const auto patched = apply_patch(base, patch);
        REQUIRE(patched);
        CHECK(*patched == text);
    }
}

TEST_CASE("text patch: any two texts are patched exactly")
{
    random_source random{7};
    for (int run = 0; run < 300; ++run) {
        const auto make = [&] {
            std::string text;
            const std::uint64_t bytes = uniform(random, 400);
            for (std::uint64_t index = 0; index < bytes; ++index) {
                text += "ab}\n{"[uniform(random, 5)];
            }
            return text;
        };
        const std::string base = make();
        const std::string text = make();
        const auto patched = apply_patch(base, make_patch(base, text));
        REQUIRE(patched);
        CHECK(*patched == text);
    }
}

TEST_CASE("text patch: a patch for another text, or a malformed one, is refused")
{
    const std::string base = make_text(make_items(200), 1);
    const std::string text = make_text(make_items(201), 2);
    const text_patch patch = make_patch(base, text);
    CHECK(apply_patch(text, patch).reason == patch_fault::other_base);
    std::vector<text_patch> malformed(6, patch);
    malformed.at(0).inserted.back() = 'x';
    malformed.at(1).steps.front().offset = 4'000'000'000U;
    malformed.at(2).steps.front().length = 4'000'000'000U;
    malformed.at(3).steps.front().inserted = 4'000'000'000U;
    malformed.at(4).result_bytes = 4'000'000'000U;
    malformed.at(5).steps.clear();
    for (const text_patch& each : malformed) {
        CHECK(apply_patch(base, each).reason == patch_fault::malformed);
    }
}

TEST_CASE("records: a peer with an earlier version of a large record gets what differs")
{
    record_replica source;
    record_replica peer;
    std::vector<std::string> items = make_items(1000);
    apply_update(source, large_update(make_text(items, 1), 1));
    apply_update(peer, large_update(make_text(items, 1), 1));
    for (std::uint64_t version = 2; version < 20; ++version) {
        items.push_back(make_item(version + 1000));
        apply_update(source, large_update(make_text(items, static_cast<int>(version)), version));
        if (version % 3 != 0) { // The others are overtaken.
            record_update update = changes_since(source, collection::orders, {1, 0.5}, large_records(peer));
            REQUIRE(update.records.size() == 1);
            CHECK(update.records.front().value.empty());
            REQUIRE(resolve_patches(peer, update) == patch_fault::none);
            apply_update(peer, update);
            CHECK(value_of(peer) == value_of(source));
        }
    }
    // Builds that hold no patches, and instances without the record, get it whole.
    CHECK_FALSE(changes_since(source, collection::orders, {1, 0.5}).records.front().value.empty());
}

// Guards against whole copies for instances that have read the store at other times than their peers.
TEST_CASE("records: a patch may be based on an earlier version that both instances had")
{
    record_replica source;
    record_replica peer;
    std::vector<std::string> items = make_items(1000);
    for (const std::uint64_t version : {1U, 2U, 4U}) {
        apply_update(source, large_update(make_text(items, static_cast<int>(version)), version));
    }
    for (const std::uint64_t version : {1U, 2U, 3U}) {
        apply_update(peer, large_update(make_text(items, static_cast<int>(version)), version));
    }
    record_update update = changes_since(source, collection::orders, {3, 3}, large_records(peer));
    REQUIRE(update.records.size() == 1);
    CHECK(update.records.front().value.empty());
    REQUIRE(resolve_patches(peer, update) == patch_fault::none);
    apply_update(peer, update);
    CHECK(value_of(peer) == value_of(source));
    // The peer passes it on as what differs from its own version.
    record_replica follower;
    apply_update(follower, large_update(make_text(items, 3), 3));
    record_update passed_on = changes_since(peer, collection::orders, {3, 3}, large_records(follower));
    CHECK(passed_on.records.front().value.empty());
    REQUIRE(resolve_patches(follower, passed_on) == patch_fault::none);
}

// Guards against a late answer that brings back an older version, or asks for a whole copy.
TEST_CASE("records: patches that lead to an older version than the present one change nothing")
{
    record_replica source;
    record_replica peer;
    const std::vector<std::string> items = make_items(1000);
    for (const std::uint64_t version : {1U, 2U}) {
        apply_update(source, large_update(make_text(items, static_cast<int>(version)), version));
    }
    apply_update(peer, large_update(make_text(items, 1), 1));
    record_update late = changes_since(source, collection::orders, {1, 1}, large_records(peer));
    apply_update(peer, large_update(make_text(items, 5), 5));
    REQUIRE(resolve_patches(peer, late) == patch_fault::none);
    CHECK(apply_update(peer, late).empty());
    CHECK(value_of(peer) == make_text(items, 5));
}

// Guards against an instance that never gets a configuration: its content under a version differs from that
// of its peers, as after the store returned from an old copy, and no patch fits.
TEST_CASE("records: after a patch that does not fit the whole record is requested")
{
    record_replica source;
    record_replica peer;
    const std::vector<std::string> items = make_items(1000);
    for (const std::uint64_t version : {1U, 2U}) {
        apply_update(source, large_update(make_text(items, static_cast<int>(version)), version));
    }
    apply_update(peer, large_update(make_text(make_items(999), 1), 1));
    record_requests pending;
    record_update patched = changes_since(source, collection::orders, {1, 1}, large_records(peer));
    on_patches_resolved(pending, collection::orders, resolve_patches(peer, patched));
    REQUIRE(pending.needs_whole_records);
    record_update whole = changes_since(source, collection::orders, {1, 1});
    on_patches_resolved(pending, collection::targets, patch_fault::none);
    CHECK(pending.needs_whole_records);
    on_patches_resolved(pending, collection::orders, resolve_patches(peer, whole));
    CHECK_FALSE(pending.needs_whole_records);
    apply_update(peer, whole);
    CHECK(value_of(peer) == value_of(source));
}

TEST_CASE("records: a patch without its base is refused")
{
    record_replica source;
    const std::vector<std::string> items = make_items(1000);
    for (const std::uint64_t version : {1U, 2U}) {
        apply_update(source, large_update(make_text(items, static_cast<int>(version)), version));
    }
    const std::vector<held_record> held = {{collection::orders, "config", 1}};
    record_update update = changes_since(source, collection::orders, {1, 1}, held);
    CHECK(resolve_patches(record_replica(), update) == patch_fault::other_base);
    record_replica removed;
    apply_update(removed, large_update(make_text(items, 1), 1));
    apply_update(removed, {collection::orders, false, {{collection::orders, "config", "", 3, true}}, {3, 3}});
    CHECK(resolve_patches(removed, update) == patch_fault::other_base);
    record_replica other;
    apply_update(other, large_update(make_text(make_items(999), 1), 1));
    CHECK(resolve_patches(other, update) == patch_fault::other_base);
}
