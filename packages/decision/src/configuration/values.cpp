#include <algorithm>
#include <array>
#include <charconv>

#include "validation.hpp"

namespace camphorknot::internal {
namespace {

constexpr std::size_t longest_name = 128;
// Amounts are kept in 64-bit thousandths and summed over customers and instances, so a single one stays far
// below.
constexpr std::int64_t highest_rate_per_second = 1'000'000'000;
constexpr std::int64_t highest_burst = 1'000'000'000;
constexpr std::int64_t highest_kilobytes_per_second = 1'000'000'000;
constexpr std::int64_t longest_timeout_ms = 3'600'000;
constexpr std::int64_t highest_body_limit_kb = 1'048'576;
constexpr std::int64_t longest_soak_seconds = 86'400;
constexpr std::int64_t highest_reserve_percent = 90;
constexpr std::int64_t highest_slots = 100'000;
constexpr std::int64_t highest_in_flight = 10'000'000;
constexpr std::int64_t highest_weight = 1'000;
constexpr std::int64_t shortest_prefix = 8;
constexpr std::int64_t longest_prefix = 32;
constexpr std::int64_t highest_port = 65'535;

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
}

bool is_address(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos || !block_in(std::string(text.substr(0, colon)) + "/32")) {
        return false;
    }
    const std::string_view port = text.substr(colon + 1);
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    return error == std::errc{} && end == port.data() + port.size() && number > 0 && number <= highest_port;
}

struct value_check {
    object_key key;
    problems& found;

    void add(change_error error, const char* field, const std::string& seen, const std::string& allowed) const
    {
        found.push_back({error, key, field, seen, allowed});
    }

    void name(const char* field, const std::string& value) const
    {
        if (value.empty() || value.size() > longest_name || !std::ranges::all_of(value, is_name_character)) {
            add(change_error::value_out_of_range, field, value,
                "1 to " + std::to_string(longest_name) + " letters, digits, '-', '_' or '.'");
        }
    }

    void address(const char* field, const std::string& value) const
    {
        if (!is_address(value)) {
            add(change_error::value_out_of_range, field, value,
                "an IPv4 address and port, as in 10.1.2.3:7101");
        }
    }

    void range(const char* field, std::int64_t value, std::int64_t lowest, std::int64_t highest) const
    {
        if (value < lowest || value > highest) {
            add(change_error::value_out_of_range, field, std::to_string(value),
                std::to_string(lowest) + " to " + std::to_string(highest));
        }
    }

    void operator()(const region_object& object) const { name("name", object.name); }
    void operator()(const failure_domain_object& object) const { name("name", object.name); }
    void operator()(const instance_object& object) const { address("peer_address", object.peer_address); }
    void operator()(const customer_object& object) const
    {
        name("name", object.name);
        range("rate_per_second", object.rate_per_second, 0, highest_rate_per_second);
        range("burst", object.burst, 0, highest_burst);
    }
    void operator()(const key_object& object) const
    {
        if (object.label.size() > longest_name) {
            add(change_error::value_out_of_range, "label", object.label,
                "at most " + std::to_string(longest_name) + " characters");
        }
    }
    void operator()(const target_object& object) const
    {
        address("address", object.address);
        name("version", object.version);
        range("slots", object.slots, 1, highest_slots);
    }
    void operator()(const region_limit_object& object) const
    {
        range("max_in_flight", object.max_in_flight, 0, highest_in_flight);
    }
    void operator()(const link_object& object) const
    {
        range("kilobytes_per_second", object.kilobytes_per_second, 0, highest_kilobytes_per_second);
        if (object.from_region == object.to_region) {
            add(change_error::value_out_of_range, "to_region", object.to_region,
                "another region than from_region");
        }
    }
    void operator()(const block_object& object) const
    {
        range("prefix_length", object.prefix_length, shortest_prefix, longest_prefix);
        const bool whole =
            object.prefix_length > longest_prefix || object.prefix_length == 0 ||
            (object.network & ~(~std::uint32_t{0} << (longest_prefix - object.prefix_length))) == 0;
        if (!whole) {
            add(change_error::value_out_of_range, "network", key.name,
                "a network without host bits beyond its prefix");
        }
    }

    void operator()(const move_progress_object& object) const
    {
        range("share_percent", object.share_percent, 0, 100);
    }
    void operator()(const allocation_object&) const {}

    void operator()(const service_object& object) const;
    void operator()(const move_object& object) const;
    void operator()(const site_set_object& object) const;
    void check_route(const service_object& service, const route_object& route) const;
    void check_route_pair(const route_object& first, const route_object& second) const;
};

void value_check::check_route(const service_object& service, const route_object& route) const
{
    constexpr std::array<std::string_view, 7> methods = {"GET",   "HEAD",   "POST",   "PUT",
                                                         "PATCH", "DELETE", "OPTIONS"};
    name("routes.name", route.name);
    if (std::ranges::find(methods, route.method) == methods.end()) {
        add(change_error::value_out_of_range, "routes.method", route.method,
            "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS");
    }
    const std::string prefix = "/" + service.name + "/";
    const bool printable = std::ranges::all_of(route.path_prefix, [](char c) { return c > ' ' && c < 0x7f; });
    if (!route.path_prefix.starts_with(prefix) || !printable || route.path_prefix.size() > longest_name) {
        add(change_error::value_out_of_range, "routes.path_prefix", route.path_prefix,
            "a path that begins with " + prefix + ", of at most " + std::to_string(longest_name) +
                " printable characters");
    }
    range("routes.timeout_ms", route.timeout_ms, 1, longest_timeout_ms);
    range("routes.body_limit_kb", route.body_limit_kb, 0, highest_body_limit_kb);
}

void value_check::check_route_pair(const route_object& first, const route_object& second) const
{
    if (first.name == second.name) {
        add(change_error::name_collision, "routes.name", second.name, "each route name once in a service");
    }
    if (first.method == second.method && first.path_prefix == second.path_prefix) {
        add(change_error::route_conflict, "routes.path_prefix", second.method + " " + second.path_prefix,
            "a method and path_prefix that route '" + first.name + "' does not have");
    }
}

void value_check::operator()(const service_object& object) const
{
    name("name", object.name);
    name("active_version", object.active_version);
    range("reserve_percent", object.reserve_percent, 0, highest_reserve_percent);
    range("shift_cap_percent_per_second", object.shift_cap_percent_per_second, 1, 100);
    for (std::size_t index = 0; index < object.routes.size(); ++index) {
        check_route(object, object.routes[index]);
        for (std::size_t other = 0; other < index; ++other) {
            check_route_pair(object.routes[other], object.routes[index]);
        }
    }
}

void value_check::operator()(const move_object& object) const
{
    name("name", object.name);
    if (object.deadline <= 0) {
        add(change_error::value_out_of_range, "deadline", std::to_string(object.deadline),
            "milliseconds since 1970, above 0");
    }
    range("soak_seconds", object.soak_seconds, 0, longest_soak_seconds);
    if (object.kind == move_kind::drain) {
        if (object.targets.empty()) {
            add(change_error::value_out_of_range, "targets", "none", "at least one target of a drain");
        }
        return;
    }
    name("version", object.version);
    if (!object.targets.empty()) {
        add(change_error::value_out_of_range, "targets", object.targets.front(),
            "no targets, except for a drain");
    }
}

void value_check::operator()(const site_set_object& object) const
{
    name("name", object.name);
    if (object.sites.empty()) {
        add(change_error::value_out_of_range, "sites", "none", "at least one site");
    }
    std::set<std::string> seen;
    for (const auto& site : object.sites) {
        range("sites.weight", site.weight, 1, highest_weight);
        if (!seen.insert(site.failure_domain).second) {
            add(change_error::name_collision, "sites.failure_domain", site.failure_domain,
                "each failure domain once in a site set");
        }
    }
}

} // namespace

void check_values(const configuration_object& object, problems& found)
{
    std::visit(value_check{key_of(object), found}, object);
}

} // namespace camphorknot::internal
