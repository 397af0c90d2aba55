#include <catch2/catch.hpp>

#include "camphorknot/steering.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};

instance_identity make_identity(const std::string& name, const std::string& domain, const std::string& region)
{
    return {name, "10.0.0.1", domain, region, name + ":80", name + ":70", 1};
}

instance_status make_instance_status(const std::string& name, std::uint64_t sequence = 1)
{
    instance_status status;
    status.identity = make_identity(name, "rvk-a", "rvk");
    status.sequence = sequence;
    return status;
}

domain_summary make_domain(const std::string& domain, const std::string& region,
                           std::vector<std::string> names, std::uint64_t sequence = 1)
{
    domain_summary summary;
    summary.failure_domain = domain;
    summary.region = region;
    summary.delegate = names.empty() ? "" : names.front() + "/1";
    summary.sequence = sequence;
    for (const std::string& name : names) {
        summary.members.push_back({name, domain, region, name + ":80", name + ":70"});
    }
    return summary;
}

fleet make_fleet()
{
    fleet peers;
    peers.own = make_identity("one", "rvk-a", "rvk");
    on_status_received(peers, make_instance_status("two"), start);
    on_summary_received(peers, make_domain("rvk-b", "rvk", {"three"}), start);
    on_summary_received(peers, make_domain("aku-a", "aku", {"four", "five"}), start);
    return peers;
}

} // namespace

TEST_CASE("fleet: callers are sent to their failure domain, else to their region, else anywhere")
{
    const fleet peers = make_fleet();
    CHECK(front_addresses_for(peers, "rvk", "rvk-a", true, start) ==
          std::vector<std::string>{"one:80", "two:80"});
    CHECK(front_addresses_for(peers, "rvk", "rvk-c", false, start) ==
          std::vector<std::string>{"two:80", "three:80"});
    CHECK(front_addresses_for(peers, "egs", "egs-a", true, start).size() == 5);
}

TEST_CASE("fleet: callers are not sent to instances that reach no target, unless there are no others")
{
    fleet peers = make_fleet();
    peers.own_access = {{"desk"}, false};
    CHECK(front_addresses_for(peers, "rvk", "rvk-a", true, start) == std::vector<std::string>{"two:80"});
    instance_status cut = make_instance_status("two", 2);
    cut.access = {{"desk"}, false};
    on_status_received(peers, cut, start);
    CHECK(front_addresses_for(peers, "rvk", "rvk-a", true, start) == std::vector<std::string>{"three:80"});
    domain_summary summary = make_domain("rvk-b", "rvk", {"three"}, 2);
    summary.members.front().access = {{"desk"}, false};
    on_summary_received(peers, summary, start);
    CHECK(front_addresses_for(peers, "rvk", "rvk-a", true, start).size() == 2); // In another region.
    domain_summary far = make_domain("aku-a", "aku", {"four"}, 2);
    far.members.front().access = {{"desk"}, false};
    on_summary_received(peers, far, start);
    CHECK(front_addresses_for(peers, "rvk", "rvk-a", true, start) ==
          std::vector<std::string>{"one:80", "two:80"});
    // One service alone is no reason.
    peers.own_access = {{"desk"}, true};
    CHECK(front_addresses_for(peers, "rvk", "rvk-a", true, start) == std::vector<std::string>{"one:80"});
}

TEST_CASE("fleet: timed-out and leaving instances are not listed for callers")
{
    fleet peers = make_fleet();
    instance_status leaving = make_instance_status("two", 2);
    leaving.leaving = true;
    on_status_received(peers, leaving, start);
    CHECK(front_addresses_for(peers, "rvk", "rvk-a", true, start) == std::vector<std::string>{"one:80"});
    CHECK(front_addresses_for(peers, "aku", "aku-a", true, start + 4s) == std::vector<std::string>{"one:80"});
}

TEST_CASE("fleet: a status of an earlier incarnation is ignored")
{
    fleet peers = make_fleet();
    instance_status restarted = make_instance_status("two", 1);
    restarted.identity.incarnation = 2;
    CHECK(on_status_received(peers, restarted, start));
    CHECK_FALSE(on_status_received(peers, make_instance_status("two", 50), start));
}

TEST_CASE("fleet: a task is assigned to exactly one of the instances that receive from each other")
{
    const std::vector<std::string> names = {"one", "two", "three", "four"};
    for (const std::string task : {"warm/i-1", "warm/i-2", "rollout/catalogue"}) {
        std::size_t assigned_instances = 0;
        for (const std::string& own : names) {
            fleet peers;
            peers.own = make_identity(own, "rvk-a", "rvk");
            for (const std::string& other : names) {
                if (other != own) {
                    on_status_received(peers, make_instance_status(other), start);
                }
            }
            const bool assigned = assignment_rank(peers, task, start) == 0;
            CHECK(is_assigned(peers, live_candidates(peers, start), task) == assigned);
            assigned_instances += assigned ? 1 : 0;
        }
        CHECK(assigned_instances == 1);
    }
}

TEST_CASE("fleet: failure domains that never heard of each other begin to through registered instances")
{
    // Nine failure domains start at once. Without the registered contacts some never received from each
    // other, and each divided the customers' rates by the instances that it had received from.
    const std::vector<std::string> domains = {"a", "b", "c", "d", "e", "f", "g", "h", "i"};
    std::map<std::string, fleet> delegates;
    std::vector<instance_contact> registered;
    std::map<std::string, std::vector<instance_contact>> stored;
    for (const std::string& domain : domains) {
        delegates[domain].own = make_identity("edge-" + domain, domain, "rvk");
        registered.push_back(contact_of(delegates[domain].own));
        stored[domain] = registered; // Contacts that were registered before.
    }
    time_point now = start;
    for (std::uint64_t round = 0; round < 3; ++round, now += 800ms) {
        for (const std::string& domain : domains) {
            const domain_summary summary = make_domain(domain, "rvk", {"edge-" + domain}, round + 1);
            std::set<std::string> receivers;
            for (const auto& [sender, peer] : delegates[domain].domains) {
                receivers.insert(sender);
            }
            for (const instance_contact& contact :
                 unreachable_domain_contacts(delegates[domain], stored[domain], round, now)) {
                receivers.insert(contact.failure_domain);
            }
            for (const std::string& receiver : receivers) {
                on_summary_received(delegates[receiver], summary, now);
            }
        }
    }
    for (const std::string& domain : domains) {
        CHECK(live_instances(delegates[domain], now) == domains.size());
    }
}

TEST_CASE("fleet: registered instances count as possibly running until their retention ends")
{
    fleet peers = make_fleet();
    CHECK(possible_instances(peers, start) == 5);
    on_contacts_registered(peers, std::vector{contact_of(make_identity("six", "egs-a", "egs"))}, start);
    CHECK(possible_instances(peers, start) == 6);
    CHECK(live_instances(peers, start) == 5);
    const time_point later = start + 21s;
    for (const std::string name : {"two"}) {
        on_status_received(peers, make_instance_status(name, 2), later);
    }
    on_summary_received(peers, make_domain("rvk-b", "rvk", {"three"}, 2), later);
    on_summary_received(peers, make_domain("aku-a", "aku", {"four", "five"}, 2), later);
    remove_silent(peers, later);
    CHECK(possible_instances(peers, later) == 5);
}

TEST_CASE("fleet: an instance that cannot reach the store is not selected as its reader")
{
    fleet peers = make_fleet();
    peers.members.clear();
    peers.own_reads_store = false;
    CHECK_FALSE(is_store_reader(peers, start));
    domain_summary other = make_domain("rvk-b", "rvk", {"three"}, 2);
    other.reads_store = false;
    on_summary_received(peers, other, start);
    peers.own_reads_store = true;
    CHECK(is_store_reader(peers, start));
}

TEST_CASE("fleet: an isolated instance counts the others as possibly running")
{
    fleet peers = make_fleet();
    CHECK(sees_half_of_fleet(peers, start));
    const time_point later = start + 30s;
    remove_silent(peers, later);
    CHECK_FALSE(sees_half_of_fleet(peers, later));
    CHECK(possible_instances(peers, later) == 5);
    CHECK(live_instances(peers, later) == 1);
}

TEST_CASE("fleet: a summary adds up the requests of its failure domain")
{
    fleet peers = make_fleet();
    instance_status two = make_instance_status("two", 2);
    two.load.demands = {{"gullfoss", 3}};
    two.load.in_flight = {{"i-1", 2}};
    two.load.rollouts = {{"catalogue", 4, 5s, 0.1, false, 1}};
    on_status_received(peers, two, start);
    instance_status own = make_instance_status("one");
    own.load.demands = {{"gullfoss", 4}};
    own.load.in_flight = {{"i-1", 1}};
    own.load.rollouts = {{"catalogue", 4, 6s, 1, true, 2}};
    const domain_summary summary = make_summary(peers, own, 1, start);
    CHECK(summary.members.size() == 2);
    CHECK(summary.load.demands.front().per_s == 7);
    CHECK(summary.load.in_flight.front().requests == 3);
    const rollout_progress& progress = summary.load.rollouts.front();
    CHECK(progress.elapsed == 6s);
    CHECK(progress.share == 0.1);
    CHECK(progress.stopped);
    CHECK(progress.old_in_flight == 3);
}
