#include <catch2/catch.hpp>

#include "camphorknot/membership.hpp"

using namespace camphorknot;
using namespace std::chrono_literals;

namespace {

using internal::mechanism_switches;

// One real membership and five simulated peers, two instances in each of three regions. The peers answer in
// the same tick.
struct fixture {
    membership self;
    std::vector<member_record> peers;
    time_point now{1000s};
    bool answer_pings = true;
    incarnation fenced_incarnation = 0;            ///< Reported in every ping_ack.
    incarnation newest_incarnation = 1;            ///< Reported in every fence_ack.
    std::set<instance_id> peers_without_fence_ack; ///< These peers acknowledge no fence.
    std::vector<envelope> unanswered_pings;        ///< Pings received while answer_pings is false.
    std::optional<time_point> last_fence_ack;
    std::optional<time_point> proved_at; ///< First proof that a fenced peer stopped.
};

void deliver(fixture& s, const member_record& from, peer_message body, outbox& out)
{
    on_message(s.self, {from.instance, from.number, s.self.settings.self.instance, std::move(body)}, s.now,
               out);
}

void send_reply(fixture& s, const envelope& request, outbox& out)
{
    const auto peer = std::find_if(s.peers.begin(), s.peers.end(), [&](const member_record& record) {
        return record.instance == request.to;
    });
    if (const auto* probe = std::get_if<ping>(&request.body)) {
        if (!s.answer_pings) {
            s.unanswered_pings.push_back(request);
            return;
        }
        deliver(s, *peer, ping_ack{probe->sequence, peer->region, s.fenced_incarnation, 0, 0}, out);
    } else if (const auto* notice = std::get_if<fence_notice>(&request.body)) {
        if (!s.peers_without_fence_ack.contains(request.to)) {
            s.last_fence_ack = s.now;
            deliver(s, *peer, fence_ack{notice->subject, notice->number, peer->region, s.newest_incarnation},
                    out);
        }
    }
}

void run_for(fixture& s, duration length)
{
    for (const time_point end = s.now + length; s.now < end; s.now += 50ms) {
        outbox out;
        tick(s.self, s.now, out);
        for (std::size_t next = 0; next < out.size(); ++next) {
            send_reply(s, envelope(out[next]), out);
        }
        for (const membership_event& event : take_events(s.self)) {
            const auto* proof = std::get_if<proved_stopped>(&event);
            if (proof != nullptr && !proof->replaced && !s.proved_at) {
                s.proved_at = s.now;
            }
        }
    }
}

fixture make_fixture(const mechanism_switches& switches)
{
    membership_settings settings;
    std::vector<member_record> records(6);
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].instance = instance_id{i + 1};
        records[i].number = 1;
        records[i].region = region_id{i / 2 + 1};
    }
    // With this id the rendezvous hash makes this instance a collector of acknowledgements of
    // fence_of_peer_2.
    records[0].instance = instance_id{9};
    settings.self = records[0];
    settings.regions = {region_id{1}, region_id{2}, region_id{3}};
    fixture s{*make_membership(settings, time_point(1000s)),
              {records.begin() + 1, records.end()},
              {},
              true,
              0,
              1,
              {},
              {},
              {},
              {}};
    s.now = time_point(1000s);
    s.self.switches = switches;
    return s;
}

// Sends the full state from every peer, all settled, so that the real instance settles.
void settle(fixture& s)
{
    outbox out;
    gossip all;
    all.records = s.peers;
    all.is_reply = true;
    all.settled = true;
    for (int round = 0; round < 2; ++round) {
        for (const member_record& from : s.peers) {
            deliver(s, from, all, out);
            all.records_digest = s.self.records_digest;
            all.facts_digest = s.self.facts_digest;
        }
    }
    run_for(s, 2s);
    REQUIRE(has_authority(s.self, s.now));
}

// The reply of the real instance to a message from a peer; default-constructed if there is none.
template <typename Answer, typename Question>
Answer request_reply(fixture& s, const member_record& from, const Question& question)
{
    outbox out;
    deliver(s, from, question, out);
    for (const envelope& message : out) {
        if (const auto* found = std::get_if<Answer>(&message.body)) {
            return *found;
        }
    }
    return {};
}

const fact fence_of_peer_2{fact_kind::incarnation_fenced, 2, 1, {}};

bool authority_ages_from_send_time(const mechanism_switches& switches)
{
    fixture s = make_fixture(switches);
    settle(s);
    s.answer_pings = false;
    run_for(s, 500ms);
    const time_point newest_ping = s.now;
    run_for(s, 1s);
    s.answer_pings = true;
    outbox out;
    for (const envelope& request : std::exchange(s.unanswered_pings, {})) {
        if (s.self.probes.at(std::get<ping>(request.body).sequence).sent < newest_ping) {
            send_reply(s, request, out);
        }
    }
    return authority_until(s.self) <= newest_ping + s.self.settings.authority_term;
}

bool proof_waits_for_drift(const mechanism_switches& switches)
{
    fixture s = make_fixture(switches);
    settle(s);
    raise_fact(s.self, fence_of_peer_2);
    run_for(s, 10s);
    return s.proved_at && *s.proved_at - *s.last_fence_ack >= with_drift(s.self.settings.authority_term);
}

bool proof_needs_every_instance(const mechanism_switches& switches)
{
    fixture s = make_fixture(switches);
    settle(s);
    // In each other region one instance could still acknowledge pings of the fenced peer.
    s.peers_without_fence_ack = {instance_id{4}, instance_id{6}};
    raise_fact(s.self, fence_of_peer_2);
    run_for(s, 10s);
    return !s.proved_at;
}

bool restart_requires_table(const mechanism_switches& switches)
{
    fixture acknowledger = make_fixture(switches);
    settle(acknowledger);
    raise_fact(acknowledger.self, fence_of_peer_2);
    member_record restarted = acknowledger.peers[0];
    restarted.number = 2;
    const auto ack = request_reply<ping_ack>(acknowledger, restarted, ping{7});
    REQUIRE(ack.region == region_id{1});
    fixture s = make_fixture(switches);
    s.fenced_incarnation = ack.fenced_incarnation;
    s.self.settings.self.number = 2;
    settle(s);
    return !owns_allocation_without_table(s.self);
}

bool newer_process_aborts_fencing(const mechanism_switches& switches)
{
    fixture acknowledger = make_fixture(switches);
    settle(acknowledger);
    member_record restarted = acknowledger.peers[0];
    restarted.number = 2;
    request_reply<ping_ack>(acknowledger, restarted, ping{7});
    const auto ack =
        request_reply<fence_ack>(acknowledger, acknowledger.peers[1], fence_notice{instance_id{2}, 1});
    fixture s = make_fixture(switches);
    settle(s);
    s.newest_incarnation = ack.newest_incarnation;
    raise_fact(s.self, fence_of_peer_2);
    run_for(s, 10s);
    return !s.proved_at;
}

bool settles_before_acknowledging(const mechanism_switches& switches)
{
    fixture s = make_fixture(switches);
    run_for(s, 100ms);
    const bool refused = request_reply<ping_ack>(s, s.peers[1], ping{7}).region == region_id{};
    settle(s);
    return refused && request_reply<ping_ack>(s, s.peers[1], ping{8}).region == region_id{1};
}

} // namespace

TEST_CASE("membership: each mechanism is needed", "[membership]")
{
    // Guards against authority after a stop was proved, a false proof, and two owners of one allocation. Each
    // check must also fail with its mechanism switched off, so that it detects the loss of that mechanism.
    struct mechanism_case {
        const char* name;
        bool mechanism_switches::*mechanism;
        bool (*check)(const mechanism_switches&);
    };
    const auto tested = GENERATE(
        mechanism_case{"age from send time", &mechanism_switches::age_from_send_time,
                       authority_ages_from_send_time},
        mechanism_case{"drift margin", &mechanism_switches::drift_margin, proof_waits_for_drift},
        mechanism_case{"every instance", &mechanism_switches::every_instance_acknowledges,
                       proof_needs_every_instance},
        mechanism_case{"fenced incarnation in ack", &mechanism_switches::fenced_incarnation_in_ack,
                       restart_requires_table},
        mechanism_case{"newest incarnation in fence_ack",
                       &mechanism_switches::newest_incarnation_in_fence_ack, newer_process_aborts_fencing},
        mechanism_case{"settle", &mechanism_switches::settle_before_acknowledging,
                       settles_before_acknowledging});
    INFO(tested.name);
    CHECK(tested.check({}));
    mechanism_switches without;
    without.*tested.mechanism = false;
    CHECK_FALSE(tested.check(without));
}
