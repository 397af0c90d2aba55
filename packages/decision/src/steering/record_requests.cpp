#include "camphorknot/steering/record_requests.hpp"

#include <algorithm>
#include <limits>

namespace camphorknot::steering {
namespace {

// Records are requested from a peer whose copy is newer by at least this.
constexpr double min_lead_s = 0.01;
// A peer that has not answered in this time is skipped: the next peer with newer records is asked. The orders
// hold the configuration, which may be large.
constexpr duration small_answer_timeout = std::chrono::milliseconds(1200);
constexpr duration min_orders_timeout = std::chrono::milliseconds(400);
constexpr duration max_orders_timeout = std::chrono::milliseconds(2000);
// Others are sent copies over the same link at the same time.
constexpr double concurrent_copies = 4;
constexpr double not_requested = std::numeric_limits<double>::max();
// How long a faster instance is waited for, and the time over which those that give up waiting are spread.
constexpr duration faster_source_wait = std::chrono::milliseconds(400);
constexpr duration faster_source_spread = std::chrono::milliseconds(600);

bool is_due(const record_replica& replica, const record_requests& pending, const record_position& peer,
            collection group, time_point now)
{
    return peer.as_of_s > records_of(replica, group).position.as_of_s + min_lead_s &&
           now >= pending.retry_at.at(static_cast<std::size_t>(group));
}

bool has_newer_copy(const record_source& source, const record_source& own)
{
    return source.orders.version != own.orders.version ? source.orders.version > own.orders.version
                                                       : source.orders.as_of_s > own.orders.as_of_s;
}

bool precedes(const record_source& a, const record_source& b)
{
    return std::pair(a.link_mbps, a.rank) > std::pair(b.link_mbps, b.rank);
}

duration give_up_waiting_after(const record_source& own)
{
    const double spread = static_cast<double>(own.rank >> 11U) * 0x1.0p-53;
    return faster_source_wait +
           duration(static_cast<std::int64_t>(static_cast<double>(faster_source_spread.count()) * spread));
}

} // namespace

bool is_best_source(const record_source& peer, std::span<const record_source> others,
                    const record_source& own, duration faster_behind_for)
{
    const auto is_faster = [&](const record_source& other) { return other.link_mbps > peer.link_mbps; };
    const bool has_faster_holder = std::ranges::any_of(others, [&](const record_source& other) {
        return other.answers && is_faster(other) && has_newer_copy(other, own) &&
               other.orders.version >= peer.orders.version;
    });
    const bool is_passed_over = !peer.answers && std::ranges::any_of(others, [&](const record_source& other) {
        return other.answers && has_newer_copy(other, own) && other.orders.version >= peer.orders.version;
    });
    const bool has_faster_requester = std::ranges::any_of(others, [&](const record_source& other) {
        return is_faster(other) && other.orders.version < peer.orders.version && precedes(other, own);
    });
    const bool brings_new_version = peer.orders.version > own.orders.version;
    const bool must_wait =
        brings_new_version && has_faster_requester && faster_behind_for < give_up_waiting_after(own);
    return !has_faster_holder && !is_passed_over && !must_wait;
}

duration expected_answer_time(const record_replica& replica, collection group, std::uint32_t link_mbps)
{
    if (group != collection::orders) {
        return small_answer_timeout;
    }
    std::size_t bytes = 0;
    for (const auto& [key, entry] : records_of(replica, group).records) {
        bytes += entry.value.size();
    }
    if (bytes == 0 || link_mbps == 0) {
        return max_orders_timeout;
    }
    const double seconds = concurrent_copies * 8 * static_cast<double>(bytes) / (1e6 * link_mbps);
    return std::min(max_orders_timeout, min_orders_timeout + std::chrono::duration_cast<duration>(
                                                                 std::chrono::duration<double>(seconds)));
}

bool is_unanswering(const record_requests& pending, const std::string& name, time_point now)
{
    const time_point retry_at = pending.retry_at.at(static_cast<std::size_t>(collection::orders));
    const bool is_overdue = retry_at != time_point{} && now >= retry_at && name == pending.orders_source;
    return is_overdue || pending.unanswering.contains(name);
}

duration orders_behind_for(const record_requests& pending, time_point now)
{
    return pending.own_behind_since == time_point{} ? duration{} : now - pending.own_behind_since;
}

void on_orders_announced(record_requests& pending, const record_source& own, const record_source& peer,
                         std::span<const record_source> others, time_point now)
{
    const auto update_since = [now](time_point& since, bool is_behind) {
        since = !is_behind ? time_point{} : since == time_point{} ? now : since;
    };
    pending.announced_orders = std::max(pending.announced_orders, peer.orders.version);
    update_since(pending.own_behind_since, pending.announced_orders > own.orders.version);
    if (pending.own_behind_since == time_point{}) {
        pending.orders_request_count = 0;
        pending.unanswering.clear();
    }
    if (peer.orders.version >= pending.announced_orders) {
        update_since(pending.faster_behind_since, std::ranges::any_of(others, [&](const auto& other) {
                         return other.link_mbps > peer.link_mbps &&
                                other.orders.version < peer.orders.version;
                     }));
    }
}

std::vector<requested_positions> select_requests(const record_replica& replica,
                                                 const record_requests& pending,
                                                 const std::array<record_position, collection_count>& peer,
                                                 bool is_orders_source, time_point now)
{
    const std::vector<std::vector<collection>> messages = {{collection::targets, collection::rollout_states},
                                                           {collection::orders}};
    std::vector<requested_positions> selected;
    for (const std::vector<collection>& groups : messages) {
        requested_positions message;
        message.fill({0, not_requested});
        for (const collection group : groups) {
            const auto index = static_cast<std::size_t>(group);
            const bool may_send = group != collection::orders || is_orders_source;
            if (may_send && is_due(replica, pending, peer.at(index), group, now)) {
                message.at(index) = records_of(replica, group).position;
            }
        }
        if (std::ranges::any_of(message,
                                [](const auto& position) { return position.as_of_s != not_requested; })) {
            selected.push_back(message);
        }
    }
    return selected;
}

void on_requested(record_requests& pending, const record_replica& replica, const requested_positions& message,
                  const std::string& source, std::uint32_t link_mbps, time_point now)
{
    for (std::size_t index = 0; index < collection_count; ++index) {
        if (message.at(index).as_of_s != not_requested) {
            const bool is_orders = static_cast<collection>(index) == collection::orders;
            if (is_orders && is_unanswering(pending, pending.orders_source, now)) {
                pending.unanswering.insert(pending.orders_source);
            }
            pending.retry_at.at(index) =
                now + expected_answer_time(replica, static_cast<collection>(index), link_mbps);
            if (is_orders) {
                pending.orders_source = source;
                pending.orders_requested_at = now;
                ++pending.orders_request_count;
            }
        }
    }
}

void on_patches_resolved(record_requests& pending, collection group, patch_fault fault)
{
    if (group == collection::orders) {
        pending.needs_whole_records = fault != patch_fault::none;
    }
}

void on_answered(record_requests& pending, std::span<const record_update> updates)
{
    if (updates.empty()) {
        pending.retry_at = {};
    }
    for (const record_update& update : updates) {
        pending.retry_at.at(static_cast<std::size_t>(update.group)) = {};
    }
}

} // namespace camphorknot::steering
