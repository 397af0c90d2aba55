#include <algorithm>

#include "distribution_internal.hpp"

namespace camphorknot {
namespace internal {
namespace {

// Peers that are at most two snapshot intervals behind get their changes from memory. The limit in bytes
// keeps large changes to a small part of the 64 MB that an instance may use.
constexpr std::size_t max_recent_changes = 2 * snapshot_interval;
constexpr std::size_t max_recent_bytes = 4U << 20U;
constexpr std::size_t snapshot_writers = 2;

bool is_snapshot_writer(const distribution& state)
{
    const std::uint64_t version = state.current.version;
    const auto rank = [&](instance_id instance) { return mix_hash(instance.value, version); };
    const auto higher = std::ranges::count_if(state.live_members, [&](const member_record& member) {
        return member.state == member_state::alive && rank(member.instance) > rank(state.settings.self);
    });
    return static_cast<std::size_t>(higher) < snapshot_writers;
}

void add_recent_change(distribution& state, std::uint64_t version, std::string text)
{
    state.recent_change_bytes += text.size();
    state.recent_changes.push_back({version, std::move(text)});
    while (state.recent_changes.size() > max_recent_changes ||
           (state.recent_change_bytes > max_recent_bytes && state.recent_changes.size() > 1)) {
        state.recent_change_bytes -= state.recent_changes.front().text.size();
        state.recent_changes.pop_front();
    }
}

void on_version_changed(distribution& state, std::uint64_t version_before)
{
    check_invariant(state.current.version > version_before, promise::p11_configuration,
                    "configuration_version_goes_back");
    state.behind_since.reset();
    state.configured_regions.clear();
    for (auto entry = state.current.objects.lower_bound({object_kind::region, ""});
         entry != state.current.objects.end() && entry->first.kind == object_kind::region; ++entry) {
        state.configured_regions.insert(make_id<region_id>(entry->first.name));
    }
    update_agreement(state);
}

// Counts a text for a version that is already in force, and whether it differs from the text applied for it.
void compare_with_applied(distribution& state, std::uint64_t version, const std::string& text)
{
    ++state.counts.older_ignored;
    const auto same_version = [&](const encoded_change& change) { return change.version == version; };
    const auto applied = std::ranges::find_if(state.recent_changes, same_version);
    if (applied != state.recent_changes.end() && applied->text != text) {
        ++state.counts.conflicting;
    }
}

} // namespace

std::uint64_t highest_reported(const distribution& state)
{
    return std::max(state.head_version, state.highest_report);
}

void refresh_highest_report(distribution& state)
{
    state.highest_report = 0;
    for (const auto& [peer, report] : state.reports) {
        state.highest_report = std::max(state.highest_report, report.version);
    }
}

bool is_burst(const distribution& state)
{
    constexpr std::uint64_t min_burst = 8;
    return highest_reported(state) >= state.current.version + min_burst;
}

bool apply_text(distribution& state, std::uint64_t version, std::string text)
{
    const std::uint64_t before = state.current.version;
    if (version <= before) {
        compare_with_applied(state, version, text);
        return false;
    }
    if (version != before + 1) {
        ++state.counts.gaps_ignored;
        return false;
    }
    auto change = decode_change(text);
    if (!change || change->version != version) {
        ++state.counts.malformed;
        return false;
    }
    const change_error error = apply_change(state.current, *change);
    check_invariant(error == change_error::none, promise::p11_configuration, "next_change_applies");
    add_recent_change(state, version, std::move(text));
    state.applied_changes.push_back(std::move(*change));
    on_version_changed(state, before);
    if (version % snapshot_interval == 0 && is_snapshot_writer(state)) {
        state.pending_snapshot_write = snapshot_write{snapshot_name(version), encode_snapshot(state.current)};
    }
    return true;
}

void install_snapshot(distribution& state, configuration snapshot)
{
    const std::uint64_t before = state.current.version;
    if (snapshot.version <= before) {
        ++state.counts.older_ignored;
        return;
    }
    configuration_change change = diff(state.current, snapshot);
    change.version = snapshot.version;
    state.applied_changes.push_back(std::move(change));
    state.current = std::move(snapshot);
    // The earlier changes no longer lead up to the version in force.
    state.recent_changes.clear();
    state.recent_change_bytes = 0;
    on_version_changed(state, before);
}

void update_agreement(distribution& state)
{
    if (state.head && state.current.version >= state.head_version) {
        state.table_agreed = true;
    }
    std::map<region_id, std::uint64_t> highest;
    for (const auto& [peer, report] : state.reports) {
        if (report.version > 0 && !state.agreed_regions.contains(report.region)) {
            highest[report.region] = std::max(highest[report.region], report.version);
        }
    }
    for (const auto& [region, version] : highest) {
        if (state.current.version >= version) {
            state.agreed_regions.insert(region);
        }
    }
}

} // namespace internal

const configuration& in_force(const distribution& state)
{
    return state.current;
}

bool may_serve(const distribution& state, std::span<const region_id> regions)
{
    const auto majority_agreed = [&](const auto& set) {
        const auto agreed = std::ranges::count_if(
            set, [&](region_id region) { return state.agreed_regions.contains(region); });
        return 2 * static_cast<std::size_t>(agreed) > set.size();
    };
    return state.table_agreed || (majority_agreed(regions) && majority_agreed(state.configured_regions));
}

std::uint64_t reported_version(const distribution& state, std::span<const region_id> regions)
{
    return may_serve(state, regions) ? state.current.version : 0;
}

duration reader_age(const distribution& state, time_point now)
{
    return state.last_confirmation ? std::max(now - *state.last_confirmation, duration::zero())
                                   : reader_age_unknown;
}

std::vector<configuration_change> take_applied(distribution& state)
{
    return std::exchange(state.applied_changes, {});
}

std::optional<snapshot_write> take_snapshot_write(distribution& state, time_point now)
{
    if (!state.pending_snapshot_write || state.snapshot_write_in_progress ||
        now < state.next_snapshot_write) {
        return std::nullopt;
    }
    state.snapshot_write_in_progress = true;
    return state.pending_snapshot_write;
}

void on_snapshot_written(distribution& state, bool written, time_point now)
{
    state.snapshot_write_in_progress = false;
    if (written) {
        state.pending_snapshot_write.reset();
    }
    state.next_snapshot_write = now + internal::failed_source_delay;
}

std::optional<table_row> head_row(const distribution& state)
{
    return state.head;
}

void on_change_committed(distribution& state, const configuration_change& change)
{
    state.head_version = std::max(state.head_version, change.version);
    internal::apply_text(state, change.version, encode_change(change));
}

table_transaction make_change_transaction(const configuration_change& next, std::uint64_t head_row_version,
                                          std::uint64_t operation)
{
    const std::string row = change_row(next.version);
    const std::string head(configuration_head_row);
    table_transaction transaction;
    transaction.operation = operation;
    transaction.conditions = {{head, head_row_version}, {row, 0}};
    transaction.writes = {{head, std::to_string(next.version)}, {row, encode_change(next)}};
    return transaction;
}

std::string change_row(std::uint64_t version)
{
    return "config/change/" + std::to_string(version);
}

std::string snapshot_name(std::uint64_t version)
{
    return "configuration/" + std::to_string(version);
}

} // namespace camphorknot
