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
    return std::tie(m.sequence, m.region, m.fenced_number, m.configuration_version, m.ticket_epoch);
}
constexpr auto members(either<indirect_ping> auto& m)
{
    return std::tie(m.sequence, m.subject);
}
constexpr auto members(either<gossip> auto& m)
{
    return std::tie(m.records, m.facts, m.records_digest, m.facts_digest, m.configuration_version,
                    m.reader_age, m.wants_all, m.is_reply, m.settled);
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
    return std::tie(m.subject, m.number, m.region, m.newest_number);
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

// Stands for a value of any type in the count of an aggregate's fields.
struct any_field {
    template <typename T>
    operator T() const; // NOLINT(google-explicit-constructor)
};

// Number of fields of an aggregate: the most initializers that it takes.
template <typename T, typename... Fields>
consteval std::size_t field_count()
{
    if constexpr (requires { T{Fields{}..., any_field{}}; }) {
        return field_count<T, Fields..., any_field>();
    } else {
        return sizeof...(Fields);
    }
}

// A field that is missing above would be lost on the way without an error.
template <typename T>
inline constexpr bool lists_all_fields = std::tuple_size_v<decltype(members(std::declval<T&>()))> ==
                                         field_count<T>();

static_assert(lists_all_fields<member_record> && lists_all_fields<fact> && lists_all_fields<ping>);
static_assert(lists_all_fields<ping_ack> && lists_all_fields<indirect_ping> && lists_all_fields<gossip>);
static_assert(lists_all_fields<change_request> && lists_all_fields<encoded_change> &&
              lists_all_fields<change_reply>);
static_assert(lists_all_fields<budget_amount> && lists_all_fields<loan_request> &&
              lists_all_fields<loan_grant>);
static_assert(lists_all_fields<loan_return> && lists_all_fields<spare_report::entry> &&
              lists_all_fields<spare_report>);
static_assert(lists_all_fields<fence_notice> && lists_all_fields<fence_ack> &&
              lists_all_fields<rollout_counts::entry>);
static_assert(lists_all_fields<rollout_counts> && lists_all_fields<drain_report> && lists_all_fields<leave>);

} // namespace camphorknot::transport_internal
