#include <catch2/catch.hpp>

#include "camphorknot/membership.hpp"

using namespace camphorknot;
using namespace std::chrono_literals;

namespace {

using internal::mechanism_switches;

// One real instance among five played ones: two in each of three regions. The played ones answer at once.
struct stage {
    membership self;
    std::vector<member_record> played;
    time_point now{1000s};
    bool answer_pings = true;
    incarnation fenced_incarnation = 0;      ///< Named in every acknowledged ping.
    incarnation newest_incarnation = 1;      ///< Named in every fence_ack.
    std::set<instance_id> without_fence_ack; ///< Do not acknowledge fences.
    std::vector<envelope> unanswered;
    std::optional<time_point> last_fence_ack;
    std::optional<time_point> proved;
};

void deliver(stage& s, const member_record& from, peer_message body, outbox& out)
{
    on_message(s.self, {from.instance, from.number, s.self.settings.self.instance, std::move(body)}, s.now,
               out);
}

void answer(stage& s, const envelope& asked, outbox& out)
{
    const auto player = std::find_if(s.played.begin(), s.played.end(), [&](const member_record& record) {
        return record.instance == asked.to;
    });
    if (const auto* probe = std::get_if<ping>(&asked.body)) {
        if (!s.answer_pings) {
            s.unanswered.push_back(asked);
            return;
        }
        deliver(s, *player, ping_ack{probe->sequence, player->region, s.fenced_incarnation, 0, 0}, out);
    } else if (const auto* notice = std::get_if<fence_notice>(&asked.body)) {
        if (!s.without_fence_ack.contains(asked.to)) {
            s.last_fence_ack = s.now;
            deliver(s, *player,
                    fence_ack{notice->subject, notice->number, player->region, s.newest_incarnation}, out);
        }
    }
}

void pass(stage& s, duration length)
{
    for (const time_point end = s.now + length; s.now < end; s.now += 50ms) {
        outbox out;
        tick(s.self, s.now, out);
        for (std::size_t next = 0; next < out.size(); ++next) {
            answer(s, envelope(out[next]), out);
        }
        for (const membership_event& event : take_events(s.self)) {
            const auto* proof = std::get_if<proved_stopped>(&event);
            if (proof != nullptr && !proof->replaced && !s.proved) {
                s.proved = s.now;
            }
        }
    }
}

stage make_stage(const mechanism_switches& switches)
{
    membership_settings settings;
    std::vector<member_record> records(6);
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].instance = instance_id{i + 1};
        records[i].number = 1;
        records[i].region = region_id{i / 2 + 1};
    }
    // An id with which this instance is one of those that collect the acknowledgements of the fence.
    records[0].instance = instance_id{9};
    settings.self = records[0];
    settings.regions = {region_id{1}, region_id{2}, region_id{3}};
    stage s{*make_membership(settings, time_point(1000s)),
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

// The peers tell all they know and are settled.
void let_settle(stage& s)
{
    outbox out;
    gossip all;
    all.records = s.played;
    all.is_reply = true;
    all.settled = true;
    for (int round = 0; round < 2; ++round) {
        for (const member_record& from : s.played) {
            deliver(s, from, all, out);
            all.records_digest = s.self.records_digest;
            all.facts_digest = s.self.facts_digest;
        }
    }
    pass(s, 2s);
    REQUIRE(has_authority(s.self, s.now));
}

// The acknowledgement that the real instance gives.
template <typename Answer, typename Question>
Answer ask(stage& s, const member_record& from, const Question& question)
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

const fact fence_of_second{fact_kind::incarnation_fenced, 2, 1, {}};

bool counts_from_sending(const mechanism_switches& switches)
{
    stage s = make_stage(switches);
    let_settle(s);
    s.answer_pings = false;
    pass(s, 500ms);
    const time_point newest_ping = s.now;
    pass(s, 1s);
    s.answer_pings = true;
    outbox out;
    for (const envelope& asked : std::exchange(s.unanswered, {})) {
        if (s.self.probes.at(std::get<ping>(asked.body).sequence).sent < newest_ping) {
            answer(s, asked, out);
        }
    }
    return authority_until(s.self) <= newest_ping + s.self.settings.authority_term;
}

bool waits_for_drift(const mechanism_switches& switches)
{
    stage s = make_stage(switches);
    let_settle(s);
    raise_fact(s.self, fence_of_second);
    pass(s, 10s);
    return s.proved && *s.proved - *s.last_fence_ack >= with_drift(s.self.settings.authority_term);
}

bool waits_for_every_instance(const mechanism_switches& switches)
{
    stage s = make_stage(switches);
    let_settle(s);
    // One instance of each other region could still acknowledge the pings of the fenced one.
    s.without_fence_ack = {instance_id{4}, instance_id{6}};
    raise_fact(s.self, fence_of_second);
    pass(s, 10s);
    return !s.proved;
}

bool restarted_asks_the_table(const mechanism_switches& switches)
{
    stage peer = make_stage(switches);
    let_settle(peer);
    raise_fact(peer.self, fence_of_second);
    member_record restarted = peer.played[0];
    restarted.number = 2;
    const auto given = ask<ping_ack>(peer, restarted, ping{7});
    REQUIRE(given.region == region_id{1});
    stage s = make_stage(switches);
    s.fenced_incarnation = given.fenced_incarnation;
    s.self.settings.self.number = 2;
    let_settle(s);
    return !owns_allocation_without_table(s.self);
}

bool gives_up_for_a_newer_process(const mechanism_switches& switches)
{
    stage peer = make_stage(switches);
    let_settle(peer);
    member_record restarted = peer.played[0];
    restarted.number = 2;
    ask<ping_ack>(peer, restarted, ping{7});
    const auto given = ask<fence_ack>(peer, peer.played[1], fence_notice{instance_id{2}, 1});
    stage s = make_stage(switches);
    let_settle(s);
    s.newest_incarnation = given.newest_incarnation;
    raise_fact(s.self, fence_of_second);
    pass(s, 10s);
    return !s.proved;
}

bool pulls_before_it_acknowledges(const mechanism_switches& switches)
{
    stage s = make_stage(switches);
    pass(s, 100ms);
    const bool refused = ask<ping_ack>(s, s.played[1], ping{7}).region == region_id{};
    let_settle(s);
    return refused && ask<ping_ack>(s, s.played[1], ping{8}).region == region_id{1};
}

} // namespace

TEST_CASE("membership: each mechanism is needed", "[membership]")
{
    // Guards against authority after a proof, a proof that is not true, and two owners of one allocation.
    // Each case also fails with its mechanism switched off, so that none can go missing unseen.
    struct mechanism_case {
        const char* name;
        bool mechanism_switches::*mechanism;
        bool (*holds)(const mechanism_switches&);
    };
    const auto tried = GENERATE(
        mechanism_case{"age from sending", &mechanism_switches::age_from_sending, counts_from_sending},
        mechanism_case{"drift margin", &mechanism_switches::drift_margin, waits_for_drift},
        mechanism_case{"every instance", &mechanism_switches::every_instance_acknowledges,
                       waits_for_every_instance},
        mechanism_case{"fenced number", &mechanism_switches::fenced_number_in_ack, restarted_asks_the_table},
        mechanism_case{"newest number", &mechanism_switches::newest_number_in_fence_ack,
                       gives_up_for_a_newer_process},
        mechanism_case{"settle", &mechanism_switches::settle_before_acknowledging,
                       pulls_before_it_acknowledges});
    INFO(tried.name);
    CHECK(tried.holds({}));
    mechanism_switches without;
    without.*tried.mechanism = false;
    CHECK_FALSE(tried.holds(without));
}
