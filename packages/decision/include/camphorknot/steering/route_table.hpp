/// @file
/// Finds the route, the customer and the service policy of a request.
#pragma once

#include <string_view>
#include <unordered_map>

#include "camphorknot/steering/model.hpp"

namespace camphorknot::steering {

/// Index over one configuration. Its pointers and views stay valid while `source` is held.
struct route_table {
    struct entry {
        std::string_view prefix;
        const route* matched = nullptr;
    };
    std::shared_ptr<const configuration> source;
    std::unordered_map<std::string_view, std::vector<entry>> by_host; ///< Longest prefix first in each list.
    std::unordered_map<std::string_view, const customer*> by_key;     ///< By customer key.
    std::unordered_map<std::string_view, const customer*> customers;  ///< By name.
    std::unordered_map<std::string_view, const service_policy*> services; ///< By name.
};

/// @return an index over @p source.
std::shared_ptr<const route_table> make_route_table(std::shared_ptr<const configuration> source);

/// @param host value of the Host header; a port is ignored.
/// @param path path of the request, with or without a query.
/// @return the route of the host with the longest matching prefix, or null.
const route* find_route(const route_table& table, std::string_view host, std::string_view path);

/// @return the customer that holds @p key, or null.
const customer* find_customer(const route_table& table, std::string_view key);

/// @return the policy of the service, or null.
const service_policy* find_service_policy(const route_table& table, std::string_view service);

} // namespace camphorknot::steering
