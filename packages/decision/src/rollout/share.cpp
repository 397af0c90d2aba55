#include <algorithm>

#include "camphorknot/rollout.hpp"
#include "camphorknot/rollout/pooling.hpp"

namespace camphorknot {

using namespace internal;

namespace {

constexpr double percent = 100;
/// Caches of new targets are cold for about this time; until then their latencies are not compared.
constexpr duration longest_warm_up = std::chrono::seconds(10);
constexpr std::uint32_t samples_for_p90 = 40;
/// The last p90 stays in use for as long as there is no newer one, so it must be a better estimate.
constexpr std::uint32_t samples_for_last_p90 = 100;
constexpr std::uint32_t p90_refresh_samples = 8;
constexpr std::uint32_t usual_p90_refreshes = 50;
constexpr double slow_quantile = 0.9;
/// Without the old version's latencies of the same period, only much slower requests count as slow.
constexpr double past_bound_factor = 1.5;
/// Latencies fade by half in this time, so the baseline follows the load.
constexpr duration baseline_fade = std::chrono::seconds(10);
constexpr std::uint32_t least_faded_total = 200;
/// Requests that the new version owes at most, so it gets a share again soon after a step.
constexpr double largest_debt = -50;
constexpr std::uint32_t kb_bits_per_class = 4;

// Classes up to 1 KB, 16 KB, 256 KB, 4 MB and above.
std::uint32_t size_class_of(std::uint64_t request_kb)
{
    std::uint32_t size_class = 0;
    for (std::uint64_t rest = request_kb; rest > 1; rest >>= kb_bits_per_class) {
        ++size_class;
    }
    return size_class;
}

rollout_move* find_rollout(rollout_state& state, service_id service)
{
    for (auto& [id, move] : state.moves) {
        if (move.service == service && gets_traffic(move)) {
            return &move;
        }
    }
    return nullptr;
}

bool is_stopped(const rollout_state& state, service_id service, version_id version)
{
    return state.stopped.contains({service, version});
}

void fade(baseline& old, time_point now)
{
    if (now - old.last_decayed < baseline_fade || old.latencies.total < least_faded_total) {
        return;
    }
    old.last_decayed = now;
    old.latencies.total = 0;
    for (std::uint32_t& count : old.latencies.counts) {
        count /= 2;
        old.latencies.total += count;
    }
}

void add_baseline(baseline& old, duration latency, time_point now)
{
    fade(old, now);
    add_sample(old.latencies, latency);
    if (old.samples_to_refresh > 0 || old.latencies.total < samples_for_p90) {
        old.samples_to_refresh -= old.samples_to_refresh > 0 ? 1 : 0;
        return;
    }
    old.samples_to_refresh = p90_refresh_samples;
    old.p90 = quantile(old.latencies, slow_quantile);
    old.refreshes = std::min(old.refreshes + 1, usual_p90_refreshes);
    old.average_p90 += (old.p90 - old.average_p90) / old.refreshes;
}

// Without traffic on the old version, the comparison is with what it usually had.
duration slow_bound(const baseline& old, const rollout_move& move)
{
    const bool concurrent = move.durable.share_percent < percent;
    if (old.latencies.total < (concurrent ? samples_for_p90 : samples_for_last_p90)) {
        return duration::zero();
    }
    if (concurrent) {
        return old.p90;
    }
    return duration(
        static_cast<duration::rep>(past_bound_factor * static_cast<double>(old.average_p90.count())));
}

void add_latency(tally& counts, const baseline& old, const rollout_move& move, duration latency)
{
    const duration bound = slow_bound(old, move);
    if (bound > duration::zero()) {
        ++counts.timed;
        counts.slow += latency > bound ? 1 : 0;
    }
}

// Outcomes of the new version without a choice (callers that already saw it, retries) use up its share.
void settle_share(rollout_move& move)
{
    ++move.finished_new;
    if (move.finished_new > move.chosen_new + move.unchosen_new) {
        ++move.unchosen_new;
        move.share_credit = std::max(largest_debt, move.share_credit - 1);
    }
}

void enter_step(rollout_move& move, time_point now)
{
    move.step_started = now;
    if (gets_traffic(move) && move.traffic_started == time_point{}) {
        move.traffic_started = now;
    }
    move.total = 0;
    move.chosen_new = 0;
    move.finished_new = 0;
    move.unchosen_new = 0;
    move.own.clear();
    move.members.clear();
    move.regions.clear();
    move.fleet.clear();
    for (auto* judges : {&move.local, &move.pooled}) {
        for (auto& [route, evidence] : *judges) {
            begin_step(evidence);
        }
    }
}

version_id choose_by_counter(rollout_state& state, rollout_move& move, version_id active)
{
    const double share = move.durable.share_percent / percent;
    ++move.total;
    if (!state.enabled.share_counter) {
        return uniform_real(state.random) < share ? move.version : active;
    }
    move.share_credit += share;
    if (move.share_credit < 1) {
        return active;
    }
    move.share_credit -= 1;
    ++move.chosen_new;
    constexpr double rounding = 1e-6;
    check_invariant(static_cast<double>(move.chosen_new) <=
                        share * static_cast<double>(move.total) + 1 + rounding,
                    promise::p5_bad_version, "share_counter");
    return move.version;
}

} // namespace

rollout_state make_rollout_state(instance_id self, std::uint64_t seed)
{
    rollout_state state;
    state.self = self;
    state.random.state = seed;
    return state;
}

void set_move(rollout_state& state, const move_object& move, const move_state& durable, time_point now)
{
    state.now = std::max(state.now, now);
    const auto [place, added] = state.moves.try_emplace(durable.id);
    rollout_move& kept = place->second;
    if (!added && durable.row_version < kept.durable.row_version) {
        return;
    }
    const move_state before = kept.durable;
    kept.object = move;
    kept.durable = durable;
    kept.service = make_id<service_id>(move.service);
    kept.version = make_id<version_id>(move.version);
    if (added) {
        kept.first_received = now;
        // Instances that start to share at the same time must not all send their first request there.
        kept.share_credit = uniform_real(state.random);
    }
    if (added || before.step != durable.step || before.stage != durable.stage) {
        enter_step(kept, now);
    }
}

version_id choose_version(rollout_state& state, const service_object& service, time_point now)
{
    state.now = std::max(state.now, now);
    const auto id = make_id<service_id>(service.name);
    const auto active = make_id<version_id>(service.active_version);
    rollout_move* move = find_rollout(state, id);
    if (move == nullptr || move->version == active || is_stopped(state, id, move->version)) {
        for (const auto& [key, other] : state.moves) {
            // The configuration may still name the old version for a moment after the rollout is done.
            const bool done = other.service == id && other.object.kind == move_kind::rollout &&
                              other.durable.stage == move_stage::done;
            if (move == nullptr && done && !is_stopped(state, id, other.version)) {
                return other.version;
            }
        }
        return active;
    }
    const version_id chosen = choose_by_counter(state, *move, active);
    check_invariant(chosen == active || !is_stopped(state, id, chosen), promise::p5_bad_version,
                    "chosen_version_not_stopped");
    return chosen;
}

void count_outcome(rollout_state& state, service_id service, route_id route, version_id version, bool failed,
                   duration latency, std::uint64_t request_kb, time_point now)
{
    state.now = std::max(state.now, now);
    rollout_move* move = find_rollout(state, service);
    const bool is_new = move != nullptr && version == move->version;
    baseline& old = state.baselines[{service, route, size_class_of(request_kb)}];
    if (!is_new && !failed) {
        add_baseline(old, latency, now);
    }
    if (move == nullptr) {
        return;
    }
    route_counts& counts = move->own[route];
    tally& side = is_new ? counts.new_version : counts.old_version;
    ++side.requests;
    side.failures += failed ? 1 : 0;
    const bool warm = now - move->traffic_started >= longest_warm_up;
    if (!failed && (!is_new || warm)) {
        add_latency(side, old, *move, latency);
    }
    if (is_new) {
        settle_share(*move);
    }
}

void on_version_stopped(rollout_state& state, service_id service, version_id version)
{
    state.stopped.insert({service, version});
    for (auto& [id, move] : state.moves) {
        if (move.service == service && move.version == version && move.stop_received == time_point{}) {
            move.stop_received = state.now;
        }
    }
}

} // namespace camphorknot
