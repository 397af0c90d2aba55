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
constexpr duration orders_answer_timeout = std::chrono::milliseconds(2000);
constexpr double not_requested = std::numeric_limits<double>::max();

duration answer_timeout(collection group)
{
    return group == collection::orders ? orders_answer_timeout : small_answer_timeout;
}

bool is_due(const record_replica& replica, const record_requests& pending, const record_position& peer,
            collection group, time_point now)
{
    return peer.as_of_s > records_of(replica, group).position.as_of_s + min_lead_s &&
           now - pending.requested_at.at(static_cast<std::size_t>(group)) >= answer_timeout(group);
}

} // namespace

std::vector<requested_positions> select_requests(const record_replica& replica,
                                                 const record_requests& pending,
                                                 const std::array<record_position, collection_count>& peer,
                                                 bool has_fast_link, time_point now)
{
    const std::vector<std::vector<collection>> messages = {{collection::targets, collection::rollout_states},
                                                           {collection::orders}};
    std::vector<requested_positions> selected;
    for (const std::vector<collection>& groups : messages) {
        requested_positions message;
        message.fill({0, not_requested});
        for (const collection group : groups) {
            const auto index = static_cast<std::size_t>(group);
            const bool may_send = group != collection::orders || has_fast_link;
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

void on_requested(record_requests& pending, const requested_positions& message, time_point now)
{
    for (std::size_t index = 0; index < collection_count; ++index) {
        if (message.at(index).as_of_s != not_requested) {
            pending.requested_at.at(index) = now;
        }
    }
}

void on_answered(record_requests& pending, std::span<const record_update> updates)
{
    if (updates.empty()) {
        pending.requested_at = {};
    }
    for (const record_update& update : updates) {
        pending.requested_at.at(static_cast<std::size_t>(update.group)) = {};
    }
}

} // namespace camphorknot::steering
