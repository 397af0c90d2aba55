#include <algorithm>
#include <charconv>

#include "distribution_internal.hpp"

namespace camphorknot {
namespace {

using internal::read_kind;

// The runtime's own timeout is shorter; this covers an answer that never comes.
constexpr duration read_answer_term = std::chrono::seconds(5);
constexpr duration longest_read_pause = std::chrono::seconds(1);
// With this time per live instance between reads of instances that are no readers, the whole fleet makes
// about 100 reads a second at any size, of the 2,000 that the table can take.
constexpr duration fallback_time_per_instance = std::chrono::milliseconds(20);
constexpr duration shortest_fallback_spread = std::chrono::seconds(1);
// Time between two changes that the first reader of a burst reads; the one of rank r takes (r + 2) / 2 times
// as long. Even if all 42 readers of 21 regions read a burst at once, they make less than 100 * (2/2 + 2/3 +
// ... + 2/43) = 670 reads a second, of the 2,000 that the table can take.
constexpr duration burst_read_pause = std::chrono::milliseconds(10);
// A reader of a burst takes over when the one before it in rank made no progress for this long. Reports from
// other regions come once a second.
constexpr duration burst_takeover_term = std::chrono::milliseconds(1000);
// Instances that are no readers come after the first readers have failed.
constexpr std::size_t burst_rank_of_others = 4;
constexpr std::uint64_t reader_salt = hash_name("configuration reader");

std::uint64_t reader_hash(instance_id instance)
{
    return mix_hash(instance.value, reader_salt);
}

bool is_reader(const distribution& state)
{
    const auto higher = std::ranges::count_if(state.live, [&](const member_record& member) {
        return member.region == state.settings.region && member.state == member_state::alive &&
               reader_hash(member.instance) > reader_hash(state.settings.self);
    });
    return higher < state.settings.readers_per_region;
}

// Whether a reader may be reading a burst for the others. One that reports a version far below the one in
// force here has stopped, or needs this instance's help itself; reports are up to a second old, the time of
// about 100 reads.
bool may_lead_burst(const distribution& state, instance_id reader)
{
    constexpr std::uint64_t versions_read_between_reports = 100;
    const auto report = state.reports.find(reader);
    return report != state.reports.end() &&
           report->second.version + versions_read_between_reports >= state.current.version;
}

// Number of readers of all regions that read a burst of changes before this instance.
std::size_t burst_rank(const distribution& state)
{
    if (!is_reader(state)) {
        return burst_rank_of_others;
    }
    std::map<region_id, std::vector<std::pair<std::uint64_t, instance_id>>> readers;
    for (const member_record& member : state.live) {
        if (member.state == member_state::alive && member.instance != state.settings.self) {
            readers[member.region].emplace_back(reader_hash(member.instance), member.instance);
        }
    }
    std::size_t rank = 0;
    for (auto& [region, of_region] : readers) {
        std::ranges::sort(of_region, [](const auto& a, const auto& b) { return a.first > b.first; });
        of_region.resize(std::min<std::size_t>(of_region.size(), state.settings.readers_per_region));
        rank += static_cast<std::size_t>(std::ranges::count_if(of_region, [&](const auto& reader) {
            return reader.first > reader_hash(state.settings.self) && may_lead_burst(state, reader.second);
        }));
    }
    return rank;
}

// A few changes are read by all readers at once, which is fastest. In a burst, one reader of the fleet reads
// and the others get the changes from it, since all readers of 21 regions together would exceed what the
// table can take.
bool may_read_change(distribution& state, time_point now)
{
    if (now < state.next_change_read || internal::peer_can_help(state, now)) {
        return false;
    }
    if (internal::is_burst(state) && !state.reads_burst) {
        const auto rank = static_cast<std::int64_t>(burst_rank(state));
        state.reads_burst = now - state.behind_since.value_or(now) >= rank * burst_takeover_term;
    }
    return !internal::is_burst(state) || state.reads_burst;
}

// A random part of @p whole.
duration fraction_of(distribution& state, duration whole)
{
    return duration(
        static_cast<std::int64_t>(uniform_real(state.random) * static_cast<double>(whole.count())));
}

duration fallback_pause(distribution& state)
{
    const duration per_fleet = fallback_time_per_instance * static_cast<std::int64_t>(state.live.size());
    const duration spread = std::max(shortest_fallback_spread, per_fleet);
    return fraction_of(state, spread);
}

bool readers_are_silent(const distribution& state, time_point now)
{
    const time_point last = state.confirmed.value_or(state.started);
    return now - last >= state.settings.silent_readers_term;
}

// Peers get some time to bring the version before an instance that is no reader goes to the table.
bool stuck_behind(const distribution& state, time_point now)
{
    return state.behind_since && now - *state.behind_since >= state.settings.silent_readers_term;
}

void note_behind(distribution& state, bool behind, time_point now)
{
    if (!behind) {
        state.behind_since.reset();
    } else if (!state.behind_since) {
        state.behind_since = now;
    }
}

// Work that grows with the fleet is not done at every tick: at 2,400 instances it took more than the whole
// budget of processor time. A member that joins or leaves is noticed at once by the count.
constexpr duration live_period = std::chrono::milliseconds(500);

void forget_stopped_peers(distribution& state)
{
    std::set<instance_id> present;
    for (const member_record& member : state.live) {
        present.insert(member.instance);
    }
    std::erase_if(state.reports, [&](const auto& entry) { return !present.contains(entry.first); });
}

void note_live(distribution& state, std::span<const member_record> live, time_point now)
{
    if (live.size() == state.live.size() && now < state.next_live_check) {
        return;
    }
    state.next_live_check = now + live_period;
    state.live.assign(live.begin(), live.end());
    forget_stopped_peers(state);
    internal::refresh_highest_report(state);
}

distribution_read start_read(distribution& state, read_kind kind, std::uint64_t version, time_point now)
{
    state.read = internal::read_under_way{kind, version, now};
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

// The last snapshot at or below what was reported, if reading it saves many changes.
std::optional<std::uint64_t> useful_snapshot(const distribution& state, time_point now)
{
    const std::uint64_t highest = internal::highest_reported(state);
    const std::uint64_t snapshot = highest - highest % snapshot_interval;
    const bool fresh = state.current.version == 0;
    const bool far = highest > state.current.version + snapshot_interval;
    if ((!fresh && !far) || snapshot <= state.current.version || now < state.skip_objects_until) {
        return std::nullopt;
    }
    return snapshot;
}

void note_failed_read(distribution& state, time_point now)
{
    ++state.counts.table_failures;
    ++state.read_failures;
    state.reads_burst = false;
    const duration pause =
        state.settings.read_period * (std::int64_t{1} << std::min(state.read_failures, 3U));
    const duration whole =
        std::min(pause, longest_read_pause) + fraction_of(state, state.settings.read_period);
    state.next_head_read = std::max(state.next_head_read, now + whole);
    state.next_change_read = now + whole;
}

void give_up_read(distribution& state, time_point now)
{
    if (state.read->kind == read_kind::snapshot) {
        state.skip_objects_until = now + internal::failed_source_pause;
    } else {
        note_failed_read(state, now);
    }
    state.read.reset();
}

std::optional<std::uint64_t> decode_head(const table_answer& answer)
{
    if (answer.status == table_status::not_found) {
        return 0;
    }
    const std::string& value = answer.row->value;
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), version);
    const bool whole = error == std::errc{} && end == value.data() + value.size();
    return whole ? std::optional(version) : std::nullopt;
}

void on_head(distribution& state, const table_answer& answer, time_point now)
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
    state.confirmed = now;
    state.head = answer.row.value_or(table_row{std::string(configuration_head_row), "", 0});
    state.head_version = *version;
    internal::note_agreement(state);
}

} // namespace

distribution make_distribution(const distribution_settings& settings, time_point now)
{
    distribution state;
    state.settings = settings;
    state.random.state = settings.seed ^ settings.self.value;
    state.started = now;
    state.next_head_read = now + fraction_of(state, settings.read_period);
    return state;
}

distribution_read tick(distribution& state, std::span<const member_record> live, time_point now, outbox& out)
{
    note_live(state, live, now);
    internal::send_parts(state, out);
    if (state.read && now - state.read->sent >= read_answer_term) {
        give_up_read(state, now);
    }
    const bool behind = internal::highest_reported(state) > state.current.version;
    note_behind(state, behind, now);
    const auto snapshot = behind ? useful_snapshot(state, now) : std::nullopt;
    if (snapshot && !state.read) {
        return start_read(state, read_kind::snapshot, *snapshot, now);
    }
    if (behind && !snapshot) {
        internal::request_changes(state, now, out);
    }
    if (state.read) {
        return {};
    }
    if (now >= state.next_head_read) {
        const bool reader = is_reader(state);
        state.next_head_read = now + (reader ? state.settings.read_period : fallback_pause(state));
        if (reader || readers_are_silent(state, now) || stuck_behind(state, now)) {
            return start_read(state, read_kind::head, 0, now);
        }
    }
    // Changes that the table has and no peer can give are read one by one.
    if (state.head_version > state.current.version && may_read_change(state, now)) {
        return start_read(state, read_kind::change, state.current.version + 1, now);
    }
    return {};
}

void on_table_answer(distribution& state, const table_answer& answer, time_point now)
{
    if (!state.read || state.read->kind == read_kind::snapshot) {
        return;
    }
    const bool of_head = state.read->kind == read_kind::head;
    const std::string expected =
        of_head ? std::string(configuration_head_row) : change_row(state.read->version);
    if (answer.row && answer.row->row != expected) {
        return;
    }
    const bool absent = answer.status == table_status::not_found;
    const internal::read_under_way read = *std::exchange(state.read, std::nullopt);
    if (!absent && (answer.status != table_status::ok || !answer.row)) {
        note_failed_read(state, now);
        return;
    }
    if (std::exchange(state.read_failures, 0) > 0) {
        // All instances waited through the outage; their order in a burst counts from its end.
        state.behind_since.reset();
    }
    if (of_head) {
        on_head(state, answer, now);
    } else if (absent) {
        note_failed_read(state, now);
    } else if (!internal::apply_text(state, read.version, answer.row->value)) {
        state.next_change_read = now + state.settings.read_period;
    } else if (internal::is_burst(state)) {
        state.next_change_read =
            read.sent + burst_read_pause * static_cast<std::int64_t>(burst_rank(state) + 2) / 2;
    }
}

void on_object_answer(distribution& state, std::optional<std::string_view> text, time_point now)
{
    if (!state.read || state.read->kind != read_kind::snapshot) {
        return;
    }
    const std::uint64_t version = std::exchange(state.read, std::nullopt)->version;
    auto snapshot = text ? decode_snapshot(*text) : std::nullopt;
    if (!snapshot || snapshot->version != version) {
        state.counts.malformed += text ? 1 : 0;
        state.skip_objects_until = now + internal::failed_source_pause;
        return;
    }
    internal::install_snapshot(state, std::move(*snapshot));
}

} // namespace camphorknot
