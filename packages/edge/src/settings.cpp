#include "camphorknot/edge/settings.hpp"

#include <charconv>
#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

#include "camphorknot/platform/bounds.hpp"

namespace camphorknot::edge {
namespace {

// Thrown and caught inside this file.
struct bad_settings {
    settings_problem problem;
};

int line_of(const YAML::Node& node)
{
    return node.Mark().is_null() ? 0 : node.Mark().line + 1;
}

YAML::Node child(const YAML::Node& map, const std::string& name)
{
    if (!map.IsMap() || !map[name] || map[name].IsNull()) {
        throw bad_settings{{settings_fault::missing, name, "a value", line_of(map)}};
    }
    return map[name];
}

std::string text(const YAML::Node& map, const std::string& name)
{
    const YAML::Node found = child(map, name);
    if (!found.IsScalar() || found.Scalar().empty()) {
        throw bad_settings{{settings_fault::wrong_form, name, "a text", line_of(found)}};
    }
    return found.Scalar();
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
        throw bad_settings{{settings_fault::wrong_form, name, "\"ip:port\"", line}};
    }
    return {address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

endpoint address(const YAML::Node& map, const std::string& name)
{
    return parse_address(text(map, name), name, line_of(map[name]));
}

std::uint32_t whole_number(const YAML::Node& map, const std::string& name, std::uint32_t fallback)
{
    if (!map[name] || map[name].IsNull()) {
        return fallback;
    }
    const std::string written = map[name].IsScalar() ? map[name].Scalar() : "";
    double value = -1;
    const char* end = written.data() + written.size();
    const auto parsed = std::from_chars(written.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0 || value > 1e9) {
        throw bad_settings{
            {settings_fault::wrong_form, name, "a number that is not negative", line_of(map[name])}};
    }
    return static_cast<std::uint32_t>(value);
}

std::vector<std::string> texts(const YAML::Node& map, const std::string& name)
{
    std::vector<std::string> read;
    if (!map[name] || !map[name].IsSequence()) {
        return read;
    }
    for (const YAML::Node& each : map[name]) {
        read.push_back(each.as<std::string>(""));
    }
    return read;
}

std::string to_text(const endpoint& at)
{
    return at.ip + ":" + std::to_string(at.port);
}

edge_settings read_all(const YAML::Node& root)
{
    edge_settings made;
    const YAML::Node instance = child(root, "instance");
    made.identity.name = text(instance, "name");
    made.identity.ip = text(instance, "ip");
    made.identity.failure_domain = text(instance, "failure_domain");
    made.identity.region = text(instance, "region");
    made.identity.link_mbps = whole_number(instance, "link_mbps", 0);
    const YAML::Node listen = child(root, "listen");
    made.front = address(listen, "front");
    made.readiness = address(listen, "readiness");
    made.directory = address(listen, "directory");
    made.peers = address(listen, "peers");
    made.metrics = address(listen, "metrics");
    made.identity.front_address = to_text(made.front);
    made.identity.peer_address = to_text(made.peers);
    made.store = address(child(root, "store"), "address");
    for (const auto& each : child(root, "failure_domains")) {
        made.failure_domains[each.first.as<std::string>("")] = each.second.as<std::string>("");
    }
    made.seeds = texts(root, "seeds");
    const auto bounds = platform::decode_bounds(texts(root, "bounds"));
    if (!bounds) {
        throw bad_settings{
            {settings_fault::wrong_form, bounds.reason, "name=value", line_of(root["bounds"])}};
    }
    made.bounds = *bounds;
    return made;
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw bad_settings{{settings_fault::unreadable, path, "a readable file", 0}};
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace

std::string describe(const settings_problem& problem)
{
    constexpr std::array<std::string_view, 5> faults = {"", "cannot be read", "is not YAML", "is missing",
                                                        "has the wrong form"};
    std::string line = problem.field + " " + std::string(faults.at(static_cast<std::size_t>(problem.fault)));
    if (problem.line > 0) {
        line += " (line " + std::to_string(problem.line) + ")";
    }
    return line + "; expected: " + problem.expected;
}

bool is_edge_settings(const std::string& path)
{
    try {
        const YAML::Node root = YAML::Load(read_file(path));
        return root.IsMap() && root["store"] && root["listen"];
    } catch (const std::exception&) {
        return false; // The reader of the settings says what is wrong with the file.
    } catch (const bad_settings&) {
        return false;
    }
}

result<edge_settings, settings_problem> parse_edge_settings(const std::string& text)
{
    try {
        return succeed<settings_problem>(read_all(YAML::Load(text)));
    } catch (const bad_settings& bad) {
        return fail<edge_settings>(bad.problem);
    } catch (const YAML::Exception& error) {
        return fail<edge_settings>(
            settings_problem{settings_fault::not_yaml, "settings", "a YAML map", error.mark.line + 1});
    }
}

result<edge_settings, settings_problem> read_edge_settings(const std::string& path)
{
    try {
        return parse_edge_settings(read_file(path));
    } catch (const bad_settings& bad) {
        return fail<edge_settings>(bad.problem);
    }
}

} // namespace camphorknot::edge
