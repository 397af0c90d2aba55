/// @file
/// The encoded fields of each object, shared by encoding and decoding.
#pragma once

#include "camphorknot/configuration/objects.hpp"

namespace camphorknot::internal {

template <typename T, typename Object>
concept same_object = std::is_same_v<std::remove_const_t<T>, Object>;

/// Calls @p visit with the name of each field of @p object and the field itself.
/// @param object a configuration object, a route_object or a weighted_site; may be const.
template <typename Object, typename Visitor>
void visit_fields(Object& object, Visitor&& visit)
{
    if constexpr (same_object<Object, region_object>) {
        visit("name", object.name);
    } else if constexpr (same_object<Object, failure_domain_object>) {
        visit("name", object.name);
        visit("region", object.region);
    } else if constexpr (same_object<Object, instance_object>) {
        visit("peer_address", object.peer_address);
        visit("region", object.region);
        visit("failure_domain", object.failure_domain);
    } else if constexpr (same_object<Object, route_object>) {
        visit("name", object.name);
        visit("method", object.method);
        visit("path_prefix", object.path_prefix);
        visit("idempotent", object.idempotent);
        visit("can_wait", object.can_wait);
        visit("open", object.open);
        visit("timeout_ms", object.timeout_ms);
        visit("body_limit_kb", object.body_limit_kb);
    } else if constexpr (same_object<Object, service_object>) {
        visit("name", object.name);
        visit("routes", object.routes);
        visit("active_version", object.active_version);
        visit("reserve_percent", object.reserve_percent);
        visit("shift_cap_percent_per_second", object.shift_cap_percent_per_second);
    } else if constexpr (same_object<Object, customer_object>) {
        visit("name", object.name);
        visit("rate_per_second", object.rate_per_second);
        visit("burst", object.burst);
    } else if constexpr (same_object<Object, key_object>) {
        visit("hash", object.hash);
        visit("customer", object.customer);
        visit("label", object.label);
    } else if constexpr (same_object<Object, target_object>) {
        visit("address", object.address);
        visit("service", object.service);
        visit("version", object.version);
        visit("region", object.region);
        visit("failure_domain", object.failure_domain);
        visit("slots", object.slots);
    } else if constexpr (same_object<Object, region_limit_object>) {
        visit("service", object.service);
        visit("region", object.region);
        visit("max_in_flight", object.max_in_flight);
    } else if constexpr (same_object<Object, link_object>) {
        visit("from_region", object.from_region);
        visit("to_region", object.to_region);
        visit("kilobytes_per_second", object.kilobytes_per_second);
    } else if constexpr (same_object<Object, move_object>) {
        visit("name", object.name);
        visit("kind", object.kind);
        visit("service", object.service);
        visit("version", object.version);
        visit("targets", object.targets);
        visit("deadline", object.deadline);
        visit("on_deadline", object.on_deadline);
        visit("soak_seconds", object.soak_seconds);
    } else if constexpr (same_object<Object, block_object>) {
        visit("network", object.network);
        visit("prefix_length", object.prefix_length);
        visit("site_set", object.site_set);
    } else if constexpr (same_object<Object, site_set_object::weighted_site>) {
        visit("failure_domain", object.failure_domain);
        visit("weight", object.weight);
    } else if constexpr (same_object<Object, move_progress_object>) {
        visit("move", object.move);
        visit("stage", object.stage);
        visit("share_percent", object.share_percent);
        visit("step", object.step);
        visit("reason", object.reason);
        visit("fencing_token", object.fencing_token);
    } else if constexpr (same_object<Object, allocation_object>) {
        visit("slot", object.slot);
        visit("owner", object.owner);
    } else {
        static_assert(same_object<Object, site_set_object>);
        visit("name", object.name);
        visit("sites", object.sites);
    }
}

} // namespace camphorknot::internal
