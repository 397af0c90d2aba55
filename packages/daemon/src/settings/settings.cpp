#include "camphorknot/daemon/settings.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <fstream>
#include <sstream>

#include "../http_text.hpp"
#include "field_reader.hpp"

namespace camphorknot {
namespace {

using namespace daemon_internal;

constexpr std::size_t min_secret_bytes = 16;
constexpr std::int64_t day_ms = 86'400'000;

bool is_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    in_addr parsed{};
    const std::string ip(text.substr(0, colon));
    const auto port = parse_number(text.substr(colon + 1));
    return inet_pton(AF_INET, ip.c_str(), &parsed) == 1 && port && *port > 0 && *port < 65'536;
}

bool is_url(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    return text.starts_with(scheme) && is_address(text.substr(scheme.size()));
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= 64 && std::ranges::all_of(text, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

bool is_sha256(std::string_view text)
{
    return text.size() == 64 &&
           std::ranges::all_of(text, [](char c) { return (c >= 'a' && c <= 'f') || (c >= '0' && c <= '9'); });
}

bool is_path(std::string_view text)
{
    return !text.empty();
}

constexpr const char* address_format = "\"ip:port\" with an IPv4 address and a port from 1 to 65535";
constexpr const char* url_format = "\"http://ip:port\"";
constexpr const char* name_format = "1 to 64 of a-z, 0-9, - and _";

void read_instance(field_reader& root, daemon_settings& output)
{
    field_reader map = open_map(root, "instance", true);
    read_text(map, "peer_address", true, is_address, address_format, output.peer_address);
    read_text(map, "traffic_address", true, is_address, address_format, output.traffic_address);
    read_text(map, "admin_address", true, is_address, address_format, output.admin_address);
    read_text(map, "region", true, is_name, name_format, output.region);
    read_text(map, "failure_domain", true, is_name, name_format, output.failure_domain);
    output.traffic_threads = static_cast<std::size_t>(read_number(map, "traffic_threads", 1, 1, 64));
    report_unread_fields(map);
}

void read_platform(field_reader& root, daemon_settings& output)
{
    field_reader map = open_map(root, "platform", true);
    read_text(map, "table_url", true, is_url, url_format, output.platform.table_url);
    read_text(map, "object_url", true, is_url, url_format, output.platform.object_url);
    read_text(map, "instance_list_url", true, is_url, url_format, output.platform.instance_list_url);
    report_unread_fields(map);
}

void read_security(field_reader& root, daemon_settings& output)
{
    field_reader map = open_map(root, "security", true);
    read_text(map, "fleet_secret_file", true, is_path, "the path of a file", output.fleet_secret_file);
    read_text(map, "operator_token_sha256", true, is_sha256, "64 lower-case hexadecimal digits",
              output.operator_token_sha256);
    report_unread_fields(map);
}

duration read_milliseconds(field_reader& map, const std::string& name, duration fallback)
{
    const auto fallback_ms = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(read_number(map, name, fallback_ms, 10, day_ms));
}

void read_limits(field_reader& root, daemon_settings& output)
{
    field_reader map = open_map(root, "limits", false);
    traffic_limits& limits = output.limits;
    limits.connections = static_cast<std::size_t>(read_number(map, "connections", 4'000, 1, 100'000));
    limits.head_bytes = static_cast<std::uint32_t>(read_number(map, "head_kb", 16, 1, 1'024) * 1'024);
    limits.head_timeout = read_milliseconds(map, "head_timeout_ms", limits.head_timeout);
    limits.idle_timeout = read_milliseconds(map, "idle_timeout_ms", limits.idle_timeout);
    limits.progress_timeout = read_milliseconds(map, "progress_timeout_ms", limits.progress_timeout);
    report_unread_fields(map);
    if (map.map.IsMap() && limits.head_timeout > limits.idle_timeout) {
        add_error(*map.list, settings_fault::conflict, map.map.Mark(), "limits.head_timeout_ms",
                  "a value above limits.idle_timeout_ms", "at most limits.idle_timeout_ms");
    }
}

void read_contacts(field_reader& root, daemon_settings& output)
{
    root.read_names.insert("contacts");
    if (!root.map.IsMap() || !root.map["contacts"].IsDefined()) {
        return;
    }
    const YAML::Node list = root.map["contacts"];
    if (!list.IsSequence()) {
        add_error(*root.list, settings_fault::wrong_type, list.Mark(), "contacts", describe_node(list),
                  "a list of maps");
        return;
    }
    for (std::size_t index = 0; index < list.size(); ++index) {
        field_reader map;
        map.list = root.list;
        map.prefix = "contacts[" + std::to_string(index) + "].";
        map.map.reset(list[index]);
        if (!map.map.IsMap()) {
            add_error(*root.list, settings_fault::wrong_type, map.map.Mark(), map.prefix,
                      describe_node(map.map), "a map");
            continue;
        }
        contact_settings contact;
        read_text(map, "peer_address", true, is_address, address_format, contact.peer_address);
        read_text(map, "region", true, is_name, name_format, contact.region);
        read_text(map, "failure_domain", true, is_name, name_format, contact.failure_domain);
        report_unread_fields(map);
        output.contacts.push_back(contact);
    }
}

void read_log(field_reader& root, daemon_settings& output)
{
    field_reader map = open_map(root, "log", false);
    read_text(map, "directory", false, is_path, "the path of a directory", output.log_directory);
    report_unread_fields(map);
}

void check_addresses(field_reader& root, const daemon_settings& parsed_settings)
{
    const std::array<std::pair<const char*, const std::string*>, 3> listeners = {
        {{"peer_address", &parsed_settings.peer_address},
         {"traffic_address", &parsed_settings.traffic_address},
         {"admin_address", &parsed_settings.admin_address}}};
    for (std::size_t first = 0; first < listeners.size(); ++first) {
        for (std::size_t second = first + 1; second < listeners.size(); ++second) {
            if (!listeners[first].second->empty() && *listeners[first].second == *listeners[second].second) {
                const YAML::Node node = root.map["instance"][listeners[second].first];
                add_error(*root.list, settings_fault::conflict, node.Mark(),
                          std::string("instance.") + listeners[second].first, *listeners[second].second,
                          std::string("an address other than instance.") + listeners[first].first);
            }
        }
    }
}

} // namespace

std::string_view name_of(settings_fault fault)
{
    constexpr std::array<std::string_view, 9> names = {"none",          "unreadable_file", "malformed_yaml",
                                                       "unknown_field", "missing_field",   "repeated_field",
                                                       "wrong_type",    "out_of_range",    "conflict"};
    return names.at(static_cast<std::size_t>(fault));
}

std::string describe(const settings_error& error)
{
    std::string line = error.file + ":" + std::to_string(error.line) + ": ";
    line += error.field + ": " + std::string(name_of(error.fault));
    return line + ": seen " + error.seen + "; allowed: " + error.allowed;
}

settings_result parse_settings(const std::string& text, const std::string& file)
{
    settings_result answer;
    error_list list{file, {}};
    daemon_settings parsed_settings;
    try {
        field_reader root;
        root.list = &list;
        root.map.reset(YAML::Load(text));
        if (!root.map.IsMap()) {
            add_error(list, settings_fault::wrong_type, root.map.Mark(), "the file", describe_node(root.map),
                      "a map");
        } else {
            read_instance(root, parsed_settings);
            read_platform(root, parsed_settings);
            read_security(root, parsed_settings);
            read_limits(root, parsed_settings);
            read_contacts(root, parsed_settings);
            read_log(root, parsed_settings);
            report_unread_fields(root);
            check_addresses(root, parsed_settings);
        }
    } catch (const YAML::Exception& error) {
        add_error(list, settings_fault::malformed_yaml, error.mark, "the file", error.msg, "YAML 1.2");
    }
    answer.errors = std::move(list.errors);
    if (answer.errors.empty()) {
        answer.settings = std::move(parsed_settings);
    }
    return answer;
}

settings_result read_settings(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        return {std::nullopt,
                {{settings_fault::unreadable_file, path, 0, "the file", "no readable file", "a YAML file"}}};
    }
    return parse_settings(text.str(), path);
}

std::optional<std::string> read_secret(const std::string& path)
{
    std::ifstream in(path);
    std::string secret;
    std::getline(in, secret);
    if (secret.size() < min_secret_bytes) {
        return std::nullopt;
    }
    return secret;
}

} // namespace camphorknot
