/// @file
/// Named services of one process: they start in the order of registration, and stop in the reverse order.
#pragma once

#include <any>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/core/time.hpp"

namespace camphorknot {

/// What a service does at each step; empty functions are skipped.
struct service {
    std::function<bool()> start; ///< Returns whether the service can run.
    std::function<void(time_point)> tick;
    std::function<void(const std::any&)> message;
    std::function<void()> stop;
};

/// Services of one process. Belongs to one thread.
///
/// @code
/// service_registry services;
/// register_service(services, "peers", {.start = open_peers, .stop = close_peers});
/// std::optional<std::string> failed = start_services(services);
/// @endcode
struct service_registry {
    struct entry {
        std::string name;
        service functions;
        bool running = false;
    };
    std::vector<std::unique_ptr<entry>> entries;
};

/// @return false if the name is taken.
bool register_service(service_registry& registry, std::string_view name, service functions);

/// @return the service called @p name, or null.
service* find_service(service_registry& registry, std::string_view name);

/// Starts all in order; if one cannot run, those before it are stopped.
/// @return the name of the one that cannot run, or an empty text.
std::string start_services(service_registry& registry);

void tick_services(service_registry& registry, time_point now);

/// @return false if no running service has the name.
bool send_message(service_registry& registry, std::string_view name, const std::any& content);

void stop_services(service_registry& registry);

} // namespace camphorknot
