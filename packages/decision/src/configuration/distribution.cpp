#include <algorithm>
#include <charconv>

#include "distribution_internal.hpp"

namespace camphorknot {
namespace {

using internal::read_kind;

// The runtime's own timeout is shorter; this one covers an answer that is never delivered.
constexpr duration read_timeout = std::chrono::seconds(5);
constexpr duration max_read_pause = std::chrono::seconds(1);
// An instance that is not a reader pauses between two reads for a random time of up to this multiplied by the
// number of live instances. At any size the whole fleet thus makes about 100 reads a second; the table can
// serve 2,000.
constexpr duration fallback_time_per_instance = std::chrono::milliseconds(20);
constexpr duration min_fallback_spread = std::chrono::seconds(1);
// Time between two change reads of the reader of rank 0 during a burst; rank r waits (r + 2) / 2 times as
// long. Even if all 42 readers of 21 regions read a burst at once, they make less than
// 100 * (2/2 + 2/3 + ... + 2/43) = 670 reads a second; the table can serve 2,000.
constexpr duration burst_read_pause = std::chrono::milliseconds(10);
// The reader of rank r starts to read a burst after it received no new version for r times this long. Reports
// from other regions arrive once a second.
constexpr duration burst_takeover_delay = std::chrono::milliseconds(1000);
// Instances that are not readers take over only after the readers of lower ranks failed.
constexpr std::size_t burst_rank_of_non_readers = 4;
constexpr std::uint64_t reader_salt = hash_name("configuration reader");

std::uint64_t reader_hash(instance_id instance)
{
    return mix_hash(instance.value, reader_salt);
}

bool is_reader(const distribution& state)
{
    const auto higher = std::ranges::count_if(state.live_members, [&](const member_record& member) {
        return member.region == state.settings.region && member.state == member_state::alive &&
               reader_hash(member.instance) > reader_hash(state.settings.self);
    });
    return higher < state.settings.readers_per_region;
}

// Whether @p reader may be reading a burst on behalf of the others. A reader that reports a version far below
// the one in force here has stopped or is behind itself. Reports are up to a second old, the time of about
// 100 reads.
bool may_be_burst_reader(const distribution& state, instance_id reader)
{
    constexpr std::uint64_t versions_read_between_reports = 100;
    const auto report = state.reports.find(reader);
    return report != state.reports.end() &&
           report->second.version + versions_read_between_reports >= state.current.version;
}

// Number of readers in all regions that precede this instance in reading a burst of changes.
std::size_t burst_rank(const distribution& state)
{
    if (!is_reader(state)) {
        return burst_rank_of_non_readers;
    }
    std::map<region_id, std::vector<std::pair<std::uint64_t, instance_id>>> readers;
    for (const member_record& member : state.live_members) {
        if (member.state == member_state::alive && member.instance != state.settings.self) {
            readers[member.region].emplace_back(reader_hash(member.instance), member.instance);
        }
    }
    std::size_t rank = 0;
    for (auto& [region, region_readers] : readers) {
        std::ranges::sort(region_readers, [](const auto& a, const auto& b) { return a.first > b.first; });
        region_readers.resize(
            std::min<std::size_t>(region_readers.size(), state.settings.readers_per_region));
        rank += static_cast<std::size_t>(std::ranges::count_if(region_readers, [&](const auto& reader) {
            return reader.first > reader_hash(state.settings.self) &&
                   may_be_burst_reader(state, reader.second);
        }));
    }
    return rank;
}

// All readers read a few changes at once, which is fastest. During a burst, a single reader of the fleet
// reads and the others get the changes from it, since the readers of 21 regions together would overload the
// table.
bool may_read_change(distribution& state, time_point now)
{
    if (now < state.next_change_read || internal::peer_available(state, now)) {
        return false;
    }
    if (internal::is_burst(state) && !state.is_burst_reader) {
        const auto rank = static_cast<std::int64_t>(burst_rank(state));
        state.is_burst_reader = now - state.behind_since.value_or(now) >= rank * burst_takeover_delay;
    }
    return !internal::is_burst(state) || state.is_burst_reader;
}

// A uniformly random duration below @p limit.
duration random_fraction_of(distribution& state, duration limit)
{
    return duration(
        static_cast<std::int64_t>(uniform_real(state.random) * static_cast<double>(limit.count())));
}

duration fallback_pause(distribution& state)
{
    const duration fleet_spread =
        fallback_time_per_instance * static_cast<std::int64_t>(state.live_members.size());
    const duration spread = std::max(min_fallback_spread, fleet_spread);
    return random_fraction_of(state, spread);
}

bool readers_timed_out(const distribution& state, time_point now)
{
    const time_point last = state.last_confirmation.value_or(state.started);
    return now - last >= state.settings.reader_timeout;
}

// Gives peers some time to provide the next version before an instance that is not a reader reads the table.
bool is_behind_too_long(const distribution& state, time_point now)
{
    return state.behind_since && now - *state.behind_since >= state.settings.reader_timeout;
}

void update_behind_since(distribution& state, bool behind, time_point now)
{
    if (!behind) {
        state.behind_since.reset();
    } else if (!state.behind_since) {
        state.behind_since = now;
    }
}

// Time between two updates of the data derived from the member list. Updating them at every tick exceeded the
// processor time budget of an instance at 2,400 instances. A change of the number of members causes an update
// at once.
constexpr duration live_update_period = std::chrono::milliseconds(500);

void remove_stopped_peers(distribution& state)
{
    std::set<instance_id> present;
    for (const member_record& member : state.live_members) {
        present.insert(member.instance);
    }
    std::erase_if(state.reports, [&](const auto& entry) { return !present.contains(entry.first); });
}

void update_live_members(distribution& state, std::span<const member_record> live, time_point now)
{
    if (live.size() == state.live_members.size() && now < state.next_live_update) {
        return;
    }
    state.next_live_update = now + live_update_period;
    state.live_members.assign(live.begin(), live.end());
    remove_stopped_peers(state);
    internal::refresh_highest_report(state);
}

distribution_read start_read(distribution& state, read_kind kind, std::uint64_t version, time_point now)
{
    state.outstanding_read = internal::read_attempt{kind, version, now};
    distribution_read next;
    if (kind == read_kind::snapshot) {
        ++state.counts.object_reads;
        next.object = snapshot_name(version);
        return next;
    }
    ++state.counts.table_reads;
    next.table =
        table_read{kind == read_kind::head ? std::string(configuration_head_row) : change_row(version)};
    return next;
}

// Version of the last snapshot at or below the highest reported version, if reading it saves many changes.
std::optional<std::uint64_t> choose_snapshot(const distribution& state, time_point now)
{
    const std::uint64_t highest = internal::highest_reported(state);
    const std::uint64_t snapshot = highest - highest % snapshot_interval;
    const bool is_empty = state.current.version == 0;
    const bool is_far_behind = highest > state.current.version + snapshot_interval;
    if ((!is_empty && !is_far_behind) || snapshot <= state.current.version ||
        now < state.skip_objects_until) {
        return std::nullopt;
    }
    return snapshot;
}

void on_read_failed(distribution& state, time_point now)
{
    ++state.counts.table_failures;
    ++state.read_failures;
    state.is_burst_reader = false;
    const duration pause =
        state.settings.read_period * (std::int64_t{1} << std::min(state.read_failures, 3U));
    const duration delay =
        std::min(pause, max_read_pause) + random_fraction_of(state, state.settings.read_period);
    state.next_head_read = std::max(state.next_head_read, now + delay);
    state.next_change_read = now + delay;
}

void on_read_timeout(distribution& state, time_point now)
{
    if (state.outstanding_read->kind == read_kind::snapshot) {
        state.skip_objects_until = now + internal::failed_source_delay;
    } else {
        on_read_failed(state, now);
    }
    state.outstanding_read.reset();
}

std::optional<std::uint64_t> decode_head(const table_answer& answer)
{
    if (answer.status == table_status::not_found) {
        return 0;
    }
    const std::string& value = answer.row->value;
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), version);
    const bool complete = error == std::errc{} && end == value.data() + value.size();
    return complete ? std::optional(version) : std::nullopt;
}

void on_head_read(distribution& state, const table_answer& answer, time_point now)
{
    const auto version = decode_head(answer);
    if (!version) {
        ++state.counts.malformed;
        return;
    }
    if (*version < state.head_version) {
        ++state.counts.older_ignored;
        return;
    }
    state.last_confirmation = now;
    state.head = answer.row.value_or(table_row{std::string(configuration_head_row), "", 0});
    state.head_version = *version;
    internal::update_agreement(state);
}

} // namespace

distribution make_distribution(const distribution_settings& settings, time_point now)
{
    distribution state;
    state.settings = settings;
    state.random.state = settings.seed ^ settings.self.value;
    state.started = now;
    state.next_head_read = now + random_fraction_of(state, settings.read_period);
    return state;
}

distribution_read tick(distribution& state, std::span<const member_record> live, time_point now, outbox& out)
{
    update_live_members(state, live, now);
    internal::send_parts(state, out);
    if (state.outstanding_read && now - state.outstanding_read->sent >= read_timeout) {
        on_read_timeout(state, now);
    }
    const bool behind = internal::highest_reported(state) > state.current.version;
    update_behind_since(state, behind, now);
    const auto snapshot = behind ? choose_snapshot(state, now) : std::nullopt;
    if (snapshot && !state.outstanding_read) {
        return start_read(state, read_kind::snapshot, *snapshot, now);
    }
    if (behind && !snapshot) {
        internal::request_changes(state, now, out);
    }
    if (state.outstanding_read) {
        return {};
    }
    if (now >= state.next_head_read) {
        const bool reader = is_reader(state);
        state.next_head_read = now + (reader ? state.settings.read_period : fallback_pause(state));
        if (reader || readers_timed_out(state, now) || is_behind_too_long(state, now)) {
            return start_read(state, read_kind::head, 0, now);
        }
    }
    // Changes that no peer can provide are read from the table one by one.
    if (state.head_version > state.current.version && may_read_change(state, now)) {
        return start_read(state, read_kind::change, state.current.version + 1, now);
    }
    return {};
}

void on_table_answer(distribution& state, const table_answer& answer, time_point now)
{
    if (!state.outstanding_read || state.outstanding_read->kind == read_kind::snapshot) {
        return;
    }
    const bool is_head_read = state.outstanding_read->kind == read_kind::head;
    const std::string expected =
        is_head_read ? std::string(configuration_head_row) : change_row(state.outstanding_read->version);
    if (answer.row && answer.row->row != expected) {
        return;
    }
    const bool absent = answer.status == table_status::not_found;
    const internal::read_attempt read = *std::exchange(state.outstanding_read, std::nullopt);
    if (!absent && (answer.status != table_status::ok || !answer.row)) {
        on_read_failed(state, now);
        return;
    }
    if (std::exchange(state.read_failures, 0) > 0) {
        // All instances waited during the outage; the takeover delays of a burst start at its end.
        state.behind_since.reset();
    }
    if (is_head_read) {
        on_head_read(state, answer, now);
    } else if (absent) {
        on_read_failed(state, now);
    } else if (!internal::apply_text(state, read.version, answer.row->value)) {
        state.next_change_read = now + state.settings.read_period;
    } else if (internal::is_burst(state)) {
        state.next_change_read =
            read.sent + burst_read_pause * static_cast<std::int64_t>(burst_rank(state) + 2) / 2;
    }
}

void on_object_answer(distribution& state, std::optional<std::string_view> text, time_point now)
{
    if (!state.outstanding_read || state.outstanding_read->kind != read_kind::snapshot) {
        return;
    }
    const std::uint64_t version = std::exchange(state.outstanding_read, std::nullopt)->version;
    auto snapshot = text ? decode_snapshot(*text) : std::nullopt;
    if (!snapshot || snapshot->version != version) {
        state.counts.malformed += text ? 1 : 0;
        state.skip_objects_until = now + internal::failed_source_delay;
        return;
    }
    internal::install_snapshot(state, std::move(*snapshot));
}

} // namespace camphorknot
