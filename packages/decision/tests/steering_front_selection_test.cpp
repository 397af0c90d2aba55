#include <catch2/catch.hpp>

#include "camphorknot/steering.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};

instance_contact make_contact(const std::string& name, std::uint32_t cpu_millicores)
{
    instance_contact contact;
    contact.name = name;
    contact.failure_domain = "rvk-a";
    contact.region = "rvk";
    contact.front_address = name + ":80";
    contact.cpu_millicores = cpu_millicores;
    return contact;
}

// A failure domain with two strong and eleven weak instances.
std::vector<instance_contact> mixed_domain()
{
    std::vector<instance_contact> contacts;
    contacts.reserve(13);
    for (int number = 0; number < 13; ++number) {
        contacts.push_back(make_contact("edge-" + std::to_string(number), number % 6 == 5 ? 500 : 100));
    }
    return contacts;
}

instance_status make_status(const std::string& name, std::uint32_t cpu_millicores, float requests_per_s = 0)
{
    instance_status status;
    status.identity.name = name;
    status.identity.failure_domain = "rvk-a";
    status.identity.region = "rvk";
    status.identity.front_address = name + ":80";
    status.identity.peer_address = name + ":70";
    status.identity.cpu_millicores = cpu_millicores;
    status.sequence = 1;
    status.load.requests_per_s = requests_per_s;
    return status;
}

} // namespace

TEST_CASE("front selection: a wave of requests is carried by the strong instances")
{
    for (const double requests_per_s : {0.0, 140.0, 500.0, 1000.0}) {
        const auto selected = select_fronts(mixed_domain(), requests_per_s, {});
        REQUIRE(selected.size() == 2);
        CHECK(selected.front().cpu_millicores == 500);
        CHECK(selected.back().cpu_millicores == 500);
    }
}

TEST_CASE("front selection: a burst that the strong instances cannot carry goes to all")
{
    CHECK(select_fronts(mixed_domain(), 1600, {}).size() == 13);
}

TEST_CASE("front selection: instances of equal or unknown strength are all selected, up to the limit")
{
    std::vector<instance_contact> equal;
    equal.reserve(100);
    for (int number = 0; number < 100; ++number) {
        equal.push_back(make_contact("edge-" + std::to_string(number), 0));
    }
    CHECK(select_fronts(equal, 5, {}).size() == 64);
    equal.resize(3);
    CHECK(select_fronts(equal, 5, {}).size() == 3);
    CHECK(select_fronts({}, 5, {}).empty());
}

TEST_CASE("front selection: a single strong instance is never selected alone")
{
    std::vector<instance_contact> contacts = {make_contact("a", 100), make_contact("b", 500),
                                              make_contact("c", 100)};
    CHECK(select_fronts(contacts, 1, {}).size() == 3);
}

TEST_CASE("front selection: the directory names the strong instances, and the others when these are gone")
{
    fleet peers;
    peers.own = make_status("weak", 100).identity;
    for (const std::string name : {"strong-1", "strong-2"}) {
        on_status_received(peers, make_status(name, 500, 40), start);
    }
    on_status_received(peers, make_status("weak-2", 100), start + 2s);
    CHECK(front_addresses_for(peers, "rvk", "rvk-a", true, start) ==
          std::vector<std::string>{"strong-1:80", "strong-2:80"});
    CHECK(front_addresses_for(peers, "rvk", "rvk-a", true, start + 2s) ==
          std::vector<std::string>{"weak:80", "weak-2:80"});
}

TEST_CASE("front selection: a rate that falls is remembered, so that the selection does not change at once")
{
    peak_rate rate;
    update_peak_rate(rate, 100, start);
    update_peak_rate(rate, 10, start + 1s);
    CHECK(peak_rate_at(rate, start + 1s) > 90);
    update_peak_rate(rate, 120, start + 2s);
    CHECK(peak_rate_at(rate, start + 2s) == 120);
    CHECK(peak_rate_at(rate, start + 120s) < 1);
}

TEST_CASE("front selection: tasks of the request path are assigned to the strongest instances only")
{
    const std::map<std::string, std::uint32_t> strengths = {
        {"weak-1", 100}, {"strong-1", 500}, {"weak-2", 100}, {"strong-2", 500}};
    for (const std::string task : {"warm/i-1", "warm/i-2", "warm/i-3", "warm/i-4", "warm/i-5"}) {
        std::vector<std::string> assigned;
        std::set<std::string> owners;
        for (const auto& [own, own_strength] : strengths) {
            fleet peers;
            peers.own = make_status(own, own_strength).identity;
            for (const auto& [other, strength] : strengths) {
                if (other != own) {
                    on_status_received(peers, make_status(other, strength), start);
                }
            }
            if (is_assigned(peers, live_candidates(peers, start), task)) {
                assigned.push_back(own);
            }
            const std::string owner = find_rate_owner(peers, task, start);
            owners.insert(owner.empty() ? own + ":70" : owner);
        }
        REQUIRE(assigned.size() == 1);
        CHECK(strengths.at(assigned.front()) == 500);
        REQUIRE(owners.size() == 1);
        CHECK(owners.begin()->starts_with("strong"));
    }
}

TEST_CASE("front selection: when a fleet starts at once, its strong instances read the store first")
{
    duration latest_strong{};
    duration earliest_weak = 10s;
    std::set<duration> delays;
    for (int number = 0; number < 30; ++number) {
        const std::string name = "edge-" + std::to_string(number);
        latest_strong = std::max(latest_strong, startup_read_delay(make_status(name, 500).identity));
        const duration weak = startup_read_delay(make_status(name, 100).identity);
        earliest_weak = std::min(earliest_weak, weak);
        delays.insert(weak);
    }
    // Two status periods of 200 ms and a connection lie between, in which the weak ones can get the records.
    CHECK(latest_strong <= 300ms);
    CHECK(earliest_weak >= latest_strong + 500ms);
    CHECK(delays.size() == 30);
    // A fleet of equal instances serves its callers soon after all were killed.
    CHECK(startup_read_delay(make_status("medium", 200).identity) <= 375ms);
    CHECK(startup_read_delay(make_status("unknown", 0).identity) == duration{});
    CHECK(startup_read_delay(make_status("tiny", 1).identity) == 2s);
}
