#include <algorithm>
#include <array>

#include "state.hpp"

namespace camphorknot::internal {
namespace {

constexpr std::array<std::string_view, 5> stage_names = {"waiting", "running", "soaking", "done",
                                                         "rolled_back"};
constexpr std::array<std::string_view, 7> reason_names = {
    "none",         "version_failing", "version_slow", "deadline", "operator_request",
    "targets_idle", "cut_at_deadline"};

template <typename Value, std::size_t Count>
Value value_from_name(const std::array<std::string_view, Count>& names, std::string_view name)
{
    const auto found = std::ranges::find(names, name);
    return found == names.end() ? Value{} : static_cast<Value>(found - names.begin());
}

bool has_ended(const move_state& progress)
{
    return progress.stage == move_stage::done || progress.stage == move_stage::rolled_back;
}

move_state to_state(const move_progress_object& object, std::uint64_t version)
{
    move_state result;
    result.id = make_id<move_id>(object.move);
    result.stage = value_from_name<move_stage>(stage_names, object.stage);
    result.reason = value_from_name<move_reason>(reason_names, object.reason);
    result.share_percent = object.share_percent;
    result.step = object.step;
    result.fencing_token = object.fencing_token;
    result.row_version = version;
    return result;
}

move_progress_object to_object(const move_object& move, const move_state& progress, std::uint64_t token)
{
    return {move.name,
            std::string(stage_names[static_cast<std::size_t>(progress.stage)]),
            progress.share_percent,
            progress.step,
            std::string(reason_names[static_cast<std::size_t>(progress.reason)]),
            token};
}

// The targets of a drain get no new work from the time the move is in force, whether or not an instance holds
// its lease yet. They get work again if the move is rolled back.
void apply_drain(node& state, const active_move& move)
{
    if (move.object.kind != move_kind::drain) {
        return;
    }
    const bool leaving = move.progress.stage != move_stage::rolled_back;
    const std::lock_guard lock(state.shared->routing_mutex);
    for (const std::string& address : move.object.targets) {
        set_leaving(state.shared->routing, make_id<target_id>(address), leaving);
    }
}

void tick_lease(node& state, active_move& move, time_point now, node_output& out)
{
    if (move.lease_call != 0) {
        return;
    }
    const lease_request next_request = tick(*move.own_lease, now);
    const auto id = make_id<move_id>(move.object.name);
    if (next_request.read) {
        move.lease_call = send_call(state, call_purpose::move_lease, id, *next_request.read, now, out);
    } else if (next_request.transaction) {
        move.lease_call = send_call(state, call_purpose::move_lease, id, *next_request.transaction, now, out);
    } else if (next_request.resolve) {
        move.lease_call = send_call(state, call_purpose::move_lease, id, *next_request.resolve, now, out);
    }
}

// A version is stopped permanently when its withdrawal is in force or its rollout has been rolled back.
bool stops_version(const active_move& move)
{
    return move.object.kind == move_kind::withdrawal ||
           (move.object.kind == move_kind::rollout && move.progress.stage == move_stage::rolled_back);
}

void apply_move_effects(node& state, const active_move& move, node_output& out)
{
    apply_drain(state, move);
    if (stops_version(move)) {
        raise_and_apply(state,
                        fact{fact_kind::version_stopped,
                             hash_name(move.object.version),
                             hash_name(move.object.service),
                             {}},
                        out);
    }
}

lease_settings make_lease_settings(const node& state, const move_object& object)
{
    lease_settings settings;
    settings.row = "lease/" + object.name;
    settings.owner = state.settings.peer_address + "#" + std::to_string(state.settings.process_nonce);
    settings.seed = mix_hash(state.settings.seed, hash_name(object.name));
    return settings;
}

bool is_assigned(const node& state, const active_move& move)
{
    return choose_by_rendezvous(state.members, hash_name(move.object.name), std::nullopt, std::nullopt) ==
           state.self;
}

// The change that records the end of a rollout also makes its version the active one.
std::vector<configuration_object> make_upserts(const node& state, const active_move& move,
                                               const move_state& next, std::uint64_t token)
{
    std::vector<configuration_object> upserts = {to_object(move.object, next, token)};
    const auto& objects = in_force(state.configurations).objects;
    const auto service = objects.find({object_kind::service, move.object.service});
    if (move.object.kind == move_kind::rollout && next.stage == move_stage::done &&
        service != objects.end()) {
        service_object changed = std::get<service_object>(service->second);
        changed.active_version = move.object.version;
        upserts.emplace_back(std::move(changed));
    }
    return upserts;
}

void advance(node& state, active_move& move, std::uint64_t token, time_point now, unix_milliseconds wall_now)
{
    const auto pending = state.change_results.find(move.proposed_change);
    if (pending != state.change_results.end() && pending->second.status == change_status::pending) {
        return;
    }
    const auto in_flight = drain_in_flight(state, move, now);
    std::optional<move_state> next;
    {
        const std::lock_guard lock(state.shared->rollout_mutex);
        next =
            next_state(state.shared->rollout, make_id<move_id>(move.object.name), wall_now, now, in_flight);
    }
    if (next) {
        move.proposed_change = propose_progress(state, make_upserts(state, move, *next, token), {}, now);
    }
}

void tick_move(node& state, active_move& move, time_point now, unix_milliseconds wall_now, node_output& out)
{
    if (has_ended(move.progress) || !has_authority(state.members, now) || !is_assigned(state, move)) {
        move.own_lease.reset();
        move.lease_call = 0;
        return;
    }
    if (!move.own_lease) {
        move.own_lease = make_lease(make_lease_settings(state, move.object), now);
    }
    tick_lease(state, move, now, out);
    if (const auto token = holds(*move.own_lease, now)) {
        advance(state, move, *token, now, wall_now);
    }
}

} // namespace

void tick_moves(node& state, time_point now, unix_milliseconds wall_now, node_output& out)
{
    for (auto& [id, move] : state.moves) {
        tick_move(state, move, now, wall_now, out);
    }
}

void on_lease_answer(node& state, move_id move, const table_answer& answer, time_point now)
{
    const auto found = state.moves.find(move);
    if (found != state.moves.end() && found->second.own_lease && found->second.lease_call != 0) {
        found->second.lease_call = 0;
        on_table_answer(*found->second.own_lease, answer, now);
    }
}

void apply_move(node& state, const move_object& object, time_point now, node_output& out)
{
    active_move& move = state.moves[make_id<move_id>(object.name)];
    move.object = object;
    move.progress.id = make_id<move_id>(object.name);
    apply_move_effects(state, move, out);
    const std::lock_guard lock(state.shared->rollout_mutex);
    set_move(state.shared->rollout, object, move.progress, now);
}

void apply_move_progress(node& state, const move_progress_object& progress, time_point now, node_output& out)
{
    const auto found = state.moves.find(make_id<move_id>(progress.move));
    if (found == state.moves.end()) {
        return;
    }
    active_move& move = found->second;
    move.progress = to_state(progress, in_force(state.configurations).version);
    apply_move_effects(state, move, out);
    {
        const std::lock_guard lock(state.shared->rollout_mutex);
        set_move(state.shared->rollout, move.object, move.progress, now);
    }
    add_event(out, "move_progress",
              {{"move", progress.move},
               {"stage", progress.stage},
               {"share_percent", std::to_string(progress.share_percent)},
               {"reason", progress.reason}});
}

} // namespace camphorknot::internal
