// Fields of each message in the order in which they are encoded. New fields must be added at the end, because
// decoders ignore additional fields there.
#pragma once

#include <tuple>

#include "camphorknot/messages.hpp"

namespace camphorknot::transport_internal {

template <typename T>
concept is_id = requires(T id)
{
    []<typename Tag>(strong_id<Tag>&) {}(id);
};

template <typename T, typename Message>
concept same_or_const = std::same_as<std::remove_const_t<T>, Message>;

constexpr auto members(same_or_const<member_record> auto& m)
{
    return std::tie(m.instance, m.number, m.state, m.region, m.failure_domain, m.peer_address,
                    m.traffic_address, m.process_nonce, m.ticket_epoch, m.configuration_version,
                    m.has_authority);
}
constexpr auto members(same_or_const<fact> auto& m)
{
    return std::tie(m.kind, m.subject, m.detail, m.key);
}
constexpr auto members(same_or_const<ping> auto& m)
{
    return std::tie(m.sequence);
}
constexpr auto members(same_or_const<ping_ack> auto& m)
{
    return std::tie(m.sequence, m.region, m.fenced_incarnation, m.configuration_version, m.ticket_epoch);
}
constexpr auto members(same_or_const<indirect_ping> auto& m)
{
    return std::tie(m.sequence, m.subject);
}
constexpr auto members(same_or_const<gossip> auto& m)
{
    return std::tie(m.records, m.facts, m.records_digest, m.facts_digest, m.configuration_version,
                    m.reader_age, m.requests_full_state, m.is_reply, m.settled);
}
constexpr auto members(same_or_const<change_request> auto& m)
{
    return std::tie(m.after_version);
}
constexpr auto members(same_or_const<encoded_change> auto& m)
{
    return std::tie(m.version, m.text);
}
constexpr auto members(same_or_const<change_reply> auto& m)
{
    return std::tie(m.changes);
}
constexpr auto members(same_or_const<budget_amount> auto& m)
{
    return std::tie(m.rate_per_second, m.burst, m.tokens);
}
constexpr auto members(same_or_const<loan_request> auto& m)
{
    return std::tie(m.loan, m.budget, m.wanted, m.term, m.round);
}
constexpr auto members(same_or_const<loan_grant> auto& m)
{
    return std::tie(m.loan, m.budget, m.granted, m.term, m.round, m.recall);
}
constexpr auto members(same_or_const<loan_return> auto& m)
{
    return std::tie(m.loan, m.budget, m.returned);
}
constexpr auto members(same_or_const<spare_report::entry> auto& m)
{
    return std::tie(m.budget, m.owner, m.spare_rate_per_second, m.spare_burst);
}
constexpr auto members(same_or_const<spare_report> auto& m)
{
    return std::tie(m.entries);
}
constexpr auto members(same_or_const<fence_notice> auto& m)
{
    return std::tie(m.subject, m.number);
}
constexpr auto members(same_or_const<fence_ack> auto& m)
{
    return std::tie(m.subject, m.number, m.region, m.newest_incarnation);
}
constexpr auto members(same_or_const<rollout_counts::entry> auto& m)
{
    return std::tie(m.move, m.route, m.version, m.window, m.requests, m.failures, m.timed, m.slow);
}
constexpr auto members(same_or_const<rollout_counts> auto& m)
{
    return std::tie(m.scope, m.region, m.entries);
}
constexpr auto members(same_or_const<drain_report> auto& m)
{
    return std::tie(m.move, m.scope, m.region, m.in_flight);
}
constexpr auto members(same_or_const<leave> auto& /*m*/)
{
    return std::tie();
}

/// Converts to any type; used to count the fields of an aggregate.
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

/// Whether members() lists all fields of @p T; a field left out would not be sent.
template <typename T>
concept lists_all_fields = std::tuple_size_v<decltype(members(std::declval<T&>()))>
== field_count<T>();

} // namespace camphorknot::transport_internal
