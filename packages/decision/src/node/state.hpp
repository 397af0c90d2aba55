/// @file
/// Control state of one instance; internal to the node module.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "camphorknot/node.hpp"

namespace camphorknot {
namespace internal {

/// What a platform call was made for.
enum class call_purpose : std::uint8_t {
    distribution_table,
    distribution_object,
    change,
    move_lease,
    snapshot_write
};

struct pending_call {
    call_purpose purpose{};
    move_id move; ///< Only for move_lease.
    time_point sent{};
};

enum class change_origin : std::uint8_t { operator_request, progress };
enum class change_stage : std::uint8_t { waiting, reading_head, writing, resolving };

/// A change on its way into the table. At most one per instance is under way; the others wait in order.
struct change_in_progress {
    std::uint64_t id = 0;
    configuration_change next;
    std::uint64_t expected_version = 0;
    change_origin origin = change_origin::operator_request;
    change_stage stage = change_stage::waiting;
    time_point started{};
    time_point not_before{};
    std::uint64_t call = 0; ///< Platform call under way, 0 for none.
    table_transaction transaction;
};

/// Requests in flight to a drain's targets, as last reported.
struct drain_count {
    std::uint64_t in_flight = 0;
    time_point heard{};
};

/// A move that has not ended, and its lease at the instance that is chosen to hold it.
struct active_move {
    move_object object;
    move_state progress;
    std::optional<lease> holder;
    std::uint64_t lease_call = 0;
    std::uint64_t proposed_change = 0;
    time_point next_report{};
    std::map<instance_id, drain_count> instance_counts; ///< Of the own region, at its reporting instance.
    std::map<region_id, drain_count> region_counts;     ///< At the instance that advances the drain.
};

} // namespace internal

struct node {
    node(const node_settings& wanted, membership known, time_point now);

    node_settings settings;
    instance_id self;
    region_id region;
    failure_domain_id failure_domain;
    random_source random;
    membership members;
    distribution versions;
    budget_ledger ledger;
    std::shared_ptr<traffic_state> shared;
    std::shared_ptr<const traffic_snapshot> view;
    std::shared_ptr<const configured_view> configured;
    bool view_stale = true;
    bool configured_stale = true;
    std::uint64_t members_digest = 0;
    time_point next_member_check{};
    bool leaving = false;
    time_point leaving_since;
    time_point authority_since;
    bool had_authority = false;
    std::uint64_t own_number = 0;

    key_table keys;
    lookup_table blocks;
    std::map<std::string, std::uint16_t> site_set_numbers;
    std::vector<site_set_object> site_sets;
    std::vector<region_id> regions;
    std::set<budget_id> budgets;
    std::uint64_t last_operator_version = 0; ///< Last version that changed more than progress.
    std::map<instance_id, time_point> live_since;

    std::uint64_t next_call = 1;
    std::map<std::uint64_t, internal::pending_call> calls;
    time_point store_answered;
    time_point store_failed;

    std::uint64_t next_change = 1;
    std::deque<internal::change_in_progress> changes;
    std::map<std::uint64_t, change_progress> change_results;

    std::map<move_id, internal::active_move> moves;
    std::map<instance_id, time_point>
        allocations_to_take; ///< Instances proved stopped whose slots nobody owns yet.
    std::uint64_t allocation_change = 0;
    time_point next_allocation_check;
};

namespace internal {

/// Raises a fact here and acts on it.
void raise_and_apply(node& state, const fact& value, node_output& out);

/// Sends a call to the platform. @return its id.
std::uint64_t
send_call(node& state, call_purpose purpose, move_id move,
          std::variant<table_read, table_transaction, operation_read, object_read, object_write> request,
          time_point now, node_output& out);

/// Brings every module in line with a configuration change.
void apply_to_modules(node& state, const configuration_change& change, time_point now, node_output& out);

/// Starts all budgets again, as a restarted process does.
void rebuild_ledger(node& state, time_point now);

/// Notices members whose authority or ticket epoch changed; membership raises no events for these.
void check_members(node& state, time_point now);

/// Rebuilds the snapshot if something in it changed.
void refresh_snapshot(node& state);

/// Starts a change that records progress. @return its id.
std::uint64_t propose_progress(node& state, std::vector<configuration_object> upserts,
                               std::vector<object_key> removals, time_point now);
void tick_changes(node& state, time_point now, node_output& out);
void on_change_answer(node& state, std::uint64_t call, const table_answer& answer, time_point now,
                      node_output& out);

void tick_moves(node& state, time_point now, unix_milliseconds wall_now, node_output& out);
void on_lease_answer(node& state, move_id move, const table_answer& answer, time_point now);
void take_over_move(node& state, const move_object& object, time_point now, node_output& out);
void take_over_progress(node& state, const move_progress_object& progress, time_point now, node_output& out);

/// Reports what is in flight to the targets of running drains.
void tick_drains(node& state, time_point now, node_output& out);
void on_drain_report(node& state, const envelope& message, time_point now);
/// @return requests in flight to the drain's targets on all live instances, or nothing if one has not
/// reported.
std::optional<std::uint64_t> drained_in_flight(const node& state, const active_move& move, time_point now);

void tick_allocations(node& state, time_point now, node_output& out);

void add_event(node_output& out, std::string name, std::vector<std::pair<std::string, std::string>> fields);

} // namespace internal
} // namespace camphorknot
