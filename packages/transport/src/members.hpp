// The fields of each message in the order in which they are encoded. New fields go to the end.
#pragma once

#include <tuple>

#include "camphorknot/messages.hpp"

namespace camphorknot::transport_internal {

template <typename T>
concept is_id = requires(T id)
{
    []<typename Tag>(strong_id<Tag>&) {}(id);
};

template <typename T, typename Like>
concept either = std::same_as<std::remove_const_t<T>, Like>;

constexpr auto members(either<member_record> auto& m)
{
    return std::tie(m.instance, m.number, m.state, m.region, m.failure_domain, m.peer_address,
                    m.traffic_address, m.process_nonce, m.ticket_epoch, m.configuration_version,
                    m.has_authority);
}
constexpr auto members(either<fact> auto& m)
{
    return std::tie(m.kind, m.subject, m.detail, m.key);
}
constexpr auto members(either<ping> auto& m)
{
    return std::tie(m.sequence);
}
constexpr auto members(either<ping_ack> auto& m)
{
    return std::tie(m.sequence, m.region, m.fenced_incarnation, m.configuration_version, m.ticket_epoch);
}
constexpr auto members(either<indirect_ping> auto& m)
{
    return std::tie(m.sequence, m.subject);
}
constexpr auto members(either<gossip> auto& m)
{
    return std::tie(m.records, m.facts, m.records_digest, m.facts_digest, m.configuration_version,
                    m.reader_age, m.requests_full_state, m.is_reply, m.settled);
}
constexpr auto members(either<change_request> auto& m)
{
    return std::tie(m.after_version);
}
constexpr auto members(either<encoded_change> auto& m)
{
    return std::tie(m.version, m.text);
}
constexpr auto members(either<change_reply> auto& m)
{
    return std::tie(m.changes);
}
constexpr auto members(either<budget_amount> auto& m)
{
    return std::tie(m.rate_per_second, m.burst, m.tokens);
}
constexpr auto members(either<loan_request> auto& m)
{
    return std::tie(m.loan, m.budget, m.wanted, m.term, m.round);
}
constexpr auto members(either<loan_grant> auto& m)
{
    return std::tie(m.loan, m.budget, m.granted, m.term, m.round, m.recall);
}
constexpr auto members(either<loan_return> auto& m)
{
    return std::tie(m.loan, m.budget, m.returned);
}
constexpr auto members(either<spare_report::entry> auto& m)
{
    return std::tie(m.budget, m.owner, m.spare_rate_per_second, m.spare_burst);
}
constexpr auto members(either<spare_report> auto& m)
{
    return std::tie(m.entries);
}
constexpr auto members(either<fence_notice> auto& m)
{
    return std::tie(m.subject, m.number);
}
constexpr auto members(either<fence_ack> auto& m)
{
    return std::tie(m.subject, m.number, m.region, m.newest_incarnation);
}
constexpr auto members(either<rollout_counts::entry> auto& m)
{
    return std::tie(m.move, m.route, m.version, m.window, m.requests, m.failures, m.timed, m.slow);
}
constexpr auto members(either<rollout_counts> auto& m)
{
    return std::tie(m.scope, m.region, m.entries);
}
constexpr auto members(either<drain_report> auto& m)
{
    return std::tie(m.move, m.scope, m.region, m.in_flight);
}
constexpr auto members(either<leave> auto& /*m*/)
{
    return std::tie();
}

/// Converts to any type, to count the fields of a struct.
struct any_field {
    template <typename T>
    constexpr operator T() const; // NOLINT: the conversion must be implicit.
};

/// @return the number of fields of the aggregate @p T.
template <typename T, typename... Fields>
consteval std::size_t field_count()
{
    if constexpr (requires { T{Fields{}..., any_field{}}; }) {
        return field_count<T, Fields..., any_field>();
    } else {
        return sizeof...(Fields);
    }
}

/// A field that is added to a message but not here would not travel.
template <typename T>
concept fully_listed = std::tuple_size_v<decltype(members(std::declval<T&>()))>
== field_count<T>();

} // namespace camphorknot::transport_internal
