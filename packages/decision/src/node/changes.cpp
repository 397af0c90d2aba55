#include <algorithm>

#include "state.hpp"

namespace camphorknot {

using internal::change_in_progress;
using internal::change_origin;
using internal::change_stage;

namespace {

constexpr duration change_timeout = std::chrono::seconds(10);
constexpr duration retry_delay = std::chrono::milliseconds(200);
constexpr std::size_t max_stored_results = 256;

// Ends the first queued change and stores its result.
void finish(node& state, change_status status, node_output& out)
{
    const change_in_progress& change = state.changes.front();
    change_progress& result = state.change_results[change.id];
    result.status = status;
    result.version =
        status == change_status::accepted ? change.next.version : in_force(state.configurations).version;
    internal::add_event(out, "change_finished",
                        {{"change", std::to_string(change.id)},
                         {"version", std::to_string(result.version)},
                         {"accepted", status == change_status::accepted ? "true" : "false"}});
    state.changes.pop_front();
    while (state.change_results.size() > max_stored_results) {
        state.change_results.erase(state.change_results.begin());
    }
}

void retry_later(change_in_progress& change, time_point now)
{
    change.stage = change_stage::waiting;
    change.call = 0;
    change.not_before = now + retry_delay;
}

// An operator's change conflicts with every later change except those that only recorded progress of moves or
// owners of allocations: these are not part of the manifest on which the operator's change is based.
bool conflicts(const node& state, const change_in_progress& change)
{
    return change.origin == change_origin::operator_request &&
           (change.expected_version < state.last_operator_version ||
            change.expected_version > in_force(state.configurations).version);
}

// Bases the change on the version in force. Returns false if the change ended with a conflict or as invalid.
bool rebase(node& state, change_in_progress& change, node_output& out)
{
    if (conflicts(state, change)) {
        finish(state, change_status::version_conflict, out);
        return false;
    }
    change.next.version = in_force(state.configurations).version + 1;
    std::vector<change_problem> problems = validate(in_force(state.configurations), change.next);
    if (!problems.empty()) {
        state.change_results[change.id].problems = std::move(problems);
        finish(state, change_status::invalid, out);
        return false;
    }
    return true;
}

void send_read_of_head(node& state, change_in_progress& change, time_point now, node_output& out)
{
    change.stage = change_stage::reading_head;
    change.call = internal::send_call(state, internal::call_purpose::change, {},
                                      table_read{std::string(configuration_head_row)}, now, out);
}

void send_write(node& state, change_in_progress& change, std::uint64_t head_row_version, time_point now,
                node_output& out)
{
    const std::uint64_t operation = state.random();
    change.transaction = make_change_transaction(change.next, head_row_version, operation);
    change.stage = change_stage::writing;
    change.call =
        internal::send_call(state, internal::call_purpose::change, {}, change.transaction, now, out);
}

// Sends the same operation id again: the table executes a transaction once, however often it arrives.
void repeat_write(node& state, change_in_progress& change, time_point now, node_output& out)
{
    change.stage = change_stage::writing;
    change.call =
        internal::send_call(state, internal::call_purpose::change, {}, change.transaction, now, out);
}

// Puts the accepted change into force on this instance at once, without waiting for a store reader.
void apply_accepted_change(node& state, const configuration_change& accepted, time_point now,
                           node_output& out)
{
    on_change_committed(state.configurations, accepted);
    for (const configuration_change& change : take_applied(state.configurations)) {
        internal::apply_to_modules(state, change, now, out);
    }
}

void on_head_read(node& state, change_in_progress& change, const table_answer& answer, time_point now,
                  node_output& out)
{
    const bool missing = answer.status == table_status::not_found;
    if (answer.status != table_status::ok && !missing) {
        retry_later(change, now);
        return;
    }
    const std::string head = missing || !answer.row ? "0" : answer.row->value;
    if (head != std::to_string(in_force(state.configurations).version)) {
        retry_later(change, now); // This instance has an older version; distribution must catch up first.
        return;
    }
    if (!has_authority(state.members, now)) {
        finish(state, change_status::authority_lost, out);
        return;
    }
    if (rebase(state, change, out)) {
        send_write(state, change, missing || !answer.row ? 0 : answer.row->version, now, out);
    }
}

void on_write_answer(node& state, change_in_progress& change, const table_answer& answer, time_point now,
                     node_output& out)
{
    switch (answer.status) {
    case table_status::ok:
        apply_accepted_change(state, change.next, now, out);
        finish(state, change_status::accepted, out);
        break;
    case table_status::conflict:
        if (change.origin == change_origin::progress) {
            finish(state, change_status::version_conflict, out);
        } else {
            retry_later(change, now);
        }
        break;
    case table_status::unavailable:
    case table_status::not_found:
        retry_later(change, now);
        change.stage = change_stage::resolving;
        break;
    case table_status::unknown:
        change.stage = change_stage::resolving;
        change.call = 0;
        change.not_before = now + retry_delay;
        break;
    }
}

void on_resolved(node& state, change_in_progress& change, const table_answer& answer, time_point now,
                 node_output& out)
{
    if (answer.status == table_status::ok) {
        apply_accepted_change(state, change.next, now, out);
        finish(state, change_status::accepted, out);
    } else if (answer.status == table_status::not_found) {
        repeat_write(state, change, now, out);
    } else {
        change.call = 0;
        change.not_before = now + retry_delay;
    }
}

// A write without an answer may still take effect, so its change must not end before the result is resolved.
bool may_time_out(const change_in_progress& change)
{
    return change.stage == change_stage::waiting || change.stage == change_stage::reading_head;
}

} // namespace

std::uint64_t propose_change(node& state, configuration_change next, std::uint64_t expected_version,
                             time_point now, node_output& out)
{
    change_in_progress change;
    change.id = state.next_change++;
    change.next = std::move(next);
    change.expected_version = expected_version;
    change.started = now;
    const std::uint64_t id = change.id;
    state.change_results[id].status = change_status::pending;
    state.changes.push_back(std::move(change));
    internal::tick_changes(state, now, out);
    return id;
}

std::uint64_t internal::propose_progress(node& state, std::vector<configuration_object> upserts,
                                         std::vector<object_key> removals, time_point now)
{
    change_in_progress change;
    change.id = state.next_change++;
    change.next.upserts = std::move(upserts);
    change.next.removals = std::move(removals);
    change.origin = change_origin::progress;
    change.started = now;
    const std::uint64_t id = change.id;
    state.change_results[id].status = change_status::pending;
    state.changes.push_back(std::move(change));
    return id;
}

void internal::tick_changes(node& state, time_point now, node_output& out)
{
    if (state.changes.empty()) {
        return;
    }
    change_in_progress& change = state.changes.front();
    if (change.call != 0 || now < change.not_before) {
        return;
    }
    if (change.stage == change_stage::resolving) {
        change.call = send_call(state, call_purpose::change, {}, operation_read{change.transaction.operation},
                                now, out);
        return;
    }
    if (!has_authority(state.members, now)) {
        finish(state, change_status::authority_lost, out);
        return;
    }
    if (may_time_out(change) && now - change.started > change_timeout) {
        finish(state, change_status::store_unavailable, out);
        return;
    }
    if (rebase(state, change, out)) {
        send_read_of_head(state, change, now, out);
    }
}

void internal::on_change_answer(node& state, std::uint64_t call, const table_answer& answer, time_point now,
                                node_output& out)
{
    if (state.changes.empty() || state.changes.front().call != call) {
        return;
    }
    change_in_progress& change = state.changes.front();
    change.call = 0;
    switch (change.stage) {
    case change_stage::reading_head:
        on_head_read(state, change, answer, now, out);
        break;
    case change_stage::writing:
        on_write_answer(state, change, answer, now, out);
        break;
    case change_stage::resolving:
        on_resolved(state, change, answer, now, out);
        break;
    case change_stage::waiting:
        break;
    }
}

change_progress progress_of(const node& state, std::uint64_t change)
{
    const auto found = state.change_results.find(change);
    if (found == state.change_results.end()) {
        return {};
    }
    change_progress progress = found->second;
    if (progress.status == change_status::accepted) {
        for (const member_record& member : live_members(state.members)) {
            if (member.configuration_version < progress.version && member.instance != state.self) {
                progress.lagging_instances.push_back(member.peer_address);
            }
        }
    }
    return progress;
}

} // namespace camphorknot
