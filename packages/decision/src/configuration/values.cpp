#include <algorithm>
#include <array>
#include <charconv>

#include "validation.hpp"

namespace camphorknot::internal {
namespace {

constexpr std::size_t max_name_length = 128;
// Amounts are stored as 64-bit thousandths and summed over customers and instances, so that a single one must
// be far below the range of the type.
constexpr std::int64_t max_rate_per_second = 1'000'000'000;
constexpr std::int64_t max_burst = 1'000'000'000;
constexpr std::int64_t max_kilobytes_per_second = 1'000'000'000;
constexpr std::int64_t max_timeout_ms = 3'600'000;
constexpr std::int64_t max_body_limit_kb = 1'048'576;
constexpr std::int64_t max_soak_seconds = 86'400;
constexpr std::int64_t max_reserve_percent = 90;
constexpr std::int64_t max_slots = 100'000;
constexpr std::int64_t max_in_flight_limit = 10'000'000;
constexpr std::int64_t max_weight = 1'000;
constexpr std::int64_t min_prefix_length = 8;
constexpr std::int64_t max_prefix_length = 32;
constexpr std::int64_t max_port = 65'535;

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
}

bool is_address(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos || !parse_block(std::string(text.substr(0, colon)) + "/32")) {
        return false;
    }
    const std::string_view port = text.substr(colon + 1);
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    return error == std::errc{} && end == port.data() + port.size() && number > 0 && number <= max_port;
}

struct value_checker {
    object_key key;
    problem_list& problems;

    void add_problem(change_error error, const char* field, const std::string& seen,
                     const std::string& allowed) const
    {
        problems.push_back({error, key, field, seen, allowed});
    }

    void check_name(const char* field, const std::string& value) const
    {
        if (value.empty() || value.size() > max_name_length ||
            !std::ranges::all_of(value, is_name_character)) {
            add_problem(change_error::value_out_of_range, field, value,
                        "1 to " + std::to_string(max_name_length) + " letters, digits, '-', '_' or '.'");
        }
    }

    void check_address(const char* field, const std::string& value) const
    {
        if (!is_address(value)) {
            add_problem(change_error::value_out_of_range, field, value,
                        "an IPv4 address and port, as in 10.1.2.3:7101");
        }
    }

    void check_range(const char* field, std::int64_t value, std::int64_t min, std::int64_t max) const
    {
        if (value < min || value > max) {
            add_problem(change_error::value_out_of_range, field, std::to_string(value),
                        std::to_string(min) + " to " + std::to_string(max));
        }
    }

    void operator()(const region_object& object) const { check_name("name", object.name); }
    void operator()(const failure_domain_object& object) const { check_name("name", object.name); }
    void operator()(const instance_object& object) const
    {
        check_address("peer_address", object.peer_address);
    }
    void operator()(const customer_object& object) const
    {
        check_name("name", object.name);
        check_range("rate_per_second", object.rate_per_second, 0, max_rate_per_second);
        check_range("burst", object.burst, 0, max_burst);
    }
    void operator()(const key_object& object) const
    {
        if (object.label.size() > max_name_length) {
            add_problem(change_error::value_out_of_range, "label", object.label,
                        "at most " + std::to_string(max_name_length) + " characters");
        }
    }
    void operator()(const target_object& object) const
    {
        check_address("address", object.address);
        check_name("version", object.version);
        check_range("slots", object.slots, 1, max_slots);
    }
    void operator()(const region_limit_object& object) const
    {
        check_range("max_in_flight", object.max_in_flight, 0, max_in_flight_limit);
    }
    void operator()(const link_object& object) const
    {
        check_range("kilobytes_per_second", object.kilobytes_per_second, 0, max_kilobytes_per_second);
        if (object.from_region == object.to_region) {
            add_problem(change_error::value_out_of_range, "to_region", object.to_region,
                        "another region than from_region");
        }
    }
    void operator()(const block_object& object) const
    {
        check_range("prefix_length", object.prefix_length, min_prefix_length, max_prefix_length);
        const bool host_bits_clear =
            object.prefix_length > max_prefix_length || object.prefix_length == 0 ||
            (object.network & ~(~std::uint32_t{0} << (max_prefix_length - object.prefix_length))) == 0;
        if (!host_bits_clear) {
            add_problem(change_error::value_out_of_range, "network", key.name,
                        "a network without host bits beyond its prefix");
        }
    }

    void operator()(const move_progress_object& object) const
    {
        check_range("share_percent", object.share_percent, 0, 100);
    }
    void operator()(const allocation_object&) const {}

    void operator()(const service_object& object) const;
    void operator()(const move_object& object) const;
    void operator()(const site_set_object& object) const;
    void check_route(const service_object& service, const route_object& route) const;
    void check_route_pair(const route_object& first, const route_object& second) const;
};

void value_checker::check_route(const service_object& service, const route_object& route) const
{
    constexpr std::array<std::string_view, 7> methods = {"GET",   "HEAD",   "POST",   "PUT",
                                                         "PATCH", "DELETE", "OPTIONS"};
    check_name("routes.name", route.name);
    if (std::ranges::find(methods, route.method) == methods.end()) {
        add_problem(change_error::value_out_of_range, "routes.method", route.method,
                    "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS");
    }
    const std::string prefix = "/" + service.name + "/";
    const bool printable = std::ranges::all_of(route.path_prefix, [](char c) { return c > ' ' && c < 0x7f; });
    if (!route.path_prefix.starts_with(prefix) || !printable || route.path_prefix.size() > max_name_length) {
        add_problem(change_error::value_out_of_range, "routes.path_prefix", route.path_prefix,
                    "a path that begins with " + prefix + ", of at most " + std::to_string(max_name_length) +
                        " printable characters");
    }
    check_range("routes.timeout_ms", route.timeout_ms, 1, max_timeout_ms);
    check_range("routes.body_limit_kb", route.body_limit_kb, 0, max_body_limit_kb);
}

void value_checker::check_route_pair(const route_object& first, const route_object& second) const
{
    if (first.name == second.name) {
        add_problem(change_error::name_collision, "routes.name", second.name,
                    "each route name once in a service");
    }
    if (first.method == second.method && first.path_prefix == second.path_prefix) {
        add_problem(change_error::route_conflict, "routes.path_prefix",
                    second.method + " " + second.path_prefix,
                    "a method and path_prefix that route '" + first.name + "' does not have");
    }
}

void value_checker::operator()(const service_object& object) const
{
    check_name("name", object.name);
    check_name("active_version", object.active_version);
    check_range("reserve_percent", object.reserve_percent, 0, max_reserve_percent);
    check_range("shift_cap_percent_per_second", object.shift_cap_percent_per_second, 1, 100);
    for (std::size_t index = 0; index < object.routes.size(); ++index) {
        check_route(object, object.routes[index]);
        for (std::size_t other = 0; other < index; ++other) {
            check_route_pair(object.routes[other], object.routes[index]);
        }
    }
}

void value_checker::operator()(const move_object& object) const
{
    check_name("name", object.name);
    if (object.deadline <= 0) {
        add_problem(change_error::value_out_of_range, "deadline", std::to_string(object.deadline),
                    "milliseconds since 1970, above 0");
    }
    check_range("soak_seconds", object.soak_seconds, 0, max_soak_seconds);
    if (object.kind == move_kind::drain) {
        if (object.targets.empty()) {
            add_problem(change_error::value_out_of_range, "targets", "none",
                        "at least one target of a drain");
        }
        return;
    }
    check_name("version", object.version);
    if (!object.targets.empty()) {
        add_problem(change_error::value_out_of_range, "targets", object.targets.front(),
                    "no targets, except for a drain");
    }
}

void value_checker::operator()(const site_set_object& object) const
{
    check_name("name", object.name);
    if (object.sites.empty()) {
        add_problem(change_error::value_out_of_range, "sites", "none", "at least one site");
    }
    std::set<std::string> seen;
    for (const auto& site : object.sites) {
        check_range("sites.weight", site.weight, 1, max_weight);
        if (!seen.insert(site.failure_domain).second) {
            add_problem(change_error::name_collision, "sites.failure_domain", site.failure_domain,
                        "each failure domain once in a site set");
        }
    }
}

} // namespace

void check_values(const configuration_object& object, problem_list& problems)
{
    std::visit(value_checker{key_of(object), problems}, object);
}

} // namespace camphorknot::internal
