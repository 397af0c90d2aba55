#include <algorithm>

#include <nlohmann/json.hpp>

#include "distribution_internal.hpp"

namespace camphorknot {
namespace internal {
namespace {

using json = nlohmann::json;

// A round trip between regions takes up to 110 ms; a peer that is silent for so much longer is dead or
// paused.
constexpr duration peer_answer_term = std::chrono::seconds(1);
// A frame may have 256 KiB; the rest is left for the envelope and for escaped characters in the text.
constexpr std::size_t reply_bytes = 96U << 10U;
constexpr std::size_t parts_per_tick = 2;

bool usable(const distribution& state, const version_report& report, time_point now)
{
    return report.version > state.current.version && now >= report.skip_until;
}

// Chooses at random among the peers that have a higher version, those of the own region first.
std::optional<instance_id> choose_peer(distribution& state, time_point now)
{
    std::optional<instance_id> chosen;
    bool chosen_near = false;
    std::uint64_t seen = 0;
    for (const auto& [peer, report] : state.reports) {
        const bool near = report.region == state.settings.region;
        if (!usable(state, report, now) || (chosen_near && !near)) {
            continue;
        }
        seen = near && !chosen_near ? 1 : seen + 1;
        chosen_near = near;
        if (uniform(state.random, seen) == 0) {
            chosen = peer;
        }
    }
    return chosen;
}

void skip_peer(distribution& state, instance_id peer, time_point now)
{
    if (const auto place = state.reports.find(peer); place != state.reports.end()) {
        place->second.skip_until = now + failed_source_pause;
    }
}

void make_parts(distribution& state)
{
    state.transfers.version = state.current.version;
    state.transfers.parts.clear();
    configuration_change part;
    part.version = state.current.version;
    std::size_t bytes = 0;
    const auto flush = [&] {
        state.transfers.parts.push_back(encode_change(part));
        part.upserts.clear();
        bytes = 0;
    };
    for (const auto& [key, object] : state.current.objects) {
        const std::size_t size = encode_change({0, {object}, {}}).size();
        if (bytes + size > reply_bytes && !part.upserts.empty()) {
            flush();
        }
        part.upserts.push_back(object);
        bytes += size;
    }
    flush();
}

void start_transfer(distribution& state, instance_id to)
{
    if (state.transfers.next_part.empty()) {
        make_parts(state);
    }
    if (state.transfers.next_part.emplace(to, 0).second) {
        ++state.counts.snapshots_sent;
    }
}

encoded_change encode_part(const snapshot_transfers& transfers, std::size_t index)
{
    json text = {{"part", index}, {"parts", transfers.parts.size()}, {"objects", transfers.parts[index]}};
    return {transfers.version, text.dump()};
}

void on_change_request(distribution& state, const envelope& message, const change_request& request,
                       outbox& out)
{
    const auto next = [&](const encoded_change& change) {
        return change.version == request.after_version + 1;
    };
    auto place = std::ranges::find_if(state.recent, next);
    const bool behind = request.after_version < state.current.version;
    if (behind && (place == state.recent.end() || place->text.size() > reply_bytes)) {
        start_transfer(state, message.from);
        return;
    }
    change_reply reply;
    std::size_t bytes = 0;
    for (; place != state.recent.end() && bytes + place->text.size() <= reply_bytes; ++place) {
        bytes += place->text.size();
        reply.changes.push_back(*place);
    }
    out.push_back({state.settings.self, 0, message.from, std::move(reply)});
}

void finish_partial(distribution& state)
{
    configuration snapshot;
    snapshot.version = state.partial->version;
    for (const auto& part : state.partial->parts) {
        auto decoded = decode_change(*part);
        if (!decoded) {
            ++state.counts.malformed;
            state.partial.reset();
            return;
        }
        for (configuration_object& object : decoded->upserts) {
            object_key key = key_of(object);
            snapshot.objects.insert_or_assign(std::move(key), std::move(object));
        }
    }
    state.partial.reset();
    install_snapshot(state, std::move(snapshot));
}

// Stores one part of a snapshot; parts of another peer or version start a new one.
// Returns false if the text is malformed.
bool on_part(distribution& state, instance_id peer, std::uint64_t version, const json& text)
{
    if (!text["part"].is_number_unsigned() || !text["parts"].is_number_unsigned() ||
        !text.contains("objects") || !text["objects"].is_string()) {
        return false;
    }
    const auto index = text["part"].get<std::size_t>();
    const auto count = text["parts"].get<std::size_t>();
    constexpr std::size_t most_parts = 4096;
    if (index >= count || count > most_parts) {
        return false;
    }
    const bool asked_for = state.request && state.request->peer == peer;
    if (version <= state.current.version || !asked_for) {
        ++state.counts.older_ignored;
        return true;
    }
    auto& partial = state.partial;
    if (!partial || partial->peer != peer || partial->version != version || partial->parts.size() != count) {
        partial = partial_snapshot{peer, version, std::vector<std::optional<std::string>>(count)};
    }
    partial->parts[index] = text["objects"].get<std::string>();
    if (std::ranges::all_of(partial->parts, [](const auto& part) { return part.has_value(); })) {
        finish_partial(state);
    }
    return true;
}

void on_entry(distribution& state, instance_id peer, const encoded_change& entry)
{
    constexpr std::string_view part_marker = "\"part\":";
    if (entry.text.find(part_marker) == std::string::npos) {
        apply_text(state, entry.version, entry.text);
        return;
    }
    json text = json::parse(entry.text, nullptr, false);
    const bool is_part = text.is_object() && text.contains("part") && text.contains("parts");
    if (!is_part) {
        apply_text(state, entry.version, entry.text);
    } else if (!on_part(state, peer, entry.version, text)) {
        ++state.counts.malformed;
    }
}

void on_change_reply(distribution& state, const envelope& message, const change_reply& reply, time_point now,
                     outbox& out)
{
    const std::uint64_t before = state.current.version;
    for (const encoded_change& entry : reply.changes) {
        on_entry(state, message.from, entry);
    }
    if (!state.request || state.request->peer != message.from) {
        return;
    }
    const bool transfer_goes_on = state.partial && state.partial->peer == message.from;
    if (transfer_goes_on) {
        state.request->last_heard = now;
        return;
    }
    state.request.reset();
    if (state.current.version == before) {
        skip_peer(state, message.from, now);
    } else {
        state.reads_burst = false;
    }
    request_changes(state, now, out);
}

} // namespace

bool peer_can_help(const distribution& state, time_point now)
{
    return state.request.has_value() || std::ranges::any_of(state.reports, [&](const auto& entry) {
               return usable(state, entry.second, now);
           });
}

void request_changes(distribution& state, time_point now, outbox& out)
{
    if (state.request && now - state.request->last_heard >= peer_answer_term) {
        ++state.counts.peer_timeouts;
        skip_peer(state, state.request->peer, now);
        state.request.reset();
        state.partial.reset();
    }
    if (state.request) {
        return;
    }
    if (const auto peer = choose_peer(state, now)) {
        ++state.counts.peer_requests;
        state.request = peer_request{*peer, now};
        out.push_back({state.settings.self, 0, *peer, change_request{state.current.version}});
    }
}

void send_parts(distribution& state, outbox& out)
{
    snapshot_transfers& transfers = state.transfers;
    for (std::size_t sent = 0; sent < parts_per_tick && !transfers.next_part.empty(); ++sent) {
        const auto place = transfers.next_part.begin();
        change_reply reply;
        reply.changes.push_back(encode_part(transfers, place->second));
        out.push_back({state.settings.self, 0, place->first, std::move(reply)});
        if (++place->second == transfers.parts.size()) {
            transfers.next_part.erase(place);
        }
    }
    if (transfers.next_part.empty()) {
        transfers.parts.clear();
    }
}

} // namespace internal

void on_message(distribution& state, const envelope& message, time_point now, outbox& out)
{
    if (const auto* request = std::get_if<change_request>(&message.body)) {
        internal::on_change_request(state, message, *request, out);
    } else if (const auto* reply = std::get_if<change_reply>(&message.body)) {
        internal::on_change_reply(state, message, *reply, now, out);
    }
}

void on_version_seen(distribution& state, instance_id peer, region_id region, std::uint64_t version,
                     duration reader_age, time_point now)
{
    if (peer == state.settings.self) {
        return;
    }
    internal::version_report& report = state.reports[peer];
    report.region = region;
    report.version = std::max(report.version, version);
    state.highest_report = std::max(state.highest_report, version);
    constexpr duration longest_age = std::chrono::hours(24);
    if (reader_age >= duration::zero() && reader_age < longest_age) {
        state.confirmed = std::max(state.confirmed.value_or(now - reader_age), now - reader_age);
    }
    if (version > 0 && !state.agreed_regions.contains(region)) {
        internal::note_agreement(state);
    }
}

} // namespace camphorknot
