/// @file
/// Named services of one process. They start in the order of registration and stop in reverse order.
#pragma once

#include <any>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/core/time.hpp"

namespace camphorknot {

/// Callbacks of a service; empty ones are skipped.
struct service {
    std::function<bool()> start; ///< Returns false if the service cannot run.
    std::function<void(time_point)> tick;
    std::function<void(const std::any&)> message;
    std::function<void()> stop;
};

/// Services of one process. Not thread-safe; used by one thread only.
///
/// @code
/// service_registry services;
/// register_service(services, "peers", {.start = open_peers, .stop = close_peers});
/// std::string failed = start_services(services);
/// @endcode
struct service_registry {
    struct entry {
        std::string name;
        service functions;
        bool running = false;
    };
    std::vector<std::unique_ptr<entry>> entries;
};

/// Adds a service without starting it. @return false if the name is taken.
bool register_service(service_registry& registry, std::string_view name, service functions);

/// @return the service called @p name, or null.
service* find_service(service_registry& registry, std::string_view name);

/// Starts all services in order. If one fails to start, the services before it are stopped again.
/// @return the name of the service that failed to start, or an empty string.
std::string start_services(service_registry& registry);

void tick_services(service_registry& registry, time_point now);

/// Passes @p content to the service called @p name.
/// @return false if no such service is running or it takes no messages.
bool send_message(service_registry& registry, std::string_view name, const std::any& content);

void stop_services(service_registry& registry);

} // namespace camphorknot
