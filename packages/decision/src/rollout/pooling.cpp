#include "camphorknot/rollout/pooling.hpp"

#include <algorithm>
#include <optional>

#include "camphorknot/rollout.hpp"

namespace camphorknot {

using namespace internal;

namespace {

constexpr duration shortest_round = std::chrono::milliseconds(250);
constexpr std::size_t members_per_round_unit = 12;
constexpr std::size_t most_fleet_receivers = 8;

// Keeps the counts with more requests, so the order of messages does not matter.
void keep_larger(tally& kept, const tally& received)
{
    const bool newer = received.requests > kept.requests ||
                       (received.requests == kept.requests && received.timed > kept.timed);
    if (newer) {
        kept = received;
    }
}

void add_entry(step_counts& counts, const rollout_move& move, const rollout_counts::entry& entry)
{
    const tally received{entry.requests, entry.failures, entry.timed, entry.slow};
    route_counts& route = counts[entry.route];
    keep_larger(entry.version == move.version ? route.new_version : route.old_version, received);
}

void add_all(step_counts& sum, const step_counts& counts)
{
    for (const auto& [route, both] : counts) {
        route_counts& into = sum[route];
        into.old_version += both.old_version;
        into.new_version += both.new_version;
    }
}

step_counts region_counts(const rollout_move& move)
{
    step_counts sum = move.own;
    for (const auto& [sender, counts] : move.members) {
        add_all(sum, counts);
    }
    return sum;
}

step_counts fleet_counts(const rollout_move& move, region_id own_region)
{
    step_counts sum = region_counts(move);
    for (const auto& [region, counts] : move.regions) {
        if (region != own_region) {
            add_all(sum, counts);
        }
    }
    return sum;
}

void append_entries(rollout_counts& message, const rollout_move& move, const step_counts& counts)
{
    const auto append = [&](route_id route, version_id version, const tally& values) {
        message.entries.push_back({.move = move.durable.id,
                                   .route = route,
                                   .version = version,
                                   .window = move.durable.step,
                                   .requests = values.requests,
                                   .failures = values.failures,
                                   .timed = values.timed,
                                   .slow = values.slow});
    };
    for (const auto& [route, both] : counts) {
        append(route, move.version, both.new_version);
        append(route, version_id{}, both.old_version);
    }
}

bool may_pool(const member_record& member)
{
    return member.state == member_state::alive;
}

// The pooling instance of a region: the live member with the highest rendezvous hash.
std::optional<instance_id> pooling_instance(std::span<const member_record> live, region_id region)
{
    std::optional<instance_id> best;
    std::uint64_t best_hash = 0;
    for (const member_record& member : live) {
        if (member.region != region || !may_pool(member)) {
            continue;
        }
        const std::uint64_t hash = mix_hash(member.instance.value, region.value);
        if (!best || hash > best_hash) {
            best = member.instance;
            best_hash = hash;
        }
    }
    return best;
}

template <typename Counts>
rollout_counts make_message(const rollout_state& state, count_scope scope, region_id region, Counts counts_of)
{
    rollout_counts message;
    message.scope = scope;
    message.region = region;
    for (const auto& [id, move] : state.moves) {
        if (gets_traffic(move)) {
            append_entries(message, move, counts_of(move));
        }
    }
    return message;
}

void send(const rollout_state& state, const member_record& self, instance_id to, rollout_counts message,
          outbox& out)
{
    if (!message.entries.empty() && to != state.self) {
        out.push_back({state.self, self.number, to, std::move(message)});
    }
}

std::vector<instance_id> other_members(std::span<const member_record> live, const member_record& self)
{
    std::vector<instance_id> members;
    for (const member_record& member : live) {
        if (member.region == self.region && member.instance != self.instance) {
            members.push_back(member.instance);
        }
    }
    return members;
}

std::vector<region_id> regions_of(std::span<const member_record> live)
{
    std::vector<region_id> regions;
    regions.reserve(live.size());
    for (const member_record& member : live) {
        regions.push_back(member.region);
    }
    std::sort(regions.begin(), regions.end());
    regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    return regions;
}

void send_sums(rollout_state& state, std::span<const member_record> live, const member_record& self,
               outbox& out)
{
    const rollout_counts of_region =
        make_message(state, count_scope::region, self.region,
                     [](const rollout_move& move) { return region_counts(move); });
    for (const region_id region : regions_of(live)) {
        const auto pool = pooling_instance(live, region);
        if (region != self.region && pool) {
            send(state, self, *pool, of_region, out);
        }
    }
    const rollout_counts of_fleet =
        make_message(state, count_scope::fleet, region_id{},
                     [&](const rollout_move& move) { return fleet_counts(move, self.region); });
    const std::vector<instance_id> members = other_members(live, self);
    const std::size_t receivers = std::min(most_fleet_receivers, members.size());
    for (std::size_t place = 0; place < receivers; ++place) {
        send(state, self, members[(state.round * receivers + place) % members.size()], of_fleet, out);
    }
}

double route_count(const rollout_move& move)
{
    return static_cast<double>(std::max<std::size_t>(1, std::max(move.pooled.size(), move.local.size())));
}

} // namespace

namespace internal {

bool gets_traffic(const rollout_move& move)
{
    return move.object.kind == move_kind::rollout &&
           (move.durable.stage == move_stage::running || move.durable.stage == move_stage::soaking);
}

duration round_length(std::size_t members)
{
    const std::size_t units = (members + members_per_round_unit - 1) / members_per_round_unit;
    return shortest_round * static_cast<duration::rep>(std::max<std::size_t>(1, units));
}

void exchange_counts(rollout_state& state, std::span<const member_record> live, outbox& out)
{
    const auto self = std::find_if(
        live.begin(), live.end(), [&](const member_record& member) { return member.instance == state.self; });
    if (self == live.end() || !state.enabled.pooled_counts) {
        state.is_pooling = false;
        return;
    }
    const auto pool = pooling_instance(live, self->region);
    state.region = self->region;
    state.is_pooling = pool == state.self;
    ++state.round;
    if (state.is_pooling) {
        send_sums(state, live, *self, out);
    } else if (pool) {
        send(state, *self, *pool,
             make_message(state, count_scope::instance, self->region,
                          [](const rollout_move& move) { return move.own; }),
             out);
    }
}

step_counts pooled_counts(const rollout_state& state, const rollout_move& move)
{
    if (state.is_pooling) {
        return fleet_counts(move, state.region);
    }
    // A sum of the fleet that lags behind the own counts would add nothing to them.
    step_counts sum = move.fleet;
    for (const auto& [route, both] : move.own) {
        route_counts& into = sum[route];
        keep_larger(into.old_version, both.old_version);
        keep_larger(into.new_version, both.new_version);
    }
    return sum;
}

// Two tests for each route share the error probability of the move.
judge_bounds pooled_bounds(const rollout_move& move)
{
    return make_bounds(2 * route_count(move));
}

judge_bounds local_bounds(const rollout_state& state, const rollout_move& move)
{
    return make_bounds(2 * route_count(move) * std::max(1U, state.live_count));
}

void judge_moves(rollout_state& state, duration elapsed)
{
    const auto judge_all = [&](std::map<route_id, route_judge>& judges, const step_counts& counts,
                               const judge_bounds& bounds, slow_comparison slow) {
        route_counts together;
        for (const auto& [route, both] : counts) {
            together.old_version += both.old_version;
            together.new_version += both.new_version;
            if (state.enabled.per_route_test) {
                add_counts(judges[route], both.old_version, both.new_version, elapsed, bounds, slow);
            }
        }
        if (!state.enabled.per_route_test) {
            add_counts(judges[route_id{}], together.old_version, together.new_version, elapsed, bounds, slow);
        }
    };
    for (auto& [id, move] : state.moves) {
        if (!gets_traffic(move)) {
            continue;
        }
        constexpr std::uint32_t whole_share = 100;
        const bool whole = move.durable.share_percent >= whole_share;
        judge_all(move.local, move.own, local_bounds(state, move),
                  whole ? slow_comparison::none : slow_comparison::concurrent);
        if (state.enabled.pooled_counts) {
            judge_all(move.pooled, pooled_counts(state, move), pooled_bounds(move),
                      whole ? slow_comparison::past : slow_comparison::concurrent);
        }
    }
}

} // namespace internal

void on_message(rollout_state& state, const envelope& message, time_point now)
{
    static_cast<void>(now);
    const auto* counts = std::get_if<rollout_counts>(&message.body);
    if (counts == nullptr) {
        return;
    }
    for (const rollout_counts::entry& entry : counts->entries) {
        const auto found = state.moves.find(entry.move);
        if (found == state.moves.end() || entry.window != found->second.durable.step) {
            continue;
        }
        rollout_move& move = found->second;
        switch (counts->scope) {
        case count_scope::instance:
            add_entry(move.members[{message.from, message.from_incarnation}], move, entry);
            break;
        case count_scope::region:
            add_entry(move.regions[counts->region], move, entry);
            break;
        case count_scope::fleet:
            add_entry(move.fleet, move, entry);
            break;
        }
    }
}

std::vector<fact> tick(rollout_state& state, std::span<const member_record> live, time_point now, outbox& out)
{
    if (now < state.next_round) {
        return {};
    }
    state.live_count = static_cast<std::uint32_t>(std::max<std::size_t>(1, live.size()));
    const auto self = std::find_if(
        live.begin(), live.end(), [&](const member_record& member) { return member.instance == state.self; });
    const auto in_region = std::count_if(live.begin(), live.end(), [&](const member_record& member) {
        return self != live.end() && member.region == self->region;
    });
    const duration length = round_length(static_cast<std::size_t>(in_region));
    const duration elapsed =
        state.last_judged == time_point{} ? length : std::min<duration>(now - state.last_judged, 2 * length);
    state.next_round = now + length;
    state.last_judged = now;
    exchange_counts(state, live, out);
    judge_moves(state, elapsed);
    std::vector<fact> stops;
    for (auto& [id, move] : state.moves) {
        const verdict found = judge(state, id);
        const bool bad = found == verdict::failing || found == verdict::slow;
        if (bad && gets_traffic(move) && !move.stop_reported) {
            move.stop_reported = true;
            move.stop_received = now;
            state.stopped.insert({move.service, move.version});
            stops.push_back({.kind = fact_kind::version_stopped,
                             .subject = move.version.value,
                             .detail = move.service.value});
        }
    }
    return stops;
}

verdict judge(const rollout_state& state, move_id move)
{
    const auto found = state.moves.find(move);
    if (found == state.moves.end()) {
        return verdict::undecided;
    }
    const rollout_move& judged = found->second;
    const auto& main = state.enabled.pooled_counts ? judged.pooled : judged.local;
    const judge_bounds main_bounds =
        state.enabled.pooled_counts ? pooled_bounds(judged) : local_bounds(state, judged);
    bool all_good = !main.empty();
    for (const auto& [route, evidence] : main) {
        const verdict said = verdict_of(evidence, main_bounds);
        if (said == verdict::failing || said == verdict::slow) {
            return said;
        }
        all_good = all_good && said == verdict::good;
    }
    for (const auto& [route, evidence] : judged.local) {
        const verdict said = verdict_of(evidence, local_bounds(state, judged));
        if (said == verdict::failing || said == verdict::slow) {
            return said;
        }
    }
    return all_good ? verdict::good : verdict::undecided;
}

} // namespace camphorknot
