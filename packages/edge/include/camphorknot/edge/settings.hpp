/// @file
/// Settings of an instance that takes its configuration and its targets from the platform's store.
#pragma once

#include <string>
#include <vector>

#include "camphorknot/steering.hpp"

namespace camphorknot::edge {

/// Address of a TCP socket.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;
};

/// Where usage is reported. The length of the windows is in the bounds.
struct usage_settings {
    endpoint address;        ///< Of the platform's interface; port 0 if this instance reports nothing.
    double calls_per_s = 50; ///< Limit for all instances together.
};

struct edge_settings {
    steering::instance_identity identity;
    steering::failure_domain_regions failure_domains;
    endpoint front;     ///< Listens for callers' requests.
    endpoint readiness; ///< Listens for the platform's readiness check.
    endpoint directory; ///< Listens for callers' look-ups of instances.
    endpoint peers;     ///< Listens for other instances.
    endpoint metrics;   ///< Listens for requests for the metrics page.
    endpoint relay;     ///< Listens for requests that other instances pass on; port 0 for none.
    endpoint store;     ///< Address of the platform's store.
    /// Address of a gateway that forwards connections to the target with the same port; empty to connect to
    /// the targets themselves.
    std::string egress_ip;
    std::vector<std::string> seeds; ///< Peer addresses of some instances, "ip:port"; may be out of date.
    steering::operating_bounds bounds;
    double memory_mb = 0; ///< Memory of the machine in megabytes; 0 if it is unknown.
    /// Limit for open descriptors; 0 for that of the process only.
    std::size_t descriptors = 0;
    usage_settings usage;
};

/// @return whether usage is counted and reported.
bool reports_usage(const edge_settings& settings);

enum class settings_fault : std::uint8_t { none, unreadable, not_yaml, missing, invalid_format };

/// A fault in a settings file. Holds no value from the file, so that it can be logged.
struct settings_problem {
    settings_fault fault = settings_fault::none;
    std::string field; ///< Name of the field, or the file's path if it is unreadable.
    std::string expected;
    int line = 0; ///< Counted from 1; 0 if unknown.
};

/// @return a one-line message for operators.
std::string describe(const settings_problem& problem);

/// @return whether the file holds settings of this kind, rather than those of an instance without the
/// platform's store. False if the file cannot be read or parsed.
bool is_edge_settings(const std::string& path);

result<edge_settings, settings_problem> read_edge_settings(const std::string& path);
result<edge_settings, settings_problem> parse_edge_settings(const std::string& text);

} // namespace camphorknot::edge
