#include <algorithm>

#include <nlohmann/json.hpp>

#include "distribution_internal.hpp"

namespace camphorknot {
namespace internal {
namespace {

using json = nlohmann::json;

// A round trip between regions takes up to 110 ms; a peer that does not answer for much longer has stopped or
// is paused.
constexpr duration peer_answer_timeout = std::chrono::seconds(1);
// A frame may have 256 KiB; the remainder is left for the envelope and for escaped characters in the text.
constexpr std::size_t max_reply_bytes = 96U << 10U;
constexpr std::size_t parts_per_tick = 2;

bool is_usable_source(const distribution& state, const version_report& report, time_point now)
{
    return report.version > state.current.version && now >= report.skip_until;
}

// Chooses at random among the peers that have a higher version, preferring peers of the own region (reservoir
// sampling, in one pass).
std::optional<instance_id> choose_peer(distribution& state, time_point now)
{
    std::optional<instance_id> chosen;
    bool chosen_in_own_region = false;
    std::uint64_t candidates = 0;
    for (const auto& [peer, report] : state.reports) {
        const bool in_own_region = report.region == state.settings.region;
        if (!is_usable_source(state, report, now) || (chosen_in_own_region && !in_own_region)) {
            continue;
        }
        candidates = in_own_region && !chosen_in_own_region ? 1 : candidates + 1;
        chosen_in_own_region = in_own_region;
        if (uniform(state.random, candidates) == 0) {
            chosen = peer;
        }
    }
    return chosen;
}

void skip_peer(distribution& state, instance_id peer, time_point now)
{
    if (const auto report = state.reports.find(peer); report != state.reports.end()) {
        report->second.skip_until = now + failed_source_delay;
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
        if (bytes + size > max_reply_bytes && !part.upserts.empty()) {
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
    auto entry = std::ranges::find_if(state.recent_changes, next);
    const bool behind = request.after_version < state.current.version;
    if (behind && (entry == state.recent_changes.end() || entry->text.size() > max_reply_bytes)) {
        start_transfer(state, message.from);
        return;
    }
    change_reply reply;
    std::size_t bytes = 0;
    for (; entry != state.recent_changes.end() && bytes + entry->text.size() <= max_reply_bytes; ++entry) {
        bytes += entry->text.size();
        reply.changes.push_back(*entry);
    }
    out.push_back({state.settings.self, 0, message.from, std::move(reply)});
}

void assemble_snapshot(distribution& state)
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

// Stores one part of a snapshot; a part from another peer or of another version starts a new snapshot.
// Returns false if @p text is malformed.
bool on_part(distribution& state, instance_id peer, std::uint64_t version, const json& text)
{
    if (!text["part"].is_number_unsigned() || !text["parts"].is_number_unsigned() ||
        !text.contains("objects") || !text["objects"].is_string()) {
        return false;
    }
    const auto index = text["part"].get<std::size_t>();
    const auto count = text["parts"].get<std::size_t>();
    constexpr std::size_t max_parts = 4096;
    if (index >= count || count > max_parts) {
        return false;
    }
    const bool is_expected = state.outstanding_request && state.outstanding_request->peer == peer;
    if (version <= state.current.version || !is_expected) {
        ++state.counts.older_ignored;
        return true;
    }
    auto& partial = state.partial;
    if (!partial || partial->peer != peer || partial->version != version || partial->parts.size() != count) {
        partial = partial_snapshot{peer, version, std::vector<std::optional<std::string>>(count)};
    }
    partial->parts[index] = text["objects"].get<std::string>();
    if (std::ranges::all_of(partial->parts, [](const auto& part) { return part.has_value(); })) {
        assemble_snapshot(state);
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
    if (!state.outstanding_request || state.outstanding_request->peer != message.from) {
        return;
    }
    const bool transfer_continues = state.partial && state.partial->peer == message.from;
    if (transfer_continues) {
        state.outstanding_request->last_received = now;
        return;
    }
    state.outstanding_request.reset();
    if (state.current.version == before) {
        skip_peer(state, message.from, now);
    } else {
        state.is_burst_reader = false;
    }
    request_changes(state, now, out);
}

} // namespace

bool peer_available(const distribution& state, time_point now)
{
    return state.outstanding_request.has_value() ||
           std::ranges::any_of(state.reports,
                               [&](const auto& entry) { return is_usable_source(state, entry.second, now); });
}

void request_changes(distribution& state, time_point now, outbox& out)
{
    if (state.outstanding_request && now - state.outstanding_request->last_received >= peer_answer_timeout) {
        ++state.counts.peer_timeouts;
        skip_peer(state, state.outstanding_request->peer, now);
        state.outstanding_request.reset();
        state.partial.reset();
    }
    if (state.outstanding_request) {
        return;
    }
    if (const auto peer = choose_peer(state, now)) {
        ++state.counts.peer_requests;
        state.outstanding_request = peer_request{*peer, now};
        out.push_back({state.settings.self, 0, *peer, change_request{state.current.version}});
    }
}

void send_parts(distribution& state, outbox& out)
{
    snapshot_transfers& transfers = state.transfers;
    for (std::size_t sent = 0; sent < parts_per_tick && !transfers.next_part.empty(); ++sent) {
        const auto transfer = transfers.next_part.begin();
        change_reply reply;
        reply.changes.push_back(encode_part(transfers, transfer->second));
        out.push_back({state.settings.self, 0, transfer->first, std::move(reply)});
        if (++transfer->second == transfers.parts.size()) {
            transfers.next_part.erase(transfer);
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

void on_version_reported(distribution& state, instance_id peer, region_id region, std::uint64_t version,
                         duration reader_age, time_point now)
{
    if (peer == state.settings.self) {
        return;
    }
    internal::version_report& report = state.reports[peer];
    report.region = region;
    report.version = std::max(report.version, version);
    state.highest_report = std::max(state.highest_report, version);
    constexpr duration max_age = std::chrono::hours(24);
    if (reader_age >= duration::zero() && reader_age < max_age) {
        state.last_confirmation =
            std::max(state.last_confirmation.value_or(now - reader_age), now - reader_age);
    }
    if (version > 0 && !state.agreed_regions.contains(region)) {
        internal::update_agreement(state);
    }
}

} // namespace camphorknot
