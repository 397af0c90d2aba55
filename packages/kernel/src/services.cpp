#include "camphorknot/kernel/services.hpp"

#include <algorithm>

namespace camphorknot {
namespace {

service_registry::entry* find_entry(service_registry& registry, std::string_view name)
{
    const auto found = std::ranges::find_if(
        registry.entries, [name](const auto& candidate) { return candidate->name == name; });
    return found == registry.entries.end() ? nullptr : found->get();
}

} // namespace

bool register_service(service_registry& registry, std::string_view name, service functions)
{
    if (find_entry(registry, name) != nullptr) {
        return false;
    }
    auto entry = std::make_unique<service_registry::entry>();
    entry->name = std::string(name);
    entry->functions = std::move(functions);
    registry.entries.push_back(std::move(entry));
    return true;
}

service* find_service(service_registry& registry, std::string_view name)
{
    service_registry::entry* entry = find_entry(registry, name);
    return entry == nullptr ? nullptr : &entry->functions;
}

std::string start_services(service_registry& registry)
{
    for (const auto& entry : registry.entries) {
        entry->running = !entry->functions.start || entry->functions.start();
        if (!entry->running) {
            stop_services(registry);
            return entry->name;
        }
    }
    return {};
}

void tick_services(service_registry& registry, time_point now)
{
    for (const auto& entry : registry.entries) {
        if (entry->running && entry->functions.tick) {
            entry->functions.tick(now);
        }
    }
}

bool send_message(service_registry& registry, std::string_view name, const std::any& content)
{
    service_registry::entry* entry = find_entry(registry, name);
    if (entry == nullptr || !entry->running || !entry->functions.message) {
        return false;
    }
    entry->functions.message(content);
    return true;
}

void stop_services(service_registry& registry)
{
    for (auto position = registry.entries.rbegin(); position != registry.entries.rend(); ++position) {
        service_registry::entry& entry = **position;
        if (entry.running && entry.functions.stop) {
            entry.functions.stop();
        }
        entry.running = false;
    }
}

} // namespace camphorknot
