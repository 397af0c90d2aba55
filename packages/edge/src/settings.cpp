#include "camphorknot/edge/settings.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

#include "camphorknot/platform/bounds.hpp"
#include "camphorknot/platform/usage_client.hpp"

namespace camphorknot::edge {
namespace {

// Thrown and caught only inside this file.
struct settings_exception {
    settings_problem problem;
};

int line_of(const YAML::Node& node)
{
    return node.Mark().is_null() ? 0 : node.Mark().line + 1;
}

YAML::Node required_child(const YAML::Node& map, const std::string& name)
{
    if (!map.IsMap() || !map[name] || map[name].IsNull()) {
        throw settings_exception{{settings_fault::missing, name, "a value", line_of(map)}};
    }
    return map[name];
}

std::string required_text(const YAML::Node& map, const std::string& name)
{
    const YAML::Node found = required_child(map, name);
    if (!found.IsScalar() || found.Scalar().empty()) {
        throw settings_exception{{settings_fault::invalid_format, name, "a text", line_of(found)}};
    }
    return found.Scalar();
}

std::string optional_ip(const YAML::Node& map, const std::string& name)
{
    if (!map[name] || map[name].IsNull()) {
        return {};
    }
    std::string ip = required_text(map, name);
    in_addr parsed{};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
        throw settings_exception{
            {settings_fault::invalid_format, name, "an IPv4 address", line_of(map[name])}};
    }
    return ip;
}

endpoint parse_address(const std::string& address, const std::string& name, int line)
{
    const std::size_t colon = address.rfind(':');
    unsigned port = 0;
    if (colon != std::string::npos) {
        const char* end = address.data() + address.size();
        const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
        port = parsed.ec == std::errc() && parsed.ptr == end ? port : 0;
    }
    if (port == 0 || port > 65'535 || colon == 0) {
        throw settings_exception{{settings_fault::invalid_format, name, "\"ip:port\"", line}};
    }
    return {address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

endpoint required_address(const YAML::Node& map, const std::string& name)
{
    // Read first: the line of a missing field has no node.
    const std::string text = required_text(map, name);
    return parse_address(text, name, line_of(map[name]));
}

double optional_number(const YAML::Node& map, const std::string& name, double fallback)
{
    if (!map[name] || map[name].IsNull()) {
        return fallback;
    }
    const std::string digits = map[name].IsScalar() ? map[name].Scalar() : "";
    double value = -1;
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0 || value > 1e9) {
        throw settings_exception{
            {settings_fault::invalid_format, name, "a number that is not negative", line_of(map[name])}};
    }
    return value;
}

// Returns 0 if the memory of the machine is not stated.
double optional_memory_mb(const YAML::Node& map)
{
    constexpr double smallest = 32;
    constexpr double largest = 1'048'576;
    const std::string name = "memory_mb";
    if (!map[name] || map[name].IsNull()) {
        return 0;
    }
    const double value = optional_number(map, name, 0);
    if (!(value >= smallest && value <= largest)) {
        throw settings_exception{
            {settings_fault::invalid_format, name, "megabytes from 32 to 1,048,576", line_of(map[name])}};
    }
    return value;
}

// Returns 0 if no limit is stated.
std::size_t optional_descriptors(const YAML::Node& map)
{
    constexpr double smallest = 256;
    const std::string name = "descriptors";
    const double value = optional_number(map, name, 0);
    if (value != 0 && !(value >= smallest)) {
        throw settings_exception{
            {settings_fault::invalid_format, name, "a number from 256 on", line_of(map[name])}};
    }
    return static_cast<std::size_t>(value);
}

std::vector<std::string> optional_texts(const YAML::Node& map, const std::string& name)
{
    std::vector<std::string> values;
    if (!map[name] || !map[name].IsSequence()) {
        return values;
    }
    for (const YAML::Node& entry : map[name]) {
        values.push_back(entry.as<std::string>(""));
    }
    return values;
}

std::string to_text(const endpoint& address)
{
    return address.ip + ":" + std::to_string(address.port);
}

// The operator's bounds as "name=value", from a map or from a list of such texts. A bound without a value is
// one that the platform does not have.
std::vector<std::string> read_bounds(const YAML::Node& root)
{
    const YAML::Node bounds = root["bounds"];
    if (!bounds || bounds.IsNull() || bounds.IsSequence()) {
        return optional_texts(root, "bounds");
    }
    if (!bounds.IsMap()) {
        throw settings_exception{
            {settings_fault::invalid_format, "bounds", "a map or a list of name=value", line_of(bounds)}};
    }
    std::vector<std::string> texts;
    for (const auto& bound : bounds) {
        if (!bound.second.IsNull()) {
            texts.push_back(bound.first.as<std::string>("") + "=" + bound.second.as<std::string>(""));
        }
    }
    return texts;
}

// Without an address, or without the duty among the listed ones, nothing is reported.
usage_settings decode_usage(const YAML::Node& root)
{
    usage_settings usage;
    const YAML::Node map = root["usage"];
    // The platform renders an empty address where it takes no reports.
    const bool has_no_address =
        map && map.IsMap() && map["address"] && map["address"].IsScalar() && map["address"].Scalar().empty();
    if (!map || map.IsNull() || has_no_address) {
        return usage;
    }
    const endpoint address = required_address(map, "address");
    in_addr parsed{};
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
        throw settings_exception{
            {settings_fault::invalid_format, "usage.address", "\"ip:port\"", line_of(map["address"])}};
    }
    const YAML::Node duties = map["duties"];
    if (duties && !duties.IsNull() && !duties.IsSequence()) {
        throw settings_exception{
            {settings_fault::invalid_format, "usage.duties", "a list of texts", line_of(duties)}};
    }
    usage.calls_per_s = optional_number(map, "calls_per_s", usage.calls_per_s);
    if (usage.calls_per_s <= 0) {
        throw settings_exception{{settings_fault::invalid_format, "usage.calls_per_s", "a number above zero",
                                  line_of(map["calls_per_s"])}};
    }
    if (platform::lists_usage_duty(optional_texts(map, "duties"))) {
        usage.address = address;
    }
    return usage;
}

edge_settings decode_settings(const YAML::Node& root)
{
    edge_settings settings;
    const YAML::Node instance = required_child(root, "instance");
    settings.identity.name = required_text(instance, "name");
    settings.identity.ip = required_text(instance, "ip");
    settings.identity.failure_domain = required_text(instance, "failure_domain");
    settings.identity.region = required_text(instance, "region");
    settings.identity.link_mbps = static_cast<std::uint32_t>(optional_number(instance, "link_mbps", 0));
    const double cores =
        optional_number(instance, "cpu_share", 0) * optional_number(instance, "cpu_speed", 1);
    settings.identity.cpu_millicores = static_cast<std::uint32_t>(std::min(cores * 1000, 1e9));
    settings.memory_mb = optional_memory_mb(instance);
    settings.descriptors = optional_descriptors(instance);
    const YAML::Node listen = required_child(root, "listen");
    settings.front = required_address(listen, "front");
    settings.readiness = required_address(listen, "readiness");
    settings.directory = required_address(listen, "directory");
    settings.peers = required_address(listen, "peers");
    settings.metrics = required_address(listen, "metrics");
    if (listen["relay"] && !listen["relay"].IsNull()) {
        settings.relay = required_address(listen, "relay");
        settings.identity.relay_address = to_text(settings.relay);
    }
    settings.identity.front_address = to_text(settings.front);
    settings.identity.peer_address = to_text(settings.peers);
    if (root["advertise"] && !root["advertise"].IsNull()) {
        settings.identity.peer_address = to_text(required_address(root["advertise"], "peers"));
    }
    settings.store = required_address(required_child(root, "store"), "address");
    settings.egress_ip = optional_ip(root, "egress_ip");
    for (const auto& domain : required_child(root, "failure_domains")) {
        settings.failure_domains[domain.first.as<std::string>("")] = domain.second.as<std::string>("");
    }
    settings.seeds = optional_texts(root, "seeds");
    const auto bounds = platform::decode_bounds(read_bounds(root));
    if (!bounds) {
        throw settings_exception{
            {settings_fault::invalid_format, bounds.reason, "name=value", line_of(root["bounds"])}};
    }
    settings.bounds = *bounds;
    settings.usage = decode_usage(root);
    return settings;
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw settings_exception{{settings_fault::unreadable, path, "a readable file", 0}};
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace

std::string describe(const settings_problem& problem)
{
    constexpr std::array<std::string_view, 5> faults = {"", "cannot be read", "is not YAML", "is missing",
                                                        "has an invalid format"};
    std::string message =
        problem.field + " " + std::string(faults.at(static_cast<std::size_t>(problem.fault)));
    if (problem.line > 0) {
        message += " (line " + std::to_string(problem.line) + ")";
    }
    return message + "; expected: " + problem.expected;
}

bool reports_usage(const edge_settings& settings)
{
    return settings.usage.address.port != 0 && settings.bounds.usage_window > duration{};
}

bool is_edge_settings(const std::string& path)
{
    try {
        const YAML::Node root = YAML::Load(read_file(path));
        return root.IsMap() && root["store"] && root["listen"];
    } catch (const std::exception&) {
        return false; // read_edge_settings reports the fault.
    } catch (const settings_exception&) {
        return false;
    }
}

result<edge_settings, settings_problem> parse_edge_settings(const std::string& text)
{
    try {
        return succeed<settings_problem>(decode_settings(YAML::Load(text)));
    } catch (const settings_exception& exception) {
        return fail<edge_settings>(exception.problem);
    } catch (const YAML::Exception& error) {
        return fail<edge_settings>(
            settings_problem{settings_fault::not_yaml, "settings", "a YAML map", error.mark.line + 1});
    }
}

result<edge_settings, settings_problem> read_edge_settings(const std::string& path)
{
    try {
        return parse_edge_settings(read_file(path));
    } catch (const settings_exception& exception) {
        return fail<edge_settings>(exception.problem);
    }
}

} // namespace camphorknot::edge
