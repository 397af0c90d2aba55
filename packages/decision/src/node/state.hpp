/// @file
/// Control state of one instance; internal to the node module.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "camphorknot/node.hpp"

namespace camphorknot {
namespace internal {

/// Purpose of a platform call, which selects the handler of its answer.
enum class call_purpose : std::uint8_t {
    distribution_table,
    distribution_object,
    change,
    move_lease,
    snapshot_write
};

/// A platform call without an answer so far.
struct pending_call {
    call_purpose purpose{};
    move_id move; ///< Only for move_lease.
    time_point sent{};
};

/// Who proposed a change: an operator, or this instance to record progress of a move or an allocation.
enum class change_origin : std::uint8_t { operator_request, progress };
/// Step of a change. After a write without an answer, resolving asks the table whether the write took effect.
enum class change_stage : std::uint8_t { waiting, reading_head, writing, resolving };

/// A change that is to be written to the table. Each instance writes one at a time; the others wait in order.
struct change_in_progress {
    std::uint64_t id = 0;
    configuration_change next;
    std::uint64_t expected_version = 0;
    change_origin origin = change_origin::operator_request;
    change_stage stage = change_stage::waiting;
    time_point started{};
    time_point not_before{}; ///< Time of the next try.
    std::uint64_t call = 0;  ///< Pending platform call, 0 for none.
    table_transaction transaction;
};

/// Requests in flight to a drain's targets, as last reported by an instance or a region.
struct drain_count {
    std::uint64_t in_flight = 0;
    time_point last_received{};
};

/// A move of the configuration and its progress. The instance that rendezvous hashing selects holds the
/// move's lease and advances it.
struct active_move {
    move_object object;
    move_state progress;
    std::optional<lease> own_lease;    ///< Set while this instance is the selected one.
    std::uint64_t lease_call = 0;      ///< Pending platform call of the lease, 0 for none.
    std::uint64_t proposed_change = 0; ///< Last change that this instance proposed for the move.
    time_point next_report{};          ///< Of requests in flight, for drains.
    /// Reports from the own region, at the instance that sums them up.
    std::map<instance_id, drain_count> instance_counts;
    /// Reports from all regions, at the instance that advances the drain.
    std::map<region_id, drain_count> region_counts;
};

} // namespace internal

/// Control state of one instance, with the state of every module.
struct node {
    node(const node_settings& initial_settings, membership initial_members, time_point now);

    node_settings settings;
    instance_id self;
    region_id region;
    failure_domain_id failure_domain;
    random_source random;
    membership members;
    distribution configurations;
    budget_ledger ledger;
    std::shared_ptr<traffic_state> shared;
    std::shared_ptr<const traffic_snapshot> view;
    std::shared_ptr<const configured_view> configured;
    bool view_stale = true;           ///< The snapshot must be rebuilt.
    bool configured_stale = true;     ///< The configured view must be rebuilt.
    std::uint64_t members_digest = 0; ///< Of the live members; see check_members.
    time_point next_member_check{};
    bool leaving = false; ///< A graceful stop has begun.
    time_point leaving_since;
    time_point authority_since;
    bool had_authority = false;
    std::uint64_t own_incarnation = 0; ///< Raised when this process renumbers itself after a fence.

    key_table keys;
    lookup_table blocks;
    std::map<std::string, std::uint16_t> site_set_indices;
    std::vector<site_set_object> site_sets;
    std::vector<region_id> regions;
    std::set<budget_id> budgets;
    /// Last version that changed more than progress of moves and owners of allocations.
    std::uint64_t last_operator_version = 0;
    std::map<instance_id, time_point> live_since; ///< When each member joined.

    std::uint64_t next_call = 1;
    std::map<std::uint64_t, internal::pending_call> calls;
    time_point last_store_answer;
    time_point last_store_failure;

    std::uint64_t next_change = 1;
    std::deque<internal::change_in_progress> changes;
    std::map<std::uint64_t, change_progress> change_results;

    std::map<move_id, internal::active_move> moves;
    std::map<instance_id, time_point> stopped_owners; ///< Instances proved stopped; their slots can be taken.
    std::uint64_t allocation_change = 0;              ///< Last change that was proposed for an allocation.
    time_point next_allocation_check;
};

namespace internal {

/// Records a fact raised by this instance and applies it.
void raise_and_apply(node& state, const fact& value, node_output& out);

/// Sends a call to the platform. @return its id.
std::uint64_t
send_call(node& state, call_purpose purpose, move_id move,
          std::variant<table_read, table_transaction, operation_read, object_read, object_write> request,
          time_point now, node_output& out);

/// Applies a configuration change to every module that it affects.
void apply_to_modules(node& state, const configuration_change& change, time_point now, node_output& out);

/// Replaces the budget ledger by a new one, like that of a restarted process.
void rebuild_ledger(node& state, time_point now);

/// Marks the snapshot stale if a member's authority, state or ticket epoch changed; membership raises no
/// events for these.
void check_members(node& state, time_point now);

/// Rebuilds the snapshot if something in it changed.
void refresh_snapshot(node& state);

/// Queues a change that records progress of a move or of an allocation. @return its id.
std::uint64_t propose_progress(node& state, std::vector<configuration_object> upserts,
                               std::vector<object_key> removals, time_point now);
/// Starts the next step of the first queued change.
void tick_changes(node& state, time_point now, node_output& out);
void on_change_answer(node& state, std::uint64_t call, const table_answer& answer, time_point now,
                      node_output& out);

/// Renews the leases of the moves that this instance is selected for and advances these moves.
void tick_moves(node& state, time_point now, unix_milliseconds wall_now, node_output& out);
void on_lease_answer(node& state, move_id move, const table_answer& answer, time_point now);
/// Adds or updates a move when its object comes into force.
void apply_move(node& state, const move_object& object, time_point now, node_output& out);
/// Updates a move when its recorded progress comes into force.
void apply_move_progress(node& state, const move_progress_object& progress, time_point now, node_output& out);

/// Reports the requests in flight to the targets of running drains.
void tick_drains(node& state, time_point now, node_output& out);
void on_drain_report(node& state, const envelope& message, time_point now);
/// @return requests in flight to the drain's targets from all live instances, or nothing if the report of a
/// region is missing.
std::optional<std::uint64_t> drain_in_flight(const node& state, const active_move& move, time_point now);

/// Claims, takes over or returns allocations of budgets, at most one at a time.
void tick_allocations(node& state, time_point now, node_output& out);

void add_event(node_output& out, std::string name, std::vector<std::pair<std::string, std::string>> fields);

} // namespace internal
} // namespace camphorknot
